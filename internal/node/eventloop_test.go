package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"fawnglade/policy"
)

// Guards against a panic in the decisions that costs other requests or leaves its own without a response.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	upstream, requests := startUpstream(t, echo)
	n := startNode(t, nil, upstream)
	pending := newPendingRequest()
	pending.request.ID = "bad"
	n.loop.post(func() {
		n.loop.requests["bad"] = pending
		n.loop.handle(pending, func() { panic("a mistake in the decisions") })
	})
	if answer := <-pending.responses; answer.status != 502 {
		t.Errorf("its request was answered %d", answer.status)
	}
	n.loop.post(func() {
		n.loop.requests["bad"] = pending
		n.loop.Send("bad", endpointID("s-0"), time.Second)
	})
	eventually(t, "the end of an attempt that came too late", func() bool { return n.count(attemptsNotSent) == 1 })
	if requests.Load() != 0 {
		t.Error("a request that has its answer went to a server")
	}
	if status, _, _ := sendRequest(t, n, "batch", "next", ""); status != 200 || n.count(panics) != 1 {
		t.Errorf("the next request was answered %d, %d panics counted", status, n.count(panics))
	}
}

// An id that is still in use must not be mixed up with a second request of the same id.
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
		t.Errorf("answered %d and %d, %d requests at the server", first, second, requests.Load())
	}
}

// A list of thousands of entries is applied in slices, so that requests are handled in between; the result is the
// same.
func TestLongListIsAppliedInSlices(t *testing.T) {
	n := newNode(t, nil) // its loop does not run, so that what is entered can be counted
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
		t.Errorf("4,096 entries in %d events, %d endpoints known; want 8 slices, one event for removals, and all",
			events, len(n.loop.endpoints))
	}
	n.loop.postEndpoints(entries(4001, 5001), true)
	for range 2 {
		(<-n.loop.events)()
	}
	if len(n.loop.endpoints) != 5000 {
		t.Errorf("%d servers known before the list is through, want 5,000: nobody is taken off before",
			len(n.loop.endpoints))
	}
	handleEvents()
	if len(n.loop.endpoints) != 1000 || n.loop.endpoints[4000].address != "" || n.loop.endpoints[5000].address == "" {
		t.Errorf("%d servers known, want the 1,000 of the second list", len(n.loop.endpoints))
	}
	n.loop.postEndpoints(nil, false)
	if n.loop.postEndpoints(nil, true); handleEvents() != 2 || len(n.loop.endpoints) != 0 {
		t.Errorf("%d servers known after a whole list of nobody", len(n.loop.endpoints))
	}
}
