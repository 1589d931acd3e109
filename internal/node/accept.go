package node

// Accepting client connections: the accept loop, pausing it while another process accepts from the same socket,
// draining it at shutdown, and assigning a slot to each new connection.

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	acceptPollInterval = 5 * time.Millisecond   // between polls of the listen backlog while the listener drains
	acceptStallTimeout = 200 * time.Millisecond // without progress, an accept is assumed to be blocked in the kernel
	acceptRetryDelay   = 5 * time.Millisecond   // after a failed accept, mostly for lack of file descriptors
	slotPollInterval   = time.Millisecond       // between attempts to acquire a slot
)

// setAcceptDeadline sets the time at which a pending accept returns; the zero time means no deadline.
func (f *frontend) setAcceptDeadline(deadline time.Time) {
	if listener, ok := f.listener.(*net.TCPListener); ok {
		listener.SetDeadline(deadline)
	}
}

// startAccepting starts the accept loop. Later calls have no effect.
func (f *frontend) startAccepting() {
	f.acceptOnce.Do(func() {
		f.accepting.Store(true)
		go f.acceptLoop()
	})
}

// pause stops accepting until resume is called, so that another process accepts all new connections from the shared
// socket.
func (f *frontend) pause() {
	f.paused.Store(true)
	f.setAcceptDeadline(expiredDeadline)
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

// drainAndClose ends the accept loop. It returns once the listen backlog is empty, or at the deadline. Closing a
// listener with connections in its backlog makes the kernel reset them, although clients may already have written
// requests.
//
// It gives up earlier if nothing is accepted for acceptStallTimeout. Any process that shares the socket may switch it
// to blocking mode, and starting another process does so briefly; an accept that blocks in the kernel ignores its
// deadline and returns only with the next connection. If accepting has not begun, another process accepts from
// the socket, and the listener is closed at once.
func (f *frontend) drainAndClose(deadline time.Time) {
	if !f.accepting.Load() {
		f.listener.Close()
		return
	}
	f.draining.Store(true)
	f.setAcceptDeadline(expiredDeadline)
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
	go f.listener.Close() // in its own goroutine, because Close also waits for a blocked accept
}

// acceptLoop accepts connections until the listener is closed or drained. Only this goroutine accepts.
func (f *frontend) acceptLoop() {
	defer close(f.acceptDone)
	defer f.listener.Close()
	for {
		finalPoll := f.draining.Load() && !f.paused.Load()
		if finalPoll {
			f.setAcceptDeadline(time.Now().Add(acceptPollInterval)) // Accept returns at once after its deadline
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

// waitForResume blocks until accepting may resume after a pause. While draining it returns at once, with false if
// accepting is paused: the other process then accepts the rest of the backlog.
func (f *frontend) waitForResume() bool {
	if f.draining.Load() {
		return !f.paused.Load()
	}
	<-f.acceptWake
	return true
}

// serveWithSlot starts serving a connection once it has a slot, evicting an idle connection if necessary. If no
// connection is idle it waits for a slot: the client may already have written a request, so the connection must not be
// closed without a response.
func (f *frontend) serveWithSlot(raw net.Conn) {
	c := newClientConn(f, raw)
	f.waitingForSlot.Add(1)
	defer f.waitingForSlot.Add(-1)
	if !f.tryAcquireSlot(c) {
		f.node.counters.add(clientsQueued)
		for !f.tryAcquireSlot(c) {
			time.Sleep(slotPollInterval)
			c.arrivals.observeIfDue(time.Now())
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
