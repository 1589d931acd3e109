package timerqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestPopDueReturnsTimersInOrder(t *testing.T) {
	var q Queue
	if _, due := q.PopDue(1 << 60); due || q.UntilNext(5, 100) != 100 {
		t.Error("an empty queue: want no timer due and ifEmpty from UntilNext")
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
				t.Fatalf("at %d: got a timer that is due at %d, want one that is due now", now, id)
			}
			popped = append(popped, id)
		}
		if wait := q.UntilNext(now, 1<<40); wait <= 0 {
			t.Fatalf("at %d: got %d until the next timer, want more than 0", now, wait)
		}
	}
	slices.Sort(added)
	if !slices.Equal(added, popped) {
		t.Error("got other timers from PopDue than were added, want the same")
	}
}
