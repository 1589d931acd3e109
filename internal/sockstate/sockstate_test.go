package sockstate

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// writeText writes to a peer whose state then shows whether that succeeded.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (peer, own net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted
}

// An end is known before anybody reads to it, and what has come is known and still there.
func TestStateOfConnection(t *testing.T) {
	for name, c := range map[string]struct {
		act   func(peer, own net.Conn)
		ended bool
		n     int
		err   error
	}{
		"quiet":       {func(_, _ net.Conn) {}, false, -1, syscall.EAGAIN},
		"has input":   {func(peer, _ net.Conn) { writeText(peer, "xyz") }, false, 1, nil},
		"closed":      {func(peer, _ net.Conn) { peer.Close() }, true, 0, nil},
		"half-closed": {func(peer, _ net.Conn) { peer.(*net.TCPConn).CloseWrite() }, true, 0, nil},
		"closed after bytes": {
			func(peer, _ net.Conn) {
				writeText(peer, "xyz")
				peer.Close()
			}, true, 1, nil,
		},
		"reset": {
			func(peer, _ net.Conn) {
				peer.(*net.TCPConn).SetLinger(0)
				peer.Close()
			}, true, -1, syscall.ECONNRESET,
		},
		"closed after more than the kernel takes in": {
			func(peer, _ net.Conn) {
				go func() {
					writeText(peer, string(make([]byte, 8<<20)))
					peer.Close()
				}()
			}, false, 1, nil,
		},
		"half-closed here, not there": {func(_, own net.Conn) { own.(*net.TCPConn).CloseWrite() }, false, -1, syscall.EAGAIN},
	} {
		t.Run(name, func(t *testing.T) {
			peer, own := connect(t)
			c.act(peer, own)
			reached := func() bool {
				if PeerClosed(own) != c.ended {
					return false
				}
				if c.n != 1 {
					return true
				}
				n, _ := Peek(own)
				return n == 1
			}
			for deadline := time.Now().Add(5 * time.Second); !reached() && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if n, err := Peek(own); PeerClosed(own) != c.ended || n != c.n || !errors.Is(err, c.err) {
				t.Errorf("ended %t, %d bytes, %v", PeerClosed(own), n, err)
			}
			own.Close()
			if !PeerClosed(own) {
				t.Error("closed here, and not ended")
			}
		})
	}
}

func TestConnWithoutSocketIsOpenAndIdle(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	if n, err := Peek(near); PeerClosed(near) || n > 0 || !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("ended %t, %d bytes, %v", PeerClosed(near), n, err)
	}
}
