package node

// This file owns the messages between nodes: one datagram holds one piece of news. They may be lost, late, repeated or
// nonsense; nothing here resends, waits for a peer or holds up the loop. It must never believe an address that is not
// on the list of peers, and decides nothing on what is told.

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"go.uber.org/zap"

	"fawnglade/internal/datagram"
	"fawnglade/internal/gossip"
	"fawnglade/policy"
)

const (
	mostPeers = 4096
	mostTold  = 64 // news that wait to be sent; what comes beyond is dropped
)

// peers holds the node's socket for news; without one nothing is told and nothing heard.
type peers struct {
	node    *Node
	socket  *net.UDPConn
	known   map[netip.AddrPort]int // a number for each
	inbox   gossip.Inbox           // of hear alone
	waiting chan policy.GossipMessage
}

// checkNews checks the configuration of news.
func (c *Config) checkNews() error {
	if c.News.Listen == "" {
		if len(c.News.Peers) > 0 {
			return errors.New("news.listen: expected an address and a port, as there are news.peers, got none")
		}
		if c.decoded.Policy.MayGossip && c.decoded.Policy.NodeCount > 1 {
			return errors.New("news.listen: expected an address and a port, as limits.peer_messages is true in the settings, got none")
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(c.News.Listen); err != nil {
		return fmt.Errorf("news.listen: expected an address and a port, got %q", c.News.Listen)
	}
	if len(c.News.Peers) > mostPeers {
		return fmt.Errorf("news.peers: expected at most %d, got %d", mostPeers, len(c.News.Peers))
	}
	for i, address := range c.News.Peers {
		if at, err := netip.ParseAddrPort(address); err != nil || at.Port() == 0 {
			return fmt.Errorf("news.peers.%d: expected an address and a port, got %q", i, address)
		}
	}
	return nil
}

func newPeers(n *Node) (*peers, error) {
	p := &peers{node: n, known: map[netip.AddrPort]int{}, waiting: make(chan policy.GossipMessage, mostTold)}
	if n.config.News.Listen == "" {
		return p, nil
	}
	socket, err := datagram.Listen(n.config.News.Listen)
	if err != nil {
		return nil, fmt.Errorf("news.listen: %w", err)
	}
	p.socket = socket
	own := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	for i, address := range n.config.News.Peers { // the same list may serve all nodes
		if at := netip.MustParseAddrPort(address); at != own {
			p.known[at] = i
		}
	}
	return p, nil
}

// tell queues news for every peer; it never waits.
func (p *peers) tell(n policy.GossipMessage) {
	select {
	case p.waiting <- n:
	default:
		p.node.counters.add(newsDropped)
	}
}

func (p *peers) run() {
	if p.socket == nil {
		return
	}
	go p.hear()
	for n := range p.waiting {
		message := gossip.Encode(n, p.node.clock.now())
		for at := range p.known {
			if _, err := p.socket.WriteToUDPAddrPort(message, at); err != nil {
				p.node.counters.add(newsDropped)
				continue
			}
			p.node.counters.add(newsTold)
		}
	}
}

// hear enters what peers tell, unless the loop has its hands full: no task is to wait for news.
func (p *peers) hear() {
	buffer := make([]byte, gossip.MaxMessageBytes+1)
	for {
		length, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		peer, known := p.known[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known {
			p.node.counters.add(newsPassedOver)
			continue
		}
		told, err := p.inbox.Open(peer, buffer[:length], p.node.clock.now())
		if err != nil {
			p.node.counters.add(newsPassedOver)
			continue
		}
		select {
		case p.node.loop.events <- func() { p.node.loop.told(told) }:
			p.node.counters.add(newsHeard)
		default:
			p.node.counters.add(newsDropped)
		}
	}
}

// close ends both directions.
func (p *peers) close() {
	if p.socket != nil {
		if err := p.socket.Close(); err != nil {
			p.node.log.Warn("news", zap.Error(err))
		}
	}
}
