// Package discovery opens the watch of an endpoint list at discovery: Call has the connections, Pace the rules of when
// a further one is opened.
package discovery

import "slices"

// Pace decides when a further call is opened beside those that wait, and which of two is given up for a third.
// Discovery answers calls in turn, also those that were given up, and a node that calls anew begins at the end of the
// queue: so the call that waits longest is kept, unless discovery may never have received it.
//
// Gaps between calls: the second call comes after the first gap. The gaps after it are short for as long as most
// outages last (14 s with a gap of 3 s): by the contract with discovery a change counts as known to the node 6 s after
// discovery could be reached, and all calls may have gone to a machine that has vanished. Then they double, as each
// call costs a slow discovery another turn.
//
// Times are nanoseconds of any one clock. A Pace is not safe for concurrent use.
type Pacer struct {
	firstGap, gap           int64
	retryInterval           int64
	retryBackoff            int64 // after the next dial that fails
	openedCount             int   // connections, in all
	consecutiveDialFailures int   // in a row
	due                     int64
	calls                   []call // those that are out, the longest waiting first
}

// MaxCalls is how many calls may be out at a time.
const MaxCalls = 2

const (
	second = int64(1e9)
	// maxRetryBackoff bounds the backoff while discovery can't be reached.
	maxRetryBackoff = second
	// unreachableAfter is how many failed dials in a row show that discovery can't be reached; one may be due to load.
	unreachableAfter = 2
	// maxGapFactor bounds the doubling of gaps: the one call that is kept may have been lost.
	maxGapFactor = 256
)

// gapFactors are the gaps from the second call to the third and so on, in multiples of Pace.gap; after them they
// double.
var gapFactors = []float64{1, 4. / 3, 4. / 3}

type call struct {
	id           int
	possiblyLost bool // discovery could not be reached since it was made
}

// NewPacer begins with a call that is due now.
func NewPacer(now, firstGap, gap, retryInterval int64) *Pacer {
	return &Pacer{firstGap: firstGap, gap: gap, retryInterval: retryInterval, retryBackoff: retryInterval, due: now}
}

// Due is when the next connection is to be opened.
func (p *Pacer) Due() int64 { return p.due }

// ConnectionOpened takes in a call whose connection is open. If ok, the call replaced has to be closed before the
// request is sent.
func (p *Pacer) ConnectionOpened(now int64, id int) (replaced int, ok bool) {
	if len(p.calls) == MaxCalls {
		i := p.indexToReplace()
		replaced, ok = p.calls[i].id, true
		p.calls = slices.Delete(p.calls, i, i+1)
	}
	p.calls = append(p.calls, call{id: id})
	p.openedCount++
	p.due = now + p.nextGap()
	p.consecutiveDialFailures, p.retryBackoff = 0, p.retryInterval
	return replaced, ok
}

// nextGap is the gap after as many calls as were opened.
func (p *Pacer) nextGap() int64 {
	const maxDoublings = 30 // far beyond maxGapFactor
	if p.openedCount == 1 {
		return p.firstGap
	}
	n := p.openedCount - 2
	last := len(gapFactors) - 1
	doublings := min(max(n-last, 0), maxDoublings)
	factor := gapFactors[min(n, last)] * float64(int64(1)<<doublings)
	return int64(float64(p.gap) * min(factor, maxGapFactor))
}

// indexToReplace is the index of the call to give up for another: one that may be lost, else the one that has waited less.
func (p *Pacer) indexToReplace() int {
	if i := slices.IndexFunc(p.calls, func(c call) bool { return c.possiblyLost }); i >= 0 {
		return i
	}
	return len(p.calls) - 1
}

// DialFailed takes in a connection that could not be opened.
func (p *Pacer) DialFailed(now int64) {
	p.consecutiveDialFailures++
	if p.consecutiveDialFailures >= unreachableAfter {
		for i := range p.calls {
			p.calls[i].possiblyLost = true
		}
	}
	p.due = now + p.retryBackoff
	p.retryBackoff = min(2*p.retryBackoff, max(maxRetryBackoff, p.retryInterval))
}

// CallEnded takes in a call that discovery has ended, or whose response was an error. It reports whether another is
// out.
func (p *Pacer) CallEnded(id int) (others bool) {
	p.calls = slices.DeleteFunc(p.calls, func(c call) bool { return c.id == id })
	return len(p.calls) > 0
}

// HeadReceived takes in the head of a response. The body has to begin within a time, so the next call is due no later.
func (p *Pacer) HeadReceived(now, within int64) { p.due = min(p.due, now+within) }
