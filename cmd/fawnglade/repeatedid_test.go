package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// runCounter is an upstream that counts how often it has begun each request, and answers after a delay.
type runCounter struct {
	delay time.Duration

	mu     sync.Mutex
	runs   map[string]int
	starts map[string][]time.Time
}

func startRunCounter(t *testing.T, delay time.Duration) (*runCounter, string) {
	c := &runCounter{delay: delay, runs: map[string]int{}, starts: map[string][]time.Time{}}
	return c, startTCPServer(t, func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Txn")
			c.mu.Lock()
			c.runs[id]++
			c.starts[id] = append(c.starts[id], time.Now())
			c.mu.Unlock()
			time.Sleep(c.delay)
			writeText(conn, responseWith("200 OK", id))
		}
	})
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// sendAndLeave sends a request that may not be repeated and closes the connection once an upstream has it.
func sendAndLeave(t *testing.T, address, class, id string, upstream *runCounter) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	writeText(conn, requestHead("POST", class, id)+"Content-Length: 0\r\n\r\n")
	eventually(t, "the request runs", func() bool { return upstream.count(id) > 0 })
}

// checkRepeat sends a request under an ID that has run and checks that it fails and doesn't run again.
func checkRepeat(t *testing.T, conn net.Conn, name, class, id string, upstream *runCounter) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	writeText(conn, requestHead("POST", class, id)+"Content-Length: 0\r\n\r\n")
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("%s, %s: got no response: %v", name, class, err)
		return
	}
	promisesNoEffect := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	if r.StatusCode == http.StatusOK || promisesNoEffect || upstream.count(id) != 1 {
		t.Errorf("%s, %s: got status %d, %d runs, want a failure and 1 run", name, class, r.StatusCode, upstream.count(id))
	}
}

func dialNode(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against a second run of a request whose ID comes again after its client has left.
func TestIDDoesNotRunAgainAfterItsClientLeft(t *testing.T) {
	upstream, upstreamAddress := startRunCounter(t, 100*time.Millisecond)
	listen := freeAddress(t)
	startProcess(t, playConfig(listen, strictProfiles, upstreamAddress), listen)
	for _, class := range []string{"pay", "update"} {
		for _, pause := range []time.Duration{0, 20, 200, 2000} {
			id := fmt.Sprint(class, int(pause))
			sendAndLeave(t, listen, class, id, upstream)
			time.Sleep(pause * time.Millisecond)
			checkRepeat(t, dialNode(t, listen), fmt.Sprint("after ", int(pause), " ms"), class, id, upstream)
		}
	}
}

// upgrade runs processes of one node on an inherited listening socket.
type upgrade struct {
	listener     net.Listener
	listenerFile *os.File
	dir, text    string
}

func newUpgrade(t *testing.T, upstreamAddress string) *upgrade {
	listener, listenerFile := inheritedListener(t)
	text := playConfig(listener.Addr().String(), strictProfiles, upstreamAddress)
	return &upgrade{listener, listenerFile, t.TempDir(), text}
}

// start starts a process and waits until it is ready.
func (u *upgrade) start(t *testing.T) *exec.Cmd {
	t.Helper()
	admin := freeAddress(t)
	node := nodeCommand(t, u.text, "serve")
	node.Env = append(node.Env, "TMPDIR="+u.dir, "NODE_CONSOLE="+admin, "NODE_INHERITED_FD=3")
	node.ExtraFiles = []*os.File{u.listenerFile}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killAndWait(node) })
	eventually(t, "ready", func() bool { return requestStatus(admin, "GET /ready") == http.StatusOK })
	return node
}

// Guards against a second run of a request whose ID comes again at the other process of an upgrade.
func TestIDDoesNotRunAgainAtOtherProcess(t *testing.T) {
	upstream, upstreamAddress := startRunCounter(t, 100*time.Millisecond)
	u := newUpgrade(t, upstreamAddress)
	address := u.listener.Addr().String()
	oldProcess := u.start(t)
	keptByOld := make([]net.Conn, 4) // connections of the old process, kept open by a request each
	for i := range keptByOld {
		keptByOld[i] = dialNode(t, address)
		writeText(keptByOld[i], "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(keptByOld[i]), nil); err != nil {
			t.Fatal(err)
		}
	}
	sendAndLeave(t, address, "pay", "before", upstream)
	u.start(t)
	checkRepeat(t, dialNode(t, address), "at the new process, from before it started", "pay", "before", upstream)

	writeText(keptByOld[0], requestHead("POST", "pay", "during")+"Content-Length: 0\r\n\r\n")
	eventually(t, "the request runs at the old process", func() bool { return upstream.count("during") > 0 })
	keptByOld[0].Close()
	time.Sleep(20 * time.Millisecond)
	checkRepeat(t, dialNode(t, address), "at the new process, from the old one", "pay", "during", upstream)

	sendAndLeave(t, address, "pay", "back", upstream)
	time.Sleep(20 * time.Millisecond)
	checkRepeat(t, keptByOld[1], "at the old process, from the new one", "pay", "back", upstream)
	sendSignal(t, oldProcess, syscall.SIGTERM)
	_ = oldProcess.Wait()
	checkRepeat(t, dialNode(t, address), "at the new process, after the old one", "pay", "during", upstream)
}

// Guards against attempts for a client whose close lies behind more input than the node's machine holds.
func TestNoAttemptStartsAfterCloseBehindUnreadInput(t *testing.T) {
	rejected := make(chan struct{}, 1000)
	rejecting := startTCPServer(t, func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			time.Sleep(250 * time.Millisecond)
			writeText(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
			rejected <- struct{}{}
		}
	})
	upstream, upstreamAddress := startRunCounter(t, 250*time.Millisecond)
	listen := freeAddress(t)
	startProcess(t, playConfig(listen, uploadProfiles, upstreamAddress, rejecting, rejecting, rejecting), listen)
	var closedAt sync.Map
	var sent atomic.Int64
	var done sync.WaitGroup
	for i := range 8 {
		done.Go(func() {
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Error(err)
				return
			}
			var text strings.Builder
			for k := range 600 {
				text.WriteString(requestHead("GET", "view", fmt.Sprintf("left%d-%d", i, k)))
				text.WriteString("X-Rest: " + strings.Repeat("r", 1500) + "\r\n\r\n")
			}
			conn.SetWriteDeadline(time.Now().Add(30 * time.Millisecond)) // as much as both machines take
			writeText(conn, text.String())
			conn.Close()
			closedAt.Store(i, time.Now())
			sent.Add(1)
		})
	}
	done.Wait()
	time.Sleep(3 * time.Second)
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	for id, starts := range upstream.starts {
		var client, number int
		if _, err := fmt.Sscanf(id, "left%d-%d", &client, &number); err != nil {
			continue
		}
		closed, _ := closedAt.Load(client)
		for _, start := range starts {
			if late := start.Sub(closed.(time.Time)); late > 100*time.Millisecond {
				t.Errorf("%s: an attempt began %v after its client had closed, want at most 100ms", id, late)
			}
		}
	}
	if len(rejected) == 0 {
		t.Error("no attempt was rejected, so that none was retried")
	}
}
