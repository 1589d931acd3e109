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
	for at, want := range map[attemptStage][3]policy.Outcome{ // a broken connection, time over, canceled
		notConnected:    {policy.OutcomeConnectFailed, policy.OutcomeConnectFailed, policy.OutcomeNotSent},
		partlyWritten:   {policy.OutcomeConnectFailed, policy.OutcomeConnectFailed, policy.OutcomeNotSent},
		fullyWritten:    {policy.OutcomeReset, policy.OutcomeTimedOut, policy.OutcomeCanceled},
		readingResponse: {policy.OutcomeReset, policy.OutcomeTimedOut, policy.OutcomeCanceled},
	} {
		late := &net.OpError{Op: "read", Err: timeoutError{}}
		for i, e := range []attemptError{{at, false, io.EOF}, {at, false, late}, {at, true, late}} {
			if got := e.outcome(); got != want[i] {
				t.Errorf("%v: outcome %d, want %d", &e, got, want[i])
			}
		}
	}
	if e := (&attemptError{notConnected, false, errNoConnectionSlot}); e.outcome() != policy.OutcomeNotSent {
		t.Error("want of a descriptor here is held against the server")
	}
}

type timeoutError struct{}

func (timeoutError) Error() string { return "i/o timeout" }

func (timeoutError) Timeout() bool { return true }

func (timeoutError) Temporary() bool { return true }

func (timeoutError) Is(target error) bool {
	return target.Error() == "i/o timeout"
}

// What happens to an endpoint, or to the request, while the connection is opened counts: the request is not written
// then.
func TestRequestIsNotWrittenAfterChangeDuringDial(t *testing.T) {
	for name, c := range map[string]struct {
		settings []string
		class    string
		event    func(t *testing.T, n *Node, client net.Conn, server string)
		status   int // 0: nobody is there for an answer
	}{
		"nothing": {nil, "pay", func(*testing.T, *Node, net.Conn, string) {}, 200},
		"drains": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", server, "draining")))
		}, 503},
		"is gone": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", server, "removed")))
		}, 503},
		"is gone, which does not bind": {
			[]string{`"rules":{`, `"rules":{"removal_not_binding":true,`},
			"pay",
			func(t *testing.T, n *Node, _ net.Conn, server string) {
				n.updateList(t, listText(2, false, listEntry("s-0", server, "removed")))
			}, 200,
		},
		"drains, and only that binds": {
			[]string{`"rules":{`, `"rules":{"removal_not_binding":true,`},
			"pay",
			func(t *testing.T, n *Node, _ net.Conn, server string) {
				n.updateList(t, listText(2, false, listEntry("s-0", server, "draining")))
			}, 503,
		},
		"is on no whole list": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, true))
		}, 503},
		"another stands at its address": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, true, listEntry("young", server, "draining")))
		}, 503},
		"stands elsewhere": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, server string) {
			n.updateList(t, listText(2, false, listEntry("s-0", "127.0.0.1:1", "up")))
		}, 503},
		"is taken out by hand": {nil, "pay", func(t *testing.T, n *Node, _ net.Conn, _ string) {
			disable := func(o *overrideSet) string { return o.disable("s-0", n.clock.now()) }
			if _, err := n.overrides.change(disable); err != nil {
				t.Fatal(err)
			}
		}, 503},
		"the client leaves": {nil, "batch", func(t *testing.T, n *Node, client net.Conn, _ string) {
			client.Close()
			eventually(t, "the cancellation", func() bool { return n.count(requestsCanceled) == 1 })
		}, 0},
		"the client leaves, and nothing may be canceled": {
			[]string{`"cancelling":true`, `"cancelling":false`},
			"batch",
			func(t *testing.T, n *Node, client net.Conn, _ string) {
				client.Close()
				eventually(t, "the cancellation", func() bool { return n.count(requestsCanceled) == 1 })
			}, 0,
		},
		"the request has its answer, and nothing may be canceled": {
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
					t.Errorf("answered %d, want %d", status, c.status)
				}
			}
			eventually(t, "the end of the attempt", func() bool {
				n.flushLoop()
				ended := n.count(attemptsNotSent) + n.count(attemptsSucceeded) + n.count(attemptsConnectFailed)
				return ended > 0 && ended == n.count(attemptsSent)
			})
			if want := int64(c.status / 200 % 2); requests.Load() != want {
				t.Errorf("%d requests came to the server, want %d", requests.Load(), want)
			}
		})
	}
}

// A request that may have run goes to its deduplication group again only within the window, also where a dial takes
// long.
func TestRequestIsNotWrittenAfterDedupWindowEndsDuringDial(t *testing.T) {
	first, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		return writeResponse(c, "500 Bad", "")
	})
	for name, span := range map[string]int64{"ends": 150, "lasts": 700} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, withSettings(`"memory_span_us":2000000`, fmt.Sprintf(`"memory_span_us":%d`, span*1000)),
				first, first)
			second := newGate(t)
			n.upstreams.dial = func(ctx context.Context, address string, limit time.Time) (net.Conn, error) {
				if n.count(attemptsSent) > 1 {
					second.wait()
				}
				return n.upstreams.connect(ctx, address, limit)
			}
			n.start()
			began := n.clock.now()
			client, in := dial(t, n)
			writeText(client, requestText("update", "t1", ""))
			second.awaitArrivals(t, 1)
			// later than the shorter memory in any case
			time.Sleep(time.Until(n.clock.at(began.Add(200 * time.Millisecond))))
			second.release()
			status, _, _ := readResponse(in)
			ran := n.count(attemptsErrored)
			if status != 502 || name == "ends" && ran != 1 || name == "lasts" && ran < 1 {
				t.Errorf("answered %d, %d attempts have run", status, ran)
			}
		})
	}
}

// A request is written some time after the decision and arrives later still: close before the window's end it is not
// sent.
func TestRequestIsNotRetriedNearDedupWindowEnd(t *testing.T) {
	const span = 800 * time.Millisecond
	failing, requests := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(span - 20*time.Millisecond)
		return writeResponse(c, "500 Bad", "")
	})
	n := startNode(t, withSettings(`"memory_span_us":2000000`,
		fmt.Sprintf(`"memory_span_us":%d`, span.Microseconds()), `800000`, `20000000`, `300000`, `20000000`),
		failing, failing)
	if status, _, _ := sendRequest(t, n, "update", "t1", ""); status != 502 || requests.Load() != 1 {
		t.Errorf("answered %d after %d attempts, want 502 after one", status, requests.Load())
	}
}

// A hedged request that is still being dialed when the first attempt is answered is not written, also where nothing
// may be canceled.
func TestHedgedRequestIsNotWrittenAfterResponse(t *testing.T) {
	answers := newGate(t)
	first, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		answers.wait()
		return echo(c, r, body)
	})
	other, requests := startUpstream(t, echo)
	n := newNode(t, withSettings(`"may_duplicate":false`, `"may_duplicate":true`, `"cancelling":true`,
		`"cancelling":false`), first)
	dials := newGate(t)
	n.upstreams.dial = func(ctx context.Context, address string, limit time.Time) (net.Conn, error) {
		if address == other {
			dials.wait()
		}
		return n.upstreams.connect(ctx, address, limit)
	}
	n.start()
	client, in := dial(t, n)
	writeText(client, requestText("batch", "t1", ""))
	answers.awaitArrivals(t, 1)
	n.updateList(t, listText(2, false, listEntry("s-1", other, "up")))
	n.loop.post(func() { n.loop.Send("t1", endpointID("s-1"), 20*time.Second) })
	dials.awaitArrivals(t, 1)
	answers.release()
	if status, _, _ := readResponse(in); status != 200 {
		t.Fatalf("answered %d", status)
	}
	dials.release()
	eventually(t, "the end of the hedged request", func() bool { return n.count(attemptsNotSent) == 1 })
	if requests.Load() != 0 {
		t.Error("a hedged request went out for a request that has its answer")
	}
}

// A canceled attempt counts as in flight until its outcome is known, and the outcome decides whether the request may
// be sent again.
func TestCanceledAttemptIsInFlightUntilItsOutcome(t *testing.T) {
	answers := newGate(t)
	server, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		answers.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, server, server)
	client, in := dial(t, n)
	writeText(client, requestText("pay", "t", ""))
	answers.awaitArrivals(t, 1)
	held := n.blockLoop(t)
	n.loop.post(func() { n.loop.Cancel("t", 0) })
	held.release()
	if status, _, _ := readResponse(in); status != 502 || requests.Load() != 1 {
		t.Errorf("an exclusive request that was canceled was answered %d, %d came to servers", status, requests.Load())
	}
	if n.count(attemptsCanceled) != 1 {
		t.Errorf("%d canceled", n.count(attemptsCanceled))
	}
}
