package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestShutdownAcceptsForAWhileAndAnswersAll(t *testing.T) {
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(60 * time.Millisecond)
		return echo(c, r, body)
	})
	n := startNode(t, nil, server)
	idle, idleIn := dial(t, n)
	var answered atomic.Int64
	var clients sync.WaitGroup
	for i := range 10 { // each sends requests until its connection is closed
		c, in := dial(t, n)
		clients.Go(func() {
			for k := 0; ; k++ {
				writeText(c, requestText("batch", fmt.Sprint(i, "-", k), ""))
				status, _, header := readResponse(in)
				if status == 200 {
					answered.Add(1)
				}
				if status != 200 || header.Get("Connection") == "close" {
					return
				}
			}
		})
	}
	eventually(t, "answers", func() bool { return answered.Load() >= 20 })
	stopped := make(chan struct{})
	go func() {
		n.shutDown()
		close(stopped)
	}()
	eventually(t, "the shutdown to begin", n.shuttingDown.Load)
	if status, _, _ := sendRequest(t, n, "batch", "new", ""); status != 200 {
		t.Errorf("got status %d on a new connection during the shutdown, want 200", status)
	}
	time.Sleep(acceptAfterTerm - 120*time.Millisecond)
	writeText(idle, requestText("batch", "a", "")+requestText("batch", "b", ""))
	for range 2 {
		if status, body, _ := readResponse(idleIn); status != 200 {
			t.Errorf("got status %d for a request accepted before the listener closed, want 200; body %s", status, body)
		}
	}
	clients.Wait()
	if accepted := n.count(requestsAccepted); answered.Load()+3 != accepted { // 3: one on the new connection, two on the idle one
		t.Errorf("got %d accepted requests and %d answered, want the same number", accepted, answered.Load()+3)
	}
	select {
	case <-stopped:
	case <-time.After(time.Second):
		t.Error("the shutdown did not end within 1 s after all requests were answered")
	}
}

// A request that is at any stage when the node shuts down gets its complete response.
func TestShutdownWithRequestAtEveryStage(t *testing.T) {
	long := strings.Repeat("x", 2<<20) // more than the node and the kernel buffer
	for name, c := range map[string]struct {
		body         string
		hold         func(t *testing.T, n *Node) *gate // called before the request is sent
		serve        func(g *gate, c net.Conn, in *bufio.Reader) (served bool)
		stageReached func(n *Node) bool
	}{
		"in the event queue": {
			hold:         func(t *testing.T, n *Node) *gate { return n.blockLoop(t) },
			stageReached: func(n *Node) bool { return len(n.loop.events) > 0 },
		},
		"dialling": {stageReached: func(n *Node) bool { return n.count(attemptsSent) == 1 }},
		"request partly written": {
			body: long, serve: func(g *gate, _ net.Conn, _ *bufio.Reader) bool { g.wait(); return false },
			stageReached: func(n *Node) bool { return n.count(requestsStreamed) == 1 },
		},
		"written": {serve: func(g *gate, _ net.Conn, in *bufio.Reader) bool {
			skipRequestHead(in)
			g.wait()
			return false
		}},
		"answering": {serve: func(g *gate, c net.Conn, in *bufio.Reader) bool {
			skipRequestHead(in)
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha")
			g.wait()
			writeText(c, "lf")
			return true
		}},
		"flowing": {serve: func(g *gate, c net.Conn, in *bufio.Reader) bool {
			skipRequestHead(in)
			writef(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long[:maxBufferedResponse])
			g.wait()
			writeText(c, long[maxBufferedResponse:])
			return true
		}, stageReached: func(n *Node) bool { return n.count(responsesStreamed) == 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGate(t)
			server := listen(t, func(conn net.Conn) {
				in := bufio.NewReader(conn)
				if c.serve != nil && c.serve(g, conn, in) {
					return
				}
				if name != "written" {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					discard(r.Body)
				}
				writeResponse(conn, "200 OK", "whole")
			})
			n := newNode(t, silentDiscovery(t), server)
			if name == "dialling" {
				g = n.blockDials(t)
			}
			n.start()
			if c.hold != nil {
				g = c.hold(t, n)
			}
			client, in := dial(t, n)
			go writeText(client, requestText("batch", "t", c.body))
			g.awaitArrivals(t, 1)
			eventually(t, "the request to reach its stage", func() bool { return c.stageReached == nil || c.stageReached(n) })
			stopped := make(chan struct{})
			go func() { n.shutDown(); close(stopped) }()
			eventually(t, "the listener to drain", n.frontend.draining.Load)
			select {
			case <-stopped:
				t.Error("the shutdown ended with a request in flight") // in production the process would end, too
			case <-time.After(100 * time.Millisecond): // enough time for a faulty shutdown to end
			}
			g.release()
			status, body, header := readResponse(in)
			if status != 200 || body != "whole" && body != "half" && body != long {
				t.Errorf("got status %d with %d bytes, want 200 with a complete body; header %v", status, len(body), header)
			}
			<-stopped
		})
	}
}

// Guards against rejecting a request idempotent by key that may have been executed: a client retry is only safe if
// every endpoint would deduplicate it, and only within the deduplication window.
func TestRejectionOfRequestIdempotentByKey(t *testing.T) {
	silent, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool { discard(c); return false })
	for name, c := range map[string]struct {
		group     string
		windowUs  string
		shutsDown bool // the process shuts down; otherwise the deadline expires
		status    int
	}{
		"group of all endpoints, within the window":           {"all", "30000000", false, 503},
		"group of all endpoints, after the window":            {"all", "1000", false, 502},
		"group of its zone":                                   {"zone", "30000000", false, 502},
		"shutdown, group of all endpoints, within the window": {"all", "30000000", true, 503},
		"shutdown, group of all endpoints, after the window":  {"all", "1000", true, 502},
		"shutdown, group of its zone, within the window":      {"zone", "30000000", true, 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, c.group),
				`"memory_span_us":2000000`, `"memory_span_us":`+c.windowUs), silent)
			client, in := dial(t, n)
			writeText(client, requestText("update", "t1", ""))
			eventually(t, "the attempt to be sent", func() bool { return n.count(attemptsSent) == 1 })
			time.Sleep(5 * time.Millisecond) // longer than the short window
			if c.shutsDown {
				n.loop.post(n.loop.giveUpAll)
			}
			if status, _, _ := readResponse(in); status != c.status {
				t.Errorf("got status %d, want %d", status, c.status)
			}
		})
	}
}

// Requests without a response shortly before the platform kills the process are answered: rejected if a client retry is
// safe, failed otherwise.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	silent, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/batch" { // a body that ends with the connection, which stays open
			writeText(c, "HTTP/1.1 200 OK\r\n\r\n")
			for _, err := io.WriteString(c, "x"); err == nil; _, err = io.WriteString(c, "x") {
				time.Sleep(responseBufferTimeout)
			}
		}
		discard(c)
		return false
	})
	n := startNode(t, withSettings(`800000`, `20000000`, `300000`, `20000000`), silent)
	want := map[string]int{"view": 503, "update": 502, "pay": 502}
	ins := map[string]*bufio.Reader{}
	for class := range want {
		c, in := dial(t, n)
		writeText(c, requestText(class, class, ""))
		ins[class] = in
	}
	old, oldIn := dial(t, n)
	writeText(old, "GET /batch HTTP/1.0\r\nX-Txn: old\r\n\r\n")
	eventually(t, "all requests at the upstream, and a streamed response", func() bool {
		return requests.Load() == 4 && n.count(responsesStreamed) == 1
	})
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	<-stopped
	if n.count(requestsRejected) != 1 || n.count(requestsFailed) != 2 {
		t.Errorf("got %d rejected and %d failed requests after the shutdown, want 1 and 2", n.count(requestsRejected),
			n.count(requestsFailed))
	}
	for class, status := range want {
		if got, body, _ := readResponse(ins[class]); got != status {
			t.Errorf("%s: got status %d with body %s, want %d", class, got, body, status)
		}
	}
	if text, err := io.ReadAll(oldIn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got error %v after %d bytes of an incomplete response, want a reset", err, len(text))
	}
	late := newPendingRequest()
	late.request.ID = "late"
	n.loop.post(func() { n.loop.requestArrived(late) })
	if a := <-late.responses; a.status != 503 || n.count(requestsOverCapacity) != 1 {
		t.Errorf("got status %d for a request after the shutdown, want 503 counted as over capacity", a.status)
	}
}
