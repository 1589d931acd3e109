package node

// Reading a request from a client connection: its head, and its body as far as the node has memory for it. What is
// longer is streamed.

import (
	"errors"
	"net/http"
	"os"
	"time"
)

const (
	headTimeout          = 2500 * time.Millisecond // for a head, from its first byte; for the first, from admission
	initialBodyReserve   = 4 << 10                 // bytes reserved at first for a body of unknown length
	bodyMemoryHardFactor = 2                       // bodies are rejected once the buffered ones exceed the limit so far
)

// errClientClosed ends the read loop: the connection ended before the next request began, or was idle for too long.
var errClientClosed = errors.New("the client closed the connection")

// readRequest reads one request, or as much of a long one as is buffered; the rest is then p.source. A client may
// take its time before a request begins, but not within, nor before its first one: a silent connection holds a
// descriptor. An error for which isMalformed holds is to be answered, any other ends the connection.
func (c *clientConn) readRequest(pending *pendingRequest) (*http.Request, error) {
	first := !c.used
	if err := c.awaitFirstByte(first); err != nil {
		return nil, err
	}
	startedAt := c.beginMessage(first)
	request, m, err := c.conn.readRequestHead(c.hasNoPendingRequests)
	if err != nil {
		return nil, err
	}
	pending.method = request.Method
	pending.http10 = !request.ProtoAtLeast(1, 1)
	c.conn.pacer = &readPacer{start: startedAt, grace: bodyGrace, stall: bodyStall, minRate: minBodyRate}
	complete, err := c.readBody(pending, m)
	if err != nil || complete {
		c.conn.pacer = nil
		m.end()
		return request, err
	}
	pending.source = newBodySource(c.conn, m)
	return request, nil
}

// awaitFirstByte waits until something of the next request is buffered.
func (c *clientConn) awaitFirstByte(first bool) error {
	for len(c.conn.buffered()) == 0 {
		timeout := clientIdleTimeout
		if first { // at least closeLinger, so that what has come is read also where the time has just ended
			timeout = max(time.Until(c.slotAcquiredAt.Add(headTimeout)), closeLinger)
		}
		c.setReadTimeout(timeout)
		err := c.conn.fill()
		if errors.Is(err, os.ErrDeadlineExceeded) && (c.conn.hasInput() || c.staysOpenAfterTimeout()) {
			continue
		}
		if err != nil {
			return errClientClosed
		}
	}
	return nil
}

// beginMessage notes that a message is being read, sets the deadline of its head, and returns the time from which that
// counts.
func (c *clientConn) beginMessage(first bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageStartedAt = time.Now()
	startedAt := c.messageStartedAt
	if first {
		startedAt = c.slotAcquiredAt
	}
	c.conn.SetReadDeadline(startedAt.Add(headTimeout))
	return startedAt
}

// readBody reads a body into memory, or as much of a long one as there is memory for, and reports whether that is all.
func (c *clientConn) readBody(pending *pendingRequest, m *message) (complete bool, err error) {
	if m.length == 0 {
		return true, nil
	}
	limit := initialBodyReserve
	switch {
	case m.length > minBufferedBody && m.length <= maxBufferedBody && c.reserveBody(pending, int(m.length), false):
		limit = int(m.length)
	case m.length > 0:
		limit = int(min(m.length, minBufferedBody))
	}
	c.reserveBody(pending, limit, true)
	for {
		pending.body, complete, err = m.readUpTo(pending.body, limit)
		if complete || err != nil || m.length > 0 {
			return complete, err
		}
		limit *= 2
		if limit > maxBufferedBody || !c.reserveBody(pending, limit, limit <= minBufferedBody) {
			return false, nil
		}
	}
}

// reserveBody makes room for a number of bytes of a request's body and reports whether there is memory for it; forced,
// there always is. releaseBody gives the memory back.
func (c *clientConn) reserveBody(pending *pendingRequest, size int, force bool) bool {
	node := c.frontend.node
	missing := int64(size - cap(pending.body))
	if missing <= 0 {
		return true
	}
	if node.bufferedBytes.Add(missing) > node.maxBufferedBytes.Load() && !force {
		node.bufferedBytes.Add(-missing)
		return false
	}
	reserved := make([]byte, len(pending.body), size)
	copy(reserved, pending.body)
	pending.body = reserved
	return true
}

// releaseBody gives back the memory that was reserved for a request's body.
func (c *clientConn) releaseBody(pending *pendingRequest) {
	c.frontend.node.bufferedBytes.Add(-int64(cap(pending.body)))
}

// awaitStreamedBody waits until a streamed body has been read by its attempt, and reports whether the connection goes on.
func (c *clientConn) awaitStreamedBody(pending *pendingRequest) bool {
	<-pending.source.ended
	pending.source.message.end()
	c.conn.pacer = nil
	if !pending.bodyIncomplete() {
		return true
	}
	loop := c.frontend.node.loop
	loop.post(func() { loop.bodyFailed(pending) })
	return false
}

// isMalformed reports an error of reading a request that is the client's fault and is answered with statusFor.
func isMalformed(err error) bool {
	return errors.Is(err, errMalformed) || errors.Is(err, errHeadTooLong) || errors.Is(err, errBodyTooLong) ||
		errors.Is(err, os.ErrDeadlineExceeded)
}

// statusFor is the status that answers an error for which isMalformed holds.
func statusFor(err error) int {
	switch {
	case errors.Is(err, errHeadTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
