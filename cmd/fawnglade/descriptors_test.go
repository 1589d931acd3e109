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

// What a node has descriptors for while idle clients hold all that they can get: the list watch, attempts, admin calls,
// another process of the node. The system gives each process no more descriptors than its configuration says.

// freeAddress is an address at which nobody listens now.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// idleClients are clients that connect, send nothing and reconnect at once when they are closed, until the test ends.
type idleClients struct {
	open, closedByNode atomic.Int64
	stop               chan struct{}
	done               sync.WaitGroup
}

func startIdleClients(t *testing.T, at string, clients int) *idleClients {
	c := &idleClients{stop: make(chan struct{})}
	for range clients {
		c.done.Go(func() {
			for {
				held, err := net.Dial("tcp", at)
				if err != nil {
					select {
					case <-c.stop:
						return
					case <-time.After(time.Millisecond):
						continue
					}
				}
				c.open.Add(1)
				go func() { <-c.stop; held.Close() }()
				_, _ = held.Read(make([]byte, 1)) // until either side closes it
				held.Close()
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

// startUpstream starts an upstream that answers after a time, and closes connections beyond a number without a
// response.
func startUpstream(t *testing.T, maxConns int64, after time.Duration) string {
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
			time.Sleep(after)
			id := r.Header.Get("X-Txn")
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id); err != nil {
				return
			}
		}
	})
}

func listEntries(health string, servers ...string) string {
	var list []string
	for i, s := range servers {
		list = append(list, fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","class":"m","block":0,"health":%q,`+
			`"share":1.0,"born_ms":0}`, i+1, s, health))
	}
	return strings.Join(list, ",")
}

// openDescriptors is how many descriptors a process has open now.
func openDescriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// limitedNode is the process of one node, with no more descriptors than its configuration says.
type limitedNode struct {
	*exec.Cmd
	adminAddress string
	logPath      string
}

// startLimitedNode starts a node's process; door is the listening socket for clients that it inherits, or nil.
func startLimitedNode(t *testing.T, sockets int, mode, listen, discovery, dir string, door *os.File, servers []string,
	more ...string,
) *limitedNode {
	t.Helper()
	c := &limitedNode{adminAddress: freeAddress(t), logPath: filepath.Join(t.TempDir(), "log")}
	text := strings.NewReplacer(`"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"`,
		fmt.Sprintf(`"listen":%q,"discovery":%q`, listen, discovery),
		`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets),
		`"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, mode),
		`"ask_within_us":10000000`, `"ask_within_us":1000000`,
		`"connect_timeout_us":75000`, `"connect_timeout_us":5000000`,
		`300000`, `20000000`, `100000`, `20000000`).Replace(config) // nothing here is about time
	from, to := strings.Index(text, `"known"`), strings.Index(text, `"settings"`)
	text = text[:from] + fmt.Sprintf(`"known":{"seq":1,"whole":true,"hosts":[%s]},`,
		listEntries("up", servers...)) + text[to:]
	node := nodeCommand(t, text, append([]string{"serve"}, more...)...)
	limit := fmt.Sprintf(`ulimit -n %d; exec "$@"`, sockets)
	c.Cmd = exec.Command("/bin/sh", append([]string{"-c", limit, "sh"}, node.Args...)...)
	c.Env = append(node.Env, "TMPDIR="+dir, "NODE_CONSOLE="+c.adminAddress)
	if door != nil {
		c.Env, c.ExtraFiles = append(c.Env, "NODE_INHERITED_FD=3"), []*os.File{door}
	}
	log, err := os.Create(c.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if c.Stderr = log; c.Start() != nil {
		t.Fatal("it does not start")
	}
	t.Cleanup(func() { killAndWait(c.Cmd) })
	eventually(t, "ready", func() bool { return requestStatus(c.adminAddress, "GET /ready") == 200 })
	return c
}

// stopAndCheckLog stops a process and checks by its log that it was never short of a descriptor.
func (c *limitedNode) stopAndCheckLog(t *testing.T) {
	t.Helper()
	sendSignal(t, c.Cmd, syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	said, err := os.ReadFile(c.logPath)
	if err != nil {
		t.Fatal(err)
	}
	short, first := 0, ""
	for line := range strings.Lines(string(said)) {
		if strings.Contains(line, "too many open files") {
			if short++; short == 1 {
				first = line
			}
		}
	}
	if short > 0 {
		t.Errorf("short of a descriptor %d times, first: %s", short, first)
	}
	if !strings.Contains(string(said), `"attempts not sent":0,`) {
		t.Errorf("attempts found no descriptor: %s", said[strings.LastIndex(string(said), `"attempts sent"`):])
	}
}

// concurrently makes a number of requests at once and reports those that were not answered 200.
func checkConcurrentRequests(t *testing.T, many int, ask func(i int) (what string, status int)) {
	t.Helper()
	var done sync.WaitGroup
	for i := range many {
		done.Go(func() {
			if what, status := ask(i); status != 200 {
				t.Errorf("%s among idle clients: %d", what, status)
			}
		})
	}
	done.Wait()
}

// sendViewRequest makes one request on a connection of its own.
func sendViewRequest(at, id string) (string, int) {
	return "a request", requestStatus(at, "GET /view HTTP/1.1\r\nX-Txn: "+id+"\r\nX-Rest:")
}

var adminCalls = []string{
	"PUT /servers/disable?target=s-1",
	"GET /ready",
	"PUT /servers/enable?target=s-1",
	"GET /ready",
}

// Twice as many idle clients as there are descriptors, which reconnect at once, leave descriptors for the list watch,
// for each attempt and for admin calls: while the discovery service is down, when it is back, and afterwards.
func TestDescriptorsSufficeAmongIdleClients(t *testing.T) {
	for _, c := range []struct {
		sockets, requests, calls int // the last two at once
		mode                     string
		state                    bool
		most                     int64 // connections that each server takes
		after                    time.Duration
	}{
		{32, 2, 2, "ask", false, 64, 0},
		{64, 8, 4, "ask", true, 64, 0},
		{64, 8, 4, "push", false, 64, 0},
		{64, 4, 4, "ask", true, 4, 0},
		{256, 90, 4, "push", true, 64, 200 * time.Millisecond},
		{1024, 16, 4, "ask", true, 64, 0},
	} {
		t.Run(fmt.Sprintf("%d, %s, servers of %d", c.sockets, c.mode, c.most), func(t *testing.T) {
			var servers []string
			for range 30 {
				servers = append(servers, startUpstream(t, c.most, c.after))
			}
			listen, discovery := freeAddress(t), freeAddress(t)
			var more []string
			if c.state {
				more = []string{"--state", filepath.Join(t.TempDir(), "state")}
			}
			node := startLimitedNode(t, c.sockets, c.mode, listen, discovery, t.TempDir(), nil, servers, more...)
			clients := startIdleClients(t, listen, 2*c.sockets)
			eventually(t, "the node closes idle clients", func() bool {
				return clients.closedByNode.Load() > int64(c.sockets)
			})
			rounds := func(name string) {
				for k := range 5 {
					checkConcurrentRequests(t, c.requests, func(i int) (string, int) {
						return sendViewRequest(listen, fmt.Sprintf("%s-%d-%d", name, k, i))
					})
					checkConcurrentRequests(t, c.calls, func(i int) (string, int) {
						return adminCalls[i], requestStatus(node.adminAddress, adminCalls[i])
					})
				}
			}
			rounds("down")
			back, err := net.Listen("tcp", discovery)
			if err != nil {
				t.Fatal(err)
			}
			defer back.Close()
			var watches atomic.Int64
			serveHTTP(back, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				writef(w, `{"seq":2,"whole":true,"hosts":[%s]}`+"\n", listEntries("up", servers...))
				w.(http.Flusher).Flush()
				watches.Add(1)
				<-r.Context().Done()
			}))
			eventually(t, "a call for the list", func() bool { return watches.Load() > 0 })
			rounds("back")
			if status := requestStatus(node.adminAddress, "PUT /drain"); status != 200 {
				t.Errorf("a drain among idle clients: %d", status)
			}
			if status := requestStatus(node.adminAddress, "PUT /undrain"); status != 200 {
				t.Errorf("its end: %d", status)
			}
			clients.disconnect()
			node.stopAndCheckLog(t)
		})
	}
}

// Two processes of a node, at an upgrade among idle clients, hold no more descriptors together than the node may have.
func TestUpgradeSharesDescriptorLimit(t *testing.T) {
	for _, sockets := range []int{64, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			var servers []string
			for range 4 {
				servers = append(servers, startUpstream(t, 64, 0))
			}
			door, held := inheritedListener(t)
			dir, listen := t.TempDir(), door.Addr().String()
			old := startLimitedNode(t, sockets, "ask", listen, "127.0.0.1:1", dir, held, servers)
			clients := startIdleClients(t, listen, 2*sockets)
			eventually(t, "the node closes idle clients", func() bool {
				return clients.closedByNode.Load() > int64(sockets)
			})
			checkConcurrentRequests(t, 4, func(i int) (string, int) { return sendViewRequest(listen, fmt.Sprint("old", i)) })
			fresh := startLimitedNode(t, sockets, "ask", listen, "127.0.0.1:1", dir, held, servers)
			most := 0
			for k := range 10 {
				checkConcurrentRequests(t, 4, func(i int) (string, int) {
					return sendViewRequest(listen, fmt.Sprintf("both-%d-%d", k, i))
				})
				for _, one := range []*limitedNode{old, fresh} {
					if status := requestStatus(one.adminAddress, "GET /ready"); status != 200 {
						t.Errorf("readiness among idle clients: %d", status)
					}
				}
				most = max(most, openDescriptors(old.Process.Pid)+openDescriptors(fresh.Process.Pid))
			}
			t.Logf("%d descriptors together, of %d", most, sockets)
			if most > sockets {
				t.Errorf("%d descriptors together, of %d", most, sockets)
			}
			old.stopAndCheckLog(t)
			checkConcurrentRequests(t, 4, func(i int) (string, int) { return sendViewRequest(listen, fmt.Sprint("fresh", i)) })
			clients.disconnect()
			fresh.stopAndCheckLog(t)
		})
	}
}
