package node

// A connection with its read buffer. The buffer grows as a message head needs, is compacted in place, and is released
// once it is large and empty.

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"fawnglade/internal/sockstate"
)

const (
	initialBufferBytes = 2 << 10
	maxIdleBufferBytes = 16 << 10 // an idle connection keeps no larger buffer
)

// bufferedConn is a connection with its read buffer. One goroutine reads at a time; writes, deadlines, hasInput,
// closedByPeer and lastReadAt may be used beside it.
type bufferedConn struct {
	net.Conn
	buf        []byte
	start, end int          // buf[start:end] has been read and not consumed
	pacer      *readPacer   // nil unless a body is being read whose progress is measured
	readErr    error        // of the last read that the connection itself failed
	lastReadAt atomic.Int64 // Unix time in nanoseconds at which bytes came last; 0: never
}

func newBufferedConn(conn net.Conn) *bufferedConn { return &bufferedConn{Conn: conn} }

// buffered returns what has been read and not consumed. It is valid until the next read.
func (c *bufferedConn) buffered() []byte { return c.buf[c.start:c.end] }

// discardBuffered consumes all that is buffered.
func (c *bufferedConn) discardBuffered() { c.start = c.end }

// readOnce reads once from the connection itself, within the pacer's time if there is one. It returns at least one
// byte or an error, which it keeps in readErr.
func (c *bufferedConn) readOnce(p []byte) (int, error) {
	if c.pacer != nil {
		if err := c.pacer.begin(c.Conn); err != nil {
			c.readErr = err
			return 0, err
		}
	}
	n, err := c.Read(p)
	if c.pacer != nil {
		c.pacer.end(n)
	}
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
		return n, nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	c.readErr = err
	return 0, err
}

// fill reads once into the buffer, after making room.
func (c *bufferedConn) fill() error {
	c.shrink()
	if c.end == len(c.buf) {
		c.makeRoom()
	}
	n, err := c.readOnce(c.buf[c.end:])
	c.end += n
	return err
}

// makeRoom compacts a full buffer, or grows one that is full from its beginning.
func (c *bufferedConn) makeRoom() {
	if c.start > 0 {
		c.end = copy(c.buf, c.buffered())
		c.start = 0
		return
	}
	size := min(2*len(c.buf), len(c.buf)+maxIdleBufferBytes)
	grown := make([]byte, max(initialBufferBytes, size))
	copy(grown, c.buf[:c.end])
	c.buf = grown
}

// shrink resets an empty buffer and releases a large one. Guards against a burst of large messages whose buffers would
// be held as long as their connections are.
func (c *bufferedConn) shrink() {
	if c.start < c.end {
		return
	}
	c.start, c.end = 0, 0
	if len(c.buf) > maxIdleBufferBytes {
		c.buf = nil
	}
}

// connReader reads what is buffered on a connection and then on from the connection.
type connReader struct{ *bufferedConn }

func (r connReader) Read(p []byte) (int, error) {
	if r.start < r.end {
		n := copy(p, r.buffered())
		r.start += n
		return n, nil
	}
	return r.readOnce(p)
}

// closeWriteAndDrain ends the sending side and waits up to closeLinger for the peer to close. Guards against a reset that
// would discard what was sent to a peer that is still sending. The caller closes the connection.
func (c *bufferedConn) closeWriteAndDrain() {
	c.closeWrite()
	c.SetReadDeadline(time.Now().Add(closeLinger))
	for {
		c.discardBuffered()
		if c.fill() != nil {
			return
		}
	}
}

// closeWrite ends the sending side, if the connection can be half-closed.
func (c *bufferedConn) closeWrite() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// abort resets the connection, so that its peer sees that what it was sent is incomplete, also where the end of the
// connection would be the end of the message.
func (c *bufferedConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// isReusable reports that the peer has neither closed the connection nor sent anything that was not asked for. Guards
// against late responses and against a connection that a restarted upstream no longer knows.
func (c *bufferedConn) isReusable() bool {
	_, err := sockstate.Peek(c.Conn)
	return len(c.buffered()) == 0 && errors.Is(err, syscall.EAGAIN)
}

// hasInput reports whether the kernel holds bytes that have not been read yet. It may be called beside a read.
func (c *bufferedConn) hasInput() bool {
	n, err := sockstate.Peek(c.Conn)
	return n > 0 && err == nil
}

// closedByPeer reports whether the peer has ended its side, also where unread bytes precede the end. It may be called
// beside reads and writes. A peer that has only shut down its sending side looks the same: the protocol counts a client
// that closes as gone, and only a write would show the difference.
func (c *bufferedConn) closedByPeer() bool { return sockstate.Ended(c.Conn) }
