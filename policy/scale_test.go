package policy

import (
	"fmt"
	"testing"
)

// Guards against overload after simultaneous changes: load reports, another list and a restart of every endpoint, with
// up to 10,000 requests in flight.
func TestSimultaneousChangesUnderLoad(t *testing.T) {
	const n = 1024
	effects := &lastSendRecorder{}
	settings := benchSettings
	balancer := New(settings, 1, effects)
	now := Time(1e12)
	list := endpointList(2 * n)
	balancer.EndpointsUpdated(now, list[:n], true)
	type inFlightRequest struct {
		id       RequestID
		endpoint EndpointID
	}
	var inFlight []inFlightRequest
	arrive := func(count int) (sent int) {
		for i := range count {
			id := RequestID(fmt.Sprint(now, "-", i))
			effects.sent = false
			if balancer.RequestArrived(now, Request{ID: id, Deadline: now + 900*ms, CostHint: 5e6}); effects.sent {
				inFlight = append(inFlight, inFlightRequest{id, effects.endpoint})
				sent++
			}
		}
		return sent
	}
	respond := func(load float64) {
		for _, req := range inFlight {
			balancer.AttemptEnded(now, AttemptResult{
				Request: req.id, Endpoint: req.endpoint, Outcome: OutcomeSucceeded, Elapsed: 20 * ms, RequestDone: true,
				Report: LoadReport{Utilization: -1, QueueLength: load, ServiceTime: -1},
			})
		}
		inFlight = nil
	}
	if sent := arrive(10000); sent < 9000 {
		t.Fatalf("got %d of 10,000 requests sent to %d idle endpoints, want at least 9,000", sent, n)
	}
	now += 20 * ms
	respond(50)
	respond(0)
	arrive(2000)
	balancer.EndpointsUpdated(now, list[n:], true)
	if got := len(candidateWeights(balancer, now)); got != selectionWindow {
		t.Errorf("got %d candidates after another list, want a window of %d", got, selectionWindow)
	}
	if arrive(500); len(inFlight) < 2000 {
		t.Errorf("got %d requests sent after another list, want some", len(inFlight)-2000)
	}
	for _, req := range inFlight[2000:] {
		if balancer.endpoints.byID[req.endpoint].State != StateActive {
			t.Fatalf("got a request sent to endpoint %d, which is no longer listed, want listed endpoints only", req.endpoint)
		}
	}
	now += 20 * ms
	respond(1)
	restarted := list[n:]
	for i := range restarted {
		restarted[i].StartedAt = now
	}
	balancer.EndpointsUpdated(now, restarted, true)
	if got := len(candidateWeights(balancer, now)); got > n/10 {
		t.Errorf("got %d of %d endpoints in slow start as candidates, want at most a tenth", got, n)
	}
	sentTo := map[EndpointID]int{}
	for range 50 {
		now += 20 * ms
		arrive(100)
		for _, req := range inFlight {
			sentTo[req.endpoint]++
		}
		respond(1)
	}
	for id, sentCount := range sentTo {
		if sentCount > 8 {
			t.Errorf(
				"endpoint %d in slow start got %d of 5,000 requests, want at most 8 (an even share is one in %d)",
				id, sentCount, n,
			)
		}
	}
	if len(balancer.requests.byID) != 0 {
		t.Errorf("got %d requests in the table after all have ended, want 0", len(balancer.requests.byID))
	}
}

// The request table must hold 100,000 requests in flight at the same time and be empty after all have ended.
func TestManyRequestsInFlight(t *testing.T) {
	effects := &lastSendRecorder{}
	balancer := New(benchSettings, 1, effects)
	now := Time(1e12)
	balancer.EndpointsUpdated(now, endpointList(512), true)
	endpoints := map[RequestID]EndpointID{}
	for i := range 100000 {
		id := RequestID(fmt.Sprint(i))
		effects.sent = false
		if balancer.RequestArrived(now, Request{ID: id, Deadline: now + 900*ms}); effects.sent {
			endpoints[id] = effects.endpoint
		}
	}
	if len(balancer.requests.byID) != len(endpoints) || len(endpoints) < 90000 {
		t.Errorf(
			"got %d requests in the table for %d sent, want the same number and at least 90,000",
			len(balancer.requests.byID), len(endpoints),
		)
	}
	for id, endpoint := range endpoints {
		balancer.AttemptEnded(
			now+ms, AttemptResult{Request: id, Endpoint: endpoint, Outcome: OutcomeSucceeded, Elapsed: ms, RequestDone: true},
		)
	}
	if len(balancer.requests.byID) != 0 {
		t.Errorf("got %d requests in the table after all have ended, want 0", len(balancer.requests.byID))
	}
}
