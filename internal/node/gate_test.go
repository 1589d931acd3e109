package node

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// gate blocks goroutines that call wait until release is called, and counts them.
type gate struct {
	arrived  atomic.Int64
	released chan struct{}
	once     sync.Once
}

func newGate(t *testing.T) *gate {
	g := &gate{released: make(chan struct{})}
	t.Cleanup(g.release)
	return g
}

func (g *gate) wait() { g.arrived.Add(1); <-g.released }

func (g *gate) release() { g.once.Do(func() { close(g.released) }) }

func (g *gate) awaitArrivals(t *testing.T, n int64) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d goroutines wait at the gate", n), func() bool { return g.arrived.Load() >= n })
}

// blockDials blocks each dial to an upstream until the gate is released. The dial then proceeds even if its context has
// been canceled.
func (n *Node) blockDials(t *testing.T) *gate {
	g := newGate(t)
	n.upstreams.dial = func(_ context.Context, address string, deadline time.Time) (net.Conn, error) {
		g.wait()
		return n.upstreams.connect(context.Background(), address, deadline)
	}
	return g
}

// blockLoop blocks the event loop between two events until the gate is released. Events posted meanwhile stay in order.
func (n *Node) blockLoop(t *testing.T) *gate {
	g := newGate(t)
	n.loop.post(g.wait)
	g.awaitArrivals(t, 1)
	return g
}

// updateList posts an endpoint list as from the discovery service and waits until the event loop has applied it.
func (n *Node) updateList(t *testing.T, text string) {
	t.Helper()
	update, err := n.parseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	n.loop.postEndpoints(update.entries, update.complete)
	n.flushLoop()
}

// flushLoop waits until the event loop has handled all events posted before.
func (n *Node) flushLoop() {
	done := make(chan struct{})
	n.loop.post(func() { close(done) })
	<-done
}

// onlyClientConn returns the node's side of the single client connection.
func (n *Node) onlyClientConn(t *testing.T) (c *clientConn) {
	t.Helper()
	eventually(t, "the node has a client connection", func() bool {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		for c = range n.frontend.open {
		}
		return c != nil
	})
	return c
}

// allClientsClosed reports whether clients have connected and all their connections are closed.
func (n *Node) allClientsClosed() bool {
	n.frontend.mu.Lock()
	defer n.frontend.mu.Unlock()
	return n.count(clientsAccepted) > 0 && len(n.frontend.open) == 0
}

// allAttemptsEnded reports whether no attempt is in flight.
func (n *Node) allAttemptsEnded() bool {
	ended := int64(0)
	for _, id := range outcomeCounters {
		if id != attemptsReset {
			ended += n.count(id)
		}
	}
	return ended+n.count(attemptsReset)+n.count(attemptsRequestFault) == n.count(attemptsSent)
}
