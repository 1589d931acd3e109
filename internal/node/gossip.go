package node

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"fawnglade/internal/datagram"
	"fawnglade/internal/gossip"
	"fawnglade/policy"

	"go.uber.org/zap"
)

// Gossip between the balancers of nodes: each message goes to each peer once, in one UDP datagram of at most
// gossip.MaxMessageBytes. Messages may be lost, delayed, duplicated or invalid. Only messages from the address of a
// configured peer are decoded, and none blocks the event loop.

const (
	maxGossipPeers  = 4096
	maxGossipOutbox = 64 // queued messages; more are dropped
)

// gossiper holds the gossip socket. Without a socket nothing is sent or received.
type gossiper struct {
	node   *Node
	socket *net.UDPConn           // nil: gossip is disabled
	peers  map[netip.AddrPort]int // address to index in the configuration
	inbox  gossip.Inbox           // used by receiveLoop only
	outbox chan policy.GossipMessage
}

func newGossiper(n *Node) (*gossiper, error) {
	g := &gossiper{
		node:   n,
		peers:  map[netip.AddrPort]int{},
		outbox: make(chan policy.GossipMessage, maxGossipOutbox),
	}
	if n.config.Gossip.Listen == "" {
		return g, nil
	}
	socket, err := datagram.Listen(n.config.Gossip.Listen)
	if err != nil {
		return nil, fmt.Errorf("news.listen: %w", err)
	}
	g.socket = socket
	own := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	for i, address := range n.config.Gossip.Peers {
		if peer := netip.MustParseAddrPort(address); peer != own {
			g.peers[peer] = i
		}
	}
	return g, nil
}

// send queues a message for every peer without blocking.
func (g *gossiper) send(message policy.GossipMessage) {
	select {
	case g.outbox <- message:
	default:
		g.node.counters.add(gossipDropped)
	}
}

func (g *gossiper) sendLoop() {
	if g.socket == nil {
		return
	}
	go g.receiveLoop()
	for message := range g.outbox {
		encoded := gossip.Encode(message, g.node.clock.nanos())
		for peer := range g.peers {
			if _, err := g.socket.WriteToUDPAddrPort(encoded, peer); err != nil {
				g.node.counters.add(gossipDropped)
				continue
			}
			g.node.counters.add(gossipSent)
		}
	}
}

func (g *gossiper) receiveLoop() {
	buffer := make([]byte, gossip.MaxMessageBytes+1)
	for {
		length, from, err := g.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		peer, known := g.peers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known {
			g.node.counters.add(gossipIgnored)
			continue
		}
		g.receive(peer, buffer[:length])
	}
}

// receive posts a valid message to the event loop, or drops it if the loop's queue is full, so that gossip never delays
// requests.
func (g *gossiper) receive(peer int, datagram []byte) {
	message, err := g.inbox.Open(peer, datagram, g.node.clock.nanos())
	if err != nil {
		g.node.counters.add(gossipIgnored)
		return
	}
	if g.node.loop.tryPost(func() { g.node.loop.gossipReceived(message) }) {
		g.node.counters.add(gossipReceived)
	} else {
		g.node.counters.add(gossipDropped)
	}
}

func (g *gossiper) close() {
	if g.socket == nil {
		return
	}
	if err := g.socket.Close(); err != nil {
		g.node.log.Warn("closing the gossip socket failed", zap.Error(err))
	}
}
