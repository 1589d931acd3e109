package endpointgossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const tickNs = int64(50e6)

// testNetwork simulates a network of nodes. Messages are lost at random; the others arrive after delayNs, or with no
// delay in the same tick.
type testNetwork struct {
	t            *testing.T
	now          int64
	random       *rand.Rand
	loss         float64
	delayNs      int64
	isolatedNode int // node whose messages are all lost, in both directions; -1: none
	nodes        []*testNode
	inFlight     []inFlightMessage
}

type testNode struct {
	network  *testNetwork
	index    int
	exchange *Exchange
	watchUp  bool                // the node's own watch is up
	used     map[string]Endpoint // endpoints in use, by name
	received int
	sent     int // messages in this tick
}

type inFlightMessage struct {
	deliverAt, from, to int64
	encoded             []byte
}

func (n *testNode) SendPayload(to int, encoded []byte) {
	network := n.network
	if len(encoded) >= MaxMessageBytes {
		network.t.Fatalf("got a message of %d bytes, want less than MaxMessageBytes", len(encoded))
	}
	n.sent++
	if network.random.Float64() >= network.loss && n.index != network.isolatedNode && to != network.isolatedNode {
		network.inFlight = append(network.inFlight, inFlightMessage{network.now + network.delayNs, int64(n.index), int64(to), encoded})
	}
}

func (n *testNode) Reachable() (nodes []int) {
	for i := range n.network.nodes {
		if i != n.index {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

func (n *testNode) apply(endpoints []Endpoint, complete bool) {
	if endpoints == nil {
		return
	}
	if complete {
		n.used = map[string]Endpoint{}
	}
	for _, endpoint := range endpoints {
		n.used[endpoint.Name] = endpoint
	}
}

func newTestNetwork(t *testing.T, nodes int, seed uint64, restored func(i int) (int64, []Endpoint)) *testNetwork {
	network := &testNetwork{t: t, isolatedNode: -1, now: 1_700_000_000e9, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range nodes {
		n := &testNode{network: network, index: i, used: map[string]Endpoint{}}
		var version int64
		var endpoints []Endpoint
		if restored != nil {
			version, endpoints = restored(i)
			n.apply(endpoints, true)
		}
		n.exchange = New(seed*1000+uint64(i), n, network.now, version, endpoints, false)
		network.nodes = append(network.nodes, n)
	}
	return network
}

// step runs one tick of all nodes and delivers the messages that are due.
func (network *testNetwork) step() {
	network.now += tickNs
	for _, n := range network.nodes {
		n.sent = 0
		receivedAt := int64(0)
		if n.watchUp {
			receivedAt = network.now
		}
		n.apply(n.exchange.Tick(network.now, receivedAt), true)
	}
	for len(network.inFlight) > 0 {
		var remaining []inFlightMessage
		delivered := false
		for k := 0; k < len(network.inFlight); k++ {
			msg := network.inFlight[k]
			if msg.deliverAt > network.now {
				remaining = append(remaining, msg)
				continue
			}
			delivered = true
			n := network.nodes[msg.to]
			n.received++
			n.apply(n.exchange.Receive(network.now, int(msg.from), msg.encoded), false)
		}
		if network.inFlight = remaining; !delivered {
			break
		}
	}
	for _, n := range network.nodes {
		if n.sent > maxRequestsPerTick+maxResponsesPerTick {
			network.t.Fatalf("n%d sent %d messages in a tick, more than maxRequestsPerTick and maxResponsesPerTick allow", n.index, n.sent)
		}
	}
}

// updateWatch delivers a complete list by the node's own watch.
func (n *testNode) updateWatch(version int64, endpoints []Endpoint) {
	n.watchUp = true
	if endpointsToUse := n.exchange.WatchUpdated(n.network.now, version, endpoints, nil, true); endpointsToUse != nil {
		endpoints = endpointsToUse
	}
	n.apply(endpoints, true)
}

func testEndpoints(count int, draining ...int) (endpoints []Endpoint) {
	for i := range count {
		endpoints = append(endpoints, Endpoint{Name: fmt.Sprintf("server-%04d", i), Address: fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250), Zone: "north", Pod: i % 3, Weight: 1, StartedNs: 1_699_999_000e9})
	}
	for _, i := range draining {
		endpoints[i].Draining = true
	}
	return endpoints
}

func (n *testNode) activeCount() (count int) {
	for _, endpoint := range n.used {
		if !endpoint.Draining {
			count++
		}
	}
	return count
}

func TestOneListReachesAllNodes(t *testing.T) {
	for _, c := range []struct {
		nodes, endpointCount int
		loss                 float64
		maxTicks             int
	}{{3, 4, 0, 10}, {12, 120, 0, 25}, {12, 120, 0.3, 60}, {300, 120, 0.1, 60}, {40, 4000, 0.1, 300}} {
		network := newTestNetwork(t, c.nodes, 3, nil)
		network.loss = c.loss
		for range 10 {
			network.step()
		}
		network.nodes[1].updateWatch(5, testEndpoints(c.endpointCount))
		ticks, maxResponses := -1, 0
		for tick := range c.maxTicks {
			network.step()
			nodesWithList := 0
			for _, n := range network.nodes {
				if maxResponses = max(maxResponses, n.exchange.responsesInTick); len(n.used) == c.endpointCount {
					nodesWithList++
				}
			}
			if nodesWithList == c.nodes {
				ticks = tick + 1
				break
			}
		}
		sent := int64(0)
		for _, n := range network.nodes {
			sent += n.exchange.counters.Requests + n.exchange.counters.Responses
		}
		t.Logf("%d nodes, %d endpoints, loss %.1f: %d ticks, %d messages, at most %d responses of one node in a tick", c.nodes, c.endpointCount, c.loss, ticks, sent, maxResponses)
		if ticks < 0 {
			t.Errorf("%d nodes, %d endpoints, loss %.1f: not all nodes have the list after %d ticks", c.nodes, c.endpointCount, c.loss, c.maxTicks)
		}
	}
}

func TestSimultaneousStartsSpreadRequests(t *testing.T) {
	network := newTestNetwork(t, 300, 4, nil)
	network.step()
	network.step()
	maxReceived := 0
	for _, n := range network.nodes {
		if maxReceived = max(maxReceived, n.received); n.exchange.counters.Requests < nodesPerRequest {
			t.Errorf("n%d sent %d requests in two ticks, want at least nodesPerRequest", n.index, n.exchange.counters.Requests)
		}
	}
	if maxReceived > 12 {
		t.Errorf("a node received %d messages when 300 nodes started at the same time, want at most 12", maxReceived)
	}
	network = newTestNetwork(t, 300, 4, nil)
	network.nodes[0].updateWatch(1, testEndpoints(3))
	network.step()
	network.step()
	if got := network.nodes[0].exchange.counters.Responses; got > maxResponsesPerTick {
		t.Errorf("a node sent %d responses when 300 nodes started at the same time, want at most maxResponsesPerTick", got)
	}
}

func TestOwnWatchWinsOverGossip(t *testing.T) {
	network := newTestNetwork(t, 3, 5, nil)
	network.nodes[0].updateWatch(9, testEndpoints(8, 2))
	for range 20 {
		network.step()
	}
	if got := network.nodes[1].activeCount(); got != 7 {
		t.Fatalf("without a watch: got %d active endpoints, want 7 by the gossiped list", got)
	}
	network.nodes[1].updateWatch(9, testEndpoints(8))
	if got := network.nodes[1].activeCount(); got != 8 {
		t.Fatalf("with a watch: got %d active endpoints, want 8 by the watched list", got)
	}
	before := network.nodes[1].exchange.counters.Requests
	for range 20 {
		network.step()
	}
	if network.nodes[1].exchange.counters.Requests != before || network.nodes[1].activeCount() != 8 {
		t.Error("a node whose watch is up sent requests or used a gossiped list, want neither")
	}
	// While the watch is down again, gossiped lists are used. When it resumes without an event, its own list is used.
	network.nodes[1].watchUp = false
	network.nodes[0].updateWatch(10, testEndpoints(8, 2, 3))
	for range 30 {
		network.step()
	}
	if got := network.nodes[1].activeCount(); got != 6 {
		t.Fatalf("with the watch down again: got %d active endpoints, want 6 by the gossiped list", got)
	}
	network.nodes[1].watchUp = true
	for range watchGraceTicks + 1 {
		network.step()
	}
	if got := network.nodes[1].activeCount(); got != 8 {
		t.Errorf("after the watch resumed without an event: got %d active endpoints, want 8 by the watched list", got)
	}
}

func TestWatchedListWinsOverRestoredList(t *testing.T) {
	network := newTestNetwork(t, 4, 6, func(i int) (int64, []Endpoint) {
		switch i {
		case 0:
			return 7, testEndpoints(8, 1)
		case 1:
			return 3, testEndpoints(8)
		}
		return 0, nil
	})
	for range 30 {
		network.step()
	}
	for i, n := range network.nodes {
		if len(n.used) != 8 || !n.used["server-0001"].Draining {
			t.Fatalf("n%d: the drain on the restored list of n0 is missing: %v", i, n.used)
		}
	}
	if endpoint := network.nodes[3].used["server-0002"]; endpoint.StartedNs < network.now-60*tickNs {
		t.Errorf("an endpoint on a list of unknown age has the start time %d, want it to count as just started", endpoint.StartedNs)
	}
	// Discovery recovers with a list that is older than the restored one and must not end its drain; a newer one must.
	network.nodes[2].updateWatch(5, testEndpoints(9))
	for range 30 {
		network.step()
	}
	for _, i := range []int{0, 1, 3} {
		if n := network.nodes[i]; len(n.used) != 9 || !n.used["server-0001"].Draining {
			t.Errorf("n%d: a list older than the drain ended it, or the new endpoint of that list is missing: %v", i, n.used)
		}
	}
	network.nodes[2].updateWatch(8, testEndpoints(9))
	for range 30 {
		network.step()
	}
	for i, n := range network.nodes {
		if n.activeCount() != 9 {
			t.Errorf("n%d: got %d active endpoints, want 9 by the newer list", i, n.activeCount())
		}
	}
}

func TestOneNodeCannotRemoveMostEndpoints(t *testing.T) {
	network := newTestNetwork(t, 5, 7, func(int) (int64, []Endpoint) { return 3, testEndpoints(8) })
	network.nodes[0].updateWatch(99, testEndpoints(8, 0, 1, 2, 3, 4, 5))
	for range 60 {
		network.step()
	}
	for _, n := range network.nodes[1:] {
		if n.activeCount() != 8 || n.exchange.counters.Unconfirmed == 0 {
			t.Fatalf("n%d: got %d active endpoints, want 8 as a single witness must not remove most of them", n.index, n.activeCount())
		}
	}
	network.nodes[1].updateWatch(99, testEndpoints(8, 0, 1, 2, 3, 4, 5))
	for range 60 {
		network.step()
	}
	for _, n := range network.nodes {
		if n.activeCount() != 2 {
			t.Errorf("n%d: got %d active endpoints, want 2 by the list of two witnesses", n.index, n.activeCount())
		}
	}
}

// TestForwardedListIsNoSecondWitness checks that nodes without a watch that forward the list of the only watch don't
// count as witnesses: a node that is isolated until they all have the list must not accept it.
func TestForwardedListIsNoSecondWitness(t *testing.T) {
	network := newTestNetwork(t, 6, 7, func(i int) (int64, []Endpoint) {
		if i == 5 {
			return 3, testEndpoints(8)
		}
		return 0, nil
	})
	network.nodes[0].updateWatch(99, testEndpoints(8, 0, 1, 2, 3, 4, 5))
	for network.isolatedNode = 5; network.now < 1_700_000_010e9; {
		if network.step(); network.now == 1_700_000_005e9 {
			network.isolatedNode = -1
		}
	}
	if network.nodes[1].activeCount() != 2 || network.nodes[5].activeCount() != 8 {
		t.Errorf("got %d active endpoints at a node that had no list and %d at one that had 8, want 2 and 8", network.nodes[1].activeCount(), network.nodes[5].activeCount())
	}
}

func TestRestoredDrainHoldsAgainstOlderWatchedList(t *testing.T) {
	network := newTestNetwork(t, 3, 6, func(i int) (int64, []Endpoint) {
		if i == 0 {
			return 7, testEndpoints(8, 1)
		}
		return 0, nil
	})
	network.nodes[1].updateWatch(5, testEndpoints(8))
	for range 30 {
		network.step()
	}
	if n := network.nodes[2]; !n.used["server-0001"].Draining || n.used["server-0002"].StartedNs > testEndpoints(8)[2].StartedNs {
		t.Errorf("the restored drain is missing, or the start time of the watched list is not used: %v", n.used)
	}
	network.nodes[2].watchUp, network.nodes[1].watchUp = false, false
	network.nodes[1].updateWatch(7, testEndpoints(8)) // the version of the restored list
	for range 30 {
		network.step()
	}
	if got := network.nodes[1].exchange.currentList(); network.nodes[1].activeCount() != 8 || got.restored {
		t.Errorf("got %d active endpoints and list %+v, want 8 and a list that is not restored", network.nodes[1].activeCount(), got)
	}
}

// TestResponsesAfterOwnWatchAreIgnored delivers a list by the node's own watch while responses to earlier requests are
// in flight: they must not replace it, even though their version is higher.
func TestResponsesAfterOwnWatchAreIgnored(t *testing.T) {
	network := newTestNetwork(t, 2, 12, nil)
	network.delayNs = 8 * tickNs
	network.nodes[0].updateWatch(9, testEndpoints(8, 1))
	for range 12 {
		network.step()
	}
	network.nodes[1].updateWatch(8, testEndpoints(8))
	for range 30 {
		network.step()
	}
	if got := network.nodes[1].activeCount(); got != 8 || network.nodes[1].exchange.View().Version != 8 {
		t.Errorf("got %d active endpoints and view %+v, want 8 and version 8", got, network.nodes[1].exchange.View())
	}
}

// TestNodeWithBetterListIsQueried has a node with a list send a request to one that has none, which must request that
// list in its next tick.
func TestNodeWithBetterListIsQueried(t *testing.T) {
	network := newTestNetwork(t, 2, 12, nil)
	n := network.nodes[1]
	n.exchange.nextRequestTick = 1 << 60
	n.exchange.Receive(network.now, 0, encode(&message{Kind: requestKind, Version: 4, Digest: 5, RequestedAt: network.now}))
	n.exchange.Tick(network.now, 0)
	if n.exchange.counters.Requests != 1 {
		t.Errorf("got %d requests, want 1", n.exchange.counters.Requests)
	}
}

// TestInvalidResponsesAreBounded has one node send thousands of responses in a tick that never make up a valid list:
// none is accepted, and the requests that they cause stay limited.
func TestInvalidResponsesAreBounded(t *testing.T) {
	network := newTestNetwork(t, 2, 12, nil)
	n := network.nodes[1]
	n.exchange.Tick(network.now, 0)
	for i := range 1000 {
		endpoint := Endpoint{Name: fmt.Sprint("s", i), Address: "a"}
		if got := n.exchange.Receive(network.now, 0, encode(&message{Kind: responseKind, Version: int64(i / 2), Digest: 7, Pages: 2, Page: i % 2, RequestedAt: network.now, Endpoints: []Endpoint{endpoint}})); got != nil {
			t.Fatalf("an invalid response was accepted: %v", got)
		}
	}
	for i := range 1000 { // first pages of lists of ever higher versions
		n.exchange.Receive(network.now, 0, encode(&message{Kind: responseKind, Version: 1000 + int64(i/8), Digest: 7, Pages: 40, Page: i % 8, RequestedAt: network.now}))
	}
	if n.exchange.counters.Requests > maxRequestsPerTick || n.exchange.counters.Invalid < 400 {
		t.Errorf("got counters %+v, want at most maxRequestsPerTick requests and at least 400 invalid", n.exchange.counters)
	}
}

func TestAbsentEndpointCountsAsDraining(t *testing.T) {
	network := newTestNetwork(t, 2, 8, func(int) (int64, []Endpoint) { return 3, testEndpoints(8) })
	network.nodes[0].updateWatch(4, testEndpoints(7))
	for range 20 {
		network.step()
	}
	if n := network.nodes[1]; n.activeCount() != 7 || !n.used["server-0007"].Draining {
		t.Errorf("got %d active endpoints, want 7 and the absent one draining: %v", n.activeCount(), n.used)
	}
}

// TestDelayedResponseMarksEndpointsAsJustStarted delays responses by ten seconds, more than FreshForNs: the list is
// used, but its start times are not.
func TestDelayedResponseMarksEndpointsAsJustStarted(t *testing.T) {
	for _, delayNs := range []int64{0, 10e9} {
		network := newTestNetwork(t, 2, 9, nil)
		network.nodes[0].updateWatch(1, testEndpoints(5))
		network.delayNs = delayNs
		startNs := network.now
		for range 500 {
			network.step()
		}
		endpoint := network.nodes[1].used["server-0000"]
		if restarted := endpoint.StartedNs > startNs; len(network.nodes[1].used) != 5 || restarted != (delayNs > 0) {
			t.Errorf("delay of %d ns: got %v, want 5 endpoints that count as just started only if responses are delayed", delayNs, endpoint)
		}
	}
}

func TestResponsesToAnEarlierRunAreIgnored(t *testing.T) {
	network := newTestNetwork(t, 2, 10, nil)
	network.nodes[0].updateWatch(1, testEndpoints(5))
	var captured []inFlightMessage
	for range 5 {
		network.now += tickNs
		network.nodes[1].exchange.Tick(network.now, 0)
		for k := 0; k < len(network.inFlight); k++ {
			if msg := network.inFlight[k]; msg.to == 0 {
				network.nodes[0].exchange.Receive(network.now, 1, msg.encoded)
			} else {
				captured = append(captured, msg)
			}
		}
		network.inFlight = nil
	}
	network.now += tickNs
	restarted := New(1, network.nodes[1], network.now, 0, nil, false)
	for _, msg := range captured {
		if restarted.Receive(network.now, 0, msg.encoded) != nil {
			t.Error("a response to a request of an earlier run was accepted")
		}
	}
	if len(captured) == 0 || restarted.counters.Invalid != int64(len(captured)) {
		t.Errorf("got %d captured responses and %d counted as invalid, want the same number above 0", len(captured), restarted.counters.Invalid)
	}
}

// TestOrderOfResponsesDoesNotMatter generates lists with random versions, drains and start times, and the order in
// which nodes receive them: in the end all nodes must use the same list. All drains together leave half of the
// endpoints active. With more drains, lists of the same version would need witnesses, and the result would depend on
// the order.
func TestOrderOfResponsesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		watches := rapid.IntRange(1, 4).Draw(r, "watches")
		var events []func(*testNode)
		for range watches {
			version := int64(rapid.IntRange(1, 3).Draw(r, "version"))
			endpoints := testEndpoints(6, rapid.SliceOfN(rapid.IntRange(0, 2), 0, 2).Draw(r, "draining")...)
			endpoints[rapid.IntRange(0, 5).Draw(r, "which")].StartedNs += int64(rapid.IntRange(0, 2).Draw(r, "start"))
			events = append(events, func(n *testNode) { n.updateWatch(version, endpoints) })
		}
		network := newTestNetwork(t, watches+3, rapid.Uint64Range(1, 1000).Draw(r, "seed"), nil)
		for i, event := range events {
			event(network.nodes[i])
			for range rapid.IntRange(0, 5).Draw(r, "ticks") {
				network.step()
			}
		}
		for range 100 {
			network.step()
		}
		want := network.nodes[watches].exchange.currentList()
		for _, n := range network.nodes[watches:] {
			if got := n.exchange.currentList(); got == nil || got.version != want.version || got.digest != want.digest {
				r.Fatalf("two nodes use different lists: %+v and %+v", want, got)
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
		network := newTestNetwork(t, 2, 1, func(int) (int64, []Endpoint) { return 2, testEndpoints(3) })
		n := network.nodes[1]
		for range 3 {
			n.exchange.Receive(network.now, 0, encoded)
			n.exchange.Tick(network.now, 0)
		}
		if n.sent > 3*(maxRequestsPerTick+maxResponsesPerTick) || len(n.exchange.currentList().endpoints) < 3 {
			t.Errorf("got %d messages and %d endpoints, want messages within the limits and at least 3 endpoints", n.sent, len(n.exchange.currentList().endpoints))
		}
	})
}
