package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The tests in this file check that a node has file descriptors left for the list watch, attempts, admin calls and a
// second process of the node while idle clients use all that they can get. The processes run with a descriptor limit
// (ulimit) equal to the configured one.

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// idleClients are clients that connect, send nothing, and reconnect immediately when their connection is closed, until
// the test ends.
type idleClients struct {
	open, closedByNode atomic.Int64
	stop               chan struct{}
	done               sync.WaitGroup
}

func startIdleClients(t *testing.T, address string, count int) *idleClients {
	c := &idleClients{stop: make(chan struct{})}
	for range count {
		c.done.Go(func() {
			for {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					select {
					case <-c.stop:
						return
					case <-time.After(time.Millisecond):
						continue
					}
				}
				c.open.Add(1)
				go func() { <-c.stop; conn.Close() }()
				_, _ = conn.Read(make([]byte, 1)) // until either side closes it
				conn.Close()
				c.open.Add(-1)
				select {
				case <-c.stop:
					return
				default:
					c.closedByNode.Add(1)
				}
			}
		})
	}
	t.Cleanup(c.disconnect)
	return c
}

func (c *idleClients) disconnect() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.done.Wait()
}

// startUpstream starts an upstream that responds after a delay, and closes connections beyond maxConns without a
// response.
func startUpstream(t *testing.T, maxConns int64, delay time.Duration) string {
	t.Helper()
	var open atomic.Int64
	return startTCPServer(t, func(c net.Conn) {
		defer open.Add(-1)
		if open.Add(1) > maxConns {
			return
		}
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			time.Sleep(delay)
			id := r.Header.Get("X-Txn")
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id); err != nil {
				return
			}
		}
	})
}

func listEntries(addresses ...string) string {
	var entries []string
	for i, address := range addresses {
		entries = append(entries, fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","class":"m","block":0,"health":"up",`+
			`"share":1.0,"born_ms":0}`, i+1, address))
	}
	return strings.Join(entries, ",")
}

// openDescriptors returns the number of file descriptors that a process has open.
func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// limitedNode is a node's process whose descriptor limit is that of its configuration.
type limitedNode struct {
	*exec.Cmd
	adminAddress string
	logPath      string
}

// startLimitedNode starts a node's process and waits until it is ready. listenerFile is the listening socket for
// clients that it inherits, or nil.
func startLimitedNode(t *testing.T, descriptorLimit int, discoveryMode, listen, discovery, tempDir string, listenerFile *os.File, upstreams []string,
	extraArgs ...string,
) *limitedNode {
	t.Helper()
	c := &limitedNode{adminAddress: freeAddress(t), logPath: filepath.Join(t.TempDir(), "log")}
	text := strings.NewReplacer(`"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"`,
		fmt.Sprintf(`"listen":%q,"discovery":%q`, listen, discovery),
		`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptorLimit),
		`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, discoveryMode),
		`"ask_within_us":10000000`, `"ask_within_us":1000000`,
		`"connect_timeout_us":75000`, `"connect_timeout_us":5000000`,
		`300000`, `20000000`, `100000`, `20000000`).Replace(config) // timeouts that these tests never reach
	from, to := strings.Index(text, `"known"`), strings.Index(text, `"settings"`)
	text = text[:from] + fmt.Sprintf(`"known":{"seq":1,"whole":true,"hosts":[%s]},`,
		listEntries(upstreams...)) + text[to:]
	node := nodeCommand(t, text, append([]string{"serve"}, extraArgs...)...)
	limit := fmt.Sprintf(`ulimit -n %d; exec "$@"`, descriptorLimit)
	c.Cmd = exec.Command("/bin/sh", append([]string{"-c", limit, "sh"}, node.Args...)...)
	c.Env = append(node.Env, "TMPDIR="+tempDir, "NODE_CONSOLE="+c.adminAddress)
	if listenerFile != nil {
		c.Env, c.ExtraFiles = append(c.Env, "NODE_INHERITED_FD=3"), []*os.File{listenerFile}
	}
	log, err := os.Create(c.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if c.Stderr = log; c.Start() != nil {
		t.Fatal("the node's process could not be started")
	}
	t.Cleanup(func() { killAndWait(c.Cmd) })
	eventually(t, "ready", func() bool { return requestStatus(c.adminAddress, "GET /ready") == 200 })
	return c
}

// stopAndCheckLog stops the node and checks in its log that it never ran out of descriptors.
func (n *limitedNode) stopAndCheckLog(t *testing.T) {
	t.Helper()
	sendSignal(t, n.Cmd, syscall.SIGTERM)
	if err := n.Wait(); err != nil {
		t.Errorf("the node exited with %v, want exit code 0", err)
	}
	logText, err := os.ReadFile(n.logPath)
	if err != nil {
		t.Fatal(err)
	}
	failures, first := 0, ""
	for line := range strings.Lines(string(logText)) {
		if strings.Contains(line, "too many open files") {
			if failures++; failures == 1 {
				first = line
			}
		}
	}
	if failures > 0 {
		t.Errorf("the node ran out of descriptors %d times, first: %s", failures, first)
	}
	if !strings.Contains(string(logText), `"attempts not sent":0,`) {
		t.Errorf("want no attempts without a descriptor, got %s", logText[strings.LastIndex(string(logText), `"attempts sent"`):])
	}
}

// checkConcurrentRequests sends a number of requests at the same time and checks that all get status 200.
func checkConcurrentRequests(t *testing.T, count int, send func(i int) (name string, status int)) {
	t.Helper()
	var done sync.WaitGroup
	for i := range count {
		done.Go(func() {
			if name, status := send(i); status != 200 {
				t.Errorf("%s among idle clients: got status %d, want 200", name, status)
			}
		})
	}
	done.Wait()
}

// sendViewRequest sends one request on a connection of its own.
func sendViewRequest(address, id string) (string, int) {
	return "a request", requestStatus(address, "GET /view HTTP/1.1\r\nX-Txn: "+id+"\r\nX-Rest:")
}

var adminCalls = []string{
	"PUT /servers/disable?target=s-1",
	"GET /ready",
	"PUT /servers/enable?target=s-1",
	"GET /ready",
}

// With twice as many idle clients as descriptors, which reconnect immediately, the node must have descriptors left for
// the list watch, for each attempt and for admin calls: while discovery is down, when it returns, and afterwards.
func TestDescriptorsSufficeAmongIdleClients(t *testing.T) {
	for _, c := range []struct {
		descriptorLimit, requests, adminCallCount int // the requests, and the admin calls, are concurrent
		discoveryMode                             string
		keepState                                 bool
		maxConns                                  int64 // per upstream
		delay                                     time.Duration
	}{
		{32, 2, 2, "ask", false, 64, 0},
		{64, 8, 4, "ask", true, 64, 0},
		{64, 8, 4, "push", false, 64, 0},
		{64, 4, 4, "ask", true, 4, 0},
		{256, 90, 4, "push", true, 64, 200 * time.Millisecond},
		{1024, 16, 4, "ask", true, 64, 0},
	} {
		t.Run(fmt.Sprintf("%d descriptors, discovery %s, %d connections per upstream", c.descriptorLimit, c.discoveryMode, c.maxConns), func(t *testing.T) {
			var upstreams []string
			for range 30 {
				upstreams = append(upstreams, startUpstream(t, c.maxConns, c.delay))
			}
			listen, discovery := freeAddress(t), freeAddress(t)
			var extraArgs []string
			if c.keepState {
				extraArgs = []string{"--state", filepath.Join(t.TempDir(), "state")}
			}
			node := startLimitedNode(t, c.descriptorLimit, c.discoveryMode, listen, discovery, t.TempDir(), nil, upstreams, extraArgs...)
			clients := startIdleClients(t, listen, 2*c.descriptorLimit)
			eventually(t, "the node closes idle clients", func() bool {
				return clients.closedByNode.Load() > int64(c.descriptorLimit)
			})
			runRounds := func(name string) {
				for k := range 5 {
					checkConcurrentRequests(t, c.requests, func(i int) (string, int) {
						return sendViewRequest(listen, fmt.Sprintf("%s-%d-%d", name, k, i))
					})
					checkConcurrentRequests(t, c.adminCallCount, func(i int) (string, int) {
						return adminCalls[i], requestStatus(node.adminAddress, adminCalls[i])
					})
				}
			}
			runRounds("down")
			discoveryListener, err := net.Listen("tcp", discovery)
			if err != nil {
				t.Fatal(err)
			}
			defer discoveryListener.Close()
			var watches atomic.Int64
			serveHTTP(discoveryListener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				writef(w, `{"seq":2,"whole":true,"hosts":[%s]}`+"\n", listEntries(upstreams...))
				w.(http.Flusher).Flush()
				watches.Add(1)
				<-r.Context().Done()
			}))
			eventually(t, "a list watch", func() bool { return watches.Load() > 0 })
			runRounds("back")
			if status := requestStatus(node.adminAddress, "PUT /drain"); status != 200 {
				t.Errorf("PUT /drain among idle clients: got status %d, want 200", status)
			}
			if status := requestStatus(node.adminAddress, "PUT /undrain"); status != 200 {
				t.Errorf("PUT /undrain among idle clients: got status %d, want 200", status)
			}
			clients.disconnect()
			node.stopAndCheckLog(t)
		})
	}
}

// During an upgrade among idle clients, the two processes of a node together must not use more descriptors than the
// node's limit.
func TestUpgradeSharesDescriptorLimit(t *testing.T) {
	for _, descriptorLimit := range []int{64, 256} {
		t.Run(fmt.Sprint(descriptorLimit), func(t *testing.T) {
			var upstreams []string
			for range 4 {
				upstreams = append(upstreams, startUpstream(t, 64, 0))
			}
			listener, listenerFile := inheritedListener(t)
			dir, listen := t.TempDir(), listener.Addr().String()
			oldNode := startLimitedNode(t, descriptorLimit, "ask", listen, "127.0.0.1:1", dir, listenerFile, upstreams)
			clients := startIdleClients(t, listen, 2*descriptorLimit)
			eventually(t, "the node closes idle clients", func() bool {
				return clients.closedByNode.Load() > int64(descriptorLimit)
			})
			checkConcurrentRequests(t, 4, func(i int) (string, int) { return sendViewRequest(listen, fmt.Sprint("old", i)) })
			newNode := startLimitedNode(t, descriptorLimit, "ask", listen, "127.0.0.1:1", dir, listenerFile, upstreams)
			maxDescriptors := 0
			for k := range 10 {
				checkConcurrentRequests(t, 4, func(i int) (string, int) {
					return sendViewRequest(listen, fmt.Sprintf("both-%d-%d", k, i))
				})
				for _, node := range []*limitedNode{oldNode, newNode} {
					if status := requestStatus(node.adminAddress, "GET /ready"); status != 200 {
						t.Errorf("GET /ready among idle clients: got status %d, want 200", status)
					}
				}
				maxDescriptors = max(maxDescriptors, openDescriptors(oldNode.Process.Pid)+openDescriptors(newNode.Process.Pid))
			}
			t.Logf("both processes used up to %d descriptors, the limit is %d", maxDescriptors, descriptorLimit)
			if maxDescriptors > descriptorLimit {
				t.Errorf("both processes: got %d open descriptors, want at most %d", maxDescriptors, descriptorLimit)
			}
			oldNode.stopAndCheckLog(t)
			checkConcurrentRequests(t, 4, func(i int) (string, int) { return sendViewRequest(listen, fmt.Sprint("fresh", i)) })
			clients.disconnect()
			newNode.stopAndCheckLog(t)
		})
	}
}
