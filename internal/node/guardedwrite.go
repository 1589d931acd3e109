package node

// Writing requests that are idempotent by key, of which another attempt may have run or may still run.
//
// An upstream runs a request when its process reads the last byte. If that happens after the deduplication window of
// another attempt, the request runs twice. What has been written lies in the buffers of two machines, from which a slow
// process reads long after the write has returned. A guarded write therefore withholds the last bytes until the
// upstream's process has read all others, and gives the attempt up at the end of the window. Such an attempt never ran.
//
// That the process has read is concluded from two signs together. Some of the withheld bytes are sent as probes, in
// small segments. Linux acknowledges these at once if its process has read all there is (tcp_cleanup_rbuf), and else
// only when a timer fires, some milliseconds later; but it sends up to 16 acknowledgments in a row at once all the same
// (TCP_MAX_QUICKACKS). And the receive window that the upstream's machine offers shrinks by what waits unread, and
// opens as far as before once all has been read; but it may grow meanwhile, so that this alone proves nothing.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"fawnglade/internal/sockstate"
	"fawnglade/policy"
)

const (
	minGuardedBody       = 4 << 10 // shorter bodies are read at once or not at all
	withheldBytes        = 2 << 10
	guardedWriteInterval = 5 * time.Millisecond // between looks at an attempt whose write is blocked

	probeSegments        = 8                    // of one byte each
	promptAcksNeeded     = 32                   // in a row, twice as many as are sent at once in any case
	promptAck            = 5 * time.Millisecond // beyond the round trip
	ackPollInterval      = 100 * time.Microsecond
	lateAckPollInterval  = time.Millisecond
	closedWindowBytes    = 8 << 10 // missing from the widest window while something waits unread, or more
	probeIntervalDivisor = 8       // behind a sign of unread bytes, a pause of 1/probeIntervalDivisor of the wait so far

	// patienceDivisor: an attempt that is too slow ends early after 1/patienceDivisor of its time.
	patienceDivisor = 4
)

var (
	// errResponseStarted means that the upstream has sent something before the request was complete.
	errResponseStarted = errors.New("response has started before the last byte of the request")
	// errClosedDuringWrite is what a write would return once the upstream has answered it with a reset.
	errClosedDuringWrite = fmt.Errorf("connection closed by the upstream before the last byte: %w", syscall.EPIPE)
	// errReadUnknown means that all probes have been used, and none has shown that the upstream has read the request.
	errReadUnknown localError = "upstream has not been seen to read the request within the deduplication window"
	// errReadTooSlowly means that at its rate so far the upstream would not read the request before the window ends.
	errReadTooSlowly localError = "upstream reads too slowly to run the request within the deduplication window"
)

// guardedWrite is the write of one request on the connection of an attempt. It is used by the attempt's worker.
type guardedWrite struct {
	trip      *roundTrip
	startedAt time.Time
	total     int // bytes of the request
	written   int
	state     sockstate.SendState
	widest    int // the widest window that the upstream's machine has offered since the start
	// readAtMost is how many bytes the upstream's process had read at observedAt, at most.
	readAtMost int
	observedAt time.Time
}

// needsGuard reports whether an attempt's write has to be guarded: the request is idempotent by key, and another
// attempt may have run or may be sent before this one ends.
func (t *roundTrip) needsGuard() bool {
	a := t.attempt
	settings := &t.upstreams.node.settings.Policy
	if settings.Classes[a.request.request.Class].Idempotency != policy.IdempotentByKey {
		return false
	}
	if len(a.request.body) < minGuardedBody {
		return false
	}
	return settings.MayHedge || a.dedupDeadline.Load() > 0
}

// writeBuffered writes a request whose body is buffered. It returns errResponseStarted if the upstream has sent
// something before the last byte.
func (t *roundTrip) writeBuffered(head, body []byte) error {
	if !t.needsGuard() {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(t.conn.Conn)
		return err
	}
	w := &guardedWrite{trip: t, startedAt: time.Now(), total: len(head) + len(body)}
	w.observe()
	return w.run(head, body)
}

func (w *guardedWrite) run(head, body []byte) error {
	withheld := body[len(body)-withheldBytes:]
	for _, part := range [][]byte{head, body[:len(body)-withheldBytes]} {
		if err := w.write(part); err != nil {
			return err
		}
	}
	rest, err := w.awaitRead(withheld)
	if err != nil {
		return err
	}
	if err := w.write(rest); err != nil {
		return err
	}
	return w.trip.attempt.setDeadline(w.trip.conn.SetDeadline, w.trip.deadline)
}

// write writes a part in pieces, as long as mayContinue allows it.
func (w *guardedWrite) write(part []byte) error {
	for len(part) > 0 {
		if err := w.mayContinue(); err != nil {
			return err
		}
		n, err := w.trip.conn.Write(part[:min(len(part), streamBufferBytes)])
		part = part[n:]
		w.written += n
		w.observe()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	return nil
}

// awaitRead waits until the upstream has read all that was written, or until that does not matter, as no other attempt
// may have run. It writes some of the withheld bytes, all but one at most, and returns the others.
func (w *guardedWrite) awaitRead(withheld []byte) (rest []byte, err error) {
	if err := w.awaitAcknowledged(); err != nil {
		return nil, err
	}
	began := time.Now()
	lastAckAt := began
	for promptAcks := 0; promptAcks < promptAcksNeeded && !w.windowEnd().IsZero(); {
		if len(withheld) <= probeSegments {
			return nil, errReadUnknown
		}
		acks, err := w.probe(withheld[:probeSegments])
		if err != nil {
			return nil, err
		}
		withheld = withheld[probeSegments:]
		now := time.Now()
		// A pause of this node between two probes counts too: Linux begins a new run of acknowledgments after one.
		isPrompt := now.Sub(lastAckAt) < promptAck+w.state.RoundTrip
		lastAckAt = now
		if isPrompt && w.isWindowOpen() {
			promptAcks += acks
			continue
		}
		promptAcks = 0
		w.readAtMost, w.observedAt = w.written-(w.widest-w.state.PeerWindow), now
		if err := w.pause(now.Sub(began) / probeIntervalDivisor); err != nil {
			return nil, err
		}
		lastAckAt = time.Now()
	}
	return withheld, nil
}

// probe writes bytes in a segment each, and returns how many acknowledgments came until all were acknowledged, 1 if
// that is unknown. Segments beyond one for each byte tell of a window that opens.
func (w *guardedWrite) probe(segments []byte) (acks int, err error) {
	before := w.state.SegmentsReceived
	for i := range segments {
		if err := w.write(segments[i : i+1]); err != nil {
			return 0, err
		}
	}
	err = w.awaitAcknowledged()
	received := w.state.SegmentsReceived - before
	return min(max(received, 1), len(segments)), err
}

// pause waits as long as mayContinue allows it.
func (w *guardedWrite) pause(duration time.Duration) error {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(lateAckPollInterval) {
		if err := w.mayContinue(); err != nil {
			return err
		}
	}
	return nil
}

// awaitAcknowledged waits until the upstream's machine has acknowledged all that was written.
func (w *guardedWrite) awaitAcknowledged() error {
	for began := time.Now(); ; {
		w.observe()
		if err := w.mayContinue(); err != nil || w.state.Unacknowledged == 0 {
			return err
		}
		interval := ackPollInterval
		if time.Since(began) > promptAck {
			interval = lateAckPollInterval
		}
		time.Sleep(interval)
	}
}

// isWindowOpen reports whether the upstream's machine offers as wide a window as it ever did during the write.
func (w *guardedWrite) isWindowOpen() bool { return w.widest-w.state.PeerWindow < closedWindowBytes }

// observe looks at what the upstream's machine has taken in.
func (w *guardedWrite) observe() {
	w.state = sockstate.Send(w.trip.conn.Conn)
	w.widest = max(w.widest, w.state.PeerWindow)
	if w.state.Unacknowledged > 0 {
		w.readAtMost, w.observedAt = w.written-w.state.Unacknowledged, time.Now()
	}
}

// mayContinue returns why the request must not be written any further, or sets the deadline of the next write.
func (w *guardedWrite) mayContinue() error {
	now := time.Now()
	a := w.trip.attempt
	windowEnd := w.windowEnd()
	if err := a.reasonToEnd(); err != nil {
		return err
	}
	switch {
	case !now.Before(w.trip.deadline):
		return errUploadTimeout
	case !windowEnd.IsZero() && !now.Before(windowEnd):
		return errDedupWindowOver
	case w.isTooSlow(windowEnd):
		return errReadTooSlowly
	case w.trip.conn.hasInput():
		return errResponseStarted
	case w.trip.conn.closedByPeer():
		return errClosedDuringWrite
	}
	return a.setDeadline(w.trip.conn.SetWriteDeadline, now.Add(guardedWriteInterval))
}

// windowEnd returns the end of the deduplication window; the zero time: no other attempt may have run.
func (w *guardedWrite) windowEnd() time.Time {
	end := policy.Time(w.trip.attempt.dedupDeadline.Load())
	if end == 0 {
		return time.Time{}
	}
	return w.trip.upstreams.node.clock.at(end)
}

// isTooSlow reports whether an upstream that goes on reading at its rate so far would not read the request before the
// window ends, while another attempt may follow that is read faster.
func (w *guardedWrite) isTooSlow(windowEnd time.Time) bool {
	a := w.trip.attempt
	if windowEnd.IsZero() || a.number+1 >= w.trip.upstreams.node.settings.Policy.MaxAttempts {
		return false
	}
	available := windowEnd.Sub(w.startedAt)
	elapsed := w.observedAt.Sub(w.startedAt)
	if elapsed < available/patienceDivisor {
		return false
	}
	return elapsed.Seconds()*float64(w.total) > available.Seconds()*float64(w.readAtMost)
}
