package fleet

import (
	"testing"
	"time"

	"fawnglade/internal/lab/invariant"
)

// Two attempts of a request are read at the same time after a stall of the test process. They count as in flight at
// once only if the node had closed neither.
func TestOrderStalledAttempts(t *testing.T) {
	const ms = int64(time.Millisecond)
	for name, c := range map[string]struct {
		closed, lag int64
		gap         int64 // between the two
		violations  int
	}{
		"closed before it was read":       {0, 40 * ms, 0, 0},
		"not closed":                      {invariant.Never, 40 * ms, 0, 1},
		"closed long after":               {500 * ms, 40 * ms, 0, 1},
		"no stall":                        {60 * ms, 0, 0, 1},
		"the other read before the stall": {0, 40 * ms, 300 * ms, 1},
	} {
		r := &relayFleet{history: &invariant.History{}}
		r.history.RecordProcess(&invariant.Process{Incarnation: 1})
		request := &invariant.Request{ID: "a", Incarnation: 1, SentAt: 900 * ms, Deadline: 3000 * ms}
		r.history.RecordRequest(request)
		completed, canceled := &invariant.Attempt{Request: "a", Endpoint: 3, Incarnation: 1}, &invariant.Attempt{Request: "a", Endpoint: 1, Incarnation: 1}
		r.history.RecordAttempt(completed)
		r.history.RecordAttempt(canceled)
		request.AnsweredAt, request.Status = 2000*ms, 200
		completed.FirstByteAt, completed.LastByteAt, completed.AnsweredAt = 1000*ms, 1000*ms, 1400*ms
		canceled.FirstByteAt, canceled.LastByteAt, canceled.AnsweredAt = completed.FirstByteAt+c.gap+1, completed.FirstByteAt+c.gap+1, completed.FirstByteAt+c.gap+1
		if canceled.ClosedAt = c.closed; c.closed != invariant.Never {
			canceled.ClosedAt += canceled.FirstByteAt
		}
		lag := func(int64) int64 { return c.lag }
		r.orderStalledAttempts(lag)
		r.history.Close()
		if violations := r.history.Check(requestClasses, invariant.Rules{Slack: 50 * ms, Lag: lag}); len(violations) != c.violations {
			t.Errorf("%s: got violations %v, want %d", name, violations, c.violations)
		}
	}
}
