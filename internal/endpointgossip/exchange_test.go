package endpointgossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const tickNs = int64(50e6)

// net is some nodes whose messages are lost at random, and arrive in the same tick, or late nanoseconds later.
type testNetwork struct {
	t            *testing.T
	now          int64
	random       *rand.Rand
	loss         float64
	delayNs      int64
	isolatedNode int // a node that receives and sends nothing; -1: none
	nodes        []*testNode
	inFlight     []inFlightMessage
}

type testNode struct {
	network  *testNetwork
	index    int
	exchange *Exchange
	watchUp  bool                // whether its own watch is up
	used     map[string]Endpoint // in use
	received int
	sent     int // in this tick
}

type inFlightMessage struct {
	deliverAt, from, to int64
	encoded             []byte
}

func (n *testNode) SendPayload(to int, encoded []byte) {
	s := n.network
	if len(encoded) >= MaxMessageBytes {
		s.t.Fatalf("a message of %d bytes", len(encoded))
	}
	n.sent++
	if s.random.Float64() >= s.loss && n.index != s.isolatedNode && to != s.isolatedNode {
		s.inFlight = append(s.inFlight, inFlightMessage{s.now + s.delayNs, int64(n.index), int64(to), encoded})
	}
}

func (n *testNode) Reachable() (out []int) {
	for i := range n.network.nodes {
		if i != n.index {
			out = append(out, i)
		}
	}
	return out
}

func (n *testNode) apply(lines []Endpoint, whole bool) {
	if lines == nil {
		return
	}
	if whole {
		n.used = map[string]Endpoint{}
	}
	for _, l := range lines {
		n.used[l.Name] = l
	}
}

func newTestNetwork(t *testing.T, nodes int, seed uint64, remembered func(i int) (int64, []Endpoint)) *testNetwork {
	s := &testNetwork{t: t, isolatedNode: -1, now: 1_700_000_000e9, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range nodes {
		n := &testNode{network: s, index: i, used: map[string]Endpoint{}}
		var version int64
		var lines []Endpoint
		if remembered != nil {
			version, lines = remembered(i)
			n.apply(lines, true)
		}
		n.exchange = New(seed*1000+uint64(i), n, s.now, version, lines, false)
		s.nodes = append(s.nodes, n)
	}
	return s
}

// step runs one tick of all nodes.
func (s *testNetwork) step() {
	s.now += tickNs
	for _, n := range s.nodes {
		n.sent = 0
		heardAt := int64(0)
		if n.watchUp {
			heardAt = s.now
		}
		n.apply(n.exchange.Tick(s.now, heardAt), true)
	}
	for len(s.inFlight) > 0 {
		var later []inFlightMessage
		came := false
		for k := 0; k < len(s.inFlight); k++ {
			d := s.inFlight[k]
			if d.deliverAt > s.now {
				later = append(later, d)
				continue
			}
			came = true
			n := s.nodes[d.to]
			n.received++
			n.apply(n.exchange.Receive(s.now, int(d.from), d.encoded), false)
		}
		if s.inFlight = later; !came {
			break
		}
	}
	for _, n := range s.nodes {
		if n.sent > maxRequestsPerTick+maxResponsesPerTick {
			s.t.Fatalf("n%d sent %d messages in a tick", n.index, n.sent)
		}
	}
}

// watched has a node's own watch send a complete list.
func (n *testNode) updateWatch(version int64, lines []Endpoint) {
	n.watchUp = true
	if all := n.exchange.WatchUpdated(n.network.now, version, lines, nil, true); all != nil {
		lines = all
	}
	n.apply(lines, true)
}

func testEndpoints(count int, draining ...int) (out []Endpoint) {
	for i := range count {
		out = append(out, Endpoint{Name: fmt.Sprintf("server-%04d", i), Address: fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250), Zone: "north", Pod: i % 3, Weight: 1, StartedNs: 1_699_999_000e9})
	}
	for _, i := range draining {
		out[i].Draining = true
	}
	return out
}

func (n *testNode) activeCount() (count int) {
	for _, l := range n.used {
		if !l.Draining {
			count++
		}
	}
	return count
}

func TestOneListReachesAllNodes(t *testing.T) {
	for _, c := range []struct {
		nodes, servers int
		loss           float64
		within         int
	}{{3, 4, 0, 10}, {12, 120, 0, 25}, {12, 120, 0.3, 60}, {300, 120, 0.1, 60}, {40, 4000, 0.1, 300}} {
		s := newTestNetwork(t, c.nodes, 3, nil)
		s.loss = c.loss
		for range 10 {
			s.step()
		}
		s.nodes[1].updateWatch(5, testEndpoints(c.servers))
		took, most := -1, 0
		for k := range c.within {
			s.step()
			have := 0
			for _, n := range s.nodes {
				if most = max(most, n.exchange.responsesInTick); len(n.used) == c.servers {
					have++
				}
			}
			if have == c.nodes {
				took = k + 1
				break
			}
		}
		sent := int64(0)
		for _, n := range s.nodes {
			sent += n.exchange.counters.Requests + n.exchange.counters.Responses
		}
		t.Logf("%d nodes, %d endpoints, loss %.1f: %d ticks, %d messages, at most %d responses of one node in a tick", c.nodes, c.servers, c.loss, took, sent, most)
		if took < 0 {
			t.Errorf("%d nodes, %d endpoints, loss %.1f: not all within %d ticks", c.nodes, c.servers, c.loss, c.within)
		}
	}
}

func TestSimultaneousStartsSpreadRequests(t *testing.T) {
	s := newTestNetwork(t, 300, 4, nil)
	s.step()
	s.step()
	most := 0
	for _, n := range s.nodes {
		if most = max(most, n.received); n.exchange.counters.Requests < nodesPerRequest {
			t.Errorf("n%d sent %d requests in two ticks", n.index, n.exchange.counters.Requests)
		}
	}
	if most > 12 {
		t.Errorf("one of 300 that started together got %d messages", most)
	}
	s = newTestNetwork(t, 300, 4, nil)
	s.nodes[0].updateWatch(1, testEndpoints(3))
	s.step()
	s.step()
	if got := s.nodes[0].exchange.counters.Responses; got > maxResponsesPerTick {
		t.Errorf("300 that start together got %d responses of one", got)
	}
}

func TestOwnWatchWinsOverGossip(t *testing.T) {
	s := newTestNetwork(t, 3, 5, nil)
	s.nodes[0].updateWatch(9, testEndpoints(8, 2))
	for range 20 {
		s.step()
	}
	if got := s.nodes[1].activeCount(); got != 7 {
		t.Fatalf("by gossip it uses %d", got)
	}
	s.nodes[1].updateWatch(9, testEndpoints(8))
	if got := s.nodes[1].activeCount(); got != 8 {
		t.Fatalf("by its own watch it uses %d", got)
	}
	before := s.nodes[1].exchange.counters.Requests
	for range 20 {
		s.step()
	}
	if s.nodes[1].exchange.counters.Requests != before || s.nodes[1].activeCount() != 8 {
		t.Error("a node whose watch is up sends requests or uses gossip")
	}
	// With the watch down again gossip counts; a watch that comes back without an event restores its own list.
	s.nodes[1].watchUp = false
	s.nodes[0].updateWatch(10, testEndpoints(8, 2, 3))
	for range 30 {
		s.step()
	}
	if got := s.nodes[1].activeCount(); got != 6 {
		t.Fatalf("without a watch it does not learn of drains: uses %d", got)
	}
	s.nodes[1].watchUp = true
	for range watchGraceTicks + 1 {
		s.step()
	}
	if got := s.nodes[1].activeCount(); got != 8 {
		t.Errorf("back with a watch without an event it uses %d", got)
	}
}

func TestWatchedListWinsOverRestoredList(t *testing.T) {
	s := newTestNetwork(t, 4, 6, func(i int) (int64, []Endpoint) {
		switch i {
		case 0:
			return 7, testEndpoints(8, 1)
		case 1:
			return 3, testEndpoints(8)
		}
		return 0, nil
	})
	for range 30 {
		s.step()
	}
	for i, n := range s.nodes {
		if len(n.used) != 8 || !n.used["server-0001"].Draining {
			t.Fatalf("n%d does not know the drain that one remembers: %v", i, n.used)
		}
	}
	if l := s.nodes[3].used["server-0002"]; l.StartedNs < s.now-60*tickNs {
		t.Errorf("an endpoint of a list of unknown age counts as started at %d", l.StartedNs)
	}
	// Discovery is back with an older list, which ends no drain; one newer than the remembered list does.
	s.nodes[2].updateWatch(5, testEndpoints(9))
	for range 30 {
		s.step()
	}
	for _, i := range []int{0, 1, 3} {
		if n := s.nodes[i]; len(n.used) != 9 || !n.used["server-0001"].Draining {
			t.Errorf("n%d: a list from before the drain ended it, or its new endpoint is missing: %v", i, n.used)
		}
	}
	s.nodes[2].updateWatch(8, testEndpoints(9))
	for range 30 {
		s.step()
	}
	for i, n := range s.nodes {
		if n.activeCount() != 9 {
			t.Errorf("n%d uses %d of a later list", i, n.activeCount())
		}
	}
}

func TestOneNodeCannotRemoveMostEndpoints(t *testing.T) {
	s := newTestNetwork(t, 5, 7, func(int) (int64, []Endpoint) { return 3, testEndpoints(8) })
	s.nodes[0].updateWatch(99, testEndpoints(8, 0, 1, 2, 3, 4, 5))
	for range 60 {
		s.step()
	}
	for _, n := range s.nodes[1:] {
		if n.activeCount() != 8 || n.exchange.counters.Unconfirmed == 0 {
			t.Fatalf("n%d: one node left it %d of 8", n.index, n.activeCount())
		}
	}
	s.nodes[1].updateWatch(99, testEndpoints(8, 0, 1, 2, 3, 4, 5))
	for range 60 {
		s.step()
	}
	for _, n := range s.nodes {
		if n.activeCount() != 2 {
			t.Errorf("n%d uses %d though two watches have 2", n.index, n.activeCount())
		}
	}
}

// TestForwardedListIsNoSecondWitness has nodes that only pass on what one watch has sent.
func TestForwardedListIsNoSecondWitness(t *testing.T) {
	s := newTestNetwork(t, 6, 7, func(i int) (int64, []Endpoint) {
		if i == 5 {
			return 3, testEndpoints(8)
		}
		return 0, nil
	})
	s.nodes[0].updateWatch(99, testEndpoints(8, 0, 1, 2, 3, 4, 5))
	for s.isolatedNode = 5; s.now < 1_700_000_010e9; {
		if s.step(); s.now == 1_700_000_005e9 {
			s.isolatedNode = -1
		}
	}
	if s.nodes[1].activeCount() != 2 || s.nodes[5].activeCount() != 8 {
		t.Errorf("without a list before %d are used, with eight %d", s.nodes[1].activeCount(), s.nodes[5].activeCount())
	}
}

func TestRestoredDrainHoldsAgainstOlderWatchedList(t *testing.T) {
	s := newTestNetwork(t, 3, 6, func(i int) (int64, []Endpoint) {
		if i == 0 {
			return 7, testEndpoints(8, 1)
		}
		return 0, nil
	})
	s.nodes[1].updateWatch(5, testEndpoints(8))
	for range 30 {
		s.step()
	}
	if n := s.nodes[2]; !n.used["server-0001"].Draining || n.used["server-0002"].StartedNs > testEndpoints(8)[2].StartedNs {
		t.Errorf("%v", n.used)
	}
	s.nodes[2].watchUp, s.nodes[1].watchUp = false, false
	s.nodes[1].updateWatch(7, testEndpoints(8)) // as new as the remembered list
	for range 30 {
		s.step()
	}
	if got := s.nodes[1].exchange.currentList(); s.nodes[1].activeCount() != 8 || got.restored {
		t.Errorf("uses %d, %+v", s.nodes[1].activeCount(), got)
	}
}

// TestResponsesAfterOwnWatchAreIgnored has a watch send a list while responses to earlier requests are in flight.
func TestResponsesAfterOwnWatchAreIgnored(t *testing.T) {
	s := newTestNetwork(t, 2, 12, nil)
	s.delayNs = 8 * tickNs
	s.nodes[0].updateWatch(9, testEndpoints(8, 1))
	for range 12 {
		s.step()
	}
	s.nodes[1].updateWatch(8, testEndpoints(8))
	for range 30 {
		s.step()
	}
	if got := s.nodes[1].activeCount(); got != 8 || s.nodes[1].exchange.View().Version != 8 {
		t.Errorf("uses %d, %+v", got, s.nodes[1].exchange.View())
	}
}

// TestNodeWithBetterListIsQueried has a node with a list ask one that has none, which asks back in the next tick.
func TestNodeWithBetterListIsQueried(t *testing.T) {
	s := newTestNetwork(t, 2, 12, nil)
	n := s.nodes[1]
	n.exchange.nextRequestTick = 1 << 60
	n.exchange.Receive(s.now, 0, encode(&message{Kind: requestKind, Version: 4, Digest: 5, RequestedAt: s.now}))
	n.exchange.Tick(s.now, 0)
	if n.exchange.counters.Requests != 1 {
		t.Errorf("%d requests", n.exchange.counters.Requests)
	}
}

// TestInvalidResponsesAreBounded has one node send invalid responses, a thousand in a tick.
func TestInvalidResponsesAreBounded(t *testing.T) {
	s := newTestNetwork(t, 2, 12, nil)
	n := s.nodes[1]
	n.exchange.Tick(s.now, 0)
	for i := range 1000 {
		page := Endpoint{Name: fmt.Sprint("s", i), Address: "a"}
		if got := n.exchange.Receive(s.now, 0, encode(&message{Kind: responseKind, Version: int64(i / 2), Digest: 7, Pages: 2, Page: i % 2, RequestedAt: s.now, Endpoints: []Endpoint{page}})); got != nil {
			t.Fatalf("accepted: %v", got)
		}
	}
	for i := range 1000 { // the first pages of better and better lists
		n.exchange.Receive(s.now, 0, encode(&message{Kind: responseKind, Version: 1000 + int64(i/8), Digest: 7, Pages: 40, Page: i % 8, RequestedAt: s.now}))
	}
	if n.exchange.counters.Requests > maxRequestsPerTick || n.exchange.counters.Invalid < 400 {
		t.Errorf("%+v", n.exchange.counters)
	}
}

func TestAbsentEndpointCountsAsDraining(t *testing.T) {
	s := newTestNetwork(t, 2, 8, func(int) (int64, []Endpoint) { return 3, testEndpoints(8) })
	s.nodes[0].updateWatch(4, testEndpoints(7))
	for range 20 {
		s.step()
	}
	if n := s.nodes[1]; n.activeCount() != 7 || !n.used["server-0007"].Draining {
		t.Errorf("it uses %d: %v", n.activeCount(), n.used)
	}
}

// TestDelayedResponseMarksEndpointsAsJustStarted has responses come ten seconds late: they say which endpoints serve, not since when.
func TestDelayedResponseMarksEndpointsAsJustStarted(t *testing.T) {
	for _, late := range []int64{0, 10e9} {
		s := newTestNetwork(t, 2, 9, nil)
		s.nodes[0].updateWatch(1, testEndpoints(5))
		s.delayNs = late
		began := s.now
		for range 500 {
			s.step()
		}
		l := s.nodes[1].used["server-0000"]
		if started := l.StartedNs > began; len(s.nodes[1].used) != 5 || started != (late > 0) {
			t.Errorf("late by %d: %v", late, l)
		}
	}
}

func TestResponsesToAnEarlierRunAreIgnored(t *testing.T) {
	s := newTestNetwork(t, 2, 10, nil)
	s.nodes[0].updateWatch(1, testEndpoints(5))
	var copied []inFlightMessage
	for range 5 {
		s.now += tickNs
		s.nodes[1].exchange.Tick(s.now, 0)
		for k := 0; k < len(s.inFlight); k++ {
			if d := s.inFlight[k]; d.to == 0 {
				s.nodes[0].exchange.Receive(s.now, 1, d.encoded)
			} else {
				copied = append(copied, d)
			}
		}
		s.inFlight = nil
	}
	s.now += tickNs
	again := New(1, s.nodes[1], s.now, 0, nil, false)
	for _, d := range copied {
		if again.Receive(s.now, 0, d.encoded) != nil {
			t.Error("accepted")
		}
	}
	if len(copied) == 0 || again.counters.Invalid != int64(len(copied)) {
		t.Errorf("%d copied, %d ignored", len(copied), again.counters.Invalid)
	}
}

// TestOrderOfResponsesDoesNotMatter draws versions, drains and starts, and the order in which nodes receive them. All
// drains together leave half of the endpoints: lists of one version that differ by more need witnesses, in the order
// they come.
func TestOrderOfResponsesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		watches := rapid.IntRange(1, 4).Draw(r, "watches")
		var events []func(*testNode)
		for range watches {
			version := int64(rapid.IntRange(1, 3).Draw(r, "version"))
			list := testEndpoints(6, rapid.SliceOfN(rapid.IntRange(0, 2), 0, 2).Draw(r, "draining")...)
			list[rapid.IntRange(0, 5).Draw(r, "which")].StartedNs += int64(rapid.IntRange(0, 2).Draw(r, "start"))
			events = append(events, func(n *testNode) { n.updateWatch(version, list) })
		}
		s := newTestNetwork(t, watches+3, rapid.Uint64Range(1, 1000).Draw(r, "seed"), nil)
		for i, do := range events {
			do(s.nodes[i])
			for range rapid.IntRange(0, 5).Draw(r, "ticks") {
				s.step()
			}
		}
		for range 100 {
			s.step()
		}
		a := s.nodes[watches].exchange.currentList()
		for _, n := range s.nodes[watches:] {
			if b := n.exchange.currentList(); b == nil || b.version != a.version || b.digest != a.digest {
				r.Fatalf("two nodes use different lists: %+v, %+v", a, b)
			}
		}
	})
}

func FuzzReceive(f *testing.F) {
	f.Add(encode(&message{Kind: responseKind, Version: 3, Digest: 4, Pages: 2, Page: 1, RequestedAt: 1_700_000_000e9, Endpoints: testEndpoints(2)}))
	f.Add(encode(&message{Kind: requestKind, Version: 3, WantPages: []int{0, 900}}))
	f.Add(encode(&message{Kind: requestKind, Version: 3, WantPages: []int{-5}}))
	f.Add(encode(&message{Kind: responseKind, Version: 3, Digest: 4, Pages: 2, Page: 5, RequestedAt: 1_700_000_000e9}))
	f.Add(encode(&message{Kind: responseKind, Version: 3, Digest: 4, Pages: 1 << 40, RequestedAt: 1_700_000_000e9}))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		s := newTestNetwork(t, 2, 1, func(int) (int64, []Endpoint) { return 2, testEndpoints(3) })
		n := s.nodes[1]
		for range 3 {
			n.exchange.Receive(s.now, 0, encoded)
			n.exchange.Tick(s.now, 0)
		}
		if n.sent > 3*(maxRequestsPerTick+maxResponsesPerTick) || len(n.exchange.currentList().endpoints) < 3 {
			t.Errorf("%d messages, %d endpoints", n.sent, len(n.exchange.currentList().endpoints))
		}
	})
}
