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
type lanes struct {
	id    uint64
	feeds []feedRef
	lane  [classes]lane
}

// lane says whether that order is the order of versions too, so that a resumption needs to look at what is newer alone.
type lane struct {
	last  Position
	mixed bool
}

func (l *lane) append(at Position) {
	l.mixed = l.mixed || at.compare(l.last) < 0
	l.last = at
}

type feedRef struct {
	sub *subscription
	at  int32
}

type state uint8

const (
	waiting   state = iota // for the epoch that the subscriber knows of
	anew                   // to be begun
	begun                  // records go out, from the first
	following              // what is newer than the position goes out, and all that changes
)

// feed is one selector of one subscriber. 96 bytes; the position is the subscriber's own as far as told.
type feed struct {
	scope  *scope // nil for a prefix
	prefix string
	cursor [classes]uint64
	after  Position
	since  uint64 // the order's place when it began anew
	state  state
	queued uint8 // in which queues it is
}

// Queues of a subscriber: one for each class, and one of scopes of which only the end has to be told.
const (
	finish  = int(classes)
	queues  = finish + 1
	records = 1<<finish - 1
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
type subscription struct {
	id        int
	session   uint64
	number    uint64
	seen      uint64
	pace      int64
	due       int64 // when what was sent would have gone out at the pace
	sent      int64 // when the last frame went out
	told      Position
	feeds     []feed
	queues    [queues]queue
	unsettled int // feeds that are not following, or are queued
	ready     bool
}

// settle is the one place in which a feed's state changes, so that unsettled stays right.
func (s *subscription) settle(f *feed, to state, queued uint8) {
	was := f.state != following || f.queued != 0
	f.state, f.queued = to, queued
	if is := f.state != following || f.queued != 0; is && !was {
		s.unsettled++
	} else if was && !is {
		s.unsettled--
	}
}

func (s *subscription) queue(r *Relay, at int32, q int) {
	f := &s.feeds[at]
	if f.queued&(1<<q) != 0 {
		return
	}
	s.settle(f, f.state, f.queued|1<<q)
	s.queues[q].push(at)
	r.wake(s)
}

// place is up to where a feed's subscriber is known to know.
func (s *subscription) place(f *feed) Position {
	if f.state == following && s.told.compare(f.after) > 0 {
		return s.told
	}
	return f.after
}

// dead is a tombstone's place in the order; void once the record has moved on.
type dead struct {
	it  *item
	seq uint64
}

// Relay holds the newest of each record and sends it on. One caller at a time.
type Relay struct {
	held   *replica
	owner  *Origin // of an origin's own
	limits Limits

	order   *btree.BTreeG[*item] // by class and seq: for prefixes
	byScope *btree.BTreeG[*item] // by scope, class and seq
	all     [classes]lane
	seq     uint64
	dead    []dead
	probe   item

	epoch   uint64
	whole   bool
	claimed Position // never falls
	floor   Position // who is known to know less is told anew
	ended   Position // up to where this relay was itself last told anything anew

	subs     map[int]*subscription
	lastID   int
	prefixes []feedRef
	woken    []int
	stats    Stats
}

// NewRelay makes a relay that holds nothing.
func NewRelay(l Limits) *Relay {
	r := &Relay{limits: l.filled(), subs: map[int]*subscription{}}
	r.held = newReplica(r, l)
	r.held.tombs = true
	r.order = btree.NewG(32, func(a, b *item) bool { return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.seq, b.seq)) < 0 })
	r.byScope = btree.NewG(32, func(a, b *item) bool {
		if a.scope != b.scope {
			return a.scope.lanes.id < b.scope.lanes.id
		}
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.seq, b.seq)) < 0
	})
	return r
}

// Follow says what a relay takes from its upstream; before the first Upstream.
func (r *Relay) Follow(selectors []Selector) error { return r.held.follow(selectors) }

// Upstream is the hello to the relay's upstream; a new session begins.
func (r *Relay) Upstream(now int64) []byte { return r.held.hello() }

// Take takes in a frame from upstream. After an error the connection is to be ended.
func (r *Relay) Take(now int64, frame []byte) error {
	err := r.held.take(now, frame)
	r.refresh()
	return err
}

// leaves takes a record from its place in the order.
func (r *Relay) leaves(it *item) {
	r.order.Delete(it)
	r.byScope.Delete(it)
}

// changed puts a record at the order's end and tells those that subscribe to its scope.
func (r *Relay) changed(it *item, _ prior, _ bool) {
	r.follows()
	r.seq++
	it.seq = r.seq
	r.order.ReplaceOrInsert(it)
	r.byScope.ReplaceOrInsert(it)
	r.all[it.class].append(it.stamp())
	it.scope.lanes.lane[it.class].append(it.stamp())
	r.each(it, func(s *subscription, at int32) {
		if s.feeds[at].state != waiting {
			s.queue(r, at, int(it.class))
		}
	})
	if it.gone {
		r.dead = append(r.dead, dead{it, it.seq})
	}
}

// each calls for each feed that a record belongs to.
func (r *Relay) each(it *item, call func(*subscription, int32)) {
	for _, f := range it.scope.lanes.feeds {
		call(f.sub, f.at)
	}
	for _, f := range r.prefixes {
		if strings.HasPrefix(it.scope.name, f.sub.feeds[f.at].prefix) {
			call(f.sub, f.at)
		}
	}
}

// prune keeps the tombstones within their bound: the oldest go, and with them the right to resume before them.
func (r *Relay) prune() {
	n := 0
	for ; r.held.gone > r.limits.Tombstones && n < len(r.dead); n++ {
		d := r.dead[n]
		if !d.it.gone || d.it.seq != d.seq || r.held.find(d.it.scope.name, d.it.key) != d.it {
			continue
		}
		if d.it.stamp().compare(r.claimed) > 0 {
			break // what this relay can't claim to know may come from elsewhere, older
		}
		if d.it.epoch == r.epoch {
			r.each(d.it, func(s *subscription, at int32) {
				f := &s.feeds[at]
				unsent := f.queued&(1<<d.it.class) != 0 && f.cursor[d.it.class] < d.seq
				if unsent && (f.state == following || f.state == begun && d.seq > f.since) {
					r.anew(s, at)
				}
			})
			if r.floor.compare(d.it.stamp()) < 0 {
				r.floor = d.it.stamp()
			}
		}
		r.held.remove(d.it)
	}
	r.dead = r.dead[n:]
	if len(r.dead) > 2*r.held.gone+64 {
		r.dead = slices.Clip(slices.DeleteFunc(r.dead, func(d dead) bool { return !d.it.gone || d.it.seq != d.seq }))
	}
}

// follows takes a newer epoch for its own: all is told anew in it, as it comes.
func (r *Relay) follows() {
	if r.held.seen == r.epoch {
		return
	}
	r.epoch, r.whole = r.held.seen, false
	for _, s := range r.inOrder() {
		for i := range s.feeds {
			r.decide(s, int32(i))
		}
		r.wake(s)
	}
}

// refresh goes by what the replica is known up to.
func (r *Relay) refresh() {
	r.follows()
	at, whole := r.position()
	if !whole {
		r.whole = false
		r.prune()
		return
	}
	was := r.whole
	r.whole = true
	if at.compare(r.claimed) > 0 {
		r.claimed = at
	}
	if ended := (Position{r.epoch, r.held.endMax}); !was || r.ended != ended {
		// Between the position before and what was told anew things may have come and gone unseen: who is not known to have
		// come past that is told anew as well. Begin and end may have come in one frame.
		if r.ended = ended; r.floor.compare(ended) < 0 {
			r.floor = ended
		}
		for _, s := range r.inOrder() {
			for i := range s.feeds {
				switch f := &s.feeds[i]; f.state {
				case following:
					r.decide(s, int32(i))
				case anew, begun:
					if f.queued&records == 0 {
						s.queue(r, int32(i), finish)
					}
				}
			}
			r.wake(s)
		}
	}
	r.prune()
}

// position is up to where this relay is known to hold all, and whether that is so at all.
func (r *Relay) position() (Position, bool) {
	if r.owner != nil {
		return Position{r.epoch, r.owner.version}, len(r.owner.awaited) == 0
	}
	at, _, whole := r.held.least()
	return at, whole && at.Epoch == r.epoch && at.Through >= r.held.endMax
}

func (r *Relay) asOf(now int64) int64 {
	if r.owner != nil {
		return now
	}
	_, asOf, _ := r.held.least()
	return asOf
}

// Age is how old what the relay holds is, nanoseconds; unknown until it is whole.
func (r *Relay) Age(now int64) (ns int64, known bool) { return now - r.asOf(now), r.whole }

// Whole says that all that this relay follows has been told to its end.
func (r *Relay) Whole() bool { return r.whole }

func (r *Relay) inOrder() []*subscription {
	out := make([]*subscription, 0, len(r.subs))
	for _, s := range r.subs {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *subscription) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (r *Relay) wake(s *subscription) {
	if !s.ready {
		s.ready = true
		r.woken = append(r.woken, s.id)
	}
}

// Ready are the subscribers that have come to have something to be sent since the last call.
func (r *Relay) Ready() []int {
	out := r.woken
	r.woken = nil
	kept := out[:0]
	for _, id := range out {
		if s := r.subs[id]; s != nil {
			s.ready = false
			kept = append(kept, id)
		}
	}
	return kept
}

// Attach takes a subscriber on by its hello; bytesPerSecond is its pace, 0 without one. At the pace it costs 128 bytes a selector.
func (r *Relay) Attach(now int64, hello []byte, bytesPerSecond int) (id int, err error) {
	h, err := decodeHello(hello, r.limits)
	if err == nil && len(r.subs) >= r.limits.Subscribers {
		err = over("subscribers", r.limits.Subscribers, len(r.subs)+1)
	}
	if err == nil && r.owner == nil {
		for _, n := range h.Selectors {
			if !r.held.includes(n.Scope, n.Flags&flagPrefix != 0) {
				err = fmt.Errorf("%w: %q", ErrNotFollowed, n.Scope)
				break
			}
		}
	}
	if err != nil {
		r.stats.Refused++
		return 0, err
	}
	r.lastID++
	s := &subscription{
		id: r.lastID, session: h.Session, seen: h.Seen, pace: int64(max(0, bytesPerSecond)), due: now, sent: now - Heartbeat,
		feeds: make([]feed, len(h.Selectors)), unsettled: len(h.Selectors),
	}
	r.subs[s.id] = s
	for i, n := range h.Selectors {
		f := &s.feeds[i]
		f.after = Position{n.Epoch, n.Through}
		if n.Flags&flagFollows != 0 {
			f.after = Position{h.Epoch, h.Through}
		}
		s.seen = max(s.seen, f.after.Epoch)
		if n.Flags&flagPrefix != 0 {
			f.prefix = n.Scope
			r.prefixes = append(r.prefixes, feedRef{s, int32(i)})
		} else {
			f.scope = r.held.scopeOf(n.Scope)
			f.scope.lanes.feeds = append(f.scope.lanes.feeds, feedRef{s, int32(i)})
		}
	}
	for i := range s.feeds {
		r.decide(s, int32(i))
		switch s.feeds[i].state {
		case following:
			r.stats.Resumed++
		case anew:
			r.stats.Anew++
		}
	}
	r.wake(s)
	return s.id, nil
}

// Detach lets a subscriber go.
func (r *Relay) Detach(id int) {
	s := r.subs[id]
	if s == nil {
		return
	}
	delete(r.subs, id)
	for i := range s.feeds {
		if f := &s.feeds[i]; f.scope != nil {
			list := f.scope.lanes.feeds
			if k := slices.Index(list, feedRef{s, int32(i)}); k >= 0 {
				list[k] = list[len(list)-1]
				list[len(list)-1] = feedRef{}
				f.scope.lanes.feeds = list[:len(list)-1]
			}
			r.held.release(f.scope)
		}
	}
	r.prefixes = slices.DeleteFunc(r.prefixes, func(f feedRef) bool { return f.sub == s })
}

// decide says what becomes of a feed, by the subscriber's position and this relay's.
func (r *Relay) decide(s *subscription, at int32) {
	f := &s.feeds[at]
	f.after = s.place(f)
	switch {
	case r.epoch == 0 || r.epoch < s.seen:
		s.settle(f, waiting, f.queued)
	case f.after.Epoch != r.epoch || r.whole && f.after.compare(r.floor) < 0:
		r.anew(s, at)
	default: // also while this relay is not whole: it is decided anew when it is, and nothing is claimed before
		r.resume(s, at)
	}
}

// resume has a feed go on after its position.
func (r *Relay) resume(s *subscription, at int32) {
	f := &s.feeds[at]
	if f.state == following {
		return // its cursors stand
	}
	s.settle(f, following, f.queued)
	for c := range classes {
		f.cursor[c] = 0
		if l := r.lane(f, c); l.last.compare(f.after) > 0 || l.mixed {
			if !l.mixed {
				f.cursor[c] = r.before(f, c)
			}
			s.queue(r, at, int(c))
		}
	}
}

// anew has a feed told from the first record, and to its end.
func (r *Relay) anew(s *subscription, at int32) {
	f := &s.feeds[at]
	f.after = s.place(f)
	f.cursor = [classes]uint64{}
	s.settle(f, anew, f.queued)
	for c := range classes {
		if r.lane(f, c).last != (Position{}) {
			s.queue(r, at, int(c))
		}
	}
	if f.queued&records == 0 {
		s.queue(r, at, finish)
	}
}

func (r *Relay) lane(f *feed, c Class) lane {
	if f.scope != nil {
		return f.scope.lanes.lane[c]
	}
	return r.all[c]
}

// walk calls for the records of a feed's class after its cursor, in order, until told to stop.
func (r *Relay) walk(f *feed, c Class, call func(*item) bool) {
	r.probe.class, r.probe.seq, r.probe.scope = c, f.cursor[c]+1, f.scope
	if f.scope != nil {
		r.byScope.AscendGreaterOrEqual(&r.probe, func(it *item) bool { return it.scope == f.scope && it.class == c && call(it) })
		return
	}
	r.order.AscendGreaterOrEqual(&r.probe, func(it *item) bool {
		return it.class == c && (!strings.HasPrefix(it.scope.name, f.prefix) || call(it))
	})
}

// before is the place behind which everything newer than a feed's position lies, in a lane that is in the order of versions.
func (r *Relay) before(f *feed, c Class) (cursor uint64) {
	r.probe.class, r.probe.seq, r.probe.scope = c, r.seq+1, f.scope
	back := func(it *item) bool {
		if it.class != c || f.scope != nil && it.scope != f.scope {
			return false
		}
		if it.stamp().compare(f.after) <= 0 {
			cursor = it.seq
			return false
		}
		return true
	}
	if f.scope != nil {
		r.byScope.DescendLessOrEqual(&r.probe, back)
	} else {
		r.order.DescendLessOrEqual(&r.probe, back)
	}
	return cursor
}

// Next is the next frame to a subscriber; without one, at is when to ask again, or earlier when Ready names it.
func (r *Relay) Next(now int64, id int) (out []byte, at int64) {
	s := r.subs[id]
	if s == nil {
		return nil, now + Heartbeat
	}
	pending := false
	for q := range s.queues {
		pending = pending || s.queues[q].len() > 0
	}
	may := s.pace == 0 || s.due-Burst <= now
	beat := now >= s.sent+Heartbeat
	if !beat && pending && !may {
		return nil, min(s.due-Burst, s.sent+Heartbeat)
	}
	w := &writer{relay: r, sub: s, frame: frame{Session: s.session, Epoch: r.epoch}, room: frameRoom}
	if s.pace > 0 {
		w.room = int(min(max(s.pace/8, 1024), frameRoom))
	}
	if pending && may {
		w.fill()
	}
	r.claim(now, s, &w.frame, beat)
	if w.frame.Begin == nil && w.frame.Groups == nil && w.frame.End == nil && !beat && !(w.frame.All && s.told.Epoch != r.epoch) {
		return nil, s.sent + Heartbeat
	}
	s.number++
	w.frame.Number = s.number
	if w.frame.All && w.frame.Except == nil {
		s.told = r.claimed
	}
	out = encode(&w.frame)
	s.sent = now
	if s.pace > 0 {
		s.due = max(s.due, now) + int64(len(out))*1e9/s.pace
	}
	r.stats.Sent++
	r.stats.SentBytes += int64(len(out))
	return out, now
}

// claim says of a frame's scopes up to where they are told: only a relay that is whole does, and only for those that want nothing. Feeds
// that wait for an epoch are unsettled and in no queue, so that nothing is claimed beside them.
func (r *Relay) claim(now int64, s *subscription, f *frame, beat bool) {
	if !r.whole {
		return
	}
	if s.unsettled > 0 && beat && s.unsettled <= mostExcept {
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
		f.Through, f.Age = r.claimed.Through, max(0, now-r.asOf(now))
	}
}

// writer fills one frame.
type writer struct {
	relay *Relay
	sub   *subscription
	frame frame
	room  int
	full  bool
}

func (w *writer) fill() {
	s := w.sub
	for q := range queues {
		for n := s.queues[q].len(); n > 0 && (q == finish || !w.full); n-- {
			at := s.queues[q].pop()
			f := &s.feeds[at]
			s.settle(f, f.state, f.queued&^(1<<q))
			w.visit(f, at, q)
		}
	}
}

// visit sends what a feed lacks of a class, and where that was the last of it, that it has ended.
func (w *writer) visit(f *feed, at int32, q int) {
	s, r := w.sub, w.relay
	if f.state == waiting {
		return
	}
	if f.state == anew {
		if len(w.frame.Begin) == mostEvents || w.room <= 0 {
			w.full = true
			s.queue(r, at, q)
			return
		}
		w.frame.Begin = append(w.frame.Begin, uint32(at))
		w.room -= 3
		f.since = r.seq
		s.settle(f, begun, f.queued)
	}
	if q < finish && !w.records(f, Class(q)) {
		w.full = true
		s.queue(r, at, q)
		return
	}
	if f.queued&records != 0 || f.state != begun || !r.whole {
		return
	}
	if len(w.frame.End) == mostEvents || w.room <= 0 {
		s.queue(r, at, finish)
		return
	}
	w.frame.End = append(w.frame.End, uint32(at))
	w.room -= 3
	f.after = r.claimed
	s.settle(f, following, f.queued&^(1<<finish))
}

// records says whether all of a class is told.
func (w *writer) records(f *feed, c Class) (all bool) {
	all = true
	r := w.relay
	r.walk(f, c, func(it *item) bool {
		if it.epoch != r.epoch || f.state == begun && it.gone && it.seq <= f.since || f.state != begun && it.stamp().compare(f.after) <= 0 {
			f.cursor[c] = it.seq
			return true
		}
		n := record{Key: it.key, Flags: uint8(it.class), Version: it.version, Body: it.body}
		if it.gone {
			n.Flags |= flagGone
		} else if f.state == begun && it.stamp().compare(f.after) <= 0 && f.after.Epoch == it.epoch {
			n.Flags |= flagNamed
			n.Body = nil
		}
		groups := w.frame.Groups
		size := len(n.Key) + len(n.Body) + 20
		fresh := len(groups) == 0 || groups[len(groups)-1].Scope != it.scope.name
		if fresh {
			size += len(it.scope.name) + 8
		}
		if size > w.room && len(groups) > 0 {
			all = false
			return false
		}
		if fresh {
			w.frame.Groups = append(w.frame.Groups, group{Scope: it.scope.name})
		}
		g := &w.frame.Groups[len(w.frame.Groups)-1]
		g.Records = append(g.Records, n)
		w.room -= size
		f.cursor[c] = it.seq
		r.stats.SentRecords++
		if n.Flags&flagNamed != 0 {
			r.stats.SentNames++
		}
		return true
	})
	return all
}

// Stats are the counters.
func (r *Relay) Stats() Stats {
	t, own := r.held.counts(), r.stats
	t.Epoch, t.Through, t.Whole, t.Floor, t.Subscribers = r.epoch, r.claimed.Through, r.whole, r.floor.Through, len(r.subs)
	if r.claimed.Epoch != r.epoch {
		t.Through = 0
	}
	for _, s := range r.subs {
		t.Selectors += len(s.feeds)
	}
	t.Sent, t.SentBytes, t.SentRecords, t.SentNames = own.Sent, own.SentBytes, own.SentRecords, own.SentNames
	t.Resumed, t.Anew, t.Refused = own.Resumed, own.Anew, own.Refused
	return t
}
