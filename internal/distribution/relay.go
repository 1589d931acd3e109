package distribution

// This file owns whom a relay serves and what goes out next. It must never keep a log, say more for a subscriber than its position,
// or pass over all subscribers or records for one change.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/google/btree"
)

// lanes are a scope's part at a relay: the records of each class in the order in which they came to be known.
type scopeOrder struct {
	id      uint64
	feeds   []feedRef
	byClass [classCount]classOrder
}

// lane says whether that order is the order of versions too, so that a resumption needs to look at what is newer alone.
type classOrder struct {
	last       Position
	outOfOrder bool
}

func (l *classOrder) append(at Position) {
	l.outOfOrder = l.outOfOrder || at.compare(l.last) < 0
	l.last = at
}

type feedRef struct {
	session *session
	index   int32
}

type feedState uint8

const (
	feedWaiting         feedState = iota // for the epoch that the subscriber knows of
	feedSnapshotPending                  // to be begun
	feedSnapshot                         // records go out, from the first
	feedDelta                            // what is newer than the position goes out, and all that changes
)

// feed is one selector of one subscriber. 96 bytes; the position is the subscriber's own as far as told.
type feed struct {
	scope       *scope // nil for a prefix
	prefix      string
	cursor      [classCount]uint64
	position    Position
	snapshotSeq uint64 // the order's place when it began anew
	state       feedState
	queued      uint8 // in which queues it is
}

// Queues of a subscriber: one for each class, and one of scopes of which only the end has to be told.
const (
	queueEnd     = int(classCount)
	queueCount   = queueEnd + 1
	recordQueues = 1<<queueEnd - 1
)

type queue struct {
	list []int32
	head int
}

func (q *queue) len() int { return len(q.list) - q.head }

func (q *queue) push(i int32) {
	if q.head > len(q.list)/2 && q.head > 16 {
		q.list = q.list[:copy(q.list, q.list[q.head:])]
		q.head = 0
	}
	q.list = append(q.list, i)
}

func (q *queue) pop() int32 {
	i := q.list[q.head]
	if q.head++; q.head == len(q.list) {
		q.list, q.head = q.list[:0], 0
	}
	return i
}

// subscription is one subscriber in one session.
type session struct {
	id             int
	clientSession  uint64
	lastFrame      uint64
	epochSeen      uint64
	bytesPerSecond int64
	dueNs          int64 // when what was sent would have gone out at the pace
	lastSentNs     int64 // when the last frame went out
	claimed        Position
	feeds          []feed
	queues         [queueCount]queue
	unsettled      int // feeds that are not following, or are queued
	ready          bool
}

// settle is the one place in which a feed's state changes, so that unsettled stays right.
func (s *session) setState(f *feed, to feedState, queued uint8) {
	was := f.state != feedDelta || f.queued != 0
	f.state, f.queued = to, queued
	if is := f.state != feedDelta || f.queued != 0; is && !was {
		s.unsettled++
	} else if was && !is {
		s.unsettled--
	}
}

func (s *session) enqueue(r *Relay, at int32, q int) {
	f := &s.feeds[at]
	if f.queued&(1<<q) != 0 {
		return
	}
	s.setState(f, f.state, f.queued|1<<q)
	s.queues[q].push(at)
	r.markReady(s)
}

// place is up to where a feed's subscriber is known to know.
func (s *session) known(f *feed) Position {
	if f.state == feedDelta && s.claimed.compare(f.position) > 0 {
		return s.claimed
	}
	return f.position
}

// dead is a tombstone's place in the order; void once the record has moved on.
type tombstoneRef struct {
	item *item
	seq  uint64
}

// Relay holds the newest of each record and sends it on. One caller at a time.
type Relay struct {
	replica *replica
	origin  *Origin // of an origin's own
	limits  Limits

	byClass    *btree.BTreeG[*item] // by class and seq: for prefixes
	byScope    *btree.BTreeG[*item] // by scope, class and seq
	order      [classCount]classOrder
	seq        uint64
	tombstones []tombstoneRef
	probe      item

	epoch       uint64
	complete    bool
	claimed     Position // never falls
	floor       Position // who is known to know less is told anew
	snapshotEnd Position // up to where this relay was itself last told anything anew

	sessions    map[int]*session
	lastID      int
	prefixFeeds []feedRef
	readyIDs    []int
	stats       Stats
}

// NewRelay makes a relay that holds nothing.
func NewRelay(l Limits) *Relay {
	r := &Relay{limits: l.filled(), sessions: map[int]*session{}}
	r.replica = newReplica(r, l)
	r.replica.keepsTombstones = true
	r.byClass = btree.NewG(32, func(a, b *item) bool { return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.seq, b.seq)) < 0 })
	r.byScope = btree.NewG(32, func(a, b *item) bool {
		if a.scope != b.scope {
			return a.scope.order.id < b.scope.order.id
		}
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.seq, b.seq)) < 0
	})
	return r
}

// Follow says what a relay takes from its upstream; before the first Upstream.
func (r *Relay) Follow(selectors []Selector) error { return r.replica.addSelectors(selectors) }

// Upstream is the hello to the relay's upstream; a new session begins.
func (r *Relay) UpstreamHello(now int64) []byte { return r.replica.newHello() }

// Take takes in a frame from upstream. After an error the connection is to be ended.
func (r *Relay) Receive(now int64, frame []byte) error {
	err := r.replica.receive(now, frame)
	r.updateClaim()
	return err
}

// leaves takes a record from its place in the order.
func (r *Relay) beforeChange(it *item) {
	r.byClass.Delete(it)
	r.byScope.Delete(it)
}

// changed puts a record at the order's end and tells those that subscribe to its scope.
func (r *Relay) afterChange(it *item, _ previousState, _ bool) {
	r.adoptEpoch()
	r.seq++
	it.seq = r.seq
	r.byClass.ReplaceOrInsert(it)
	r.byScope.ReplaceOrInsert(it)
	r.order[it.class].append(it.position())
	it.scope.order.byClass[it.class].append(it.position())
	r.forEachFeed(it, func(s *session, at int32) {
		if s.feeds[at].state != feedWaiting {
			s.enqueue(r, at, int(it.class))
		}
	})
	if it.deleted {
		r.tombstones = append(r.tombstones, tombstoneRef{it, it.seq})
	}
}

// each calls for each feed that a record belongs to.
func (r *Relay) forEachFeed(it *item, call func(*session, int32)) {
	for _, f := range it.scope.order.feeds {
		call(f.session, f.index)
	}
	for _, f := range r.prefixFeeds {
		if strings.HasPrefix(it.scope.name, f.session.feeds[f.index].prefix) {
			call(f.session, f.index)
		}
	}
}

// prune keeps the tombstones within their bound: the oldest go, and with them the right to resume before them.
func (r *Relay) pruneTombstones() {
	n := 0
	for ; r.replica.tombstones > r.limits.Tombstones && n < len(r.tombstones); n++ {
		d := r.tombstones[n]
		if !d.item.deleted || d.item.seq != d.seq || r.replica.find(d.item.scope.name, d.item.key) != d.item {
			continue
		}
		if d.item.position().compare(r.claimed) > 0 {
			break // what this relay can't claim to know may come from elsewhere, older
		}
		if d.item.epoch == r.epoch {
			r.forEachFeed(d.item, func(s *session, at int32) {
				f := &s.feeds[at]
				unsent := f.queued&(1<<d.item.class) != 0 && f.cursor[d.item.class] < d.seq
				if unsent && (f.state == feedDelta || f.state == feedSnapshot && d.seq > f.snapshotSeq) {
					r.startSnapshot(s, at)
				}
			})
			if r.floor.compare(d.item.position()) < 0 {
				r.floor = d.item.position()
			}
		}
		r.replica.remove(d.item)
	}
	r.tombstones = r.tombstones[n:]
	if len(r.tombstones) > 2*r.replica.tombstones+64 {
		r.tombstones = slices.Clip(slices.DeleteFunc(r.tombstones, func(d tombstoneRef) bool { return !d.item.deleted || d.item.seq != d.seq }))
	}
}

// follows takes a newer epoch for its own: all is told anew in it, as it comes.
func (r *Relay) adoptEpoch() {
	if r.replica.epochSeen == r.epoch {
		return
	}
	r.epoch, r.complete = r.replica.epochSeen, false
	for _, s := range r.sortedSessions() {
		for i := range s.feeds {
			r.decideFeed(s, int32(i))
		}
		r.markReady(s)
	}
}

// refresh goes by what the replica is known up to.
func (r *Relay) updateClaim() {
	r.adoptEpoch()
	at, whole := r.position()
	if !whole {
		r.complete = false
		r.pruneTombstones()
		return
	}
	was := r.complete
	r.complete = true
	if at.compare(r.claimed) > 0 {
		r.claimed = at
	}
	if ended := (Position{r.epoch, r.replica.maxSnapshotEnd}); !was || r.snapshotEnd != ended {
		// Between the position before and what was told anew things may have come and gone unseen: who is not known to have
		// come past that is told anew as well. Begin and end may have come in one frame.
		if r.snapshotEnd = ended; r.floor.compare(ended) < 0 {
			r.floor = ended
		}
		for _, s := range r.sortedSessions() {
			for i := range s.feeds {
				switch f := &s.feeds[i]; f.state {
				case feedDelta:
					r.decideFeed(s, int32(i))
				case feedSnapshotPending, feedSnapshot:
					if f.queued&recordQueues == 0 {
						s.enqueue(r, int32(i), queueEnd)
					}
				}
			}
			r.markReady(s)
		}
	}
	r.pruneTombstones()
}

// position is up to where this relay is known to hold all, and whether that is so at all.
func (r *Relay) position() (Position, bool) {
	if r.origin != nil {
		return Position{r.epoch, r.origin.version}, len(r.origin.awaited) == 0
	}
	at, _, whole := r.replica.leastPosition()
	return at, whole && at.Epoch == r.epoch && at.Through >= r.replica.maxSnapshotEnd
}

func (r *Relay) asOfNs(now int64) int64 {
	if r.origin != nil {
		return now
	}
	_, asOf, _ := r.replica.leastPosition()
	return asOf
}

// Age is how old what the relay holds is, nanoseconds; unknown until it is whole.
func (r *Relay) Age(now int64) (ns int64, known bool) { return now - r.asOfNs(now), r.complete }

// Whole says that all that this relay follows has been told to its end.
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

// Ready are the subscribers that have come to have something to be sent since the last call.
func (r *Relay) Ready() []int {
	out := r.readyIDs
	r.readyIDs = nil
	kept := out[:0]
	for _, id := range out {
		if s := r.sessions[id]; s != nil {
			s.ready = false
			kept = append(kept, id)
		}
	}
	return kept
}

// Attach takes a subscriber on by its hello; bytesPerSecond is its pace, 0 without one. At the pace it costs 128 bytes a selector.
func (r *Relay) Attach(now int64, hello []byte, bytesPerSecond int) (id int, err error) {
	h, err := decodeHello(hello, r.limits)
	if err == nil && len(r.sessions) >= r.limits.Subscribers {
		err = limitError("subscribers", r.limits.Subscribers, len(r.sessions)+1)
	}
	if err == nil && r.origin == nil {
		for _, n := range h.Selectors {
			if !r.replica.includes(n.Scope, n.Flags&flagPrefix != 0) {
				err = fmt.Errorf("%w: %q", ErrNotFollowed, n.Scope)
				break
			}
		}
	}
	if err != nil {
		r.stats.RefusedHellos++
		return 0, err
	}
	r.lastID++
	s := &session{
		id: r.lastID, clientSession: h.Session, epochSeen: h.EpochSeen, bytesPerSecond: int64(max(0, bytesPerSecond)), dueNs: now, lastSentNs: now - HeartbeatNs,
		feeds: make([]feed, len(h.Selectors)), unsettled: len(h.Selectors),
	}
	r.sessions[s.id] = s
	for i, n := range h.Selectors {
		f := &s.feeds[i]
		f.position = Position{n.Epoch, n.Through}
		if n.Flags&flagShared != 0 {
			f.position = Position{h.Epoch, h.Through}
		}
		s.epochSeen = max(s.epochSeen, f.position.Epoch)
		if n.Flags&flagPrefix != 0 {
			f.prefix = n.Scope
			r.prefixFeeds = append(r.prefixFeeds, feedRef{s, int32(i)})
		} else {
			f.scope = r.replica.ensureScope(n.Scope)
			f.scope.order.feeds = append(f.scope.order.feeds, feedRef{s, int32(i)})
		}
	}
	for i := range s.feeds {
		r.decideFeed(s, int32(i))
		switch s.feeds[i].state {
		case feedDelta:
			r.stats.Resumed++
		case feedSnapshotPending:
			r.stats.Snapshots++
		}
	}
	r.markReady(s)
	return s.id, nil
}

// Detach lets a subscriber go.
func (r *Relay) Detach(id int) {
	s := r.sessions[id]
	if s == nil {
		return
	}
	delete(r.sessions, id)
	for i := range s.feeds {
		if f := &s.feeds[i]; f.scope != nil {
			list := f.scope.order.feeds
			if k := slices.Index(list, feedRef{s, int32(i)}); k >= 0 {
				list[k] = list[len(list)-1]
				list[len(list)-1] = feedRef{}
				f.scope.order.feeds = list[:len(list)-1]
			}
			r.replica.releaseScope(f.scope)
		}
	}
	r.prefixFeeds = slices.DeleteFunc(r.prefixFeeds, func(f feedRef) bool { return f.session == s })
}

// decide says what becomes of a feed, by the subscriber's position and this relay's.
func (r *Relay) decideFeed(s *session, at int32) {
	f := &s.feeds[at]
	f.position = s.known(f)
	switch {
	case r.epoch == 0 || r.epoch < s.epochSeen:
		s.setState(f, feedWaiting, f.queued)
	case f.position.Epoch != r.epoch || r.complete && f.position.compare(r.floor) < 0:
		r.startSnapshot(s, at)
	default: // also while this relay is not whole: it is decided anew when it is, and nothing is claimed before
		r.startDelta(s, at)
	}
}

// resume has a feed go on after its position.
func (r *Relay) startDelta(s *session, at int32) {
	f := &s.feeds[at]
	if f.state == feedDelta {
		return // its cursors stand
	}
	s.setState(f, feedDelta, f.queued)
	for c := range classCount {
		f.cursor[c] = 0
		if l := r.orderOf(f, c); l.last.compare(f.position) > 0 || l.outOfOrder {
			if !l.outOfOrder {
				f.cursor[c] = r.cursorAt(f, c)
			}
			s.enqueue(r, at, int(c))
		}
	}
}

// anew has a feed told from the first record, and to its end.
func (r *Relay) startSnapshot(s *session, at int32) {
	f := &s.feeds[at]
	f.position = s.known(f)
	f.cursor = [classCount]uint64{}
	s.setState(f, feedSnapshotPending, f.queued)
	for c := range classCount {
		if r.orderOf(f, c).last != (Position{}) {
			s.enqueue(r, at, int(c))
		}
	}
	if f.queued&recordQueues == 0 {
		s.enqueue(r, at, queueEnd)
	}
}

func (r *Relay) orderOf(f *feed, c Class) classOrder {
	if f.scope != nil {
		return f.scope.order.byClass[c]
	}
	return r.order[c]
}

// walk calls for the records of a feed's class after its cursor, in order, until told to stop.
func (r *Relay) ascendRecords(f *feed, c Class, call func(*item) bool) {
	r.probe.class, r.probe.seq, r.probe.scope = c, f.cursor[c]+1, f.scope
	if f.scope != nil {
		r.byScope.AscendGreaterOrEqual(&r.probe, func(it *item) bool { return it.scope == f.scope && it.class == c && call(it) })
		return
	}
	r.byClass.AscendGreaterOrEqual(&r.probe, func(it *item) bool {
		return it.class == c && (!strings.HasPrefix(it.scope.name, f.prefix) || call(it))
	})
}

// before is the place behind which everything newer than a feed's position lies, in a lane that is in the order of versions.
func (r *Relay) cursorAt(f *feed, c Class) (cursor uint64) {
	r.probe.class, r.probe.seq, r.probe.scope = c, r.seq+1, f.scope
	back := func(it *item) bool {
		if it.class != c || f.scope != nil && it.scope != f.scope {
			return false
		}
		if it.position().compare(f.position) <= 0 {
			cursor = it.seq
			return false
		}
		return true
	}
	if f.scope != nil {
		r.byScope.DescendLessOrEqual(&r.probe, back)
	} else {
		r.byClass.DescendLessOrEqual(&r.probe, back)
	}
	return cursor
}

// Next is the next frame to a subscriber; without one, at is when to ask again, or earlier when Ready names it.
func (r *Relay) Next(now int64, id int) (out []byte, at int64) {
	s := r.sessions[id]
	if s == nil {
		return nil, now + HeartbeatNs
	}
	pending := false
	for q := range s.queues {
		pending = pending || s.queues[q].len() > 0
	}
	may := s.bytesPerSecond == 0 || s.dueNs-BurstNs <= now
	beat := now >= s.lastSentNs+HeartbeatNs
	if !beat && pending && !may {
		return nil, min(s.dueNs-BurstNs, s.lastSentNs+HeartbeatNs)
	}
	w := &frameWriter{relay: r, session: s, frame: frame{Session: s.clientSession, Epoch: r.epoch}, roomBytes: maxRecordsBytes}
	if s.bytesPerSecond > 0 {
		w.roomBytes = int(min(max(s.bytesPerSecond/8, 1024), maxRecordsBytes))
	}
	if pending && may {
		w.fill()
	}
	r.addClaim(now, s, &w.frame, beat)
	if w.frame.Begin == nil && w.frame.Groups == nil && w.frame.End == nil && !beat && !(w.frame.All && s.claimed.Epoch != r.epoch) {
		return nil, s.lastSentNs + HeartbeatNs
	}
	s.lastFrame++
	w.frame.Number = s.lastFrame
	if w.frame.All && w.frame.Except == nil {
		s.claimed = r.claimed
	}
	out = encode(&w.frame)
	s.lastSentNs = now
	if s.bytesPerSecond > 0 {
		s.dueNs = max(s.dueNs, now) + int64(len(out))*1e9/s.bytesPerSecond
	}
	r.stats.Sent++
	r.stats.SentBytes += int64(len(out))
	return out, now
}

// claim says of a frame's scopes up to where they are told: only a relay that is whole does, and only for those that want nothing. Feeds
// that wait for an epoch are unsettled and in no queue, so that nothing is claimed beside them.
func (r *Relay) addClaim(now int64, s *session, f *frame, beat bool) {
	if !r.complete {
		return
	}
	if s.unsettled > 0 && beat && s.unsettled <= maxExcept {
		for q := range s.queues {
			for _, i := range s.queues[q].list[s.queues[q].head:] {
				if !slices.Contains(f.Except, uint32(i)) {
					f.Except = append(f.Except, uint32(i))
				}
			}
		}
	}
	f.All = len(f.Except) == s.unsettled
	if !f.All {
		f.Except = nil
	}
	if f.All || f.End != nil {
		f.Through, f.Age = r.claimed.Through, max(0, now-r.asOfNs(now))
	}
}

// writer fills one frame.
type frameWriter struct {
	relay     *Relay
	session   *session
	frame     frame
	roomBytes int
	full      bool
}

func (w *frameWriter) fill() {
	s := w.session
	for q := range queueCount {
		for n := s.queues[q].len(); n > 0 && (q == queueEnd || !w.full); n-- {
			at := s.queues[q].pop()
			f := &s.feeds[at]
			s.setState(f, f.state, f.queued&^(1<<q))
			w.writeFeed(f, at, q)
		}
	}
}

// visit sends what a feed lacks of a class, and where that was the last of it, that it has ended.
func (w *frameWriter) writeFeed(f *feed, at int32, q int) {
	s, r := w.session, w.relay
	if f.state == feedWaiting {
		return
	}
	if f.state == feedSnapshotPending {
		if len(w.frame.Begin) == maxSnapshotEvents || w.roomBytes <= 0 {
			w.full = true
			s.enqueue(r, at, q)
			return
		}
		w.frame.Begin = append(w.frame.Begin, uint32(at))
		w.roomBytes -= 3
		f.snapshotSeq = r.seq
		s.setState(f, feedSnapshot, f.queued)
	}
	if q < queueEnd && !w.writeRecords(f, Class(q)) {
		w.full = true
		s.enqueue(r, at, q)
		return
	}
	if f.queued&recordQueues != 0 || f.state != feedSnapshot || !r.complete {
		return
	}
	if len(w.frame.End) == maxSnapshotEvents || w.roomBytes <= 0 {
		s.enqueue(r, at, queueEnd)
		return
	}
	w.frame.End = append(w.frame.End, uint32(at))
	w.roomBytes -= 3
	f.position = r.claimed
	s.setState(f, feedDelta, f.queued&^(1<<queueEnd))
}

// records says whether all of a class is told.
func (w *frameWriter) writeRecords(f *feed, c Class) (all bool) {
	all = true
	r := w.relay
	r.ascendRecords(f, c, func(it *item) bool {
		if it.epoch != r.epoch || f.state == feedSnapshot && it.deleted && it.seq <= f.snapshotSeq || f.state != feedSnapshot && it.position().compare(f.position) <= 0 {
			f.cursor[c] = it.seq
			return true
		}
		n := record{Key: it.key, Flags: uint8(it.class), Version: it.version, Body: it.body}
		if it.deleted {
			n.Flags |= flagDeleted
		} else if f.state == feedSnapshot && it.position().compare(f.position) <= 0 && f.position.Epoch == it.epoch {
			n.Flags |= flagKeyOnly
			n.Body = nil
		}
		groups := w.frame.Groups
		size := len(n.Key) + len(n.Body) + 20
		fresh := len(groups) == 0 || groups[len(groups)-1].Scope != it.scope.name
		if fresh {
			size += len(it.scope.name) + 8
		}
		if size > w.roomBytes && len(groups) > 0 {
			all = false
			return false
		}
		if fresh {
			w.frame.Groups = append(w.frame.Groups, recordGroup{Scope: it.scope.name})
		}
		g := &w.frame.Groups[len(w.frame.Groups)-1]
		g.Records = append(g.Records, n)
		w.roomBytes -= size
		f.cursor[c] = it.seq
		r.stats.SentRecords++
		if n.Flags&flagKeyOnly != 0 {
			r.stats.SentKeysOnly++
		}
		return true
	})
	return all
}

// Stats are the counters.
func (r *Relay) Stats() Stats {
	t, own := r.replica.currentStats(), r.stats
	t.Epoch, t.Through, t.Complete, t.Floor, t.Subscribers = r.epoch, r.claimed.Through, r.complete, r.floor.Through, len(r.sessions)
	if r.claimed.Epoch != r.epoch {
		t.Through = 0
	}
	for _, s := range r.sessions {
		t.Selectors += len(s.feeds)
	}
	t.Sent, t.SentBytes, t.SentRecords, t.SentKeysOnly = own.Sent, own.SentBytes, own.SentRecords, own.SentKeysOnly
	t.Resumed, t.Snapshots, t.RefusedHellos = own.Resumed, own.Snapshots, own.RefusedHellos
	return t
}
