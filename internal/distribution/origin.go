package distribution

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Origin holds the truth: it gives every change of a record its version, each once.
type Origin struct {
	relay   *Relay
	version uint64
	awaited map[string]bool
}

// NewOrigin returns an origin without records. The epoch must be higher than that of any earlier origin, and not 0:
// subscribers ignore a lower one than they have seen.
func NewOrigin(epoch uint64, l Limits) *Origin {
	o := &Origin{relay: NewRelay(l), awaited: map[string]bool{}}
	o.relay.origin = o
	o.relay.replica.epochSeen = max(1, epoch)
	o.relay.updateAdvertised()
	return o
}

// Relay returns the relay through which the origin's subscribers are served.
func (o *Origin) Relay() *Relay { return o.relay }

// Await names kinds for which Replace must be called before the origin claims to be complete: an origin that has been
// started without its list deletes nothing at subscribers.
func (o *Origin) Await(kinds ...string) {
	for _, kind := range kinds {
		o.awaited[kind] = true
	}
	o.relay.updateAdvertised()
}

// Put sets a record and returns its version; setting it to what it is is no change. The body must not be changed
// afterwards. An error says that the record is invalid or wraps ErrLimit; then nothing has changed.
func (o *Origin) Put(now int64, scope, key string, class Class, body []byte) (version uint64, err error) {
	version, _, err = o.put(scope, key, class, body)
	o.relay.updateAdvertised()
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
	state := itemState{class: class, position: Position{o.relay.epoch, o.version + 1}, body: body}
	if err := o.relay.replica.upsert(held, scope, key, state); err != nil {
		return 0, false, err
	}
	o.version++
	return o.version, true, nil
}

// Remove deletes a record and returns the version of its tombstone.
func (o *Origin) Remove(now int64, scope, key string) (version uint64, removed bool) {
	removed = o.remove(o.relay.replica.find(scope, key))
	o.relay.updateAdvertised()
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
	state := itemState{class: held.class.whenDeleted(), position: Position{o.relay.epoch, o.version}, deleted: true}
	if err := o.relay.replica.upsert(held, held.scope.name, held.key, state); err != nil {
		panic(err) // a tombstone is never longer than the record
	}
	return true
}

// Replace makes records the complete list of their kind: records whose keys begin with the kind and a slash, and that
// are not in the list, are deleted. They are deleted first, so that a list of as many others fits the limits. An
// invalid record is skipped, what is held of it stays, and the error describes the first of them.
func (o *Origin) Replace(now int64, kind string, records []Record) (changed int, err error) {
	absent := o.absentFrom(kind, records)
	for _, it := range absent {
		o.remove(it)
	}
	changed = len(absent)
	for _, i := range orderByClass(records) {
		record := &records[i]
		if !strings.HasPrefix(record.Key, kind+"/") {
			err = cmp.Or(err, fmt.Errorf("distribution: scope %q, key %.64q: a key that begins with %q expected",
				record.Scope, record.Key, kind+"/"))
			continue
		}
		_, isChange, putErr := o.put(record.Scope, record.Key, record.Class, record.Body)
		err = cmp.Or(err, putErr)
		if isChange {
			changed++
		}
	}
	delete(o.awaited, kind)
	o.relay.updateAdvertised()
	return changed, err
}

// absentFrom returns the live items of a kind that records don't name.
func (o *Origin) absentFrom(kind string, records []Record) []*item {
	type recordName struct{ scope, key string }
	named := make(map[recordName]bool, len(records))
	for i := range records {
		named[recordName{records[i].Scope, records[i].Key}] = true
	}
	var absent []*item
	prefix := kind + "/"
	o.relay.replica.items.Ascend(func(it *item) bool {
		if !it.deleted && strings.HasPrefix(it.key, prefix) && !named[recordName{it.scope.name, it.key}] {
			absent = append(absent, it)
		}
		return true
	})
	return absent
}

// orderByClass returns the indexes of records with withdrawals first, so that these have the lower versions.
func orderByClass(records []Record) []int {
	order := make([]int, len(records))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(records[a].Class, records[b].Class) })
	return order
}
