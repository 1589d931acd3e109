package node

// A request read from a client and its single response. The client side, the event loop and the upstream side share it.

import (
	"bytes"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"fawnglade/policy"
)

// pendingRequest is a request from its arrival until its response has been written. The read loop of its client
// connection fills it in before posting it to the event loop. Afterwards only the synchronized fields and those owned
// by the event loop change.
type pendingRequest struct {
	request    policy.Request
	arrivedAt  time.Time // when its last byte arrived; if that is still to come, when its head was read
	method     string
	closeAfter bool        // close the client connection after the response
	http10     bool        // the client uses HTTP/1.0, which has no chunked encoding
	head       []byte      // as sent to upstreams, without the remaining time and the final empty line
	body       []byte      // buffered part of the body
	source     *bodySource // rest of a body that is too long to be buffered; else nil

	countedStreamed bool // counts as one of Node.streamedRequests

	clientGone      func() bool // reports whether the client has closed its connection; safe for concurrent use
	clientUncertain func() bool // reports whether it may have, without a sign of it; safe for concurrent use

	responses chan response // receives the single response; read by the write loop
	answered  atomic.Bool   // the response has been sent to responses

	attempts []*attempt  // by number; owned by the event loop
	inFlight int         // number of attempts that have not ended; owned by the event loop
	giveUpAt policy.Time // see limitRequest; 0: never; owned by the event loop
}

func newPendingRequest() *pendingRequest {
	never := func() bool { return false }
	return &pendingRequest{responses: make(chan response, 1), clientGone: never, clientUncertain: never}
}

// answer sets the request's response. It reports false and discards the response if the request is already answered.
func (p *pendingRequest) answer(r response) bool {
	if !p.answered.CompareAndSwap(false, true) {
		r.discard()
		return false
	}
	p.responses <- r
	return true
}

// bufferHead stores the request's head as it is sent to upstreams.
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

// headWithTimeout returns the request's complete head for an upstream, including the time that the node waits for the
// response.
func (p *pendingRequest) headWithTimeout(timeout time.Duration) []byte {
	const timeoutHeaderBytes = 40 // maximum length of the X-Remaining-Ms line and the empty line
	b := make([]byte, 0, len(p.head)+timeoutHeaderBytes)
	b = append(b, p.head...)
	b = append(b, headerRemaining+": "...)
	b = strconv.AppendInt(b, max(1, timeout.Milliseconds()), 10)
	return append(b, "\r\n\r\n"...)
}

// bodyIncomplete reports whether the request's body is still arriving or ended prematurely.
func (p *pendingRequest) bodyIncomplete() bool { return p.source != nil && !p.source.complete.Load() }

// bodyConsumed reports whether the request can't be retried because an attempt has started to read the unbuffered part
// of its body.
func (p *pendingRequest) bodyConsumed() bool { return p.source != nil && p.source.consumed.Load() }
