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
			t.Fatalf("node %d draws from %d endpoints, want %d", node, len(before), minSubsetSize)
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
			t.Errorf("endpoint %d is drawn from by %d nodes, 32 would be even", id, nodesUsing)
		}
	}
	if len(nodesByEndpoint) < endpoints || replaced > 60 {
		t.Errorf(
			"%d of %d endpoints are drawn from; one that left moved %d connections, 32 would be even", len(nodesByEndpoint),
			endpoints, replaced,
		)
	}
}

func TestFewNodesUseAllEndpoints(t *testing.T) {
	fleet := newTestFleet(t, 19, func(s *Settings) { s.NodeIndex, s.NodeCount = 2, 4 })
	if members := len(subsetIDs(fleet.Balancer)); members != 19 {
		t.Errorf("one of four nodes draws from %d of 19 endpoints", members)
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
		t.Errorf("with %d endpoints ejected a node draws from %d", minSubsetSize, len(subsetIDs(fleet.Balancer)))
	}
	for id := range before {
		fleet.endpoints.byID[id].health[0].ejected = false
	}
	fleet.tick()
	for range 60 { // within a second
		fleet.arrive(0)
	}
	if members := len(subsetIDs(fleet.Balancer)); members < 8 {
		t.Errorf("asked for 60 requests in a moment a node draws from %d endpoints", members)
	}
}

// TestSubsetIsBoundedInColdFleet has hundreds of nodes before a fleet that is cold as a whole: each draws from a part
// of it, so that its connections are used again.
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
			"one of 300 nodes draws from %d of 120 cold endpoints, want %d times %d", got, maxWarmingUpFactor,
			balancer.subset.targetSize,
		)
	}
	for i := range list[:60] { // half of them were up long before
		list[i].StartedAt = 0
	}
	balancer.EndpointsUpdated(now, list, true)
	if warm := len(balancer.subset.members) - len(balancer.subset.warmingUp); warm < balancer.subset.targetSize {
		t.Errorf("draws from %d warm ones, want %d", warm, balancer.subset.targetSize)
	}
}
