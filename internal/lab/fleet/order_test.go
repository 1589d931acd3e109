package fleet

import (
	"testing"
	"time"

	"fawnglade/internal/lab/invariant"
)

// TestOrderStalledAttempts has two attempts of a request read in one moment: a hedged request only where the node had closed neither.
func TestOrderStalledAttempts(t *testing.T) {
	const ms = int64(time.Millisecond)
	for name, one := range map[string]struct {
		closed, late int64
		apart        int64 // between the two
		breaks       int
	}{
		"closed before it was read":       {0, 40 * ms, 0, 0},
		"not closed":                      {invariant.Never, 40 * ms, 0, 1},
		"closed long after":               {500 * ms, 40 * ms, 0, 1},
		"nothing stood still":             {60 * ms, 0, 0, 1},
		"the other came before the stall": {0, 40 * ms, 300 * ms, 1},
	} {
		r := &relayFleet{history: &invariant.History{}}
		r.history.RecordProcess(&invariant.Process{Incarnation: 1})
		try := &invariant.Request{ID: "a", Incarnation: 1, SentAt: 900 * ms, Deadline: 3000 * ms}
		r.history.RecordRequest(try)
		good, cancelled := &invariant.Attempt{Request: "a", Endpoint: 3, Incarnation: 1}, &invariant.Attempt{Request: "a", Endpoint: 1, Incarnation: 1}
		r.history.RecordAttempt(good)
		r.history.RecordAttempt(cancelled)
		try.AnsweredAt, try.Status = 2000*ms, 200
		good.FirstByteAt, good.LastByteAt, good.AnsweredAt = 1000*ms, 1000*ms, 1400*ms
		cancelled.FirstByteAt, cancelled.LastByteAt, cancelled.AnsweredAt = good.FirstByteAt+one.apart+1, good.FirstByteAt+one.apart+1, good.FirstByteAt+one.apart+1
		if cancelled.ClosedAt = one.closed; one.closed != invariant.Never {
			cancelled.ClosedAt += cancelled.FirstByteAt
		}
		late := func(int64) int64 { return one.late }
		r.orderStalledAttempts(late)
		r.history.Close()
		if breaks := r.history.Check(requestClasses, invariant.Rules{Slack: 50 * ms, Lag: late}); len(breaks) != one.breaks {
			t.Errorf("%s: %v, expected %d", name, breaks, one.breaks)
		}
	}
}
