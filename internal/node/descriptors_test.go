package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// This file owns who has descriptors inside a node: attempts in the place of idle clients, and the files of orders. What a whole process
// does with the machine's limit is in cmd/fawnglade.

// Attempts beyond their part of the descriptors have the places of clients that stand idle, no more than leaves both as many, and
// give them back once they need them no more.
func TestAttemptsHaveThePlacesOfIdleClients(t *testing.T) {
	answers := newGate(t)
	server, _ := startUpstream(t, echo)
	slow := listen(t, func(c net.Conn) { answers.wait(); io.Copy(io.Discard, c) })
	n := startNode(t, silentDiscovery(t), server)
	n.upstreams.setLimit(2)
	n.frontend.setLimits(8, 0, 100)
	n.frontend.maxLentSlots.Store(3)
	for range 8 {
		dial(t, n)
	}
	eventually(t, "a full house", func() bool { n.frontend.mu.Lock(); defer n.frontend.mu.Unlock(); return len(n.frontend.open) == 8 })
	eventually(t, "its clients idle", func() bool { n.frontend.mu.Lock(); defer n.frontend.mu.Unlock(); return n.idlers() == 8 })
	var conns []*upstreamConn
	for i := range 6 {
		c, err := n.upstreams.acquire(&attempt{request: newPendingRequest(), target: upstreamTarget{1, slow}}, time.Now().Add(time.Minute))
		if (err == nil) != (i < 5) {
			t.Fatalf("attempt %d: %v", i, err)
		}
		if err == nil {
			conns = append(conns, c)
		}
	}
	n.frontend.mu.Lock()
	if open, places := len(n.frontend.open), n.frontend.slotsLocked(); open > 5 || places != 5 {
		t.Errorf("beside five attempts %d clients stand at %d places", open, places)
	}
	n.frontend.mu.Unlock()
	if _, err := n.upstreams.acquire(&attempt{target: upstreamTarget{1, slow}}, time.Now().Add(time.Minute)); err != errNoConnectionSlot {
		t.Errorf("a probe: %v", err)
	}
	for _, c := range conns[:4] {
		n.upstreams.closeConn(c)
	}
	if n.upstreams.closeExpired(); n.frontend.lentSlots.Load() != 0 || n.frontend.capacity() != 8 {
		t.Errorf("%d places are not given back", n.frontend.lentSlots.Load())
	}
}

// A node that has another process beside it lets idle clients beyond its half go, also where nobody comes to it any more.
func TestIdleClientsBeyondTheHalfGo(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, silentDiscovery(t), server)
	for range 8 {
		dial(t, n)
	}
	eventually(t, "all idle", func() bool { n.frontend.mu.Lock(); defer n.frontend.mu.Unlock(); return n.idlers() == 8 })
	n.frontend.setLimits(3, 0, 100)
	if n.count(clientsEvicted) != 5 {
		t.Errorf("%d clients are asked to go, want 5", n.count(clientsEvicted))
	}
}

// idlers is how many clients could be asked to go; the lock is held.
func (n *Node) idlers() (idle int) {
	for c := range n.frontend.open {
		c.mu.Lock()
		if c.idleLocked(time.Now()) {
			idle++
		}
		c.mu.Unlock()
	}
	return idle
}

// Of many who order at once, one has the file's lock open: each open file is a descriptor, and the wait for another process's turn is
// not spent behind one's own.
func TestOrdersWaitWithOneFile(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, nil, server)
	held, err := lockFile(n.overrides.path+".lock", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	open := func() (files int) {
		list, _ := os.ReadDir("/proc/self/fd")
		for _, one := range list {
			if at, _ := os.Readlink("/proc/self/fd/" + one.Name()); strings.HasPrefix(at, n.overrides.path) {
				files++
			}
		}
		return files - 1 // the one that is held
	}
	most := 0
	var done sync.WaitGroup
	for i := range 8 {
		done.Go(func() {
			n.overrides.change(func(o *overrideSet) string { return o.disable(fmt.Sprint("s-", i), 1) })
		})
	}
	eventually(t, "one that waits", func() bool { most = max(most, open()); return most > 0 })
	for range 20 {
		time.Sleep(time.Millisecond)
		most = max(most, open())
	}
	held.Close()
	if done.Wait(); most != 1 {
		t.Errorf("%d files were open at once", most)
	}
}
