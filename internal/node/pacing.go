package node

// Timeouts for reading a body from a peer and writing to a peer. They depend on progress, so that a slow peer is served
// and a stalled one is not.

import (
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	bodyGracePeriod       = 2500 * time.Millisecond // from the start of a request; stalls and rate are ignored
	bodyStallTimeout      = time.Second             // for the next byte of a request body, after the grace period
	minBodyBytesPerSecond = 8 << 10                 // from a client, per second of waiting after the grace period
	writeStallTimeout     = 5 * time.Second         // per streamBufferBytes, and for the next byte of a response
)

// expiredDeadline is a deadline that interrupts a read or write at once.
var expiredDeadline = time.Unix(1, 0)

// readPacer sets read deadlines for a body by its progress. Only the time that the node waits for the peer counts, as
// the node itself may be blocked by the receiver of the body. beginRead and endRead surround each read, in the reading
// goroutine.
type readPacer struct {
	start             time.Time
	gracePeriod       time.Duration // after start, during which minBytesPerSecond is not enforced
	stallTimeout      time.Duration // maximum wait for the next byte
	minBytesPerSecond int64         // per second of waiting after the grace period
	waitTime          time.Duration
	receivedBytes     int64
	readStartedAt     time.Time
	abandoned         *atomic.Bool // set when another goroutine abandons the body; nil: none can
}

// beginRead sets the deadline of the following read. It returns os.ErrDeadlineExceeded if the peer has been too slow,
// and errBodyNotNeeded if the body has been abandoned.
func (p *readPacer) beginRead(conn net.Conn) error {
	p.readStartedAt = time.Now()
	countedTime := p.waitTime - p.gracePeriod
	if countedTime > 0 && p.receivedBytes < int64(countedTime.Seconds()*float64(p.minBytesPerSecond)) {
		return os.ErrDeadlineExceeded
	}
	deadline := p.readStartedAt.Add(p.stallTimeout)
	if graceEnd := p.start.Add(p.gracePeriod); graceEnd.After(deadline) {
		deadline = graceEnd
	}
	err := conn.SetReadDeadline(deadline)
	if p.abandoned != nil && p.abandoned.Load() {
		return errBodyNotNeeded // the deadline set here may have replaced that of a concurrent abandon
	}
	return err
}

// endRead counts the bytes and the duration of the last read.
func (p *readPacer) endRead(n int) {
	p.waitTime += time.Since(p.readStartedAt)
	p.receivedBytes += int64(n)
}

// writePaced writes the parts in order, with a timeout of writeStallTimeout for each streamBufferBytes.
func writePaced(conn net.Conn, parts ...[]byte) error {
	for _, part := range parts {
		for len(part) > 0 {
			n := min(len(part), streamBufferBytes)
			if err := conn.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
				return err
			}
			if _, err := conn.Write(part[:n]); err != nil {
				return err
			}
			part = part[n:]
		}
	}
	return nil
}
