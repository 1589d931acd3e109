package sockstate

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// writeText writes to a connection. Errors are ignored, because the tests check the state of the other end.
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

// TestStateOfConnection checks PeerClosed and Peek for connections that are idle, have unread bytes, or are closed in
// several ways: a close is detected while there are unread bytes, and no byte is consumed.
func TestStateOfConnection(t *testing.T) {
	for name, c := range map[string]struct {
		prepare    func(peer, own net.Conn)
		wantClosed bool
		n          int
		err        error
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
		"closed after more bytes than the kernel buffers": {
			func(peer, _ net.Conn) {
				go func() {
					writeText(peer, string(make([]byte, 8<<20)))
					peer.Close()
				}()
			}, false, 1, nil,
		},
		"half-closed locally only": {func(_, own net.Conn) { own.(*net.TCPConn).CloseWrite() }, false, -1, syscall.EAGAIN},
	} {
		t.Run(name, func(t *testing.T) {
			peer, own := connect(t)
			c.prepare(peer, own)
			stateReached := func() bool {
				if PeerClosed(own) != c.wantClosed {
					return false
				}
				if c.n != 1 {
					return true
				}
				n, _ := Peek(own)
				return n == 1
			}
			for deadline := time.Now().Add(5 * time.Second); !stateReached() && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if n, err := Peek(own); PeerClosed(own) != c.wantClosed || n != c.n || !errors.Is(err, c.err) {
				t.Errorf("got PeerClosed %t, Peek %d, %v; want %t, %d, %v", PeerClosed(own), n, err, c.wantClosed, c.n, c.err)
			}
			own.Close()
			if !PeerClosed(own) {
				t.Error("a locally closed connection: got PeerClosed false, want true")
			}
		})
	}
}

func TestConnWithoutSocketIsOpenAndIdle(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	if n, err := Peek(local); PeerClosed(local) || n > 0 || !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("got PeerClosed %t, Peek %d, %v; want false, no bytes and EAGAIN", PeerClosed(local), n, err)
	}
}

func TestQueueLengths(t *testing.T) {
	peer, own := connect(t)
	if unread := UnreadBytes(own); unread != 0 {
		t.Errorf("got %d unread bytes of an idle connection, want 0", unread)
	}
	writeText(peer, "xyz")
	for deadline := time.Now().Add(5 * time.Second); UnreadBytes(own) != 3 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if unread, unacknowledged := UnreadBytes(own), UnacknowledgedBytes(peer); unread != 3 || unacknowledged != 0 {
		t.Errorf("got %d unread and %d unacknowledged bytes, want 3 and 0", unread, unacknowledged)
	}
	tooMuch := make([]byte, 64<<20) // more than the kernel buffers
	peer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if written, err := peer.Write(tooMuch); written == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %d bytes written, error %v, want some and a timeout", written, err)
	}
	if unacknowledged := UnacknowledgedBytes(peer); unacknowledged == 0 {
		t.Error("got no unacknowledged bytes to a peer that does not read, want some")
	}
	own.Close()
	local, remote := net.Pipe()
	defer remote.Close()
	for name, conn := range map[string]net.Conn{"closed": own, "not a socket": local} {
		if unread, unacknowledged := UnreadBytes(conn), UnacknowledgedBytes(conn); unread != 0 || unacknowledged != 0 {
			t.Errorf("%s: got %d unread and %d unacknowledged bytes, want 0 and 0", name, unread, unacknowledged)
		}
	}
}

// Guards against a sending side whose peer seems ready to take in more than it is, or whose state is not known.
func TestSendShowsWhatThePeerHasNotTakenIn(t *testing.T) {
	peer, own := connect(t)
	before := Send(own)
	if before.Unacknowledged != 0 || before.PeerWindow == 0 || before.RoundTrip == 0 {
		t.Errorf("got %+v of an idle connection, want a window, a round trip and no bytes", before)
	}
	own.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if written, err := own.Write(make([]byte, 64<<20)); written == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %d bytes written, error %v, want some and a timeout", written, err)
	}
	if full := Send(own); full.Unacknowledged == 0 || full.PeerWindow >= before.PeerWindow {
		t.Errorf("got %+v beside a peer that does not read, want unacknowledged bytes and a narrower window", full)
	}
	peer.Close()
	local, remote := net.Pipe()
	defer remote.Close()
	if state := Send(local); state != (SendState{}) {
		t.Errorf("got %+v without a socket, want nothing", state)
	}
}
