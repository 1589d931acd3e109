package emulator

// Reading of HTTP/1.1 messages. It is small, since the emulator shares the machine with what it measures, and strict.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"

	"fawnglade/internal/lab/faultproxy"
)

const (
	maxHead = 16 << 10
	maxBody = 1 << 20
)

var (
	errMalformed = errors.New("message cannot be read")
	errTruncated = errors.New("connection ended within a message")
	errTooLong   = errors.New("message too long")
)

// message is one request or response as read; its slices are valid until the next read.
type message struct {
	firstLine        []byte // the first line
	status           int
	head             []byte // lines after the first, each with its end
	body             []byte
	closesConnection bool
	firstByteAt      int64 // when its first byte had come
}

// get returns a header's first value.
func (m *message) get(name string) []byte {
	head := m.head
	for len(head) > 0 {
		end := bytes.IndexByte(head, '\n')
		if end < 0 {
			end = len(head) - 1
		}
		line := head[:end]
		head = head[end+1:]
		if len(line) > len(name) && line[len(name)] == ':' && equalFold(line[:len(name)], name) {
			return bytes.TrimSpace(line[len(name)+1:])
		}
	}
	return nil
}

func equalFold(a []byte, b string) bool {
	for i := range a {
		x, y := a[i], b[i]
		if x == y {
			continue
		}
		if x|0x20 != y|0x20 || x|0x20 < 'a' || x|0x20 > 'z' {
			return false
		}
	}
	return true
}

// reader reads messages from a connection through one buffer.
type reader struct {
	from                 net.Conn
	buf                  []byte
	readPosition, filled int
	now                  func() int64
	onFirstByte          func(at int64) // called with the first byte of each message
}

func newReader(c net.Conn, now func() int64) *reader {
	return &reader{from: c, buf: make([]byte, 2048), now: now}
}

func (r *reader) fill() error {
	if r.readPosition > 0 && r.readPosition == r.filled {
		r.readPosition, r.filled = 0, 0
	}
	if r.filled == len(r.buf) {
		if r.readPosition > 0 {
			copy(r.buf, r.buf[r.readPosition:r.filled])
			r.filled -= r.readPosition
			r.readPosition = 0
		} else {
			if len(r.buf) >= maxHead+maxBody {
				return errTooLong
			}
			r.buf = append(r.buf, make([]byte, len(r.buf))...)
		}
	}
	n, err := r.from.Read(r.buf[r.filled:])
	r.filled += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

func (r *reader) pending() int { return r.filled - r.readPosition }

// next reads one message; io.EOF means that none had begun.
func (r *reader) next(m *message, isAnswer bool) error {
	for r.pending() == 0 {
		if err := r.fill(); err != nil {
			return err
		}
	}
	m.firstByteAt = r.now()
	if r.onFirstByte != nil {
		r.onFirstByte(m.firstByteAt)
	}
	end, scanned := -1, 0
	for {
		if i := bytes.Index(r.buf[r.readPosition+scanned:r.filled], []byte("\r\n\r\n")); i >= 0 {
			end = r.readPosition + scanned + i
			break
		}
		if r.pending() > maxHead {
			return errTooLong
		}
		scanned = max(0, r.pending()-3)
		if err := r.fill(); err != nil {
			return truncated(err)
		}
	}
	head := r.buf[r.readPosition : end+2]
	line := bytes.Index(head, []byte("\r\n"))
	m.firstLine, m.head = head[:line], head[line+2:]
	m.status, m.body = 0, nil
	if isAnswer {
		if !bytes.HasPrefix(m.firstLine, []byte("HTTP/1.1 ")) || len(m.firstLine) < 12 {
			return errMalformed
		}
		var err error
		if m.status, err = strconv.Atoi(string(m.firstLine[9:12])); err != nil {
			return errMalformed
		}
	}
	m.closesConnection = bytes.EqualFold(m.get("Connection"), []byte("close"))
	start := end + 4 - r.readPosition // relative, as the buffer may move
	if bytes.EqualFold(m.get("Transfer-Encoding"), []byte("chunked")) {
		return r.readChunkedBody(m, start)
	}
	size := 0
	if text := m.get("Content-Length"); text != nil {
		v, err := strconv.ParseUint(string(text), 10, 31)
		if err != nil || v > maxBody {
			return errMalformed
		}
		size = int(v)
	}
	if m.status >= 100 && m.status < 200 || m.status == 204 {
		size = 0
	}
	if err := r.ensure(start + size); err != nil {
		return truncated(err)
	}
	r.setSlices(m, line, start)
	m.body = r.buf[r.readPosition+start : r.readPosition+start+size]
	r.readPosition += start + size
	return nil
}

// set points the message's parts into the buffer again, which may have moved.
func (r *reader) setSlices(m *message, line, start int) {
	head := r.buf[r.readPosition : r.readPosition+start-2]
	m.firstLine, m.head = head[:line], head[line+2:]
}

func (r *reader) ensure(n int) error {
	for r.pending() < n {
		if err := r.fill(); err != nil {
			return err
		}
	}
	return nil
}

// chunks reads a chunked body; it is rare, so it is kept in a buffer of its own.
func (r *reader) readChunkedBody(m *message, at int) error {
	var body []byte
	line := len(m.firstLine)
	for {
		var size int64
		for {
			if i := bytes.Index(r.buf[r.readPosition+at:r.filled], []byte("\r\n")); i >= 0 {
				text, _, _ := bytes.Cut(r.buf[r.readPosition+at:r.readPosition+at+i], []byte(";"))
				v, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 16, 32)
				if err != nil || v < 0 || len(body)+int(v) > maxBody {
					return errMalformed
				}
				size = v
				at += i + 2
				break
			}
			if err := r.fill(); err != nil {
				return truncated(err)
			}
		}
		if err := r.ensure(at + int(size) + 2); err != nil {
			return truncated(err)
		}
		body = append(body, r.buf[r.readPosition+at:r.readPosition+at+int(size)]...)
		at += int(size) + 2
		if size == 0 {
			break
		}
	}
	head := bytes.Index(r.buf[r.readPosition:r.filled], []byte("\r\n\r\n"))
	full := r.buf[r.readPosition : r.readPosition+head+2]
	m.firstLine, m.head, m.body = full[:line], full[line+2:], body
	r.readPosition += at
	return nil
}

func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return errTruncated
	}
	return err
}

// connState tells whether a connection has unread bytes, and whether its other side has closed it.
func connState(c net.Conn) (bytesThere, ended bool) {
	t, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false, true
	}
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			bytesThere = true
		case errors.Is(err, syscall.EAGAIN):
		default:
			ended = true
		}
		return true
	})
	return bytesThere, ended || err != nil
}

// reset ends a connection so that the other side sees it broken rather than closed.
func reset(c net.Conn) { faultproxy.Reset(c) }

// send writes to a peer that may be gone, which shows at the next read.
func send[T string | []byte](c io.Writer, data T) {
	_, _ = c.Write([]byte(data))
}

// sendf formats and sends.
func sendf(c io.Writer, format string, args ...any) { send(c, fmt.Sprintf(format, args...)) }
