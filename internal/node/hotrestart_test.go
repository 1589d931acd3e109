package node

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"fawnglade/internal/estimates"
)

// processes makes processes of one node: they share a directory, an address and its socket.
func newProcessFactory(t *testing.T, servers ...string) (next func() *Node) {
	t.Helper()
	held, err := net.Listen("tcp", unusedAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	dir := t.TempDir()
	return func() *Node {
		n := newNode(t, func(c *Config) {
			withAdmin(c)
			file, err := held.(*net.TCPListener).File()
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			fd, err := syscall.Dup(int(file.Fd())) // the node's own, as it closes it
			if err != nil {
				t.Fatal(err)
			}
			c.filesDir, c.Listen, c.inheritedFD = dir, held.Addr().String(), strconv.Itoa(fd)
		}, servers...)
		t.Cleanup(n.hotRestart.close)
		return n
	}
}

func (n *Node) maxUpstreamConns() int {
	n.upstreams.mu.Lock()
	defer n.upstreams.mu.Unlock()
	return n.upstreams.maxOpen
}

// estimates are the estimates of the decisions, as a successor would get them.
func (n *Node) estimates(t *testing.T) (all estimates.Snapshot) {
	t.Helper()
	text := make(chan json.RawMessage, 1)
	n.loop.post(func() { text <- n.loop.encodeEstimates() })
	requireNoError(t, json.Unmarshal(<-text, &all))
	return all
}

// The successor has the predecessor's state, takes all new connections, and both keep within one node's limits.
func TestSuccessorTakesOver(t *testing.T) {
	server, _ := startUpstream(t, echo)
	next := newProcessFactory(t)
	old := next()
	old.start()
	old.postList(t, string(encodeList(7, []endpointEntry{{name: "s-7", address: server, EndpointInfo: activeEndpointInfo("s-7")}}, []string{"a"})))
	old.postList(t, listText(8, false, listEntry("s-8", server, "up")))
	old.postList(t, listText(9, false, listEntry("s-8", server, "removed")))
	eventually(t, "the list", func() bool { return old.overrides.isKnown("s-8") })
	kept, keptIn := dial(t, old)
	writeText(kept, requestText("batch", "t1", "a"))
	if status, _, _ := readResponse(keptIn); status != 200 {
		t.Fatalf("the old process answered %d", status)
	}
	alone := old.maxUpstreamConns()
	fresh := next()
	if fresh.inherited == nil || !fresh.overrides.isKnown("s-7") && len(fresh.chooseInitialList().entries) != 1 {
		t.Fatalf("the predecessor was not found, or has sent nothing: %+v", fresh.inherited)
	}
	eventually(t, "the old one has given up its half", func() bool { return old.maxUpstreamConns() < alone })
	if both := old.maxUpstreamConns() + fresh.maxUpstreamConns(); both > alone+1 {
		t.Errorf("both together may open %d connections to upstreams, one alone %d", both, alone)
	}
	if fresh.notReadyReason() == "" {
		t.Error("ready before it serves")
	}
	fresh.start()
	eventually(t, "the new one is ready", func() bool { return fresh.adminCall(t, "GET /ready") == 200 })
	eventually(t, "the old one has yielded", old.hotRestart.hasServingSuccessor)
	if !fresh.overrides.isKnown("s-8") {
		t.Error("a name that was listed once is not known any more")
	}
	if l := fresh.estimates(t); !l.Endpoints[uint32(endpointID("s-7"))].HasLatency || l.MeanWork == 0 || l.Classes[3].WorkSamples == 0 {
		t.Errorf("not the estimates of the predecessor: %+v", l)
	}
	taken := old.count(clientsAccepted)
	for i := range 30 {
		if status, _, _ := sendRequest(t, fresh, "batch", fmt.Sprint("new", i), ""); status != 200 {
			t.Errorf("request %d on a new connection was answered %d", i, status)
		}
	}
	if old.count(clientsAccepted) != taken {
		t.Error("the predecessor takes new connections")
	}
	writeText(kept, requestText("batch", "t2", "a"))
	if r, err := http.ReadResponse(keptIn, nil); err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("%v, %v on a kept connection, want a response that closes it", r, err)
	}
	old.shutDown()
	old.hotRestart.closeSuccessor()
	eventually(t, "the new one has the whole limits", func() bool { return fresh.maxUpstreamConns() == alone })
	third := next()
	if third.inherited == nil {
		t.Error("a third process does not find the second")
	}
}

// Guards against an upgrade whose failure ends the node.
func TestPredecessorResumesWhenSuccessorDies(t *testing.T) {
	server, _ := startUpstream(t, echo)
	next := newProcessFactory(t, server)
	old := next()
	old.start()
	alone := old.maxUpstreamConns()
	for _, ready := range []bool{false, true, true} {
		fresh := next()
		eventually(t, "half the limits", func() bool { return old.maxUpstreamConns() < alone })
		if ready {
			fresh.hotRestart.announceServing()
			eventually(t, "the old one yields", old.hotRestart.hasServingSuccessor)
		}
		fresh.hotRestart.close()
		fresh.hotRestart.mu.Lock()
		fresh.hotRestart.predecessor.Close()
		fresh.hotRestart.mu.Unlock()
		fresh.frontend.listener.Close()
		eventually(t, "all is as before", func() bool { return old.maxUpstreamConns() == alone && !old.hotRestart.hasServingSuccessor() })
		for i := range 10 {
			if status, _, _ := sendRequest(t, old, "batch", fmt.Sprint(ready, i, time.Now().UnixNano()), ""); status != 200 {
				t.Errorf("after the successor died a request was answered %d", status)
			}
		}
	}
}

// Whatever is at the predecessor's path is not trusted, and delays no start for long.
func TestInvalidPredecessorIsIgnored(t *testing.T) {
	for name, place := range map[string]func(path string){
		"a file":   func(path string) { requireNoError(t, os.WriteFile(path, []byte("x"), 0o600)) },
		"a folder": func(path string) { requireNoError(t, os.Mkdir(path, 0o700)) },
		"left over": func(path string) {
			l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path})
			requireNoError(t, err)
			l.SetUnlinkOnClose(false)
			l.Close()
		},
		"silent": func(path string) { listenWithReply(t, path, "") },
		"noise":  func(path string) { listenWithReply(t, path, "\x00\xff{{{\n") },
		"closes": func(path string) { listenWithReply(t, path, "close") },
		"another version": func(path string) {
			listenWithReply(t, path, `{"handover":9,"node":"x"}`+"\n")
		},
		"endless": func(path string) { listenWithReply(t, path, strings.Repeat("x", maxRestartState+2)) },
	} {
		t.Run(name, func(t *testing.T) {
			next := newProcessFactory(t)
			probe := next()
			place(probe.hotRestart.path)
			began := time.Now()
			n := next()
			if n.inherited != nil || n.count(hotRestartsIgnored) != 1 || time.Since(began) > 2*hotRestartTimeout {
				t.Errorf("took over %+v after %v, counted %d times", n.inherited, time.Since(began), n.count(hotRestartsIgnored))
			}
			n.start()
			eventually(t, "ready", func() bool { return n.adminCall(t, "GET /ready") == 200 })
		})
	}
}

// listenWithReply listens at a path and sends the same text to all.
func listenWithReply(t *testing.T, path, text string) {
	listenAt(t, "unix", path, func(c net.Conn) {
		if text != "close" {
			writeText(c, text)
			discard(c)
		}
	})
}

// check fails the test on an error of its preparation.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestAdminAddressesAreChecked(t *testing.T) {
	pipe, _, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	for want, change := range map[string]func(*Config){
		`console: expected an address and a port, got "here"`:         func(c *Config) { c.AdminListen = "here" },
		"console: expected another address than listen, got":          func(c *Config) { c.Listen = "127.0.0.1:9"; c.AdminListen = c.Listen },
		`NODE_INHERITED_FD: expected a descriptor's number, got "-1"`: func(c *Config) { c.inheritedFD = "-1" },
		`expected a descriptor's number, got "five"`:                  func(c *Config) { c.inheritedFD = "five" },
		"expected a listening socket, got descriptor 999999":          func(c *Config) { c.inheritedFD = "999999" },
		"expected a listening socket, got descriptor " + strconv.Itoa(int(pipe.Fd())): func(c *Config) {
			c.inheritedFD = strconv.Itoa(int(pipe.Fd()))
		},
	} {
		c := &Config{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: "1", Settings: []byte(settingsText)}
		change(c)
		if err := c.check(); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
