package node

// The upload of a request body that is still arriving from the client, concurrently with reading the upstream's
// response.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// errEarlyResponse means that a response arrived before the request was complete and is neither a rejection nor a
// request fault. It can't be the result of executing the request.
var errEarlyResponse = errors.New("response before the last byte of the request")

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

// errUploadTimeout means that the upstream did not read the complete request in time.
var errUploadTimeout = fmt.Errorf("upstream did not read the request in time: %w", os.ErrDeadlineExceeded)

// upload writes a request with a streamed body on the connection of one attempt. After start its own goroutine writes
// the body, and stop must be called before the connection is used for anything else. The attempt's worker calls
// its methods before start and after stop, its goroutine between them.
type upload struct {
	conn       *upstreamConn
	attempt    *attempt
	source     *bodySource   // of the request
	timeout    time.Duration // for the response, from the arrival of the last byte of the body
	progressAt time.Time     // when the upstream last took a part of the request

	done        chan struct{} // closed when the goroutine has ended; the fields above and below may be read after that
	complete    atomic.Bool
	completedAt time.Time // when the last byte was written
	err         error     // of the write to the upstream, or returned by bodySource.Read

	mu      sync.Mutex
	stopped bool // no further write may start
}

func newUpload(conn *upstreamConn, a *attempt, timeout time.Duration) *upload {
	return &upload{
		conn:       conn,
		attempt:    a,
		source:     a.request.source,
		timeout:    timeout,
		progressAt: time.Now(),
		done:       make(chan struct{}),
	}
}

// start starts writing the body behind the head. Once the last byte has been written, the read deadline for the
// response is limit.
func (u *upload) start() {
	go func() {
		defer close(u.done)
		u.err = u.writeBody()
		if u.err != nil {
			u.conn.SetReadDeadline(expiredDeadline) // unblocks the read of the response, which will not arrive
			return
		}
		u.completedAt = time.Now()
		u.complete.Store(true)
		// A failure to set the deadline leads to an error when the response is read.
		_ = u.attempt.setDeadline(u.conn.SetReadDeadline, u.limit())
	}()
}

// limit returns when the attempt must end: when the time for the response has passed since the last byte of the body
// arrived. While the client has not sent everything, that time starts anew with whatever arrives and whatever the
// upstream reads, so that a slow client and a slow upstream are served and a stalled upstream is not. A body whose
// length is not known yet may be complete, so that only what arrives counts.
func (u *upload) limit() time.Time {
	arrivedAt, arrived := u.source.arrivedAt()
	switch {
	case arrived:
		return arrivedAt.Add(u.timeout)
	case u.source.end == unknownLength:
		return u.source.arrivals.latestAt().Add(u.timeout)
	}
	return latest(u.source.arrivals.latestAt(), u.progressAt).Add(u.timeout)
}

// earlyResponseDeadline returns the deadline for the rest of a response whose head came before the request was
// complete. It is called after stop.
func (u *upload) earlyResponseDeadline(headReadAt time.Time) time.Time {
	u.progressAt = headReadAt
	return u.limit()
}

// writeBody writes the buffered part of the body and then the rest from the source.
func (u *upload) writeBody() error {
	request := u.attempt.request
	source := request.source
	writePart := func(p []byte) error { return u.write(p) }
	if source.length < 0 {
		writePart = func(p []byte) error { return writeChunk(u.write, p) }
	}
	if len(request.body) > 0 {
		if err := writePart(request.body); err != nil {
			return err
		}
	}
	if err := copyBody(source, int64(len(request.body)), writePart); err != nil {
		return err
	}
	if source.length < 0 {
		if err := u.write([]byte(lastChunk)); err != nil {
			return err
		}
	}
	source.finishComplete()
	return nil
}

// write writes the parts in order, until limit and for no longer than writeStallTimeout without progress. It waits for
// the upstream for arrivalPollInterval at a time, to observe meanwhile what arrives from the client.
func (u *upload) write(parts ...[]byte) error {
	for _, part := range parts {
		for len(part) > 0 {
			if err := u.setWriteDeadline(); err != nil {
				return err
			}
			n, err := u.conn.Write(part[:min(len(part), streamBufferBytes)])
			part = part[n:]
			if n > 0 {
				u.progressAt = time.Now()
			}
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
		}
	}
	return nil
}

// setWriteDeadline sets the deadline of the next write, or returns why there must be none.
func (u *upload) setWriteDeadline() error {
	now := time.Now()
	u.source.arrivals.observe(now)
	stalledAt := u.progressAt.Add(writeStallTimeout)
	if !now.Before(u.limit()) || !now.Before(stalledAt) {
		return errUploadTimeout
	}
	if err := u.attempt.reasonToEnd(); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return errBodyNotNeeded
	}
	return u.attempt.setDeadline(u.conn.SetWriteDeadline, now.Add(arrivalPollInterval))
}

// copyBody copies a source to its end. written is the number of body bytes written before. It returns errBodyTooLong if
// the body is longer than maxBodyBytes.
func copyBody(source *bodySource, written int64, writePart func([]byte) error) error {
	buffer, release := streamBuffer(source.conn.memory)
	defer release()
	var share workShare
	for total := written; ; {
		n, readErr := source.Read(buffer)
		total += int64(n)
		share.add(n)
		if total > maxBodyBytes {
			source.finish(errBodyTooLong)
			return errBodyTooLong
		}
		if n > 0 {
			if err := writePart(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) || readErr == nil && total == source.length {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// stop cancels the upload unless it is complete, waits for its goroutine, and reports whether it was complete.
func (u *upload) stop() bool {
	if !u.complete.Load() {
		u.interrupt()
	}
	<-u.done // otherwise it could set a deadline on the connection when another attempt already uses it
	return u.complete.Load()
}

// interrupt ends the current read of the body and write to the upstream, and prevents further ones.
func (u *upload) interrupt() {
	u.mu.Lock()
	u.stopped = true
	u.conn.SetWriteDeadline(expiredDeadline)
	u.mu.Unlock()
	u.attempt.request.source.abandon()
}

// failure returns why an incomplete, stopped upload has no response: errBodyConsumed if the client is at fault, else
// the error of the write, or else readErr, the error of reading the response.
func (u *upload) failure(readErr error) error {
	clientErr := u.attempt.request.source.failure()
	if clientErr != nil && !errors.Is(clientErr, errBodyNotNeeded) {
		return errBodyConsumed // without a complete request the upstream has not executed it
	}
	if u.err != nil && !errors.Is(u.err, errBodyNotNeeded) {
		return u.err
	}
	return readErr
}

// writeChunk writes p as one chunk of a chunked body. p must not be empty, as an empty chunk would end the body.
func writeChunk(write func(parts ...[]byte) error, p []byte) error {
	size := strconv.AppendInt(nil, int64(len(p)), 16)
	return write(append(size, "\r\n"...), p, []byte("\r\n"))
}
