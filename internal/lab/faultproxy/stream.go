package faultproxy

// Stream relays: TCP connections from one participant to another. While a link is cut, open connections stay open and
// silent and new ones are not accepted; what was held back is reset once the link is restored. Lost data arrives late, as
// both systems retransmit. Bytes are never changed or reordered.

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
	retransmitDelay = int64(200 * time.Millisecond) // after a loss
	chunkSize       = 16 << 10
	maxQueuedChunks = 64 // on their way in one direction of a connection
	dialTimeout     = time.Second
)

// Stream is one relay: connections from one end to another.
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

// joint is one connection through a relay.
type connPair struct {
	client, server net.Conn
	chunkCounts    [2]atomic.Uint64
}

// NewStream opens a relay at an address with port 0, or a port of its own. target is asked with each connection.
func NewStream(board *Proxies, address string, from, to netfault.End, target func() string) (*Stream, error) {
	s := &Stream{proxies: board, from: from, to: to, address: address, target: target, pairs: map[*connPair]struct{}{}}
	if err := s.listen(); err != nil {
		return nil, err
	}
	board.add(s)
	return s, nil
}

// Address is where the relay takes connections.
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

// join opens the way on, and carries both directions until either end is gone.
func (s *Stream) connect(here net.Conn) {
	there, err := net.DialTimeout("tcp", s.target(), dialTimeout)
	if err != nil {
		Reset(here)
		return
	}
	j := &connPair{client: here, server: there}
	s.mu.Lock()
	if s.closed || s.state != stateOpen {
		s.mu.Unlock()
		Reset(here)
		Reset(there)
		return
	}
	s.pairs[j] = struct{}{}
	s.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); s.copy(j, 0, here, there) }()
	go func() { defer both.Done(); s.copy(j, 1, there, here) }()
	both.Wait()
	here.Close()
	there.Close()
	s.mu.Lock()
	delete(s.pairs, j)
	s.mu.Unlock()
}

type chunk struct {
	dueAt int64
	data  []byte
	err   error
}

// carry brings one direction over, each piece when it is due and in order.
func (s *Stream) copy(j *connPair, direction int, in, out net.Conn) {
	from, to := s.from, s.to
	if direction == 1 {
		from, to = to, from
	}
	way := make(chan chunk, maxQueuedChunks)
	var held atomic.Bool // what came can't go on
	go func() {
		defer close(way)
		last := int64(0)
		for {
			data := make([]byte, chunkSize)
			n, err := in.Read(data)
			now := s.proxies.now()
			v := s.proxies.schedule.Load().FateOf(now, from, to, j.chunkCounts[direction].Add(1), n)
			if v.Lost && !s.proxies.schedule.Load().Open(now, from, to) {
				held.Store(true)
				return // it is reset when the way is mended
			}
			if v.Lost {
				v.Delay += retransmitDelay
			}
			at := max(last, now+v.Delay)
			if v.Rate > 0 {
				at = max(last, now) + v.Delay + int64(float64(n)/v.Rate*1e9)
			}
			last = at
			select {
			case way <- chunk{at, data[:n], err}:
			case <-s.proxies.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range way {
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
			if t, ok := out.(*net.TCPConn); ok && errors.Is(c.err, io.EOF) {
				t.CloseWrite()
			} else {
				Reset(out)
			}
			return
		}
	}
	// Held up: nothing more comes this way, and the other end sees nothing until the way is mended.
	for held.Load() {
		if s.proxies.schedule.Load().Open(s.proxies.now(), from, to) || s.isClosed() {
			Reset(j.client)
			Reset(j.server)
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

// follow notices what the schedule says of this way now.
func (s *Stream) applySchedule(schedule *netfault.Schedule, now int64) {
	want := stateOpen
	for _, way := range [][2]netfault.End{{s.from, s.to}, {s.to, s.from}} {
		if !schedule.Open(now, way[0], way[1]) {
			want = max(want, stateCut)
			if schedule.FateOf(now, way[0], way[1], 0, 0).Refused {
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
		for j := range s.pairs {
			Reset(j.client)
			Reset(j.server)
		}
	}
}

// shut closes the door; the lock is held.
func (s *Stream) closeListener() {
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	for _, p := range s.queueFillers {
		p.Close()
	}
	s.queueFillers = nil
}

// Close ends the relay and all that goes through it.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.closeListener()
	for j := range s.pairs {
		j.client.Close()
		j.server.Close()
	}
}

// Reset ends a connection at once, as a process that dies does.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// ListenFullBacklog listens with a queue that is full, so that the system drops whoever knocks: an address that nobody gets through to.
func ListenFullBacklog(address string) (net.Listener, []net.Conn, error) {
	a, err := net.ResolveTCPAddr("tcp4", address)
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
	to := &syscall.SockaddrInet4{Port: a.Port}
	copy(to.Addr[:], a.IP.To4())
	if err := syscall.Bind(fd, to); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", address, err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, nil, err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, nil, err
	}
	var plugs []net.Conn
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 5*time.Millisecond)
		if err != nil {
			break
		}
		plugs = append(plugs, c)
	}
	return l, plugs, nil
}
