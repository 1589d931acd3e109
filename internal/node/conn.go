package node

// This file owns a connection's one buffer: it grows as a message needs, is compacted in place and given back when
// large and empty. It reads whole messages and must never know what they are for, nor keep one after handing it out.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	firstBuffer = 2 << 10
	keptBuffer  = 16 << 10 // an idle connection keeps no more
	maxHead     = 16 << 10
	maxBody     = 64 << 10
)

var (
	errHeadTooLong = errors.New("head longer than 16 KiB")
	errBodyTooLong = errors.New("body longer than 64 KiB")
	errMalformed   = errors.New("malformed message")
	errFraming     = errors.New("a body whose length cannot be told")
)

type conn struct {
	net.Conn
	buf      []byte
	from, to int
}

func newConn(c net.Conn) *conn { return &conn{Conn: c} }

func (c *conn) pending() []byte { return c.buf[c.from:c.to] }

// fill reads once, after making room.
func (c *conn) fill() error {
	c.shrink()
	if c.to == len(c.buf) {
		switch {
		case c.from > 0:
			c.to = copy(c.buf, c.pending())
			c.from = 0
		default:
			grown := make([]byte, max(firstBuffer, min(2*len(c.buf), len(c.buf)+keptBuffer)))
			copy(grown, c.buf[:c.to])
			c.buf = grown
		}
	}
	n, err := c.Read(c.buf[c.to:])
	c.to += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// shrink starts an empty buffer anew and gives back a large one, against a burst of large messages held for good.
func (c *conn) shrink() {
	if c.from < c.to {
		return
	}
	if c.from, c.to = 0, 0; len(c.buf) > keptBuffer {
		c.buf = nil
	}
}

var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// message reads one whole message: parse takes the head from a reader over the buffer and returns the body, and how
// long it is if the head tells.
func (c *conn) message(parse func(*bufio.Reader) (body io.Reader, length int64, err error)) ([]byte, error) {
	seen, need := 0, 0
	for {
		b := c.pending()
		if len(b) < need || need == 0 && !headEnds(b, seen) {
			seen = max(0, len(b)-3)
			if len(b) > maxHead && need == 0 {
				return nil, errHeadTooLong
			}
			if err := c.fill(); err != nil {
				return nil, err
			}
			continue
		}
		seen = 0
		body, used, length, err := parseWith(b, parse)
		switch {
		case err == nil && length >= 0, err == nil && length == chunked:
			c.from += used
			return body, nil
		case errors.Is(err, errBodyTooLong):
			return nil, err
		case err == nil: // only the end of the connection ends this body
			if len(body) > maxBody {
				return nil, errBodyTooLong
			}
			if err := c.fill(); err == io.EOF {
				c.from = c.to
				return body, nil
			} else if err != nil {
				return nil, err
			}
		case cutShort(err):
			if len(b) > maxHead+4*maxBody { // chunks that hold hardly anything
				return nil, errBodyTooLong
			}
			if need = len(b) + 1; length > 0 {
				need = used + int(length)
			}
		default:
			return nil, errors.Join(errMalformed, err)
		}
	}
}

const (
	chunked = -2 // the body tells its own end
	tillEnd = -1 // only the end of the connection does
)

// parseWith returns the body, the bytes used (of the head alone while the body is not whole) and the length.
func parseWith(b []byte, parse func(*bufio.Reader) (io.Reader, int64, error)) ([]byte, int, int64, error) {
	in := bytes.NewReader(b)
	p := parsers.Get().(*bufio.Reader)
	defer parsers.Put(p)
	p.Reset(in)
	body, length, err := parse(p)
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) || err == io.EOF {
			err = errors.New("head without an end") // the empty line was there
		}
		return nil, 0, length, err
	}
	head := len(b) - in.Len() - p.Buffered()
	if length > maxBody {
		return nil, head, length, errBodyTooLong
	}
	if length > 0 && len(b)-head < int(length) {
		return nil, head, length, io.ErrUnexpectedEOF
	}
	text, err := io.ReadAll(io.LimitReader(body, maxBody+1))
	if err == nil && len(text) > maxBody {
		err = errBodyTooLong
	}
	return text, len(b) - in.Len() - p.Buffered(), length, err
}

// cutShort tells a message that is not whole yet from one that never will be. A trailer cut short has an error of its
// own in net/http, which only its text tells.
func cutShort(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "unexpected EOF reading trailer")
}

func headEnds(b []byte, seen int) bool {
	b = b[min(seen, len(b)):]
	return bytes.Contains(b, []byte("\r\n\r\n")) || bytes.Contains(b, []byte("\n\n"))
}

func lengthOf(length int64, encoding []string) int64 {
	if len(encoding) > 0 {
		return chunked
	}
	return length
}

// framing tells how often a head says how long its body is, and whether by an encoding. One that says it twice is nobody's
// to pass on: one reader may see a task where another sees a body. http.ReadRequest keeps quiet about it and drops the length
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

// fromClient reads one whole message of a client, and tells one that holds its body back to go on.
func (c *conn) fromClient() (r *http.Request, body []byte, err error) {
	told := false
	body, err = c.message(func(in *bufio.Reader) (io.Reader, int64, error) {
		if r, err = http.ReadRequest(in); err != nil {
			return nil, 0, err
		}
		if said, encoded := framing(c.pending()); said > 1 || encoded && !r.ProtoAtLeast(1, 1) {
			return nil, 0, errFraming
		}
		if !told && in.Buffered() == 0 && r.ContentLength <= maxBody && r.Header.Get("Expect") == "100-continue" {
			told = true
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		return r.Body, lengthOf(r.ContentLength, r.TransferEncoding), nil
	})
	return r, body, err
}

// fromServer reads one whole message of a server, passing over interim ones.
func (c *conn) fromServer(to *http.Request) (r *http.Response, body []byte, err error) {
	for {
		body, err = c.message(func(in *bufio.Reader) (io.Reader, int64, error) {
			if r, err = http.ReadResponse(in, to); err != nil {
				return nil, 0, err
			}
			return r.Body, lengthOf(r.ContentLength, r.TransferEncoding), nil
		})
		if err != nil || r.StatusCode >= 200 {
			return r, body, err
		}
	}
}

// closeGently ends the sending side and waits a moment for the peer to close, as closing on one that is still sending
// would throw away what it was sent.
func (c *conn) closeGently() {
	if half, ok := c.Conn.(*net.TCPConn); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingers))
	for c.from = c.to; c.fill() == nil; {
		c.from = c.to
	}
}

// quiet tells that the peer has neither closed the connection nor sent anything on it unasked. It guards against
// late answers and against a connection that a restarted server no longer knows.
func (c *conn) quiet() bool {
	_, err := c.peek()
	return c.from == c.to && err == syscall.EAGAIN
}

// has tells whether something has come that nobody has read yet. It may be called beside a read.
func (c *conn) has() bool {
	n, err := c.peek()
	return n > 0 && err == nil
}

// peek looks at what the machine holds for the connection, taking nothing.
func (c *conn) peek() (n int, err error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var one [1]byte
	if broken := control.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); broken != nil {
		return 0, broken
	}
	return n, err
}
