package policy

import (
	"fmt"
	"testing"
)

// What comes all at once: reports, another list, every endpoint restarted, with 10,000 requests out.
func TestSimultaneousChangesUnderLoad(t *testing.T) {
	const n = 1024
	q := &lastSendRecorder{}
	set := benchSettings
	p := New(set, 1, q)
	now := Time(1e12)
	list := endpointList(2 * n)
	p.EndpointsUpdated(now, list[:n], true)
	type out struct {
		id       RequestID
		endpoint EndpointID
	}
	var outs []out
	arrive := func(count int) (sent int) {
		for i := range count {
			id := RequestID(fmt.Sprint(now, "-", i))
			q.sent = false
			if p.RequestArrived(now, Request{ID: id, Deadline: now + 900*ms, CostHint: 5e6}); q.sent {
				outs = append(outs, out{id, q.endpoint})
				sent++
			}
		}
		return sent
	}
	answer := func(load float64) {
		for _, o := range outs {
			p.AttemptEnded(now, AttemptResult{
				Request: o.id, Endpoint: o.endpoint, Outcome: OutcomeSucceeded, Elapsed: 20 * ms, RequestDone: true,
				Report: LoadReport{Utilization: -1, QueueLength: load, ServiceTime: -1},
			})
		}
		outs = nil
	}
	if sent := arrive(10000); sent < 9000 {
		t.Fatalf("%d of 10,000 requests sent to %d idle endpoints", sent, n)
	}
	now += 20 * ms
	answer(50)
	answer(0)
	arrive(2000)
	p.EndpointsUpdated(now, list[n:], true)
	if got := len(candidateWeights(p, now)); got != selectionWindow {
		t.Errorf("%d take part after another list, want a window of %d", got, selectionWindow)
	}
	if arrive(500); len(outs) < 2000 {
		t.Errorf("%d sent after another list", len(outs)-2000)
	}
	for _, o := range outs[2000:] {
		if p.endpoints.byID[o.endpoint].State != StateActive {
			t.Fatalf("sent to %d, which is on the list no more", o.endpoint)
		}
	}
	now += 20 * ms
	answer(1)
	again := list[n:]
	for i := range again {
		again[i].StartedAt = now
	}
	p.EndpointsUpdated(now, again, true)
	if got := len(candidateWeights(p, now)); got > n/10 {
		t.Errorf("%d of %d cold endpoints may be given a request at once", got, n)
	}
	given := map[EndpointID]int{}
	for range 50 {
		now += 20 * ms
		arrive(100)
		for _, o := range outs {
			given[o.endpoint]++
		}
		answer(1)
	}
	for id, k := range given {
		if k > 8 {
			t.Errorf("cold endpoint %d was given %d of 5,000 requests, one in %d would be its even part", id, k, n)
		}
	}
	if len(p.requests.byID) != 0 {
		t.Errorf("%d requests are held that have their end", len(p.requests.byID))
	}
}

// 100,000 requests held at once, then none.
func TestManyRequestsInFlight(t *testing.T) {
	q := &lastSendRecorder{}
	p := New(benchSettings, 1, q)
	now := Time(1e12)
	p.EndpointsUpdated(now, endpointList(512), true)
	endpoints := map[RequestID]EndpointID{}
	for i := range 100000 {
		id := RequestID(fmt.Sprint(i))
		q.sent = false
		if p.RequestArrived(now, Request{ID: id, Deadline: now + 900*ms}); q.sent {
			endpoints[id] = q.endpoint
		}
	}
	if len(p.requests.byID) != len(endpoints) || len(endpoints) < 90000 {
		t.Errorf("%d held, %d sent", len(p.requests.byID), len(endpoints))
	}
	for id, s := range endpoints {
		p.AttemptEnded(
			now+ms, AttemptResult{Request: id, Endpoint: s, Outcome: OutcomeSucceeded, Elapsed: ms, RequestDone: true},
		)
	}
	if len(p.requests.byID) != 0 {
		t.Errorf("%d held after all have their end", len(p.requests.byID))
	}
}
