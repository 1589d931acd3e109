package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against closing a connection for want of a slot with a request already written to it.
func TestRequestsBeyondSlotsAreAllAnswered(t *testing.T) {
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(100 * time.Millisecond)
		return echo(c, r, body)
	})
	n := newNode(t, func(c *Config) { c.Limits.Sockets = 4 * ownDescriptors }, upstream)
	n.upstreams.maxOpen = 200 // want of room is to show at the clients alone
	n.start()
	var clients sync.WaitGroup
	statusCounts := [600]atomic.Int64{}
	for i := range 150 {
		clients.Go(func() {
			status, _, _ := sendRequest(t, n, "view", fmt.Sprint("t", i), "")
			if status == 0 { // slow to write, and closed before anything had come: then clients send once more
				status, _, _ = sendRequest(t, n, "view", fmt.Sprint("t", i), "")
			}
			statusCounts[status].Add(1)
		})
	}
	clients.Wait()
	if statusCounts[200].Load() == 0 || statusCounts[200].Load()+statusCounts[503].Load() != 150 ||
		n.count(requestsOverCapacity) == 0 {
		t.Errorf("%d satisfied, %d rejected, %d of them without room", statusCounts[200].Load(), statusCounts[503].Load(),
			n.count(requestsOverCapacity))
	}
	if handled := n.count(requestsAccepted) + n.count(requestsOverCapacity); handled != 150 {
		t.Errorf("%d requests were read for 150 answers", handled)
	}
}

// Attempts beyond their share of the descriptors get the slots of idle clients, at most until both have as many, and
// give them back once they are not needed.
func TestIdleClientSlotsAreLentToAttempts(t *testing.T) {
	gate := newGate(t)
	upstream, _ := startUpstream(t, echo)
	blocked := listen(t, func(c net.Conn) { gate.wait(); discard(c) })
	n := startNode(t, silentDiscovery(t), upstream)
	n.upstreams.setLimit(2)
	n.frontend.setLimits(8, 0, 100)
	n.frontend.maxSlotsLentToUpstreams.Store(3)
	for range 8 {
		dial(t, n)
	}
	eventually(t, "all connections to open", func() bool {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		return len(n.frontend.open) == 8
	})
	eventually(t, "all clients to be idle", func() bool {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		return n.idleClientsLocked() == 8
	})
	var conns []*upstreamConn
	for i := range 6 {
		c, err := n.upstreams.acquire(&attempt{request: newPendingRequest(), target: upstreamTarget{1, blocked}},
			time.Now().Add(time.Minute))
		if (err == nil) != (i < 5) {
			t.Fatalf("attempt %d: %v", i, err)
		}
		if err == nil {
			conns = append(conns, c)
		}
	}
	n.frontend.mu.Lock()
	if open, slots := len(n.frontend.open), n.frontend.clientSlotsLocked(); open > 5 || slots != 5 {
		t.Errorf("beside five attempts %d clients have %d slots", open, slots)
	}
	n.frontend.mu.Unlock()
	healthCheck := &attempt{target: upstreamTarget{1, blocked}}
	if _, err := n.upstreams.acquire(healthCheck, time.Now().Add(time.Minute)); !errors.Is(err, errNoConnectionSlot) {
		t.Errorf("a health check: %v", err)
	}
	for _, c := range conns[:4] {
		n.upstreams.closeConn(c)
	}
	if n.upstreams.closeExpired(); n.frontend.slotsLentToUpstreams.Load() != 0 || n.frontend.capacity() != 8 {
		t.Errorf("%d slots are not given back", n.frontend.slotsLentToUpstreams.Load())
	}
}
