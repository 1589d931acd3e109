package policy

import (
	"testing"
	"time"
)

// Guards against a spell that ends only once the endpoints have rested: in a long overload a node gives up all requests
// for a while, once; a short one, as a burst makes, changes nothing.
func TestLongOverloadShedsAllRequestsOnce(t *testing.T) {
	b := newTestFleet(t, 4, func(s *Settings) { s.ReportsUtilization = true })
	b.serve(40, respondPromptly)
	for range 40 { // slow all the time, but nothing is rejected
		b.estimator.Fleet.FirstSum, b.estimator.Fleet.Weight = 400, 40
		b.now += Time(tickInterval)
		if b.tick(); b.overload.shedAllUntil > 0 {
			t.Fatal("a rest though nothing was rejected")
		}
	}
	rests := 0
	for second := range 40 {
		b.estimator.Fleet.FirstSum, b.estimator.Fleet.Weight, b.estimator.classes[0].SuccessRate = 400, 40, 0.4
		b.now += Time(tickInterval)
		b.tick()
		if b.overload.shedAllUntil > b.now {
			rests++
			if second < overloadedSecondsToShedAll-1 {
				t.Fatalf("a rest after %d s of overload", second+1)
			}
			if b.rejected = 0; b.arrive(0) == "" || b.rejected != 1 {
				t.Error("a request was taken while the fleet rests")
			}
		}
	}
	if rests != int(shedAllDuration/tickInterval) {
		t.Errorf("%d s of rest in one overload, want %d", rests, shedAllDuration/tickInterval)
	}
}

func TestOverloadGuardShedsAllOncePerOverload(t *testing.T) {
	var guard overloadGuard
	now := Time(1e12)
	tick := func(level, success float64) {
		now = now.Add(time.Second)
		guard.tick(now, level, success)
	}
	for range overloadedSecondsToShedAll - 1 {
		tick(overloadedLatencyRatio, overloadedSuccessRate)
	}
	tick(overloadedLatencyRatio-0.1, overloadedSuccessRate) // the spell ends
	for range overloadedSecondsToShedAll - 1 {
		tick(overloadedLatencyRatio, overloadedSuccessRate)
		if guard.shedsAll(now) {
			t.Fatal("rests before its time")
		}
	}
	tick(overloadedLatencyRatio, overloadedSuccessRate)
	if !guard.shedsAll(now.Add(shedAllDuration-1)) || guard.shedsAll(now.Add(shedAllDuration)) {
		t.Errorf("rests until %d ns, now %d", guard.shedAllUntil, now)
	}
	until := guard.shedAllUntil
	for range 3 * overloadedSecondsToShedAll {
		tick(overloadedLatencyRatio, overloadedSuccessRate)
	}
	if guard.shedAllUntil != until {
		t.Error("a second rest in one spell")
	}
}
