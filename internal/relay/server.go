package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// ServerStats are counters since the start, but for Subscribers and PendingHellos, which are of now.
type ServerStats struct {
	Subscribers   int64 `json:"Subscribers"`
	PendingHellos int64 `json:"Waiting"` // connections without a hello
	Accepted      int64 `json:"Accepted"`
	Refused       int64 `json:"Refused"`   // connections over a limit, and hellos that the feed refused
	BadHellos     int64 `json:"BadHellos"` // connections that ended without a hello
	Slow          int64 `json:"Slow"`      // subscribers disconnected as they did not take a frame in time
	Ended         int64 `json:"Ended"`     // connections
	Frames        int64 `json:"Frames"`
	Bytes         int64 `json:"Bytes"`
	AcceptRetries int64 `json:"AcceptsTryAgain"`
}

type serverCounters struct {
	pendingHellos, attached, accepted, refused, badHellos, slow, ended, frames, bytes, acceptRetries atomic.Int64
}

// Server sends one feed to subscribers. The feed is the server's: whoever else uses it does so by Do. Each subscriber
// has a goroutine that writes and one that notices its end; the lock is never held while either waits for the
// network.
type Server struct {
	config   ServerConfig
	feed     Feed
	log      *zap.Logger
	warnings warnLimiter

	mu          sync.Mutex // of the feed and the fields below
	subscribers map[int]*subscriber
	connections map[net.Conn]bool
	closing     bool

	handlers sync.WaitGroup
	counters serverCounters
}

// subscriber is an attached connection.
type subscriber struct {
	id     int
	conn   net.Conn
	wakeup chan struct{} // a frame has become due
	ended  chan struct{} // closed when the connection has ended
}

// NewServer returns a server; nothing runs before Serve.
func NewServer(feed Feed, config ServerConfig, log *zap.Logger) *Server {
	return &Server{
		config:      config.withDefaults(),
		feed:        feed,
		log:         log,
		subscribers: map[int]*subscriber{},
		connections: map[net.Conn]bool{},
	}
}

// Do calls use under the feed's lock, with the time, and then wakes the subscribers for which frames have become due.
func (s *Server) Do(use func(now int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notifyReady()
	use(s.config.Clock())
}

// notifyReady wakes subscribers. The lock is held.
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

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for backoff := time.Duration(0); ; {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, most often: other connections may end
			s.counters.acceptRetries.Add(1)
			backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
			s.warnings.warn(s.log, "accept", "no connection taken", zap.Error(err))
			time.Sleep(backoff)
			continue
		}
		backoff = 0
		s.counters.accepted.Add(1)
		if !s.admit(conn) {
			s.counters.refused.Add(1)
			conn.Close()
		}
	}
}

// admit starts to handle a connection, or returns false if a limit is reached.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tooMany := len(s.connections) >= s.config.MaxConnections
	tooManyPending := s.counters.pendingHellos.Load() >= int64(s.config.MaxPendingHellos)
	if s.closing || tooMany || tooManyPending {
		return false
	}
	s.connections[conn] = true
	s.counters.pendingHellos.Add(1)
	s.handlers.Add(1)
	go s.handle(conn)
	return true
}

// Close ends all connections and waits until they are handled, or the context is done. The listener is the caller's.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for conn := range s.connections {
		conn.Close()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats returns the counters.
func (s *Server) Stats() ServerStats {
	n := &s.counters
	return ServerStats{
		Subscribers:   n.attached.Load(),
		PendingHellos: n.pendingHellos.Load(),
		Accepted:      n.accepted.Load(),
		Refused:       n.refused.Load(),
		BadHellos:     n.badHellos.Load(),
		Slow:          n.slow.Load(),
		Ended:         n.ended.Load(),
		Frames:        n.frames.Load(),
		Bytes:         n.bytes.Load(),
		AcceptRetries: n.acceptRetries.Load(),
	}
}
