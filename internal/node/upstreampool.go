package node

// The pool of connections to upstreams: which endpoints may get requests and at which address, when idle connections
// may be reused, and how many connections may be open.

import (
	"container/list"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fawnglade/internal/sockstate"
	"fawnglade/policy"
)

const (
	// reuseCooldown is how long a connection is not reused after a response. Nothing in a response says which request it
	// belongs to, and some upstreams send one a second time some milliseconds later: on a connection that has been
	// reused by then it would be read as the response to the next request, and each response after it would be too.
	reuseCooldown        = 12 * time.Millisecond
	lentSlotPollInterval = 2 * time.Millisecond // while a client connection is being closed for its slot
	slotWaitDivisor      = 4                    // an attempt waits for a slot for 1/slotWaitDivisor of its time
	streamedDivisor      = 2                    // of the connections, for requests whose bodies are streamed
	streamedRequestBytes = 64 << 10             // of the memory for messages, for each of these requests
)

// upstreamConn is a connection to an upstream. It is used by one attempt or health check at a time. An idle connection
// is owned by the pool, whose lock guards idleSince and idleElement.
type upstreamConn struct {
	*bufferedConn
	target       upstreamTarget
	openedAt     time.Time
	requestCount int           // requests written, health checks included
	idleSince    time.Time     // when it last became idle; zero: never
	idleElement  *list.Element // in upstreams.idleOrder

	lastDigest     responseDigest // of its last response
	lastResponseAt time.Time      // when that was complete

	// For diagnostics.
	id              uint64 // of this connection in this process, from 1
	lastRequest     string // ID of the last request written; empty: none, or a health check
	previousRequest string // ID of the request before that
	idleBeforeLast  time.Duration
	failure         string // error of the attempt that ended the connection
}

// beginRequest records that a request is about to be written. A health check has no ID.
func (c *upstreamConn) beginRequest(id policy.RequestID) {
	c.requestCount++
	c.previousRequest = c.lastRequest
	c.lastRequest = string(id)
	c.idleBeforeLast = 0
	if !c.idleSince.IsZero() {
		c.idleBeforeLast = time.Since(c.idleSince)
	}
}

// upstreams runs attempts and health checks, and owns the connections to upstreams.
type upstreams struct {
	node           *Node
	dial           func(ctx context.Context, address string, deadline time.Time) (net.Conn, error)
	attempts       chan *attempt // unbuffered: received by an idle worker
	idleWorkers    atomic.Int64
	maxIdleWorkers atomic.Int64
	connCount      atomic.Uint64 // connections opened, to number them

	mu        sync.Mutex
	eligible  map[policy.EndpointID]string       // addresses of the endpoints that may get new requests
	idleConns map[upstreamTarget][]*upstreamConn // longest idle first
	idleOrder list.List                          // all idle connections, longest idle first
	open      int                                // connections open or being opened
	maxOpen   int                                // not counting the slots lent by the frontend

	reuseCooldown   time.Duration // the constant, except in tests
	recentResponses recentResponses
	breaks          connectionBreaks

	healthChecks chan struct{} // semaphore: one value for each health check in flight
}

func newUpstreams(n *Node) *upstreams {
	u := &upstreams{
		node:          n,
		attempts:      make(chan *attempt),
		eligible:      map[policy.EndpointID]string{},
		idleConns:     map[upstreamTarget][]*upstreamConn{},
		reuseCooldown: reuseCooldown,
		healthChecks:  make(chan struct{}, maxHealthChecks),
	}
	u.dial = u.connect
	return u
}

// connect opens a connection within the connect timeout and before the deadline.
func (u *upstreams) connect(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   time.Duration(u.node.settings.ConnectTimeout),
		Deadline:  deadline,
		KeepAlive: -1,
	}
	dialer.SetMultipathTCP(false)
	return dialer.DialContext(ctx, "tcp", address)
}

// setLimit sets the maximum number of connections, and closes idle ones beyond it.
func (u *upstreams) setLimit(maxOpen int) {
	u.maxIdleWorkers.Store(int64(min(maxIdleWorkersCap, max(maxOpen/idleWorkerDivisor, 1))))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxOpen = maxOpen
	u.trimIdleLocked()
}

// maxStreamedRequests returns how many requests may stream their bodies at a time.
func (u *upstreams) maxStreamedRequests() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	byMemory := u.node.memory.limit.Load() / streamedRequestBytes
	return max(min(int64(u.maxOpen/streamedDivisor), byMemory), 1)
}

// trimIdleLocked closes idle connections beyond maxOpen, and returns the slots that are no longer needed to the
// frontend.
func (u *upstreams) trimIdleLocked() {
	for u.open > u.maxOpen && u.idleOrder.Len() > 0 {
		u.evictLongestIdleLocked()
	}
	needed := int64(max(0, u.open-u.maxOpen))
	lent := &u.node.frontend.slotsLentToUpstreams
	lent.Add(min(0, needed-lent.Load()))
}

// mayUse reports whether an endpoint may get new requests at an address, according to the endpoint list and the
// operators' overrides. It is safe for concurrent use.
func (u *upstreams) mayUse(target upstreamTarget) bool {
	return !u.node.overrides.isDisabled(target.endpoint) && u.isEligible(target)
}

func (u *upstreams) isEligible(target upstreamTarget) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	address, ok := u.eligible[target.endpoint]
	return ok && address == target.address
}

// setAddress sets the address at which an endpoint gets new requests. An endpoint that is not eligible gets none.
func (u *upstreams) setAddress(endpoint policy.EndpointID, address string, eligible bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if eligible {
		u.eligible[endpoint] = address
	} else {
		delete(u.eligible, endpoint)
		u.breaks.forget(upstreamTarget{endpoint, address})
	}
}

// acquire returns an idle or a new connection to the attempt's target. The caller releases it with putIdle or
// closeConn. An attempt without a request is a health check, which never waits for a client's slot.
func (u *upstreams) acquire(a *attempt, deadline time.Time) (*upstreamConn, error) {
	if conn := u.acquireIdle(a.target); conn != nil {
		return conn, nil
	}
	if err := u.waitForSlot(a, deadline); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !a.setOnCancel(cancel) {
		cancel()
	}
	raw, err := u.dial(ctx, a.target.address, deadline)
	if err != nil {
		u.releaseSlot()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			return nil, errNoConnectionSlot // this node is out of descriptors, not the endpoint
		}
		return nil, err
	}
	u.node.counters.add(upstreamConnsOpened)
	return &upstreamConn{
		bufferedConn: newBufferedConn(raw, &u.node.memory),
		target:       a.target,
		openedAt:     time.Now(),
		id:           u.connCount.Add(1),
	}, nil
}

// acquireIdle returns a reusable idle connection, or nil if there is none. It closes the unusable ones that it finds.
func (u *upstreams) acquireIdle(target upstreamTarget) *upstreamConn {
	for {
		conn := u.takeIdle(target)
		if conn == nil {
			return nil
		}
		reason, unusable := u.idleCloseReason(conn, u.idleCutoff())
		if !unusable {
			return conn
		}
		u.closeConn(conn, reason)
		if reason != closeIdleTimeout {
			u.node.counters.add(upstreamConnsFoundClosed)
		}
	}
}

// takeIdle removes and returns the most recently used connection that has passed its cooldown, so that the others may
// expire.
func (u *upstreams) takeIdle(target upstreamTarget) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	idle := u.idleConns[target]
	for i, conn := range slices.Backward(idle) {
		if u.isCoolingDown(conn, now) {
			continue
		}
		u.idleConns[target] = slices.Delete(idle, i, i+1)
		u.idleOrder.Remove(conn.idleElement)
		return conn
	}
	return nil
}

// isCoolingDown reports whether an idle connection must not be reused yet. One that has carried no request may be.
func (u *upstreams) isCoolingDown(conn *upstreamConn, now time.Time) bool {
	return conn.requestCount > 0 && now.Sub(conn.idleSince) < u.reuseCooldown
}

// waitForSlot reserves a slot for a connection, if necessary one that the frontend lends (frontend.go). It returns
// errNoConnectionSlot if there is none. While an idle client connection is being closed for its slot, it waits for
// slotLendTimeout or for 1/slotWaitDivisor of the attempt's time, whichever is longer: on a busy machine closing takes
// long, and another attempt would wait for the same slot. The rest of the time is left for the request.
func (u *upstreams) waitForSlot(a *attempt, deadline time.Time) error {
	began := time.Now()
	giveUp := began.Add(max(slotLendTimeout, deadline.Sub(began)/slotWaitDivisor))
	for !u.reserveSlot() {
		switch u.node.frontend.lendSlotToUpstream() {
		case slotLent:
			continue
		case slotUnavailable:
			return errNoConnectionSlot
		}
		isHealthCheck := a.request == nil
		if isHealthCheck || a.isCanceled() || time.Now().After(giveUp) {
			return errNoConnectionSlot
		}
		time.Sleep(lentSlotPollInterval)
	}
	return nil
}

// reserveSlot reserves a slot for one more connection, if necessary by closing the longest idle one.
func (u *upstreams) reserveSlot() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.maxOpen+int(u.node.frontend.slotsLentToUpstreams.Load()) {
		if u.idleOrder.Len() == 0 {
			return false
		}
		u.evictLongestIdleLocked()
	}
	u.open++
	return true
}

func (u *upstreams) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
}

// idleCloseReason reports whether an idle connection must not be used again, and why.
func (u *upstreams) idleCloseReason(conn *upstreamConn, cutoff time.Time) (closeReason, bool) {
	reusable, hasInput := conn.idleState()
	switch {
	case hasInput:
		return closeUnsolicitedInput, true
	case conn.idleSince.Before(cutoff):
		return closeIdleTimeout, true
	}
	return closeByUpstream, !reusable
}

// closeConn closes a connection that is in use. Bytes that the upstream's machine has not received are withdrawn:
// otherwise the kernel would send the rest of a request that has been given up.
func (u *upstreams) closeConn(conn *upstreamConn, reason closeReason) {
	u.recordClose(conn, reason)
	if sockstate.UnacknowledgedBytes(conn.Conn) > 0 {
		conn.abort()
	}
	conn.Close()
	conn.releaseBuffer()
	u.releaseSlot()
}

// putIdle returns a connection to the pool. It closes the connection if its endpoint is no longer eligible, as
// closeIdle may have run before.
func (u *upstreams) putIdle(conn *upstreamConn) {
	conn.SetDeadline(time.Time{})
	conn.shrink()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.eligible[conn.target.endpoint] != conn.target.address {
		u.recordClose(conn, closeIneligible)
		conn.Close()
		conn.releaseBuffer()
		u.open--
		return
	}
	conn.idleSince = time.Now()
	conn.idleElement = u.idleOrder.PushBack(conn)
	u.idleConns[conn.target] = append(u.idleConns[conn.target], conn)
}

// evictLongestIdleLocked closes the longest idle connection of the pool, which must not be empty.
func (u *upstreams) evictLongestIdleLocked() {
	oldest := u.idleOrder.Front().Value.(*upstreamConn)
	u.closeTargetIdleLocked(oldest.target, 1, closeSlotNeeded)
}

// closeTargetIdleLocked closes the n longest idle connections to a target.
func (u *upstreams) closeTargetIdleLocked(target upstreamTarget, n int, reason closeReason) {
	idle := u.idleConns[target]
	for _, conn := range idle[:n] {
		u.closeIdleLocked(conn, reason)
	}
	if n == len(idle) {
		delete(u.idleConns, target)
		return
	}
	u.idleConns[target] = slices.Clone(idle[n:])
}

// closeIdleLocked closes an idle connection; the caller removes it from idleConns.
func (u *upstreams) closeIdleLocked(conn *upstreamConn, reason closeReason) {
	u.recordClose(conn, reason)
	conn.Close()
	conn.releaseBuffer()
	u.idleOrder.Remove(conn.idleElement)
	u.open--
	u.node.counters.add(upstreamConnsIdleClosed)
}

// closeIdle closes all idle connections to a target.
func (u *upstreams) closeIdle(target upstreamTarget) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeTargetIdleLocked(target, len(u.idleConns[target]), closeIdleOfEndpoint)
}

// idleCutoff returns the earliest last use of a reusable connection: three quarters of the idle timeout ago, so that
// the upstream does not close the connection while a request is written to it. Such a request may have been executed.
func (u *upstreams) idleCutoff() time.Time {
	timeout := time.Duration(u.node.settings.IdleTimeout)
	return time.Now().Add(-timeout * 3 / 4)
}

// closeExpired closes connections that have been idle for too long or were closed by their upstream, because they hold
// descriptors.
func (u *upstreams) closeExpired() {
	cutoff := u.idleCutoff()
	u.mu.Lock()
	defer u.mu.Unlock()
	for target, idle := range u.idleConns {
		kept := idle[:0]
		for _, conn := range idle {
			reason, unusable := u.idleCloseReason(conn, cutoff)
			if !unusable {
				kept = append(kept, conn)
				continue
			}
			u.closeIdleLocked(conn, reason)
		}
		u.idleConns[target] = kept
		if len(kept) == 0 {
			delete(u.idleConns, target)
		}
	}
	u.trimIdleLocked()
}
