package node

// The wait of a starting process for discovery. Where discovery pushes the endpoint list, each change that it has
// is binding from the start of a process, but the list of the configuration or state directory may be old. So the
// process waits until its list is known to be current, and sends nothing to endpoints before.
//
// A single call that fails or is not answered does not end the wait: it may be slow or overloaded. By its protocol
// calls also fail because they have waited too long, so it counts as down only where all calls have failed at once for
// some time. The wait is limited in any case, as a process must also be ready in time during an outage. After it the
// process serves with the list that it has, and goes on calling.

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// Given by the deployment's contract.
	readyTimeout       = 6 * time.Second // from the start of a process until it is ready
	successorListDelay = 2 * time.Second // from a ready successor until changes of the list are binding for it

	readyMargin = 500 * time.Millisecond // of readyTimeout, for starting the program and for readiness checks
	// startAcceptDelay is how long a starting process leaves connections in the listen backlog, so that their requests
	// need not be rejected if discovery answers soon.
	startAcceptDelay = 200 * time.Millisecond
	// unchangedListDelay is how long a watch has no line of the list after its first empty one until that counts as the
	// answer: longer than the interval of empty lines, as a slow discovery may send one before its list.
	unchangedListDelay = 2500 * time.Millisecond
	// discoveryDownDelay is how long all calls must fail at once until discovery counts as down.
	discoveryDownDelay = 3 * time.Second
	queuedCallTime     = 500 * time.Millisecond // a call that failed later may have waited in discovery's queue
)

// firstListResult is why a starting process stops waiting for discovery.
type firstListResult int

const (
	firstListMissing       firstListResult = iota // not settled
	firstListReceived                             // discovery or a relay has sent the list, or changes of it
	firstListUnchanged                            // discovery has nothing newer than the list of the start
	firstListTooLong                              // discovery's list exceeds the limits and can't be used
	firstListDiscoveryDown                        // all calls have failed at once for discoveryDownDelay
	firstListResultCount
)

var firstListNames = [firstListResultCount]string{
	firstListMissing:       "missing",
	firstListReceived:      "received",
	firstListUnchanged:     "unchanged",
	firstListTooLong:       "too long",
	firstListDiscoveryDown: "discovery down",
}

func (r firstListResult) String() string { return nameOf(firstListNames[:], int(r)) }

// firstList records the first answer of discovery or relays. Its methods settle and current are safe for concurrent
// use; the others are for the goroutine of the endpoint watch.
type firstList struct {
	once    sync.Once
	settled chan struct{} // closed once result is set
	result  firstListResult

	unchangedTimer *time.Timer // settles after an empty line; nil: none is due
	failingSince   time.Time   // start of the first of the last calls that all failed at once; zero: there is none
}

func newFirstList() *firstList { return &firstList{settled: make(chan struct{})} }

// settle records the first answer. Later calls have no effect.
func (f *firstList) settle(result firstListResult) {
	f.once.Do(func() {
		f.result = result
		close(f.settled)
	})
}

// current returns the result so far, without waiting.
func (f *firstList) current() firstListResult {
	select {
	case <-f.settled:
		return f.result
	default:
		return firstListMissing
	}
}

// emptyLineReceived handles an empty line of a watch that requested the changes after a version. Discovery sends the
// changes first, so if none follow there are none.
func (f *firstList) emptyLineReceived() {
	if f.unchangedTimer == nil {
		f.unchangedTimer = time.AfterFunc(unchangedListDelay, func() { f.settle(firstListUnchanged) })
	}
}

// lineStarted handles the start of a line of the list, and the end of the watch: an empty line before is no answer.
func (f *firstList) lineStarted() {
	if f.unchangedTimer != nil {
		f.unchangedTimer.Stop()
		f.unchangedTimer = nil
	}
}

// callFailed handles a failed call to discovery, or the failure of an open watch.
func (f *firstList) callFailed(began time.Time, opened bool) {
	now := time.Now()
	switch {
	case opened || now.Sub(began) > queuedCallTime:
		f.failingSince = time.Time{}
	case f.failingSince.IsZero():
		f.failingSince = began
	case now.Sub(f.failingSince) >= discoveryDownDelay:
		f.settle(firstListDiscoveryDown)
	}
}

// callClosed handles a call that the process has ended itself, as for another address.
func (f *firstList) callClosed() { f.failingSince = time.Time{} }

// firstListTimeout returns how long after its start a process waits for the first list. Changes bind later for
// a successor, so it need not wait as long.
func (n *Node) firstListTimeout() time.Duration {
	timeout := readyTimeout - readyMargin
	if n.inherited != nil {
		timeout -= successorListDelay
	}
	return timeout
}

// awaitFirstList waits until the first list is settled, the timeout has passed or a shutdown has begun.
func (n *Node) awaitFirstList() {
	if n.settings.Policy.MustPollList {
		return
	}
	atMost := time.Until(n.clock.start.Add(n.firstListTimeout()))
	n.log.Info("waiting for the endpoint list of discovery", zap.Duration("at most", atMost))
	timeout := time.NewTimer(atMost)
	defer timeout.Stop()
	accept := time.NewTicker(startAcceptDelay)
	defer accept.Stop()
	for {
		select {
		case <-n.endpointWatch.firstList.settled:
			return
		case <-n.shutdownBegan:
			return
		case <-timeout.C:
			n.log.Warn("discovery has not sent the endpoint list in time; serving with the list of the start",
				zap.Duration("since the start", time.Since(n.clock.start)))
			return
		case <-accept.C:
			// Requests are rejected, as they would otherwise wait in the listen backlog beyond their deadlines.
			if !n.hotRestart.mayShareListener() {
				n.frontend.startAccepting()
			}
		}
	}
}
