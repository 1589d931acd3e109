package distribution

import (
	"cmp"
	"slices"
	"strings"

	"github.com/google/btree"
)

const btreeDegree = 32

// Relay holds the newest state of each record and sends it on to subscribers. It keeps no log: records are ordered by
// when the relay came to know their state, and a subscriber's cursors are places in that order.
type Relay struct {
	replica *replica
	origin  *Origin // of an origin's own relay; nil: the relay has an upstream
	limits  Limits

	byClass    *btree.BTreeG[*item] // by class and seq: for feeds with a prefix
	byScope    *btree.BTreeG[*item] // by scope, class and seq
	order      [classCount]classOrder
	seq        uint64 // of the last change
	tombstones []tombstoneRef
	probe      item

	epoch       uint64
	complete    bool
	advertised  Position // what is claimed to subscribers; never falls
	floor       Position // a subscriber at a lower position gets a snapshot
	snapshotEnd Position // the end of the last snapshot that this relay received

	sessions    map[int]*session
	lastID      int
	prefixFeeds []feedRef
	readyIDs    []int
	stats       Stats
}

// scopeOrder is a relay's part of a scope: its feeds, and the order of its records in each class.
type scopeOrder struct {
	id      uint64
	feeds   []feedRef
	byClass [classCount]classOrder
}

// classOrder says whether records became known in the order of their versions. Then a resumption looks at newer records
// only.
type classOrder struct {
	last       Position
	outOfOrder bool
}

func (o *classOrder) append(position Position) {
	o.outOfOrder = o.outOfOrder || position.compare(o.last) < 0
	o.last = position
}

// NewRelay returns a relay that holds nothing.
func NewRelay(l Limits) *Relay {
	r := &Relay{limits: l.withDefaults(), sessions: map[int]*session{}}
	r.replica = newReplica(r, l)
	r.replica.keepsTombstones = true
	r.byClass = btree.NewG(btreeDegree, lessByClass)
	r.byScope = btree.NewG(btreeDegree, func(a, b *item) bool {
		if a.scope != b.scope {
			return a.scope.order.id < b.scope.order.id
		}
		return lessByClass(a, b)
	})
	return r
}

func lessByClass(a, b *item) bool {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.seq, b.seq)) < 0
}

// Follow sets what a relay receives from its upstream; to be called before the first UpstreamHello.
func (r *Relay) Follow(selectors []Selector) error { return r.replica.addSelectors(selectors) }

// UpstreamHello returns the hello to the relay's upstream; a new session begins.
func (r *Relay) UpstreamHello(now int64) []byte { return r.replica.newHello() }

// Receive applies a frame from upstream. After an error the connection must be closed.
func (r *Relay) Receive(now int64, frame []byte) error {
	err := r.replica.receive(now, frame)
	r.updateAdvertised()
	return err
}

// beforeChange takes an item from its place in the order.
func (r *Relay) beforeChange(it *item) {
	r.byClass.Delete(it)
	r.byScope.Delete(it)
}

// afterChange puts an item at the end of the order and queues it for the feeds of its scope.
func (r *Relay) afterChange(it *item, _ previousState, _ bool) {
	r.adoptEpoch()
	r.seq++
	it.seq = r.seq
	r.byClass.ReplaceOrInsert(it)
	r.byScope.ReplaceOrInsert(it)
	r.order[it.class].append(it.position())
	it.scope.order.byClass[it.class].append(it.position())
	r.forEachFeed(it, func(s *session, index int32) {
		if s.feeds[index].state != feedWaiting {
			s.enqueue(r, index, int(it.class))
		}
	})
	if it.deleted {
		r.tombstones = append(r.tombstones, tombstoneRef{it, it.seq})
	}
}

// forEachFeed calls visit for each feed that an item belongs to.
func (r *Relay) forEachFeed(it *item, visit func(*session, int32)) {
	for _, ref := range it.scope.order.feeds {
		visit(ref.session, ref.index)
	}
	for _, ref := range r.prefixFeeds {
		if strings.HasPrefix(it.scope.name, ref.session.feeds[ref.index].prefix) {
			visit(ref.session, ref.index)
		}
	}
}

// adoptEpoch takes a newer epoch for the relay's own: every feed is decided again.
func (r *Relay) adoptEpoch() {
	if r.replica.epochSeen == r.epoch {
		return
	}
	r.epoch = r.replica.epochSeen
	r.complete = false
	for _, s := range r.sortedSessions() {
		for i := range s.feeds {
			r.chooseFeedState(s, int32(i))
		}
		r.markReady(s)
	}
}

// updateAdvertised brings what the relay claims to subscribers up to what its replica knows.
func (r *Relay) updateAdvertised() {
	r.adoptEpoch()
	position, complete := r.position()
	wasComplete := r.complete
	r.complete = complete
	if complete {
		if position.compare(r.advertised) > 0 {
			r.advertised = position
		}
		snapshotEnd := Position{r.epoch, r.replica.maxSnapshotEnd}
		if !wasComplete || r.snapshotEnd != snapshotEnd {
			r.afterSnapshot(snapshotEnd)
		}
	}
	r.pruneTombstones()
}

// afterSnapshot raises the floor to the end of a snapshot that the relay received. Records may have come and gone
// between the position before and the snapshot: subscribers that are not known to be past it get a snapshot as well.
// Begin and end may have come in one frame.
func (r *Relay) afterSnapshot(end Position) {
	r.snapshotEnd = end
	if r.floor.compare(end) < 0 {
		r.floor = end
	}
	for _, s := range r.sortedSessions() {
		for i := range s.feeds {
			switch f := &s.feeds[i]; f.state {
			case feedDelta:
				r.chooseFeedState(s, int32(i))
			case feedSnapshotPending, feedSnapshot:
				if f.queued&recordQueues == 0 {
					s.enqueue(r, int32(i), endQueue)
				}
			case feedWaiting:
			}
		}
		r.markReady(s)
	}
}

// position returns up to where this relay holds all changes, and whether it is complete.
func (r *Relay) position() (position Position, complete bool) {
	if r.origin != nil {
		return Position{r.epoch, r.origin.version}, len(r.origin.awaited) == 0
	}
	known := r.replica.minSyncState()
	complete = known.complete && known.position.Epoch == r.epoch && known.position.Through >= r.replica.maxSnapshotEnd
	return known.position, complete
}

func (r *Relay) asOfNs(now int64) int64 {
	if r.origin != nil {
		return now
	}
	return r.replica.minSyncState().asOfNs
}

// Age returns how long ago what the relay holds was current, in nanoseconds; not known until the relay is complete.
func (r *Relay) Age(now int64) (ns int64, known bool) { return now - r.asOfNs(now), r.complete }

// Complete reports whether the relay has received all that it follows.
func (r *Relay) Complete() bool { return r.complete }

func (r *Relay) sortedSessions() []*session {
	out := make([]*session, 0, len(r.sessions))
	for _, s := range r.sessions {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *session) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (r *Relay) markReady(s *session) {
	if !s.ready {
		s.ready = true
		r.readyIDs = append(r.readyIDs, s.id)
	}
}

// Ready returns the subscribers for which a frame has become due since the last call.
func (r *Relay) Ready() []int {
	ids := r.readyIDs
	r.readyIDs = nil
	attached := ids[:0]
	for _, id := range ids {
		if s := r.sessions[id]; s != nil {
			s.ready = false
			attached = append(attached, id)
		}
	}
	return attached
}

// Stats returns the counters, and what is held now.
func (r *Relay) Stats() Stats {
	stats := r.replica.currentStats()
	stats.Epoch = r.epoch
	if r.advertised.Epoch == r.epoch {
		stats.Through = r.advertised.Through
	}
	stats.Complete = r.complete
	stats.Floor = r.floor.Through
	stats.Subscribers = len(r.sessions)
	for _, s := range r.sessions {
		stats.Selectors += len(s.feeds)
	}
	stats.Sent = r.stats.Sent
	stats.SentBytes = r.stats.SentBytes
	stats.SentRecords = r.stats.SentRecords
	stats.SentKeysOnly = r.stats.SentKeysOnly
	stats.Resumed = r.stats.Resumed
	stats.Snapshots = r.stats.Snapshots
	stats.RefusedHellos = r.stats.RefusedHellos
	return stats
}
