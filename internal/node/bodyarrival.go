package node

// Observes when the bytes of a streamed request body arrive. The time of a request counts from its last byte, which may
// wait in the kernel's receive buffer, unread, for as long as the upstream does not read the body.

import "time"

// arrivalPollInterval is the time between observations while an upload waits for its upstream.
const arrivalPollInterval = 20 * time.Millisecond

// bodyArrival observes the arrival of one body. It is used by the goroutine that reads the body.
type bodyArrival struct {
	source     *bodySource
	arrived    int64     // bytes of the connection's input that have arrived, up to the end of the body
	latestAt   time.Time // when the latest of them arrived, or up to arrivalPollInterval before that
	observedAt time.Time
}

// newBodyArrival starts to observe. What has arrived by now counts as arriving now.
func newBodyArrival(source *bodySource, now time.Time) bodyArrival {
	return bodyArrival{source: source, arrived: source.arrivedBytes(), latestAt: now, observedAt: now}
}

// observe records whether more has arrived. It must be called after each read of the body, and at least every
// arrivalPollInterval while the body is not read.
func (b *bodyArrival) observe(now time.Time) {
	if arrived := b.source.arrivedBytes(); arrived > b.arrived {
		b.arrived = arrived
		b.latestAt = latest(b.observedAt, now.Add(-arrivalPollInterval))
	}
	b.observedAt = now
}

// mayBeComplete reports whether the last byte may have arrived.
func (b *bodyArrival) mayBeComplete() bool {
	return b.source.end == unknownLength || b.arrived >= b.source.end
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
