package distribution

// This file owns truth: which version a change gets. It must never give one twice, or take away what nobody said is gone.

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Origin owns truth. One caller at a time, with its Relay.
type Origin struct {
	relay   *Relay
	version uint64
	awaited map[string]bool
}

// NewOrigin makes an origin with nothing in it. The epoch must be higher than that of any origin before, and not 0: subscribers
// never go back to a lower one.
func NewOrigin(epoch uint64, l Limits) *Origin {
	o := &Origin{relay: NewRelay(l), awaited: map[string]bool{}}
	o.relay.origin, o.relay.replica.epochSeen = o, max(1, epoch)
	o.relay.updateClaim()
	return o
}

// Relay is through which the origin's subscribers are served.
func (o *Origin) Relay() *Relay { return o.relay }

// Await names kinds of which a Replace must have come before the origin claims anything to be whole: one that was started
// without its list takes nothing away from anybody.
func (o *Origin) Await(kinds ...string) {
	for _, k := range kinds {
		o.awaited[k] = true
	}
	o.relay.updateClaim()
}

func validateRecord(scope, key string, class Class, body []byte) error {
	switch {
	case scope == "" || len(scope) > MaxNameBytes:
		return fmt.Errorf("distribution: scope %.64q: a name of 1 to %d bytes expected, found %d", scope, MaxNameBytes, len(scope))
	case key == "" || len(key) > MaxNameBytes:
		return fmt.Errorf("distribution: scope %q, key %.64q: a name of 1 to %d bytes expected, found %d", scope, key, MaxNameBytes, len(key))
	case class >= classCount:
		return fmt.Errorf("distribution: scope %q, key %q: a class under %d expected, found %d", scope, key, classCount, class)
	case len(body) > MaxBodyBytes:
		return fmt.Errorf("scope %q, key %q: %w", scope, key, limitError("bytes of a body", MaxBodyBytes, len(body)))
	}
	return nil
}

// Put sets a record; the same again is no change. The body must not be changed afterwards.
func (o *Origin) Put(now int64, scope, key string, class Class, body []byte) (version uint64, err error) {
	version, _, err = o.put(scope, key, class, body)
	o.relay.updateClaim()
	return version, err
}

func (o *Origin) put(scope, key string, class Class, body []byte) (version uint64, changed bool, err error) {
	if err := validateRecord(scope, key, class, body); err != nil {
		return 0, false, err
	}
	held := o.relay.replica.find(scope, key)
	if held != nil && !held.deleted && held.class == class && bytes.Equal(held.body, body) {
		return held.version, false, nil
	}
	if _, err := o.relay.replica.upsert(held, scope, key, class, Position{o.relay.epoch, o.version + 1}, false, body, false); err != nil {
		return 0, false, err
	}
	o.version++
	return o.version, true, nil
}

// Remove takes a record away.
func (o *Origin) Remove(now int64, scope, key string) (version uint64, removed bool) {
	removed = o.remove(o.relay.replica.find(scope, key))
	o.relay.updateClaim()
	if removed {
		version = o.version
	}
	return version, removed
}

func (o *Origin) remove(held *item) bool {
	if held == nil || held.deleted {
		return false
	}
	o.version++
	if _, err := o.relay.replica.upsert(held, held.scope.name, held.key, held.class.withdrawn(), Position{o.relay.epoch, o.version}, true, nil, false); err != nil {
		panic(err) // a tombstone is never longer than the record
	}
	return true
}

// Replace takes in a whole list: records whose key begins with kind and a slash and that are not in it go. What goes goes first,
// so that a list of as many others fits. A spoilt record is left out, what is held of it stays, and the error names the first.
func (o *Origin) Replace(now int64, kind string, all []Record) (changed int, err error) {
	type name struct{ scope, key string }
	named := make(map[name]bool, len(all))
	for i := range all {
		named[name{all[i].Scope, all[i].Key}] = true
	}
	var out []*item
	o.relay.replica.items.Ascend(func(it *item) bool {
		if !it.deleted && strings.HasPrefix(it.key, kind) && strings.HasPrefix(it.key[len(kind):], "/") && !named[name{it.scope.name, it.key}] {
			out = append(out, it)
		}
		return true
	})
	for _, it := range out {
		o.remove(it)
	}
	changed = len(out)
	// Withdrawals first, so that they have the lower versions.
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(all[a].Class, all[b].Class) })
	for _, i := range order {
		n := &all[i]
		if !strings.HasPrefix(n.Key, kind+"/") {
			err = cmp.Or(err, fmt.Errorf("distribution: scope %q, key %.64q: a key that begins with %q expected", n.Scope, n.Key, kind+"/"))
			continue
		}
		_, did, wrong := o.put(n.Scope, n.Key, n.Class, n.Body)
		if wrong != nil {
			err = cmp.Or(err, wrong)
			continue
		}
		if did {
			changed++
		}
	}
	delete(o.awaited, kind)
	o.relay.updateClaim()
	return changed, err
}
