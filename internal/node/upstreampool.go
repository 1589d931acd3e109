package node

// The connections to upstreams: which endpoints may get requests and where, idle connections and when they may be used
// again, and how many connections there may be.

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

	"fawnglade/policy"
)

const (
	// extraInputCooldown is how long a connection is not used again after a response that may come twice. Guards
	// against response desynchronization: some upstreams send a duplicate some milliseconds later, and on a kept
	// connection it would be taken for the response to the next request.
	extraInputCooldown   = 8 * time.Millisecond
	extraInputWindow     = time.Minute          // after input beyond a response, all have a cooldown
	lentSlotPollInterval = 2 * time.Millisecond // between looks for the slot of a client that has been asked to leave
	slotWaitDivisor      = 4                    // the part of an attempt's time that it may wait for a slot
)

// upstreamConn is a connection to an upstream. One attempt or health check uses it at a time; while it is idle it is
// the pool's, and idleSince and idleElement are guarded by the pool's lock.
type upstreamConn struct {
	*bufferedConn
	target       upstreamTarget
	idleSince    time.Time     // when it was last put back; zero: it was opened for its present use
	idleElement  *list.Element // in upstreams.idleOrder
	lastRejected bool          // its last response rejected the request
}

// upstreams carries attempts and health checks to upstreams and has the connections to them.
type upstreams struct {
	node           *Node
	dial           func(ctx context.Context, address string, deadline time.Time) (net.Conn, error)
	attempts       chan *attempt // unbuffered: taken by an idle worker
	idleWorkers    atomic.Int64
	maxIdleWorkers atomic.Int64

	mu        sync.Mutex
	eligible  map[policy.EndpointID]string       // the addresses of the endpoints that may get new requests
	idleConns map[upstreamTarget][]*upstreamConn // the longest idle first
	idleOrder list.List                          // of all idle connections, the longest idle first
	open      int                                // connections open or being opened
	maxOpen   int                                // beside the slots that the frontend lends

	extraInputCooldown time.Duration // as the constant, but for tests
	lastExtraInputAt   atomic.Int64  // Unix time in nanoseconds at which more than a response came last; 0: never

	healthChecks chan struct{} // holds one value for each health check in flight
}

func newUpstreams(n *Node) *upstreams {
	u := &upstreams{
		node:               n,
		attempts:           make(chan *attempt),
		eligible:           map[policy.EndpointID]string{},
		idleConns:          map[upstreamTarget][]*upstreamConn{},
		extraInputCooldown: extraInputCooldown,
		healthChecks:       make(chan struct{}, maxHealthChecks),
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

// setLimit sets how many connections there may be, and closes idle ones beyond that.
func (u *upstreams) setLimit(maxOpen int) {
	u.maxIdleWorkers.Store(int64(min(maxIdleWorkersCap, max(maxOpen/idleWorkerDivisor, 1))))
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxOpen = maxOpen
	u.trimIdleLocked()
}

// trimIdleLocked closes idle connections beyond maxOpen, and gives the frontend back the slots that are not needed.
func (u *upstreams) trimIdleLocked() {
	for u.open > u.maxOpen && u.idleOrder.Len() > 0 {
		u.evictLongestIdleLocked()
	}
	needed := int64(max(0, u.open-u.maxOpen))
	lent := &u.node.frontend.slotsLentToUpstreams
	lent.Add(min(0, needed-lent.Load()))
}

// mayUse reports whether an endpoint may get new requests at an address, by the endpoint list and by the operators'
// overrides. Any goroutine may ask.
func (u *upstreams) mayUse(target upstreamTarget) bool {
	return !u.node.overrides.isDisabled(target.endpoint) && u.isEligible(target)
}

func (u *upstreams) isEligible(target upstreamTarget) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	address, ok := u.eligible[target.endpoint]
	return ok && address == target.address
}

// setAddress sets where an endpoint gets new requests; if it is not eligible it gets none.
func (u *upstreams) setAddress(endpoint policy.EndpointID, address string, eligible bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if eligible {
		u.eligible[endpoint] = address
	} else {
		delete(u.eligible, endpoint)
	}
}

// acquire returns a connection to the attempt's target: an idle one, or a new one. The caller returns it with putIdle
// or closeConn. An attempt without a request is a health check, which never waits for a client's slot.
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
			return nil, errNoConnectionSlot // no fault of the endpoint
		}
		return nil, err
	}
	u.node.counters.add(upstreamConnsOpened)
	return &upstreamConn{bufferedConn: newBufferedConn(raw), target: a.target}, nil
}

// acquireIdle returns an idle connection that is fit for use, nil if there is none, and closes those that are not fit.
func (u *upstreams) acquireIdle(target upstreamTarget) *upstreamConn {
	for {
		conn := u.takeIdle(target)
		if conn == nil {
			return nil
		}
		expired := conn.idleSince.Before(u.idleCutoff())
		if !expired && conn.isReusable() {
			return conn
		}
		u.recordExtraInput(conn.hasInput())
		u.closeConn(conn)
		if !expired {
			u.node.counters.add(upstreamConnsFoundClosed)
		}
	}
}

// takeIdle takes the connection that was used last, so that the others may expire. One in its cooldown is skipped. All
// connections have a cooldown if extra input has come within extraInputWindow. Otherwise only those have one whose last
// response was a rejection, as opening another connection costs more than the wait.
func (u *upstreams) takeIdle(target upstreamTarget) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	extraInputSeen := now.UnixNano()-u.lastExtraInputAt.Load() < int64(extraInputWindow)
	idle := u.idleConns[target]
	for i, conn := range slices.Backward(idle) {
		mayRepeat := extraInputSeen || conn.lastRejected
		if mayRepeat && now.Sub(conn.idleSince) < u.extraInputCooldown {
			continue
		}
		u.idleConns[target] = slices.Delete(idle, i, i+1)
		u.idleOrder.Remove(conn.idleElement)
		return conn
	}
	return nil
}

// recordExtraInput notes whether more than a request's response has come on a connection.
func (u *upstreams) recordExtraInput(came bool) {
	if came {
		u.lastExtraInputAt.Store(time.Now().UnixNano())
	}
}

// waitForSlot reserves a slot for a connection, if need be one that the frontend lends (frontend.go). It returns
// errNoConnectionSlot if there is none. It waits while an idle client is to leave, for slotLendTimeout or a part of the
// attempt's time, whichever is longer: on a busy machine a client takes long to leave, and another attempt would wait for
// the same slot. The rest of the time is for the request.
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

// reserveSlot makes room for one more connection, if need be in place of the one that has been idle longest.
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

// closeConn closes a connection that is not idle.
func (u *upstreams) closeConn(conn *upstreamConn) {
	conn.Close()
	u.releaseSlot()
}

// putIdle keeps a connection for the next attempt, unless its endpoint may get no more requests: then it is closed, as
// closeIdle may have come before.
func (u *upstreams) putIdle(conn *upstreamConn) {
	conn.SetDeadline(time.Time{})
	conn.shrink()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.eligible[conn.target.endpoint] != conn.target.address {
		conn.Close()
		u.open--
		return
	}
	conn.idleSince = time.Now()
	conn.idleElement = u.idleOrder.PushBack(conn)
	u.idleConns[conn.target] = append(u.idleConns[conn.target], conn)
}

// evictLongestIdleLocked closes the connection that has been idle longest; there must be one.
func (u *upstreams) evictLongestIdleLocked() {
	oldest := u.idleOrder.Front().Value.(*upstreamConn)
	u.closeTargetIdleLocked(oldest.target, 1)
}

// closeTargetIdleLocked closes the n connections to a target that have been idle longest.
func (u *upstreams) closeTargetIdleLocked(target upstreamTarget, n int) {
	idle := u.idleConns[target]
	for _, conn := range idle[:n] {
		u.closeIdleLocked(conn)
	}
	if n == len(idle) {
		delete(u.idleConns, target)
		return
	}
	u.idleConns[target] = slices.Clone(idle[n:])
}

// closeIdleLocked closes an idle connection; the caller removes it from idleConns.
func (u *upstreams) closeIdleLocked(conn *upstreamConn) {
	conn.Close()
	u.idleOrder.Remove(conn.idleElement)
	u.open--
	u.node.counters.add(upstreamConnsIdleClosed)
}

// closeIdle closes the idle connections to a target.
func (u *upstreams) closeIdle(target upstreamTarget) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeTargetIdleLocked(target, len(u.idleConns[target]))
}

// idleCutoff is the time since which a connection must have been used to be used again: three quarters of the idle
// timeout, so that the upstream does not close it just then. A request written to a connection that is being closed may
// have run for all that is known.
func (u *upstreams) idleCutoff() time.Time {
	timeout := time.Duration(u.node.settings.IdleTimeout)
	return time.Now().Add(-timeout * 3 / 4)
}

// closeExpired closes connections that have been idle for too long, and those that their upstream has closed, as they
// hold descriptors.
func (u *upstreams) closeExpired() {
	cutoff := u.idleCutoff()
	u.mu.Lock()
	defer u.mu.Unlock()
	for target, idle := range u.idleConns {
		kept := idle[:0]
		for _, conn := range idle {
			if conn.idleSince.After(cutoff) && conn.isReusable() {
				kept = append(kept, conn)
				continue
			}
			u.recordExtraInput(conn.hasInput())
			u.closeIdleLocked(conn)
		}
		u.idleConns[target] = kept
		if len(kept) == 0 {
			delete(u.idleConns, target)
		}
	}
	u.trimIdleLocked()
}
