package faultproxy

// Datagram proxies between nodes: one socket per ordered pair of nodes, at which the first node sends to the second and
// from which it receives the second's messages, so that each node sees the other at a single address. At most
// maxDelayedDatagrams delayed messages are held.

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/lab/netfault"
)

const (
	maxDelayedDatagrams = 1 << 16            // delayed datagrams held at a time; more are dropped
	maxThrottleBacklog  = int64(time.Second) // largest queueing delay of a bandwidth-limited link
	maxDatagramSize     = 2048
)

// Mesh forwards datagrams between all pairs of nodes.
type Mesh struct {
	proxies       *Proxies
	targets       []netip.AddrPort // the nodes' own addresses
	sockets       [][]*net.UDPConn // [i][j]: the socket at which node i sends to node j
	messageCounts [][]atomic.Uint64
	busyUntil     [][]atomic.Int64 // nanoseconds; a bandwidth-limited link is busy until then
	delayed       atomic.Int64

	mu       sync.Mutex
	captured map[[2]int][]byte
}

// NewMesh opens the proxies between nodes that listen at the given addresses.
func NewMesh(proxies *Proxies, listen []string) (*Mesh, error) {
	n := len(listen)
	m := &Mesh{proxies: proxies, captured: map[[2]int][]byte{}, messageCounts: make([][]atomic.Uint64, n), busyUntil: make([][]atomic.Int64, n)}
	for i, address := range listen {
		target, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		m.targets = append(m.targets, target)
		m.messageCounts[i], m.busyUntil[i] = make([]atomic.Uint64, n), make([]atomic.Int64, n)
		m.sockets = append(m.sockets, make([]*net.UDPConn, n))
	}
	for i := range n {
		for j := range n {
			if i == j {
				continue
			}
			s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				m.Close()
				return nil, err
			}
			m.sockets[i][j] = s
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				go m.forward(i, j)
			}
		}
	}
	return m, nil
}

// Address returns the address at which one node reaches another; a node's own address if both are the same.
func (m *Mesh) Address(from, to int) string {
	if from == to {
		return m.targets[to].String()
	}
	return m.sockets[from][to].LocalAddr().String()
}

// Close closes all sockets.
func (m *Mesh) Close() {
	for _, row := range m.sockets {
		for _, s := range row {
			if s != nil {
				_ = s.Close()
			}
		}
	}
}

func (m *Mesh) forward(from, to int) {
	buffer := make([]byte, maxDatagramSize)
	for {
		length, _, err := m.sockets[from][to].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m.applyFaults(from, to, append([]byte(nil), buffer[:length]...))
	}
}

func (m *Mesh) applyFaults(from, to int, datagram []byte) {
	number := m.messageCounts[from][to].Add(1)
	if number == 1 {
		m.mu.Lock()
		m.captured[[2]int{from, to}] = datagram
		m.mu.Unlock()
	}
	now := m.proxies.now()
	fate := m.proxies.schedule.Load().FateOf(now, netfault.End{Index: from}, netfault.End{Index: to}, number, len(datagram))
	if fate.Lost {
		return
	}
	if fate.CorruptByte >= 0 {
		datagram = append([]byte(nil), datagram...)
		datagram[fate.CorruptByte] ^= 0x55
	}
	if fate.Rate > 0 {
		ready := max(m.busyUntil[from][to].Load(), now) + int64(float64(len(datagram))/fate.Rate*1e9)
		if ready-now > maxThrottleBacklog {
			return // the queue of a bandwidth-limited link is full
		}
		m.busyUntil[from][to].Store(ready)
		fate.Delay += ready - now
	}
	m.deliverLater(fate.Delay, func() { m.deliver(from, to, datagram) })
	if fate.DuplicateAfter > 0 {
		m.deliverLater(fate.Delay+fate.DuplicateAfter, func() { m.deliver(from, to, datagram) })
	}
}

func (m *Mesh) deliverLater(delay int64, deliver func()) {
	if delay <= 0 {
		deliver()
		return
	}
	if m.delayed.Add(1) > maxDelayedDatagrams {
		m.delayed.Add(-1)
		return
	}
	time.AfterFunc(time.Duration(delay), func() {
		m.delayed.Add(-1)
		deliver()
	})
}

func (m *Mesh) deliver(from, to int, datagram []byte) {
	_, _ = m.sockets[to][from].WriteToUDPAddrPort(datagram, m.targets[to])
}

// Inject delivers a datagram to a node as if from another.
func (m *Mesh) Inject(from, to int, datagram []byte) { m.deliver(from, to, datagram) }

// CapturedDatagram returns the first datagram that one node sent to another; nil if there was none.
func (m *Mesh) CapturedDatagram(from, to int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.captured[[2]int{from, to}]
}
