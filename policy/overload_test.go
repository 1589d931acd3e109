package policy

import (
	"testing"
	"time"
)

// Guards against an overload that ends only after the endpoints have had no load for a while. In a long overload a node
// gives up all requests for a while, once. A short overload, such as a burst, has no effect.
func TestLongOverloadShedsAllRequestsOnce(t *testing.T) {
	fleet := newTestFleet(t, 4, func(s *Settings) { s.ReportsUtilization = true })
	fleet.serve(40, respondPromptly)
	for range 40 { // slow for a long time, but without rejections
		fleet.estimator.Fleet.FirstSum, fleet.estimator.Fleet.Weight = 400, 40
		fleet.now += Time(tickInterval)
		if fleet.tick(); fleet.overload.shedAllUntil > 0 {
			t.Fatal("got all requests shed while none was rejected, want no shedding")
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
				t.Fatalf("got all requests shed after %d s of overload, want this only after a longer overload", second+1)
			}
			if fleet.rejected = 0; fleet.arrive(0) == "" || fleet.rejected != 1 {
				t.Error("got a request sent while all are shed, want it rejected")
			}
		}
	}
	if shedSeconds != int(shedAllDuration/tickInterval) {
		t.Errorf(
			"got %d s of shedding all requests in one overload, want %d", shedSeconds, shedAllDuration/tickInterval,
		)
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
	tick(overloadedLatencyRatio-0.1, overloadedSuccessRate) // the overload ends
	for range overloadedSecondsToShedAll - 1 {
		tick(overloadedLatencyRatio, overloadedSuccessRate)
		if guard.shedsAll(now) {
			t.Fatal("got all requests shed before the second overload was long enough, want no shedding yet")
		}
	}
	tick(overloadedLatencyRatio, overloadedSuccessRate)
	if !guard.shedsAll(now.Add(shedAllDuration-1)) || guard.shedsAll(now.Add(shedAllDuration)) {
		t.Errorf("got requests shed until %d ns at %d ns, want them shed for shedAllDuration", guard.shedAllUntil, now)
	}
	firstShedAllUntil := guard.shedAllUntil
	for range 3 * overloadedSecondsToShedAll {
		tick(overloadedLatencyRatio, overloadedSuccessRate)
	}
	if guard.shedAllUntil != firstShedAllUntil {
		t.Error("got all requests shed twice in one overload, want once")
	}
}
