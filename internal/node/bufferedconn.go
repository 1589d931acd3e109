package node

// A connection with a read buffer. The buffer grows until it holds a complete message head, is compacted in place, and
// is released when it is empty and larger than maxIdleBufferBytes.

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
	maxIdleBufferBytes = 16 << 10 // a larger buffer is released when it is empty
)

// bufferedConn is a connection with a read buffer. Only one goroutine may read at a time; writing, setting deadlines,
// hasInput, closedByPeer, receivedBytes and lastReadAt are safe concurrently with a read.
type bufferedConn struct {
	net.Conn
	memory        *memoryBudget // for what buf has beyond initialBufferBytes
	growsAlways   bool          // buf grows even if the budget is used up
	reserved      int           // bytes of the budget
	buf           []byte
	start, end    int          // buf[start:end] has been read from the connection and not consumed
	pacer         *readPacer   // enforces progress while a body is read; nil otherwise
	readErr       error        // error of the last failed read from the connection
	receivedBytes atomic.Int64 // read from the connection so far
	lastReadAt    atomic.Int64 // Unix time in nanoseconds of the last read that returned bytes; 0 if none has
}

// errNoBufferMemory means that the buffer is full and there is no memory to let it grow.
var errNoBufferMemory = errors.New("no memory for the buffer of a connection")

// newBufferedConn returns a connection whose buffer takes its memory from a budget; nil: without a limit.
func newBufferedConn(conn net.Conn, memory *memoryBudget) *bufferedConn {
	return &bufferedConn{Conn: conn, memory: memory}
}

// buffered returns the bytes that have been read and not consumed. The slice is valid until the next read.
func (c *bufferedConn) buffered() []byte { return c.buf[c.start:c.end] }

// inputOffset returns how many bytes of the connection's input have been consumed.
func (c *bufferedConn) inputOffset() int64 { return c.receivedBytes.Load() - int64(len(c.buffered())) }

// discardBuffered consumes all buffered bytes.
func (c *bufferedConn) discardBuffered() { c.start = c.end }

// readOnce reads once from the connection, bypassing the buffer and subject to the pacer if there is one. It returns
// either at least one byte or an error, which it also stores in readErr.
func (c *bufferedConn) readOnce(p []byte) (int, error) {
	if c.pacer != nil {
		if err := c.pacer.beginRead(c.Conn); err != nil {
			c.readErr = err
			return 0, err
		}
	}
	n, err := c.Read(p)
	if c.pacer != nil {
		c.pacer.endRead(n)
	}
	if n > 0 {
		c.receivedBytes.Add(int64(n))
		c.lastReadAt.Store(time.Now().UnixNano())
		return n, nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	c.readErr = err
	return 0, err
}

// fill reads once from the connection into the buffer, making room first if it is full. It returns errNoBufferMemory if
// there is no memory for that.
func (c *bufferedConn) fill() error {
	c.shrink()
	if c.end == len(c.buf) && !c.makeRoom() {
		return errNoBufferMemory
	}
	n, err := c.readOnce(c.buf[c.end:])
	c.end += n
	return err
}

// makeRoom compacts a full buffer, or grows it if nothing in it has been consumed. It reports whether there is room.
func (c *bufferedConn) makeRoom() bool {
	if c.start > 0 {
		c.end = copy(c.buf, c.buffered())
		c.start = 0
		return true
	}
	size := min(2*len(c.buf), len(c.buf)+maxIdleBufferBytes)
	size = max(initialBufferBytes, size)
	missing := size - initialBufferBytes - c.reserved
	if missing > 0 && !c.growsAlways && !c.memory.reserve(missing) {
		return false
	}
	if missing > 0 && c.growsAlways {
		c.memory.force(missing)
	}
	c.reserved = max(c.reserved, size-initialBufferBytes)
	grown := make([]byte, size)
	copy(grown, c.buf[:c.end])
	c.buf = grown
	return true
}

// replaceBuffer replaces the buffer by one that holds unread bytes only.
func (c *bufferedConn) replaceBuffer(unread []byte) {
	c.releaseBuffer()
	c.buf = unread
	c.end = len(unread)
	c.reserved = max(0, len(unread)-initialBufferBytes)
	c.memory.force(c.reserved)
}

// releaseBuffer releases the buffer with what it holds. The reader calls it before the connection ends.
func (c *bufferedConn) releaseBuffer() {
	c.memory.release(c.reserved)
	c.reserved = 0
	c.buf = nil
	c.start, c.end = 0, 0
}

// shrink resets an empty buffer and releases it if it is large, or if it has grown and memory is scarce. Otherwise the
// buffers of a burst of large messages would stay allocated as long as their connections are open.
func (c *bufferedConn) shrink() {
	if c.start < c.end {
		return
	}
	c.start, c.end = 0, 0
	if len(c.buf) > maxIdleBufferBytes || c.reserved > 0 && c.memory.isScarce() {
		c.releaseBuffer()
	}
}

// connReader reads the buffered bytes of a connection first and then from the connection itself.
type connReader struct{ *bufferedConn }

func (r connReader) Read(p []byte) (int, error) {
	if r.start < r.end {
		n := copy(p, r.buffered())
		r.start += n
		return n, nil
	}
	r.shrink()
	return r.readOnce(p)
}

// closeWriteAndDrain closes the sending side, then discards input for up to closeLinger until the peer closes. Closing
// with unread input would make the kernel send a reset, which can discard the response at the peer. The caller closes
// the connection.
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

// closeWrite closes the sending side if the connection is a TCP connection.
func (c *bufferedConn) closeWrite() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// abort closes the connection with a reset. The peer then recognizes an incomplete message even if the end of the
// connection would delimit it.
func (c *bufferedConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// idleState reports whether an idle connection may carry another request, which is so if the peer has neither closed it
// nor sent unsolicited bytes, such as a late response; and whether there are such bytes. After a restart of an upstream
// its connection is closed or reset.
func (c *bufferedConn) idleState() (reusable, hasInput bool) {
	n, err := sockstate.Peek(c.Conn)
	hasInput = len(c.buffered()) > 0 || n > 0 && err == nil
	return !hasInput && errors.Is(err, syscall.EAGAIN), hasInput
}

// hasInput reports whether the kernel's receive buffer holds unread bytes. It may be called concurrently with a read.
func (c *bufferedConn) hasInput() bool {
	n, err := sockstate.Peek(c.Conn)
	return n > 0 && err == nil
}

// closedByPeer reports whether the peer has closed its sending side, even if unread bytes precede the end. It may be
// called concurrently with reads and writes. It can't distinguish a half-close from a full close, which only a write
// would show; the protocol treats a half-close by a client as a disconnect.
func (c *bufferedConn) closedByPeer() bool { return sockstate.PeerClosed(c.Conn) }
