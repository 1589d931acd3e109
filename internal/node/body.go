package node

// This file owns bodies that are too long to hold: how they flow from a client to a server and from a server to a client, each
// through one fixed buffer, and what counts as progress meanwhile. It must never hold more of a body than it says, nor pass on
// a failure as an end.

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBodyBytes        = 40 << 20              // of any body
	maxBufferedBody     = 1 << 20               // of a request's body that is held, while there is memory for it
	minBufferedBody     = 64 << 10              // and that is held whatever else the node holds
	maxBufferedResponse = 64 << 10              // an answer no longer than this is passed on only when it is whole
	responseHoldBack    = 20 * time.Millisecond // that long at most where its head does not tell how long it is
	streamBufferBytes   = 32 << 10              // of a body that flows
	bodyGrace           = 2500 * time.Millisecond
	bodyStall           = time.Second     // of silence, after the grace
	minBodyRate         = 8 << 10         // bytes that a peer brings for each second it is waited for, after the grace
	writeStall          = 5 * time.Second // for as much as a buffer holds
)

// readPacer is how a peer that brings a body gets on. What counts is the time that the node has waited for it, as it may itself
// be held up by the other side.
type readPacer struct {
	start     time.Time
	grace     time.Duration
	stall     time.Duration
	minRate   int64 // bytes for each second after the grace
	waited    time.Duration
	received  int64
	readBegan time.Time
	abandoned *atomic.Bool // of a body that may be given up while it is read
}

// begin sets by when the next byte has to come.
func (p *readPacer) begin(c net.Conn) error {
	p.readBegan = time.Now()
	if over := p.waited - p.grace; over > 0 && p.received < int64(over.Seconds()*float64(p.minRate)) {
		return os.ErrDeadlineExceeded
	}
	until := p.readBegan.Add(p.stall)
	if first := p.start.Add(p.grace); first.After(until) {
		until = first
	}
	err := c.SetReadDeadline(until)
	if p.abandoned != nil && p.abandoned.Load() {
		return errBodyAbandoned // its end was set just before, and has been put off by this
	}
	return err
}

func (p *readPacer) end(n int) {
	p.waited += time.Since(p.readBegan)
	p.received += int64(n)
}

// bodySource is a request's body that is still coming from its client. Whoever carries the request reads it; the client's own reader
// waits until that has ended.
type bodySource struct {
	conn    *bufferedConn
	message *message
	length  int64 // of all of the body; -1 if only its end will tell

	ended     chan struct{}
	complete  atomic.Bool // all of it has been read
	abandoned atomic.Bool // nobody is to read on
	consumed  atomic.Bool // somebody has begun to, so that it can't be sent again
	mu        sync.Mutex  // held while somebody reads
	once      sync.Once
	failed    error // why it ended before it was whole; of the reader, then of whoever knows that it has ended
}

func newBodySource(c *bufferedConn, m *message) *bodySource {
	s := &bodySource{conn: c, message: m, length: m.length, ended: make(chan struct{})}
	if c.pacer != nil {
		c.pacer.abandoned = &s.abandoned
	}
	return s
}

var errBodyAbandoned = errors.New("the body is not wanted any more")

func (s *bodySource) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned.Load() {
		return 0, errBodyAbandoned
	}
	n, err := s.message.Read(p)
	if err != nil && s.abandoned.Load() {
		err = errBodyAbandoned
	}
	if err == io.EOF {
		s.complete.Store(true)
	}
	if err != nil {
		s.finish(err)
	}
	return n, err
}

// abandon has nobody read on, and returns once nobody does.
func (s *bodySource) abandon() {
	select {
	case <-s.ended:
		return // the client's reader has gone on to its next request
	default:
	}
	s.abandoned.Store(true)
	s.conn.SetReadDeadline(time.Unix(1, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(errBodyAbandoned)
}

// failure tells why the body ended before it was whole; nil if it has not ended, or is whole.
func (s *bodySource) failure() error {
	select {
	case <-s.ended:
		return s.failed
	default:
		return nil
	}
}

func (s *bodySource) finish(err error) {
	s.once.Do(func() {
		if err != io.EOF {
			s.failed = err
		}
		close(s.ended)
	})
}

// upload is the sending of a request's body that still comes, beside the wait for the server's answer.
type upload struct {
	done        chan struct{}
	complete    atomic.Bool
	completedAt time.Time // when it was whole
	err         error     // the server's side; the client's is in the source
}

var errEarlyResponse = errors.New("an answer came before the task's last byte was written")

// startUpload writes what follows the head. Once all is written the server has as long to answer as it was given.
func startUpload(c *upstreamConn, h *attempt, wait time.Duration) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		if u.err = u.run(c, h); u.err != nil {
			c.SetReadDeadline(time.Unix(1, 0)) // there will be no answer
			return
		}
		u.completedAt = time.Now()
		u.complete.Store(true)
		h.setDeadline(c.SetReadDeadline, u.completedAt.Add(wait))
	}()
	return u
}

func (u *upload) run(c *upstreamConn, h *attempt) error {
	x := h.request
	s := x.source
	frame := func(p []byte) error { return writePaced(c, h, p) }
	if s.length < 0 {
		frame = func(p []byte) error {
			return writePaced(c, h, []byte(strconv.FormatInt(int64(len(p)), 16)+"\r\n"), p, []byte("\r\n"))
		}
	}
	if len(x.body) > 0 {
		if err := frame(x.body); err != nil {
			return err
		}
	}
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	total := int64(len(x.body))
	for {
		n, err := s.Read(buffer[:])
		if total += int64(n); total > maxBodyBytes {
			s.finish(errBodyTooLong)
			return errBodyTooLong
		}
		if n > 0 {
			if err := frame(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF || err == nil && total == s.length {
			break
		}
		if err != nil {
			return err
		}
	}
	if s.length < 0 {
		if err := writePaced(c, h, []byte("0\r\n\r\n")); err != nil {
			return err
		}
	}
	s.complete.Store(true)
	s.finish(io.EOF)
	return nil
}

// stop ends the upload and tells whether it had been whole.
func (u *upload) stop(c *upstreamConn, x *pendingRequest) bool {
	if !u.complete.Load() {
		c.SetWriteDeadline(time.Unix(1, 0))
		x.source.abandon()
	}
	<-u.done // or its last deadline would be set on a connection that somebody else has by then
	return u.complete.Load()
}

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// writePaced writes so that the peer has time for each buffer's worth of it, unless the attempt for which it writes, if it is
// for one, has been stopped.
func writePaced(c net.Conn, h *attempt, parts ...[]byte) error {
	until := c.SetWriteDeadline
	if h != nil {
		until = func(end time.Time) error { return h.setDeadline(c.SetWriteDeadline, end) }
	}
	for _, part := range parts {
		for len(part) > 0 {
			n := min(len(part), streamBufferBytes)
			if err := until(time.Now().Add(writeStall)); err != nil {
				return err
			}
			if _, err := c.Write(part[:n]); err != nil {
				return err
			}
			part = part[n:]
		}
	}
	return nil
}

// responseStream is the rest of an answer that is still coming from its server. The client's writer reads it.
type responseStream struct {
	message *message
	length  int64 // of all of the body; -1 if only its end will tell
	once    sync.Once
	done    chan bool // whether it came whole
}

func newResponseStream(m *message) *responseStream {
	m.conn.pacer = &readPacer{start: time.Now(), stall: writeStall}
	return &responseStream{message: m, length: m.length, done: make(chan bool, 1)}
}

// finish lets the connection to the server go; it is used again only if the answer came whole.
func (f *responseStream) finish(whole bool) { f.once.Do(func() { f.done <- whole }) }

// discard ends what will not be passed on.
func (a *response) discard() {
	if a.stream != nil {
		a.stream.finish(false)
	}
}

// streamResponse writes an answer's head and first part, and then passes on the rest as it comes. It tells whether the client
// got all; where it did not the connection must be closed, so that the client can tell.
func (c *clientConn) streamResponse(a *response, head []byte, chunks bool) (whole bool) {
	defer func() { a.stream.finish(whole) }()
	frame := func(p []byte) error { return writePaced(c.conn, nil, p) }
	if chunks {
		frame = func(p []byte) error {
			return writePaced(c.conn, nil, fmt.Appendf(nil, "%x\r\n", len(p)), p, []byte("\r\n"))
		}
	}
	if writePaced(c.conn, nil, head) != nil || len(a.body) > 0 && frame(a.body) != nil {
		return false
	}
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for total := int64(len(a.body)); total != a.stream.length; {
		n, err := a.stream.message.Read(buffer[:])
		total += int64(n)
		if total > maxBodyBytes || n > 0 && frame(buffer[:n]) != nil {
			return false
		}
		if err == io.EOF && (a.stream.length < 0 || total == a.stream.length) {
			break // the last bytes may bring the end with them
		}
		if err != nil {
			c.frontend.node.counters.add(responsesTruncated)
			return false
		}
	}
	return !chunks || writePaced(c.conn, nil, []byte("0\r\n\r\n")) == nil
}

func allowsBody(method string) bool { return method != http.MethodHead }
