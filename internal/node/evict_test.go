package node

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a flood of connections without requests shutting out clients that send requests.
func TestConnectionFloodDoesNotBlockRequests(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, func(c *Config) { c.Limits.Sockets = 4 * ownDescriptors }, upstream)
	c, in := dial(t, n)
	for i := range 40 {
		for range 5 {
			dial(t, n)
		}
		writeText(c, requestText("batch", fmt.Sprint("t", i), ""))
		if status, _, _ := readResponse(in); status != 200 {
			t.Fatalf("request %d of the existing client during the flood: got status %d, want 200", i, status)
		}
		if status, _, _ := sendRequest(t, n, "batch", fmt.Sprint("new", i), ""); status != 200 {
			t.Fatalf("request %d of a new client during the flood: got status %d, want 200", i, status)
		}
	}
	n.frontend.mu.Lock()
	defer n.frontend.mu.Unlock()
	if limit := n.frontend.maxOpen + n.frontend.spareSlots; len(n.frontend.open) > limit {
		t.Errorf("got %d client connections, want at most %d", len(n.frontend.open), limit)
	}
}

// Guards against clients that keep their connections open and occupy all slots. New connections would then share a few
// slots, each waiting until the one before is old enough to be evicted.
func TestIdleConnectionsAreEvictedForNewClients(t *testing.T) {
	for name, idle := range map[string]time.Duration{
		"long idle":     recentUseWindow + 100*time.Millisecond,
		"recently used": 3 * closeLinger,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstream, _ := startUpstream(t, echo)
			n := startNode(t, func(c *Config) { c.Limits.Sockets = 4 * ownDescriptors }, upstream)
			for i := range n.frontend.maxOpen + n.frontend.spareSlots {
				c, in := dial(t, n)
				writeText(c, requestText("batch", fmt.Sprint("stays", i), ""))
				readResponse(in)
			}
			time.Sleep(idle)
			startedAt := time.Now()
			for i := range 20 {
				for range 10 {
					dial(t, n) // sends nothing
				}
				if status, _, _ := sendRequest(t, n, "batch", fmt.Sprint("t", i), ""); status != 200 {
					t.Fatalf("request %d: got status %d, want 200", i, status)
				}
			}
			if elapsed := time.Since(startedAt); elapsed > 400*time.Millisecond {
				t.Errorf("20 requests of new clients took %v, want at most 400ms", elapsed)
			}
		})
	}
}

// Guards against clients that send one request and keep their connection: they could use up all connections that the
// load balancers in front of a node hold to it. Above the soft limit idle connections are evicted although slots are
// free.
func TestIdleClientsAreEvictedAboveSoftLimit(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, func(c *Config) { c.Limits.Sockets = 4 * ownDescriptors }, upstream)
	var closed atomic.Int64
	for i := range 4 * ownDescriptors / 3 {
		c, in := dial(t, n)
		writeText(c, requestText("batch", fmt.Sprint("stays", i), ""))
		if status, _, _ := readResponse(in); status != 200 {
			t.Fatalf("request %d: got status %d, want 200", i, status)
		}
		go func() {
			waitForClose(in)
			closed.Add(1)
		}()
		time.Sleep(closeLinger / 5)
	}
	eventually(t, "at least 4 idle connections are closed", func() bool { return closed.Load() >= 4 })
	n.frontend.mu.Lock()
	defer n.frontend.mu.Unlock()
	if openConns := len(n.frontend.open); openConns > 4*ownDescriptors/activeClientDivisor+2 {
		t.Errorf("got %d open connections, want at most a quarter of the descriptors and 2 more", openConns)
	}
}

// Guards against evicting a client that sends its head slowly as if it had stalled, while many stalled and silent
// clients wait for a slot.
func TestSlowHeadAmongStalledClientsIsServed(t *testing.T) {
	t.Parallel()
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, func(c *Config) { lenientSettings(c); c.Limits.Sockets = 64 }, upstream)
	c, in := dial(t, n)
	text := requestText("batch", "t1", "a")
	for i := range 8 {
		writeText(c, text[i*len(text)/8:(i+1)*len(text)/8])
		for k := range 2 * n.frontend.maxOpen {
			stalled, _ := dial(t, n)
			if k%2 == 0 {
				writeText(stalled, "GET /batch HTT")
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if status, body, _ := readResponse(in); status != 200 {
		t.Errorf("slow client among stalled ones: got status %d, body %q, want status 200", status, body)
	}
}

// A lower connection limit, as set when a second process of the node starts and each gets half, evicts the idle clients
// beyond it even if no new clients connect.
func TestIdleClientsBeyondLimitAreEvicted(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := startNode(t, silentDiscovery(t), upstream)
	for range 8 {
		dial(t, n)
	}
	eventually(t, "all clients are idle", func() bool {
		n.frontend.mu.Lock()
		defer n.frontend.mu.Unlock()
		return n.idleClientsLocked() == 8
	})
	n.frontend.setLimits(3, 0, 100)
	if n.count(clientsEvicted) != 5 {
		t.Errorf("got %d clients evicted, want 5", n.count(clientsEvicted))
	}
}

// idleClientsLocked returns the number of clients that could be evicted. The caller holds the frontend's lock.
func (n *Node) idleClientsLocked() (idle int) {
	for c := range n.frontend.open {
		c.mu.Lock()
		if c.idleLocked(time.Now()) {
			idle++
		}
		c.mu.Unlock()
	}
	return idle
}
