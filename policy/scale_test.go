package policy

import (
	"fmt"
	"testing"
)

// What comes all at once: reports, another list, every endpoint restarted, with 10,000 requests out.
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
	answer := func(load float64) {
		for _, req := range inFlight {
			balancer.AttemptEnded(now, AttemptResult{
				Request: req.id, Endpoint: req.endpoint, Outcome: OutcomeSucceeded, Elapsed: 20 * ms, RequestDone: true,
				Report: LoadReport{Utilization: -1, QueueLength: load, ServiceTime: -1},
			})
		}
		inFlight = nil
	}
	if sent := arrive(10000); sent < 9000 {
		t.Fatalf("%d of 10,000 requests sent to %d idle endpoints", sent, n)
	}
	now += 20 * ms
	answer(50)
	answer(0)
	arrive(2000)
	balancer.EndpointsUpdated(now, list[n:], true)
	if got := len(candidateWeights(balancer, now)); got != selectionWindow {
		t.Errorf("%d take part after another list, want a window of %d", got, selectionWindow)
	}
	if arrive(500); len(inFlight) < 2000 {
		t.Errorf("%d sent after another list", len(inFlight)-2000)
	}
	for _, req := range inFlight[2000:] {
		if balancer.endpoints.byID[req.endpoint].State != StateActive {
			t.Fatalf("sent to %d, which is on the list no more", req.endpoint)
		}
	}
	now += 20 * ms
	answer(1)
	restarted := list[n:]
	for i := range restarted {
		restarted[i].StartedAt = now
	}
	balancer.EndpointsUpdated(now, restarted, true)
	if got := len(candidateWeights(balancer, now)); got > n/10 {
		t.Errorf("%d of %d cold endpoints may be given a request at once", got, n)
	}
	sentTo := map[EndpointID]int{}
	for range 50 {
		now += 20 * ms
		arrive(100)
		for _, req := range inFlight {
			sentTo[req.endpoint]++
		}
		answer(1)
	}
	for id, sentCount := range sentTo {
		if sentCount > 8 {
			t.Errorf("cold endpoint %d was given %d of 5,000 requests, one in %d would be its even part", id, sentCount, n)
		}
	}
	if len(balancer.requests.byID) != 0 {
		t.Errorf("%d requests are held that have their end", len(balancer.requests.byID))
	}
}

// 100,000 requests held at once, then none.
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
		t.Errorf("%d held, %d sent", len(balancer.requests.byID), len(endpoints))
	}
	for id, endpoint := range endpoints {
		balancer.AttemptEnded(
			now+ms, AttemptResult{Request: id, Endpoint: endpoint, Outcome: OutcomeSucceeded, Elapsed: ms, RequestDone: true},
		)
	}
	if len(balancer.requests.byID) != 0 {
		t.Errorf("%d held after all have their end", len(balancer.requests.byID))
	}
}
