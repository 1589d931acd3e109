package node

// The response that a client gets, and its head as it is written.

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// response is what a client gets. Status 0 is no response: the client has gone.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration   // for Retry-After; 0: none
	stream     *responseStream // what follows the body, of a response that is too long to be buffered; else nil
}

// discard releases what holds the rest of a response that is not passed on.
func (r *response) discard() {
	if r.stream != nil {
		r.stream.finish(false)
	}
}

// overCapacityResponse is the response to a request that never reached the decisions, nor any upstream.
func (n *Node) overCapacityResponse() response {
	r := response{status: http.StatusServiceUnavailable}
	if n.settings.Policy.MaySetRetryAfter {
		r.retryAfter = n.settings.Policy.MaxRetryAfter
	}
	return r
}

// responseHead is a response's head as it goes to the client.
type responseHead struct {
	text    []byte
	chunked bool // the body follows in chunks
}

// encodeHead encodes the response's head; last says that the connection is closed after it.
func (r *response) encodeHead(request *pendingRequest, last bool) responseHead {
	b := bytes.NewBuffer(make([]byte, 0, 512))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.status) + " " + http.StatusText(r.status) + "\r\n")
	length := strconv.Itoa(len(r.body))
	if declared := r.header.Get("Content-Length"); declared != "" && !allowsResponseBody(request.method) {
		length = declared
	}
	if r.header != nil {
		r.header.Del("Content-Length")
		_ = r.header.Write(b) // a write to a buffer can't fail
	}
	if r.retryAfter > 0 {
		seconds := float64(r.retryAfter) / float64(time.Second)
		b.WriteString(headerRetryAfter + ": " + strconv.FormatFloat(seconds, 'f', 3, 64) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	chunked := false
	switch {
	case r.stream == nil:
		b.WriteString("Content-Length: " + length + "\r\n")
	case r.stream.length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.stream.length, 10) + "\r\n")
	case !request.http10:
		b.WriteString("Transfer-Encoding: chunked\r\n")
		chunked = true
	}
	b.WriteString("\r\n")
	return responseHead{b.Bytes(), chunked}
}
