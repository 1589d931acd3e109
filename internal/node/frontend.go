package node

// The client side: the listener and the set of client connections, with the limits of their number. Accepting is in
// accept.go, the choice of connections to close in evict.go, one connection in clientconn.go.
//
// Lent slots. The node's descriptors are divided between clients and upstreams (limits.go). Each attempt has a client
// that waits for it, so where the upstreams' part is used up an attempt may have the descriptor of an idle client:
// upstreams.waitForSlot asks lendSlotToUpstream, which lends a free slot, or has idle clients closed (evict.go) and has the
// attempt ask again. At most maxSlotsLentToUpstreams are lent. They are given back by upstreams.trimIdleLocked once upstreams have
// fewer connections again.

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientIdleTimeout = 20 * time.Second // between requests
	recentUseWindow   = 2 * time.Second  // idle for less, a used connection is spared while others can go
	closeLinger       = 25 * time.Millisecond
	slotLendTimeout   = 4 * closeLinger // an attempt waits so long for the slot of an idle client, or longer (waitForSlot)
	evictAheadDivisor = 16              // a sixteenth is asked to close ahead of need, as each takes a moment
)

// frontend is the set of client connections. Each connection has a slot; some slots may be lent to attempts.
type frontend struct {
	node           *Node
	listener       net.Listener  // closed by accept when it ends
	acceptWake     chan struct{} // holds one value once accept is to go on after a pause
	paused         atomic.Bool   // another process takes new connections from the same socket
	draining       atomic.Bool   // what the kernel has accepted is still taken, then the listener is closed
	acceptDone     chan struct{} // closed when accept has ended
	usedConns      atomic.Int64  // open connections that have brought a request
	activeConns    atomic.Int64  // open connections with a request that has no response yet
	waitingForSlot atomic.Int64  // accepted connections that wait for a slot

	mu         sync.Mutex
	open       map[*clientConn]struct{}
	maxOpen    int // slots of connections with requests
	spareSlots int // further slots, for connections whose requests are rejected over capacity
	softLimit  int // used connections from which on idle ones are closed for new ones, also with free slots

	maxSlotsLentToUpstreams atomic.Int64 // slots of maxOpen that attempts may have
	slotsLentToUpstreams    atomic.Int64 // and have now
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

// setLimits sets how many connections there may be, and closes idle ones beyond maxOpen: another process of this node
// may have their descriptors.
func (f *frontend) setLimits(maxOpen, spareSlots, softLimit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxOpen = maxOpen
	f.spareSlots = spareSlots
	f.softLimit = softLimit
	f.evictIdleLocked(len(f.open) - maxOpen)
}

// capacity is how many connections may have requests.
func (f *frontend) capacity() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clientSlotsLocked()
}

// clientSlotsLocked is how many connections may have requests beside the slots that are lent.
func (f *frontend) clientSlotsLocked() int { return f.maxOpen - int(f.slotsLentToUpstreams.Load()) }

// fullLocked reports that no slot is left, spare ones included.
func (f *frontend) fullLocked() bool { return len(f.open) >= f.clientSlotsLocked()+f.spareSlots }

// overSoftLimitLocked reports that many clients hold connections which they have used. Guards against clients that ask once
// and keep their connection: the load balancers in front of a node hold only so many to it, and with all of them idle
// no other client could ask.
func (f *frontend) overSoftLimitLocked() bool {
	return int(f.usedConns.Load()) >= f.softLimit
}

// slotOffer is the answer to an attempt that needs the slot of a client.
type slotOffer int

const (
	slotUnavailable slotOffer = iota
	slotPending               // an idle client has been asked to leave: ask again
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
	return fmt.Sprintf("offer %d", int(o))
}

// lendSlotToUpstream lends an attempt a free slot, or asks idle clients to leave theirs. upstreams.trimIdleLocked gives it back.
// Guards against idle clients that keep attempts from getting a connection.
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

// remove forgets a connection that has been closed.
func (f *frontend) remove(c *clientConn) {
	if c.used {
		f.usedConns.Add(-1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}
