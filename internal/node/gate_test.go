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

// gate holds whoever waits at it until it is opened, and counts them.
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
	eventually(t, fmt.Sprintf("%d at the gate", n), func() bool { return g.arrived.Load() >= n })
}

// blockDials holds each connection to an upstream until the gate is opened; then it is opened whatever has happened.
func (n *Node) blockDials(t *testing.T) *gate {
	g := newGate(t)
	n.upstreams.dial = func(_ context.Context, address string, limit time.Time) (net.Conn, error) {
		g.wait()
		return n.upstreams.connect(context.Background(), address, limit)
	}
	return g
}

// blockLoop holds the event loop between two events until the gate is opened; events posted meanwhile stay in order.
func (n *Node) blockLoop(t *testing.T) *gate {
	g := newGate(t)
	n.loop.post(g.wait)
	g.awaitArrivals(t, 1)
	return g
}

// updateList has the loop apply a list from the discovery service, and returns once it has.
func (n *Node) updateList(t *testing.T, text string) {
	t.Helper()
	update, err := n.parseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	n.loop.postEndpoints(update.entries, update.complete)
	n.flushLoop()
}

// flushLoop returns once the loop has handled all events posted before.
func (n *Node) flushLoop() {
	done := make(chan struct{})
	n.loop.post(func() { close(done) })
	<-done
}

// onlyClientConn finds the node's side of the one connection from a client.
func (n *Node) onlyClientConn(t *testing.T) (c *clientConn) {
	t.Helper()
	eventually(t, "the connection", func() bool {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		for c = range n.frontend.open {
		}
		return c != nil
	})
	return c
}

// allClientsClosed reports that clients have connected, and that all their connections have ended.
func (n *Node) allClientsClosed() bool {
	n.frontend.mu.Lock()
	defer n.frontend.mu.Unlock()
	return n.count(clientsAccepted) > 0 && len(n.frontend.open) == 0
}

// allAttemptsEnded reports that no attempt is in flight.
func (n *Node) allAttemptsEnded() bool {
	ended := int64(0)
	for _, id := range outcomeCounters {
		if id != attemptsReset {
			ended += n.count(id)
		}
	}
	return ended+n.count(attemptsReset)+n.count(attemptsRequestFault) == n.count(attemptsSent)
}
