package policy

import (
	"testing"
)

// Guards against a spell that ends only once the servers have rested: in a long jam a node gives up all requests for a
// while, once; a short one, as a burst makes, changes nothing.
func TestLongOverloadGetsOneRest(t *testing.T) {
	b := newTestFleet(t, 4, func(s *Settings) { s.ReportsUtilization = true })
	b.serve(40, answersPromptly)
	for range 40 { // slow all the time, but nothing is rejected
		b.estimator.Fleet.A, b.estimator.Fleet.Weight = 400, 40
		b.now += Time(recalculationInterval)
		if b.tick(); b.overload.restUntil > 0 {
			t.Fatal("a rest though nothing was turned away")
		}
	}
	rests := 0
	for second := range 40 {
		b.estimator.Fleet.A, b.estimator.Fleet.Weight, b.estimator.classes[0].SuccessRate = 400, 40, 0.4
		b.now += Time(recalculationInterval)
		b.tick()
		if b.overload.restUntil > b.now {
			rests++
			if second < overloadedSecondsToRest-1 {
				t.Fatalf("a rest after %d s of jam", second+1)
			}
			if b.rejected = 0; b.arrive(0) == "" || b.rejected != 1 {
				t.Error("a task was taken while the fleet rests")
			}
		}
	}
	if rests != int(restDuration/recalculationInterval) {
		t.Errorf("%d s of rest in one jam, want %d", rests, restDuration/recalculationInterval)
	}
}
