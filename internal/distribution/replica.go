package distribution

import (
	"bytes"

	"github.com/google/btree"
)

// item is a record as it is held; a deleted one is a tombstone. It has 80 bytes, beside its key and body.
type item struct {
	scope   *scope
	key     string
	body    []byte
	epoch   uint64
	version uint64
	seq     uint64 // its place in a relay's order; at a subscriber pendingTombstone while it is among these
	mark    uint32 // the replica's mark when a frame last named it
	class   Class
	deleted bool
}

// pendingTombstone is the seq of a subscriber's items in replica.pendingTombstones.
const pendingTombstone = 1

func (it *item) position() Position { return Position{it.epoch, it.version} }

func (it *item) record() Record {
	return Record{
		Scope:   it.scope.name,
		Key:     it.key,
		Class:   it.class,
		Epoch:   it.epoch,
		Version: it.version,
		Deleted: it.deleted,
		Body:    it.body,
	}
}

// scope exists while records of it are held or a subscriber selects it.
type scope struct {
	name          string
	itemCount     int32       // with tombstones
	exactInterest int32       // the interest in it alone, or noInterest
	invalidMark   uint32      // the replica's mark when a record of it last could not be decoded
	order         *scopeOrder // at a relay
}

const noInterest = -1

// itemState is the state of a record at one version.
type itemState struct {
	class    Class
	position Position
	deleted  bool
	body     []byte
	swept    bool // deleted because a snapshot came without it
}

// previousState is what a record was before a change.
type previousState struct {
	live  bool
	class Class
	body  []byte
}

// changeObserver is who owns a replica. Its methods are called around every change of an item: before it leaves its
// place, and after it has its new state.
type changeObserver interface {
	beforeChange(it *item)
	afterChange(it *item, was previousState, swept bool)
}

// replica holds records, and what of them is known to be complete. It is the upstream side of a relay and of a
// subscriber.
type replica struct {
	limits          Limits
	observer        changeObserver
	interner        Interner
	keepsTombstones bool // at a relay: tombstones outlive the position, and what is swept leaves one

	items             *btree.BTreeG[*item]
	scopes            map[string]*scope
	scopeIDs          uint64
	probe             item
	probeScope        scope
	tombstones        int
	bytes             int // of names, keys and bodies
	pendingTombstones []*item

	interests         []interest
	exactInterests    map[string]int32
	prefixInterests   []int32
	unshared          []int32 // interests that are not shared
	completeInterests int
	sharedPosition    Position
	sharedAsOfNs      int64
	epochSeen         uint64 // the highest epoch seen
	maxSnapshotEnd    uint64 // the highest version at which a snapshot of that epoch ended
	mark              uint32 // counts snapshots that began

	session          uint64
	lastFrame        uint64 // number of the last frame received
	sessionVoid      bool   // until the next hello
	invalidGroupMark uint32 // the mark when a whole group last could not be decoded

	stats Stats
}

func newReplica(observer changeObserver, l Limits) *replica {
	return &replica{
		limits:         l.withDefaults(),
		observer:       observer,
		items:          btree.NewG(btreeDegree, lessByName),
		scopes:         map[string]*scope{},
		exactInterests: map[string]int32{},
		sessionVoid:    true,
	}
}

func lessByName(a, b *item) bool {
	if a.scope != b.scope && a.scope.name != b.scope.name {
		return a.scope.name < b.scope.name
	}
	return a.key < b.key
}

func (r *replica) ensureScope(name string) *scope {
	if s := r.scopes[name]; s != nil {
		return s
	}
	exact := r.exactInterest(name)
	if exact != noInterest {
		name = r.interests[exact].scope // one string for both
	} else if r.interner.Text != nil {
		name = r.interner.Text(name)
	}
	s := &scope{name: name, exactInterest: exact}
	if r.keepsTombstones {
		r.scopeIDs++
		s.order = &scopeOrder{id: r.scopeIDs}
	}
	r.scopes[name] = s
	r.bytes += len(name)
	return s
}

// releaseScope forgets a scope without records that no subscriber selects.
func (r *replica) releaseScope(s *scope) {
	if s.itemCount == 0 && (s.order == nil || len(s.order.feeds) == 0) && r.scopes[s.name] == s {
		delete(r.scopes, s.name)
		r.bytes -= len(s.name)
	}
}

func (r *replica) find(scopeName, key string) *item {
	r.probeScope.name = scopeName
	r.probe.scope = &r.probeScope
	r.probe.key = key
	it, _ := r.items.Get(&r.probe)
	return it
}

// upsert gives a record a new state. held is the item of that name, or nil. An error wraps ErrLimit; then nothing has
// changed.
func (r *replica) upsert(held *item, scopeName, key string, state itemState) error {
	growth, err := r.growth(held, key, state.body)
	if err != nil {
		return err
	}
	var was previousState
	if held == nil {
		held = r.insert(scopeName, key)
	} else {
		was = previousState{!held.deleted, held.class, held.body}
		r.observer.beforeChange(held)
		if held.deleted {
			r.tombstones--
		}
	}
	body := state.body
	switch {
	case state.deleted:
		body = nil
		r.tombstones++
	case was.live && bytes.Equal(was.body, body):
		body = was.body
	case r.interner.Body != nil:
		body = r.interner.Body(body)
	}
	r.bytes += growth
	held.class = state.class
	held.epoch = state.position.Epoch
	held.version = state.position.Through
	held.deleted = state.deleted
	held.body = body
	held.mark = r.mark
	if state.deleted && !r.keepsTombstones && held.seq == 0 {
		held.seq = pendingTombstone
		r.pendingTombstones = append(r.pendingTombstones, held)
	}
	r.observer.afterChange(held, was, state.swept)
	return nil
}

// growth returns by how many bytes a new body makes the replica grow, or an error that wraps ErrLimit.
func (r *replica) growth(held *item, key string, body []byte) (int, error) {
	growth := len(body)
	if held != nil {
		growth -= len(held.body)
	} else {
		growth += len(key)
		if r.items.Len() >= r.limits.Records {
			return 0, limitError("records", r.limits.Records, r.items.Len()+1)
		}
	}
	if growth > 0 && r.bytes+growth > r.limits.Bytes {
		return 0, limitError("bytes of records", r.limits.Bytes, r.bytes+growth)
	}
	return growth, nil
}

func (r *replica) insert(scopeName, key string) *item {
	s := r.ensureScope(scopeName)
	if r.interner.Text != nil {
		key = r.interner.Text(key)
	}
	it := &item{scope: s, key: key}
	s.itemCount++
	r.items.ReplaceOrInsert(it)
	return it
}

// remove forgets an item without a tombstone.
func (r *replica) remove(it *item) {
	r.observer.beforeChange(it)
	r.items.Delete(it)
	r.bytes -= len(it.key) + len(it.body)
	if it.deleted {
		r.tombstones--
	}
	it.scope.itemCount--
	r.releaseScope(it.scope)
}

func (r *replica) currentStats() Stats {
	stats := r.stats
	stats.Epoch = r.epochSeen
	stats.Records = r.items.Len() - r.tombstones
	stats.Tombstones = r.tombstones
	stats.Scopes = len(r.scopes)
	stats.Bytes = r.bytes
	return stats
}
