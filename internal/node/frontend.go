package node

// The client side: the listener, the set of client connections, and the limits on their number. Accepting is in
// accept.go, eviction of idle connections in evict.go, a single connection in clientconn.go.
//
// Slot lending: the node's descriptors are divided between client and upstream connections (limits.go); a slot stands
// for one descriptor. If all upstream slots are in use, the frontend lends slots of client connections to attempts,
// because a client is waiting for each attempt. upstreams.waitForSlot calls lendSlotToUpstream, which lends a free
// slot, or evicts idle clients and lets the attempt call again. At most maxSlotsLentToUpstreams are lent at a time.
// upstreams.trimIdleLocked returns them once upstreams have fewer connections.

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientIdleTimeout = 20 * time.Second      // between requests of a connection
	recentUseWindow   = 2 * time.Second       // a connection used this recently is spared if possible (evictIdleLocked)
	closeLinger       = 25 * time.Millisecond // wait for the peer to close after the last response
	slotLendTimeout   = 4 * closeLinger       // minimum wait of an attempt for the slot of an idle client (waitForSlot)
	evictAheadDivisor = 16                    // 1/16 of the slots are evicted ahead of need, as closing is not immediate
)

// frontend accepts and tracks the client connections. Each connection occupies a slot; free slots may be lent to
// attempts.
type frontend struct {
	node           *Node
	listener       net.Listener  // closed by acceptLoop when it ends
	acceptWake     chan struct{} // holds one value after resume or drainAndClose, for a paused acceptLoop
	paused         atomic.Bool   // another process accepts from the shared socket
	draining       atomic.Bool   // the listener closes once its backlog is empty
	acceptOnce     sync.Once
	accepting      atomic.Bool   // acceptLoop has been started
	acceptDone     chan struct{} // closed when acceptLoop has ended
	usedConns      atomic.Int64  // open connections with at least one request so far
	activeConns    atomic.Int64  // open connections with an unanswered request
	waitingForSlot atomic.Int64  // accepted connections that wait for a slot

	mu         sync.Mutex
	open       map[*clientConn]struct{}
	maxOpen    int // slots for connections with requests
	spareSlots int // additional slots, whose connections get a rejection
	softLimit  int // number of used connections at which new ones evict idle ones even if slots are free

	maxSlotsLentToUpstreams atomic.Int64 // upper bound for slotsLentToUpstreams
	slotsLentToUpstreams    atomic.Int64 // slots of maxOpen in use by upstream connections
}

func newFrontend(n *Node, listener net.Listener) *frontend {
	return &frontend{
		node:       n,
		listener:   listener,
		acceptWake: make(chan struct{}, 1),
		acceptDone: make(chan struct{}),
		open:       map[*clientConn]struct{}{},
	}
}

// setLimits sets the connection limits and evicts idle connections beyond maxOpen, because another process of this node
// may need their descriptors.
func (f *frontend) setLimits(maxOpen, spareSlots, softLimit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxOpen = maxOpen
	f.spareSlots = spareSlots
	f.softLimit = softLimit
	f.evictIdleLocked(len(f.open) - maxOpen)
}

// capacity returns the number of connections that may have requests.
func (f *frontend) capacity() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clientSlotsLocked()
}

// clientSlotsLocked returns the number of slots for connections with requests that are not lent to upstreams.
func (f *frontend) clientSlotsLocked() int { return f.maxOpen - int(f.slotsLentToUpstreams.Load()) }

// fullLocked reports whether no slot is free, not even a spare one.
func (f *frontend) fullLocked() bool { return len(f.open) >= f.clientSlotsLocked()+f.spareSlots }

// overSoftLimitLocked reports whether too many clients keep connections open after a request. The load balancers in
// front of a node limit their connections to it; if idle clients held all of them, no other client could send a
// request.
func (f *frontend) overSoftLimitLocked() bool { return int(f.usedConns.Load()) >= f.softLimit }

// slotOffer is the result of lendSlotToUpstream.
type slotOffer int

const (
	slotUnavailable slotOffer = iota
	slotPending               // idle clients are being evicted: call again
	slotLent
)

func (o slotOffer) String() string {
	switch o {
	case slotUnavailable:
		return "unavailable"
	case slotPending:
		return "pending"
	case slotLent:
		return "lent"
	}
	return fmt.Sprintf("slot offer %d", int(o))
}

// lendSlotToUpstream lends a free slot to an attempt, or evicts idle clients so that slots become free. Idle clients
// therefore can't keep attempts from getting a connection. upstreams.trimIdleLocked returns the slot.
func (f *frontend) lendSlotToUpstream() slotOffer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slotsLentToUpstreams.Load() >= f.maxSlotsLentToUpstreams.Load() {
		return slotUnavailable
	}
	if !f.fullLocked() {
		f.slotsLentToUpstreams.Add(1)
		return slotLent
	}
	f.evictIdleAheadLocked()
	if int(f.activeConns.Load()) < len(f.open) {
		return slotPending
	}
	return slotUnavailable
}

// remove removes a closed connection from the set.
func (f *frontend) remove(c *clientConn) {
	if c.used {
		f.usedConns.Add(-1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}
