package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get(headerRemaining) == "" || r.Header.Get("X-Other") != "kept" ||
			r.Header.Get("Connection") != "" {
			return writeResponse(c, "500 Bad", "")
		}
		return echo(c, r, body)
	})
	n := startNodeWithoutCooldown(t, nil, server)
	c, in := dial(t, n)
	for i := range 3 {
		writef(c, "POST /batch/x?q=%d HTTP/1.1\r\nHost: h\r\nX-Txn: t%d\r\nX-Other: kept\r\nConnection: keep-alive\r\n"+
			"Content-Length: 3\r\n\r\na\x00b", i, i)
		status, body, header := readResponse(in)
		if want := fmt.Sprintf("/batch/x?q=%d t%d a\x00b", i, i); status != 200 || body != want {
			t.Errorf("got %d %q, want 200 %q", status, body, want)
		}
		if header.Get(headerLoadReport) != "" {
			t.Error("the load report header of an upstream was forwarded to a client")
		}
	}
	if n.count(upstreamConnsOpened) != 1 {
		t.Errorf("got %d upstream connections for sequential requests, want 1", n.count(upstreamConnsOpened))
	}
}

// The response of an upstream, or its failure, decides the outcome, and with the class the response to the client.
func TestResponseDecidesOutcome(t *testing.T) {
	closed := listen(t, func(c net.Conn) {})
	upstreamSending := func(text string) string {
		address, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
			writeText(c, text)
			return false
		})
		return address
	}
	silent, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		discard(c)
		return false
	})
	for name, c := range map[string]struct {
		server  string
		counted counter
		status  map[string]int // by class; 503: rejected
	}{
		"error": {
			upstreamSending("HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n"), attemptsErrored,
			map[string]int{"view": 503, "update": 502, "pay": 502},
		},
		"rejected": {
			upstreamSending("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"),
			attemptsRejected,
			map[string]int{"view": 503, "update": 503, "pay": 503},
		},
		"503 without proof of rejection": {
			upstreamSending("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), attemptsErrored,
			map[string]int{"view": 503, "update": 502, "pay": 502},
		},
		"fault of the request": {
			upstreamSending("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"), attemptsRequestFault,
			map[string]int{"view": 400, "update": 400, "pay": 400},
		},
		"too many requests": {
			upstreamSending("HTTP/1.1 429 Later\r\nContent-Length: 0\r\n\r\n"), attemptsErrored,
			map[string]int{"view": 503, "pay": 502},
		},
		"refused": {
			"127.0.0.1:1", attemptsConnectFailed,
			map[string]int{"view": 503, "update": 503, "pay": 503},
		},
		"closed before the response": {upstreamSending(""), attemptsReset, map[string]int{"view": 503, "update": 502, "pay": 502}},
		"closed in the head": {
			upstreamSending("HTTP/1.1 200 OK\r\nContent-Le"), attemptsReset,
			map[string]int{"view": 503, "pay": 502},
		},
		"closed in the body": {
			upstreamSending("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), attemptsReset,
			map[string]int{"view": 503, "pay": 502},
		},
		"closed in a chunk": {
			upstreamSending("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal"), attemptsReset,
			map[string]int{"pay": 502},
		},
		"not HTTP": {upstreamSending("SSH-2.0-x\r\n\r\n"), attemptsReset, map[string]int{"pay": 502}},
		"body shorter than Content-Length": {
			upstreamSending("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), attemptsReset,
			map[string]int{"pay": 502},
		},
		"silent":                    {silent, attemptsTimedOut, map[string]int{"view": 503, "update": 502, "pay": 502}},
		"connection closed at once": {closed, counterCount, map[string]int{"view": 503}},
		"interim response, then chunked": {
			upstreamSending("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
			attemptsSucceeded,
			map[string]int{"pay": 200},
		},
		"body until the connection closes": {upstreamSending("HTTP/1.1 200 OK\r\n\r\nall of it"), attemptsSucceeded, map[string]int{"pay": 200}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for class, want := range c.status {
				n := startNode(t, nil, c.server)
				status, _, header := sendRequest(t, n, class, "t1", "body")
				attempts := int64(1)
				if c.counted == attemptsReset && class == "view" {
					attempts = 2 // retried once at its only endpoint; "update" is not, as its process may be another one
				}
				if status != want || c.counted < counterCount && n.count(c.counted) != attempts {
					t.Errorf("%s: got status %d, want %d; got the outcome counted %d times, want once per attempt", class, status, want,
						n.count(min(c.counted, panics)))
				}
				if (header.Get(headerRetryAfter) != "") != (status == 503) {
					t.Errorf("%s: got status %d with Retry-After %q, want it with status 503 only", class, status, header.Get(headerRetryAfter))
				}
			}
		})
	}
}

// Guards against forwarding the late response to a request that timed out as the response to the next one.
func TestLateResponseIsDiscarded(t *testing.T) {
	var slow atomic.Bool
	slow.Store(true)
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if slow.Swap(false) {
			time.Sleep(350 * time.Millisecond)
		}
		return echo(c, r, body)
	})
	n := startNode(t, nil, server)
	if status, _, _ := sendRequest(t, n, "view", "late", ""); status != 503 {
		t.Errorf("got status %d for the request that timed out, want 503", status)
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 20 {
		status, body, _ := sendRequest(t, n, "view", fmt.Sprint("t", i), "")
		if status == 200 && body != fmt.Sprintf("/view t%d ", i) {
			t.Fatalf("request %d: got the body %q of another request", i, body)
		}
	}
}

// Guards against losing one request per idle connection to an upstream that was unreachable and is back: it resets each
// older connection only when that connection is used, so the first reset must close all of them.
func TestResetClosesIdleConnectionsToUpstream(t *testing.T) {
	var restarted atomic.Bool
	var firstRequests sync.WaitGroup
	firstRequests.Add(5)
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if restarted.Load() {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		firstRequests.Done()
		firstRequests.Wait()
		return echo(c, r, body)
	})
	n := startNodeWithoutCooldown(t, nil, server)
	var done sync.WaitGroup
	for i := range 5 {
		done.Go(func() { sendRequest(t, n, "pay", fmt.Sprint("t", i), "") })
	}
	done.Wait()
	restarted.Store(true)
	if status, _, _ := sendRequest(t, n, "pay", "first", ""); status != 502 {
		t.Errorf("got status %d for the first request on an older connection, want 502", status)
	}
	n.upstreams.mu.Lock()
	defer n.upstreams.mu.Unlock()
	if n.upstreams.open != 0 {
		t.Errorf("got %d open connections after a reset, want 0", n.upstreams.open)
	}
}

// A duplicate of a response is forwarded to no client: neither if it arrives while its connection is idle, nor if it
// arrives while another request is in flight.
func TestLateDuplicateResponseIsDiscarded(t *testing.T) {
	duplicate := newGate(t)
	var conns atomic.Int64
	server := listen(t, func(c net.Conn) {
		first := conns.Add(1) == 1
		in := bufio.NewReader(c)
		for i := 0; ; i++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if i > 0 && first {
				writeResponse(c, "200 OK", "stray") // the duplicate precedes the response to this request
			}
			echo(c, r, "")
			if i == 0 && first {
				go func() {
					duplicate.wait()
					writeResponse(c, "200 OK", "stray")
				}()
			}
		}
	})
	idleOf := func(n *Node) (c *upstreamConn) {
		eventually(t, "an idle connection", func() bool {
			n.upstreams.mu.Lock()
			defer n.upstreams.mu.Unlock()
			for _, list := range n.upstreams.idleConns {
				c = list[0]
			}
			return c != nil
		})
		return c
	}
	t.Run("another request is in flight", func(t *testing.T) {
		n := newNode(t, nil, server)
		n.upstreams.reuseCooldown = time.Hour
		n.start()
		sendRequest(t, n, "batch", "a", "")
		idleOf(n)
		if _, body, _ := sendRequest(t, n, "batch", "b", ""); body != "/batch b " {
			t.Errorf("got body %q while a duplicate response was due, want \"/batch b \"", body)
		}
		if conns.Load() != 2 {
			t.Errorf("got %d connections, want 2: a new one for the second request", conns.Load())
		}
	})
	t.Run("idle", func(t *testing.T) {
		conns.Store(0)
		n := startNodeWithoutCooldown(t, nil, server)
		sendRequest(t, n, "batch", "a", "")
		c := idleOf(n)
		duplicate.release()
		eventually(t, "the duplicate response", c.hasInput)
		if _, body, _ := sendRequest(t, n, "batch", "b", ""); body != "/batch b " {
			t.Errorf("got body %q after a duplicate response had arrived, want \"/batch b \"", body)
		}
		if n.count(closeCounter(closeUnsolicitedInput)) != 1 {
			t.Error("the duplicate response did not close its connection as unsolicited input")
		}
	})
}

// Guards against treating a request as not executed if its upstream closes or resets an idle connection while the
// request is written: it may have been executed.
func TestIdleConnectionClosedDuringWriteCountsAsReset(t *testing.T) {
	for name, c := range map[string]struct {
		reset  bool
		status map[string]int
	}{
		"closed": {false, map[string]int{"pay": 502, "view": 503, "update": 502}},
		"reset":  {true, map[string]int{"pay": 502, "view": 503, "update": 502}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for class, want := range c.status {
				server, requests := startUpstream(t, func(conn net.Conn, r *http.Request, body string) bool {
					if r.Header.Get(headerRequestID) == "first" {
						return echo(conn, r, body)
					}
					if c.reset {
						conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				n := startNodeWithoutCooldown(t, nil, server)
				sendRequest(t, n, class, "first", "")
				resets := int64(1)
				if class == "view" {
					resets = 2 // retried once at its only endpoint; "update" is not, as its process may be another one
				}
				if status, _, _ := sendRequest(t, n, class, "second", ""); status != want || requests.Load() != 1+resets {
					t.Errorf("%s: got status %d, want %d; got %d requests at the upstream, want the first and one per attempt", class, status, want, requests.Load())
				}
				if n.count(attemptsReset) != resets {
					t.Errorf("%s: got %d resets, want one per attempt", class, n.count(attemptsReset))
				}
			}
		})
	}
}
