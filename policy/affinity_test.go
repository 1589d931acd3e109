package policy

import (
	"fmt"
	"testing"
)

// Guards against nodes that use different affinity endpoints for the same key, so that caching saves no work.
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
		t.Errorf(
			"%d of %d requests went to the endpoint used most for their key, want at least 90 %%", atMostUsed, 5*3*keys,
		)
	}
}

// Guards against sending requests for a key to its affinity endpoint even if that is in slow start or overloaded.
func TestAffinityYieldsToLoadAndSlowStart(t *testing.T) {
	fleet := newTestFleet(t, 8, func(s *Settings) { s.KeyAffinity, s.Classes[0].LatencyObjective = true, 200*ms })
	fleet.serve(40, respondPromptly)
	for i := range 200 {
		fleet.affinity.keys.Observe(fmt.Sprint("another", i), 8)
	}
	sendRequest := func() EndpointID {
		fleet.requestCount++
		fleet.RequestArrived(
			fleet.now,
			Request{ID: RequestID(fmt.Sprint(fleet.requestCount)), Deadline: fleet.now + 1000*ms, Key: "k"},
		)
		return fleet.lastSent()
	}
	affinityEndpoint := sendRequest()
	if next := sendRequest(); next != affinityEndpoint {
		t.Errorf(
			"with one request in flight at the affinity endpoint: got endpoint %d for the next, want %d",
			next, affinityEndpoint,
		)
	}
	for range 12 {
		sendRequest()
	}
	if inFlight := fleet.endpoints.byID[affinityEndpoint].inFlight; inFlight > 8 {
		t.Errorf("got %d requests in flight at the affinity endpoint beside 7 idle endpoints, want at most 8", inFlight)
	}
	fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: affinityEndpoint, Pod: 9, StartedAt: fleet.now}}, false)
	if sendRequest(); len(fleet.affinity.preferred) == 0 || fleet.affinity.preferred[0].ID == affinityEndpoint {
		t.Error("the endpoint in slow start is still an affinity endpoint, or the key has none")
	}
}
