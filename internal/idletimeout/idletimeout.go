// Package idletimeout estimates how long a connection may be idle and still be reused, from connections that turned out
// to be dead when they were used. A single dead connection may have another cause, so a node confirms an idle time only
// after several dead connections in a row. Where nodes exchange confirmations, lowering the limit takes a quorum of
// them, because a middlebox or endpoint that drops idle connections does so for many nodes. Times are in nanoseconds.
package idletimeout

import "math"

const (
	// consecutiveDeadToConfirm is the number of dead connections in a row that confirm that idle ones are dropped.
	consecutiveDeadToConfirm = 2
	// trustedNumerator over trustedDenominator is the fraction of a dead connection's idle time that is still allowed.
	trustedNumerator, trustedDenominator = 3, 4
	// confirmationDecayPerSecond is the fraction of the confirmations that still counts after a second.
	confirmationDecayPerSecond = 0.5
	// nodesPerConfirmation is the number of nodes per confirmation needed for the quorum, within about two seconds. The
	// quorum is a small fraction of the nodes, since each of them rarely encounters a dead connection.
	nodesPerConfirmation = 25
	// growthDivisor: the limit grows by 1/growthDivisor of itself per second.
	growthDivisor = 32
)

// Estimator holds the estimate of one node. Create it with New. It is not safe for concurrent use.
type Estimator struct {
	// Limit is the idle time in nanoseconds beyond which a connection must not be reused.
	Limit           int64
	lastDeadIdle    int64   // idle time of the last dead connection
	consecutiveDead int     // dead connections since one was alive after a similar or longer idle time
	confirmations   float64 // decayed count, from this node and others
}

// New returns an estimator without a limit.
func New() Estimator { return Estimator{Limit: math.MaxInt64} }

// Reset removes the limit, for use when new connections can't be opened.
func (e *Estimator) Reset() {
	e.Limit = math.MaxInt64
	e.consecutiveDead = 0
}

// RecordAlive records that a connection worked after an idle time; 0: it was not idle.
func (e *Estimator) RecordAlive(idle int64) {
	if idle > 0 && idle >= e.lastDeadIdle/trustedDenominator*trustedNumerator {
		e.consecutiveDead = 0
	}
}

// RecordDead records that a connection was dead after an idle time, and reports whether this confirms that connections
// of this idle time are dropped. If so, the caller calls Confirm and may send the confirmation to other nodes.
func (e *Estimator) RecordDead(idle int64) bool {
	e.lastDeadIdle = idle
	e.consecutiveDead++
	return e.consecutiveDead >= consecutiveDeadToConfirm
}

// Confirm counts a confirmation for an idle time, of this node or another one, and lowers the limit once there is a
// quorum. If nodes exchange confirmations (gossiped), the quorum is one for every nodesPerConfirmation nodes; otherwise
// a single confirmation is enough.
func (e *Estimator) Confirm(idle int64, gossiped bool, nodes int) {
	needed := 1.0
	if gossiped {
		needed = float64(nodes) / nodesPerConfirmation
	}
	e.confirmations++
	if e.confirmations >= needed {
		trusted := float64(trustedNumerator) / trustedDenominator * float64(idle)
		e.Limit = min(e.Limit, int64(trusted))
	}
}

// Decay reduces the weight of confirmations and lets the limit grow back. The caller invokes it once a second.
func (e *Estimator) Decay() {
	e.confirmations *= confirmationDecayPerSecond
	e.Limit += min(e.Limit/growthDivisor, math.MaxInt64-e.Limit)
}
