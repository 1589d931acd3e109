package policy

import (
	"testing"
)

// subsetIDs returns the members of the subset.
func subsetIDs(p *Balancer) map[EndpointID]bool {
	near := map[EndpointID]bool{}
	for _, s := range p.endpoints.all {
		if s.inSubset {
			near[s.ID] = true
		}
	}
	return near
}

// Guards against each of hundreds of nodes holding a connection to every endpoint.
func TestSubsetsOfManyNodesCoverEndpointsEvenly(t *testing.T) {
	const nodes, endpoints = 400, 50
	sharing, moved := map[EndpointID]int{}, 0
	for at := range nodes {
		set := benchSettings
		set.NodeIndex, set.NodeCount = at, nodes
		p := New(set, 1, &lastSendRecorder{})
		p.EndpointsUpdated(1e12, endpointList(endpoints), true)
		before := subsetIDs(p)
		if len(before) != minSubsetSize {
			t.Fatalf("node %d draws from %d endpoints, want %d", at, len(before), minSubsetSize)
		}
		for id := range before {
			sharing[id]++
		}
		gone := endpointList(endpoints)[7]
		gone.State = StateRemoved
		p.EndpointsUpdated(1e12, []EndpointInfo{gone}, false)
		for id := range subsetIDs(p) {
			if !before[id] {
				moved++
			}
		}
	}
	for id, n := range sharing {
		if n < 12 || n > 60 {
			t.Errorf("endpoint %d is drawn from by %d nodes, 32 would be even", id, n)
		}
	}
	if len(sharing) < endpoints || moved > 60 {
		t.Errorf(
			"%d of %d endpoints are drawn from; one that left moved %d connections, 32 would be even", len(sharing),
			endpoints, moved,
		)
	}
}

func TestFewNodesUseAllEndpoints(t *testing.T) {
	b := newTestFleet(t, 19, func(s *Settings) { s.NodeIndex, s.NodeCount = 2, 4 })
	if n := len(subsetIDs(b.Balancer)); n != 19 {
		t.Errorf("one of four nodes draws from %d of 19 endpoints", n)
	}
}

func manyNodesSettings(s *Settings) {
	s.NodeIndex, s.NodeCount, s.StreamsPerConnection, s.MayGossip = 3, 300, 100, true
}

func TestSubsetGrowsWithEjectionsAndTraffic(t *testing.T) {
	b := newTestFleet(t, 40, manyNodesSettings)
	before := subsetIDs(b.Balancer)
	for id := range before {
		b.endpoints.byID[id].health[0].ejected = true
	}
	if b.tick(); len(subsetIDs(b.Balancer)) != minSubsetSize+minSubsetSize/2+1 {
		t.Errorf("with %d endpoints ejected a node draws from %d", minSubsetSize, len(subsetIDs(b.Balancer)))
	}
	for id := range before {
		b.endpoints.byID[id].health[0].ejected = false
	}
	b.tick()
	for range 60 { // within a second
		b.arrive(0)
	}
	if n := len(subsetIDs(b.Balancer)); n < 8 {
		t.Errorf("asked for 60 requests in a moment a node draws from %d endpoints", n)
	}
}

// TestSubsetIsBoundedInColdFleet has hundreds of nodes before a fleet that is cold as a whole: each draws from a part
// of it, so that its connections are used again.
func TestSubsetIsBoundedInColdFleet(t *testing.T) {
	set := benchSettings
	set.NodeCount = 300
	p := New(set, 1, &lastSendRecorder{})
	now := Time(1e12)
	list := endpointList(120)
	for i := range list {
		list[i].StartedAt = now
	}
	p.EndpointsUpdated(now, list, true)
	if got := len(p.subset.members); got != maxWarmingUpFactor*p.subset.targetSize || got > 40 {
		t.Errorf(
			"one of 300 nodes draws from %d of 120 cold endpoints, want %d times %d", got, maxWarmingUpFactor,
			p.subset.targetSize,
		)
	}
	for i := range list[:60] { // half of them were up long before
		list[i].StartedAt = 0
	}
	p.EndpointsUpdated(now, list, true)
	if warm := len(p.subset.members) - len(p.subset.warmingUp); warm < p.subset.targetSize {
		t.Errorf("draws from %d warm ones, want %d", warm, p.subset.targetSize)
	}
}
