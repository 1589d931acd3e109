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
	n := startNode(t, nil, server)
	c, in := dial(t, n)
	for i := range 3 {
		writef(c, "POST /batch/x?q=%d HTTP/1.1\r\nHost: h\r\nX-Txn: t%d\r\nX-Other: kept\r\nConnection: keep-alive\r\n"+
			"Content-Length: 3\r\n\r\na\x00b", i, i)
		status, body, header := readResponse(in)
		if want := fmt.Sprintf("/batch/x?q=%d t%d a\x00b", i, i); status != 200 || body != want {
			t.Errorf("got %d %q, want 200 %q", status, body, want)
		}
		if header.Get(headerLoadReport) != "" {
			t.Error("a server's load report went on to a client")
		}
	}
	if n.count(upstreamConnsOpened) != 1 {
		t.Errorf("%d connections to the server for requests one after the other, want 1", n.count(upstreamConnsOpened))
	}
}

// What an upstream does decides the outcome, and with the class the client's response.
func TestResponseDecidesOutcome(t *testing.T) {
	closed := listen(t, func(c net.Conn) {})
	cut := func(text string) string {
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
		server string
		how    counter
		status map[string]int // by class; 503 is a reject
	}{
		"error": {
			cut("HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n"), attemptsErrored,
			map[string]int{"view": 503, "update": 502, "pay": 502},
		},
		"rejected": {
			cut("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"),
			attemptsRejected,
			map[string]int{"view": 503, "update": 503, "pay": 503},
		},
		"503 without proof": {
			cut("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), attemptsErrored,
			map[string]int{"view": 503, "update": 502, "pay": 502},
		},
		"fault with it": {
			cut("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"), attemptsRequestFault,
			map[string]int{"view": 400, "update": 400, "pay": 400},
		},
		"too many": {
			cut("HTTP/1.1 429 Later\r\nContent-Length: 0\r\n\r\n"), attemptsErrored,
			map[string]int{"view": 503, "pay": 502},
		},
		"refused": {
			"127.0.0.1:1", attemptsConnectFailed,
			map[string]int{"view": 503, "update": 503, "pay": 503},
		},
		"broken before any": {cut(""), attemptsReset, map[string]int{"view": 503, "update": 502, "pay": 502}},
		"broken in head": {
			cut("HTTP/1.1 200 OK\r\nContent-Le"), attemptsReset,
			map[string]int{"view": 503, "pay": 502},
		},
		"broken in body": {
			cut("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), attemptsReset,
			map[string]int{"view": 503, "pay": 502},
		},
		"broken in chunk": {
			cut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal"), attemptsReset,
			map[string]int{"pay": 502},
		},
		"no answer at all": {cut("SSH-2.0-x\r\n\r\n"), attemptsReset, map[string]int{"pay": 502}},
		"endless answer": {
			cut("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), attemptsReset,
			map[string]int{"pay": 502},
		},
		"silent":         {silent, attemptsTimedOut, map[string]int{"view": 503, "update": 502, "pay": 502}},
		"closed at once": {closed, counterCount, map[string]int{"view": 503}},
		"interim, chunked": {
			cut("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
			attemptsSucceeded,
			map[string]int{"pay": 200},
		},
		"body till the end": {cut("HTTP/1.1 200 OK\r\n\r\nall of it"), attemptsSucceeded, map[string]int{"pay": 200}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for class, want := range c.status {
				n := startNode(t, nil, c.server)
				status, _, header := sendRequest(t, n, class, "t1", "body")
				attempts := int64(1)
				if c.how == attemptsReset && class != "pay" {
					attempts = 2 // the request returns to its only endpoint once
				}
				if status != want || c.how < counterCount && n.count(c.how) != attempts {
					t.Errorf("%s: answered %d, want %d; outcome counted %d times", class, status, want,
						n.count(min(c.how, panics)))
				}
				if (header.Get(headerRetryAfter) != "") != (status == 503) {
					t.Errorf("%s: %d with advice %q", class, status, header.Get(headerRetryAfter))
				}
			}
		})
	}
}

// Guards against taking the response to a request that timed out for that of the next one.
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
		t.Errorf("the late request was answered %d, want 503", status)
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 20 {
		status, body, _ := sendRequest(t, n, "view", fmt.Sprint("t", i), "")
		if status == 200 && body != fmt.Sprintf("/view t%d ", i) {
			t.Fatalf("request %d got the answer %q", i, body)
		}
	}
}

// Guards against an upstream that was cut off and is back: connections from before are reset only when used, and each
// would cost a request.
func TestResetClosesIdleConnectionsToUpstream(t *testing.T) {
	var back atomic.Bool
	var idle sync.WaitGroup
	idle.Add(5)
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if back.Load() {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		idle.Done()
		idle.Wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, server)
	var done sync.WaitGroup
	for i := range 5 {
		done.Go(func() { sendRequest(t, n, "pay", fmt.Sprint("t", i), "") })
	}
	done.Wait()
	back.Store(true)
	if status, _, _ := sendRequest(t, n, "pay", "first", ""); status != 502 {
		t.Errorf("the first request after the cut was answered %d", status)
	}
	n.upstreams.mu.Lock()
	defer n.upstreams.mu.Unlock()
	if n.upstreams.open != 0 {
		t.Errorf("%d connections from before are still open", n.upstreams.open)
	}
}

// A response that comes a second time is passed to no client: neither while its connection is idle, nor once another
// request is in flight.
func TestLateDuplicateResponseIsDiscarded(t *testing.T) {
	stray := newGate(t)
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
				writeResponse(c, "200 OK", "stray") // the second answer comes before its own
			}
			echo(c, r, "")
			if i == 0 && first {
				go func() {
					stray.wait()
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
	t.Run("another request is out", func(t *testing.T) {
		n := newNode(t, nil, server)
		n.upstreams.extraInputCooldown = time.Hour
		n.start()
		n.upstreams.recordExtraInput(true) // such have been seen here
		sendRequest(t, n, "batch", "a", "")
		idleOf(n)
		if _, body, _ := sendRequest(t, n, "batch", "b", ""); body != "/batch b " {
			t.Errorf("while the second answer is due a request got %q", body)
		}
		if conns.Load() != 2 {
			t.Errorf("%d connections, want another for the second request", conns.Load())
		}
	})
	t.Run("idle", func(t *testing.T) {
		conns.Store(0)
		n := startNode(t, nil, server)
		sendRequest(t, n, "batch", "a", "")
		c := idleOf(n)
		stray.release()
		eventually(t, "the second answer", c.hasInput)
		if _, body, _ := sendRequest(t, n, "batch", "b", ""); body != "/batch b " {
			t.Errorf("once the second answer has come a request got %q", body)
		}
		if n.upstreams.lastExtraInputAt.Load() == 0 {
			t.Error("it was not noticed")
		}
	})
}

// A connection that its upstream closes or resets as a request is written to it is one on which the request may have
// run.
func TestIdleConnectionClosedDuringWriteCountsAsReset(t *testing.T) {
	for name, c := range map[string]struct {
		linger bool
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
					if c.linger {
						conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				n := startNode(t, nil, server)
				sendRequest(t, n, class, "first", "")
				resets := int64(1)
				if class != "pay" {
					resets = 2 // the request returns to its only endpoint once
				}
				if status, _, _ := sendRequest(t, n, class, "second", ""); status != want || requests.Load() != 1+resets {
					t.Errorf("%s: answered %d, want %d; %d requests came", class, status, want, requests.Load())
				}
				if n.count(attemptsReset) != resets {
					t.Errorf("%s: %d resets", class, n.count(attemptsReset))
				}
			}
		})
	}
}
