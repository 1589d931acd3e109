package policy

import (
	"testing"
)

// subsetIDs returns the members of the subset.
func subsetIDs(balancer *Balancer) map[EndpointID]bool {
	members := map[EndpointID]bool{}
	for _, ep := range balancer.endpoints.all {
		if ep.inSubset {
			members[ep.ID] = true
		}
	}
	return members
}

// Guards against each of hundreds of nodes holding a connection to every endpoint.
func TestSubsetsOfManyNodesCoverEndpointsEvenly(t *testing.T) {
	const nodes, endpoints = 400, 50
	nodesByEndpoint, replaced := map[EndpointID]int{}, 0
	for node := range nodes {
		settings := benchSettings
		settings.NodeIndex, settings.NodeCount = node, nodes
		balancer := New(settings, 1, &lastSendRecorder{})
		balancer.EndpointsUpdated(1e12, endpointList(endpoints), true)
		before := subsetIDs(balancer)
		if len(before) != minSubsetSize {
			t.Fatalf("node %d: got a subset of %d endpoints, want %d", node, len(before), minSubsetSize)
		}
		for id := range before {
			nodesByEndpoint[id]++
		}
		removed := endpointList(endpoints)[7]
		removed.State = StateRemoved
		balancer.EndpointsUpdated(1e12, []EndpointInfo{removed}, false)
		for id := range subsetIDs(balancer) {
			if !before[id] {
				replaced++
			}
		}
	}
	for id, nodesUsing := range nodesByEndpoint {
		if nodesUsing < 12 || nodesUsing > 60 {
			t.Errorf("endpoint %d is in the subsets of %d nodes, want 12 to 60 (32 is even)", id, nodesUsing)
		}
	}
	if len(nodesByEndpoint) < endpoints || replaced > 60 {
		t.Errorf(
			"got %d of %d endpoints in subsets, want all; a removal replaced %d members, want at most 60",
			len(nodesByEndpoint),
			endpoints, replaced,
		)
	}
}

func TestFewNodesUseAllEndpoints(t *testing.T) {
	fleet := newTestFleet(t, 19, func(s *Settings) { s.NodeIndex, s.NodeCount = 2, 4 })
	if members := len(subsetIDs(fleet.Balancer)); members != 19 {
		t.Errorf("got a subset of %d endpoints at one of four nodes, want all 19", members)
	}
}

func manyNodesSettings(settings *Settings) {
	settings.NodeIndex, settings.NodeCount, settings.StreamsPerConnection, settings.MayGossip = 3, 300, 100, true
}

func TestSubsetGrowsWithEjectionsAndTraffic(t *testing.T) {
	fleet := newTestFleet(t, 40, manyNodesSettings)
	before := subsetIDs(fleet.Balancer)
	for id := range before {
		fleet.endpoints.byID[id].health[0].ejected = true
	}
	if fleet.tick(); len(subsetIDs(fleet.Balancer)) != minSubsetSize+minSubsetSize/2+1 {
		t.Errorf(
			"with %d endpoints ejected: got a subset of %d, want half as many and one in addition",
			minSubsetSize, len(subsetIDs(fleet.Balancer)),
		)
	}
	for id := range before {
		fleet.endpoints.byID[id].health[0].ejected = false
	}
	fleet.tick()
	for range 60 { // within a second
		fleet.arrive(0)
	}
	if members := len(subsetIDs(fleet.Balancer)); members < 8 {
		t.Errorf("got a subset of %d endpoints after 60 requests within a second, want at least 8", members)
	}
}

// TestSubsetIsBoundedInColdFleet checks that in a fleet that is cold as a whole each of hundreds of nodes uses only
// some of the endpoints, so that connections are reused.
func TestSubsetIsBoundedInColdFleet(t *testing.T) {
	settings := benchSettings
	settings.NodeCount = 300
	balancer := New(settings, 1, &lastSendRecorder{})
	now := Time(1e12)
	list := endpointList(120)
	for i := range list {
		list[i].StartedAt = now
	}
	balancer.EndpointsUpdated(now, list, true)
	if got := len(balancer.subset.members); got != maxWarmingUpFactor*balancer.subset.targetSize || got > 40 {
		t.Errorf(
			"got a subset of %d of 120 cold endpoints at one of 300 nodes, want %d times %d and at most 40",
			got, maxWarmingUpFactor,
			balancer.subset.targetSize,
		)
	}
	for i := range list[:60] { // half of them started long ago
		list[i].StartedAt = 0
	}
	balancer.EndpointsUpdated(now, list, true)
	if warm := len(balancer.subset.members) - len(balancer.subset.warmingUp); warm < balancer.subset.targetSize {
		t.Errorf("got %d warm endpoints in the subset, want at least %d", warm, balancer.subset.targetSize)
	}
}
