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

// listening is a fleet whose nodes ask one another for the list, and know of each other.
func newListGossipFleet(t *testing.T, nodes int, state bool) *Processes {
	t.Helper()
	p := newTestFleet(t, nodes)
	p.PersistState, p.ListGossip, p.Key = state, true, listKey
	p.startAll(t)
	p.waitServing(t)
	if _, err := WaitUntil(p, startupPeriods, "all know one another", ViewsMatch(NodeRange(0, nodes), AllInState("up"))); err != nil {
		t.Fatal(err)
	}
	return p
}

// heard is what the nodes say of the list that they go by; nil for one that does not say.
func (p *Processes) listViews() []*endpointgossip.View {
	out := make([]*endpointgossip.View, len(p.nodes))
	for i := range p.nodes {
		var v struct{ List *endpointgossip.View }
		if status, text, err := Call(p.AdminAddress(i), "GET", "/members"); err == nil && status == 200 && json.Unmarshal(text, &v) == nil {
			out[i] = v.List
		}
	}
	return out
}

// until waits for a statement about the lists of all nodes that were started.
func (p *Processes) waitForLists(t *testing.T, what string, holds func(*endpointgossip.View) bool) {
	t.Helper()
	if _, err := WaitUntil(p, detectionPeriods, what, func([]*members.View) bool {
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

// arrivalsAfterGrace tells how many requests come to an endpoint while all nodes are busy, from the grace after a moment on.
func (p *Processes) arrivalsAfterGrace(server int, told time.Time) (late int) {
	time.Sleep(time.Until(told.Add(drainGrace)) + 300*time.Millisecond)
	for _, at := range p.endpoints[server].Arrivals() {
		if at.After(told.Add(drainGrace)) {
			late++
		}
	}
	return late
}

// TestDrainReachesNodesWithoutWatch leaves one node alone with a watch, with a third of all datagrams lost: the others stop sending
// to an endpoint that drains, and send to it again once it is up.
func TestDrainReachesNodesWithoutWatch(t *testing.T) {
	p := newListGossipFleet(t, 6, false)
	p.discovery.SetDown(true)
	p.discovery.LimitWatches(1)
	p.discovery.SetDown(false)
	p.AddFaults(dropFault(6, 1))
	end := p.startLoad()
	defer end()
	p.setDraining(2, 1)
	p.waitForLists(t, "all go by the list of the one", func(v *endpointgossip.View) bool { return v.Version == 2 })
	if late := p.arrivalsAfterGrace(1, time.Now()); late > 0 {
		t.Errorf("%d tasks came to a server that drains after all knew it", late)
	}
	stand := 0
	for _, v := range p.listViews() {
		if v.WatchUp {
			stand++
		}
	}
	if stand > 1 {
		t.Errorf("%d watches stand", stand)
	}
	before := len(p.endpoints[1].Arrivals())
	p.setDraining(3, -1)
	p.waitForLists(t, "all know that it is up", func(v *endpointgossip.View) bool { return v.Version == 3 })
	for tries := 0; len(p.endpoints[1].Arrivals()) == before; tries++ {
		if tries > 3000 {
			t.Fatal("it gets nothing")
		}
		time.Sleep(2 * time.Millisecond)
	}
	p.ClearFaults()
	p.discovery.LimitWatches(0)
	p.waitForLists(t, "all watches stand", func(v *endpointgossip.View) bool { return v.WatchUp })
}

// TestNodesWithoutStateServeByGossipedList takes the power from all while an endpoint drains, and half of the disks with it. Discovery
// does not come back: all serve, and none sends to the server that drained.
func TestNodesWithoutStateServeByGossipedList(t *testing.T) {
	p := newListGossipFleet(t, 6, true)
	p.setDraining(2, 1)
	p.waitForLists(t, "all are told", func(v *endpointgossip.View) bool { return v.Version == 2 })
	told := time.Now()
	time.Sleep(200 * time.Millisecond) // until it is on the disks
	p.discovery.SetDown(true)
	p.killAll()
	for i := range 3 {
		if err := os.RemoveAll(p.StateDir(i)); err != nil {
			t.Fatal(err)
		}
	}
	p.startAll(t)
	end := p.startLoad()
	defer end()
	p.waitForLists(t, "all have the list that some remember", func(v *endpointgossip.View) bool { return v.Version == 2 && v.Restored })
	p.waitServing(t)
	if late := p.arrivalsAfterGrace(1, told); late > 0 {
		t.Errorf("%d tasks came to a server that drained before the power went", late)
	}
	p.discovery.SetDown(false)
	p.waitForLists(t, "all watches stand", func(v *endpointgossip.View) bool { return v.WatchUp })
}

// TestReadyOnlyWithEndpointList has three nodes wake with nothing: none is ready, and each says why, until one list has come to one.
func TestReadyOnlyWithEndpointList(t *testing.T) {
	p := newTestFleet(t, 3)
	p.ListGossip, p.Key = true, listKey
	p.discovery.SetDown(true)
	p.startAll(t)
	if _, err := WaitUntil(p, startupPeriods, "all know one another", ViewsMatch(NodeRange(0, 3), AllInState("up"))); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		front, _, err := Call(p.ListenAddress(i), "GET", "/ready")
		status, text, _ := Call(p.AdminAddress(i), "GET", "/ready")
		if err != nil || front != 503 || status != 503 || !strings.Contains(string(text), "no list of servers yet") {
			t.Errorf("n%d without a list answers %d, and its console %d %s; %v", i, front, status, text, err)
		}
	}
	p.discovery.LimitWatches(1)
	p.discovery.SetDown(false)
	p.waitServing(t)
}

// TestUnconfirmedListIsNotApplied has one node alone hear from a discovery that takes nearly all endpoints away; the others go on.
func TestUnconfirmedListIsNotApplied(t *testing.T) {
	p := newListGossipFleet(t, 4, false)
	p.discovery.SetDown(true)
	p.discovery.LimitWatches(1)
	p.discovery.SetList(9, ListEntry{Endpoint: p.endpoints[0], State: "up"}, ListEntry{Endpoint: p.endpoints[1], State: "draining"},
		ListEntry{Endpoint: p.endpoints[2], State: "draining"}, ListEntry{Endpoint: p.endpoints[3], State: "draining"})
	p.discovery.SetDown(false)
	doubted := func(views []*members.View) bool {
		with, doubt := 0, 0
		for _, v := range p.listViews() {
			if v != nil && v.WatchUp && v.Version == 9 {
				with++
			}
			if v != nil && v.Counters.Unconfirmed > 0 && v.Version == 1 {
				doubt++
			}
		}
		return with == 1 && doubt == 3
	}
	if _, err := WaitUntil(p, detectionPeriods, "three doubt what one says", doubted); err != nil {
		t.Fatalf("%v\n%+v", err, p.listViews())
	}
	p.discovery.LimitWatches(2)
	p.waitForLists(t, "two watches are believed", func(v *endpointgossip.View) bool { return v.Version == 9 })
}

// TestRecoveryInEveryRestartOrder takes the power from nodes, endpoints and discovery while an endpoint drains, and brings them back in each of
// the six orders, with exclusive requests coming all the time and a third of the datagrams lost: none runs twice, none comes to the
// server that drained, and all serve in the end.
func TestRecoveryInEveryRestartOrder(t *testing.T) {
	p := newListGossipFleet(t, 4, true)
	p.AddFaults(dropFault(4, 2))
	parts := map[byte]func(){
		'n': func() { p.startAll(t) },
		's': func() {
			for _, s := range p.endpoints {
				s.SetDown(false)
			}
		},
		'd': func() { p.discovery.SetDown(false) },
	}
	end := p.startLoad()
	defer end()
	version := int64(1)
	for k, order := range []string{"nsd", "nds", "snd", "sdn", "dns", "dsn"} {
		draining := k % len(p.endpoints)
		version++
		p.setDraining(version, draining)
		p.waitForLists(t, order+": all are told", func(v *endpointgossip.View) bool { return v.Version == version })
		told := time.Now()
		time.Sleep(150 * time.Millisecond) // until it is on the disks
		p.discovery.SetDown(true)
		for _, s := range p.endpoints {
			s.SetDown(true)
		}
		p.killAll()
		for i := range order {
			parts[order[i]]()
			time.Sleep(50 * time.Millisecond)
		}
		p.waitServing(t)
		if late := p.arrivalsAfterGrace(draining, told); late > 0 {
			t.Errorf("%s: %d tasks came to a server that drained before the power went", order, late)
		}
	}
	if twice := p.duplicateRequests(); len(twice) > 0 {
		t.Errorf("%d tasks ran twice: %v", len(twice), twice[:min(len(twice), 5)])
	}
}

// TestSingleNodeOfLargeFleetRestarts has one of 300 come back alone with its memory while discovery is down: it says that it knows
// of nobody, serves what cold endpoints surely can, and all once discovery tells that they never went.
func TestSingleNodeOfLargeFleetRestarts(t *testing.T) {
	p := newTestFleet(t, 2)
	p.PersistState, p.ListGossip, p.Key = true, true, listKey
	p.Settings = strings.NewReplacer("\"group_size\":%d", "\"group_size\":300", "\"position\":%d", "\"position\":%[2]d").Replace(p.Settings)
	if err := p.Start(0); err != nil {
		t.Fatal(err)
	}
	done := func(tasks int) (n int) {
		for i := range tasks {
			if p.SendRequest(0, 1000+i) == nil {
				n++
			}
		}
		return n
	}
	ready := func() {
		for tries := 0; tries < 2000 && done(1) == 0; tries++ {
			time.Sleep(2 * time.Millisecond)
		}
	}
	ready()
	if n := done(100); n != 100 {
		t.Fatalf("in calm %d of 100", n)
	}
	p.discovery.SetDown(true)
	p.Kill(0)
	if err := p.Start(0); err != nil {
		t.Fatal(err)
	}
	ready()
	cold := done(400)
	if _, err := WaitUntil(p, startupPeriods, "it says that it hears nobody", func(views []*members.View) bool {
		return views[0] != nil && !views[0].Summary.Reliable
	}); err != nil {
		t.Error(err)
	}
	if cold == 0 || cold == 400 {
		t.Errorf("%d of 400 by servers that may be cold", cold)
	}
	p.discovery.SetDown(false)
	p.waitForLists(t, "discovery tells it", func(v *endpointgossip.View) bool { return v.WatchUp })
	if n := done(100); n != 100 {
		t.Errorf("once discovery has told, %d of 100", n)
	}
}
