package discovery

import (
	"math/rand/v2"
	"testing"
)

const (
	ms                = second / 1000
	testGap           = 3 * second
	testRetryInterval = 200 * ms
)

// simulation is a discovery and one node's calls to it in simulated time.
type simulation struct {
	pacer       *Pacer
	now         int64
	lastID      int
	madeAt      map[int]int64 // by call: when it was made
	maxInFlight int
	reachable   func(now int64) bool
	answered    func(now, made int64) bool // whether a call that was made then is answered by now
}

// run runs until a call is answered, or to the end, and returns when that was and after how many calls.
func (w *simulation) run(end int64) (answered int64, calls int) {
	if w.madeAt = map[int]int64{}; w.reachable == nil {
		w.reachable = func(int64) bool { return true }
	}
	for ; w.now < end; w.now += 10 * ms {
		for _, made := range w.madeAt {
			if w.answered(w.now, made) {
				return w.now, w.lastID
			}
		}
		if w.now < w.pacer.Due() {
			continue
		}
		if !w.reachable(w.now) {
			if len(w.pacer.calls) == 0 {
				return -1, w.lastID
			}
			w.now += second // a dial without an answer
			w.pacer.DialFailed(w.now)
			continue
		}
		w.lastID++
		if old, any := w.pacer.ConnectionOpened(w.now, w.lastID); any {
			delete(w.madeAt, old)
		}
		w.madeAt[w.lastID] = w.now
		w.maxInFlight = max(w.maxInFlight, len(w.madeAt))
	}
	return -1, w.lastID
}

// However long the queue is, a call that waits in it is answered, at a cost that grows far slower than the wait.
func TestQueuedCallIsAnswered(t *testing.T) {
	for wait, most := range map[int64]int{1: 1, 2900: 1, 4000: 2, 6500: 3, 9900: 3, 20000: 5, 59000: 7, 600000: 11} {
		w := &simulation{pacer: NewPacer(0, testGap, testGap, testRetryInterval), answered: func(now, made int64) bool { return now-made >= wait*ms }}
		if at, calls := w.run(1000 * second); at < wait*ms || at > (wait+10)*ms || calls > most || w.maxInFlight > MaxCalls {
			t.Errorf("a turn after %d ms: answered at %d ms with %d calls, %d at a time; want at once and %d at most", wait, at/ms, calls, w.maxInFlight, most)
		}
	}
	// The first call may be lost without an error: one of the others is answered all the same.
	w := &simulation{pacer: NewPacer(0, testGap, testGap, testRetryInterval), answered: func(now, made int64) bool { return now-made >= 30*second && made > 0 }}
	if at, calls := w.run(200 * second); at < 0 || at > 100*second || calls > 9 {
		t.Errorf("the first call is never answered: %d ms, %d calls", at/ms, calls)
	}
}

// A machine that vanishes leaves connections open and silent, whether or not a dial has failed meanwhile: a call is
// answered within 6 s after it can be reached again, by a discovery that answers within 1.5 s.
func TestAnsweredSoonAfterDiscoveryHostReturns(t *testing.T) {
	draws := rand.New(rand.NewPCG(3, 4))
	for range 4000 {
		gone := draws.Int64N(12 * second) // whatever is open by then stays silent
		back := gone + draws.Int64N(8*second)
		first := []int64{testGap, 2 * second}[draws.IntN(2)]
		queue := draws.Int64N(1500 * ms)
		w := &simulation{
			pacer: NewPacer(0, first, testGap, testRetryInterval), reachable: func(now int64) bool { return now < gone || now >= back },
			answered: func(now, made int64) bool { return made >= back && now-made >= queue },
		}
		if gone == 0 {
			continue // then no call is out
		}
		at, calls := w.run(40 * second)
		if at < 0 || at-back > 6*second || calls > 8 || w.maxInFlight > MaxCalls {
			t.Fatalf("gone at %d ms, back at %d, a queue of %d: answered %d ms after, %d calls, %d at a time", gone/ms, back/ms, queue/ms, (at-back)/ms, calls, w.maxInFlight)
		}
	}
}

// While discovery can't be reached, dials are a second apart at most, and calls from before are replaced first.
func TestPossiblyLostCallsAreReplacedFirst(t *testing.T) {
	p := NewPacer(0, testGap, testGap, testRetryInterval)
	p.ConnectionOpened(0, 1)
	p.ConnectionOpened(3*second, 2)
	now := 6 * second
	for i, want := range []int64{200, 400, 800, 1000, 1000} {
		if p.DialFailed(now); p.Due()-now != want*ms {
			t.Errorf("wait %d is %d ms, want %d", i, (p.Due()-now)/ms, want)
		}
		now = p.Due() + second
	}
	if old, any := p.ConnectionOpened(now, 3); !any || old != 1 {
		t.Errorf("%d was replaced, %t", old, any)
	}
	if old, any := p.ConnectionOpened(now+testGap, 4); !any || old != 2 {
		t.Errorf("%d was replaced, %t", old, any)
	}
	if old, any := p.ConnectionOpened(now+2*testGap, 5); !any || old != 4 {
		t.Errorf("%d was replaced, %t; the one that has waited longer stays", old, any)
	}
	if !p.CallEnded(5) || p.CallEnded(3) {
		t.Error("the wrong calls are out")
	}
	// One dial that fails may be due to load.
	p = NewPacer(0, testGap, testGap, testRetryInterval)
	p.ConnectionOpened(0, 1)
	p.DialFailed(testGap)
	p.ConnectionOpened(testGap+second, 2)
	if old, _ := p.ConnectionOpened(2*testGap, 3); old != 2 {
		t.Errorf("%d was replaced after one dial that failed", old)
	}
}

// fleet is many nodes before a discovery that answers calls in turn, one at a time, also those that were given up.
func simulateFleetStart(nodes int, cost, up int64, keeps bool) (ready []int64, calls int) {
	type made struct {
		node, id int
		at       int64
	}
	draws := rand.New(rand.NewPCG(uint64(nodes), 1))
	var queue []made
	paces, last, out, done := make([]*Pacer, nodes), make([]int, nodes), make([]map[int]bool, nodes), make([]bool, nodes)
	for i := range paces {
		apart := func(g int64) int64 { return g - draws.Int64N(g/jitterDivisor) }
		paces[i], out[i] = NewPacer(up+draws.Int64N(second), apart(testGap), apart(testGap), testRetryInterval), map[int]bool{}
	}
	left := nodes
	for now, free := int64(0), int64(0); left > 0 && now < 4*(up+int64(nodes)*cost)+20*second; now += ms {
		for i, p := range paces {
			if done[i] || now < p.Due() {
				continue
			}
			last[i]++
			calls++
			if !keeps { // the call that waits is given up for the next, for comparison
				for id := range out[i] {
					p.CallEnded(id)
					delete(out[i], id)
				}
			}
			if old, any := p.ConnectionOpened(now, last[i]); any {
				delete(out[i], old)
			}
			if !keeps {
				p.due = now + testGap
			}
			out[i][last[i]] = true
			queue = append(queue, made{i, last[i], now})
		}
		for free = max(free, now); len(queue) > 0 && free <= now; free += cost {
			q := queue[0]
			queue = queue[1:]
			if !done[q.node] && out[q.node][q.id] {
				done[q.node] = true
				left--
				ready = append(ready, now-up)
			}
		}
	}
	return ready, calls
}

// Many nodes that start together before a discovery that answers calls in turn, also those given up, are ready as soon
// as it can answer one of each; further calls stay few.
func TestFleetStartWithSlowDiscovery(t *testing.T) {
	for _, c := range []struct {
		nodes int
		cost  int64
	}{{300, 20 * ms}, {90, 100 * ms}, {400, 20 * ms}, {3000, 20 * ms}} {
		ready, calls := simulateFleetStart(c.nodes, c.cost, second/2, true)
		most := int64(c.nodes)*c.cost + second
		if len(ready) != c.nodes {
			t.Errorf("%d nodes, %d ms a call: %d ready", c.nodes, c.cost/ms, len(ready))
			continue
		}
		if ready[c.nodes*9/10] > most || ready[c.nodes-1] > most {
			t.Errorf("%d nodes, %d ms a call: nine in ten ready by %d ms, all by %d; the queue alone is %d ms", c.nodes, c.cost/ms, ready[c.nodes*9/10]/ms,
				ready[len(ready)-1]/ms, most/ms)
		}
		if calls > c.nodes*8 || most < 7*second && calls > c.nodes*3 {
			t.Errorf("%d nodes: %d calls", c.nodes, calls)
		}
		t.Logf("%d nodes, %d ms a call: nine in ten ready by %.1f s, all by %.1f s, %d calls", c.nodes, c.cost/ms, float64(ready[c.nodes*9/10])/1e9,
			float64(ready[c.nodes-1])/1e9, calls)
		if c.nodes > 100 {
			continue
		}
		was, wasCalls := simulateFleetStart(c.nodes, c.cost, second/2, false)
		t.Logf("   where a call that waits is given up for the next: %d ready in the end, %d calls", len(was), wasCalls)
		if len(was) > c.nodes/2 {
			t.Error("the queue is too short to tell the two apart")
		}
	}
}

// Once a head has come its body is due, however far apart calls are by then.
func TestHeadReceivedBoundsNextCall(t *testing.T) {
	p, now := NewPacer(0, testGap, testGap, testRetryInterval), int64(0)
	for id := range 9 {
		now = p.Due()
		p.ConnectionOpened(now, id)
	}
	if p.Due() < now+60*second {
		t.Fatalf("the next call comes %d ms later", (p.Due()-now)/ms)
	}
	if p.HeadReceived(now+second, 3200*ms); p.Due() != now+4200*ms {
		t.Errorf("the next call comes %d ms later, want 4,200", (p.Due()-now)/ms)
	}
	if p.HeadReceived(now+2*second, 3200*ms); p.Due() != now+4200*ms {
		t.Error("a second head puts the call off")
	}
}
