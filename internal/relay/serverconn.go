package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	maxWriterWait   = time.Second // a writer asks the feed again so often, whatever the feed said
	minWriterWait   = time.Millisecond
	sendBufferBytes = 64 << 10 // of frames that the system holds for a slow subscriber
	userTimeoutMs   = 10_000   // after which a peer that confirms nothing is taken for gone
	tcpUserTimeout  = 0x12     // on Linux; package syscall lacks it
)

var errSlowSubscriber = errors.New("not taken in time")

// handle reads a connection's hello, attaches the subscriber and sends it frames until the connection ends.
func (s *Server) handle(conn net.Conn) {
	defer s.handlers.Done()
	defer s.removeConnection(conn)
	hello, err := s.handshake(conn)
	s.counters.pendingHellos.Add(-1)
	if err != nil {
		s.counters.badHellos.Add(1)
		s.warnConn("hello", "connection ended without a hello", conn, zap.Error(err))
		return
	}
	sub, err := s.attach(conn, hello)
	if err != nil {
		s.counters.refused.Add(1)
		s.warnConn("attach", "subscriber refused", conn, zap.Error(err))
		return
	}
	defer s.detach(sub)
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer conn.Close() // ends the read below
		if err := s.writeFrames(sub); errors.Is(err, errSlowSubscriber) {
			s.counters.slow.Add(1)
			s.warnConn("slow", "subscriber ended: it did not take a frame in time", conn)
		}
	}()
	s.awaitEnd(conn)
	close(sub.ended)
	conn.Close() // ends the write above
	<-written
}

func (s *Server) warnConn(kind, message string, conn net.Conn, fields ...zap.Field) {
	s.warnings.warn(s.log, kind, message, append([]zap.Field{zap.Stringer("from", conn.RemoteAddr())}, fields...)...)
}

func (s *Server) removeConnection(conn net.Conn) {
	s.mu.Lock()
	delete(s.connections, conn)
	s.mu.Unlock()
	conn.Close()
	s.counters.ended.Add(1)
}

// greet sends the greeting and reads the hello.
func (s *Server) handshake(conn net.Conn) ([]byte, error) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		setTCPOptions(tcp)
	}
	conn.SetDeadline(time.Now().Add(s.config.HelloTimeout))
	if err := writeFrame(conn, greeting(s.fresh())); err != nil {
		return nil, err
	}
	hello, err := readHello(conn, s.config.MaxHelloBytes)
	if err != nil {
		return nil, err
	}
	return hello, conn.SetDeadline(time.Time{})
}

func (s *Server) fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Fresh()
}

// readHello reads a hello into a buffer that grows as the hello comes: a length alone costs no memory.
func readHello(conn net.Conn, maxBytes int) ([]byte, error) {
	size, err := readLength(conn, maxBytes)
	if err != nil {
		return nil, err
	}
	hello := make([]byte, 0, min(size, sendBufferBytes))
	for len(hello) < size {
		if len(hello) == cap(hello) {
			hello = append(hello, 0)[:len(hello)]
		}
		n, err := conn.Read(hello[len(hello):min(cap(hello), size)])
		hello = hello[:len(hello)+n]
		if err != nil {
			return nil, err
		}
	}
	return hello, nil
}

// setTCPOptions bounds what the system holds for a slow subscriber, and has it end a connection whose peer has
// vanished: a heartbeat that is not confirmed is noticed. A connection works without the options too, so that errors
// are ignored.
func setTCPOptions(conn *net.TCPConn) {
	_ = conn.SetWriteBuffer(sendBufferBytes)
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMs)
	})
}

func (s *Server) attach(conn net.Conn, hello []byte) (*subscriber, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, err := s.feed.Attach(s.config.Clock(), hello, s.config.BytesPerSecond)
	if err != nil {
		return nil, err
	}
	sub := &subscriber{id: id, conn: conn, wakeup: make(chan struct{}, 1), ended: make(chan struct{})}
	s.subscribers[id] = sub
	s.counters.attached.Add(1)
	s.notifyReady()
	return sub, nil
}

func (s *Server) detach(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, sub.id)
	s.feed.Detach(sub.id)
	s.counters.attached.Add(-1)
	s.notifyReady()
}

// awaitEnd reads until the connection ends. A subscriber sends nothing after its hello.
func (s *Server) awaitEnd(conn net.Conn) {
	var one [1]byte
	if n, err := conn.Read(one[:]); n > 0 || err == nil {
		s.warnConn("talks", "subscriber ended: it spoke after its hello", conn)
	}
}

// writeFrames writes what the feed has for a subscriber until its connection ends. An error wraps errSlowSubscriber
// if a frame was not taken in time.
func (s *Server) writeFrames(sub *subscriber) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := s.config.Clock()
		frame, at := s.feed.Next(now, sub.id)
		s.mu.Unlock()
		if frame != nil {
			if err := s.sendFrame(sub.conn, frame); err != nil {
				return err
			}
			continue
		}
		timer.Reset(max(min(time.Duration(at-now), maxWriterWait), minWriterWait))
		select {
		case <-timer.C:
		case <-sub.wakeup:
		case <-sub.ended:
			return io.EOF
		}
	}
}

func (s *Server) sendFrame(conn net.Conn, frame []byte) error {
	conn.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
	if err := writeFrame(conn, frame); err != nil {
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			return fmt.Errorf("%w: %w", errSlowSubscriber, err)
		}
		return err
	}
	s.counters.frames.Add(1)
	s.counters.bytes.Add(int64(lengthBytes + len(frame)))
	return nil
}
