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
func (s *simulation) run(end int64) (answered int64, calls int) {
	if s.madeAt = map[int]int64{}; s.reachable == nil {
		s.reachable = func(int64) bool { return true }
	}
	for ; s.now < end; s.now += 10 * ms {
		for _, made := range s.madeAt {
			if s.answered(s.now, made) {
				return s.now, s.lastID
			}
		}
		if s.now < s.pacer.Due() {
			continue
		}
		if !s.reachable(s.now) {
			if len(s.pacer.calls) == 0 {
				return -1, s.lastID
			}
			s.now += second // a dial without an answer
			s.pacer.DialFailed(s.now)
			continue
		}
		s.lastID++
		if replaced, ok := s.pacer.ConnectionOpened(s.now, s.lastID); ok {
			delete(s.madeAt, replaced)
		}
		s.madeAt[s.lastID] = s.now
		s.maxInFlight = max(s.maxInFlight, len(s.madeAt))
	}
	return -1, s.lastID
}

// However long the queue is, a call that waits in it is answered, at a cost that grows far slower than the wait.
func TestQueuedCallIsAnswered(t *testing.T) {
	for queueDelay, maxCalls := range map[int64]int{1: 1, 2900: 1, 4000: 2, 6500: 3, 9900: 3, 20000: 5, 59000: 7, 600000: 11} {
		s := &simulation{pacer: NewPacer(0, testGap, testGap, testRetryInterval), answered: func(now, made int64) bool { return now-made >= queueDelay*ms }}
		if answeredAt, calls := s.run(1000 * second); answeredAt < queueDelay*ms || answeredAt > (queueDelay+10)*ms || calls > maxCalls || s.maxInFlight > MaxCalls {
			t.Errorf("a turn after %d ms: answered at %d ms with %d calls, %d at a time; want at once and %d at most", queueDelay, answeredAt/ms, calls, s.maxInFlight, maxCalls)
		}
	}
	// The first call may be lost without an error: one of the others is answered all the same.
	s := &simulation{pacer: NewPacer(0, testGap, testGap, testRetryInterval), answered: func(now, made int64) bool { return now-made >= 30*second && made > 0 }}
	if answeredAt, calls := s.run(200 * second); answeredAt < 0 || answeredAt > 100*second || calls > 9 {
		t.Errorf("the first call is never answered: %d ms, %d calls", answeredAt/ms, calls)
	}
}

// A machine that vanishes leaves connections open and silent, whether or not a dial has failed meanwhile: a call is
// answered within 6 s after it can be reached again, by a discovery that answers within 1.5 s.
func TestAnsweredSoonAfterDiscoveryHostReturns(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 4000 {
		vanishedAt := random.Int64N(12 * second) // whatever is open by then stays silent
		returnedAt := vanishedAt + random.Int64N(8*second)
		firstGap := []int64{testGap, 2 * second}[random.IntN(2)]
		queueDelay := random.Int64N(1500 * ms)
		s := &simulation{
			pacer: NewPacer(0, firstGap, testGap, testRetryInterval), reachable: func(now int64) bool { return now < vanishedAt || now >= returnedAt },
			answered: func(now, made int64) bool { return made >= returnedAt && now-made >= queueDelay },
		}
		if vanishedAt == 0 {
			continue // then no call is out
		}
		answeredAt, calls := s.run(40 * second)
		if answeredAt < 0 || answeredAt-returnedAt > 6*second || calls > 8 || s.maxInFlight > MaxCalls {
			t.Fatalf("gone at %d ms, back at %d, a queue of %d: answered %d ms after, %d calls, %d at a time", vanishedAt/ms, returnedAt/ms, queueDelay/ms, (answeredAt-returnedAt)/ms, calls, s.maxInFlight)
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
	if replaced, ok := p.ConnectionOpened(now, 3); !ok || replaced != 1 {
		t.Errorf("%d was replaced, %t", replaced, ok)
	}
	if replaced, ok := p.ConnectionOpened(now+testGap, 4); !ok || replaced != 2 {
		t.Errorf("%d was replaced, %t", replaced, ok)
	}
	if replaced, ok := p.ConnectionOpened(now+2*testGap, 5); !ok || replaced != 4 {
		t.Errorf("%d was replaced, %t; the one that has waited longer stays", replaced, ok)
	}
	if !p.CallEnded(5) || p.CallEnded(3) {
		t.Error("the wrong calls are out")
	}
	// One dial that fails may be due to load.
	p = NewPacer(0, testGap, testGap, testRetryInterval)
	p.ConnectionOpened(0, 1)
	p.DialFailed(testGap)
	p.ConnectionOpened(testGap+second, 2)
	if replaced, _ := p.ConnectionOpened(2*testGap, 3); replaced != 2 {
		t.Errorf("%d was replaced after one dial that failed", replaced)
	}
}

// fleet is many nodes before a discovery that answers calls in turn, one at a time, also those that were given up.
func simulateFleetStart(nodes int, callCost, reachableAt int64, keepWaiting bool) (ready []int64, calls int) {
	type queuedCall struct {
		node, id int
		at       int64
	}
	random := rand.New(rand.NewPCG(uint64(nodes), 1))
	var queue []queuedCall
	pacers, lastIDs, inFlight, done := make([]*Pacer, nodes), make([]int, nodes), make([]map[int]bool, nodes), make([]bool, nodes)
	for i := range pacers {
		jittered := func(duration int64) int64 { return duration - random.Int64N(duration/jitterDivisor) }
		pacers[i], inFlight[i] = NewPacer(reachableAt+random.Int64N(second), jittered(testGap), jittered(testGap), testRetryInterval), map[int]bool{}
	}
	remaining := nodes
	for now, idleAt := int64(0), int64(0); remaining > 0 && now < 4*(reachableAt+int64(nodes)*callCost)+20*second; now += ms {
		for i, p := range pacers {
			if done[i] || now < p.Due() {
				continue
			}
			lastIDs[i]++
			calls++
			if !keepWaiting { // the call that waits is given up for the next, for comparison
				for id := range inFlight[i] {
					p.CallEnded(id)
					delete(inFlight[i], id)
				}
			}
			if replaced, ok := p.ConnectionOpened(now, lastIDs[i]); ok {
				delete(inFlight[i], replaced)
			}
			if !keepWaiting {
				p.due = now + testGap
			}
			inFlight[i][lastIDs[i]] = true
			queue = append(queue, queuedCall{i, lastIDs[i], now})
		}
		for idleAt = max(idleAt, now); len(queue) > 0 && idleAt <= now; idleAt += callCost {
			served := queue[0]
			queue = queue[1:]
			if !done[served.node] && inFlight[served.node][served.id] {
				done[served.node] = true
				remaining--
				ready = append(ready, now-reachableAt)
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
		callCost  int64
	}{{300, 20 * ms}, {90, 100 * ms}, {400, 20 * ms}, {3000, 20 * ms}} {
		ready, calls := simulateFleetStart(c.nodes, c.callCost, second/2, true)
		limit := int64(c.nodes)*c.callCost + second
		if len(ready) != c.nodes {
			t.Errorf("%d nodes, %d ms a call: %d ready", c.nodes, c.callCost/ms, len(ready))
			continue
		}
		if ready[c.nodes*9/10] > limit || ready[c.nodes-1] > limit {
			t.Errorf("%d nodes, %d ms a call: nine in ten ready by %d ms, all by %d; the queue alone is %d ms", c.nodes, c.callCost/ms, ready[c.nodes*9/10]/ms,
				ready[len(ready)-1]/ms, limit/ms)
		}
		if calls > c.nodes*8 || limit < 7*second && calls > c.nodes*3 {
			t.Errorf("%d nodes: %d calls", c.nodes, calls)
		}
		t.Logf("%d nodes, %d ms a call: nine in ten ready by %.1f s, all by %.1f s, %d calls", c.nodes, c.callCost/ms, float64(ready[c.nodes*9/10])/1e9,
			float64(ready[c.nodes-1])/1e9, calls)
		if c.nodes > 100 {
			continue
		}
		readyWithoutKeeping, callsWithoutKeeping := simulateFleetStart(c.nodes, c.callCost, second/2, false)
		t.Logf("   where a call that waits is given up for the next: %d ready in the end, %d calls", len(readyWithoutKeeping), callsWithoutKeeping)
		if len(readyWithoutKeeping) > c.nodes/2 {
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
