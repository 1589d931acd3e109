package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"fawnglade/policy"
)

// Guards against a panic in the policy that affects other requests or leaves its own request unanswered.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	upstream, requests := startUpstream(t, echo)
	n := startNode(t, nil, upstream)
	pending := newPendingRequest()
	pending.request.ID = "bad"
	n.loop.post(func() {
		n.loop.requests["bad"] = pending
		n.loop.handle(pending, func() { panic("bug in the policy") })
	})
	if answer := <-pending.responses; answer.status != 502 {
		t.Errorf("request of the panic: got status %d, want 502", answer.status)
	}
	n.loop.post(func() {
		n.loop.requests["bad"] = pending
		n.loop.Send("bad", endpointID("s-0"), time.Second)
	})
	eventually(t, "the attempt for the answered request is not sent", func() bool { return n.count(attemptsNotSent) == 1 })
	if requests.Load() != 0 {
		t.Error("an answered request was sent to the upstream")
	}
	if status, _, _ := sendRequest(t, n, "batch", "next", ""); status != 200 || n.count(panics) != 1 {
		t.Errorf("next request: got status %d and %d panics counted, want 200 and 1", status, n.count(panics))
	}
}

// Guards against mixing up two requests with the same ID: the second is rejected while the first is in flight.
func TestRequestIDInUseIsRejected(t *testing.T) {
	upstream, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(50 * time.Millisecond)
		return echo(c, r, body)
	})
	n := startNode(t, nil, upstream)
	c, in := dial(t, n)
	writeText(c, requestText("batch", "same", "")+requestText("batch", "same", ""))
	first, _, _ := readResponse(in)
	second, _, _ := readResponse(in)
	if first != 200 || second != 409 || requests.Load() != 1 {
		t.Errorf("got status %d and %d and %d requests at the upstream, want 200, 409 and 1", first, second, requests.Load())
	}
}

// A list of thousands of entries is applied in slices, so that requests can be handled in between. The result is the
// same as without slices.
func TestLongListIsAppliedInSlices(t *testing.T) {
	n := newNode(t, nil) // its event loop does not run, so that queued events can be counted
	handleEvents := func() (events int) {
		for len(n.loop.events) > 0 {
			(<-n.loop.events)()
			events++
		}
		return events
	}
	entries := func(from, to int) (list []endpointEntry) {
		for i := from; i < to; i++ {
			name := fmt.Sprint("s-", i)
			list = append(list, endpointEntry{
				EndpointInfo: policy.EndpointInfo{ID: policy.EndpointID(i), State: policy.StateActive},
				name:         name,
				address:      "127.0.0.1:1",
			})
		}
		return list
	}
	n.loop.postEndpoints(entries(1, 4097), true)
	if events := handleEvents(); events != 9 || len(n.loop.endpoints) != 4096 {
		t.Errorf("4,096 entries: got %d events and %d endpoints, want 8 slices plus one event for removals, and 4096",
			events, len(n.loop.endpoints))
	}
	n.loop.postEndpoints(entries(4001, 5001), true)
	for range 2 {
		(<-n.loop.events)()
	}
	if len(n.loop.endpoints) != 5000 {
		t.Errorf("before the last slice: got %d endpoints, want 5000, as removals come last",
			len(n.loop.endpoints))
	}
	handleEvents()
	if len(n.loop.endpoints) != 1000 || n.loop.endpoints[4000].address != "" || n.loop.endpoints[5000].address == "" {
		t.Errorf("after the second list: got %d endpoints, want its 1000, without 4000 and with 5000", len(n.loop.endpoints))
	}
	n.loop.postEndpoints(nil, false)
	if n.loop.postEndpoints(nil, true); handleEvents() != 2 || len(n.loop.endpoints) != 0 {
		t.Errorf("after an empty complete list: got %d endpoints, want 0, applied in 2 events", len(n.loop.endpoints))
	}
}

// Guards against a memory for IDs that grows without end, forgets the latest ones, or keeps those that never ran.
func TestRecentRequestsAreBoundedAndKeepTheLatest(t *testing.T) {
	r := newRecentRequests(1)
	const added = 5 * minRecentRequests
	for i := range added {
		r.add(requestDigest(i))
	}
	if got := len(r.all()); got < minRecentRequests || got > 2*minRecentRequests {
		t.Errorf("got %d IDs, want %d to %d", got, minRecentRequests, 2*minRecentRequests)
	}
	for i := added - minRecentRequests; i < added; i++ {
		if !r.contains(requestDigest(i)) {
			t.Fatalf("ID %d of %d is forgotten, want the latest %d", i, added, minRecentRequests)
		}
	}
	r.remove(requestDigest(added - 1))
	if r.contains(requestDigest(added - 1)) {
		t.Error("an ID whose request never ran is still remembered")
	}
}
