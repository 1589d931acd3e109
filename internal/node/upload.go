package node

// The upload of a request's body that is still coming from its client, beside the wait for the upstream's response.

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// errEarlyResponse is a response that came before the request was complete and is neither a rejection nor a fault of
// the request: it can't be the result of running it.
var errEarlyResponse = errors.New("response before the last byte of the request")

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// upload writes the body of one attempt. Its goroutine ends by itself or through stop, which must be called before the
// connection is used for anything else.
type upload struct {
	done        chan struct{} // closed when the goroutine has ended; the fields below are safe to read then
	complete    atomic.Bool
	completedAt time.Time // when the last byte was written
	err         error     // the upstream's, or whatever bodySource.Read returned
}

// startUpload begins to write what follows the head. Once all is written the upstream has responseTimeout to answer.
func startUpload(conn *upstreamConn, a *attempt, responseTimeout time.Duration) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = u.run(conn, a)
		if u.err != nil {
			conn.SetReadDeadline(inThePast) // there will be no response
			return
		}
		u.completedAt = time.Now()
		u.complete.Store(true)
		// A deadline that can't be set shows when the response is read.
		_ = a.setDeadline(conn.SetReadDeadline, u.completedAt.Add(responseTimeout))
	}()
	return u
}

// run writes the part of the body that is buffered, and then the source to its end.
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

// copyBody reads a source to its end, of which some bytes have been written before. It returns errBodyTooLong for a
// body of more than maxBodyBytes.
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

// stop ends the upload and reports whether it was complete.
func (u *upload) stop(conn *upstreamConn, request *pendingRequest) bool {
	if !u.complete.Load() {
		conn.SetWriteDeadline(inThePast)
		request.source.abandon()
	}
	<-u.done // or its last deadline would be set on a connection that carries another attempt by then
	return u.complete.Load()
}

// failure is why an upload that has stopped incomplete has no response: the client's fault, the error of the write, or
// readErr, that of the read of the response.
func (u *upload) failure(request *pendingRequest, readErr error) error {
	clientErr := request.source.failure()
	if clientErr != nil && !errors.Is(clientErr, errBodyNotNeeded) {
		return errBodyLost // the upstream has done nothing
	}
	stoppedByNode := errors.Is(u.err, errBodyNotNeeded) || errors.Is(u.err, os.ErrDeadlineExceeded)
	if u.err != nil && !stoppedByNode {
		return u.err
	}
	return readErr
}

// writeChunk writes a part of a body in chunks; it must not be empty.
func writeChunk(conn net.Conn, a *attempt, p []byte) error {
	size := strconv.AppendInt(nil, int64(len(p)), 16)
	return writePaced(conn, a, append(size, "\r\n"...), p, []byte("\r\n"))
}
