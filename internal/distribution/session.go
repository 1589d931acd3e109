package distribution

import (
	"fmt"
	"slices"
	"strings"
)

// session is one subscriber's connection to a relay, with a feed for each of its selectors.
type session struct {
	id             int
	clientSession  uint64 // the session number in the subscriber's hello
	lastFrame      uint64 // number of the last frame sent
	epochSeen      uint64 // the highest epoch that the subscriber has seen
	bytesPerSecond int64  // the pace; 0 if not paced
	pacedUntilNs   int64  // when all bytes sent so far would have been sent at the pace
	lastSentNs     int64  // when the last frame was sent
	advertised     Position
	feeds          []feed
	queues         [queueCount]queue
	feedsBehind    int // feeds that have not caught up: they are queued, or not in feedDelta
	ready          bool
}

// feed is one selector of a session. Its size of 96 bytes matters: a relay holds millions of feeds.
type feed struct {
	scope       *scope // nil for a prefix selector
	prefix      string
	cursor      [classCount]uint64 // seq of the last record sent, by class
	position    Position           // reached by the subscriber, apart from what the session has advertised
	snapshotSeq uint64             // the relay's seq when the snapshot began
	state       feedState
	queued      uint8 // bit set of the queues that the feed is in
}

type feedRef struct {
	session *session
	index   int32
}

// feedState is the state of a feed: which records it sends.
type feedState uint8

const (
	feedWaiting         feedState = iota // sends nothing: the relay's epoch is lower than the subscriber has seen
	feedSnapshotPending                  // will send a snapshot, which has not begun
	feedSnapshot                         // sends a snapshot, from the first record on
	feedDelta                            // sends records newer than the position, then changes
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

// A session has a queue of feeds for each class of records, and endQueue for feeds whose snapshot only lacks its end.
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

const minQueueHead = 16 // free entries at the front of the list that are not worth compacting

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

// setState changes the state of a feed and keeps feedsBehind consistent. No other code changes these fields.
func (s *session) setState(f *feed, state feedState, queued uint8) {
	wasCaughtUp := f.caughtUp()
	f.state = state
	f.queued = queued
	if wasCaughtUp && !f.caughtUp() {
		s.feedsBehind++
	} else if !wasCaughtUp && f.caughtUp() {
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

// knownPosition returns the position that a feed's subscriber is known to have reached.
func (s *session) knownPosition(f *feed) Position {
	if f.state == feedDelta && s.advertised.compare(f.position) > 0 {
		return s.advertised
	}
	return f.position
}

// Attach starts a session with a subscriber, given its hello. bytesPerSecond is the subscriber's pace; 0 disables
// pacing. Errors wrap ErrBadHello, ErrLimit or ErrNotFollowed.
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

// chooseFeedState chooses between a delta and a snapshot, given the positions of the subscriber and of this relay.
func (r *Relay) chooseFeedState(s *session, index int32) {
	f := &s.feeds[index]
	f.position = s.knownPosition(f)
	switch {
	case r.epoch == 0 || r.epoch < s.epochSeen:
		s.setState(f, feedWaiting, f.queued)
	case f.position.Epoch != r.epoch || r.complete && f.position.compare(r.floor) < 0:
		r.startSnapshot(s, index)
	default: // also while this relay is not complete: the state is chosen again once it is
		r.startDelta(s, index)
	}
}

// startDelta makes a feed send the records after its position.
func (r *Relay) startDelta(s *session, index int32) {
	f := &s.feeds[index]
	if f.state == feedDelta {
		return // keeps its cursors
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

// startSnapshot makes a feed send a snapshot: begin, all records, end.
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

// ascendRecords calls visit for the items of one class of a feed after its cursor, in order, until visit returns false.
func (r *Relay) ascendRecords(f *feed, class Class, visit func(*item) bool) {
	r.probe.class, r.probe.seq, r.probe.scope = class, f.cursor[class]+1, f.scope
	if f.scope != nil {
		r.byScope.AscendGreaterOrEqual(&r.probe, func(held *item) bool {
			return held.scope == f.scope && held.class == class && visit(held)
		})
		return
	}
	r.byClass.AscendGreaterOrEqual(&r.probe, func(held *item) bool {
		return held.class == class && (!strings.HasPrefix(held.scope.name, f.prefix) || visit(held))
	})
}

// cursorAt returns the seq after which all items of a class are newer than the feed's position. The items of the class
// must be in the order of their versions.
func (r *Relay) cursorAt(f *feed, class Class) (cursor uint64) {
	r.probe.class, r.probe.seq, r.probe.scope = class, r.seq+1, f.scope
	isNewer := func(held *item) bool {
		if held.class != class || f.scope != nil && held.scope != f.scope {
			return false
		}
		if held.position().compare(f.position) <= 0 {
			cursor = held.seq
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
