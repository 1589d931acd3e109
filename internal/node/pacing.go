package node

// How long a peer may take: to bring a body, and to take in what is written to it. What counts is progress, so that a
// slow peer is served and one that has stopped is not waited for.

import (
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	bodyGracePeriod       = 2500 * time.Millisecond // from the start of a request, in which neither stalls nor the rate count
	bodyStallTimeout      = time.Second             // the longest silence within a request's body, after the grace
	minBodyBytesPerSecond = 8 << 10                 // bytes from a client for each second it is waited for, after the grace
	writeStallTimeout     = 5 * time.Second         // for one streamBufferBytes, and the longest silence within a response's body
)

// expiredDeadline is a deadline that ends a read or write at once.
var expiredDeadline = time.Unix(1, 0)

// readPacer limits the reads of a body by its progress. What counts is the time that the node has waited for the peer,
// as it may itself be held up by the other side. Its begin and end surround each read, in the reading goroutine.
type readPacer struct {
	start             time.Time
	gracePeriod       time.Duration // from start, before minBytesPerSecond counts
	stallTimeout      time.Duration // the longest wait for the next byte
	minBytesPerSecond int64         // bytes for each second of waiting after the grace
	waitTime          time.Duration
	receivedBytes     int64 // bytes
	readStartedAt     time.Time
	abandoned         *atomic.Bool // of a body that another goroutine may abandon; else nil
}

// begin sets the deadline of the read that follows. It returns os.ErrDeadlineExceeded if the peer has been too slow,
// and errBodyNotNeeded if the body has been abandoned.
func (p *readPacer) beginRead(conn net.Conn) error {
	p.readStartedAt = time.Now()
	counted := p.waitTime - p.gracePeriod
	if counted > 0 && p.receivedBytes < int64(counted.Seconds()*float64(p.minBytesPerSecond)) {
		return os.ErrDeadlineExceeded
	}
	deadline := p.readStartedAt.Add(p.stallTimeout)
	if graceEnd := p.start.Add(p.gracePeriod); graceEnd.After(deadline) {
		deadline = graceEnd
	}
	err := conn.SetReadDeadline(deadline)
	if p.abandoned != nil && p.abandoned.Load() {
		return errBodyNotNeeded // abandon may have set its own deadline just before, and this one has replaced it
	}
	return err
}

// end counts the read that began last.
func (p *readPacer) endRead(n int) {
	p.waitTime += time.Since(p.readStartedAt)
	p.receivedBytes += int64(n)
}

// writePaced writes parts one after another and gives the peer writeStallTimeout for each streamBufferBytes. A write for an
// attempt, which may be nil, ends at once when the attempt is canceled.
func writePaced(conn net.Conn, a *attempt, parts ...[]byte) error {
	setDeadline := conn.SetWriteDeadline
	if a != nil {
		setDeadline = func(deadline time.Time) error { return a.setDeadline(conn.SetWriteDeadline, deadline) }
	}
	for _, part := range parts {
		for len(part) > 0 {
			n := min(len(part), streamBufferBytes)
			if err := setDeadline(time.Now().Add(writeStallTimeout)); err != nil {
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
