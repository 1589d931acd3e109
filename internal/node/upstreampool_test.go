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

// Guards against another request on a connection that brought more than a complete response.
func TestConnectionWithExtraInputIsNotReused(t *testing.T) {
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		echo(c, r, body)
		return writeResponse(c, "200 OK", "unasked")
	})
	n := startNode(t, nil, server)
	for i := range 5 {
		if _, body, _ := sendRequest(t, n, "batch", fmt.Sprint("t", i), ""); body != fmt.Sprintf("/batch t%d ", i) {
			t.Fatalf("request %d got the answer %q", i, body)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a reset on a connection that the upstream had closed while it was idle.
func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	server, requests := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		echo(c, r, body)
		return false
	})
	n := startNode(t, nil, server)
	for i := range 5 {
		if status, _, _ := sendRequest(t, n, "batch", fmt.Sprint("t", i), ""); status != 200 {
			t.Errorf("request %d was answered %d", i, status)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if requests.Load() != 5 || n.count(attemptsReset) != 0 {
		t.Errorf("%d requests came to the server, %d resets", requests.Load(), n.count(attemptsReset))
	}
	n.upstreams.closeExpired()
	if n.upstreams.open != 0 {
		t.Errorf("%d closed connections still hold descriptors", n.upstreams.open)
	}
}

// Guards against writing a request to a connection that the upstream has closed, or is about to close, for being
// idle.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, func(c *Config) {
		c.Settings = json.RawMessage(strings.Replace(settingsText, `"idle_close_us":60000000`,
			`"idle_close_us":100000`, 1))
	}, server)
	for i, want := range []int64{1, 1, 2} {
		if i == 2 {
			time.Sleep(80 * time.Millisecond)
		}
		if sendRequest(t, n, "batch", fmt.Sprint("t", i), ""); n.count(upstreamConnsOpened) != want {
			t.Errorf("%d connections after request %d, want %d", n.count(upstreamConnsOpened), i, want)
		}
	}
}

// Guards against upstream connections taking more descriptors than their share and the slots that clients lend.
func TestUpstreamConnectionsAreBounded(t *testing.T) {
	for _, lent := range []int64{0, 4} {
		var out atomic.Int64
		hold := make(chan struct{})
		server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
			out.Add(1)
			<-hold
			return echo(c, r, body)
		})
		n := newNode(t, func(c *Config) { c.Limits.Sockets = 4 * ownDescriptors }, server)
		n.upstreams.maxOpen = 3
		n.frontend.maxSlotsLentToUpstreams.Store(lent)
		n.start()
		var done sync.WaitGroup
		answers := [600]atomic.Int64{}
		for i := range 10 {
			done.Go(func() {
				status, _, _ := sendRequest(t, n, "pay", fmt.Sprint("t", i), "")
				answers[status].Add(1)
			})
		}
		eventually(t, "declines", func() bool { return answers[503].Load() == 7-lent })
		close(hold)
		done.Wait()
		if answers[200].Load() != 3+lent || out.Load() != 3+lent || n.count(attemptsNotSent) < 7-lent {
			t.Errorf("with %d lent: %d satisfied, %d at the server, %d never sent", lent, answers[200].Load(),
				out.Load(), n.count(attemptsNotSent))
		}
	}
}

// Room for a connection is made in place of the one that has been idle longest, whichever endpoint it is to.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	n := newNode(t, nil)
	s := n.upstreams
	s.maxOpen, s.extraInputCooldown = 3, 0
	var conns []*upstreamConn
	for i := range 3 {
		c, _ := net.Pipe()
		conns = append(conns, &upstreamConn{
			bufferedConn: newBufferedConn(c),
			target:       upstreamTarget{policy.EndpointID(i), "x"},
		})
		s.setAddress(policy.EndpointID(i), "x", true)
		if !s.reserveSlot() {
			t.Fatal("no slot for one of three")
		}
	}
	for _, i := range []int{1, 0, 2} {
		s.putIdle(conns[i])
	}
	if c := s.takeIdle(conns[1].target); c != conns[1] {
		t.Fatal("the connection that was kept is not there")
	}
	s.putIdle(conns[1]) // used again, so that 0 is now the longest idle
	if !s.reserveSlot() || s.takeIdle(conns[0].target) != nil || s.idleOrder.Len() != 2 {
		t.Errorf("%d idle, want 1 and 2", s.idleOrder.Len())
	}
	s.closeIdle(conns[2].target)
	if s.idleOrder.Len() != 1 || s.open != 2 {
		t.Errorf("%d idle, %d open after a server was forgotten, want 1 and 2", s.idleOrder.Len(), s.open)
	}
	if s.takeIdle(conns[1].target) == nil {
		t.Error("the connection that is still idle is not there")
	}
	first := s.reserveSlot()
	if first && s.reserveSlot() {
		t.Error("a slot was freed though no connection is idle")
	}
}

// What a connection has shown decides when it may carry the next request.
func TestConnectionCooldown(t *testing.T) {
	server := listen(t, func(c net.Conn) { discard(c) })
	at := upstreamTarget{1, server}
	for name, c := range map[string]struct {
		strayed, turned bool
		standing        bool
		taken           bool
	}{
		"after an answer":           {standing: true, taken: true},
		"after one rejected":        {standing: true, turned: true},
		"where answers come again":  {standing: true, strayed: true},
		"its server is not wanted":  {},
		"nor in any of these cases": {strayed: true, turned: true},
	} {
		n := newNode(t, nil)
		n.upstreams.extraInputCooldown = time.Hour
		n.upstreams.setAddress(1, server, c.standing)
		n.upstreams.recordExtraInput(c.strayed)
		raw, err := net.Dial("tcp", server)
		if err != nil {
			t.Fatal(err)
		}
		n.upstreams.reserveSlot()
		n.upstreams.putIdle(&upstreamConn{bufferedConn: newBufferedConn(raw), target: at, lastRejected: c.turned})
		if open := n.upstreams.open; open != 0 != c.standing {
			t.Errorf("%s: %d connections are open", name, open)
		}
		if got := n.upstreams.takeIdle(at); got != nil != c.taken {
			t.Errorf("%s: taken %t", name, got != nil)
		}
		n.upstreams.extraInputCooldown = 0
		if got := n.upstreams.takeIdle(at); got != nil != (c.standing && !c.taken) {
			t.Errorf("%s: taken %t once it has rested", name, got != nil)
		}
		raw.Close()
	}
}

// After an endpoint has restarted at its address no request is sent on connections from before.
func TestRestartedEndpointGetsNewConnections(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, nil, server)
	sendRequest(t, n, "batch", "a", "")
	eventually(t, "an idle connection", func() bool {
		n.upstreams.mu.Lock()
		defer n.upstreams.mu.Unlock()
		return n.upstreams.idleOrder.Len() == 1
	})
	born := strings.Replace(listEntry("s-0", server, "up"), `"born_ms":0`,
		fmt.Sprintf(`"born_ms":%d`, n.clock.nanos()/milli), 1)
	n.updateList(t, listText(2, false, born))
	eventually(t, "its end", func() bool {
		n.upstreams.mu.Lock()
		defer n.upstreams.mu.Unlock()
		return n.upstreams.open == 0
	})
	n.updateList(t, listText(3, false, born))
	sendRequest(t, n, "batch", "b", "")
	n.updateList(t, listText(4, false, born))
	if n.flushLoop(); n.count(upstreamConnsIdleClosed) != 1 {
		t.Errorf("%d connections closed", n.count(upstreamConnsIdleClosed))
	}
}
