package node

// The response to a client, and the encoding of its head.

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// response is the response to a client. Status 0 means no response, because the client has closed its connection.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration   // sent as Retry-After if above 0
	stream     *responseStream // rest of a body that is too long to be buffered; else nil
	memory     *memoryBudget   // of reserved
	reserved   int             // bytes for body
}

// discard releases the memory of a response that has been written or is not forwarded, and the upstream connection of
// one that is streamed.
func (r *response) discard() {
	if r.stream != nil {
		r.stream.finish(false)
	}
	r.memory.release(r.reserved)
	r.reserved = 0
}

// overCapacityResponse returns the rejection for a request that reaches neither the policy nor an upstream.
func (n *Node) overCapacityResponse() response {
	r := response{status: http.StatusServiceUnavailable}
	if n.settings.Policy.MaySetRetryAfter {
		r.retryAfter = n.settings.Policy.MaxRetryAfter
	}
	return r
}

// responseHead is an encoded response head for the client.
type responseHead struct {
	text    []byte
	chunked bool // the body uses chunked encoding
}

// encodeHead encodes the response's head. If last is set, the connection is closed after the response.
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
