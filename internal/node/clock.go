package node

import (
	"time"

	"fawnglade/policy"
)

const (
	milli  = int64(time.Millisecond)
	second = int64(time.Second)
)

// clock provides the system time at the node's start plus the monotonic time elapsed since. The policy never sees a
// step of the system clock, and clock times stay comparable with the start times in the endpoint list.
type clock struct{ start time.Time }

// now returns the current time as the policy uses it.
func (c clock) now() policy.Time { return policy.Time(c.start.UnixNano()).Add(time.Since(c.start)) }

// nanos returns now in nanoseconds of Unix time.
func (c clock) nanos() int64 { return int64(c.now()) }

// at converts a policy time to a time.Time, for timers and deadlines.
func (c clock) at(t policy.Time) time.Time {
	return c.start.Add(t.Sub(policy.Time(c.start.UnixNano())))
}

func newClock() clock { return clock{time.Now()} }
