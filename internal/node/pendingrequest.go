package node

// This file owns the exchange, the one object in which client side and server side meet: a request as the client side
// read it, and the one answer that the client side is to write. It must never touch a socket, nor know which side
// called it.

import (
	"bytes"
	"fawnglade/policy"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// response is what a client gets; status 0 stands for nothing, as the client has gone.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration   // when to come back, where that is told
	stream     *responseStream // what follows the body, of one that is too long to hold
}

type pendingRequest struct {
	request    policy.Request
	method     string
	closeAfter bool // the client wants its connection closed afterwards
	head       []byte
	body       []byte
	http10     bool        // the client speaks HTTP/1.0, which knows no chunks
	source     *bodySource // what follows the body, of one that is too long to hold

	clientGone func() bool // whether its client has gone, as far as can be known now; told by the client side

	responses chan response
	answered  atomic.Bool

	attempts []*attempt // these two belong to the loop
	inFlight int
}

func newPendingRequest() *pendingRequest {
	return &pendingRequest{responses: make(chan response, 1), clientGone: func() bool { return false }}
}

// answer gives the exchange its one answer and tells whether this was it.
func (x *pendingRequest) answer(a response) bool {
	if !x.answered.CompareAndSwap(false, true) {
		a.discard()
		return false
	}
	x.responses <- a
	return true
}

// bufferHead holds on to a request's message in the form in which it goes out.
func (x *pendingRequest) bufferHead(r *http.Request) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	endToEnd(r.Header).Write(&b)
	switch {
	case x.source != nil && x.source.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case x.source != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(x.source.length, 10) + "\r\n")
	case len(x.body) > 0 || r.Method == http.MethodPost:
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.body)) + "\r\n")
	}
	x.head = b.Bytes()
}

// headWithTimeout is the request's head as it goes out, with the time that the node will wait for its answer.
func (x *pendingRequest) headWithTimeout(wait time.Duration) []byte {
	b := make([]byte, 0, len(x.head)+40)
	b = append(append(append(b, x.head...), headerRemaining...), ": "...)
	return append(strconv.AppendInt(b, max(1, wait.Milliseconds()), 10), "\r\n\r\n"...)
}

// bodyIncomplete tells whether the request's body is still coming, or ended before it was whole.
func (x *pendingRequest) bodyIncomplete() bool { return x.source != nil && !x.source.complete.Load() }

// bodyConsumed tells whether the request can't be sent again, as part of its body has gone to a server and is held no more.
func (x *pendingRequest) bodyConsumed() bool { return x.source != nil && x.source.consumed.Load() }

// encodeHead is the answer's head as it goes to the client, and whether its body goes in chunks.
func (a *response) encodeHead(x *pendingRequest, last bool) (head []byte, chunks bool) {
	b := bytes.NewBuffer(make([]byte, 0, 512))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n")
	length := strconv.Itoa(len(a.body))
	if declared := a.header.Get("Content-Length"); declared != "" && !allowsBody(x.method) {
		length = declared
	}
	if a.header != nil {
		a.header.Del("Content-Length")
		a.header.Write(b)
	}
	if a.retryAfter > 0 {
		b.WriteString(headerRetryAfter + ": " + strconv.FormatFloat(float64(a.retryAfter)/float64(second), 'f', 3, 64) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	switch {
	case a.stream == nil:
		b.WriteString("Content-Length: " + length + "\r\n")
	case a.stream.length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(a.stream.length, 10) + "\r\n")
	case !x.http10:
		b.WriteString("Transfer-Encoding: chunked\r\n")
		chunks = true
	}
	b.WriteString("\r\n")
	return b.Bytes(), chunks
}
