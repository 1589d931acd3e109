package node

// The upload of a request body that is still arriving from the client, concurrently with reading the upstream's
// response.

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// errEarlyResponse means that a response arrived before the request was complete and is neither a rejection nor a
// request fault. It can't be the result of executing the request.
var errEarlyResponse = errors.New("response before the last byte of the request")

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

// upload writes the request body of one attempt in its own goroutine. stop must be called before the upstream
// connection is used for anything else.
type upload struct {
	done        chan struct{} // closed when the goroutine has ended; completedAt and err may be read after that
	complete    atomic.Bool
	completedAt time.Time // when the last byte was written
	err         error     // of the write to the upstream, or returned by bodySource.Read
}

// startUpload starts writing the body after the head. The read deadline for the response is responseTimeout after the
// last byte has been written.
func startUpload(conn *upstreamConn, a *attempt, responseTimeout time.Duration) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = u.run(conn, a)
		if u.err != nil {
			conn.SetReadDeadline(expiredDeadline) // unblocks the read of the response, which will not arrive
			return
		}
		u.completedAt = time.Now()
		u.complete.Store(true)
		// A failure to set the deadline leads to an error when the response is read.
		_ = a.setDeadline(conn.SetReadDeadline, u.completedAt.Add(responseTimeout))
	}()
	return u
}

// run writes the buffered part of the body and then the rest from the source.
func (u *upload) run(conn *upstreamConn, a *attempt) error {
	source := a.request.source
	writePart := func(p []byte) error { return writePaced(conn, a, p) }
	if source.length < 0 {
		writePart = func(p []byte) error { return writeChunk(conn, a, p) }
	}
	if len(a.request.body) > 0 {
		if err := writePart(a.request.body); err != nil {
			return err
		}
	}
	if err := copyBody(source, int64(len(a.request.body)), writePart); err != nil {
		return err
	}
	if source.length < 0 {
		if err := writePaced(conn, a, []byte(lastChunk)); err != nil {
			return err
		}
	}
	source.complete.Store(true)
	source.finish(io.EOF)
	return nil
}

// copyBody copies a source to its end. written is the number of body bytes written before. It returns errBodyTooLong if
// the body is longer than maxBodyBytes.
func copyBody(source *bodySource, written int64, writePart func([]byte) error) error {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for total := written; ; {
		n, readErr := source.Read(buffer[:])
		total += int64(n)
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
func (u *upload) stop(conn *upstreamConn, request *pendingRequest) bool {
	if !u.complete.Load() {
		conn.SetWriteDeadline(expiredDeadline)
		request.source.abandon()
	}
	<-u.done // otherwise it could set a deadline on the connection when another attempt already uses it
	return u.complete.Load()
}

// failure returns why an incomplete, stopped upload has no response: errBodyConsumed if the client is at fault, else
// the error of the write, or else readErr, the error of reading the response.
func (u *upload) failure(request *pendingRequest, readErr error) error {
	clientErr := request.source.failure()
	if clientErr != nil && !errors.Is(clientErr, errBodyNotNeeded) {
		return errBodyConsumed // without a complete request the upstream has not executed it
	}
	stoppedByNode := errors.Is(u.err, errBodyNotNeeded) || errors.Is(u.err, os.ErrDeadlineExceeded)
	if u.err != nil && !stoppedByNode {
		return u.err
	}
	return readErr
}

// writeChunk writes p as one chunk of a chunked body. p must not be empty, as an empty chunk would end the body.
func writeChunk(conn net.Conn, a *attempt, p []byte) error {
	size := strconv.AppendInt(nil, int64(len(p)), 16)
	return writePaced(conn, a, append(size, "\r\n"...), p, []byte("\r\n"))
}
