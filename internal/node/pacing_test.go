package node

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// deadlineRecorder records the last write deadline and accepts every write.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
	written  int
}

func (c *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

func (c *deadlineRecorder) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

// newTestUpload returns an upload of a request whose client has sent nothing yet.
func newTestUpload(t *testing.T, a *attempt, upstream net.Conn) *upload {
	t.Helper()
	client, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	conn := newBufferedConn(client, nil)
	a.request = newPendingRequest()
	a.request.source = &bodySource{conn: conn, arrivals: &inputArrivals{conn: conn}, end: unknownLength}
	return newUpload(&upstreamConn{bufferedConn: newBufferedConn(upstream, nil)}, a, time.Hour)
}

// Guards against a lost cancel: the worker, or the reader of the attempt's body, sets a new deadline just after the
// cancel has set an expired one.
func TestCancelHoldsAgainstLaterDeadline(t *testing.T) {
	for _, canceled := range []bool{false, true} {
		a := &attempt{}
		if canceled {
			a.cancel()
		}
		var readDeadline time.Time
		record := func(deadline time.Time) error {
			readDeadline = deadline
			return nil
		}
		if err := a.setDeadline(record, time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		conn := &deadlineRecorder{}
		if err := a.setDeadline(conn.SetWriteDeadline, time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		for name, deadline := range map[string]time.Time{"a read": readDeadline, "a write": conn.deadline} {
			if deadline.Before(time.Now()) != canceled {
				t.Errorf("canceled %t: got deadline of %s %v, want it expired only if canceled", canceled, name, deadline)
			}
		}
		if err := newTestUpload(t, a, conn).write([]byte("x")); errors.Is(err, errCanceled) != canceled {
			t.Errorf("canceled %t: got error %v of an upload, want errCanceled only if canceled", canceled, err)
		}
		if wantWritten := map[bool]int{false: 1, true: 0}[canceled]; conn.written != wantWritten {
			t.Errorf("canceled %t: got %d bytes written, want %d", canceled, conn.written, wantWritten)
		}
		near, far := net.Pipe()
		defer far.Close()
		var abandoned atomic.Bool
		abandoned.Store(canceled)
		pacer := &readPacer{stallTimeout: time.Hour, abandoned: &abandoned}
		if err := pacer.beginRead(near); errors.Is(err, errBodyNotNeeded) != canceled {
			t.Errorf("abandoned %t: got error %v, want errBodyNotNeeded only if abandoned", canceled, err)
		}
	}
}
