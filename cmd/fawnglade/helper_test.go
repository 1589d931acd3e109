package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"fawnglade/internal/store"
)

// writeText writes to a peer that may have gone; what it answers shows that.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// writef is writeText with a format.
func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// kill ends a process that may have ended by itself.
func killProcess(c *exec.Cmd) { _ = c.Process.Kill() }

// killAndWait ends a process and returns once it has ended; how it ended is of no interest.
func killAndWait(c *exec.Cmd) {
	killProcess(c)
	_ = c.Wait()
}

func sendSignal(t *testing.T, c *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := c.Process.Signal(signal); err != nil {
		t.Errorf("%v: %v", signal, err)
	}
}

// serveHTTP serves until the listener is closed.
func serveHTTP(listener net.Listener, handler http.Handler) {
	go func() { _ = http.Serve(listener, handler) }()
}

func putValue(t *testing.T, s *store.Store, key string, value []byte) {
	t.Helper()
	if err := s.Put(key, value); err != nil {
		t.Fatal(err)
	}
}

// requestStatus makes one request of an admin API or a node and returns the status; 0 is no response.
func requestStatus(console, text string) int {
	c, err := net.Dial("tcp", console)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	writef(c, "%s HTTP/1.1\r\nHost: c\r\n\r\n", text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

// eventually waits until a condition holds, for up to 10 s.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never happened: %s", what)
		}
	}
}

// inheritedListener is the listening socket for clients as the platform opens it, and the file that a process inherits.
func inheritedListener(t *testing.T) (net.Listener, *os.File) {
	t.Helper()
	door, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	held, err := door.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	return door, held
}

// startTCPServer serves each connection to a new address until the test ends, and returns the address.
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
