package node

// Reading a request from a client connection: its head, and as much of its body as the node has memory for. The rest of
// a longer body is streamed.

import (
	"errors"
	"net/http"
	"os"
	"time"
)

const (
	headTimeout        = 2500 * time.Millisecond // from the first byte of a head, or from acquiring the slot
	initialBodyReserve = 4 << 10                 // bytes of a body that are buffered regardless of the memory in use
)

// errClientClosed ends the read loop: the connection was closed between requests, or idle for too long.
var errClientClosed = errors.New("client closed the connection or was idle for too long")

// readRequest reads one request. If the body is too long to be buffered, pending.source supplies the rest. The idle
// timeout applies between requests; within a request, and before the first one of a connection, the shorter headTimeout
// applies, because a silent connection occupies a descriptor. The caller answers an error if isMalformed is true for
// it, and ends the connection on any other error.
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
	c.conn.pacer = &readPacer{start: startedAt, gracePeriod: bodyGracePeriod, stallTimeout: bodyStallTimeout, minBytesPerSecond: minBodyBytesPerSecond}
	complete, err := c.readBody(pending, m)
	if err != nil || complete {
		c.conn.pacer = nil
		m.end()
		pending.arrivedAt = c.arrivedAt(c.conn.inputOffset())
		return request, err
	}
	pending.source = newBodySource(&c.arrivals, m, len(pending.body))
	pending.arrivedAt = c.arrivedAt(pending.source.end)
	return request, nil
}

// arrivedAt returns when the last byte of the request that has been read arrived, given the offset behind it: now, unless
// it had arrived while nothing was read. It returns now as well if the offset is unknown or the byte is still to come.
func (c *clientConn) arrivedAt(end int64) time.Time {
	if end == unknownLength {
		return time.Now()
	}
	c.arrivals.forget(end)
	if at, complete := c.arrivals.completeAt(end); complete {
		return at
	}
	return time.Now()
}

// awaitFirstByte waits until the first bytes of the next request are buffered.
func (c *clientConn) awaitFirstByte(first bool) error {
	for len(c.conn.buffered()) == 0 {
		timeout := clientIdleTimeout
		if first { // at least closeLinger, so that bytes that have already arrived are still read
			timeout = max(time.Until(c.slotAcquiredAt.Add(headTimeout)), closeLinger)
		}
		c.setReadTimeout(timeout)
		waits := !c.conn.hasInput()
		err := c.conn.fill()
		switch {
		case err == nil && waits:
			c.presence.confirm()
		case err == nil && !c.clientGone():
			c.presence.observe()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && (c.conn.hasInput() || c.staysOpenAfterTimeout()) {
			continue
		}
		if err != nil {
			return errClientClosed
		}
	}
	return nil
}

// beginMessage records that a message is being read, sets the read deadline for its head, and returns the time at which
// headTimeout started.
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

// readBody reads a body into memory, as far as there is memory for it, and reports whether it has read all of it. Memory
// is reserved as the body arrives, so that clients that declare long bodies and send little take little. Of a body over
// maxBufferedBody only minBufferedBody is buffered.
func (c *clientConn) readBody(pending *pendingRequest, m *message) (complete bool, err error) {
	if m.length == 0 {
		return true, nil
	}
	most := maxBufferedBody
	if m.length > maxBufferedBody {
		most = minBufferedBody
	}
	limit := initialBodyReserve
	if m.length > 0 {
		limit = int(min(m.length, initialBodyReserve))
	}
	c.reserveBody(pending, limit, true)
	for {
		pending.body, complete, err = m.readUpTo(pending.body, limit)
		if complete || err != nil || limit >= most {
			return complete, err
		}
		limit = min(2*limit, most)
		if m.length > 0 {
			limit = int(min(int64(limit), m.length))
		}
		if !c.reserveBody(pending, limit, false) {
			return false, nil
		}
	}
}

// reserveBody grows the request's body buffer to a size and reports whether the node's memory limit allows it. With
// force it ignores the limit. releaseBody releases the memory.
func (c *clientConn) reserveBody(pending *pendingRequest, size int, force bool) bool {
	memory := &c.frontend.node.memory
	missing := size - cap(pending.body)
	switch {
	case missing <= 0:
		return true
	case force:
		memory.force(missing)
	case !memory.reserve(missing):
		return false
	}
	reserved := make([]byte, len(pending.body), size)
	copy(reserved, pending.body)
	pending.body = reserved
	return true
}

// releaseRequest releases the memory reserved for a request's head and body, and its place among the streamed requests.
func (c *clientConn) releaseRequest(pending *pendingRequest) {
	node := c.frontend.node
	node.memory.release(cap(pending.head) + cap(pending.body))
	if pending.countedStreamed {
		node.streamedRequests.Add(-1)
	}
}

// awaitStreamedBody waits until the attempt has finished reading a streamed body. It reports whether the body is
// complete, so that the connection can be used for the next request.
func (c *clientConn) awaitStreamedBody(pending *pendingRequest) bool {
	c.arrivals.observeUntil(pending.source.ended)
	pending.source.message.end()
	c.conn.pacer = nil
	if !pending.bodyIncomplete() {
		c.arrivals.forget(pending.source.end)
		return true
	}
	loop := c.frontend.node.loop
	loop.post(func() { loop.bodyFailed(pending) })
	return false
}

// isMalformed reports whether an error of readRequest is the client's fault and is answered with statusFor.
func isMalformed(err error) bool {
	return errors.Is(err, errMalformed) || errors.Is(err, errHeadTooLong) || errors.Is(err, errBodyTooLong) ||
		errors.Is(err, errFieldCount) || errors.Is(err, errNoBufferMemory) || errors.Is(err, os.ErrDeadlineExceeded)
}

// statusFor returns the response status for an error for which isMalformed is true.
func statusFor(err error) int {
	switch {
	case errors.Is(err, errNoBufferMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, errHeadTooLong), errors.Is(err, errFieldCount):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
