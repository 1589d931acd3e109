package node

// This file owns a connection's one buffer: it grows as a head needs, is compacted in place and given back when
// large and empty. It reads the heads of messages and hands out readers of their bodies; it must never know what they are
// for, nor keep one after handing it out.

import (
	"bufio"
	"bytes"
	"errors"
	"fawnglade/internal/sockstate"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	initialBuffer = 2 << 10
	maxIdleBuffer = 16 << 10 // an idle connection keeps no more
	maxHeadBytes  = 16 << 10
)

var (
	errHeadTooLong = errors.New("head longer than 16 KiB")
	errBodyTooLong = errors.New("body longer than 40 MiB")
	errMalformed   = errors.New("malformed message")
	errFraming     = errors.New("a body whose length cannot be told")
)

type bufferedConn struct {
	net.Conn
	buf        []byte
	start, end int
	pacer      *readPacer   // of the body that is being read, where progress is the measure
	readErr    error        // of the last read that the connection itself failed
	lastReadAt atomic.Int64 // when bytes came last
}

func newBufferedConn(c net.Conn) *bufferedConn { return &bufferedConn{Conn: c} }

func (c *bufferedConn) buffered() []byte { return c.buf[c.start:c.end] }

// readOnce reads once from the connection itself.
func (c *bufferedConn) readOnce(p []byte) (int, error) {
	if c.pacer != nil {
		if err := c.pacer.begin(c.Conn); err != nil {
			c.readErr = err
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
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

// fill reads once, after making room.
func (c *bufferedConn) fill() error {
	c.shrink()
	if c.end == len(c.buf) {
		switch {
		case c.start > 0:
			c.end = copy(c.buf, c.buffered())
			c.start = 0
		default:
			grown := make([]byte, max(initialBuffer, min(2*len(c.buf), len(c.buf)+maxIdleBuffer)))
			copy(grown, c.buf[:c.end])
			c.buf = grown
		}
	}
	n, err := c.readOnce(c.buf[c.end:])
	c.end += n
	return err
}

// shrink starts an empty buffer anew and gives back a large one, against a burst of large messages held for good.
func (c *bufferedConn) shrink() {
	if c.start < c.end {
		return
	}
	if c.start, c.end = 0, 0; len(c.buf) > maxIdleBuffer {
		c.buf = nil
	}
}

// connReader reads what is pending on a connection and then on from the connection.
type connReader struct{ *bufferedConn }

func (r connReader) Read(p []byte) (int, error) {
	if r.start < r.end {
		n := copy(p, r.buffered())
		r.start += n
		return n, nil
	}
	return r.readOnce(p)
}

var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// message is one whose head has been read and whose body may still be coming.
type message struct {
	conn   *bufferedConn
	reader *bufio.Reader
	body   io.Reader
	length int64 // -1: the body itself tells where it ends
}

// readHead collects a head and hands it to parse, which returns the body and how long it is.
func (c *bufferedConn) readHead(parse func(*bufio.Reader) (body io.Reader, length int64, err error)) (*message, error) {
	for seen := 0; !headEnds(c.buffered(), seen); {
		if seen = max(0, len(c.buffered())-3); len(c.buffered()) > maxHeadBytes {
			return nil, errHeadTooLong
		}
		if err := c.fill(); err != nil {
			return nil, err
		}
	}
	m := &message{conn: c, reader: headReaders.Get().(*bufio.Reader)}
	m.reader.Reset(connReader{c})
	c.readErr = nil
	var err error
	if m.body, m.length, err = parse(m.reader); err != nil {
		m.end()
		return nil, errors.Join(errMalformed, err)
	}
	if m.length > maxBodyBytes {
		m.end()
		return nil, errBodyTooLong
	}
	return m, nil
}

// end gives back what was read beyond the message. The message is not to be used any more.
func (m *message) end() {
	if m.reader == nil {
		return
	}
	if beyond, _ := m.reader.Peek(m.reader.Buffered()); len(beyond) > 0 {
		b := append(append(make([]byte, 0, len(beyond)+len(m.conn.buffered())), beyond...), m.conn.buffered()...)
		m.conn.buf, m.conn.start, m.conn.end = b, 0, len(b)
	}
	m.reader.Reset(nil)
	headReaders.Put(m.reader)
	m.reader = nil
}

// Read reads on in the body. What the connection failed is told as such; any other error is the body's own.
func (m *message) Read(p []byte) (int, error) {
	n, err := m.body.Read(p)
	switch {
	case err == nil, err == io.EOF:
	case m.conn.readErr != nil:
		err = m.conn.readErr
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	default:
		err = errors.Join(errMalformed, err)
	}
	return n, err
}

// readUpTo reads up to a number of bytes of the body behind those that are there, and tells whether that was all of it.
func (m *message) readUpTo(b []byte, most int) (all []byte, whole bool, err error) {
	if m.length >= 0 && cap(b) == 0 {
		b = make([]byte, 0, min(m.length, int64(most)))
	}
	for whole = int64(len(b)) == m.length; !whole && err == nil && len(b) < most; {
		b, whole, err = m.readMore(b, most)
	}
	return b, whole, err
}

// readMore reads once.
func (m *message) readMore(b []byte, most int) (all []byte, whole bool, err error) {
	if len(b) == cap(b) {
		b = append(b, 0)[:len(b)]
	}
	n, err := m.Read(b[len(b):min(cap(b), most)])
	b = b[:len(b)+n]
	if err == io.EOF || err == nil && int64(len(b)) == m.length {
		return b, true, nil
	}
	return b, false, err
}

func headEnds(b []byte, seen int) bool {
	b = b[min(seen, len(b)):]
	return bytes.Contains(b, []byte("\n\r\n")) || bytes.Contains(b, []byte("\n\n"))
}

// lengthOf is how long a head says its body is.
func lengthOf(length int64, encoding []string) int64 {
	if len(encoding) > 0 {
		return -1
	}
	return length
}

// framing tells how often a head says how long its body is, and whether by an encoding. One that says it twice is nobody's
// to pass on: one reader may see a request where another sees a body. http.ReadRequest keeps quiet about it and drops the length
// beside an encoding, or the encoding where HTTP/1.0 knows none.
func framing(head []byte) (said int, encoded bool) {
	for line := range bytes.Lines(head) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			said++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			said, encoded = said+1, true
		}
	}
	return said, encoded
}

// expectsContinue tells that the sender waits for a word before it sends its body.
func expectsContinue(h http.Header) bool { return strings.EqualFold(h.Get("Expect"), "100-continue") }

// fromClient reads the head of a client's message, and tells one that holds its body back to go on, if it may say so now.
func (c *bufferedConn) readRequestHead(mayTell func() bool) (r *http.Request, m *message, err error) {
	for bytes.HasPrefix(c.buffered(), []byte("\r\n")) {
		c.start += 2 // an empty line before a message is nothing
	}
	m, err = c.readHead(func(in *bufio.Reader) (io.Reader, int64, error) {
		said, encoded := framing(c.buffered())
		if r, err = http.ReadRequest(in); err != nil {
			return nil, 0, err
		}
		if said > 1 || encoded && !r.ProtoAtLeast(1, 1) {
			return nil, 0, errFraming
		}
		return r.Body, lengthOf(r.ContentLength, r.TransferEncoding), nil
	})
	if err == nil && m.reader.Buffered()+len(c.buffered()) == 0 && m.length != 0 && expectsContinue(r.Header) && mayTell() {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	return r, m, err
}

// fromServer reads the head of a server's message, passing over interim ones.
func (c *bufferedConn) readResponseHead(to *http.Request) (r *http.Response, m *message, err error) {
	for {
		m, err = c.readHead(func(in *bufio.Reader) (io.Reader, int64, error) {
			if r, err = http.ReadResponse(in, to); err != nil {
				return nil, 0, err
			}
			if !allowsBody(to.Method) {
				return r.Body, 0, nil
			}
			return r.Body, lengthOf(r.ContentLength, r.TransferEncoding), nil
		})
		if err != nil || r.StatusCode >= 200 {
			return r, m, err
		}
		m.end()
	}
}

// closeGently ends the sending side and waits a moment for the peer to close, as closing on one that is still sending
// would throw away what it was sent.
func (c *bufferedConn) closeGently() {
	if half, ok := c.Conn.(*net.TCPConn); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(closeLinger))
	for c.start = c.end; c.fill() == nil; {
		c.start = c.end
	}
}

// isQuiet tells that the peer has neither closed the connection nor sent anything on it unasked. It guards against
// late answers and against a connection that a restarted server no longer knows.
func (c *bufferedConn) isQuiet() bool {
	_, err := c.peek()
	return c.start == c.end && err == syscall.EAGAIN
}

// hasInput tells whether something has come that nobody has read yet. It may be called beside a read.
func (c *bufferedConn) hasInput() bool {
	n, err := c.peek()
	return n > 0 && err == nil
}

// isEnded tells whether the peer has ended its side, also where bytes that nobody has read stand before the end. It may be called beside
// reads and writes. A peer that has only ended its sending looks the same: the pages have a client that closes gone, and nothing but
// a write would tell the two apart.
func (c *bufferedConn) closedByPeer() bool { return sockstate.Ended(c.Conn) }

// peek looks at what the machine holds for the connection, taking nothing.
func (c *bufferedConn) peek() (n int, err error) { return sockstate.Peek(c.Conn) }
