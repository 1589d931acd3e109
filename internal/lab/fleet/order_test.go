package fleet

import (
	"fawnglade/internal/lab/invariant"
	"testing"
	"time"
)

// TestTheOrderThatAStallLost has two attempts of a task read in one moment: a second copy only where the node had closed neither.
func TestTheOrderThatAStallLost(t *testing.T) {
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
		r := &relayed{book: &invariant.Ledger{}}
		r.book.Live(&invariant.NodeLife{Life: 1})
		try := &invariant.Try{ID: "a", Life: 1, Whole: 900 * ms, Hard: 3000 * ms}
		r.book.Sent(try)
		good, cancelled := &invariant.HandOff{Task: "a", Server: 3, Life: 1}, &invariant.HandOff{Task: "a", Server: 1, Life: 1}
		r.book.Began(good)
		r.book.Began(cancelled)
		try.Answered, try.Status = 2000*ms, 200
		good.First, good.Last, good.Answered = 1000*ms, 1000*ms, 1400*ms
		cancelled.First, cancelled.Last, cancelled.Answered = good.First+one.apart+1, good.First+one.apart+1, good.First+one.apart+1
		if cancelled.Closed = one.closed; one.closed != invariant.Never {
			cancelled.Closed += cancelled.First
		}
		late := func(int64) int64 { return one.late }
		r.order(late)
		r.book.Close()
		if breaks := r.book.Judge(kinds, invariant.Rules{Slack: 50 * ms, Late: late}); len(breaks) != one.breaks {
			t.Errorf("%s: %v, expected %d", name, breaks, one.breaks)
		}
	}
}
