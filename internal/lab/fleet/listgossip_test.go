package fleet

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"fawnglade/internal/endpointgossip"
	"fawnglade/internal/members"
)

const listKey = "00112233445566778899aabbccddeeff"

// newListGossipFleet starts a fleet whose nodes gossip the endpoint list, and waits until all are up.
func newListGossipFleet(t *testing.T, nodes int, state bool) *Processes {
	t.Helper()
	p := newTestFleet(t, nodes)
	p.PersistState, p.ListGossip, p.Key = state, true, listKey
	p.startAll(t)
	p.waitServing(t)
	if _, err := WaitUntil(p, startupPeriods, "all nodes report each other as up", ViewsMatch(NodeRange(0, nodes), AllInState("up"))); err != nil {
		t.Fatal(err)
	}
	return p
}

// listViews returns each node's view of the endpoint list in force; nil for a node that does not respond.
func (p *Processes) listViews() []*endpointgossip.View {
	views := make([]*endpointgossip.View, len(p.nodes))
	for i := range p.nodes {
		var v struct{ List *endpointgossip.View }
		if status, text, err := Call(p.AdminAddress(i), "GET", "/members"); err == nil && status == 200 && json.Unmarshal(text, &v) == nil {
			views[i] = v.List
		}
	}
	return views
}

// waitForLists waits until holds is true of the list views of all nodes that were started.
func (p *Processes) waitForLists(t *testing.T, condition string, holds func(*endpointgossip.View) bool) {
	t.Helper()
	if _, err := WaitUntil(p, detectionPeriods, condition, func([]*members.View) bool {
		for i, v := range p.listViews() {
			if p.nodes[i].starts > 0 && (v == nil || !holds(v)) {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%+v", err, p.listViews())
	}
}

// arrivalsAfterGrace returns how many requests arrived at a draining endpoint after drainGrace, under load.
func (p *Processes) arrivalsAfterGrace(endpoint int, drainedAt time.Time) (count int) {
	time.Sleep(time.Until(drainedAt.Add(drainGrace)) + 300*time.Millisecond)
	for _, at := range p.endpoints[endpoint].Arrivals() {
		if at.After(drainedAt.Add(drainGrace)) {
			count++
		}
	}
	return count
}

// Guards against nodes without a watch missing changes of the list. Only one node has a watch, and three in ten
// datagrams are lost: all nodes stop sending to an endpoint that drains, and send to it again once it is up.
func TestDrainReachesNodesWithoutWatch(t *testing.T) {
	p := newListGossipFleet(t, 6, false)
	p.discovery.SetDown(true)
	p.discovery.LimitWatches(1)
	p.discovery.SetDown(false)
	p.AddFaults(dropFault(6, 1))
	stopLoad := p.startLoad()
	defer stopLoad()
	p.setDraining(2, 1)
	p.waitForLists(t, "all nodes have the list of the node with the watch", func(v *endpointgossip.View) bool { return v.Version == 2 })
	if late := p.arrivalsAfterGrace(1, time.Now()); late > 0 {
		t.Errorf("got %d requests at a draining endpoint after the grace, want 0", late)
	}
	watching := 0
	for _, v := range p.listViews() {
		if v.WatchUp {
			watching++
		}
	}
	if watching > 1 {
		t.Errorf("got %d open watches, want at most 1", watching)
	}
	before := len(p.endpoints[1].Arrivals())
	p.setDraining(3, -1)
	p.waitForLists(t, "all nodes have the list with the endpoint up", func(v *endpointgossip.View) bool { return v.Version == 3 })
	for tries := 0; len(p.endpoints[1].Arrivals()) == before; tries++ {
		if tries > 3000 {
			t.Fatal("got no request at the endpoint that is up again")
		}
		time.Sleep(2 * time.Millisecond)
	}
	p.ClearFaults()
	p.discovery.LimitWatches(0)
	p.waitForLists(t, "all watches are open", func(v *endpointgossip.View) bool { return v.WatchUp })
}

// Guards against nodes that lost their persisted state not serving after a power loss. All nodes are killed while an
// endpoint drains, half of them lose their state, and discovery stays down: all serve by the list that the others
// restored, and none sends to the draining endpoint.
func TestNodesWithoutStateServeByGossipedList(t *testing.T) {
	p := newListGossipFleet(t, 6, true)
	p.setDraining(2, 1)
	p.waitForLists(t, "all nodes have the list", func(v *endpointgossip.View) bool { return v.Version == 2 })
	drainedAt := time.Now()
	time.Sleep(200 * time.Millisecond) // until it is persisted
	p.discovery.SetDown(true)
	p.killAll()
	for i := range 3 {
		if err := os.RemoveAll(p.StateDir(i)); err != nil {
			t.Fatal(err)
		}
	}
	p.startAll(t)
	stopLoad := p.startLoad()
	defer stopLoad()
	p.waitForLists(t, "all nodes have the list that some restored", func(v *endpointgossip.View) bool { return v.Version == 2 && v.Restored })
	p.waitServing(t)
	if late := p.arrivalsAfterGrace(1, drainedAt); late > 0 {
		t.Errorf("got %d requests at an endpoint that drained before the power loss, want 0", late)
	}
	p.discovery.SetDown(false)
	p.waitForLists(t, "all watches are open", func(v *endpointgossip.View) bool { return v.WatchUp })
}

// Guards against nodes reporting readiness without an endpoint list. Three nodes start without a list: none is ready,
// and each gives the reason, until one of them receives a list.
func TestReadyOnlyWithEndpointList(t *testing.T) {
	p := newTestFleet(t, 3)
	p.ListGossip, p.Key = true, listKey
	p.discovery.SetDown(true)
	p.startAll(t)
	if _, err := WaitUntil(p, startupPeriods, "all nodes report each other as up", ViewsMatch(NodeRange(0, 3), AllInState("up"))); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		listenerStatus, _, err := Call(p.ListenAddress(i), "GET", "/ready")
		adminStatus, text, _ := Call(p.AdminAddress(i), "GET", "/ready")
		if err != nil || listenerStatus != 503 || adminStatus != 503 || !strings.Contains(string(text), "no list of servers yet") {
			t.Errorf("n%d without a list: got status %d, from its admin API %d %s, error %v, want 503 and the reason", i, listenerStatus, adminStatus, text, err)
		}
	}
	p.discovery.LimitWatches(1)
	p.discovery.SetDown(false)
	p.waitServing(t)
}

// Guards against a single node's list removing most endpoints for all nodes. Only one node has a watch, and its list
// drains nearly all endpoints: the others keep theirs until a second watch confirms it.
func TestUnconfirmedListIsNotApplied(t *testing.T) {
	p := newListGossipFleet(t, 4, false)
	p.discovery.SetDown(true)
	p.discovery.LimitWatches(1)
	p.discovery.SetList(9, ListEntry{Endpoint: p.endpoints[0], State: "up"}, ListEntry{Endpoint: p.endpoints[1], State: "draining"},
		ListEntry{Endpoint: p.endpoints[2], State: "draining"}, ListEntry{Endpoint: p.endpoints[3], State: "draining"})
	p.discovery.SetDown(false)
	heldBack := func(views []*members.View) bool {
		applied, unconfirmed := 0, 0
		for _, v := range p.listViews() {
			if v != nil && v.WatchUp && v.Version == 9 {
				applied++
			}
			if v != nil && v.Counters.Unconfirmed > 0 && v.Version == 1 {
				unconfirmed++
			}
		}
		return applied == 1 && unconfirmed == 3
	}
	if _, err := WaitUntil(p, detectionPeriods, "three nodes count the list of the other as unconfirmed", heldBack); err != nil {
		t.Fatalf("%v\n%+v", err, p.listViews())
	}
	p.discovery.LimitWatches(2)
	p.waitForLists(t, "all nodes have the list that two watches confirm", func(v *endpointgossip.View) bool { return v.Version == 9 })
}

// Guards against faults that depend on the order of recovery. Nodes, endpoints and discovery lose power while an
// endpoint drains, and recover in each of the six orders, with non-idempotent requests all the time and three in ten
// datagrams lost: no request runs twice, none reaches the draining endpoint, and all nodes serve in the end.
func TestRecoveryInEveryRestartOrder(t *testing.T) {
	p := newListGossipFleet(t, 4, true)
	p.AddFaults(dropFault(4, 2))
	restart := map[byte]func(){
		'n': func() { p.startAll(t) },
		's': func() {
			for _, s := range p.endpoints {
				s.SetDown(false)
			}
		},
		'd': func() { p.discovery.SetDown(false) },
	}
	stopLoad := p.startLoad()
	defer stopLoad()
	version := int64(1)
	for k, order := range []string{"nsd", "nds", "snd", "sdn", "dns", "dsn"} {
		draining := k % len(p.endpoints)
		version++
		p.setDraining(version, draining)
		p.waitForLists(t, order+": all nodes have the list", func(v *endpointgossip.View) bool { return v.Version == version })
		drainedAt := time.Now()
		time.Sleep(150 * time.Millisecond) // until it is persisted
		p.discovery.SetDown(true)
		for _, s := range p.endpoints {
			s.SetDown(true)
		}
		p.killAll()
		for i := range order {
			restart[order[i]]()
			time.Sleep(50 * time.Millisecond)
		}
		p.waitServing(t)
		if late := p.arrivalsAfterGrace(draining, drainedAt); late > 0 {
			t.Errorf("%s: got %d requests at an endpoint that drained before the power loss, want 0", order, late)
		}
	}
	if duplicates := p.duplicateRequests(); len(duplicates) > 0 {
		t.Errorf("got %d requests that ran twice, want 0: %v", len(duplicates), duplicates[:min(len(duplicates), 5)])
	}
}

// Guards against a single restarted node of a fleet of 300 overloading endpoints. While discovery is down, it reports
// that it hears no other node and serves only the load that endpoints in slow start can take. Once discovery lists the
// endpoints' unchanged starts, it serves the full load.
func TestSingleNodeOfLargeFleetRestarts(t *testing.T) {
	p := newTestFleet(t, 2)
	p.PersistState, p.ListGossip, p.Key = true, true, listKey
	p.Settings = strings.NewReplacer("\"group_size\":%d", "\"group_size\":300", "\"position\":%d", "\"position\":%[2]d").Replace(p.Settings)
	if err := p.Start(0); err != nil {
		t.Fatal(err)
	}
	succeeded := func(requests int) (n int) {
		for i := range requests {
			if p.SendRequest(0, 1000+i) == nil {
				n++
			}
		}
		return n
	}
	waitServing := func() {
		t.Helper()
		for startedAt := time.Now(); !p.ready(0); time.Sleep(2 * time.Millisecond) {
			if time.Since(startedAt) > readyTimeout {
				t.Fatalf("the node is not ready %v after its start", readyTimeout)
			}
		}
		for tries := 0; succeeded(1) == 0; tries++ {
			if tries == 2000 {
				t.Fatal("the node is ready and serves no request")
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	waitServing()
	if n := succeeded(100); n != 100 {
		t.Fatalf("before the restart: got %d of 100 requests served, want all", n)
	}
	p.discovery.SetDown(true)
	p.Kill(0)
	if err := p.Start(0); err != nil {
		t.Fatal(err)
	}
	waitServing()
	duringSlowStart := succeeded(400)
	if _, err := WaitUntil(p, startupPeriods, "the node reports its summary as unreliable", func(views []*members.View) bool {
		return views[0] != nil && !views[0].Summary.Reliable
	}); err != nil {
		t.Error(err)
	}
	if duringSlowStart == 0 || duringSlowStart == 400 {
		t.Errorf("endpoints possibly in slow start: got %d of 400 requests served, want some but not all", duringSlowStart)
	}
	p.discovery.SetDown(false)
	p.waitForLists(t, "the watch is open again", func(v *endpointgossip.View) bool { return v.WatchUp })
	if n := succeeded(100); n != 100 {
		t.Errorf("with the list of discovery: got %d of 100 requests served, want all", n)
	}
}
