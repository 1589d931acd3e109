package node

// This file owns the messages between nodes: one datagram holds one piece of news. They may be lost, late, repeated or
// nonsense; nothing here resends, waits for a peer or holds up the loop. It must never believe an address that is not
// on the list of peers, and decides nothing on what is told.

import (
	"errors"
	"fawnglade/internal/datagram"
	"fawnglade/internal/gossip"
	"fawnglade/policy"
	"fmt"
	"net"
	"net/netip"

	"go.uber.org/zap"
)

const (
	maxGossipPeers  = 4096
	maxGossipOutbox = 64 // news that wait to be sent; what comes beyond is dropped
)

// gossiper holds the node's socket for news; without one nothing is told and nothing heard.
type gossiper struct {
	node   *Node
	socket *net.UDPConn
	peers  map[netip.AddrPort]int // a number for each
	inbox  gossip.Inbox           // of hear alone
	outbox chan policy.GossipMessage
}

// checkNews checks the configuration of news.
func (c *Config) checkGossip() error {
	if c.Gossip.Listen == "" {
		if len(c.Gossip.Peers) > 0 {
			return errors.New("news.listen: expected an address and a port, as there are news.peers, got none")
		}
		if c.parsedSettings.Policy.MayGossip && c.parsedSettings.Policy.NodeCount > 1 {
			return errors.New("news.listen: expected an address and a port, as limits.peer_messages is true in the settings, got none")
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(c.Gossip.Listen); err != nil {
		return fmt.Errorf("news.listen: expected an address and a port, got %q", c.Gossip.Listen)
	}
	if len(c.Gossip.Peers) > maxGossipPeers {
		return fmt.Errorf("news.peers: expected at most %d, got %d", maxGossipPeers, len(c.Gossip.Peers))
	}
	for i, address := range c.Gossip.Peers {
		if at, err := netip.ParseAddrPort(address); err != nil || at.Port() == 0 {
			return fmt.Errorf("news.peers.%d: expected an address and a port, got %q", i, address)
		}
	}
	return nil
}

func newGossiper(n *Node) (*gossiper, error) {
	p := &gossiper{node: n, peers: map[netip.AddrPort]int{}, outbox: make(chan policy.GossipMessage, maxGossipOutbox)}
	if n.config.Gossip.Listen == "" {
		return p, nil
	}
	socket, err := datagram.Listen(n.config.Gossip.Listen)
	if err != nil {
		return nil, fmt.Errorf("news.listen: %w", err)
	}
	p.socket = socket
	own := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	for i, address := range n.config.Gossip.Peers { // the same list may serve all nodes
		if at := netip.MustParseAddrPort(address); at != own {
			p.peers[at] = i
		}
	}
	return p, nil
}

// send queues news for every peer; it never waits.
func (p *gossiper) send(n policy.GossipMessage) {
	select {
	case p.outbox <- n:
	default:
		p.node.counters.add(gossipDropped)
	}
}

func (p *gossiper) sendLoop() {
	if p.socket == nil {
		return
	}
	go p.receiveLoop()
	for n := range p.outbox {
		message := gossip.Encode(n, p.node.clock.nanos())
		for at := range p.peers {
			if _, err := p.socket.WriteToUDPAddrPort(message, at); err != nil {
				p.node.counters.add(gossipDropped)
				continue
			}
			p.node.counters.add(gossipSent)
		}
	}
}

// receiveLoop enters what peers tell, unless the loop has its hands full: no request is to wait for news.
func (p *gossiper) receiveLoop() {
	buffer := make([]byte, gossip.MaxMessageBytes+1)
	for {
		length, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		peer, known := p.peers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known {
			p.node.counters.add(gossipIgnored)
			continue
		}
		told, err := p.inbox.Open(peer, buffer[:length], p.node.clock.nanos())
		if err != nil {
			p.node.counters.add(gossipIgnored)
			continue
		}
		select {
		case p.node.loop.events <- func() { p.node.loop.gossipReceived(told) }:
			p.node.counters.add(gossipReceived)
		default:
			p.node.counters.add(gossipDropped)
		}
	}
}

// close ends both directions.
func (p *gossiper) close() {
	if p.socket != nil {
		if err := p.socket.Close(); err != nil {
			p.node.log.Warn("news", zap.Error(err))
		}
	}
}
