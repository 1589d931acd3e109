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
	var busy sync.WaitGroup
	for i := range 10 { // clients that send on as long as their connections stay open
		c, in := dial(t, n)
		busy.Go(func() {
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
	eventually(t, "the stop", n.shuttingDown.Load)
	if status, _, _ := sendRequest(t, n, "batch", "new", ""); status != 200 {
		t.Errorf("a new connection while stopping was answered %d", status)
	}
	time.Sleep(acceptAfterTerm - 120*time.Millisecond)
	writeText(idle, requestText("batch", "a", "")+requestText("batch", "b", ""))
	for range 2 {
		if status, body, _ := readResponse(idleIn); status != 200 {
			t.Errorf("a request taken before the end was answered %d %s", status, body)
		}
	}
	busy.Wait()
	if taken := n.count(requestsAccepted); answered.Load()+3 != taken {
		t.Errorf("%d requests were taken and %d answered", taken, answered.Load()+3)
	}
	select {
	case <-stopped:
	case <-time.After(time.Second):
		t.Error("with every request answered the node does not end")
	}
}

// A request at any stage when the node shuts down gets its complete response.
func TestShutdownWithRequestAtEveryStage(t *testing.T) {
	long := strings.Repeat("x", 2<<20) // more than is held, or than the machines take
	for name, c := range map[string]struct {
		body  string
		hold  func(t *testing.T, n *Node) *gate // before the request
		serve func(g *gate, c net.Conn, in *bufio.Reader) (served bool)
		there func(n *Node) bool
	}{
		"in the queue": {
			hold:  func(t *testing.T, n *Node) *gate { return n.blockLoop(t) },
			there: func(n *Node) bool { return len(n.loop.events) > 0 },
		},
		"dialling": {there: func(n *Node) bool { return n.count(attemptsSent) == 1 }},
		"partly written": {
			body: long, serve: func(g *gate, _ net.Conn, _ *bufio.Reader) bool { g.wait(); return false },
			there: func(n *Node) bool { return n.count(requestsStreamed) == 1 },
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
		}, there: func(n *Node) bool { return n.count(responsesStreamed) == 1 }},
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
			eventually(t, "there", func() bool { return c.there == nil || c.there(n) })
			stopped := make(chan struct{})
			go func() { n.shutDown(); close(stopped) }()
			eventually(t, "the listener to drain", n.frontend.draining.Load)
			select {
			case <-stopped:
				t.Error("the shutdown ended with a request in flight") // and the process with it
			case <-time.After(100 * time.Millisecond): // rounds in which it might have
			}
			g.release()
			status, body, header := readResponse(in)
			if status != 200 || body != "whole" && body != "half" && body != long {
				t.Errorf("answered %d with %d bytes, %v", status, len(body), header)
			}
			<-stopped
		})
	}
}

// A request idempotent by key that may have run is rejected only where every endpoint would drop its repeat, and only
// for as long as they would.
func TestRejectionOfRequestIdempotentByKey(t *testing.T) {
	silent, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool { discard(c); return false })
	for name, c := range map[string]struct {
		group  string
		span   string
		ends   bool // the process does, else the request's time
		status int
	}{
		"all, remembered":                  {"all", "30000000", false, 503},
		"all, forgotten by then":           {"all", "1000", false, 502},
		"its zone":                         {"zone", "30000000", false, 502},
		"at the end, all, remembered":      {"all", "30000000", true, 503},
		"at the end, all, forgotten":       {"all", "1000", true, 502},
		"at the end, its zone, remembered": {"zone", "30000000", true, 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, c.group),
				`"memory_span_us":2000000`, `"memory_span_us":`+c.span), silent)
			client, in := dial(t, n)
			writeText(client, requestText("update", "t1", ""))
			eventually(t, "it is out", func() bool { return n.count(attemptsSent) == 1 })
			time.Sleep(5 * time.Millisecond) // longer than the short memory
			if c.ends {
				n.loop.post(n.loop.giveUpAll)
			}
			if status, _, _ := readResponse(in); status != c.status {
				t.Errorf("answered %d, want %d", status, c.status)
			}
		})
	}
}

// What has no response shortly before the platform kills a process is given up: rejected where a retry does no harm.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	silent, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/batch" { // an answer whose end is the connection's, and that does not come
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
	eventually(t, "all at the server, and an answer on its way", func() bool {
		return requests.Load() == 4 && n.count(responsesStreamed) == 1
	})
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	<-stopped
	if n.count(requestsRejected) != 1 || n.count(requestsFailed) != 2 {
		t.Errorf("at the end %d requests are rejected and %d failed, want 1 and 2", n.count(requestsRejected),
			n.count(requestsFailed))
	}
	for class, status := range want {
		if got, body, _ := readResponse(ins[class]); got != status {
			t.Errorf("%s was answered %d %s, want %d", class, got, body, status)
		}
	}
	if text, err := io.ReadAll(oldIn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("half an answer did not end in a reset: %v, %d bytes", err, len(text))
	}
	late := newPendingRequest()
	late.request.ID = "late"
	n.loop.post(func() { n.loop.requestArrived(late) })
	if a := <-late.responses; a.status != 503 || n.count(requestsOverCapacity) != 1 {
		t.Errorf("a request that came after the end was answered %d", a.status)
	}
}
