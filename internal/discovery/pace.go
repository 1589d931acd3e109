// Package discovery opens a watch of the endpoint list at the discovery service. Call manages the connections, and
// Pacer decides when a further one is opened.
package discovery

import "slices"

// Pacer decides when a further call is made while others are waiting for a response, and which of two waiting calls is
// abandoned for a third. Discovery answers calls in order of arrival, including abandoned ones, and a new call starts
// at the end of its queue. So the call that has waited longest is kept, unless discovery may never have received it.
//
// The second call is made after the first gap. Later gaps stay short for the duration of most outages (14 s with a gap
// of 3 s): by the contract with discovery the node must know a change 6 s after discovery has become reachable, and all
// calls may have been sent to a host that has since vanished. After that the gaps double, since each call takes a slow
// discovery the time of one more response.
//
// Times are in nanoseconds of one clock of the caller's choice. A Pacer is not safe for concurrent use.
type Pacer struct {
	firstGap, secondGap     int64
	gap                     int64 // the unit of later gaps
	retryInterval           int64
	retryBackoff            int64 // delay after the next failed dial
	openedCount             int   // connections opened so far
	consecutiveDialFailures int
	due                     int64  // when the next connection is to be opened
	calls                   []call // in flight, the longest waiting first
}

// MaxCalls is the maximum number of calls in flight.
const MaxCalls = 2

const (
	second = int64(1e9)
	// maxRetryBackoff bounds the backoff while discovery can't be reached.
	maxRetryBackoff = second
	// unreachableAfter is the number of failed dials in a row after which discovery counts as unreachable. A single one
	// may be due to load.
	unreachableAfter = 2
	// maxGapFactor bounds the doubling of gaps, since the call that is kept may have been lost.
	maxGapFactor = 256
)

// gapFactors are the gaps after the third and later calls, in multiples of Pacer.gap. After the last one, gaps double.
var gapFactors = []float64{4. / 3, 4. / 3}

// call is a call in flight.
type call struct {
	id           int
	possiblyLost bool // discovery has been unreachable since the call was made
}

// NewPacer returns a pacer whose first call is due now.
func NewPacer(now, firstGap, gap, retryInterval int64) *Pacer {
	return &Pacer{
		firstGap:      firstGap,
		secondGap:     gap,
		gap:           gap,
		retryInterval: retryInterval,
		retryBackoff:  retryInterval,
		due:           now,
	}
}

// Due returns the time when the next connection is to be opened.
func (p *Pacer) Due() int64 { return p.due }

// ConnectionOpened records that the connection of a call is open. If ok, the caller must close the call with the ID
// replaced before it sends the request.
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

// nextGap returns the gap after the call that was opened last.
func (p *Pacer) nextGap() int64 {
	const maxDoublings = 30 // far beyond maxGapFactor
	switch p.openedCount {
	case 1:
		return p.firstGap
	case 2:
		return p.secondGap
	}
	n := p.openedCount - 3
	last := len(gapFactors) - 1
	doublings := min(max(n-last, 0), maxDoublings)
	factor := gapFactors[min(n, last)] * float64(int64(1)<<doublings)
	return int64(float64(p.gap) * min(factor, maxGapFactor))
}

// indexToReplace returns the index of the call to abandon for a new one: a possibly lost one, otherwise the one that
// has waited the shortest time.
func (p *Pacer) indexToReplace() int {
	if i := slices.IndexFunc(p.calls, func(c call) bool { return c.possiblyLost }); i >= 0 {
		return i
	}
	return len(p.calls) - 1
}

// DialFailed records that a connection could not be opened.
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

// CallEnded records that discovery closed a call or responded with an error. It reports whether another call is in
// flight.
func (p *Pacer) CallEnded(id int) (othersInFlight bool) {
	p.calls = slices.DeleteFunc(p.calls, func(c call) bool { return c.id == id })
	return len(p.calls) > 0
}

// HeadReceived records that the head of a response was received. The body must start within bodyTimeout, so the next
// call is due no later than that.
func (p *Pacer) HeadReceived(now, bodyTimeout int64) { p.due = min(p.due, now+bodyTimeout) }
