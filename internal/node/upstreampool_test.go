package node

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fawnglade/policy"
)

// Guards against reusing a connection that received more than a complete response.
func TestConnectionWithExtraInputIsNotReused(t *testing.T) {
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		echo(c, r, body)
		return writeResponse(c, "200 OK", "unasked")
	})
	n := startNode(t, nil, server)
	for i := range 5 {
		if _, body, _ := sendRequest(t, n, "batch", fmt.Sprint("t", i), ""); body != fmt.Sprintf("/batch t%d ", i) {
			t.Fatalf("request %d: got the body %q of another response", i, body)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against writing a request to a connection that the upstream closed while it was idle.
func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	server, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		echo(c, r, body)
		return false
	})
	n := startNode(t, nil, server)
	for i := range 5 {
		if status, _, _ := sendRequest(t, n, "batch", fmt.Sprint("t", i), ""); status != 200 {
			t.Errorf("request %d: got status %d, want 200", i, status)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if requests.Load() != 5 || n.count(attemptsReset) != 0 {
		t.Errorf("got %d requests at the upstream and %d resets, want 5 and 0", requests.Load(), n.count(attemptsReset))
	}
	n.upstreams.closeExpired()
	if n.upstreams.open != 0 {
		t.Errorf("got %d open connections after closeExpired, want 0", n.upstreams.open)
	}
}

// Guards against writing a request to a connection that the upstream has closed, or is about to close, because it was
// idle for too long.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNodeWithoutCooldown(t, func(c *Config) {
		c.Settings = json.RawMessage(strings.Replace(settingsText, `"idle_close_us":60000000`,
			`"idle_close_us":100000`, 1))
	}, server)
	for i, want := range []int64{1, 1, 2} {
		if i == 2 {
			time.Sleep(80 * time.Millisecond)
		}
		if sendRequest(t, n, "batch", fmt.Sprint("t", i), ""); n.count(upstreamConnsOpened) != want {
			t.Errorf("got %d connections opened after request %d, want %d", n.count(upstreamConnsOpened), i, want)
		}
	}
}

// Guards against upstream connections that use more descriptors than their share and the slots lent by clients.
func TestUpstreamConnectionsAreBounded(t *testing.T) {
	for _, lent := range []int64{0, 4} {
		var atUpstream atomic.Int64
		hold := make(chan struct{})
		server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
			atUpstream.Add(1)
			<-hold
			return echo(c, r, body)
		})
		n := newNode(t, func(c *Config) { c.Limits.Sockets = 4 * ownDescriptors }, server)
		n.upstreams.maxOpen = 3
		n.frontend.maxSlotsLentToUpstreams.Store(lent)
		n.start()
		var done sync.WaitGroup
		statusCounts := [600]atomic.Int64{}
		for i := range 10 {
			done.Go(func() {
				status, _, _ := sendRequest(t, n, "pay", fmt.Sprint("t", i), "")
				statusCounts[status].Add(1)
			})
		}
		eventually(t, "the rejected requests", func() bool { return statusCounts[503].Load() == 7-lent })
		close(hold)
		done.Wait()
		if statusCounts[200].Load() != 3+lent || atUpstream.Load() != 3+lent || n.count(attemptsNotSent) < 7-lent {
			t.Errorf("with %d lent slots: got %d succeeded, %d at the upstream and %d not sent, want 3 plus the lent slots for the first two, and at least the other requests of 10 not sent", lent, statusCounts[200].Load(),
				atUpstream.Load(), n.count(attemptsNotSent))
		}
	}
}

// A slot for a new connection is freed by closing the longest idle connection of any endpoint.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	n := newNode(t, nil)
	pool := n.upstreams
	pool.maxOpen = 3
	pool.reuseCooldown = 0
	var conns []*upstreamConn
	for i := range 3 {
		c, _ := net.Pipe()
		conns = append(conns, &upstreamConn{
			bufferedConn: newBufferedConn(c, nil),
			target:       upstreamTarget{policy.EndpointID(i), "x"},
		})
		pool.setAddress(policy.EndpointID(i), "x", true)
		if !pool.reserveSlot() {
			t.Fatal("got no slot for one of 3 connections, want one")
		}
	}
	for _, i := range []int{1, 0, 2} {
		pool.putIdle(conns[i])
	}
	if c := pool.takeIdle(conns[1].target); c != conns[1] {
		t.Fatal("takeIdle did not return the idle connection to endpoint 1")
	}
	pool.putIdle(conns[1]) // used again, so that the connection to endpoint 0 is the longest idle
	if !pool.reserveSlot() || pool.takeIdle(conns[0].target) != nil || pool.idleOrder.Len() != 2 {
		t.Errorf("got %d idle connections, want 2: those to endpoints 1 and 2", pool.idleOrder.Len())
	}
	pool.closeIdle(conns[2].target)
	if pool.idleOrder.Len() != 1 || pool.open != 2 {
		t.Errorf("got %d idle and %d open connections after closeIdle, want 1 and 2", pool.idleOrder.Len(), pool.open)
	}
	if pool.takeIdle(conns[1].target) == nil {
		t.Error("takeIdle did not return the remaining idle connection")
	}
	first := pool.reserveSlot()
	if first && pool.reserveSlot() {
		t.Error("got a slot beyond the limit although no connection is idle")
	}
}

// Guards against a connection that is reused while a second copy of its last response may be on its way.
func TestConnectionCooldown(t *testing.T) {
	server := listen(t, func(c net.Conn) { discard(c) })
	upstream := upstreamTarget{1, server}
	for name, c := range map[string]struct {
		requests           int
		cooldown           time.Duration
		eligible, reusable bool
	}{
		"after a response":         {requests: 1, cooldown: time.Hour, eligible: true},
		"after many responses":     {requests: 9, cooldown: time.Hour, eligible: true},
		"after the cooldown":       {requests: 1, eligible: true, reusable: true},
		"opened and not used":      {cooldown: time.Hour, eligible: true, reusable: true},
		"endpoint not eligible":    {requests: 1},
		"not eligible, not used":   {cooldown: time.Hour},
		"not eligible, cools down": {requests: 1, cooldown: time.Hour},
	} {
		n := newNode(t, nil)
		n.upstreams.reuseCooldown = c.cooldown
		n.upstreams.setAddress(1, server, c.eligible)
		raw, err := net.Dial("tcp", server)
		if err != nil {
			t.Fatal(err)
		}
		n.upstreams.reserveSlot()
		n.upstreams.putIdle(&upstreamConn{bufferedConn: newBufferedConn(raw, nil), target: upstream, requestCount: c.requests})
		if open := n.upstreams.open; open != 0 != c.eligible {
			t.Errorf("%s: got %d open connections, want one only if the endpoint is eligible", name, open)
		}
		if got := n.upstreams.takeIdle(upstream); got != nil != c.reusable {
			t.Errorf("%s: got reused %t, want %t", name, got != nil, c.reusable)
		}
		n.upstreams.reuseCooldown = 0
		if got := n.upstreams.takeIdle(upstream); got != nil != (c.eligible && !c.reusable) {
			t.Errorf("%s: got reused after the cooldown %t, want the opposite of before, if eligible", name, got != nil)
		}
		raw.Close()
	}
}

// No request is sent on older connections to an endpoint that was restarted at the same address.
func TestRestartedEndpointGetsNewConnections(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, nil, server)
	sendRequest(t, n, "batch", "a", "")
	eventually(t, "an idle connection", func() bool {
		n.upstreams.mu.Lock()
		defer n.upstreams.mu.Unlock()
		return n.upstreams.idleOrder.Len() == 1
	})
	restartedEntry := strings.Replace(listEntry("s-0", server, "up"), `"born_ms":0`,
		fmt.Sprintf(`"born_ms":%d`, n.clock.nanos()/milli), 1)
	n.updateList(t, listText(2, false, restartedEntry))
	eventually(t, "the idle connection to be closed", func() bool {
		n.upstreams.mu.Lock()
		defer n.upstreams.mu.Unlock()
		return n.upstreams.open == 0
	})
	n.updateList(t, listText(3, false, restartedEntry))
	sendRequest(t, n, "batch", "b", "")
	n.updateList(t, listText(4, false, restartedEntry))
	if n.flushLoop(); n.count(upstreamConnsIdleClosed) != 1 {
		t.Errorf("got %d idle connections closed, want 1", n.count(upstreamConnsIdleClosed))
	}
}
