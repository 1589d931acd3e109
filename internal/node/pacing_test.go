package node

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// noted notes by when a write has to be over, and takes it all.
type deadlineRecorder struct {
	net.Conn
	end time.Time
}

func (c *deadlineRecorder) SetWriteDeadline(end time.Time) error { c.end = end; return nil }

func (c *deadlineRecorder) Write(p []byte) (int, error) { return len(p), nil }

// A stop holds that comes just before one who carries the attempt, or reads its body, sets a time of its own.
func TestStopCrossesADeadline(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		h := &attempt{}
		if stopped {
			h.cancel()
		}
		var read time.Time
		h.setDeadline(func(end time.Time) error { read = end; return nil }, time.Now().Add(time.Hour))
		c := &deadlineRecorder{}
		writePaced(c, h, []byte("x"))
		for name, end := range map[string]time.Time{"a read": read, "a write": c.end} {
			if end.Before(time.Now()) != stopped {
				t.Errorf("stopped %t: %s may last until %v", stopped, name, end)
			}
		}
		near, far := net.Pipe()
		defer far.Close()
		var given atomic.Bool
		given.Store(stopped)
		if err := (&readPacer{stall: time.Hour, abandoned: &given}).begin(near); (err == errBodyAbandoned) != stopped {
			t.Errorf("given up %t: %v", stopped, err)
		}
	}
}
