package node

// HTTP/1 messages on a buffered connection: heads are collected, limited and parsed by net/http; bodies are read by
// net/http's own readers.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
)

const (
	maxHeadBytes   = 16 << 10
	maxBodyBytes   = 40 << 20 // of any body
	headReaderSize = 4 << 10

	// unknownLength is the length of a body that only its own end delimits: in chunks, or until the connection ends.
	unknownLength = -1
)

var (
	errHeadTooLong = errors.New("head longer than 16 KiB")
	errBodyTooLong = errors.New("body longer than 40 MiB")
	errMalformed   = errors.New("malformed message")
	errFraming     = errors.New("message with an ambiguous body length")
)

var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headReaderSize) }}

// message is a message whose head has been read and whose body may still be coming. One goroutine uses it, and ends it
// before anything else is read from its connection.
type message struct {
	conn   *bufferedConn
	reader *bufio.Reader // nil once the message has ended
	body   io.Reader
	length int64 // of the body in bytes, or unknownLength
}

// framedBody is the body behind a parsed head.
type framedBody struct {
	body   io.Reader
	length int64 // in bytes, or unknownLength
}

// readHead collects a head and has parse read it. Its errors are the connection's, errHeadTooLong, errBodyTooLong, or
// wrap errMalformed.
func (c *bufferedConn) readHead(parse func(*bufio.Reader) (framedBody, error)) (*message, error) {
	if err := c.fillHead(); err != nil {
		return nil, err
	}
	m := &message{conn: c, reader: headReaders.Get().(*bufio.Reader)}
	m.reader.Reset(connReader{c})
	c.readErr = nil
	framed, err := parse(m.reader)
	if err != nil {
		m.end()
		return nil, errors.Join(errMalformed, err)
	}
	m.body = framed.body
	m.length = framed.length
	if m.length > maxBodyBytes {
		m.end()
		return nil, errBodyTooLong
	}
	return m, nil
}

// fillHead reads until the buffer holds a complete head.
func (c *bufferedConn) fillHead() error {
	for searched := 0; !headEnds(c.buffered(), searched); {
		if len(c.buffered()) > maxHeadBytes {
			return errHeadTooLong
		}
		searched = max(0, len(c.buffered())-3)
		if err := c.fill(); err != nil {
			return err
		}
	}
	return nil
}

// headEnds reports whether an empty line ends the head, searching from an offset.
func headEnds(head []byte, offset int) bool {
	head = head[min(offset, len(head)):]
	return bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n"))
}

// end returns to the connection what was read beyond the message. The message must not be used afterwards; a second
// call does nothing.
func (m *message) end() {
	if m.reader == nil {
		return
	}
	excess, _ := m.reader.Peek(m.reader.Buffered()) // all of it is buffered, so this can't fail
	if len(excess) > 0 {
		unread := make([]byte, 0, len(excess)+len(m.conn.buffered()))
		unread = append(unread, excess...)
		unread = append(unread, m.conn.buffered()...)
		m.conn.buf = unread
		m.conn.start, m.conn.end = 0, len(unread)
	}
	m.reader.Reset(nil)
	headReaders.Put(m.reader)
	m.reader = nil
}

// Read reads on in the body. An error of the connection is returned as it is, with io.ErrUnexpectedEOF for its end; any
// other wraps errMalformed. io.EOF is the end of a complete body.
func (m *message) Read(p []byte) (int, error) {
	n, err := m.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, io.EOF
	case m.conn.readErr == nil:
		return n, errors.Join(errMalformed, err)
	case errors.Is(m.conn.readErr, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, m.conn.readErr
}

// readUpTo appends the body to b until that has limit bytes, and reports whether that was the rest of the body.
func (m *message) readUpTo(b []byte, limit int) (body []byte, complete bool, err error) {
	if m.length >= 0 && cap(b) == 0 {
		b = make([]byte, 0, min(m.length, int64(limit)))
	}
	complete = int64(len(b)) == m.length
	for !complete && err == nil && len(b) < limit {
		b, complete, err = m.readMore(b, limit)
	}
	return b, complete, err
}

// readMore reads once, as readUpTo.
func (m *message) readMore(b []byte, limit int) (body []byte, complete bool, err error) {
	if len(b) == cap(b) {
		b = append(b, 0)[:len(b)]
	}
	n, err := m.Read(b[len(b):min(cap(b), limit)])
	b = b[:len(b)+n]
	if errors.Is(err, io.EOF) || err == nil && int64(len(b)) == m.length {
		return b, true, nil
	}
	return b, false, err
}

// bodyLength is the length that a parsed head declares for its body, or unknownLength.
func bodyLength(contentLength int64, transferEncoding []string) int64 {
	if len(transferEncoding) > 0 {
		return unknownLength
	}
	return contentLength
}

// framing counts the headers of a head that declare the length of its body.
type framing struct {
	declarations int  // of either header
	encoded      bool // Transfer-Encoding is one of them
}

// parseFraming finds the headers that declare a body's length. Guards against request smuggling: of a head that
// declares it twice one reader may see a request where another sees a body. http.ReadRequest hides that: it drops the
// length beside an encoding, and the encoding of a request by HTTP/1.0, which knows none.
func parseFraming(head []byte) framing {
	var f framing
	for line := range bytes.Lines(head) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			f.declarations++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.declarations++
			f.encoded = true
		}
	}
	return f
}

// ambiguousFor reports that the body of a request has no one length.
func (f framing) ambiguousFor(r *http.Request) bool {
	return f.declarations > 1 || f.encoded && !r.ProtoAtLeast(1, 1)
}

func expectsContinue(h http.Header) bool { return strings.EqualFold(h.Get("Expect"), "100-continue") }

// readRequestHead reads the head of a request. A client that waits for 100 Continue is sent it, if mayContinue allows a
// write at this moment.
func (c *bufferedConn) readRequestHead(mayWriteContinue func() bool) (*http.Request, *message, error) {
	for bytes.HasPrefix(c.buffered(), []byte("\r\n")) {
		c.start += 2 // an empty line before a message is ignored
	}
	var request *http.Request
	m, err := c.readHead(func(reader *bufio.Reader) (framedBody, error) {
		framing := parseFraming(c.buffered())
		var err error
		request, err = http.ReadRequest(reader)
		if err != nil {
			return framedBody{}, err
		}
		if framing.ambiguousFor(request) {
			return framedBody{}, errFraming
		}
		return framedBody{request.Body, bodyLength(request.ContentLength, request.TransferEncoding)}, nil
	})
	if err != nil {
		return request, nil, err
	}
	bodyHasStarted := m.reader.Buffered()+len(c.buffered()) > 0
	if !bodyHasStarted && m.length != 0 && expectsContinue(request.Header) && mayWriteContinue() {
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // a failed write shows when the body is read
	}
	return request, m, nil
}

// readResponseHead reads the head of the response to a request with a method, and skips interim responses.
func (c *bufferedConn) readResponseHead(method string) (*http.Response, *message, error) {
	for {
		var response *http.Response
		m, err := c.readHead(func(reader *bufio.Reader) (framedBody, error) {
			var err error
			response, err = http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				return framedBody{}, err
			}
			if !allowsResponseBody(method) {
				return framedBody{response.Body, 0}, nil
			}
			return framedBody{response.Body, bodyLength(response.ContentLength, response.TransferEncoding)}, nil
		})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, m, err
		}
		m.end()
	}
}

func allowsResponseBody(method string) bool { return method != http.MethodHead }
