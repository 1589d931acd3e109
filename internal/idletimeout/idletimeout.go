// Package idletimeout learns for how long a connection may have been idle and still be trusted, from those that were
// dead when they were used. Times are in nanoseconds.
package idletimeout

import "math"

const (
	// deadInARowToConfirm is how many dead connections in a row are a sign.
	deadInARowToConfirm = 2
	// trustedNumerator over trustedDenominator is the part of the idle time of a dead connection that is trusted still.
	trustedNumerator, trustedDenominator = 3, 4
	// signDecayPerSecond is the part of the signs that still counts a second later.
	signDecayPerSecond = 0.5
	// nodesPerSign: where nodes exchange signs, it takes one from one node in so many.
	nodesPerSign = 25
	// growthDivisor: the trusted time grows by this part of itself a second.
	growthDivisor = 32
)

// Estimator is what one node knows. It starts with New and is not safe for concurrent use.
type Estimator struct {
	// Limit is the idle time beyond which a connection is not to be used.
	Limit         int64
	lastDeadAfter int64 // idle time of the last one that was dead
	deadInARow    int   // since one survived about as long
	signs         float64
}

// New returns an estimator that trusts every connection.
func New() Estimator { return Estimator{Limit: math.MaxInt64} }

// Reset trusts every connection again, for when new ones can't be opened.
func (e *Estimator) Reset() {
	e.Limit = math.MaxInt64
	e.deadInARow = 0
}

// Survived takes in a connection that worked after an idle time; 0: it was not idle.
func (e *Estimator) Survived(idle int64) {
	if idle > 0 && idle >= e.lastDeadAfter/trustedDenominator*trustedNumerator {
		e.deadInARow = 0
	}
}

// Died takes in a connection that was dead after an idle time, and reports whether that is a sign, for Confirm.
func (e *Estimator) Died(idle int64) bool {
	e.lastDeadAfter = idle
	e.deadInARow++
	return e.deadInARow >= deadInARowToConfirm
}

// Confirm counts a sign of this node or of another one, for an idle time. Where nodes exchange them, it acts on signs
// of a part of the nodes only.
func (e *Estimator) Confirm(idle int64, exchanged bool, nodes int) {
	needed := 1.0
	if exchanged {
		needed = float64(nodes) / nodesPerSign
	}
	e.signs++
	if e.signs >= needed {
		trusted := float64(trustedNumerator) / trustedDenominator * float64(idle)
		e.Limit = min(e.Limit, int64(trusted))
	}
}

// Decay lets signs fade and the trusted time grow back. The caller invokes it once a second.
func (e *Estimator) Decay() {
	e.signs *= signDecayPerSecond
	e.Limit += min(e.Limit/growthDivisor, math.MaxInt64-e.Limit)
}
