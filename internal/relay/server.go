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

// ServerStats are counters since the start, except for Subscribers and PendingHellos, which are current values.
type ServerStats struct {
	Subscribers   int64 `json:"Subscribers"`
	PendingHellos int64 `json:"Waiting"` // connections that have not sent a hello yet
	Accepted      int64 `json:"Accepted"`
	Refused       int64 `json:"Refused"`   // connections over a limit, and hellos that the feed rejected
	BadHellos     int64 `json:"BadHellos"` // connections that ended before a complete hello
	Slow          int64 `json:"Slow"`      // subscribers disconnected because a write timed out
	Ended         int64 `json:"Ended"`     // connections that ended
	Frames        int64 `json:"Frames"`
	Bytes         int64 `json:"Bytes"`
	AcceptRetries int64 `json:"AcceptsTryAgain"` // failed calls of Accept
}

type serverCounters struct {
	pendingHellos, attached, accepted, refused, badHellos, slow, ended, frames, bytes, acceptRetries atomic.Int64
}

// Server sends one feed to subscribers. The server guards the feed with its lock; other users must access the feed
// through Do. Each subscriber has one goroutine that writes and one that waits for the end of the connection; the lock
// is never held while either waits for the network.
type Server struct {
	config   ServerConfig
	feed     Feed
	log      *zap.Logger
	warnings warnLimiter

	mu          sync.Mutex // guards feed and the fields below
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

// NewServer returns a server. It does nothing until Serve is called.
func NewServer(feed Feed, config ServerConfig, log *zap.Logger) *Server {
	return &Server{
		config:      config.withDefaults(),
		feed:        feed,
		log:         log,
		subscribers: map[int]*subscriber{},
		connections: map[net.Conn]bool{},
	}
}

// Do calls use with the current time while it holds the lock of the feed, and then wakes the subscribers for which
// frames have become due.
func (s *Server) Do(use func(now int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notifyReady()
	use(s.config.Clock())
}

// notifyReady wakes the subscribers for which frames have become due. The caller holds the lock.
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
		if err != nil { // usually out of file descriptors, which other connections may free
			s.counters.acceptRetries.Add(1)
			backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
			s.warnings.warn(s.log, "accept", "accepting a connection failed; retrying", zap.Error(err))
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

// admit starts handling a connection, or returns false if a limit is reached or the server is closing.
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

// Close closes all connections and waits until their handlers return or the context is done. The caller must close the
// listener itself.
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
