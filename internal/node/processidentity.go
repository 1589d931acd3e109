package node

// Whether an endpoint is still served by the process that had an earlier attempt of a request. The endpoint list tells
// of a new process at an address only after a while. An attempt that relies on deduplication must not run at a process
// that knows nothing of the earlier one.

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"fawnglade/policy"
)

// maxBrokenTargets bounds the memory of connectionBreaks; beyond it all targets count as broken.
const maxBrokenTargets = 4096

// connectionBreaks records when a connection to a target last broke, as all do when its process ends. It is safe for
// concurrent use.
type connectionBreaks struct {
	mu       sync.Mutex
	last     map[upstreamTarget]time.Time
	lastLost time.Time // break of a target that is not recorded any more
}

// record records a break.
func (b *connectionBreaks) record(target upstreamTarget, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last == nil {
		b.last = map[upstreamTarget]time.Time{}
	}
	if len(b.last) >= maxBrokenTargets {
		clear(b.last)
		b.lastLost = now
	}
	b.last[target] = now
}

// forget forgets a target that gets no more requests.
func (b *connectionBreaks) forget(target upstreamTarget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.last, target)
}

// lastBreak returns when a connection to a target last broke; the zero time: never.
func (b *connectionBreaks) lastBreak(target upstreamTarget) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at, found := b.last[target]; found {
		return at
	}
	return b.lastLost
}

// recordBreak records an attempt that failed because its connection broke or was refused.
func (u *upstreams) recordBreak(target upstreamTarget, failure *attemptError) {
	ended := errors.Is(failure, syscall.ECONNREFUSED) || errors.Is(failure, syscall.ECONNRESET) ||
		errors.Is(failure, syscall.EPIPE)
	if ended || failure.outcome() == policy.OutcomeReset {
		u.breaks.record(target, time.Now())
	}
}

// checkProcess returns an error if an attempt that relies on deduplication can't be proved to reach the process that its
// endpoint had when the first attempt was sent: a connection broke since then, and conn is newer than that.
func (u *upstreams) checkProcess(a *attempt, conn *upstreamConn) error {
	if a.sameProcessSince == 0 {
		return nil
	}
	broke := u.breaks.lastBreak(a.target)
	if broke.Before(u.node.clock.at(a.sameProcessSince)) || conn.openedAt.Before(broke) {
		return nil
	}
	return errProcessUnknown
}
