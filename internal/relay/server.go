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
type ServerConfig struct {
	BytesPerSecond   int           // bytes a second and subscriber; 0: no bound
	MaxConnections   int           // at once, with those that have not said hello; 1,024
	MaxPendingHellos int           // of them without a hello; 512
	MaxHelloBytes    int           // bytes; distribution.MaxHello
	HelloTimeout     time.Duration // 3 s
	WriteTimeout     time.Duration // for one frame: a subscriber that takes longer is ended; 5 s
	Clock            func() int64
	Fresh            func() bool // under the feed's lock: it has all that it should, and is not behind; nil: always
}

const (
	defaultMaxConnections   = 1024
	defaultMaxPendingHellos = 512
	defaultMaxHelloBytes    = distribution.MaxHelloBytes
	defaultHelloTimeout     = 3 * time.Second
	defaultWriteTimeout     = 5 * time.Second
	maxIdle                 = time.Second // a writer looks again so often, whatever the feed said
	sendBufferBytes         = 64 << 10    // what the system holds of a slow subscriber's
	userTimeoutMs           = 10_000      // ms after which a peer that confirms nothing has gone
	tcpUserTimeout          = 0x12        // on Linux; package syscall lacks it
)

// ServerStats only ever grow, but for Subscribers and Waiting.
type ServerStats struct {
	Subscribers   int64 `json:"Subscribers"`
	PendingHellos int64 `json:"Waiting"` // now: attached; without a hello
	Accepted      int64 `json:"Accepted"`
	Refused       int64 `json:"Refused"`
	BadHellos     int64 `json:"BadHellos"`
	Slow          int64 `json:"Slow"` // Refused: over a bound; Slow: ended as a frame was not taken in time
	Ended         int64 `json:"Ended"`
	Frames        int64 `json:"Frames"`
	Bytes         int64 `json:"Bytes"`
	AcceptRetries int64 `json:"AcceptsTryAgain"`
}

// Server hands one feed out. The feed is the server's: whoever changes it does so by Do.
type Server struct {
	config   ServerConfig
	feed     Feed
	log      *zap.Logger
	warnings warnLimiter

	mu          sync.Mutex // the feed and the subscribers
	subscribers map[int]*subscriber
	connections map[net.Conn]bool
	closing     bool
	handlers    sync.WaitGroup

	pendingHellos, attached, accepted, refused, badHellos, slow, ended, frames, bytes, acceptRetries atomic.Int64
}

type subscriber struct {
	wakeup chan struct{}
}

// NewServer makes one; nothing runs before Serve.
func NewServer(feed Feed, set ServerConfig, log *zap.Logger) *Server {
	set.MaxConnections = cmp.Or(set.MaxConnections, defaultMaxConnections)
	set.MaxPendingHellos = cmp.Or(set.MaxPendingHellos, defaultMaxPendingHellos)
	set.MaxHelloBytes = cmp.Or(set.MaxHelloBytes, defaultMaxHelloBytes)
	set.HelloTimeout = cmp.Or(set.HelloTimeout, defaultHelloTimeout)
	set.WriteTimeout = cmp.Or(set.WriteTimeout, defaultWriteTimeout)
	if set.Clock == nil {
		set.Clock = NewClock()
	}
	return &Server{config: set, feed: feed, log: log, subscribers: map[int]*subscriber{}, connections: map[net.Conn]bool{}}
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
	defer s.notifyReady()
	what(s.config.Clock())
}

func (s *Server) notifyReady() {
	for _, id := range s.feed.Ready() {
		if sub := s.subscribers[id]; sub != nil {
			select {
			case sub.wakeup <- struct{}{}:
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
			s.acceptRetries.Add(1)
			wait = min(max(2*wait, 5*time.Millisecond), time.Second)
			s.warnings.warn(s.log, "accept", "no connection taken", zap.Error(err))
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
	if s.closing || len(s.connections) >= s.config.MaxConnections || s.pendingHellos.Load() >= int64(s.config.MaxPendingHellos) {
		return false
	}
	s.connections[c] = true
	s.pendingHellos.Add(1)
	s.handlers.Add(1)
	go s.handle(c)
	return true
}

// hear reads the hello, has the subscriber's frames written, and notices its end.
func (s *Server) handle(c net.Conn) {
	defer s.handlers.Done()
	defer func() {
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
		c.Close()
		s.ended.Add(1)
	}()
	hello, err := s.readHello(c)
	s.pendingHellos.Add(-1)
	if err != nil {
		s.badHellos.Add(1)
		s.warnings.warn(s.log, "hello", "connection ended without a hello", zap.Stringer("from", c.RemoteAddr()), zap.Error(err))
		return
	}
	sub := &subscriber{wakeup: make(chan struct{}, 1)}
	s.mu.Lock()
	id, err := s.feed.Attach(s.config.Clock(), hello, s.config.BytesPerSecond)
	if err == nil {
		s.subscribers[id] = sub
		s.attached.Add(1)
		s.notifyReady()
	}
	s.mu.Unlock()
	if err != nil {
		s.refused.Add(1)
		s.warnings.warn(s.log, "attach", "subscriber refused", zap.Stringer("from", c.RemoteAddr()), zap.Error(err))
		return
	}
	gone := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer c.Close() // ends the reading below
		if err := s.writeFrames(c, id, sub, gone); err != nil && errors.Is(err, errSlowSubscriber) {
			s.slow.Add(1)
			s.warnings.warn(s.log, "slow", "subscriber ended: it did not take a frame in time", zap.Stringer("from", c.RemoteAddr()))
		}
	}()
	var one [1]byte
	if n, err := c.Read(one[:]); n > 0 || err == nil {
		s.warnings.warn(s.log, "talks", "subscriber ended: it spoke after its hello", zap.Stringer("from", c.RemoteAddr()))
	}
	close(gone)
	c.Close() // ends the writing above
	<-written
	s.mu.Lock()
	delete(s.subscribers, id)
	s.feed.Detach(id)
	s.attached.Add(-1)
	s.notifyReady()
	s.mu.Unlock()
}

func (s *Server) readHello(c net.Conn) ([]byte, error) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(sendBufferBytes)
		setUserTimeout(tcp)
	}
	c.SetDeadline(time.Now().Add(s.config.HelloTimeout))
	if err := writeFrame(c, greeting(s.fresh())); err != nil {
		return nil, err
	}
	size, err := readLength(c, s.config.MaxHelloBytes)
	if err != nil {
		return nil, err
	}
	hello := make([]byte, 0, min(size, sendBufferBytes)) // grown as it comes: a length alone costs nothing
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
	if s.config.Fresh == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Fresh()
}

// untilConfirmed has the system end a connection whose peer has vanished: what a heartbeat leaves unconfirmed is noticed.
func setUserTimeout(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMs) })
	}
}

var errSlowSubscriber = errors.New("not taken in time")

// write sends a subscriber what the feed has for it until it has gone.
func (s *Server) writeFrames(c net.Conn, id int, sub *subscriber, gone chan struct{}) error {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		s.mu.Lock()
		now := s.config.Clock()
		frame, at := s.feed.Next(now, id)
		s.mu.Unlock()
		if frame != nil {
			c.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
			if err := writeFrame(c, frame); err != nil {
				if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
					return fmt.Errorf("%w: %w", errSlowSubscriber, err)
				}
				return err
			}
			s.frames.Add(1)
			s.bytes.Add(int64(lengthBytes + len(frame)))
			continue
		}
		wake.Reset(max(min(time.Duration(at-now), maxIdle), time.Millisecond))
		select {
		case <-wake.C:
		case <-sub.wakeup:
		case <-gone:
			return io.EOF
		}
	}
}

// Close ends all connections and waits for their ends, until the context is done. The listener is the caller's.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for c := range s.connections {
		c.Close()
	}
	s.mu.Unlock()
	all := make(chan struct{})
	go func() {
		s.handlers.Wait()
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
		Subscribers: s.attached.Load(), PendingHellos: s.pendingHellos.Load(), Accepted: s.accepted.Load(), Refused: s.refused.Load(),
		BadHellos: s.badHellos.Load(), Slow: s.slow.Load(), Ended: s.ended.Load(), Frames: s.frames.Load(), Bytes: s.bytes.Load(),
		AcceptRetries: s.acceptRetries.Load(),
	}
}

// rarely keeps the log from growing with what others do: each kind of complaint is told once in a while, with how many there were.
type warnLimiter struct {
	mu         sync.Mutex
	last       map[string]time.Time
	suppressed map[string]int
}

const warnInterval = 10 * time.Second

func (r *warnLimiter) warn(log *zap.Logger, kind, what string, fields ...zap.Field) {
	r.mu.Lock()
	if r.last == nil {
		r.last, r.suppressed = map[string]time.Time{}, map[string]int{}
	}
	if time.Since(r.last[kind]) < warnInterval {
		r.suppressed[kind]++
		r.mu.Unlock()
		return
	}
	fields = append(fields, zap.Int("not told before", r.suppressed[kind]))
	r.last[kind], r.suppressed[kind] = time.Now(), 0
	r.mu.Unlock()
	log.Warn(what, fields...)
}
