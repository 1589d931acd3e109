package node

// Reading the start of a response: how much of it is awaited before it is forwarded. A response that is buffered can
// still be replaced by that of another attempt; one that is long, or slow, must reach the client as it arrives.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"time"
)

const (
	maxBufferedResponse   = 64 << 10              // responses up to this size are forwarded only when complete
	maxBufferedInput      = 80 << 10              // the same with the encoding of chunks
	shortResponse         = 4 << 10               // responses up to this size are buffered regardless of the memory in use
	responseBufferTimeout = 20 * time.Millisecond // wait for a response that is long, or may be, before forwarding it
)

// readBodyStart reads a response of up to maxBufferedResponse bytes completely, until the attempt's deadline. For a
// longer one it awaits the first bytes, and for one of unknown length the end, for responseBufferTimeout: a broken
// response mostly fails at once. After that the attempt has no deadline any more, as the upstream may write for as long
// as it likes.
func (t *roundTrip) readBodyStart(m *message) (body []byte, complete bool, err error) {
	if m.length >= 0 && m.length <= maxBufferedResponse && t.reserveBody(int(m.length)) {
		return m.readUpTo(nil, maxBufferedResponse)
	}
	bufferUntil := time.Now().Add(responseBufferTimeout)
	if err := t.attempt.setDeadline(t.conn.SetReadDeadline, bufferUntil); err != nil {
		return nil, false, err
	}
	settled, err := m.bufferBody()
	if err != nil || !settled {
		return nil, false, err
	}
	if err := t.attempt.setDeadline(t.conn.SetReadDeadline, t.deadline); err != nil {
		return nil, false, err
	}
	t.releaseBody()
	t.reserved = m.bufferedLength()
	t.upstreams.node.memory.force(t.reserved) // it has been received already
	return m.readUpTo(nil, maxBufferedResponse)
}

// reserveBody reserves memory for the response's body, and reports whether there is enough.
func (t *roundTrip) reserveBody(size int) bool {
	t.releaseBody()
	memory := &t.upstreams.node.memory
	switch {
	case size <= shortResponse:
		memory.force(size)
	case !memory.reserve(size):
		return false
	}
	t.reserved = size
	return true
}

// releaseBody releases the memory of a body that is not forwarded.
func (t *roundTrip) releaseBody() {
	t.upstreams.node.memory.release(t.reserved)
	t.reserved = 0
}

// passReservation passes the memory of the body to the response.
func (t *roundTrip) passReservation(r *response) {
	r.memory = &t.upstreams.node.memory
	r.reserved = t.reserved
	t.reserved = 0
}

// bufferBody reads from the connection into its buffer, without decoding, until its read deadline. It stops earlier if
// the buffer holds the first bytes of a body with a length, or more than maxBufferedInput bytes, or can't grow. It
// reports whether the rest of the body can be read without waiting: it is complete, malformed, or ended prematurely by
// the upstream. Its error is that of a connection that has failed.
func (m *message) bufferBody() (settled bool, err error) {
	for {
		length := m.bufferedLength()
		switch {
		case m.length >= 0 && length > 0 || length > maxBufferedInput:
			return false, nil
		case m.chunked && m.chunksSettled():
			return true, nil
		}
		err := m.conn.fill()
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errNoBufferMemory):
			return false, nil
		case err != nil:
			return false, err
		}
	}
}

// bufferedLength returns how many bytes behind the head have been read and not decoded.
func (m *message) bufferedLength() int { return m.reader.Buffered() + len(m.conn.buffered()) }

// chunksSettled reports whether the buffered input holds a complete chunked body, or a malformed one. It consumes
// nothing.
func (m *message) chunksSettled() bool {
	start, _ := m.reader.Peek(m.reader.Buffered()) // can't fail, as it peeks only at buffered bytes
	rest := m.conn.buffered()
	last := rest
	if len(rest) == 0 {
		last = start
	}
	if !bytes.HasSuffix(last, []byte("\n")) {
		return false // avoids decoding each part of a body that arrives in small parts
	}
	input := bufio.NewReader(io.MultiReader(bytes.NewReader(start), bytes.NewReader(rest)))
	_, err := io.Copy(io.Discard, httputil.NewChunkedReader(input))
	if err != nil {
		return !errors.Is(err, io.ErrUnexpectedEOF)
	}
	for {
		line, err := input.ReadSlice('\n') // of the trailer, which an empty line ends
		if err != nil {
			return errors.Is(err, bufio.ErrBufferFull)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return true
		}
	}
}
