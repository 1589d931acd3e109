package node

// Accepting client connections: the accept loop, its pause while another process accepts from the same socket, its end,
// and the wait of a new connection for a slot.

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	acceptPollInterval = 5 * time.Millisecond   // for connections that the kernel has accepted, when the listener drains
	acceptStallTimeout = 200 * time.Millisecond // without progress: then an accept is blocked in the kernel
	acceptRetryDelay   = 5 * time.Millisecond   // after an accept that failed, mostly for want of a descriptor
	slotPollInterval   = time.Millisecond       // between looks for a slot
)

// setAcceptDeadline sets by when an accept returns.
func (f *frontend) setAcceptDeadline(deadline time.Time) {
	if listener, ok := f.listener.(*net.TCPListener); ok {
		listener.SetDeadline(deadline)
	}
}

// pause leaves new connections to another process that accepts from the same socket, until resume.
func (f *frontend) pause() {
	f.paused.Store(true)
	f.setAcceptDeadline(inThePast)
}

func (f *frontend) resume() {
	f.paused.Store(false)
	f.setAcceptDeadline(time.Time{})
	f.wakeAccept()
}

func (f *frontend) wakeAccept() {
	select {
	case f.acceptWake <- struct{}{}:
	default:
	}
}

// drainAndClose ends the accept loop. It returns once the connections that the kernel had accepted are taken, or at the
// deadline. Guards against a listener that is closed with such connections in its queue: the kernel resets them, with
// requests already written.
//
// It gives up earlier if nothing is accepted for acceptStallTimeout: whoever else holds the socket may make it a blocking
// one at any moment, as the start of another process does for an instant, and an accept that then blocks in the kernel
// ends only with the next connection.
func (f *frontend) drainAndClose(deadline time.Time) {
	f.draining.Store(true)
	f.setAcceptDeadline(inThePast)
	f.wakeAccept()
	lastProgressAt := time.Now()
	for time.Now().Before(deadline) && time.Since(lastProgressAt) < acceptStallTimeout {
		select {
		case <-f.acceptDone:
			return
		case <-time.After(acceptPollInterval):
		}
		if f.waitingForSlot.Load() > 0 {
			lastProgressAt = time.Now()
		}
	}
	go f.listener.Close() // in its own goroutine, as it waits for a blocked accept as well
}

// accept takes connections until the listener is closed or has been drained. It is the one goroutine that accepts.
func (f *frontend) acceptLoop() {
	defer close(f.acceptDone)
	defer f.listener.Close()
	for {
		finalPoll := f.draining.Load() && !f.paused.Load()
		if finalPoll {
			f.setAcceptDeadline(time.Now().Add(acceptPollInterval)) // an accept whose deadline is over does not even look
		}
		conn, err := f.listener.Accept()
		switch {
		case err == nil:
			f.node.counters.add(clientsAccepted)
			f.serveWithSlot(conn)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if finalPoll || !f.waitForResume() {
				return
			}
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// waitForResume waits until accepting may go on after a pause. It reports false if it drains instead, and another
// process takes what the kernel has accepted.
func (f *frontend) waitForResume() bool {
	if f.draining.Load() {
		return !f.paused.Load()
	}
	<-f.acceptWake
	return true
}

// serveWithSlot serves a connection once it has a slot, if need be in place of an idle one. Where none is idle it waits
// for a slot: a request may already be written to this connection, so that it can't be closed without a response.
func (f *frontend) serveWithSlot(raw net.Conn) {
	c := newClientConn(f, raw)
	f.waitingForSlot.Add(1)
	defer f.waitingForSlot.Add(-1)
	if !f.tryAcquireSlot(c) {
		f.node.counters.add(clientsQueued)
		for !f.tryAcquireSlot(c) {
			time.Sleep(slotPollInterval)
		}
	}
	c.slotAcquiredAt = time.Now()
	go c.writeLoop()
	go c.readLoop()
}

func (f *frontend) tryAcquireSlot(c *clientConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.open) >= f.clientSlotsLocked() || f.overSoftLimitLocked() {
		f.evictIdleAheadLocked()
	}
	if f.fullLocked() {
		return false
	}
	f.open[c] = struct{}{}
	return true
}
