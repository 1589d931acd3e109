package policy

import (
	"testing"
	"time"
)

// Guards against a spell that ends only once the endpoints have rested: in a long overload a node gives up all requests
// for a while, once; a short one, as a burst makes, changes nothing.
func TestLongOverloadGetsOneRest(t *testing.T) {
	b := newTestFleet(t, 4, func(s *Settings) { s.ReportsUtilization = true })
	b.serve(40, answersPromptly)
	for range 40 { // slow all the time, but nothing is rejected
		b.estimator.Fleet.FirstSum, b.estimator.Fleet.Weight = 400, 40
		b.now += Time(tickInterval)
		if b.tick(); b.overload.restUntil > 0 {
			t.Fatal("a rest though nothing was rejected")
		}
	}
	rests := 0
	for second := range 40 {
		b.estimator.Fleet.FirstSum, b.estimator.Fleet.Weight, b.estimator.classes[0].SuccessRate = 400, 40, 0.4
		b.now += Time(tickInterval)
		b.tick()
		if b.overload.restUntil > b.now {
			rests++
			if second < overloadedSecondsToRest-1 {
				t.Fatalf("a rest after %d s of overload", second+1)
			}
			if b.rejected = 0; b.arrive(0) == "" || b.rejected != 1 {
				t.Error("a request was taken while the fleet rests")
			}
		}
	}
	if rests != int(restDuration/tickInterval) {
		t.Errorf("%d s of rest in one overload, want %d", rests, restDuration/tickInterval)
	}
}

func TestOverloadGuardRestsOncePerSpell(t *testing.T) {
	var guard overloadGuard
	now := Time(1e12)
	tick := func(level, success float64) {
		now = now.Add(time.Second)
		guard.tick(now, level, success)
	}
	for range overloadedSecondsToRest - 1 {
		tick(overloadedFleetLevel, overloadedSuccessRate)
	}
	tick(overloadedFleetLevel-0.1, overloadedSuccessRate) // the spell ends
	for range overloadedSecondsToRest - 1 {
		tick(overloadedFleetLevel, overloadedSuccessRate)
		if guard.rests(now) {
			t.Fatal("rests before its time")
		}
	}
	tick(overloadedFleetLevel, overloadedSuccessRate)
	if !guard.rests(now.Add(restDuration-1)) || guard.rests(now.Add(restDuration)) {
		t.Errorf("rests until %d ns, now %d", guard.restUntil, now)
	}
	until := guard.restUntil
	for range 3 * overloadedSecondsToRest {
		tick(overloadedFleetLevel, overloadedSuccessRate)
	}
	if guard.restUntil != until {
		t.Error("a second rest in one spell")
	}
}
