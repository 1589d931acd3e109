package node

// Streaming of bodies that are too long to be buffered: request bodies from a client to an upstream, and response
// bodies from an upstream to a client. Each stream uses one buffer of a fixed size.

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamBufferBytes      = 32 << 10 // copy buffer of one stream
	smallStreamBufferBytes = 4 << 10  // the same if there is no memory for that
	maxBufferedBody        = 1 << 20  // of a request body, if there is memory for it
	minBufferedBody        = 64 << 10 // of a request body that is longer, if there is memory for it
)

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// streamBuffer returns the copy buffer of a stream, and a function that releases it.
func streamBuffer(memory *memoryBudget) (buffer []byte, release func()) {
	if !memory.reserve(streamBufferBytes) {
		memory.force(smallStreamBufferBytes)
		return make([]byte, smallStreamBufferBytes), func() { memory.release(smallStreamBufferBytes) }
	}
	pooled := streamBuffers.Get().(*[streamBufferBytes]byte)
	return pooled[:], func() {
		streamBuffers.Put(pooled)
		memory.release(streamBufferBytes)
	}
}

// errBodyNotNeeded is returned by reads of a body that is no longer needed. It is not the client's fault.
var errBodyNotNeeded = errors.New("request body is no longer needed")

// bodySource is the rest of a request's body that is still arriving from the client. Only one attempt's upload reads
// it. The client connection's read loop does not use the connection until ended is closed.
type bodySource struct {
	conn     *bufferedConn
	arrivals *inputArrivals
	message  *message
	length   int64 // of the complete body in bytes, or unknownLength
	end      int64 // offset in the connection's input behind the body, or unknownLength; changed by finishComplete only

	completedAt time.Time // when the last byte arrived; set by finishComplete, zero before

	ended     chan struct{} // closed by finish
	complete  atomic.Bool   // the complete body has been read
	abandoned atomic.Bool   // the rest of the body is not needed
	consumed  atomic.Bool   // an attempt has started to read it, so the request can't be retried
	mu        sync.Mutex    // held during a read
	once      sync.Once
	err       error // why the body is incomplete; written before ended is closed, read after that
}

// newBodySource returns the source of the rest of a body, of which bodyRead bytes have been read.
func newBodySource(arrivals *inputArrivals, m *message, bodyRead int) *bodySource {
	conn := arrivals.conn
	s := &bodySource{
		conn: conn, arrivals: arrivals, message: m, length: m.length, end: unknownLength, ended: make(chan struct{}),
	}
	if m.length != unknownLength {
		s.end = m.inputOffset() + m.length - int64(bodyRead)
	}
	if conn.pacer != nil {
		conn.pacer.abandoned = &s.abandoned
	}
	return s
}

// arrivedAt returns when the last byte of the body reached this machine, read or not, and whether it has. Only the
// goroutine that reads the body may call it, and others once that has ended.
func (s *bodySource) arrivedAt() (at time.Time, arrived bool) {
	switch {
	case !s.completedAt.IsZero():
		return s.completedAt, true
	case s.end == unknownLength:
		return time.Time{}, false
	}
	return s.arrivals.completeAt(s.end)
}

// Read reads from the body. Any error, including io.EOF, ends the source.
func (s *bodySource) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned.Load() {
		return 0, errBodyNotNeeded
	}
	n, err := s.message.Read(p)
	if err != nil && s.abandoned.Load() {
		err = errBodyNotNeeded
	}
	switch {
	case errors.Is(err, io.EOF):
		s.finishComplete()
	case err != nil:
		s.finish(err)
	}
	return n, err
}

// finishComplete ends the source after its last byte has been read. It may be called again. It keeps when that byte
// arrived: afterwards the connection's read loop reads the next request, and forgets what arrived before it.
func (s *bodySource) finishComplete() {
	if s.complete.Load() {
		return
	}
	s.end = s.message.inputOffset()
	s.arrivals.observe(time.Now())
	s.completedAt, _ = s.arrivals.completeAt(s.end)
	s.complete.Store(true)
	s.finish(io.EOF)
}

// abandon ends the source and returns once no read is in progress. It is safe for concurrent use and may be called
// after the source has ended.
func (s *bodySource) abandon() {
	select {
	case <-s.ended:
		return // the read loop may already be reading its next request
	default:
	}
	s.abandoned.Store(true)
	s.conn.SetReadDeadline(expiredDeadline)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(errBodyNotNeeded)
}

// failure returns why the body ended prematurely, or nil if it has not ended or is complete.
func (s *bodySource) failure() error {
	select {
	case <-s.ended:
		return s.err
	default:
		return nil
	}
}

// finish ends the source. Only the error of the first call counts; io.EOF marks the end of a complete body.
func (s *bodySource) finish(err error) {
	s.once.Do(func() {
		if !errors.Is(err, io.EOF) {
			s.err = err
		}
		close(s.ended)
	})
}

// responseStream is the rest of a response that is still arriving from the upstream. The client connection's write loop
// reads it and calls finish; then the attempt's worker reuses or closes the upstream connection.
type responseStream struct {
	message *message
	length  int64 // of the complete body in bytes, or unknownLength
	once    sync.Once
	done    chan bool // receives one value: whether the response was complete

	startedAt time.Time // for diagnostics
}

func newResponseStream(m *message) *responseStream {
	now := time.Now()
	m.conn.pacer = &readPacer{start: now, stallTimeout: writeStallTimeout}
	return &responseStream{message: m, length: m.length, done: make(chan bool, 1), startedAt: now}
}

// finish releases the upstream connection, which is reused only after a complete response. Later calls have no effect.
func (s *responseStream) finish(complete bool) { s.once.Do(func() { s.done <- complete }) }

// streamResponse writes a response's head and the buffered part of its body, then forwards the rest as it arrives. It
// reports whether everything was written. If not, the caller must abort the connection, so that the client recognizes
// the truncated response.
func (c *clientConn) streamResponse(pending *pendingRequest, answer *response, head responseHead) (complete bool) {
	var total int64
	var upstreamErr error
	defer func() {
		if !complete {
			c.recordCutOff(pending, answer.stream, total, upstreamErr)
		}
		answer.stream.finish(complete)
	}()
	write := func(parts ...[]byte) error { return writePaced(c.conn, parts...) }
	writePart := func(pending []byte) error { return write(pending) }
	if head.chunked {
		writePart = func(pending []byte) error { return writeChunk(write, pending) }
	}
	if write(head.text) != nil {
		return false
	}
	if len(answer.body) > 0 && writePart(answer.body) != nil {
		return false
	}
	buffer, release := streamBuffer(c.conn.memory)
	defer release()
	var share workShare
	for total = int64(len(answer.body)); total != answer.stream.length; {
		n, err := answer.stream.message.Read(buffer)
		total += int64(n)
		share.add(n)
		if total > maxBodyBytes {
			upstreamErr = errBodyTooLong
			return false
		}
		if n > 0 && writePart(buffer[:n]) != nil {
			return false
		}
		if errors.Is(err, io.EOF) && (answer.stream.length < 0 || total == answer.stream.length) {
			break // the last bytes may be returned together with io.EOF
		}
		if err != nil {
			c.frontend.node.counters.add(responsesTruncated)
			upstreamErr = err
			return false
		}
	}
	return !head.chunked || write([]byte(lastChunk)) == nil
}
