package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fawnglade/policy"
)

func TestAttemptErrorOutcome(t *testing.T) {
	for at, want := range map[attemptStage][3]policy.Outcome{ // broken connection, deadline exceeded, canceled
		notConnected:    {policy.OutcomeConnectFailed, policy.OutcomeConnectFailed, policy.OutcomeNotSent},
		partlyWritten:   {policy.OutcomeConnectFailed, policy.OutcomeConnectFailed, policy.OutcomeNotSent},
		fullyWritten:    {policy.OutcomeReset, policy.OutcomeTimedOut, policy.OutcomeCanceled},
		readingResponse: {policy.OutcomeReset, policy.OutcomeTimedOut, policy.OutcomeCanceled},
	} {
		late := &net.OpError{Op: "read", Err: timeoutError{}}
		for i, e := range []attemptError{{at, false, io.EOF}, {at, false, late}, {at, true, late}} {
			if got := e.outcome(); got != want[i] {
				t.Errorf("%v: got outcome %d, want %d", &e, got, want[i])
			}
		}
	}
	if e := (&attemptError{notConnected, false, errNoConnectionSlot}); e.outcome() != policy.OutcomeNotSent {
		t.Error("got an outcome against the endpoint for a lack of descriptors on this node, want not sent")
	}
}

type timeoutError struct{}

func (timeoutError) Error() string { return "i/o timeout" }

func (timeoutError) Timeout() bool { return true }

func (timeoutError) Temporary() bool { return true }

func (timeoutError) Is(target error) bool {
	return target.Error() == "i/o timeout"
}

// Guards against writing a request whose endpoint or client changed while its connection was being opened.
func TestRequestIsNotWrittenAfterChangeDuringDial(t *testing.T) {
	for name, c := range map[string]struct {
		settings []string
		class    string
		event    func(t *testing.T, n *Node, client net.Conn, server string)
		status   int // 0: no client is left to read a response
	}{
		"nothing": {nil, "pay", func(*testing.T, *Node, net.Conn, string) {}, 200},
		"drains": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", server, "draining")))
		}, 503},
		"removed from the list": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", server, "removed")))
		}, 503},
		"removed, where removal is not binding": {
			[]string{`"rules":{`, `"rules":{"removal_not_binding":true,`},
			"pay",
			func(t *testing.T, n *Node, _ net.Conn, server string) {
				n.updateList(t, listText(2, false, listEntry("s-0", server, "removed")))
			}, 200,
		},
		"draining, where removal is not binding": {
			[]string{`"rules":{`, `"rules":{"removal_not_binding":true,`},
			"pay",
			func(t *testing.T, n *Node, _ net.Conn, server string) {
				n.updateList(t, listText(2, false, listEntry("s-0", server, "draining")))
			}, 503,
		},
		"missing from a complete list": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, true))
		}, 503},
		"replaced at its address by another endpoint": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, true, listEntry("young", server, "draining")))
		}, 503},
		"moved to another address": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", "127.0.0.1:1", "up")))
		}, 503},
		"disabled by an operator": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, _ string) {
			disable := func(o *overrideSet) string { return o.disable("s-0", n.clock.now()) }
			if _, err := n.overrides.change(disable); err != nil {
				t.Fatal(err)
			}
		}, 503},
		"the client disconnects": {nil, "batch", func(t *testing.T, n *Node, client net.Conn, _ string) {
			client.Close()
			eventually(t, "the cancellation of the request", func() bool { return n.count(requestsCanceled) == 1 })
		}, 0},
		"the client disconnects, where canceling is not allowed": {
			[]string{`"cancelling":true`, `"cancelling":false`},
			"batch",
			func(t *testing.T, n *Node, client net.Conn, _ string) {
				client.Close()
				eventually(t, "the cancellation of the request", func() bool { return n.count(requestsCanceled) == 1 })
			}, 0,
		},
		"the request is answered, where canceling is not allowed": {
			[]string{`"cancelling":true`, `"cancelling":false`},
			"batch",
			func(t *testing.T, n *Node, _ net.Conn, _ string) {
				n.loop.post(func() { n.loop.Reject("t1", 0, policy.ReasonNone) })
				n.flushLoop()
			}, 503,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, requests := startUpstream(t, echo)
			n := newNode(t, withSettings(c.settings...), server)
			dials := n.blockDials(t)
			n.start()
			client, in := dial(t, n)
			writeText(client, requestText(c.class, "t1", ""))
			dials.awaitArrivals(t, 1)
			c.event(t, n, client, server)
			dials.release()
			if c.status != 0 {
				if status, _, _ := readResponse(in); status != c.status {
					t.Errorf("got status %d, want %d", status, c.status)
				}
			}
			eventually(t, "the end of the attempt", func() bool {
				n.flushLoop()
				ended := n.count(attemptsNotSent) + n.count(attemptsSucceeded) + n.count(attemptsConnectFailed)
				return ended > 0 && ended == n.count(attemptsSent)
			})
			if want := int64(c.status / 200 % 2); requests.Load() != want {
				t.Errorf("got %d requests at the upstream, want %d", requests.Load(), want)
			}
		})
	}
}

// Guards against a retry outside the deduplication window: a request that may have been executed must not be written
// after the window has ended, even if it ended during the dial.
func TestRequestIsNotWrittenAfterDedupWindowEndsDuringDial(t *testing.T) {
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		return writeResponse(c, "500 Bad", "")
	})
	for name, windowMs := range map[string]int64{"ends": 150, "lasts": 700} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, withSettings(`"memory_span_us":2000000`, fmt.Sprintf(`"memory_span_us":%d`, windowMs*1000)),
				server, server)
			secondDial := newGate(t)
			n.upstreams.dial = func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
				if n.count(attemptsSent) > 1 {
					secondDial.wait()
				}
				return n.upstreams.connect(ctx, address, deadline)
			}
			n.start()
			began := n.clock.now()
			client, in := dial(t, n)
			writeText(client, requestText("update", "t1", ""))
			secondDial.awaitArrivals(t, 1)
			// after the end of the shorter window in any case
			time.Sleep(time.Until(n.clock.at(began.Add(200 * time.Millisecond))))
			secondDial.release()
			status, _, _ := readResponse(in)
			executed := n.count(attemptsErrored)
			if status != 502 || name == "ends" && executed != 1 || name == "lasts" && executed < 1 {
				t.Errorf("got status %d and %d executed attempts, want 502 and one attempt if the window ends, at least one otherwise", status, executed)
			}
		})
	}
}

// Guards against a retry shortly before the end of the deduplication window: it would arrive at the endpoint after the
// end, because a request is written and received some time after the decision.
func TestRequestIsNotRetriedNearDedupWindowEnd(t *testing.T) {
	const window = 800 * time.Millisecond
	failing, requests := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(window - 20*time.Millisecond)
		return writeResponse(c, "500 Bad", "")
	})
	n := startNode(t, withSettings(`"memory_span_us":2000000`,
		fmt.Sprintf(`"memory_span_us":%d`, window.Microseconds()), `800000`, `20000000`, `300000`, `20000000`),
		failing, failing)
	if status, _, _ := sendRequest(t, n, "update", "t1", ""); status != 502 || requests.Load() != 1 {
		t.Errorf("got status %d after %d attempts, want 502 after 1", status, requests.Load())
	}
}

// Guards against writing a hedged request that is still dialing when the first attempt is answered. This must also hold
// where canceling is not allowed.
func TestHedgedRequestIsNotWrittenAfterResponse(t *testing.T) {
	firstResponse := newGate(t)
	first, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		firstResponse.wait()
		return echo(c, r, body)
	})
	other, requests := startUpstream(t, echo)
	n := newNode(t, withSettings(`"may_duplicate":false`, `"may_duplicate":true`, `"cancelling":true`,
		`"cancelling":false`), first)
	hedgeDial := newGate(t)
	n.upstreams.dial = func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
		if address == other {
			hedgeDial.wait()
		}
		return n.upstreams.connect(ctx, address, deadline)
	}
	n.start()
	client, in := dial(t, n)
	writeText(client, requestText("batch", "t1", ""))
	firstResponse.awaitArrivals(t, 1)
	n.updateList(t, listText(2, false, listEntry("s-1", other, "up")))
	n.loop.post(func() { n.loop.Send("t1", endpointID("s-1"), 20*time.Second) })
	hedgeDial.awaitArrivals(t, 1)
	firstResponse.release()
	if status, _, _ := readResponse(in); status != 200 {
		t.Fatalf("got status %d from the first attempt, want 200", status)
	}
	hedgeDial.release()
	eventually(t, "the end of the hedged request", func() bool { return n.count(attemptsNotSent) == 1 })
	if requests.Load() != 0 {
		t.Error("hedged request was written after its request had been answered")
	}
}

// A canceled attempt is in flight until its outcome is known, and only the outcome decides whether the request may be
// sent again.
func TestCanceledAttemptIsInFlightUntilItsOutcome(t *testing.T) {
	response := newGate(t)
	server, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		response.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, server, server)
	client, in := dial(t, n)
	writeText(client, requestText("pay", "t", ""))
	response.awaitArrivals(t, 1)
	loopGate := n.blockLoop(t)
	n.loop.post(func() { n.loop.Cancel("t", 0) })
	loopGate.release()
	if status, _, _ := readResponse(in); status != 502 || requests.Load() != 1 {
		t.Errorf("got status %d and %d requests at upstreams for a canceled non-idempotent request, want 502 and 1", status, requests.Load())
	}
	if n.count(attemptsCanceled) != 1 {
		t.Errorf("got %d canceled attempts, want 1", n.count(attemptsCanceled))
	}
}
