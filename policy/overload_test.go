package policy

import (
	"testing"
	"time"
)

// Guards against a spell that ends only once the endpoints have rested: in a long overload a node gives up all requests
// for a while, once; a short one, as a burst makes, changes nothing.
func TestLongOverloadShedsAllRequestsOnce(t *testing.T) {
	fleet := newTestFleet(t, 4, func(s *Settings) { s.ReportsUtilization = true })
	fleet.serve(40, respondPromptly)
	for range 40 { // slow all the time, but nothing is rejected
		fleet.estimator.Fleet.FirstSum, fleet.estimator.Fleet.Weight = 400, 40
		fleet.now += Time(tickInterval)
		if fleet.tick(); fleet.overload.shedAllUntil > 0 {
			t.Fatal("a rest though nothing was rejected")
		}
	}
	shedSeconds := 0
	for second := range 40 {
		fleet.estimator.Fleet.FirstSum, fleet.estimator.Fleet.Weight, fleet.estimator.classes[0].SuccessRate = 400, 40, 0.4
		fleet.now += Time(tickInterval)
		fleet.tick()
		if fleet.overload.shedAllUntil > fleet.now {
			shedSeconds++
			if second < overloadedSecondsToShedAll-1 {
				t.Fatalf("a rest after %d s of overload", second+1)
			}
			if fleet.rejected = 0; fleet.arrive(0) == "" || fleet.rejected != 1 {
				t.Error("a request was taken while the fleet rests")
			}
		}
	}
	if shedSeconds != int(shedAllDuration/tickInterval) {
		t.Errorf("%d s of rest in one overload, want %d", shedSeconds, shedAllDuration/tickInterval)
	}
}

func TestOverloadGuardShedsAllOncePerOverload(t *testing.T) {
	var guard overloadGuard
	now := Time(1e12)
	tick := func(latencyRatio, successRate float64) {
		now = now.Add(time.Second)
		guard.tick(now, latencyRatio, successRate)
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
	firstShedAllUntil := guard.shedAllUntil
	for range 3 * overloadedSecondsToShedAll {
		tick(overloadedLatencyRatio, overloadedSuccessRate)
	}
	if guard.shedAllUntil != firstShedAllUntil {
		t.Error("a second rest in one spell")
	}
}
