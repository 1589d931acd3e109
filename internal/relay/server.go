package relay

// This file owns the server: it takes connections, hears one hello on each, and writes what the core has for it, one goroutine that
// writes and one that hears a subscriber's end. It must never hold the core while it reads or writes, nor wait for one subscriber
// with what is for another.

import (
	"cmp"
	"context"
	"errors"
	"fawnglade/internal/distribution"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// Feed is what a server hands out; *distribution.Relay is one. Times are nanoseconds of the server's clock.
type Feed interface {
	Attach(now int64, hello []byte, bytesPerSecond int) (id int, err error)
	Detach(id int)
	Next(now int64, id int) (frame []byte, at int64)
	Ready() []int
}

// ServerSettings bound a server. What is 0 takes the default.
type ServerSettings struct {
	Pace        int           // bytes a second and subscriber; 0: no bound
	Connections int           // at once, with those that have not said hello; 1,024
	Hellos      int           // of them without a hello; 512
	HelloSize   int           // bytes; distribution.MaxHello
	HelloWithin time.Duration // 3 s
	WriteWithin time.Duration // for one frame: a subscriber that takes longer is ended; 5 s
	Clock       func() int64
	Fresh       func() bool // under the feed's lock: it has all that it should, and is not behind; nil: always
}

const (
	usualConnections = 1024
	usualHellos      = 512
	usualHelloSize   = distribution.MaxHelloBytes
	usualHelloWithin = 3 * time.Second
	usualWriteWithin = 5 * time.Second
	longestIdle      = time.Second // a writer looks again so often, whatever the feed said
	sendBuffer       = 64 << 10    // what the system holds of a slow subscriber's
	userTimeout      = 10_000      // ms after which a peer that confirms nothing has gone
	tcpUserTimeout   = 0x12        // on Linux; package syscall lacks it
)

// ServerStats only ever grow, but for Subscribers and Waiting.
type ServerStats struct {
	Subscribers     int64 `json:"Subscribers"`
	Waiting         int64 `json:"Waiting"` // now: attached; without a hello
	Accepted        int64 `json:"Accepted"`
	Refused         int64 `json:"Refused"`
	BadHellos       int64 `json:"BadHellos"`
	Slow            int64 `json:"Slow"` // Refused: over a bound; Slow: ended as a frame was not taken in time
	Ended           int64 `json:"Ended"`
	Frames          int64 `json:"Frames"`
	Bytes           int64 `json:"Bytes"`
	AcceptsTryAgain int64 `json:"AcceptsTryAgain"`
}

// Server hands one feed out. The feed is the server's: whoever changes it does so by Do.
type Server struct {
	set  ServerSettings
	feed Feed
	log  *zap.Logger
	told rarely

	mu          sync.Mutex // the feed and the subscribers
	subscribers map[int]*subscription
	open        map[net.Conn]bool
	over        bool
	ending      sync.WaitGroup

	waiting, attached, accepted, refused, badHellos, slow, ended, frames, bytes, again atomic.Int64
}

type subscription struct {
	kick chan struct{}
}

// NewServer makes one; nothing runs before Serve.
func NewServer(feed Feed, set ServerSettings, log *zap.Logger) *Server {
	set.Connections = cmp.Or(set.Connections, usualConnections)
	set.Hellos = cmp.Or(set.Hellos, usualHellos)
	set.HelloSize = cmp.Or(set.HelloSize, usualHelloSize)
	set.HelloWithin = cmp.Or(set.HelloWithin, usualHelloWithin)
	set.WriteWithin = cmp.Or(set.WriteWithin, usualWriteWithin)
	if set.Clock == nil {
		set.Clock = NewClock()
	}
	return &Server{set: set, feed: feed, log: log, subscribers: map[int]*subscription{}, open: map[net.Conn]bool{}}
}

// NewClock is nanoseconds that no step of the system's time reaches.
func NewClock() func() int64 {
	start := time.Now()
	return func() int64 { return start.UnixNano() + int64(time.Since(start)) }
}

// Do has the feed changed or looked at, and wakes who then has something to get.
func (s *Server) Do(what func(now int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	what(s.set.Clock())
}

func (s *Server) wake() {
	for _, id := range s.feed.Ready() {
		if sub := s.subscribers[id]; sub != nil {
			select {
			case sub.kick <- struct{}{}:
			default:
			}
		}
	}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for wait := time.Duration(0); ; {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, most often: others may end
			s.again.Add(1)
			wait = min(max(2*wait, 5*time.Millisecond), time.Second)
			s.told.warn(s.log, "accept", "no connection taken", zap.Error(err))
			time.Sleep(wait)
			continue
		}
		wait = 0
		s.accepted.Add(1)
		if !s.admit(c) {
			s.refused.Add(1)
			c.Close()
		}
	}
}

// admit takes a connection in, or not where a bound is reached.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over || len(s.open) >= s.set.Connections || s.waiting.Load() >= int64(s.set.Hellos) {
		return false
	}
	s.open[c] = true
	s.waiting.Add(1)
	s.ending.Add(1)
	go s.hear(c)
	return true
}

// hear reads the hello, has the subscriber's frames written, and notices its end.
func (s *Server) hear(c net.Conn) {
	defer s.ending.Done()
	defer func() {
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
		c.Close()
		s.ended.Add(1)
	}()
	hello, err := s.hello(c)
	s.waiting.Add(-1)
	if err != nil {
		s.badHellos.Add(1)
		s.told.warn(s.log, "hello", "connection ended without a hello", zap.Stringer("from", c.RemoteAddr()), zap.Error(err))
		return
	}
	sub := &subscription{kick: make(chan struct{}, 1)}
	s.mu.Lock()
	id, err := s.feed.Attach(s.set.Clock(), hello, s.set.Pace)
	if err == nil {
		s.subscribers[id] = sub
		s.attached.Add(1)
		s.wake()
	}
	s.mu.Unlock()
	if err != nil {
		s.refused.Add(1)
		s.told.warn(s.log, "attach", "subscriber refused", zap.Stringer("from", c.RemoteAddr()), zap.Error(err))
		return
	}
	gone := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer c.Close() // ends the reading below
		if err := s.write(c, id, sub, gone); err != nil && errors.Is(err, errSlow) {
			s.slow.Add(1)
			s.told.warn(s.log, "slow", "subscriber ended: it did not take a frame in time", zap.Stringer("from", c.RemoteAddr()))
		}
	}()
	var one [1]byte
	if n, err := c.Read(one[:]); n > 0 || err == nil {
		s.told.warn(s.log, "talks", "subscriber ended: it spoke after its hello", zap.Stringer("from", c.RemoteAddr()))
	}
	close(gone)
	c.Close() // ends the writing above
	<-written
	s.mu.Lock()
	delete(s.subscribers, id)
	s.feed.Detach(id)
	s.attached.Add(-1)
	s.wake()
	s.mu.Unlock()
}

func (s *Server) hello(c net.Conn) ([]byte, error) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(sendBuffer)
		untilConfirmed(tcp)
	}
	c.SetDeadline(time.Now().Add(s.set.HelloWithin))
	if err := writeFrame(c, greeting(s.fresh())); err != nil {
		return nil, err
	}
	size, err := readHead(c, s.set.HelloSize)
	if err != nil {
		return nil, err
	}
	hello := make([]byte, 0, min(size, sendBuffer)) // grown as it comes: a length alone costs nothing
	for len(hello) < size {
		if len(hello) == cap(hello) {
			hello = append(hello, 0)[:len(hello)]
		}
		n, err := c.Read(hello[len(hello):min(cap(hello), size)])
		if hello = hello[:len(hello)+n]; err != nil {
			return nil, err
		}
	}
	return hello, c.SetDeadline(time.Time{})
}

func (s *Server) fresh() bool {
	if s.set.Fresh == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Fresh()
}

// untilConfirmed has the system end a connection whose peer has vanished: what a heartbeat leaves unconfirmed is noticed.
func untilConfirmed(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeout) })
	}
}

var errSlow = errors.New("not taken in time")

// write sends a subscriber what the feed has for it until it has gone.
func (s *Server) write(c net.Conn, id int, sub *subscription, gone chan struct{}) error {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		s.mu.Lock()
		now := s.set.Clock()
		frame, at := s.feed.Next(now, id)
		s.mu.Unlock()
		if frame != nil {
			c.SetWriteDeadline(time.Now().Add(s.set.WriteWithin))
			if err := writeFrame(c, frame); err != nil {
				if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
					return fmt.Errorf("%w: %w", errSlow, err)
				}
				return err
			}
			s.frames.Add(1)
			s.bytes.Add(int64(headSize + len(frame)))
			continue
		}
		wake.Reset(max(min(time.Duration(at-now), longestIdle), time.Millisecond))
		select {
		case <-wake.C:
		case <-sub.kick:
		case <-gone:
			return io.EOF
		}
	}
}

// Close ends all connections and waits for their ends, until the context is done. The listener is the caller's.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.over = true
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	all := make(chan struct{})
	go func() {
		s.ending.Wait()
		close(all)
	}()
	select {
	case <-all:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats are the server's counters.
func (s *Server) Stats() ServerStats {
	return ServerStats{
		Subscribers: s.attached.Load(), Waiting: s.waiting.Load(), Accepted: s.accepted.Load(), Refused: s.refused.Load(),
		BadHellos: s.badHellos.Load(), Slow: s.slow.Load(), Ended: s.ended.Load(), Frames: s.frames.Load(), Bytes: s.bytes.Load(),
		AcceptsTryAgain: s.again.Load(),
	}
}

// rarely keeps the log from growing with what others do: each kind of complaint is told once in a while, with how many there were.
type rarely struct {
	mu   sync.Mutex
	last map[string]time.Time
	left map[string]int
}

const tellEvery = 10 * time.Second

func (r *rarely) warn(log *zap.Logger, kind, what string, fields ...zap.Field) {
	r.mu.Lock()
	if r.last == nil {
		r.last, r.left = map[string]time.Time{}, map[string]int{}
	}
	if time.Since(r.last[kind]) < tellEvery {
		r.left[kind]++
		r.mu.Unlock()
		return
	}
	fields = append(fields, zap.Int("not told before", r.left[kind]))
	r.last[kind], r.left[kind] = time.Now(), 0
	r.mu.Unlock()
	log.Warn(what, fields...)
}
