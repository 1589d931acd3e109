package node

// Which client connections are closed to make room for others, or because the node is drained. An idle connection is
// asked to close; its read loop ends it unless a request has come meanwhile.

import (
	"slices"
	"time"
)

const (
	messageStallTimeout = time.Second            // of silence within a message, after which its connection counts as idle
	drainIdleDelay      = time.Second            // after a drain began, by when no more clients connect
	drainIdleInterval   = 100 * time.Millisecond // between looks for idle connections of a drained node
)

// evictionCandidate is an idle connection.
type evictionCandidate struct {
	conn       *clientConn
	used       bool // it has brought a request
	lastUsedAt time.Time
}

// compareEviction orders connections that never brought a request first, as a flood must not take the slots of clients
// that do, and then those idle longest.
func compareEviction(a, b evictionCandidate) int {
	switch {
	case a.used == b.used:
		return a.lastUsedAt.Compare(b.lastUsedAt)
	case b.used:
		return -1
	}
	return 1
}

// evictIdleAheadLocked asks some idle connections to close before their slots are needed.
func (f *frontend) evictIdleAheadLocked() { f.evictIdleLocked(1 + f.maxOpen/evictAheadDivisor) }

// evictIdleLocked asks up to n idle connections to close, in the order of compareEviction. A connection used less
// than recentUseWindow ago is spared while there are free slots and any connection that never brought a request, even
// one that can't be closed yet. Without a free slot it goes as well: to spare it would leave all new connections a
// few slots to pass through one after another, while their requests wait.
func (f *frontend) evictIdleLocked(n int) {
	now := time.Now()
	idle, anyUnused := f.idleConnsLocked(now)
	slices.SortFunc(idle, compareEviction)
	spareRecent := anyUnused && !f.overSoftLimitLocked() && !f.fullLocked() && n < len(f.open)
	for _, candidate := range idle[:max(0, min(n, len(idle)))] {
		recent := candidate.used && now.Sub(candidate.lastUsedAt) <= recentUseWindow
		if !recent || !spareRecent {
			candidate.conn.evict(now)
		}
	}
}

// idleConnsLocked returns the idle connections, and whether any connection, idle or not, never brought a request.
func (f *frontend) idleConnsLocked(now time.Time) (idle []evictionCandidate, anyUnused bool) {
	for c := range f.open {
		c.mu.Lock()
		if c.idleLocked(now) {
			idle = append(idle, evictionCandidate{c, c.used, c.lastUsedAt})
		}
		anyUnused = anyUnused || !c.used && !c.evicting
		c.mu.Unlock()
	}
	return idle, anyUnused
}

// evictAllIdle asks all idle connections to close and returns how many connections are left, with those that wait for a
// slot.
func (f *frontend) evictAllIdle() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictIdleLocked(len(f.open))
	return len(f.open) + int(f.waitingForSlot.Load())
}

// abortStreams resets the connections on which a response is being streamed. Guards against an incomplete response that
// looks complete: the end of the process would close the connections in order, and for some responses that is the end.
func (f *frontend) abortStreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.open {
		if c.streaming.Load() {
			c.conn.abort()
		}
	}
}

// closeIdleWhileDrained closes idle connections while the node is drained, for as long as the process runs. Connections
// in use end with their next response.
func (f *frontend) closeIdleWhileDrained() {
	var drainedSince time.Time
	for now := range time.Tick(drainIdleInterval) {
		switch {
		case !f.node.overrides.drained():
			drainedSince = time.Time{}
		case drainedSince.IsZero():
			drainedSince = now
		case now.Sub(drainedSince) > drainIdleDelay:
			f.evictAllIdle()
		}
	}
}

// idleLocked reports that the connection has no request and none is being read, or one whose client has stopped within.
func (c *clientConn) idleLocked(now time.Time) bool {
	if c.pendingCount > 0 || c.closed || c.evicting || now.Sub(c.lastUsedAt) <= closeLinger {
		return false
	}
	if c.messageStartedAt.IsZero() {
		return true
	}
	lastProgressNs := max(c.conn.lastReadAt.Load(), c.messageStartedAt.UnixNano())
	return now.UnixNano()-lastProgressNs > int64(messageStallTimeout)
}

// evict asks an idle connection to close. It wakes the read loop, which alone knows whether a request has come
// meanwhile.
func (c *clientConn) evict(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleLocked(now) {
		return
	}
	c.evicting = true
	c.conn.SetReadDeadline(inThePast)
	c.frontend.node.counters.add(clientsEvicted)
}
