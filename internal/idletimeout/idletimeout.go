// Package idletimeout owns for how long a connection may have stood unused and still be trusted, learned from those that were dead when
// used. It must never know a connection or a clock. Times are nanoseconds.
package idletimeout

import "math"

const (
	inARow  = 2    // own signs that count
	part    = 0.75 // of the time after which one was dead: what stood longer is no longer trusted
	forget  = 0.5  // part of the signs that still counts a second later
	signers = 25   // where nodes tell one another: one in so many has to see connections die
	grows   = 32   // the trust grows back by this part of itself a second
)

// Estimator is one node's. Begin with Whole.
type Estimator struct {
	Limit int64 // connections unused for longer are not to be used
	last  int64 // one was dead after so long
	row   int   // own signs since one lived about as long
	said  float64
}

// New trusts every connection.
func New() Estimator { return Estimator{Limit: math.MaxInt64} }

// Reset trusts all again: closing those that stand open is no remedy.
func (t *Estimator) Reset() { t.Limit, t.row = math.MaxInt64, 0 }

// Survived takes in a connection that worked after so long.
func (t *Estimator) Survived(gap int64) {
	if gap > 0 && gap >= t.last/4*3 {
		t.row = 0
	}
}

// Died takes in an own sign of one that was dead after so long, and tells whether it is to be believed.
func (t *Estimator) Died(gap int64) bool {
	t.last = gap
	t.row++
	return t.row >= inARow
}

// Confirm counts a sign that is believed, an own one or what another node tells. Where nodes tell one another it takes signs from a
// part of them to act; nodes: how many there are.
func (t *Estimator) Confirm(gap int64, tell bool, nodes int) {
	signs := 1.0
	if tell {
		signs = float64(nodes) / signers
	}
	if t.said++; t.said >= signs {
		t.Limit = min(t.Limit, int64(part*float64(gap)))
	}
}

// Decay is called once a second.
func (t *Estimator) Decay() {
	t.said *= forget
	t.Limit += min(t.Limit/grows, math.MaxInt64-t.Limit)
}
