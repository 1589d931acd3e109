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

// gate holds whoever comes to it until it is opened, and tells who has come.
type gate struct {
	come atomic.Int64
	open chan struct{}
	once sync.Once
}

func newGate(t *testing.T) *gate {
	g := &gate{open: make(chan struct{})}
	t.Cleanup(g.pass)
	return g
}

func (g *gate) wait() { g.come.Add(1); <-g.open }

func (g *gate) pass() { g.once.Do(func() { close(g.open) }) }

func (g *gate) held(t *testing.T, n int64) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d at the gate", n), func() bool { return g.come.Load() >= n })
}

// holdDials has each connection to a server stand until the gate is opened, and then be made all the same.
func (n *Node) holdDials(t *testing.T) *gate {
	g := newGate(t)
	n.upstreams.dial = func(_ context.Context, address string, limit time.Time) (net.Conn, error) {
		g.wait()
		return n.upstreams.connect(context.Background(), address, limit)
	}
	return g
}

// holdLoop keeps the loop between two events until the gate is opened; what is entered meanwhile stands in order.
func (n *Node) holdLoop(t *testing.T) *gate {
	g := newGate(t)
	n.loop.post(g.wait)
	g.held(t, 1)
	return g
}

// learn has the loop go by a line of discovery's, and returns once it has.
func (n *Node) updateList(t *testing.T, text string) {
	t.Helper()
	update, err := n.parseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	n.loop.postEndpoints(update.entries, update.complete)
	n.flushLoop()
}

// passed returns once the loop has handled all that stood before it.
func (n *Node) flushLoop() {
	done := make(chan struct{})
	n.loop.post(func() { close(done) })
	<-done
}

// atClients finds the node's side of the one connection from a client.
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

// nobodyLeft tells that clients have come, and that their connections have ended.
func (n *Node) allClientsClosed() bool {
	n.frontend.mu.Lock()
	defer n.frontend.mu.Unlock()
	return n.count(clientsAccepted) > 0 && len(n.frontend.open) == 0
}

// nobodyOut tells that all attempts have ended.
func (n *Node) allAttemptsEnded() bool {
	ended := int64(0)
	for _, how := range outcomeCounters {
		if how != attemptsReset {
			ended += n.count(how)
		}
	}
	return ended+n.count(attemptsReset)+n.count(attemptsRequestFault) == n.count(attemptsSent)
}
