package node

// Bodies that are too long to be buffered: a request's, which flows from its client to an upstream, and a response's,
// which flows from its upstream to a client. Each passes through one buffer of a fixed size.

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamBufferBytes     = 32 << 10              // of a body that is streamed
	maxBufferedBody       = 1 << 20               // of a request's body that is buffered, while there is memory for it
	minBufferedBody       = 64 << 10              // of a request's body that is buffered whatever else the node holds
	maxBufferedResponse   = 64 << 10              // a response no longer than this is passed on only once it is complete
	responseBufferTimeout = 20 * time.Millisecond // the longest wait for more of a response of unknown length
)

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// errBodyNotNeeded ends the reads of a body that is no longer needed; it is no fault of the client.
var errBodyNotNeeded = errors.New("the body is no longer needed")

// bodySource is a request's body that is still coming from its client. The upload of the one attempt that has consumed
// it reads it; the client connection's read loop waits until ended is closed, and only then uses the connection again.
type bodySource struct {
	conn    *bufferedConn
	message *message
	length  int64 // of the complete body in bytes, or unknownLength

	ended     chan struct{} // closed by finish
	complete  atomic.Bool   // all of it has been read
	abandoned atomic.Bool   // nothing more of it is to be read
	consumed  atomic.Bool   // an attempt has begun to read it, so that the request can't be sent again
	mu        sync.Mutex    // held during a read
	once      sync.Once
	err       error // why it ended before it was complete; written before ended is closed, read after
}

func newBodySource(conn *bufferedConn, m *message) *bodySource {
	s := &bodySource{conn: conn, message: m, length: m.length, ended: make(chan struct{})}
	if conn.pacer != nil {
		conn.pacer.abandoned = &s.abandoned
	}
	return s
}

// Read reads on in the body. Any error, io.EOF included, ends the source.
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
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	if err != nil {
		s.finish(err)
	}
	return n, err
}

// abandon ends the source. It returns once nothing reads it any more. Any goroutine may call it, at any time.
func (s *bodySource) abandon() {
	select {
	case <-s.ended:
		return // the read loop may have gone on to its next request
	default:
	}
	s.abandoned.Store(true)
	s.conn.SetReadDeadline(inThePast)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(errBodyNotNeeded)
}

// failure is why the body ended before it was complete; nil if it has not ended, or is complete.
func (s *bodySource) failure() error {
	select {
	case <-s.ended:
		return s.err
	default:
		return nil
	}
}

// finish ends the source with the first error that it is called with; io.EOF is the end of a complete body.
func (s *bodySource) finish(err error) {
	s.once.Do(func() {
		if !errors.Is(err, io.EOF) {
			s.err = err
		}
		close(s.ended)
	})
}

// responseStream is the rest of a response that is still coming from its upstream. The client connection's write loop
// reads it and calls finish; then the worker of the attempt takes the upstream connection back.
type responseStream struct {
	message *message
	length  int64 // of the complete body in bytes, or unknownLength
	once    sync.Once
	done    chan bool // gets one value: whether the response came completely
}

func newResponseStream(m *message) *responseStream {
	m.conn.pacer = &readPacer{start: time.Now(), stall: writeStall}
	return &responseStream{message: m, length: m.length, done: make(chan bool, 1)}
}

// finish releases the upstream connection, which is reused only after a complete response. Only the first call counts.
func (s *responseStream) finish(complete bool) { s.once.Do(func() { s.done <- complete }) }

// streamResponse writes a response's head and the part of its body that is buffered, and passes on the rest as it
// comes. It reports whether the client got all of it. Where not, the connection must be aborted, so that the client
// sees that.
func (c *clientConn) streamResponse(answer *response, head responseHead) (complete bool) {
	defer func() { answer.stream.finish(complete) }()
	write := func(pending []byte) error { return writePaced(c.conn, nil, pending) }
	writePart := write
	if head.chunked {
		writePart = func(pending []byte) error { return writeChunk(c.conn, nil, pending) }
	}
	if write(head.text) != nil {
		return false
	}
	if len(answer.body) > 0 && writePart(answer.body) != nil {
		return false
	}
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for total := int64(len(answer.body)); total != answer.stream.length; {
		n, err := answer.stream.message.Read(buffer[:])
		total += int64(n)
		if total > maxBodyBytes {
			return false
		}
		if n > 0 && writePart(buffer[:n]) != nil {
			return false
		}
		if errors.Is(err, io.EOF) && (answer.stream.length < 0 || total == answer.stream.length) {
			break // the last bytes may come together with the end
		}
		if err != nil {
			c.frontend.node.counters.add(responsesTruncated)
			return false
		}
	}
	return !head.chunked || write([]byte(lastChunk)) == nil
}
