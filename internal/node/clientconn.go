package node

// One client connection: its read loop, which takes requests, its write loop, which writes the responses in the order
// of the requests, and when it ends. Reading a request is in requestread.go.

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxPipelined = 4               // requests read ahead on one connection
	maxLinger    = 3 * time.Second // for a client that goes on sending after its last response
)

// clientConn is one client connection. Its read loop and its write loop meet in responseOrder. The write loop closes
// the connection, so that a node that stops waits for the last response.
type clientConn struct {
	frontend       *frontend
	conn           *bufferedConn
	responseOrder  chan *pendingRequest // in the order of the requests; closed by the read loop
	slotAcquiredAt time.Time            // when it got its slot; written before the loops start

	lingerUntil atomic.Int64 // Unix time in ns until which input is discarded; 0 until the last response is written
	streaming   atomic.Bool  // a response is being passed on as it comes

	mu               sync.Mutex
	pendingCount     int           // requests without a written response
	closed           bool          // takes no more requests
	evicting         bool          // is to close unless a request has come
	used             bool          // has brought a request; written by the read loop alone
	lingerTimeout    time.Duration // of silence after the last response, after which the connection is closed
	lastUsedAt       time.Time     // when it was accepted or its last response was written
	messageStartedAt time.Time     // when the message that is being read began; zero between messages
}

func newClientConn(f *frontend, raw net.Conn) *clientConn {
	return &clientConn{
		frontend:      f,
		conn:          newBufferedConn(raw),
		responseOrder: make(chan *pendingRequest, maxPipelined),
		lastUsedAt:    time.Now(),
	}
}

// clientGone reports whether the client has closed its connection, also before the read loop comes to its end. Any
// goroutine may call it; a worker does just before it writes the client's request.
func (c *clientConn) clientGone() bool { return c.conn.closedByPeer() }

// readLoop takes requests from the connection until it ends; then those without a response are canceled.
func (c *clientConn) readLoop() {
	node := c.frontend.node
	var unanswered []*pendingRequest
	defer func() {
		c.cancelRequests(unanswered)
		close(c.responseOrder)
	}()
	defer node.recoverPanic("client connection", func() {})
	for {
		pending := newPendingRequest()
		pending.clientGone = c.clientGone
		request, err := c.readRequest(pending)
		// Guards against a client that sends many requests at once and leaves: they went to upstreams one by one as
		// those before were answered, each for a client that was gone.
		if err != nil && !isMalformed(err) || c.clientGone() {
			c.releaseBody(pending)
			return
		}
		if !c.beginRequest() {
			c.releaseBody(pending)
			c.discardInput()
			return
		}
		unanswered = append(removeAnswered(unanswered), pending)
		if err != nil {
			c.rejectMalformed(pending, err)
		} else {
			// The end of a response by HTTP/1.0 may be the end of its connection.
			pending.closeAfter = request.Close || pending.http10
			c.handle(pending, request)
		}
		c.responseOrder <- pending
		bodyFailed := pending.source != nil && !c.awaitStreamedBody(pending)
		if bodyFailed || pending.closeAfter {
			c.discardInput()
			return
		}
	}
}

// removeAnswered removes the requests that have their response, in place.
func removeAnswered(requests []*pendingRequest) []*pendingRequest {
	kept := requests[:0]
	for _, pending := range requests {
		if !pending.answered.Load() {
			kept = append(kept, pending)
		}
	}
	return kept
}

// cancelRequests posts to the event loop which requests' client has gone.
func (c *clientConn) cancelRequests(requests []*pendingRequest) {
	loop := c.frontend.node.loop
	for _, pending := range removeAnswered(requests) {
		loop.post(func() { loop.clientGone(pending) })
	}
}

// beginRequest marks the connection as holding one request more. It reports false if the connection takes no more.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pendingCount++
	if c.pendingCount == 1 {
		c.frontend.activeConns.Add(1)
	}
	if !c.used {
		c.used = true
		c.frontend.usedConns.Add(1)
	}
	c.messageStartedAt = time.Time{}
	return true
}

// endRequest is the counterpart of beginRequest, once the response has been written or can't be.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingCount--
	if c.pendingCount == 0 {
		c.frontend.activeConns.Add(-1)
	}
	c.lastUsedAt = time.Now()
}

// hasNoPendingRequests reports that no response is due or being written. Guards against a 100 Continue in the middle of one.
func (c *clientConn) hasNoPendingRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingCount == 0
}

// shouldCloseAfter reports whether the connection is to be closed after a response, and if so takes no more requests. It
// is not closed while it holds further requests, nor, unless it must be closed, once the next has begun to come: they
// would be lost.
func (c *clientConn) shouldCloseAfter(pending *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingCount > 1 {
		return false
	}
	bodyIncomplete := pending.bodyIncomplete()
	if !pending.closeAfter && !bodyIncomplete {
		requested := c.evicting || c.frontend.node.closesClientConns()
		if !requested || !c.messageStartedAt.IsZero() || c.conn.hasInput() {
			return false
		}
	}
	c.closed = true
	c.lingerTimeout = closeLinger
	if bodyIncomplete {
		// Guards against a reset that would discard the response to a client that still sends its body.
		c.lingerTimeout = bodyStall
	}
	return true
}

// staysOpenAfterTimeout reports whether the connection outlives a read that timed out, as a request of it has no response yet. One
// that was asked to close just when its request came is no exception.
func (c *clientConn) staysOpenAfterTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingCount > 0 && !c.closed
}

// setReadTimeout sets how long the next reads may last: shorter than asked after the last response, and once the
// connection is to close.
func (c *clientConn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.evicting && c.pendingCount == 0 {
		timeout = max(c.lingerTimeout, closeLinger)
	}
	c.conn.SetReadDeadline(time.Now().Add(timeout))
}

// discardInput reads to the end of the connection, or to the end of lingering, so that the client's leaving is
// noticed and what it still sends does not cause a reset that discards the response.
func (c *clientConn) discardInput() {
	c.setReadTimeout(clientIdleTimeout)
	for {
		c.conn.discardBuffered()
		if c.conn.fill() != nil {
			return
		}
		lingerUntil := c.lingerUntil.Load()
		if lingerUntil == 0 {
			continue
		}
		c.setReadTimeout(0)
		if time.Now().UnixNano() > lingerUntil {
			return
		}
	}
}

// writeLoop writes the responses in the order of the requests. Once the client has gone, or a response could not be
// written, it only waits for the requests that are left. Then it closes the connection.
func (c *clientConn) writeLoop() {
	defer func() {
		c.conn.Close()
		c.frontend.remove(c)
	}()
	ended := false
	for pending := range c.responseOrder {
		answer := <-pending.responses
		ended = ended || answer.status == 0
		if !ended {
			ended = !c.writeResponse(pending, &answer, c.shouldCloseAfter(pending))
		}
		answer.discard()
		if pending.source != nil {
			pending.source.abandon()
		}
		c.releaseBody(pending)
		c.endRequest()
	}
}

// writeResponse writes one response and reports whether the connection goes on. After the last it ends the sending
// side; the read loop then lingers for the client to close.
func (c *clientConn) writeResponse(pending *pendingRequest, answer *response, last bool) (keepOpen bool) {
	defer c.frontend.node.recoverPanic("response", func() { c.conn.Close() })
	head := answer.encodeHead(pending, last)
	complete := false
	if answer.stream != nil {
		c.streaming.Store(true)
		complete = c.streamResponse(answer, head)
		c.streaming.Store(false)
	} else {
		text := head.text
		if allowsResponseBody(pending.method) {
			text = append(text, answer.body...)
		}
		complete = writePaced(c.conn, nil, text) == nil
	}
	if !complete {
		c.conn.abort()
		return false
	}
	if last {
		c.lingerUntil.Store(time.Now().Add(maxLinger).UnixNano())
		c.conn.closeWrite()
		c.setReadTimeout(closeLinger)
	}
	return !last
}
