package scale

// This file owns how soon a change is in force at nodes that distribution tells: an origin, relays in two levels and subscribers in
// virtual time, each way with its delay and each subscriber at its pace. What processors take is not in it; other probes have that.

import (
	"container/heap"
	"context"
	"errors"
	"fawnglade/internal/distribution"
	"fmt"
)

const (
	firstLevel  = 3
	secondLevel = 15
	farWay      = 40 * ms // between regions
	nearWay     = 1 * ms
	inForceMost = 120 * second
)

type event struct {
	at  int64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// tree is an origin, its relays and their subscribers.
type tree struct {
	now       int64
	seq       int
	due       events
	endpoints int // in the scopes that there are
	origin    *distribution.Origin
	relays    []*branch // the origin's first, then the levels
	leaves    []*leaf
	told      []int // leaves that a frame came to since they were looked at
	err       error
}

// branch is a relay and who hangs on it.
type branch struct {
	relay *distribution.Relay
	below map[int]*below
	order []int
}

type below struct {
	take func(frame []byte) // when it has come
	way  int64
	wake int64 // when it is asked for again; 0: not
}

// leaf is a subscriber.
type leaf struct {
	sub     *distribution.Subscriber
	changed int               // records since it was last set to 0
	seconds map[int64]float64 // bytes in each
}

func (t *tree) at(when int64, do func()) {
	t.seq++
	heap.Push(&t.due, event{when, t.seq, do})
}

func (t *tree) fail(err error) { t.err = errors.Join(t.err, err) }

// poll has a relay send what it has for one below it.
func (t *tree) poll(b *branch, id int) {
	to := b.below[id]
	for range mostPump {
		frame, again := b.relay.Next(t.now, id)
		if frame == nil {
			if again = max(again, t.now+1); to.wake == 0 || again < to.wake || to.wake <= t.now {
				to.wake = again
				t.at(again, func() {
					if to.wake == again {
						to.wake = 0
						t.poll(b, id)
					}
				})
			}
			return
		}
		t.at(t.now+to.way, func() { to.take(frame) })
	}
	t.fail(errors.New("a relay that goes on for ever"))
}

func (t *tree) ready(b *branch) {
	for _, id := range b.relay.Ready() {
		t.poll(b, id)
	}
}

func (t *tree) attach(b *branch, hello []byte, pace int, way int64, take func(frame []byte)) {
	id, err := b.relay.Attach(t.now, hello, pace)
	if err != nil {
		t.fail(err)
		return
	}
	b.below[id] = &below{take: take, way: way}
	b.order = append(b.order, id)
	t.ready(b)
}

// relay hangs one on another.
func (t *tree) relay(on *branch) *branch {
	b := &branch{relay: distribution.NewRelay(distribution.Limits{}), below: map[int]*below{}}
	if err := b.relay.Follow(everything()); err != nil {
		t.fail(err)
	}
	t.attach(on, b.relay.UpstreamHello(t.now), 0, farWay, func(frame []byte) {
		if err := b.relay.Receive(t.now, frame); err != nil {
			t.fail(err)
		}
		t.ready(b)
	})
	t.relays = append(t.relays, b)
	return b
}

// run lets time pass until something holds; false: it did not within a time.
func (t *tree) run(long int64, until func() bool) bool {
	for end := t.now + long; t.err == nil; {
		if until() {
			return true
		}
		if len(t.due) == 0 || t.due[0].at > end {
			t.now = end
			return until()
		}
		next := heap.Pop(&t.due).(event)
		t.now = next.at
		next.do()
	}
	return false
}

// leafScopes are those of one node: as many services of its region, and what all nodes follow.
func (t *tree) leafScopes(node int) []distribution.Selector {
	out := []distribution.Selector{{Scope: "all/settings"}}
	services := t.endpoints / ofAService / regions
	for k := range min(scopesOfNode, services) {
		out = append(out, distribution.Selector{Scope: scopeOf(((node*7+k)%services*regions + node%regions) * ofAService)})
	}
	return out
}

func newTree(nodes, endpoints, pace int) (*tree, error) {
	t := &tree{now: longAgo, endpoints: endpoints, origin: distribution.NewOrigin(1, distribution.Limits{})}
	if _, err := t.origin.Replace(t.now, "endpoint", records(endpoints, endpointOf)); err != nil {
		return nil, err
	}
	if _, err := t.origin.Put(t.now, "all/settings", "route/0", distribution.ClassConfiguration, []byte("0")); err != nil {
		return nil, err
	}
	top := &branch{relay: t.origin.Relay(), below: map[int]*below{}}
	t.relays = append(t.relays, top)
	for range firstLevel {
		t.relay(top)
	}
	for i := range secondLevel {
		t.relay(t.relays[1+i%firstLevel])
	}
	whole := func() bool {
		for _, b := range t.relays {
			if !b.relay.Complete() {
				return false
			}
		}
		return true
	}
	if !t.run(inForceMost, whole) {
		return nil, errors.Join(t.err, errors.New("relays are not whole"))
	}
	for i := range nodes {
		l := &leaf{seconds: map[int64]float64{}}
		var err error
		if l.sub, err = distribution.NewSubscriber(t.leafScopes(i), distribution.Limits{}); err != nil {
			return nil, err
		}
		t.leaves = append(t.leaves, l)
		t.attach(t.relays[1+firstLevel+i%secondLevel], l.sub.Hello(), pace, nearWay, func(frame []byte) {
			changes, err := l.sub.Receive(t.now, frame)
			if err != nil {
				t.fail(err)
			}
			l.changed += len(changes)
			t.told = append(t.told, i)
			l.seconds[t.now/second] += float64(len(frame)) + 4
		})
	}
	return t, t.err
}

// parts notes after how long 99 and 100 in 100 leaves fulfil something.
func (t *tree) parts(name string, v map[string]float64, fulfils func(i int, l *leaf) bool) error {
	began, fulfilled, done := t.now, 0, make([]bool, len(t.leaves))
	t.told = t.told[:0]
	for i := range t.leaves {
		t.told = append(t.told, i)
	}
	count := func(part float64) func() bool {
		return func() bool {
			for _, i := range t.told {
				if !done[i] && fulfils(i, t.leaves[i]) {
					done[i] = true
					fulfilled++
				}
			}
			t.told = t.told[:0]
			return float64(fulfilled) >= part*float64(len(t.leaves))
		}
	}
	for _, p := range []struct {
		name string
		part float64
	}{{"99", 0.99}, {"100", 1}} {
		if !t.run(inForceMost, count(p.part)) {
			return errors.Join(t.err, fmt.Errorf("%s%s: %d of %d nodes after %d s", name, p.name, fulfilled, len(t.leaves), inForceMost/second))
		}
		v[name+p.name] = float64(t.now-began) / 1e9
	}
	return t.err
}

// window is over how many seconds bytes are counted together.
const window = 10

// worst is the most that any leaf was sent a second, over 10 s since a time, and forgets it.
func (t *tree) worst() (most float64) {
	for _, l := range t.leaves {
		for first := range l.seconds {
			sum := 0.0
			for s := first; s < first+window; s++ {
				sum += l.seconds[s]
			}
			most = max(most, sum/window)
		}
		clear(l.seconds)
	}
	return most
}

const tree19 = "virtual time: an origin, 3 and 15 relays, ways of 40 ms between them; processors take none"

func inForceProbe() Probe {
	return Probe{
		Name: "inforce", Size: "nodes", Sizes: []float64{53, 170, 530, 1700, 5300}, Quick: []float64{3, 6, 15, 30}, Least: 1, Most: 8192 * secondLevel,
		At:   func(d *Design) float64 { return d.Nodes },
		Need: func(n float64) Need { return Need{Bytes: 300e3*n + 200e6} },
		Figures: []Figure{
			{Name: "start99", What: "all nodes start at once with 20 scopes of 24 endpoints each, paced: until 99 in 100 hold theirs", Unit: "s", Role: "node", Method: tree19, Limit: limitReady},
			{Name: "start100", What: "until all do", Unit: "s", Role: "node", Method: tree19, Limit: limitReady},
			{Name: "change99", What: "one change that all nodes follow: until 99 in 100 have it", Unit: "s", Role: "node", Method: tree19, Limit: limitInForce},
			{Name: "change100", What: "until all have", Unit: "s", Role: "node", Method: tree19, Limit: limitInForce},
			{Name: "burst99", What: "3,900 of 12,000 endpoints drain at once: until 99 in 100 nodes have all of theirs", Unit: "s", Role: "node", Method: tree19, Limit: limitInForce},
			{Name: "burst100", What: "until all have", Unit: "s", Role: "node", Method: tree19, Limit: limitInForce},
			{Name: "worst", What: "sent to a node in its worst 10 s of all that", Unit: "bytes/s", Role: "node", Method: tree19, Limit: limitNetwork},
		},
		Measure: func(_ context.Context, e *Env, size float64) (v map[string]float64, note string, err error) {
			v = map[string]float64{}
			endpoints, burst := 12000, int(e.Design.ZoneServers)
			if e.Quick {
				endpoints, burst = 1200, 390
			}
			t, err := newTree(int(size), endpoints, int(TheLimits.Network))
			if err != nil {
				return v, "", err
			}
			if err := t.parts("start", v, func(_ int, l *leaf) bool { return l.sub.Complete() }); err != nil {
				return v, "", err
			}
			v["worst"] = t.worst()
			t.run(2*second, func() bool { return false })
			for _, l := range t.leaves {
				l.changed = 0
			}
			if _, err := t.origin.Put(t.now, "all/settings", "route/0", distribution.ClassConfiguration, []byte("1")); err != nil {
				return v, "", err
			}
			t.ready(t.relays[0])
			if err := t.parts("change", v, func(_ int, l *leaf) bool { return l.changed > 0 }); err != nil {
				return v, "", err
			}
			t.run(2*second, func() bool { return false })
			gone, expected := map[string]int{}, make([]int, len(t.leaves))
			for i := range burst {
				one := endpointOf(i*3%endpoints, 1)
				gone[one.Scope]++
				if _, err := t.origin.Put(t.now, one.Scope, one.Key, one.Class, one.Body); err != nil {
					return v, "", err
				}
			}
			for i, l := range t.leaves {
				l.changed = 0
				for _, s := range t.leafScopes(i) {
					expected[i] += gone[s.Scope]
				}
			}
			t.ready(t.relays[0])
			if err := t.parts("burst", v, func(i int, l *leaf) bool { return l.changed >= expected[i] }); err != nil {
				return v, "", err
			}
			v["worst"] = max(v["worst"], t.worst())
			return v, "", nil
		},
	}
}
