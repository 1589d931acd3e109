package node

import (
	"encoding/json"
	"errors"
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

// newProcessFactory returns a function that makes processes of one node: they share a directory, an address and its
// socket.
func newProcessFactory(t *testing.T, servers ...string) (next func() *Node) {
	t.Helper()
	listener, err := net.Listen("tcp", unusedAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	dir := t.TempDir()
	return func() *Node {
		n := newNode(t, func(c *Config) {
			withAdmin(c)
			raw, err := listener.(*net.TCPListener).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			// A duplicate, as the node closes its descriptor; by Control, as File.Fd would switch the socket to blocking mode.
			var fd int
			controlErr := raw.Control(func(listenerFD uintptr) { fd, err = syscall.Dup(int(listenerFD)) })
			if err := errors.Join(err, controlErr); err != nil {
				t.Fatal(err)
			}
			c.filesDir, c.Listen, c.inheritedFD = dir, listener.Addr().String(), strconv.Itoa(fd)
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

// estimates returns the balancer's estimates as a successor would inherit them.
func (n *Node) estimates(t *testing.T) (snapshot estimates.Snapshot) {
	t.Helper()
	text := make(chan json.RawMessage, 1)
	n.loop.post(func() { text <- n.loop.encodeEstimates() })
	requireNoError(t, json.Unmarshal(<-text, &snapshot))
	return snapshot
}

// The successor inherits the predecessor's state and accepts all new connections; both together keep within one node's
// limits.
func TestSuccessorTakesOver(t *testing.T) {
	server, _ := startUpstream(t, echo)
	next := newProcessFactory(t)
	predecessor := next()
	predecessor.start()
	predecessor.postList(t, string(encodeList(7, []endpointEntry{{name: "s-7", address: server, EndpointInfo: activeEndpointInfo("s-7")}}, []string{"a"})))
	predecessor.postList(t, listText(8, false, listEntry("s-8", server, "up")))
	predecessor.postList(t, listText(9, false, listEntry("s-8", server, "removed")))
	eventually(t, "the list", func() bool { return predecessor.overrides.isKnown("s-8") })
	keptConn, keptIn := dial(t, predecessor)
	writeText(keptConn, requestText("batch", "t1", "a"))
	if status, _, _ := readResponse(keptIn); status != 200 {
		t.Fatalf("got status %d from the predecessor, want 200", status)
	}
	fullLimit := predecessor.maxUpstreamConns()
	successor := next()
	if successor.inherited == nil || !successor.overrides.isKnown("s-7") && len(successor.chooseInitialList().entries) != 1 {
		t.Fatalf("got inherited state %+v, want the predecessor's endpoint list", successor.inherited)
	}
	eventually(t, "the predecessor to release half of the limits", func() bool { return predecessor.maxUpstreamConns() < fullLimit })
	if total := predecessor.maxUpstreamConns() + successor.maxUpstreamConns(); total > fullLimit+1 {
		t.Errorf("got an upstream connection limit of %d for both processes, want at most one more than %d", total, fullLimit)
	}
	if successor.notReadyReason() == "" {
		t.Error("the successor is ready before it serves")
	}
	successor.start()
	eventually(t, "the successor to be ready", func() bool { return successor.adminCall(t, "GET /ready") == 200 })
	eventually(t, "the predecessor to stop accepting", predecessor.hotRestart.hasServingSuccessor)
	if !successor.overrides.isKnown("s-8") {
		t.Error("the successor does not know an endpoint that the predecessor had listed")
	}
	if snapshot := successor.estimates(t); !snapshot.Endpoints[uint32(endpointID("s-7"))].HasLatency || snapshot.MeanWork == 0 || snapshot.Classes[3].WorkSamples == 0 {
		t.Errorf("got estimates %+v, want the predecessor's, with latency and work", snapshot)
	}
	acceptedBefore := predecessor.count(clientsAccepted)
	for i := range 30 {
		if status, _, _ := sendRequest(t, successor, "batch", fmt.Sprint("new", i), ""); status != 200 {
			t.Errorf("request %d on a new connection: got status %d, want 200", i, status)
		}
	}
	if predecessor.count(clientsAccepted) != acceptedBefore {
		t.Error("the predecessor still accepts new connections")
	}
	writeText(keptConn, requestText("batch", "t2", "a"))
	if r, err := http.ReadResponse(keptIn, nil); err != nil || r.StatusCode != 200 || !r.Close {
		t.Errorf("got %v, %v on a kept connection, want a response that closes it", r, err)
	}
	predecessor.shutDown()
	predecessor.hotRestart.closeSuccessor()
	eventually(t, "the successor to have the full limits", func() bool { return successor.maxUpstreamConns() == fullLimit })
	third := next()
	if third.inherited == nil {
		t.Error("a third process did not inherit from the second")
	}
}

// Guards against an upgrade whose failure takes the node down: the predecessor resumes accepting with the full limits.
func TestPredecessorResumesWhenSuccessorDies(t *testing.T) {
	server, _ := startUpstream(t, echo)
	next := newProcessFactory(t, server)
	predecessorNode := next()
	predecessorNode.start()
	fullLimit := predecessorNode.maxUpstreamConns()
	for _, ready := range []bool{false, true, true} {
		successor := next()
		eventually(t, "the predecessor to release half of the limits", func() bool { return predecessorNode.maxUpstreamConns() < fullLimit })
		if ready {
			successor.hotRestart.announceServing()
			eventually(t, "the predecessor to stop accepting", predecessorNode.hotRestart.hasServingSuccessor)
		}
		successor.hotRestart.close()
		successor.hotRestart.mu.Lock()
		successor.hotRestart.predecessor.Close()
		successor.hotRestart.mu.Unlock()
		successor.frontend.listener.Close()
		eventually(t, "the predecessor to accept again with the full limits", func() bool {
			return predecessorNode.maxUpstreamConns() == fullLimit && !predecessorNode.hotRestart.hasServingSuccessor()
		})
		for i := range 10 {
			if status, _, _ := sendRequest(t, predecessorNode, "batch", fmt.Sprint(ready, i, time.Now().UnixNano()), ""); status != 200 {
				t.Errorf("after the successor died: got status %d, want 200", status)
			}
		}
	}
}

// Guards against trusting whatever is at the predecessor's path, and against a start that it delays for long.
func TestInvalidPredecessorIsIgnored(t *testing.T) {
	for name, placeAt := range map[string]func(path string){
		"a file":   func(path string) { requireNoError(t, os.WriteFile(path, []byte("x"), 0o600)) },
		"a folder": func(path string) { requireNoError(t, os.Mkdir(path, 0o700)) },
		"unused socket file": func(path string) {
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
			placeAt(probe.hotRestart.path)
			began := time.Now()
			n := next()
			if n.inherited != nil || n.count(hotRestartsIgnored) != 1 || time.Since(began) > 2*hotRestartTimeout {
				t.Errorf("got inherited state %+v after %v and %d ignored hot restarts, want none within twice the timeout and 1", n.inherited, time.Since(began), n.count(hotRestartsIgnored))
			}
			n.start()
			eventually(t, "ready", func() bool { return n.adminCall(t, "GET /ready") == 200 })
		})
	}
}

// listenWithReply listens at a path and sends the same text on each connection.
func listenWithReply(t *testing.T, path, text string) {
	listenAt(t, "unix", path, func(c net.Conn) {
		if text != "close" {
			writeText(c, text)
			discard(c)
		}
	})
}

// requireNoError fails the test if its setup returned an error.
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
			t.Errorf("got error %v, want one line that contains %q", err, want)
		}
	}
}
