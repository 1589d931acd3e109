package timerqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestPopDueReturnsTimersInOrder(t *testing.T) {
	var q Queue
	if _, due := q.PopDue(1 << 60); due || q.UntilNext(5, 100) != 100 {
		t.Error("an empty queue has something due")
	}
	draw := rand.New(rand.NewPCG(1, 2))
	var set, came []uint64
	for range 500 {
		at := draw.Uint64N(1000)
		set = append(set, at)
		q.Add(int64(at), at)
	}
	for now := int64(0); now < 1000; now++ {
		for cookie, due := q.PopDue(now); due; cookie, due = q.PopDue(now) {
			if int64(cookie) != now {
				t.Fatalf("at %d a timer for %d is due", now, cookie)
			}
			came = append(came, cookie)
		}
		if wait := q.UntilNext(now, 1<<40); wait <= 0 {
			t.Fatalf("at %d a wait of %d", now, wait)
		}
	}
	slices.Sort(set)
	if !slices.Equal(set, came) {
		t.Error("not all timers were due")
	}
}
