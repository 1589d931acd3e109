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
	random := rand.New(rand.NewPCG(1, 2))
	var added, popped []uint64
	for range 500 {
		at := random.Uint64N(1000)
		added = append(added, at)
		q.Add(int64(at), at)
	}
	for now := int64(0); now < 1000; now++ {
		for id, due := q.PopDue(now); due; id, due = q.PopDue(now) {
			if int64(id) != now {
				t.Fatalf("at %d a timer for %d is due", now, id)
			}
			popped = append(popped, id)
		}
		if wait := q.UntilNext(now, 1<<40); wait <= 0 {
			t.Fatalf("at %d a wait of %d", now, wait)
		}
	}
	slices.Sort(added)
	if !slices.Equal(added, popped) {
		t.Error("not all timers were due")
	}
}
