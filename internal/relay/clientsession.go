package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// session is one connection of a client to an upstream.
type session struct {
	client              *Client
	conn                net.Conn
	firstChoice         bool  // conn is to the first upstream of the order
	lagToleratedUntilNs int64 // the upstream is not left for its lag before
	// failback is a connection to the first choice, once that has greeted; &failbackClosed: too late.
	failback atomic.Pointer[net.Conn]
}

// failbackClosed stands in session.failback once the session has ended.
var failbackClosed net.Conn

var frameBuffers = sync.Pool{New: func() any { return new([defaultMaxFrameBytes]byte) }}

// receiveFrames sends the hello and receives frames until the connection ends or the upstream is to be left, and
// returns the reason.
func (s *session) receiveFrames(ctx context.Context) error {
	c := s.client
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	began := c.config.Clock()
	failbackAt := s.nextFailback(began)
	s.conn.SetDeadline(time.Now().Add(c.config.SilenceTimeout))
	if err := writeFrame(s.conn, c.sink.Hello(began)); err != nil {
		return err
	}
	for {
		if err := s.receiveFrame(); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return errSilent
			}
			return err
		}
		now := c.config.Clock()
		c.lastFrameNs.Store(now)
		if !s.firstChoice && now > failbackAt {
			failbackAt = s.nextFailback(now)
			go s.dialFirstChoice(ctx)
		}
		if s.isLagging(began, now) {
			return errLagging
		}
	}
}

// nextFailback returns when to try the first choice next, with jitter.
func (s *session) nextFailback(now int64) int64 {
	delay := int64(s.client.config.FailbackDelay)
	return now + delay + s.client.rng.Int64N(delay)
}

// isLagging reports whether to leave the upstream for another as it is behind.
func (s *session) isLagging(began, now int64) bool {
	c := s.client
	maxLag := int64(c.config.MaxLag)
	return len(c.upstreams) > 1 && now-began > maxLag && now > s.lagToleratedUntilNs && c.sink.LagNs(now) > maxLag
}

func (s *session) receiveFrame() error {
	c := s.client
	s.conn.SetReadDeadline(time.Now().Add(c.config.SilenceTimeout))
	if s.failback.Load() != nil { // after the deadline is set: dialFirstChoice moves it after it has set failback
		return errFailback
	}
	size, err := readLength(s.conn, c.config.MaxFrameBytes)
	if err != nil {
		return err
	}
	s.conn.SetReadDeadline(time.Now().Add(c.config.FrameTimeout))
	var frame []byte
	if size <= defaultMaxFrameBytes {
		buffer := frameBuffers.Get().(*[defaultMaxFrameBytes]byte)
		defer frameBuffers.Put(buffer)
		frame = buffer[:size]
	} else {
		frame = make([]byte, size)
	}
	if _, err := io.ReadFull(s.conn, frame); err != nil {
		return err
	}
	c.counters.frames.Add(1)
	c.counters.bytes.Add(int64(lengthBytes + size))
	if err := c.sink.Receive(c.config.Clock(), frame); err != nil {
		return fmt.Errorf("%w: %w", errInvalidFrame, err)
	}
	return nil
}

// dialFirstChoice connects to the first choice beside this session, and ends the session once the other has greeted.
func (s *session) dialFirstChoice(ctx context.Context) {
	conn, fresh, err := s.client.connect(ctx, s.client.upstreams[0])
	if err != nil {
		return
	}
	if !fresh || !s.failback.CompareAndSwap(nil, &conn) {
		conn.Close()
		return
	}
	s.conn.SetReadDeadline(time.Unix(1, 0))
}
