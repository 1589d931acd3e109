package sockstate

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// An end is known before anybody reads to it, and what has come is known and still there.
func TestWhatTheMachineKnows(t *testing.T) {
	for name, c := range map[string]struct {
		peer  func(c *net.TCPConn)
		ended bool
		n     int
		err   error
	}{
		"quiet":                       {func(*net.TCPConn) {}, false, -1, syscall.EAGAIN},
		"has come":                    {func(c *net.TCPConn) { io.WriteString(c, "xyz") }, false, 1, nil},
		"closed":                      {func(c *net.TCPConn) { c.Close() }, true, 0, nil},
		"half-closed":                 {func(c *net.TCPConn) { c.CloseWrite() }, true, 0, nil},
		"closed behind bytes":         {func(c *net.TCPConn) { io.WriteString(c, "xyz"); c.Close() }, true, 1, nil},
		"reset":                       {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true, -1, syscall.ECONNRESET},
		"behind more than is taken":   {func(c *net.TCPConn) { go func() { c.Write(make([]byte, 8<<20)); c.Close() }() }, false, 1, nil},
		"half-closed here, not there": {nil, false, -1, syscall.EAGAIN},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peer, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		own, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if l.Close(); c.peer != nil {
			c.peer(peer.(*net.TCPConn))
		} else {
			own.(*net.TCPConn).CloseWrite()
		}
		come := func() bool { n, _ := Peek(own); return n == 1 }
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && (Ended(own) != c.ended || c.n == 1 && !come()); {
			time.Sleep(time.Millisecond)
		}
		if n, err := Peek(own); Ended(own) != c.ended || n != c.n || err != c.err {
			t.Errorf("%s: ended %t, %d bytes, %v", name, Ended(own), n, err)
		}
		if own.Close(); !Ended(own) {
			t.Errorf("%s: closed here, and not ended", name)
		}
		peer.Close()
	}
	near, far := net.Pipe()
	defer far.Close()
	if n, err := Peek(near); Ended(near) || n > 0 || err != syscall.EAGAIN {
		t.Error("what is no socket has ended, or has something")
	}
}
