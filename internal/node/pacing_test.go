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
}

func (c *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

func (c *deadlineRecorder) Write(p []byte) (int, error) { return len(p), nil }

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
		if err := writePaced(conn, a, []byte("x")); err != nil {
			t.Fatal(err)
		}
		for name, deadline := range map[string]time.Time{"a read": readDeadline, "a write": conn.deadline} {
			if deadline.Before(time.Now()) != canceled {
				t.Errorf("canceled %t: got deadline of %s %v, want it expired only if canceled", canceled, name, deadline)
			}
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
