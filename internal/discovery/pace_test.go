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

// simulation simulates discovery and the calls of one node to it.
type simulation struct {
	pacer       *Pacer
	now         int64
	lastID      int
	madeAt      map[int]int64 // time of the calls in flight, by ID
	maxInFlight int
	reachable   func(now int64) bool
	answered    func(now, made int64) bool // whether a call made at the given time is answered by now
}

// run simulates until a call is answered or the end is reached. It returns the time of the response, or -1, and the
// number of calls.
func (s *simulation) run(end int64) (answeredAt int64, calls int) {
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
			s.now += second // the dial times out
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

// A call that waits in discovery's queue is answered however long the queue is, and the number of further calls grows
// far slower than the waiting time.
func TestQueuedCallIsAnswered(t *testing.T) {
	for queueDelay, maxCalls := range map[int64]int{1: 1, 2900: 1, 4000: 2, 6500: 3, 9900: 3, 20000: 5, 59000: 7, 600000: 11} {
		s := &simulation{pacer: NewPacer(0, testGap, testGap, testRetryInterval), answered: func(now, made int64) bool { return now-made >= queueDelay*ms }}
		if answeredAt, calls := s.run(1000 * second); answeredAt < queueDelay*ms || answeredAt > (queueDelay+10)*ms || calls > maxCalls || s.maxInFlight > MaxCalls {
			t.Errorf("queue of %d ms: got a response at %d ms after %d calls, at most %d in flight; want it within 10 ms of the end of the queue and at most %d calls", queueDelay, answeredAt/ms, calls, s.maxInFlight, maxCalls)
		}
	}
	// If the first call is lost without an error, one of the others is answered.
	s := &simulation{pacer: NewPacer(0, testGap, testGap, testRetryInterval), answered: func(now, made int64) bool { return now-made >= 30*second && made > 0 }}
	if answeredAt, calls := s.run(200 * second); answeredAt < 0 || answeredAt > 100*second || calls > 9 {
		t.Errorf("first call lost: got a response at %d ms after %d calls, want one by 100 s and at most 9 calls", answeredAt/ms, calls)
	}
}

// If the host of discovery vanishes, connections stay open without data, whether or not a dial has failed since. Once
// the host is reachable again and answers within 1.5 s, a call must be answered within 6 s.
func TestAnsweredSoonAfterDiscoveryHostReturns(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 4000 {
		vanishedAt := random.Int64N(12 * second) // calls made before are never answered
		returnedAt := vanishedAt + random.Int64N(8*second)
		firstGap := []int64{testGap, 2 * second}[random.IntN(2)]
		queueDelay := random.Int64N(1500 * ms)
		s := &simulation{
			pacer: NewPacer(0, firstGap, testGap, testRetryInterval), reachable: func(now int64) bool { return now < vanishedAt || now >= returnedAt },
			answered: func(now, made int64) bool { return made >= returnedAt && now-made >= queueDelay },
		}
		if vanishedAt == 0 {
			continue // then no call is in flight
		}
		s.pacer.secondGap = []int64{testGap, 4 * second}[random.IntN(2)]
		answeredAt, calls := s.run(40 * second)
		if answeredAt < 0 || answeredAt-returnedAt > 6*second || calls > 8 || s.maxInFlight > MaxCalls {
			t.Fatalf("host vanished at %d ms, returned at %d ms, queue of %d ms: got a response %d ms after the return, %d calls, at most %d in flight; want one within 6 s, at most 8 calls and MaxCalls in flight", vanishedAt/ms, returnedAt/ms, queueDelay/ms, (answeredAt-returnedAt)/ms, calls, s.maxInFlight)
		}
	}
}

// While discovery can't be reached, the retry backoff is at most a second. Calls made before the outage are replaced
// first.
func TestPossiblyLostCallsAreReplacedFirst(t *testing.T) {
	p := NewPacer(0, testGap, testGap, testRetryInterval)
	p.ConnectionOpened(0, 1)
	p.ConnectionOpened(3*second, 2)
	now := 6 * second
	for i, want := range []int64{200, 400, 800, 1000, 1000} {
		if p.DialFailed(now); p.Due()-now != want*ms {
			t.Errorf("retry %d: got a backoff of %d ms, want %d", i, (p.Due()-now)/ms, want)
		}
		now = p.Due() + second
	}
	if replaced, ok := p.ConnectionOpened(now, 3); !ok || replaced != 1 {
		t.Errorf("opening call 3: got call %d replaced, %t; want call 1", replaced, ok)
	}
	if replaced, ok := p.ConnectionOpened(now+testGap, 4); !ok || replaced != 2 {
		t.Errorf("opening call 4: got call %d replaced, %t; want call 2", replaced, ok)
	}
	if replaced, ok := p.ConnectionOpened(now+2*testGap, 5); !ok || replaced != 4 {
		t.Errorf("opening call 5: got call %d replaced, %t; want call 4, as call 3 has waited longer", replaced, ok)
	}
	if !p.CallEnded(5) || p.CallEnded(3) {
		t.Error("want call 3 in flight after call 5 ended, and none after call 3 ended")
	}
	// A single failed dial may be due to load, so it does not mark calls as possibly lost.
	p = NewPacer(0, testGap, testGap, testRetryInterval)
	p.ConnectionOpened(0, 1)
	p.DialFailed(testGap)
	p.ConnectionOpened(testGap+second, 2)
	if replaced, _ := p.ConnectionOpened(2*testGap, 3); replaced != 2 {
		t.Errorf("after a single failed dial: got call %d replaced, want call 2", replaced)
	}
}

// simulateFleetStart simulates many nodes that start together, and a discovery that answers calls in order of arrival,
// one at a time, including abandoned ones. It returns the delays until nodes were ready, and the number of calls.
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
			if !keepWaiting { // for comparison: abandon the waiting call for each new one
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

// When many nodes start together, and discovery answers calls in order, including abandoned ones, all nodes must be
// ready as soon as discovery can have answered one call of each. Further calls must stay few.
func TestFleetStartWithSlowDiscovery(t *testing.T) {
	for _, c := range []struct {
		nodes    int
		callCost int64
	}{{300, 20 * ms}, {90, 100 * ms}, {400, 20 * ms}, {3000, 20 * ms}} {
		ready, calls := simulateFleetStart(c.nodes, c.callCost, second/2, true)
		limit := int64(c.nodes)*c.callCost + second
		if len(ready) != c.nodes {
			t.Errorf("%d nodes, %d ms per call: got %d nodes ready, want all", c.nodes, c.callCost/ms, len(ready))
			continue
		}
		if ready[c.nodes*9/10] > limit || ready[c.nodes-1] > limit {
			t.Errorf("%d nodes, %d ms per call: got 90%% ready by %d ms and all by %d ms, want all by %d ms", c.nodes, c.callCost/ms, ready[c.nodes*9/10]/ms,
				ready[len(ready)-1]/ms, limit/ms)
		}
		if calls > c.nodes*8 || limit < 7*second && calls > c.nodes*3 {
			t.Errorf("%d nodes: got %d calls, want at most 8 per node, and 3 with a queue below 7 s", c.nodes, calls)
		}
		t.Logf("%d nodes, %d ms per call: 90%% ready by %.1f s, all by %.1f s, %d calls", c.nodes, c.callCost/ms, float64(ready[c.nodes*9/10])/1e9,
			float64(ready[c.nodes-1])/1e9, calls)
		if c.nodes > 100 {
			continue
		}
		readyWithoutKeeping, callsWithoutKeeping := simulateFleetStart(c.nodes, c.callCost, second/2, false)
		t.Logf("   if waiting calls are abandoned for new ones: %d nodes ready at the end, %d calls", len(readyWithoutKeeping), callsWithoutKeeping)
		if len(readyWithoutKeeping) > c.nodes/2 {
			t.Error("more than half of the nodes are ready even if waiting calls are abandoned: the queue is too short for the comparison")
		}
	}
}

// After the head of a response was received, the next call is due when its body is overdue, however long the gap
// between calls has become.
func TestHeadReceivedBoundsNextCall(t *testing.T) {
	p, now := NewPacer(0, testGap, testGap, testRetryInterval), int64(0)
	for id := range 9 {
		now = p.Due()
		p.ConnectionOpened(now, id)
	}
	if p.Due() < now+60*second {
		t.Fatalf("got the next call due after %d ms, want at least 60 s", (p.Due()-now)/ms)
	}
	if p.HeadReceived(now+second, 3200*ms); p.Due() != now+4200*ms {
		t.Errorf("got the next call due after %d ms, want 4200", (p.Due()-now)/ms)
	}
	if p.HeadReceived(now+2*second, 3200*ms); p.Due() != now+4200*ms {
		t.Error("a second head: got another time for the next call, want it unchanged")
	}
}
