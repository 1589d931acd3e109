package node

// Eviction of idle client connections, to make room for new ones or because the node is drained. Evicting a connection
// wakes its read loop, which closes the connection unless a request has arrived meanwhile.

import (
	"slices"
	"time"
)

const (
	messageStallTimeout = time.Second            // without input within a message, its connection counts as idle
	drainIdleDelay      = time.Second            // wait after a drain started, until clients have stopped connecting
	drainIdleInterval   = 100 * time.Millisecond // between evictions of idle connections while the node is drained
)

// evictionCandidate is an idle connection.
type evictionCandidate struct {
	conn       *clientConn
	used       bool // at least one request was read
	lastUsedAt time.Time
}

// compareEviction orders candidates for eviction: first connections without any request yet, so that a connection flood
// does not take the slots of clients that send requests, then those idle longest.
func compareEviction(a, b evictionCandidate) int {
	switch {
	case a.used == b.used:
		return a.lastUsedAt.Compare(b.lastUsedAt)
	case b.used:
		return -1
	}
	return 1
}

// evictIdleAheadLocked evicts some idle connections before their slots are needed.
func (f *frontend) evictIdleAheadLocked() { f.evictIdleLocked(1 + f.maxOpen/evictAheadDivisor) }

// evictIdleLocked evicts up to n idle connections in the order of compareEviction. A connection used within
// recentUseWindow is spared while there are free slots and at least one connection without any request yet, even if
// that one can't be closed yet. Without a free slot it is evicted as well: sparing it would leave only a few slots,
// which all new connections would have to use one after another while their requests wait. Above the soft limit, or if
// n includes all open connections, none is spared.
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

// idleConnsLocked returns the idle connections, and whether any connection, idle or not, has had no request yet.
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

// evictAllIdle evicts all idle connections and returns the number of open connections, including those that wait for a
// slot.
func (f *frontend) evictAllIdle() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictIdleLocked(len(f.open))
	return len(f.open) + int(f.waitingForSlot.Load())
}

// abortStreams resets the connections on which a response is being streamed. When the process exits, the kernel would
// close them normally, and an incomplete response delimited by the end of its connection would look complete.
func (f *frontend) abortStreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.open {
		if c.streaming.Load() {
			c.conn.abort()
		}
	}
}

// closeIdleWhileDrained evicts idle connections whenever the node is drained. It never returns. Active connections
// close after their next response.
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

// idleLocked reports whether the connection can be evicted: it has no pending request, was last used more than
// closeLinger ago, is not being closed, and is not reading a message or has received nothing of it for
// messageStallTimeout. The caller holds c.mu.
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

// evict marks an idle connection for closing and wakes its read loop, which closes it unless a request has arrived
// meanwhile.
func (c *clientConn) evict(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleLocked(now) {
		return
	}
	c.evicting = true
	c.conn.SetReadDeadline(expiredDeadline)
	c.frontend.node.counters.add(clientsEvicted)
}
