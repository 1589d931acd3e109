package node

// HTTP/1 messages on a buffered connection. A head is buffered completely, checked against maxHeadBytes and parsed by
// net/http, whose readers also decode the bodies.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	maxHeadBytes   = 16 << 10
	maxHeadLines   = 256      // a parsed field takes many times the bytes of a short line
	maxBodyBytes   = 40 << 20 // of a request or a response, streamed or buffered
	headReaderSize = 1 << 10

	// unknownLength is the length of a body without a declared length: one that is chunked or ends with the connection.
	unknownLength = -1
)

var (
	errHeadTooLong = errors.New("head longer than 16 KiB")
	errBodyTooLong = errors.New("body longer than 40 MiB")
	errMalformed   = errors.New("malformed message")
	errFraming     = errors.New("message with an ambiguous body length")
	errFieldCount  = errors.New("head of more than 256 lines")
)

var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headReaderSize) }}

// message is a message whose head has been read and whose body may still be arriving. Only one goroutine uses it, and
// it must call end before anything else is read from the connection.
type message struct {
	conn    *bufferedConn
	reader  *bufio.Reader // nil after end
	body    io.Reader
	length  int64          // of the body in bytes, or unknownLength
	chunked bool           // the body is chunked
	digest  responseDigest // of the head, if it is a response
}

// framedBody is the body that follows a parsed head.
type framedBody struct {
	body    io.Reader
	length  int64 // in bytes, or unknownLength
	chunked bool
}

// readHead buffers a head and calls parse to read it. Its error is that of the connection, errHeadTooLong, errFieldCount
// or errBodyTooLong, or wraps errMalformed.
func (c *bufferedConn) readHead(parse func(*bufio.Reader) (framedBody, error)) (*message, error) {
	if err := c.fillHead(); err != nil {
		return nil, err
	}
	if bytes.Count(headOf(c.buffered()), []byte("\n")) >= maxHeadLines {
		return nil, errFieldCount
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
	m.chunked = framed.chunked
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

// headEnds reports whether the head contains its final empty line, searching from an offset.
func headEnds(head []byte, offset int) bool {
	head = head[min(offset, len(head)):]
	return bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n"))
}

// headOf returns the head of a buffered message, without the empty line that ends it.
func headOf(buffered []byte) []byte {
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if head, _, found := bytes.Cut(buffered, []byte(end)); found {
			return head
		}
	}
	return buffered
}

// inputOffset returns how many bytes of the connection's input have been consumed, up to and including those that this
// message has consumed.
func (m *message) inputOffset() int64 {
	return m.conn.inputOffset() - int64(m.reader.Buffered())
}

// end returns bytes read beyond the message to the connection's buffer. The message must not be used afterwards; a
// second call has no effect.
func (m *message) end() {
	if m.reader == nil {
		return
	}
	excess, _ := m.reader.Peek(m.reader.Buffered()) // can't fail, as it peeks only at buffered bytes
	if len(excess) > 0 {
		unread := make([]byte, 0, len(excess)+len(m.conn.buffered()))
		unread = append(unread, excess...)
		unread = append(unread, m.conn.buffered()...)
		m.conn.replaceBuffer(unread)
	}
	m.reader.Reset(nil)
	headReaders.Put(m.reader)
	m.reader = nil
}

// Read reads from the body. It returns io.EOF at the end of a complete body, io.ErrUnexpectedEOF if the connection ends
// within the body, other errors of the connection unchanged, and any other error wrapped in errMalformed.
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

// readUpTo appends the body to b until b has limit bytes, and reports whether it has read the complete body.
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

// readMore is one read of readUpTo.
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

// newFramedBody returns a body with the length and encoding that a parsed head declares.
func newFramedBody(body io.Reader, contentLength int64, transferEncoding []string) framedBody {
	if len(transferEncoding) > 0 {
		return framedBody{body, unknownLength, true}
	}
	return framedBody{body, contentLength, false}
}

// framing describes the headers of a head that declare its body's length.
type framing struct {
	declarations int  // number of Content-Length and Transfer-Encoding lines
	encoded      bool // at least one of them is Transfer-Encoding
	misspelled   bool // the name of one is surrounded by spaces, so that some readers ignore it
}

// parseFraming finds the headers that declare a body's length, to prevent request smuggling: if a head declares it
// twice, one server may parse a request out of what another reads as a body. http.ReadRequest hides such heads: it
// drops Content-Length if there is a Transfer-Encoding, and ignores Transfer-Encoding in HTTP/1.0, which does not
// define it.
func parseFraming(head []byte) framing {
	var f framing
	for line := range bytes.Lines(head) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		trimmed := bytes.TrimSpace(name)
		encoding := bytes.EqualFold(trimmed, []byte("Transfer-Encoding"))
		if !encoding && !bytes.EqualFold(trimmed, []byte("Content-Length")) {
			continue
		}
		f.declarations++
		f.encoded = f.encoded || encoding
		f.misspelled = f.misspelled || len(trimmed) < len(name)
	}
	return f
}

// ambiguousFor reports whether the length of the request's body is ambiguous.
func (f framing) ambiguousFor(r *http.Request) bool {
	return f.declarations > 1 || f.misspelled || f.encoded && !r.ProtoAtLeast(1, 1)
}

// ambiguousForResponse reports whether the length of the response's body is ambiguous. http.ReadResponse accepts a
// repeated Content-Length only if all are equal, which is not ambiguous.
func (f framing) ambiguousForResponse(r *http.Response) bool {
	return f.misspelled || f.encoded && (f.declarations > 1 || !r.ProtoAtLeast(1, 1))
}

func expectsContinue(h http.Header) bool { return strings.EqualFold(h.Get("Expect"), "100-continue") }

// readRequestHead reads the head of a request. It sends 100 Continue to a client that expects it, if mayWriteContinue
// reports that no response is being written.
func (c *bufferedConn) readRequestHead(mayWriteContinue func() bool) (*http.Request, *message, error) {
	for bytes.HasPrefix(c.buffered(), []byte("\r\n")) {
		c.start += 2 // empty lines before a message are ignored
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
		return newFramedBody(request.Body, request.ContentLength, request.TransferEncoding), nil
	})
	if err != nil {
		return request, nil, err
	}
	bodyHasStarted := m.reader.Buffered()+len(c.buffered()) > 0
	if !bodyHasStarted && m.length != 0 && expectsContinue(request.Header) && mayWriteContinue() {
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // a failed write leads to an error when the body is read
	}
	return request, m, nil
}

// readResponseHead reads the head of the final response to a request with the given method, skipping interim (1xx)
// responses. Switching protocols is malformed, as no request asks for it.
func (c *bufferedConn) readResponseHead(method string) (*http.Response, *message, error) {
	c.growsAlways = true // a response that can't be read would have to count as one that may have run
	defer func() { c.growsAlways = false }()
	for {
		var response *http.Response
		var digest responseDigest
		m, err := c.readHead(func(reader *bufio.Reader) (framedBody, error) {
			head := headOf(c.buffered())
			digest = responseDigest(xxhash.Sum64(head))
			framing := parseFraming(head)
			var err error
			response, err = http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				return framedBody{}, err
			}
			switching := response.StatusCode == http.StatusSwitchingProtocols
			if response.ProtoMajor != 1 || switching || framing.ambiguousForResponse(response) {
				return framedBody{}, errFraming
			}
			if !allowsResponseBody(method) {
				return framedBody{body: response.Body}, nil
			}
			return newFramedBody(response.Body, response.ContentLength, response.TransferEncoding), nil
		})
		if err != nil {
			return response, m, err
		}
		m.digest = digest
		if response.StatusCode >= http.StatusOK {
			return response, m, nil
		}
		m.end()
	}
}

func allowsResponseBody(method string) bool { return method != http.MethodHead }
