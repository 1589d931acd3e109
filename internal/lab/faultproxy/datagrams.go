package faultproxy

// Datagram relays between nodes: for each pair of nodes one socket, on which the one reaches the other and from which the
// other's messages come, so that each sees the other at one address. At most maxDelayedDatagrams delayed messages are held.

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
	maxDelayedDatagrams = 1 << 16 // messages on their way
	maxThrottleBacklog  = int64(time.Second)
	maxDatagramSize     = 2048
)

// Mesh joins nodes by messages.
type Mesh struct {
	proxies       *Proxies
	targets       []netip.AddrPort // where nodes listen
	sockets       [][]*net.UDPConn // [i][j]: where i reaches j
	messageCounts [][]atomic.Uint64
	busyUntil     [][]atomic.Int64 // a narrow way is taken until then
	delayed       atomic.Int64

	mu       sync.Mutex
	captured map[[2]int][]byte
}

// NewMesh opens the relays between nodes that listen at some addresses.
func NewMesh(board *Proxies, listen []string) (*Mesh, error) {
	n := len(listen)
	m := &Mesh{proxies: board, captured: map[[2]int][]byte{}, messageCounts: make([][]atomic.Uint64, n), busyUntil: make([][]atomic.Int64, n)}
	for i, at := range listen {
		real, err := netip.ParseAddrPort(at)
		if err != nil {
			return nil, err
		}
		m.targets = append(m.targets, real)
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

// Address is where one node reaches another; its own for itself.
func (m *Mesh) Address(from, to int) string {
	if from == to {
		return m.targets[to].String()
	}
	return m.sockets[from][to].LocalAddr().String()
}

// Close ends all.
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
	v := m.proxies.schedule.Load().FateOf(now, netfault.End{Index: from}, netfault.End{Index: to}, number, len(datagram))
	if v.Lost {
		return
	}
	if v.CorruptByte >= 0 {
		datagram = append([]byte(nil), datagram...)
		datagram[v.CorruptByte] ^= 0x55
	}
	if v.Rate > 0 {
		ready := max(m.busyUntil[from][to].Load(), now) + int64(float64(len(datagram))/v.Rate*1e9)
		if ready-now > maxThrottleBacklog {
			return // the queue before a narrow way is full
		}
		m.busyUntil[from][to].Store(ready)
		v.Delay += ready - now
	}
	m.deliverLater(v.Delay, func() { m.deliver(from, to, datagram) })
	if v.DuplicateAfter > 0 {
		m.deliverLater(v.Delay+v.DuplicateAfter, func() { m.deliver(from, to, datagram) })
	}
}

func (m *Mesh) deliverLater(after int64, do func()) {
	if after <= 0 {
		do()
		return
	}
	if m.delayed.Add(1) > maxDelayedDatagrams {
		m.delayed.Add(-1)
		return
	}
	time.AfterFunc(time.Duration(after), func() {
		m.delayed.Add(-1)
		do()
	})
}

func (m *Mesh) deliver(from, to int, datagram []byte) {
	_, _ = m.sockets[to][from].WriteToUDPAddrPort(datagram, m.targets[to])
}

// Inject has a message come to a node, as from another if that is one.
func (m *Mesh) Inject(from, to int, datagram []byte) { m.deliver(from, to, datagram) }

// Copied is the first message that went from one node to another; nil if none did.
func (m *Mesh) CapturedDatagram(from, to int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.captured[[2]int{from, to}]
}
