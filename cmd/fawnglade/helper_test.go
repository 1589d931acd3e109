package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"fawnglade/internal/store"
)

// writeText writes to a peer and ignores errors: if the peer has closed the connection, reading the response fails.
func writeText(peer io.Writer, text string) { _, _ = io.WriteString(peer, text) }

// writef is writeText with formatting.
func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// killProcess kills a process. It ignores the error if the process has exited already.
func killProcess(c *exec.Cmd) { _ = c.Process.Kill() }

// killAndWait kills a process and waits until it has exited, with any status.
func killAndWait(c *exec.Cmd) {
	killProcess(c)
	_ = c.Wait()
}

func sendSignal(t *testing.T, c *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := c.Process.Signal(signal); err != nil {
		t.Errorf("sending signal %v: got error %v", signal, err)
	}
}

// serveHTTP serves HTTP in the background until the listener is closed.
func serveHTTP(listener net.Listener, handler http.Handler) {
	go func() { _ = http.Serve(listener, handler) }()
}

func putValue(t *testing.T, s *store.Store, key string, value []byte) {
	t.Helper()
	if err := s.Put(key, value); err != nil {
		t.Fatal(err)
	}
}

// startProcess starts a node's process that listens at an address, and waits until it is ready. It ends with the test.
func startProcess(t *testing.T, config, listen string) {
	t.Helper()
	node := nodeCommand(t, config, "serve")
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killAndWait(node) })
	eventually(t, "ready", func() bool { return requestStatus(listen, "GET /ready") == http.StatusOK })
}

// requestStatus sends one request to an admin API or a node and returns the status, or 0 if there is no response.
func requestStatus(address, requestHead string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	writef(c, "%s HTTP/1.1\r\nHost: c\r\n\r\n", requestHead)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

// eventually polls until holds returns true, and fails the test after 10 s.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("after 10 s the condition is still not met: %s", condition)
		}
	}
}

// inheritedListener opens the listening socket for clients, as the platform does, and returns it with the file that a
// process inherits.
func inheritedListener(t *testing.T) (net.Listener, *os.File) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	listenerFile, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listenerFile.Close() })
	return listener, listenerFile
}

// startTCPServer listens on a new address until the test ends, and calls serve for each connection. It returns the
// address.
func startTCPServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}

const playConfigText = `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"%x",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"seq":1,"whole":true,"hosts":[%s]},"settings":{"discovery":"ask","limits":{"connect_timeout_us":200000,
"idle_close_us":5000000,"try_limit":3},"profiles":[%s],"quantum_us":2000,"report":{"how":"off"},
"rules":{"ask_within_us":10000000,"cold_from":0.2,"warm_within_us":20000000},"weights":"off","zone":0,"zones":["a"]}}`

// playConfig returns the configuration of a node with a random seed and the given classes.
func playConfig(listen, profiles string, upstreams ...string) string {
	return fmt.Sprintf(playConfigText, listen, rand.Uint64(), listEntries(upstreams...), profiles)
}
