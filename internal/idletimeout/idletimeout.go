// Package idletimeout learns for how long a connection may have been idle and still be trusted, from those that were
// dead when they were used. A single dead connection may have a cause of its own, so a node confirms an idle time only
// after several in a row, and where nodes exchange confirmations, a quorum of them is needed to lower the limit: what
// drops idle connections does so for many nodes. Times are in nanoseconds.
package idletimeout

import "math"

const (
	// consecutiveDeadToConfirm is how many dead connections in a row confirm that idle ones are dropped.
	consecutiveDeadToConfirm = 2
	// trustedNumerator over trustedDenominator is the part of the idle time of a dead connection that is trusted still.
	trustedNumerator, trustedDenominator = 3, 4
	// confirmationDecayPerSecond is the part of the confirmations that still counts a second later.
	confirmationDecayPerSecond = 0.5
	// nodesPerConfirmation: the quorum is one confirmation for so many nodes, within about two seconds. It is a
	// small part of the nodes, as each meets a dead connection seldom.
	nodesPerConfirmation = 25
	// growthDivisor: the trusted time grows by this part of itself a second.
	growthDivisor = 32
)

// Estimator is what one node knows. It starts with New and is not safe for concurrent use.
type Estimator struct {
	// Limit is the idle time beyond which a connection is not to be used.
	Limit           int64
	lastDeadIdle    int64   // idle time of the last one that was dead
	consecutiveDead int     // since one survived about as long
	confirmations   float64 // decayed count, of this node and of others
}

// New returns an estimator that trusts every connection.
func New() Estimator { return Estimator{Limit: math.MaxInt64} }

// Reset trusts every connection again, for when new ones can't be opened.
func (e *Estimator) Reset() {
	e.Limit = math.MaxInt64
	e.consecutiveDead = 0
}

// Survived takes in a connection that worked after an idle time; 0: it was not idle.
func (e *Estimator) RecordAlive(idle int64) {
	if idle > 0 && idle >= e.lastDeadIdle/trustedDenominator*trustedNumerator {
		e.consecutiveDead = 0
	}
}

// Died takes in a connection that was dead after an idle time, and reports whether that confirms that connections of
// this idle time are dropped; the caller then calls Confirm, and may tell other nodes.
func (e *Estimator) RecordDead(idle int64) bool {
	e.lastDeadIdle = idle
	e.consecutiveDead++
	return e.consecutiveDead >= consecutiveDeadToConfirm
}

// Confirm counts a confirmation of this node or of another one, for an idle time, and lowers the limit once there is a
// quorum: where nodes exchange them (gossiped), one for each nodesPerConfirmation of the nodes, else this one.
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

// Decay lets confirmations count for less and the limit grow back. The caller invokes it once a second.
func (e *Estimator) Decay() {
	e.confirmations *= confirmationDecayPerSecond
	e.Limit += min(e.Limit/growthDivisor, math.MaxInt64-e.Limit)
}
