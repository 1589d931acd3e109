package policy

import (
	"fmt"
	"testing"
)

// Guards against each of many nodes gathering a key at endpoints of its own, so that no node saves work.
func TestNodesAgreeOnAffinityEndpoint(t *testing.T) {
	const keys = 40
	requestsByKey := map[string]map[EndpointID]int{}
	for node := range 5 {
		fleet := newTestFleet(t, 12, func(s *Settings) { s.KeyAffinity, s.NodeIndex, s.NodeCount = true, node, 5 })
		for i := range 3 * keys {
			key := fmt.Sprint(i % keys)
			fleet.RequestArrived(fleet.now, Request{ID: RequestID(fmt.Sprint(i)), Deadline: fleet.now + 1000*ms, Key: key})
			if requestsByKey[key] == nil {
				requestsByKey[key] = map[EndpointID]int{}
			}
			requestsByKey[key][fleet.lastSent()]++
			fleet.endAttempt(RequestID(fmt.Sprint(i)), 0, OutcomeSucceeded, 40*ms)
			fleet.now += 40 * ms
		}
	}
	atMostUsed := 0
	for _, endpoints := range requestsByKey {
		most := 0
		for _, count := range endpoints {
			most = max(most, count)
		}
		atMostUsed += most
	}
	if atMostUsed < 5*3*keys*9/10 {
		t.Errorf("%d of %d requests went where most of their key's go", atMostUsed, 5*3*keys)
	}
}

// Guards against a home that is cold, ejected or overloaded getting its keys' requests all the same.
func TestAffinityYieldsToLoadAndSlowStart(t *testing.T) {
	fleet := newTestFleet(t, 8, func(s *Settings) { s.KeyAffinity, s.Classes[0].LatencyObjective = true, 200*ms })
	fleet.serve(40, respondPromptly)
	for i := range 200 {
		fleet.affinity.keys.Observe(fmt.Sprint("another", i), 8)
	}
	sendRequest := func() EndpointID {
		fleet.requestCount++
		fleet.RequestArrived(fleet.now, Request{ID: RequestID(fmt.Sprint(fleet.requestCount)), Deadline: fleet.now + 1000*ms, Key: "k"})
		return fleet.lastSent()
	}
	affinityEndpoint := sendRequest()
	if next := sendRequest(); next != affinityEndpoint {
		t.Errorf("with one out at its home the key goes to %d, not %d", next, affinityEndpoint)
	}
	for range 12 {
		sendRequest()
	}
	if inFlight := fleet.endpoints.byID[affinityEndpoint].inFlight; inFlight > 8 {
		t.Errorf("%d out at the home, 7 elsewhere stand idle", inFlight)
	}
	fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: affinityEndpoint, Pod: 9, StartedAt: fleet.now}}, false)
	if sendRequest(); len(fleet.affinity.endpoints) == 0 || fleet.affinity.endpoints[0].ID == affinityEndpoint {
		t.Error("a cold endpoint is a home, and nodes do not agree on the next")
	}
}
