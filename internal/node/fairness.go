package node

// Fairness between connections. The runtime lets a goroutine that never waits run for 10 ms before it runs another, and
// looks for new input only as often while any goroutine can run. A peer at full speed therefore would delay each step of
// every other request. Goroutines yield after a bounded amount of work, and the requests of a single connection are
// limited in rate, as yielding alone does not help once the core is used up.

import (
	"runtime"
	"time"

	"golang.org/x/time/rate"
)

const (
	yieldBytes = 64 << 10 // copied between two yields

	// A connection may send connRequestRate requests a second after a burst. Beyond that it takes from a rate that all
	// connections share, so that one that sends ahead is only slowed down if many do.
	connRequestRate    = 50
	connRequestBurst   = 64
	sharedRequestRate  = 2000 // per core
	sharedRequestBurst = 1000

	// maxPacedAge is how long a request may wait for its turn. A connection whose requests wait longer sends more than
	// can be answered in time; it is closed.
	maxPacedAge = 250 * time.Millisecond

	discardPause = time.Millisecond // per yieldBytes of input that is read only to be discarded
)

// workShare counts the work of a goroutine and yields after yieldBytes of it.
type workShare struct{ bytes int }

// add counts bytes that were copied, and reports whether it has yielded.
func (w *workShare) add(bytes int) bool {
	w.bytes += bytes
	if w.bytes < yieldBytes {
		return false
	}
	w.bytes = 0
	runtime.Gosched()
	return true
}

// newSharedRequestLimiter returns the rate that all connections share; cores is 0 if it is not configured.
func newSharedRequestLimiter(cores float64) *rate.Limiter {
	if cores == 0 || cores > 1 {
		cores = 1 // one goroutine decides
	}
	return rate.NewLimiter(rate.Limit(sharedRequestRate*cores), sharedRequestBurst)
}

func newConnRequestLimiter() *rate.Limiter { return rate.NewLimiter(connRequestRate, connRequestBurst) }

// awaitTurn waits until the connection may have one more request handled, and meanwhile observes what arrives. It
// reports false if the request has waited for too long, because the connection has sent too many.
func (c *clientConn) awaitTurn(pending *pendingRequest) bool {
	runtime.Gosched()
	if c.requestLimiter.Allow() || c.frontend.node.requestLimiter.Allow() {
		return true
	}
	c.frontend.node.counters.add(requestsPaced)
	delay := c.requestLimiter.Reserve().Delay()
	c.arrivals.begin(time.Now())
	for until := time.Now().Add(delay); ; {
		left := time.Until(until)
		if left <= 0 {
			break
		}
		time.Sleep(min(left, arrivalPollInterval))
		c.arrivals.observe(time.Now())
	}
	return time.Since(pending.arrivedAt) <= maxPacedAge
}
