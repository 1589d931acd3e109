package node

import (
	"time"

	"fawnglade/policy"
)

const (
	milli  = int64(time.Millisecond)
	second = int64(time.Second)
)

// clock is the system time at the node's start plus the monotonic time that has passed since. A step of the system
// time never reaches the decisions, while start times of the endpoint list can still be compared with it.
type clock struct{ start time.Time }

// now is the current time as the decisions read it.
func (c clock) now() policy.Time { return policy.Time(c.start.UnixNano()).Add(time.Since(c.start)) }

// nanos is now for packages that count in nanoseconds.
func (c clock) nanos() int64 { return int64(c.now()) }

// at converts a time of the decisions to one that the runtime can wait for.
func (c clock) at(t policy.Time) time.Time {
	return c.start.Add(t.Sub(policy.Time(c.start.UnixNano())))
}

func newClock() clock { return clock{time.Now()} }
