package node

// Whether a client is still there. Its close is seen at once, unless so much unread input lies before it that the rest
// waits at the client's machine, with the end behind it. Nothing tells whether such a client has left, so that for it no
// attempt begins any more.

import (
	"sync/atomic"
	"time"

	"fawnglade/internal/sockstate"
)

const (
	// visibleInputBytes is how much unread input certainly leaves room for the client's end: the receive window of a
	// connection is 64 KiB at the least.
	visibleInputBytes = 32 << 10
	// presenceTimeout is how long after its client was last known to be there a request may be sent. By the deployment's
	// contract an attempt that begins more than 100 ms after the client has closed is a fault.
	presenceTimeout = 80 * time.Millisecond
)

// clientPresence is what is known of a client's presence. It is safe for concurrent use.
type clientPresence struct {
	conn   *bufferedConn
	clock  clock
	seenAt atomic.Int64 // when the client was last known to be there, by the clock
}

// confirm records that the client is there: it has just sent something, or its end would be visible.
func (p *clientPresence) confirm() { p.seenAt.Store(p.clock.nanos()) }

// observe records that the client is there if its end would be visible.
func (p *clientPresence) observe() (visible bool) {
	visible = sockstate.UnreadBytes(p.conn.Conn) < visibleInputBytes
	if visible {
		p.confirm()
	}
	return visible
}

// gone reports whether the client has closed its connection.
func (p *clientPresence) gone() bool { return p.conn.closedByPeer() }

// uncertain reports whether the client may have left without a sign of it. It is called when gone has returned false.
func (p *clientPresence) uncertain() bool {
	if p.observe() {
		return false
	}
	return p.clock.nanos()-p.seenAt.Load() > int64(presenceTimeout)
}
