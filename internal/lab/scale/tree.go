package scale

import (
	"container/heap"
	"errors"
	"math"

	"fawnglade/internal/distribution"
)

// A simulated distribution tree in virtual time: an origin, two levels of relays, and subscribers. Frames arrive after
// the delay of their link, and relays limit their send rate to each subscriber. Processing takes no virtual time; other
// probes measure its cost.

const (
	upperRelays = 3
	lowerRelays = 15
	farDelay    = 40 * millisecond // delay of links between regions
	nearDelay   = 1 * millisecond
	second      = int64(1e9)
	maxWait     = 120 * second
)

// settingsScope is a scope that all nodes follow.
const settingsScope = "all/settings"

// event is a scheduled call. Events at the same time are executed in the order in which they were scheduled.
type event struct {
	at     int64
	number int
	do     func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// tree is an origin, its relays and their subscribers.
type tree struct {
	now         int64
	events      int // number of events scheduled so far
	queue       eventQueue
	endpoints   int // number in all scopes
	origin      *distribution.Origin
	relays      []*treeRelay // the origin's relay first, then the upper, then the lower ones
	subscribers []*treeSubscriber
	received    []int // indexes of subscribers that received a frame since the last check of waitFor
	err         error
}

// treeRelay is a relay with the links to its followers.
type treeRelay struct {
	relay *distribution.Relay
	links map[int]*treeLink // by ID at the relay
}

// treeLink is a link from a relay to a follower.
type treeLink struct {
	receive func(frame []byte) // called after the delay
	delay   int64
	pollAt  int64 // time of the scheduled poll; 0: none is scheduled
}

// treeSubscriber is the subscriber of one node.
type treeSubscriber struct {
	subscriber *distribution.Subscriber
	changes    int               // changed records since resetChanges
	bytes      map[int64]float64 // received, by second of virtual time
}

func (t *tree) schedule(at int64, do func()) {
	t.events++
	heap.Push(&t.queue, event{at, t.events, do})
}

func (t *tree) fail(err error) { t.err = errors.Join(t.err, err) }

// poll sends all frames that a relay has for one link.
func (t *tree) poll(r *treeRelay, id int) {
	link := r.links[id]
	for range maxFrames {
		frame, next := r.relay.Next(t.now, id)
		if frame == nil {
			t.pollLater(r, id, max(next, t.now+1))
			return
		}
		t.schedule(t.now+link.delay, func() { link.receive(frame) })
	}
	t.fail(errEndlessFrames)
}

// pollLater schedules a poll of a link, unless an earlier one is scheduled.
func (t *tree) pollLater(r *treeRelay, id int, at int64) {
	link := r.links[id]
	if link.pollAt > t.now && link.pollAt <= at {
		return
	}
	link.pollAt = at
	t.schedule(at, func() {
		if link.pollAt == at {
			link.pollAt = 0
			t.poll(r, id)
		}
	})
}

// pollReady polls the links for which a relay has frames.
func (t *tree) pollReady(r *treeRelay) {
	for _, id := range r.relay.Ready() {
		t.poll(r, id)
	}
}

// attach adds a link to a relay. pace limits its send rate in bytes per second; 0: unlimited.
func (t *tree) attach(r *treeRelay, hello []byte, pace int, delay int64, receive func(frame []byte)) {
	id, err := r.relay.Attach(t.now, hello, pace)
	if err != nil {
		t.fail(err)
		return
	}
	r.links[id] = &treeLink{receive: receive, delay: delay}
	t.pollReady(r)
}

// addRelay adds a relay that follows the upstream relay.
func (t *tree) addRelay(upstream *treeRelay) {
	r := &treeRelay{relay: distribution.NewRelay(distribution.Limits{}), links: map[int]*treeLink{}}
	if err := r.relay.Follow(allScopes()); err != nil {
		t.fail(err)
	}
	t.attach(upstream, r.relay.UpstreamHello(t.now), 0, farDelay, func(frame []byte) {
		if err := r.relay.Receive(t.now, frame); err != nil {
			t.fail(err)
		}
		t.pollReady(r)
	})
	t.relays = append(t.relays, r)
}

// addSubscriber adds the subscriber of a node, which follows one of the lower relays.
func (t *tree) addSubscriber(node, pace int) error {
	subscriber, err := distribution.NewSubscriber(t.selectors(node), distribution.Limits{})
	if err != nil {
		return err
	}
	s := &treeSubscriber{subscriber: subscriber, bytes: map[int64]float64{}}
	t.subscribers = append(t.subscribers, s)
	t.attach(t.relays[1+upperRelays+node%lowerRelays], subscriber.Hello(), pace, nearDelay, func(frame []byte) {
		changes, err := subscriber.Receive(t.now, frame)
		if err != nil {
			t.fail(err)
		}
		s.changes += len(changes)
		s.bytes[t.now/second] += float64(len(frame)) + frameOverhead
		t.received = append(t.received, node)
	})
	return nil
}

// selectors returns the selectors of a node: some services of its region, and settingsScope.
func (t *tree) selectors(node int) []distribution.Selector {
	selectors := []distribution.Selector{{Scope: settingsScope}}
	services := t.endpoints / serviceEndpoints / regions
	for i := range min(scopesPerNode, services) {
		service := (node*7 + i) % services
		selectors = append(selectors, distribution.Selector{Scope: scopeOf((service*regions + node%regions) * serviceEndpoints)})
	}
	return selectors
}

// newTree returns a tree whose relays have all records and whose nodes are attached. pace limits the send rate to each
// node in bytes per second.
func newTree(nodes, endpoints, pace int) (*tree, error) {
	t := &tree{now: probeStart, endpoints: endpoints, origin: distribution.NewOrigin(1, distribution.Limits{})}
	if _, err := t.origin.Replace(t.now, "endpoint", makeRecords(endpoints, endpointRecord)); err != nil {
		return nil, err
	}
	if err := t.putSettings("0"); err != nil {
		return nil, err
	}
	t.relays = append(t.relays, &treeRelay{relay: t.origin.Relay(), links: map[int]*treeLink{}})
	for range upperRelays {
		t.addRelay(t.relays[0])
	}
	for i := range lowerRelays {
		t.addRelay(t.relays[1+i%upperRelays])
	}
	if !t.run(maxWait, t.relaysComplete) {
		return nil, errors.Join(t.err, errors.New("tree: expected all relays to become complete within the timeout"))
	}
	for i := range nodes {
		if err := t.addSubscriber(i, pace); err != nil {
			return nil, err
		}
	}
	return t, t.err
}

// putSettings changes the record that all nodes follow.
func (t *tree) putSettings(body string) error {
	_, err := t.origin.Put(t.now, settingsScope, "route/0", distribution.ClassConfiguration, []byte(body))
	return err
}

func (t *tree) relaysComplete() bool {
	for _, r := range t.relays {
		if !r.relay.Complete() {
			return false
		}
	}
	return true
}

// run advances time until a condition holds. It returns false if the condition does not hold within atMost, or after an
// error.
func (t *tree) run(atMost int64, holds func() bool) bool {
	end := t.now + atMost
	for t.err == nil {
		if holds() {
			return true
		}
		if len(t.queue) == 0 || t.queue[0].at > end {
			t.now = end
			return holds()
		}
		next := heap.Pop(&t.queue).(event)
		t.now = next.at
		next.do()
	}
	return false
}

// sleep advances time by a duration.
func (t *tree) sleep(duration int64) {
	t.run(duration, func() bool { return false })
}

// waitFor advances time until a fraction of the nodes has met a condition once, and returns the number of nodes that
// have. inTime is false if that takes longer than maxWait.
func (t *tree) waitFor(w *treeWait, fraction float64) (fulfilled int, inTime bool) {
	inTime = t.run(maxWait, func() bool {
		for _, i := range t.received {
			if !w.done[i] && w.holds(i, t.subscribers[i]) {
				w.done[i] = true
				w.fulfilled++
			}
		}
		t.received = t.received[:0]
		return float64(w.fulfilled) >= fraction*float64(len(t.subscribers))
	})
	return w.fulfilled, inTime
}

// treeWait is a condition with the set of nodes that have met it.
type treeWait struct {
	holds     func(node int, s *treeSubscriber) bool
	done      []bool
	fulfilled int
}

// newWait returns a condition that is checked for all nodes at first, and then for nodes that received a frame.
func (t *tree) newWait(holds func(node int, s *treeSubscriber) bool) *treeWait {
	t.received = t.received[:0]
	for i := range t.subscribers {
		t.received = append(t.received, i)
	}
	return &treeWait{holds: holds, done: make([]bool, len(t.subscribers))}
}

// rateWindow is the number of seconds over which the highest rate is computed.
const rateWindow = 10

// takeWorstRate returns the highest rate to any node over rateWindow since the last call, in bytes per second.
func (t *tree) takeWorstRate() float64 {
	worst := 0.0
	for _, s := range t.subscribers {
		for first := range s.bytes {
			sum := 0.0
			for at := first; at < first+rateWindow; at++ {
				sum += s.bytes[at]
			}
			worst = math.Max(worst, sum/rateWindow)
		}
		clear(s.bytes)
	}
	return worst
}
