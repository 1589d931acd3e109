package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// startCopyingUpstream starts an upstream that, before the last of a number of requests is answered, sends the response
// to the one before it again. It returns the number of requests that ran.
func startCopyingUpstream(
	t *testing.T, last int64, respond func(id string) (status, body string),
) (string, *atomic.Int64) {
	var requests, ran atomic.Int64
	return listen(t, func(c net.Conn) {
		var before [2]string
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			discard(r.Body)
			if requests.Add(1) == last {
				writeResponse(c, before[0], before[1])
			}
			time.Sleep(2 * time.Millisecond)
			before[0], before[1] = respond(r.Header.Get(headerRequestID))
			if before[0] == "200 OK" {
				ran.Add(1)
			}
			writeResponse(c, before[0], before[1])
		}
	}), &ran
}

// Guards against a second copy of a response that comes after the cooldown, behind the next request.
func TestCopyBehindNextRequestIsNotItsResponse(t *testing.T) {
	const requests = minRecentResponses + 4
	server, _ := startCopyingUpstream(t, requests, func(id string) (string, string) { return "200 OK", "for " + id })
	n := startNodeWithoutCooldown(t, nil, server)
	for i := range requests {
		id := fmt.Sprint("t", i)
		if status, body, _ := sendRequest(t, n, "pay", id, ""); status != 200 || body != "for "+id {
			t.Errorf("request %s: got status %d and body %q, want its own response", id, status, body)
		}
	}
	if n.count(responseCopiesDiscarded) != 1 {
		t.Errorf("got %d copies discarded, want 1", n.count(responseCopiesDiscarded))
	}
	eventually(t, "the connection is closed", func() bool {
		return n.count(closeCounter(closeUnsolicitedInput)) == 1
	})
}

// Guards against serving a second copy as the response to a streamed request whose body took longer than its deadline.
func TestCopyBehindSlowUploadIsNotItsResponse(t *testing.T) {
	const requests = minRecentResponses + 4
	server, _ := startCopyingUpstream(t, requests, func(id string) (string, string) { return "200 OK", "for " + id })
	n := startNodeWithoutCooldown(t, nil, server)
	text := requestText("pay", "slow", string(randomBody(maxBufferedBody+1)))
	for i := range requests - 1 {
		sendRequest(t, n, "pay", fmt.Sprint("t", i), "")
	}
	client, in := dial(t, n)
	writeText(client, text[:len(text)-1])
	time.Sleep(classDeadline + 50*time.Millisecond) // shorter than copyWindow
	writeText(client, text[len(text)-1:])
	if status, body, _ := readResponse(in); status != 200 || body != "for slow" {
		t.Errorf("got status %d and body %q, want the response to the request", status, body)
	}
	if n.count(responseCopiesDiscarded) != 1 || n.count(requestsStreamed) != 1 {
		t.Errorf("got %d copies discarded and %d streamed requests, want 1 and 1", n.count(responseCopiesDiscarded),
			n.count(requestsStreamed))
	}
}

// Guards against taking the equal responses of an endpoint that answers many requests alike for copies.
func TestEqualResponsesAreNotTakenForCopies(t *testing.T) {
	server, _ := startUpstream(t, func(c net.Conn, _ *http.Request, _ string) bool {
		return writeResponse(c, "200 OK", "done")
	})
	n := startNodeWithoutCooldown(t, nil, server)
	for i := range 3 * minRecentResponses {
		if status, body, _ := sendRequest(t, n, "pay", fmt.Sprint("t", i), ""); status != 200 || body != "done" {
			t.Errorf("request %d: got status %d and body %q, want 200 and \"done\"", i, status, body)
		}
	}
	if opened := n.count(upstreamConnsOpened); opened != 1 { // a possible copy closes its connection
		t.Errorf("got %d connections, want 1", opened)
	}
}

// Guards against losing, or delaying again and again, a response that equals the one before it and no other recent one.
func TestEqualPairIsServedAndDelayedOnce(t *testing.T) {
	const pairs = 6
	var requests atomic.Int64
	server, _ := startUpstream(t, func(c net.Conn, _ *http.Request, _ string) bool {
		return writeResponse(c, "200 OK", fmt.Sprint((requests.Add(1)-1)/2))
	})
	n := startNodeWithoutCooldown(t, nil, server)
	for i := range 2 * pairs {
		if status, body, _ := sendRequest(t, n, "pay", fmt.Sprint("t", i), ""); status != 200 || body != fmt.Sprint(i/2) {
			t.Errorf("request %d: got status %d and body %q, want 200 and \"%d\"", i, status, body, i/2)
		}
	}
	if opened := n.count(upstreamConnsOpened); opened != 2 || n.count(responseCopiesDiscarded) != 0 {
		t.Errorf("got %d connections and %d copies discarded, want 2 and 0: one possible copy, then a pause", opened,
			n.count(responseCopiesDiscarded))
	}
}

// Guards against a second copy of a rejection that lets a request run twice.
func TestCopyOfRejectionDoesNotProveThatNothingRan(t *testing.T) {
	const requests = minRecentResponses + 4
	server, ran := startCopyingUpstream(t, requests, func(id string) (string, string) {
		if id == fmt.Sprint("t", requests-2) {
			return "503 Busy\r\nX-Turned-Away: 1", ""
		}
		return "200 OK", "for " + id
	})
	n := startNodeWithoutCooldown(t, withSettings(`"try_limit":3`, `"try_limit":1`), server)
	for i := range requests - 1 {
		sendRequest(t, n, "pay", fmt.Sprint("t", i), "")
	}
	before := ran.Load()
	n.upstreams.mu.Lock()
	idle := n.upstreams.idleOrder.Len()
	n.upstreams.mu.Unlock()
	if idle != 1 {
		t.Fatalf("got %d idle connections, want the one of the rejection", idle)
	}
	eventually(t, "the endpoint gets requests again", func() bool {
		status, _, _ := sendRequest(t, n, "pay", "last", "")
		if status == 502 {
			return true
		}
		if status == 503 && ran.Load() > before {
			t.Fatal("the request that ran was rejected")
		}
		return false
	})
}

// Guards against a copy of a health check's response that reaches a client.
func TestCopyOfHealthCheckReachesNoClient(t *testing.T) {
	var checked atomic.Bool
	server := listen(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if r.URL.Path == "/status/load" {
				checked.Store(true)
				writeResponse(c, "200 OK", "queue=1")
				continue
			}
			if checked.Swap(false) {
				writeResponse(c, "200 OK", "queue=1")
			}
			echo(c, r, "")
		}
	})
	n := startNodeWithoutCooldown(t, nil, server)
	for i := range minRecentResponses {
		sendRequest(t, n, "pay", fmt.Sprint("t", i), "")
	}
	n.loop.post(func() { n.loop.CheckHealth(endpointID("s-0")) })
	eventually(t, "the health check", func() bool { return n.count(healthChecksAnswered) == 1 })
	if status, body, _ := sendRequest(t, n, "pay", "last", ""); status != 200 || body != "/pay last " {
		t.Errorf("got status %d and body %q, want 200 and the request's own response", status, body)
	}
}

// Guards against writing a request to a new connection on which the upstream has already sent something.
func TestResponseBeforeFirstRequestIsNotItsResponse(t *testing.T) {
	server := listen(t, func(c net.Conn) {
		writeResponse(c, "200 OK", "unasked")
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			echo(c, r, "")
		}
	})
	n := newNode(t, nil, server)
	connect := n.upstreams.dial
	n.upstreams.dial = func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
		conn, err := connect(ctx, address, deadline)
		time.Sleep(20 * time.Millisecond)
		return conn, err
	}
	n.start()
	if status, body, _ := sendRequest(t, n, "pay", "t1", ""); status != 503 {
		t.Errorf("got status %d and body %q, want 503, as nothing was written", status, body)
	}
	if n.count(attemptsConnectFailed) == 0 || n.count(closeCounter(closeUnsolicitedInput)) == 0 {
		t.Error("the connection was not closed for unsolicited input")
	}
}
