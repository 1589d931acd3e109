package node

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// deadlineRecorder records the deadline of the last write, and takes every write.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

func (c *deadlineRecorder) Write(p []byte) (int, error) { return len(p), nil }

// A cancel holds that comes just before a worker, or a reader of the attempt's body, sets a deadline of its own.
func TestCancelHoldsAgainstLaterDeadline(t *testing.T) {
	for _, canceled := range []bool{false, true} {
		a := &attempt{}
		if canceled {
			a.cancel()
		}
		var read time.Time
		record := func(deadline time.Time) error {
			read = deadline
			return nil
		}
		if err := a.setDeadline(record, time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		c := &deadlineRecorder{}
		if err := writePaced(c, a, []byte("x")); err != nil {
			t.Fatal(err)
		}
		for name, deadline := range map[string]time.Time{"a read": read, "a write": c.deadline} {
			if deadline.Before(time.Now()) != canceled {
				t.Errorf("canceled %t: the deadline of %s is %v", canceled, name, deadline)
			}
		}
		near, far := net.Pipe()
		defer far.Close()
		var abandoned atomic.Bool
		abandoned.Store(canceled)
		pacer := &readPacer{stallTimeout: time.Hour, abandoned: &abandoned}
		if err := pacer.beginRead(near); errors.Is(err, errBodyNotNeeded) != canceled {
			t.Errorf("abandoned %t: %v", canceled, err)
		}
	}
}
