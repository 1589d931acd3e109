package node

// One client connection: the read loop reads requests, the write loop writes the responses in request order, and both
// decide when the connection is closed. Reading a single request is in requestread.go.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxPipelined = 4               // requests read ahead on one connection
	maxLinger    = 3 * time.Second // for a client that keeps sending after its last response
)

// clientConn is one client connection. The read loop passes each request to the write loop through responseOrder. The
// write loop closes the connection, so that a shutdown waits for the last response.
type clientConn struct {
	frontend       *frontend
	conn           *bufferedConn
	arrivals       inputArrivals        // of conn
	presence       clientPresence       // of the client
	responseOrder  chan *pendingRequest // pending requests in the order received; closed by the read loop
	requestLimiter *rate.Limiter        // used by the read loop
	slotAcquiredAt time.Time            // when the connection got its slot; written before the loops start

	lingerUntil atomic.Int64 // discard input until this Unix time in nanoseconds; 0 before the last response
	streaming   atomic.Bool  // a response is being streamed to the client

	mu               sync.Mutex
	pendingCount     int           // requests without a written response
	closed           bool          // accepts no more requests
	evicting         bool          // close unless a request has arrived meanwhile
	used             bool          // at least one request was read; written only by the read loop
	lingerTimeout    time.Duration // the connection is closed after this long without input after the last response
	lastUsedAt       time.Time     // when the connection was accepted or the last response was written
	messageStartedAt time.Time     // start of the message that is being read; zero between messages
	closeReason      clientCloseReason
}

// setCloseReason records why the connection ends. Only the first reason counts.
func (c *clientConn) setCloseReason(reason clientCloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == clientCloseUnknown {
		c.closeReason = reason
	}
}

// setReadEndReason records why the read loop ends with an error, or with a client that has closed its connection.
func (c *clientConn) setReadEndReason(err error) {
	c.mu.Lock()
	evicting := c.evicting
	c.mu.Unlock()
	switch {
	case c.clientGone():
		c.setCloseReason(clientCloseByClient)
	case evicting && c.frontend.node.closesClientConns():
		c.setCloseReason(clientCloseNodeEnds)
	case evicting:
		c.setCloseReason(clientCloseEvicted)
	case errors.Is(err, errClientClosed):
		c.setCloseReason(clientCloseIdle)
	default:
		c.setCloseReason(clientCloseInRequest)
	}
}

func newClientConn(f *frontend, raw net.Conn) *clientConn {
	conn := newBufferedConn(raw, &f.node.memory)
	c := &clientConn{
		frontend:      f,
		conn:          conn,
		arrivals:      inputArrivals{conn: conn},
		presence:      clientPresence{conn: conn, clock: f.node.clock},
		responseOrder: make(chan *pendingRequest, maxPipelined),
		lastUsedAt:    time.Now(),

		requestLimiter: newConnRequestLimiter(),
	}
	c.presence.confirm()
	return c
}

// clientGone reports whether the client has closed its connection, even if the read loop has not seen the end yet. Any
// goroutine may call it; a worker does so just before it writes the client's request to an upstream.
func (c *clientConn) clientGone() bool { return c.presence.gone() }

// readLoop reads requests until the connection ends, then cancels the requests that have no response.
func (c *clientConn) readLoop() {
	node := c.frontend.node
	var unanswered []*pendingRequest
	defer func() {
		c.cancelRequests(unanswered)
		c.conn.releaseBuffer()
		close(c.responseOrder)
	}()
	defer node.recoverPanic("client connection", func() {})
	for {
		pending := newPendingRequest()
		pending.clientGone = c.clientGone
		pending.clientUncertain = c.presence.uncertain
		request, err := c.readRequest(pending)
		inTurn := err != nil || c.awaitTurn(pending)
		// If a client pipelines many requests and disconnects, the remaining ones must not be sent to upstreams one
		// after another as the preceding responses are written.
		if err != nil && !isMalformed(err) || c.clientGone() {
			c.setReadEndReason(err)
			c.releaseRequest(pending)
			return
		}
		if !c.beginRequest() {
			c.releaseRequest(pending)
			c.discardInput()
			return
		}
		unanswered = append(removeAnswered(unanswered), pending)
		if err != nil {
			c.rejectMalformed(pending, err)
		} else {
			// The end of the connection may delimit the response to an HTTP/1.0 request.
			pending.closeAfter = request.Close || pending.http10 || !inTurn
			if inTurn {
				c.handle(pending, request)
				c.limitRequestsAhead(unanswered)
			} else {
				c.setCloseReason(clientCloseRequestRate)
				c.rejectOverCapacity(pending, request)
			}
		}
		c.queueResponse(pending)
		bodyFailed := pending.source != nil && !c.awaitStreamedBody(pending)
		if bodyFailed || pending.closeAfter {
			c.setCloseReason(closeReasonAfter(bodyFailed))
			c.discardInput()
			return
		}
	}
}

// queueResponse passes a request to the write loop. While maxPipelined requests are ahead of it there it waits, and
// observes what arrives meanwhile.
func (c *clientConn) queueResponse(pending *pendingRequest) {
	select {
	case c.responseOrder <- pending:
		return
	default:
	}
	ticker := time.NewTicker(arrivalPollInterval)
	defer ticker.Stop()
	c.arrivals.begin(time.Now())
	for {
		select {
		case c.responseOrder <- pending:
			c.arrivals.observe(time.Now())
			return
		case <-ticker.C:
			c.arrivals.observe(time.Now())
		}
	}
}

// closeReasonAfter returns why the connection ends after a request.
func closeReasonAfter(bodyFailed bool) clientCloseReason {
	if bodyFailed {
		return clientCloseInRequest
	}
	return clientCloseAsked
}

// removeAnswered removes the answered requests from the slice, in place.
func removeAnswered(requests []*pendingRequest) []*pendingRequest {
	kept := requests[:0]
	for _, pending := range requests {
		if !pending.answered.Load() {
			kept = append(kept, pending)
		}
	}
	return kept
}

// cancelRequests posts a clientGone event to the event loop for each unanswered request.
func (c *clientConn) cancelRequests(requests []*pendingRequest) {
	loop := c.frontend.node.loop
	for _, pending := range removeAnswered(requests) {
		loop.post(func() { loop.clientGone(pending) })
	}
}

// beginRequest counts one more pending request. It reports false if the connection accepts no more requests.
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

// endRequest is the counterpart of beginRequest, called once the response has been written or can't be written.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingCount--
	if c.pendingCount == 0 {
		c.frontend.activeConns.Add(-1)
	}
	c.lastUsedAt = time.Now()
}

// hasNoPendingRequests reports whether no response is due or being written. Otherwise a 100 Continue could end up in
// the middle of a response.
func (c *clientConn) hasNoPendingRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingCount == 0
}

// shouldCloseAfter reports whether to close the connection after a response, and if so stops accepting requests. The
// connection stays open while further requests are pending and, unless closing is mandatory, when the next request has
// started to arrive: these requests would be lost.
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
		// Closing while the client still sends its body would cause a reset, which can discard the response.
		c.lingerTimeout = bodyStallTimeout
	}
	return true
}

// staysOpenAfterTimeout reports whether the connection stays open after a read timed out because a request still has no
// response. This includes a connection that was evicted just as its request arrived.
func (c *clientConn) staysOpenAfterTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingCount > 0 && !c.closed
}

// setReadTimeout sets the deadline of the following reads. The linger timeout replaces the given timeout after the last
// response and for an evicted connection without pending requests.
func (c *clientConn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.evicting && c.pendingCount == 0 {
		timeout = max(c.lingerTimeout, closeLinger)
	}
	c.conn.SetReadDeadline(time.Now().Add(timeout))
}

// discardInput reads and discards input until the client closes or the linger time ends. It detects that the client has
// closed, and keeps unread input from causing a reset that discards the response.
func (c *clientConn) discardInput() {
	c.setReadTimeout(clientIdleTimeout)
	var share workShare
	for {
		c.conn.discardBuffered()
		received := c.conn.receivedBytes.Load()
		if c.conn.fill() != nil {
			return
		}
		if share.add(int(c.conn.receivedBytes.Load() - received)) {
			time.Sleep(discardPause)
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

// writeLoop writes the responses in request order. After the client has closed or a write has failed it only waits for
// the remaining requests to end. Then it closes the connection.
func (c *clientConn) writeLoop() {
	defer func() {
		c.recordClose()
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
		c.releaseRequest(pending)
		c.endRequest()
	}
}

// writeResponse writes one response and reports whether the connection stays open. After the last response it closes
// the sending side; the read loop then lingers until the client closes.
func (c *clientConn) writeResponse(pending *pendingRequest, answer *response, last bool) (keepOpen bool) {
	defer c.frontend.node.recoverPanic("response", func() { c.conn.Close() })
	head := answer.encodeHead(pending, last)
	complete := false
	if answer.stream != nil {
		c.streaming.Store(true)
		complete = c.streamResponse(pending, answer, head)
		c.streaming.Store(false)
	} else {
		text := head.text
		if allowsResponseBody(pending.method) {
			text = append(text, answer.body...)
		}
		complete = writePaced(c.conn, text) == nil
	}
	if !complete {
		c.setCloseReason(clientCloseWriteFailed)
		c.conn.abort()
		return false
	}
	if last {
		if !pending.closeAfter {
			c.setCloseReason(clientCloseNodeEnds)
		}
		c.lingerUntil.Store(time.Now().Add(maxLinger).UnixNano())
		c.conn.closeWrite()
		c.setReadTimeout(closeLinger)
	}
	return !last
}
