package faultproxy

// Stream proxies: TCP connections from one participant to another. While a link is cut, open connections stay open but
// carry no data, and new ones are not accepted; connections whose data was held back are reset once the link is
// restored. Lost data arrives late, as TCP retransmits it. Bytes are never changed or reordered.

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fawnglade/internal/lab/netfault"
)

const (
	retransmitDelay = int64(200 * time.Millisecond) // extra delay of a lost chunk, nanoseconds
	chunkSize       = 16 << 10
	maxQueuedChunks = 64 // in one direction of a connection
	dialTimeout     = time.Second
)

// Stream is the proxy of connections from one end to another.
type Stream struct {
	proxies  *Proxies
	from, to netfault.End
	address  string
	target   func() string

	mu           sync.Mutex
	listener     net.Listener
	queueFillers []net.Conn
	pairs        map[*connPair]struct{}
	state        linkState
	closed       bool
}

type linkState uint8

const (
	stateOpen linkState = iota
	stateCut
	stateRefusing
)

// connPair is one connection through a proxy.
type connPair struct {
	client, server net.Conn
	chunkCounts    [2]atomic.Uint64
}

// NewStream opens a proxy that listens at an address, whose port may be 0. target is called for each new connection and
// returns the address to forward it to.
func NewStream(proxies *Proxies, address string, from, to netfault.End, target func() string) (*Stream, error) {
	s := &Stream{proxies: proxies, from: from, to: to, address: address, target: target, pairs: map[*connPair]struct{}{}}
	if err := s.listen(); err != nil {
		return nil, err
	}
	proxies.add(s)
	return s, nil
}

// Address returns the address at which the proxy accepts connections.
func (s *Stream) Address() string { return s.address }

func (s *Stream) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.address = l, l.Addr().String()
	go s.accept(l)
	return nil
}

func (s *Stream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.connect(c)
	}
}

// connect dials the target, and copies both directions until both have ended.
func (s *Stream) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", s.target(), dialTimeout)
	if err != nil {
		Reset(client)
		return
	}
	pair := &connPair{client: client, server: server}
	s.mu.Lock()
	if s.closed || s.state != stateOpen {
		s.mu.Unlock()
		Reset(client)
		Reset(server)
		return
	}
	s.pairs[pair] = struct{}{}
	s.mu.Unlock()
	var copies sync.WaitGroup
	copies.Add(2)
	go func() { defer copies.Done(); s.copy(pair, 0, client, server) }()
	go func() { defer copies.Done(); s.copy(pair, 1, server, client) }()
	copies.Wait()
	client.Close()
	server.Close()
	s.mu.Lock()
	delete(s.pairs, pair)
	s.mu.Unlock()
}

type chunk struct {
	dueAt int64
	data  []byte
	err   error
}

// copy forwards one direction in order, each chunk when it is due.
func (s *Stream) copy(pair *connPair, direction int, in, out net.Conn) {
	from, to := s.from, s.to
	if direction == 1 {
		from, to = to, from
	}
	chunks := make(chan chunk, maxQueuedChunks)
	var stalled atomic.Bool // data was read that the cut link cannot forward
	go func() {
		defer close(chunks)
		lastDue := int64(0)
		for {
			data := make([]byte, chunkSize)
			n, err := in.Read(data)
			now := s.proxies.now()
			fate := s.proxies.schedule.Load().FateOf(now, from, to, pair.chunkCounts[direction].Add(1), n)
			if fate.Lost && !s.proxies.schedule.Load().Open(now, from, to) {
				stalled.Store(true)
				return // the connection is reset when the link is restored
			}
			if fate.Lost {
				fate.Delay += retransmitDelay
			}
			dueAt := max(lastDue, now+fate.Delay)
			if fate.Rate > 0 {
				dueAt = max(lastDue, now) + fate.Delay + int64(float64(n)/fate.Rate*1e9)
			}
			lastDue = dueAt
			select {
			case chunks <- chunk{dueAt, data[:n], err}:
			case <-s.proxies.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if wait := c.dueAt - s.proxies.now(); wait > 0 {
			select {
			case <-time.After(time.Duration(wait)):
			case <-s.proxies.done:
				return
			}
		}
		if len(c.data) > 0 {
			if _, err := out.Write(c.data); err != nil {
				in.Close()
				return
			}
		}
		if c.err != nil {
			if tcp, ok := out.(*net.TCPConn); ok && errors.Is(c.err, io.EOF) {
				tcp.CloseWrite()
			} else {
				Reset(out)
			}
			return
		}
	}
	// Stalled by a cut: nothing more is read in this direction, and the other end sees nothing until the link is
	// restored.
	for stalled.Load() {
		if s.proxies.schedule.Load().Open(s.proxies.now(), from, to) || s.isClosed() {
			Reset(pair.client)
			Reset(pair.server)
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-s.proxies.done:
			return
		}
	}
}

func (s *Stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// applySchedule changes the state of the proxy to what the schedule requires now.
func (s *Stream) applySchedule(schedule *netfault.Schedule, now int64) {
	want := stateOpen
	for _, link := range [][2]netfault.End{{s.from, s.to}, {s.to, s.from}} {
		if !schedule.Open(now, link[0], link[1]) {
			want = max(want, stateCut)
			if schedule.FateOf(now, link[0], link[1], 0, 0).Refused {
				want = stateRefusing
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if want == s.state || s.closed {
		return
	}
	s.closeListener()
	s.state = want
	switch want {
	case stateOpen:
		_ = s.listen()
	case stateCut:
		s.listener, s.queueFillers, _ = ListenFullBacklog(s.address)
	case stateRefusing:
		for pair := range s.pairs {
			Reset(pair.client)
			Reset(pair.server)
		}
	}
}

// closeListener closes the listener and the connections that fill its backlog; s.mu must be held.
func (s *Stream) closeListener() {
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	for _, filler := range s.queueFillers {
		filler.Close()
	}
	s.queueFillers = nil
}

// Close closes the proxy and all connections through it.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.closeListener()
	for pair := range s.pairs {
		pair.client.Close()
		pair.server.Close()
	}
}

// Reset closes a connection with a TCP reset, as happens when a process dies.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// ListenFullBacklog returns a listener whose backlog is full, so that the kernel drops further connection attempts: the
// address appears unreachable. It also returns the connections that fill the backlog.
func ListenFullBacklog(address string) (net.Listener, []net.Conn, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, nil, err
	}
	socketAddress := &syscall.SockaddrInet4{Port: resolved.Port}
	copy(socketAddress.Addr[:], resolved.IP.To4())
	if err := syscall.Bind(fd, socketAddress); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", address, err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, nil, err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, nil, err
	}
	var fillers []net.Conn
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 5*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, c)
	}
	return l, fillers, nil
}
