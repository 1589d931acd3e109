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

// Guards against closing a connection for lack of a slot when a request has already been written to it.
func TestRequestsBeyondSlotsAreAllAnswered(t *testing.T) {
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(100 * time.Millisecond)
		return echo(c, r, body)
	})
	n := newNode(t, func(c *Config) { c.Limits.Sockets = 4 * ownDescriptors }, upstream)
	n.upstreams.maxOpen = 200 // so that only client slots are scarce
	n.start()
	var clients sync.WaitGroup
	statusCounts := [600]atomic.Int64{}
	for i := range 150 {
		clients.Go(func() {
			status, _, _ := sendRequest(t, n, "view", fmt.Sprint("t", i), "")
			if status == 0 { // closed before this client's first byte arrived; a client retries then
				status, _, _ = sendRequest(t, n, "view", fmt.Sprint("t", i), "")
			}
			statusCounts[status].Add(1)
		})
	}
	clients.Wait()
	if statusCounts[200].Load() == 0 || statusCounts[200].Load()+statusCounts[503].Load() != 150 ||
		n.count(requestsOverCapacity) == 0 {
		t.Errorf("got %d responses with status 200 and %d with 503, %d over capacity, want 150 in all and some of each",
			statusCounts[200].Load(), statusCounts[503].Load(),
			n.count(requestsOverCapacity))
	}
	if handled := n.count(requestsAccepted) + n.count(requestsOverCapacity); handled != 150 {
		t.Errorf("got %d requests read, want 150, one per response", handled)
	}
}

// Attempts without a free upstream slot get the slots of idle clients, up to maxSlotsLentToUpstreams, and the slots are
// returned once they are no longer needed. Health checks get none.
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
	eventually(t, "all connections are open", func() bool {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		return len(n.frontend.open) == 8
	})
	eventually(t, "all clients are idle", func() bool {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		return n.idleClientsLocked() == 8
	})
	var conns []*upstreamConn
	for i := range 6 {
		c, err := n.upstreams.acquire(&attempt{request: newPendingRequest(), target: upstreamTarget{1, blocked}},
			time.Now().Add(time.Minute))
		if (err == nil) != (i < 5) {
			t.Fatalf("attempt %d: got error %v, want an error for attempt 5 only", i, err)
		}
		if err == nil {
			conns = append(conns, c)
		}
	}
	n.frontend.mu.Lock()
	if open, slots := len(n.frontend.open), n.frontend.clientSlotsLocked(); open > 5 || slots != 5 {
		t.Errorf("with five attempts: got %d clients and %d client slots, want at most 5 and 5", open, slots)
	}
	n.frontend.mu.Unlock()
	healthCheck := &attempt{target: upstreamTarget{1, blocked}}
	if _, err := n.upstreams.acquire(healthCheck, time.Now().Add(time.Minute)); !errors.Is(err, errNoConnectionSlot) {
		t.Errorf("health check: got error %v, want errNoConnectionSlot", err)
	}
	for _, c := range conns[:4] {
		n.upstreams.closeConn(c, closeSlotNeeded)
	}
	if n.upstreams.closeExpired(); n.frontend.slotsLentToUpstreams.Load() != 0 || n.frontend.capacity() != 8 {
		t.Errorf("got %d slots lent after the attempts ended, want 0 and a client capacity of 8",
			n.frontend.slotsLentToUpstreams.Load())
	}
}
