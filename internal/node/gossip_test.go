package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fawnglade/internal/gossip"
	"fawnglade/policy"
)

// withGossip configures gossip with peers. The settings allow messages between nodes and health checks.
func withGossip(position int, peers ...string) func(*Config) {
	return func(c *Config) {
		c.Gossip.Listen, c.Gossip.Peers = "127.0.0.1:0", peers
		text := strings.Replace(settingsText, `"group_size":1`, fmt.Sprintf(`"group_size":3,"position":%d,"value_by":"work"`, position), 1)
		text = strings.Replace(text, `"limits":{`, `"limits":{"peer_messages":true,"probes":true,"multiplex":100,`, 1)
		c.Settings = []byte(strings.Replace(text, `"how":"inline"`, `"how":"on_probe"`, 1))
	}
}

func TestGossipBetweenNodes(t *testing.T) {
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { requireNoError(t, listener.Close()) })
	n := startNode(t, withGossip(1, listener.LocalAddr().String()))
	t.Cleanup(n.gossiper.close)
	sent := policy.GossipMessage{Endpoint: endpointID("s-0"), Class: 2}
	n.loop.post(func() { n.loop.Gossip(sent) })
	buffer := make([]byte, 300)
	requireNoError(t, listener.SetReadDeadline(time.Now().Add(5*time.Second)))
	length, _, err := listener.ReadFrom(buffer)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := new(gossip.Inbox).Open(0, buffer[:length], n.clock.nanos()); got != sent || err != nil {
		t.Errorf("got message %+v and error %v at the peer, want the sent message and no error", got, err)
	}
	own := n.gossiper.socket.LocalAddr()
	message := gossip.Encode(sent, n.clock.nanos())
	for _, message := range [][]byte{message, message, gossip.Encode(sent, n.clock.nanos()-5*second), nil, {1, 2, 3}, make([]byte, 2000)} {
		if _, err := listener.WriteTo(message, own); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "one message received, five ignored", func() bool { return n.count(gossipReceived) == 1 && n.count(gossipIgnored) == 5 })
	unknownPeer, err := net.Dial("udp", own.String())
	if err != nil {
		t.Fatal(err)
	}
	defer unknownPeer.Close()
	writeBytes(unknownPeer, message)
	eventually(t, "a message of an unknown peer ignored", func() bool { return n.count(gossipIgnored) == 6 })
}

// Guards against gossip that blocks the event loop when nothing drains the outbox.
func TestGossipBeyondOutboxIsDropped(t *testing.T) {
	n := newNode(t, withGossip(0))
	t.Cleanup(n.gossiper.close)
	for range maxGossipOutbox + 5 {
		n.loop.Gossip(policy.GossipMessage{IdleTime: time.Second})
	}
	if n.count(gossipDropped) != 5 {
		t.Errorf("got %d dropped messages, want 5", n.count(gossipDropped))
	}
}

func TestHealthChecksBringLoadReports(t *testing.T) {
	var checks, answered atomic.Int64
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == pathLoad {
			if checks.Add(1) == 3 {
				return writeResponse(c, "503 Service Unavailable", "")
			}
			return writeResponse(c, "200 OK", "queue=7,qps=3")
		}
		answered.Add(1)
		return echo(c, r, body)
	})
	n := startNode(t, withGossip(0), server)
	t.Cleanup(n.gossiper.close)
	for i := range 3 * 32 {
		if status, _, _ := sendRequest(t, n, "view", fmt.Sprint("t", i), ""); status != 200 {
			t.Fatalf("request %d: got status %d, want 200", i, status)
		}
	}
	eventually(t, "three health checks, one of them failed", func() bool { return n.count(healthChecksAnswered) == 2 && n.count(healthChecksFailed) == 1 })
	if checks.Load() != 3 || answered.Load() != 96 {
		t.Errorf("got %d health checks and %d requests at the upstream, want 3 and 96", checks.Load(), answered.Load())
	}
}

func TestCloseIdleClosesIdleConnections(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, nil, server)
	sendRequest(t, n, "view", "a", "")
	n.loop.post(func() { n.loop.CloseIdle(endpointID("s-0")) })
	eventually(t, "the idle connection to be closed", func() bool { return n.count(upstreamConnsIdleClosed) == 1 })
	n.loop.post(func() { n.loop.CloseIdle(99) })
	if status, _, _ := sendRequest(t, n, "view", "b", ""); status != 200 || n.count(upstreamConnsOpened) != 2 {
		t.Errorf("after CloseIdle: got status %d and %d connections opened, want 200 and 2", status, n.count(upstreamConnsOpened))
	}
}

func TestGossipConfigurationIsChecked(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"news.listen: expected an address and a port, as limits.peer": func(c *Config) { c.Gossip.Listen = "" },
		"news.listen: expected an address and a port, got":            func(c *Config) { c.Gossip.Listen = "nowhere" },
		"news.listen: expected an address and a port, as there are":   func(c *Config) { c.Gossip.Listen, c.Gossip.Peers = "", []string{"127.0.0.1:9"} },
		"news.peers.1: expected an address and a port":                func(c *Config) { c.Gossip.Peers = []string{"127.0.0.1:9", "127.0.0.1:0"} },
		"settings: position: expected a number below group_size": func(c *Config) {
			c.Settings = []byte(strings.Replace(string(c.Settings), `"position":0`, `"position":3`, 1))
		},
		"limits.multiplex: expected a number of at least 1": func(c *Config) {
			c.Settings = []byte(strings.Replace(string(c.Settings), `"multiplex":100`, `"multiplex":0`, 1))
		},
	} {
		c := &Config{Name: "n", Listen: unusedAddress(), Discovery: "127.0.0.1:1", Seed: "1"}
		withGossip(0)(c)
		change(c)
		if err := c.check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}
