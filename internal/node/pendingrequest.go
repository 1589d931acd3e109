package node

// A request as the client side has read it, and its one response. It is what the client side, the event loop and the
// upstream side share.

import (
	"bytes"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"fawnglade/policy"
)

// pendingRequest is a request until its response has been written. The read loop of its client connection fills it in
// before it posts the request to the event loop, and nothing but the fields with their own synchronization changes
// afterwards.
type pendingRequest struct {
	request    policy.Request
	method     string
	closeAfter bool        // the client connection is closed after the response
	http10     bool        // the client speaks HTTP/1.0, which knows no chunks
	head       []byte      // of the request as it goes to upstreams, without the time that remains and the empty line
	body       []byte      // the buffered part of the body
	source     *bodySource // what follows, of a body that is too long to be buffered; else nil

	clientGone func() bool // whether the client has closed its connection; any goroutine may call it

	responses chan response // gets the one response; read by the write loop
	answered  atomic.Bool   // the response is there

	attempts []*attempt // by number; of the event loop alone
	inFlight int        // attempts that have not ended; of the event loop alone
}

func newPendingRequest() *pendingRequest {
	return &pendingRequest{responses: make(chan response, 1), clientGone: func() bool { return false }}
}

// answer gives the request its one response. It reports whether this was it; any later one is discarded.
func (p *pendingRequest) answer(r response) bool {
	if !p.answered.CompareAndSwap(false, true) {
		r.discard()
		return false
	}
	p.responses <- r
	return true
}

// bufferHead keeps the request's head in the form in which it goes to upstreams.
func (p *pendingRequest) bufferHead(r *http.Request) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = removeHopByHopHeaders(r.Header).Write(&b) // a write to a buffer can't fail
	switch {
	case p.source != nil && p.source.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case p.source != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(p.source.length, 10) + "\r\n")
	case len(p.body) > 0 || r.Method == http.MethodPost:
		b.WriteString("Content-Length: " + strconv.Itoa(len(p.body)) + "\r\n")
	}
	p.head = b.Bytes()
}

// headWithTimeout is the request's head as it goes to an upstream, with the time that the node will wait for the
// response.
func (p *pendingRequest) headWithTimeout(timeout time.Duration) []byte {
	const timeoutHeaderBytes = 40 // at most
	b := make([]byte, 0, len(p.head)+timeoutHeaderBytes)
	b = append(b, p.head...)
	b = append(b, headerRemaining+": "...)
	b = strconv.AppendInt(b, max(1, timeout.Milliseconds()), 10)
	return append(b, "\r\n\r\n"...)
}

// bodyIncomplete reports whether the request's body is still coming, or ended before it was complete.
func (p *pendingRequest) bodyIncomplete() bool { return p.source != nil && !p.source.complete.Load() }

// bodyConsumed reports whether the request can't be sent again, as part of its body has gone to an upstream and is no
// longer buffered.
func (p *pendingRequest) bodyConsumed() bool { return p.source != nil && p.source.consumed.Load() }
