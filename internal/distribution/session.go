package distribution

import (
	"fmt"
	"slices"
	"strings"
)

// session is one subscriber's connection to a relay, with a feed for each of its selectors.
type session struct {
	id             int
	clientSession  uint64 // the subscriber's own number of the session
	lastFrame      uint64 // number of the last frame sent
	epochSeen      uint64 // the highest epoch that the subscriber has seen
	bytesPerSecond int64  // 0: not paced
	pacedUntilNs   int64  // when all that was sent would have gone out at the pace
	lastSentNs     int64  // when the last frame went out
	advertised     Position
	feeds          []feed
	queues         [queueCount]queue
	feedsBehind    int // feeds that are queued, or not in feedDelta
	ready          bool
}

// feed is one selector of a session. It has 96 bytes: a relay holds millions.
type feed struct {
	scope       *scope // nil: a prefix
	prefix      string
	cursor      [classCount]uint64 // seq of the last record sent, by class
	position    Position           // what the subscriber is known to know, before what the session claimed
	snapshotSeq uint64             // the relay's seq when the snapshot began
	state       feedState
	queued      uint8 // bit set of the queues that the feed is in
}

type feedRef struct {
	session *session
	index   int32
}

// feedState says what a feed sends.
type feedState uint8

const (
	feedWaiting         feedState = iota // nothing: the relay has not reached the epoch that the subscriber has seen
	feedSnapshotPending                  // a snapshot that has not begun
	feedSnapshot                         // a snapshot, from the first record on
	feedDelta                            // records newer than the position, and all changes
)

func (s feedState) String() string {
	switch s {
	case feedWaiting:
		return "waiting"
	case feedSnapshotPending:
		return "snapshot pending"
	case feedSnapshot:
		return "snapshot"
	case feedDelta:
		return "delta"
	}
	return fmt.Sprintf("feedState(%d)", uint8(s))
}

// A session has a queue of feeds for each class of records, and one of feeds whose snapshot only has to end.
const (
	endQueue     = int(classCount)
	queueCount   = endQueue + 1
	recordQueues = 1<<endQueue - 1 // the bits of the classes' queues in feed.queued
)

// queue is a queue of indexes of feeds.
type queue struct {
	list []int32
	head int
}

const minQueueHead = 16 // entries at the front of a list that are not worth moving

func (q *queue) len() int { return len(q.list) - q.head }

func (q *queue) push(index int32) {
	if q.head > len(q.list)/2 && q.head > minQueueHead {
		q.list = q.list[:copy(q.list, q.list[q.head:])]
		q.head = 0
	}
	q.list = append(q.list, index)
}

func (q *queue) pop() int32 {
	index := q.list[q.head]
	q.head++
	if q.head == len(q.list) {
		q.list = q.list[:0]
		q.head = 0
	}
	return index
}

func (f *feed) caughtUp() bool { return f.state == feedDelta && f.queued == 0 }

// setState is the one place in which a feed's state changes, so that unsettled stays right.
func (s *session) setState(f *feed, state feedState, queued uint8) {
	wasSettled := f.caughtUp()
	f.state = state
	f.queued = queued
	if wasSettled && !f.caughtUp() {
		s.feedsBehind++
	} else if !wasSettled && f.caughtUp() {
		s.feedsBehind--
	}
}

func (s *session) enqueue(r *Relay, index int32, queue int) {
	f := &s.feeds[index]
	if f.queued&(1<<queue) != 0 {
		return
	}
	s.setState(f, f.state, f.queued|1<<queue)
	s.queues[queue].push(index)
	r.markReady(s)
}

func (s *session) hasQueued() bool {
	return slices.ContainsFunc(s.queues[:], func(q queue) bool { return q.len() > 0 })
}

// known returns up to where a feed's subscriber is known to know all changes.
func (s *session) knownPosition(f *feed) Position {
	if f.state == feedDelta && s.advertised.compare(f.position) > 0 {
		return s.advertised
	}
	return f.position
}

// Attach begins a session with a subscriber by its hello. bytesPerSecond is the subscriber's pace; 0: not paced.
// Errors wrap ErrBadHello, ErrLimit or ErrNotFollowed.
func (r *Relay) Attach(now int64, hello []byte, bytesPerSecond int) (id int, err error) {
	h, err := r.acceptHello(hello)
	if err != nil {
		r.stats.RefusedHellos++
		return 0, err
	}
	r.lastID++
	s := &session{
		id:             r.lastID,
		clientSession:  h.Session,
		epochSeen:      h.EpochSeen,
		bytesPerSecond: int64(max(0, bytesPerSecond)),
		pacedUntilNs:   now,
		lastSentNs:     now - HeartbeatNs,
		feeds:          make([]feed, len(h.Selectors)),
		feedsBehind:    len(h.Selectors),
	}
	r.sessions[s.id] = s
	r.addFeeds(s, h)
	for i := range s.feeds {
		r.chooseFeedState(s, int32(i))
		switch s.feeds[i].state {
		case feedDelta:
			r.stats.Resumed++
		case feedSnapshotPending:
			r.stats.Snapshots++
		case feedWaiting, feedSnapshot:
		}
	}
	r.markReady(s)
	return s.id, nil
}

func (r *Relay) acceptHello(b []byte) (*hello, error) {
	h, err := decodeHello(b, r.limits)
	if err != nil {
		return nil, err
	}
	if len(r.sessions) >= r.limits.Subscribers {
		return nil, limitError("subscribers", r.limits.Subscribers, len(r.sessions)+1)
	}
	if r.origin != nil {
		return h, nil
	}
	for _, selector := range h.Selectors {
		if !r.replica.includes(selector.Scope, selector.Flags&flagPrefix != 0) {
			return nil, fmt.Errorf("%w: %q", ErrNotFollowed, selector.Scope)
		}
	}
	return h, nil
}

func (r *Relay) addFeeds(s *session, h *hello) {
	for i, selector := range h.Selectors {
		f := &s.feeds[i]
		f.position = Position{selector.Epoch, selector.Through}
		if selector.Flags&flagShared != 0 {
			f.position = Position{h.Epoch, h.Through}
		}
		s.epochSeen = max(s.epochSeen, f.position.Epoch)
		ref := feedRef{s, int32(i)}
		if selector.Flags&flagPrefix != 0 {
			f.prefix = selector.Scope
			r.prefixFeeds = append(r.prefixFeeds, ref)
		} else {
			f.scope = r.replica.ensureScope(selector.Scope)
			f.scope.order.feeds = append(f.scope.order.feeds, ref)
		}
	}
}

// Detach ends a session.
func (r *Relay) Detach(id int) {
	s := r.sessions[id]
	if s == nil {
		return
	}
	delete(r.sessions, id)
	for i := range s.feeds {
		if scope := s.feeds[i].scope; scope != nil {
			scope.order.removeFeed(feedRef{s, int32(i)})
			r.replica.releaseScope(scope)
		}
	}
	r.prefixFeeds = slices.DeleteFunc(r.prefixFeeds, func(ref feedRef) bool { return ref.session == s })
}

func (o *scopeOrder) removeFeed(ref feedRef) {
	i := slices.Index(o.feeds, ref)
	if i < 0 {
		return
	}
	last := len(o.feeds) - 1
	o.feeds[i] = o.feeds[last]
	o.feeds[last] = feedRef{}
	o.feeds = o.feeds[:last]
}

// chooseFeedState decides between a delta and a snapshot, by the subscriber's position and this relay's.
func (r *Relay) chooseFeedState(s *session, index int32) {
	f := &s.feeds[index]
	f.position = s.knownPosition(f)
	switch {
	case r.epoch == 0 || r.epoch < s.epochSeen:
		s.setState(f, feedWaiting, f.queued)
	case f.position.Epoch != r.epoch || r.complete && f.position.compare(r.floor) < 0:
		r.startSnapshot(s, index)
	default: // also while this relay is not complete: the feed is decided again when it is
		r.startDelta(s, index)
	}
}

// startDelta has a feed go on after its position.
func (r *Relay) startDelta(s *session, index int32) {
	f := &s.feeds[index]
	if f.state == feedDelta {
		return // its cursors stay
	}
	s.setState(f, feedDelta, f.queued)
	for class := range classCount {
		f.cursor[class] = 0
		order := r.orderOf(f, class)
		if order.last.compare(f.position) <= 0 && !order.outOfOrder {
			continue
		}
		if !order.outOfOrder {
			f.cursor[class] = r.cursorAt(f, class)
		}
		s.enqueue(r, index, int(class))
	}
}

// startSnapshot has a feed sent from its first record on, with begin and end.
func (r *Relay) startSnapshot(s *session, index int32) {
	f := &s.feeds[index]
	f.position = s.knownPosition(f)
	f.cursor = [classCount]uint64{}
	s.setState(f, feedSnapshotPending, f.queued)
	for class := range classCount {
		if r.orderOf(f, class).last != (Position{}) {
			s.enqueue(r, index, int(class))
		}
	}
	if f.queued&recordQueues == 0 {
		s.enqueue(r, index, endQueue)
	}
}

func (r *Relay) orderOf(f *feed, class Class) classOrder {
	if f.scope != nil {
		return f.scope.order.byClass[class]
	}
	return r.order[class]
}

// ascendRecords calls visit for the items of a feed's class after its cursor, in order, until visit returns false.
func (r *Relay) ascendRecords(f *feed, class Class, visit func(*item) bool) {
	r.probe.class, r.probe.seq, r.probe.scope = class, f.cursor[class]+1, f.scope
	if f.scope != nil {
		r.byScope.AscendGreaterOrEqual(&r.probe, func(it *item) bool {
			return it.scope == f.scope && it.class == class && visit(it)
		})
		return
	}
	r.byClass.AscendGreaterOrEqual(&r.probe, func(it *item) bool {
		return it.class == class && (!strings.HasPrefix(it.scope.name, f.prefix) || visit(it))
	})
}

// cursorAt returns the place in the order after which all items of a class are newer than the feed's position. The
// order must be the order of versions.
func (r *Relay) cursorAt(f *feed, class Class) (cursor uint64) {
	r.probe.class, r.probe.seq, r.probe.scope = class, r.seq+1, f.scope
	isNewer := func(it *item) bool {
		if it.class != class || f.scope != nil && it.scope != f.scope {
			return false
		}
		if it.position().compare(f.position) <= 0 {
			cursor = it.seq
			return false
		}
		return true
	}
	if f.scope != nil {
		r.byScope.DescendLessOrEqual(&r.probe, isNewer)
	} else {
		r.byClass.DescendLessOrEqual(&r.probe, isNewer)
	}
	return cursor
}
