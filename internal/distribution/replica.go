package distribution

import (
	"bytes"

	"github.com/google/btree"
)

// item is a record held by a replica; the item of a deleted record is a tombstone. It takes 80 bytes, not counting its
// key and body.
type item struct {
	scope   *scope
	key     string
	body    []byte
	epoch   uint64
	version uint64
	seq     uint64 // place in a relay's order; in a subscriber, pendingTombstone while in replica.pendingTombstones
	mark    uint32 // the replica's mark when a frame last contained it
	class   Class
	deleted bool
}

// pendingTombstone is the seq of a subscriber's items that are in replica.pendingTombstones.
const pendingTombstone = 1

func (i *item) position() Position { return Position{i.epoch, i.version} }

func (i *item) record() Record {
	return Record{
		Scope:   i.scope.name,
		Key:     i.key,
		Class:   i.class,
		Epoch:   i.epoch,
		Version: i.version,
		Deleted: i.deleted,
		Body:    i.body,
	}
}

// scope is a scope that a replica holds records of, or that a subscriber selects.
type scope struct {
	name          string
	itemCount     int32       // including tombstones
	exactInterest int32       // index of the interest in exactly this scope, or noInterest
	invalidMark   uint32      // the replica's mark when a record of the scope last could not be decoded
	order         *scopeOrder // nil in a subscriber
}

const noInterest = -1

// itemState is the state of a record at one version.
type itemState struct {
	class    Class
	position Position
	deleted  bool
	body     []byte
	swept    bool // deleted because a snapshot did not contain the record
}

// previousState is the state of a record before a change.
type previousState struct {
	live  bool
	class Class
	body  []byte
}

// changeObserver is the owner of a replica, which calls it around every change of an item: before the change or
// removal, and after the item has its new state.
type changeObserver interface {
	beforeChange(held *item)
	afterChange(held *item, previous previousState, swept bool)
}

// replica holds records and the positions up to which they are complete. It is the receiving side of a relay and of a
// subscriber.
type replica struct {
	limits          Limits
	observer        changeObserver
	interner        Interner
	keepsTombstones bool // in a relay: tombstones are kept after the position has passed them, also for swept records

	items             *btree.BTreeG[*item]
	scopes            map[string]*scope
	scopeIDs          uint64
	probe             item
	probeScope        scope
	tombstones        int
	bytes             int // total size of names, keys and bodies
	pendingTombstones []*item

	interests         []interest
	exactInterests    map[string]int32
	prefixInterests   []int32
	unshared          []int32 // indexes of the interests whose positions are not shared
	completeInterests int
	sharedPosition    Position
	sharedAsOfNs      int64
	epochSeen         uint64 // the highest epoch seen
	maxSnapshotEnd    uint64 // the highest version at which a snapshot of that epoch ended
	mark              uint32 // incremented by each frame that begins snapshots; marks what was received since

	session          uint64
	lastFrame        uint64 // number of the last frame received
	sessionVoid      bool   // frames are ignored until the next hello
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
		name = r.interests[exact].scope // share one string
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

// releaseScope deletes a scope if it has no records and no subscriber selects it.
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
	held, _ := r.items.Get(&r.probe)
	return held
}

// upsert sets the state of a record. held is the item of that scope and key, or nil. An error wraps ErrLimit; the
// replica is then unchanged.
func (r *replica) upsert(held *item, scopeName, key string, state itemState) error {
	growth, err := r.growth(held, key, state.body)
	if err != nil {
		return err
	}
	var previous previousState
	if held == nil {
		held = r.insert(scopeName, key)
	} else {
		previous = previousState{!held.deleted, held.class, held.body}
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
	case previous.live && bytes.Equal(previous.body, body):
		body = previous.body
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
	r.observer.afterChange(held, previous, state.swept)
	return nil
}

// growth returns by how many bytes a new body makes the replica grow. An error wraps ErrLimit.
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
	held := &item{scope: s, key: key}
	s.itemCount++
	r.items.ReplaceOrInsert(held)
	return held
}

// remove deletes an item without leaving a tombstone.
func (r *replica) remove(held *item) {
	r.observer.beforeChange(held)
	r.items.Delete(held)
	r.bytes -= len(held.key) + len(held.body)
	if held.deleted {
		r.tombstones--
	}
	held.scope.itemCount--
	r.releaseScope(held.scope)
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
