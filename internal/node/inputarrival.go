package node

// Observes when the input of a client connection arrives. The time of a request counts from its last byte, which may
// wait in the kernel's receive buffer, unread: while the upstream of a streamed request does not read its body, while
// requests before it on its connection have no response, or while its connection waits for a slot.

import (
	"slices"
	"sync"
	"time"

	"fawnglade/internal/sockstate"
)

const (
	// arrivalPollInterval is the time between observations while input is not read.
	arrivalPollInterval = 20 * time.Millisecond
	// arrivalResolution is the time between two marks at the least, as a streamed body is observed after each read.
	arrivalResolution = 5 * time.Millisecond
	// maxArrivalMarks covers over 5 s in which input arrives between all observations and is not read.
	maxArrivalMarks = 256
)

// arrivalMark says that a connection's input had arrived up to an offset, in bytes, at a time.
type arrivalMark struct {
	offset int64
	at     time.Time // up to arrivalPollInterval + arrivalResolution too early
}

// inputArrivals observes the arrival of one connection's input. It is safe for concurrent use, also with reads from the
// connection.
type inputArrivals struct {
	conn *bufferedConn

	mu         sync.Mutex
	marks      []arrivalMark // ascending, both offsets and times
	observedAt time.Time
}

// begin starts to observe. What has arrived since the last observation counts as arriving now, so it must have been
// read, or be called right after a read.
func (a *inputArrivals) begin(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observedAt = now
	a.observeLocked(now)
}

// observe records whether more has arrived. After begin it must be called at least every arrivalPollInterval while the
// connection is not read.
func (a *inputArrivals) observe(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observeLocked(now)
}

// observeIfDue is observe if the last observation was arrivalPollInterval ago.
func (a *inputArrivals) observeIfDue(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.observedAt) >= arrivalPollInterval {
		a.observeLocked(now)
	}
}

// observeUntil begins to observe, and observes until done is closed.
func (a *inputArrivals) observeUntil(done <-chan struct{}) {
	ticker := time.NewTicker(arrivalPollInterval)
	defer ticker.Stop()
	a.begin(time.Now())
	for {
		select {
		case <-done:
			a.observe(time.Now())
			return
		case <-ticker.C:
			a.observe(time.Now())
		}
	}
}

func (a *inputArrivals) observeLocked(now time.Time) {
	// In this order: a read between the two calls can only make the sum too low, until the next observation.
	arrived := a.conn.receivedBytes.Load()
	arrived += int64(sockstate.UnreadBytes(a.conn.Conn))
	a.addLocked(arrivalMark{arrived, latest(a.observedAt, now.Add(-arrivalPollInterval))})
	a.observedAt = now
}

// addLocked adds a mark unless nothing has arrived since the last one.
func (a *inputArrivals) addLocked(mark arrivalMark) {
	if len(a.marks) > 0 {
		last := &a.marks[len(a.marks)-1]
		if mark.offset <= last.offset {
			return
		}
		if mark.at.Sub(last.at) < arrivalResolution {
			last.offset = mark.offset
			return
		}
	}
	a.marks = append(a.marks, mark)
	if len(a.marks) > maxArrivalMarks {
		a.marks[1].at = a.marks[0].at
		a.marks = slices.Delete(a.marks, 0, 1)
	}
}

// completeAt returns when the input up to an offset had arrived, and whether it had by the last observation.
func (a *inputArrivals) completeAt(offset int64) (at time.Time, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, mark := range a.marks {
		if mark.offset >= offset {
			return mark.at, true
		}
	}
	return time.Time{}, false
}

// latestAt returns when the latest input arrived, by the last observation, or the time of that observation if all input
// has been forgotten.
func (a *inputArrivals) latestAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.marks) == 0 {
		return a.observedAt
	}
	return a.marks[len(a.marks)-1].at
}

// forget forgets the input before an offset, for which completeAt is not called any more, and releases its memory.
func (a *inputArrivals) forget(offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := slices.IndexFunc(a.marks, func(mark arrivalMark) bool { return mark.offset >= offset })
	switch {
	case first < 0:
		a.marks = nil
	case first > 0:
		a.marks = slices.Clone(a.marks[first:])
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
