package policy

import (
	"testing"
	"time"
)

// allow is the time that a request with so much left may be predicted to take.
func (f *testFleet) remainingLatencyBudget(req *request) time.Duration {
	return f.latencyBudget(req, req.effectiveDeadline.Sub(f.now))
}

func TestLatencyBudgetShrinksWithSuccessAboveWorstClass(t *testing.T) {
	fleet := newTestFleet(t, 2, nil)
	fleet.estimator.classes[0].SuccessRate, fleet.estimator.classes[1].SuccessRate = 0.2, 0.8
	worstClassRequest, betterClassRequest := &request{effectiveDeadline: fleet.now + 400*ms}, &request{
		Request:           Request{Class: 1},
		effectiveDeadline: fleet.now + 400*ms,
	}
	if got := fleet.remainingLatencyBudget(worstClassRequest); got != 400*ms {
		t.Errorf("the starved class may take %d", got)
	}
	if got := fleet.remainingLatencyBudget(betterClassRequest); got != 100*ms {
		t.Errorf("the other may take %d, want a quarter of 400 ms", got)
	}
}

func TestIdleClassDoesNotReduceOtherBudgets(t *testing.T) {
	fleet := newTestFleet(t, 2, nil)
	fleet.estimator.classes[0].SuccessRate = 0.01
	for range 40 {
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if got := fleet.remainingLatencyBudget(&request{Request: Request{Class: 1}, effectiveDeadline: fleet.now + 400*ms}); got < 380*ms {
		t.Errorf("another class may take %d of 400 ms", got)
	}
}

func TestHeavyRequestsDoNotCauseRejectionsOnIdleEndpoints(t *testing.T) {
	fleet := newTestFleet(t, 3, nil)
	served := 0
	fleet.serve(600, func(EndpointID) (Outcome, time.Duration) {
		if served++; served%12 == 0 {
			return OutcomeSucceeded, 490 * ms
		}
		return OutcomeSucceeded, 20 * ms
	})
	if fleet.rejected > 0 {
		t.Errorf("%d of 600 requests were rejected on idle endpoints for the heavy ones among them", fleet.rejected)
	}
}

func TestLatencySpreadDecaysWhileMostRequestsAreRejected(t *testing.T) {
	fleet := newTestFleet(t, 2, nil)
	fleet.estimator.classes[0].LatencySpread = 5
	for range 10 {
		fleet.serve(1, respondPromptly) // a request now and then must not keep the bound up while most are rejected
		fleet.estimator.classes[0].GivenUpCount = 2
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if fleet.estimator.classes[0].LatencySpread > 2.5 {
		t.Errorf("the bound of an idle node is still %.1f of 5", fleet.estimator.classes[0].LatencySpread)
	}
	fleet.estimator.classes[0].LatencySpread = 3
	for range 10 {
		fleet.serve(1, respondPromptly)
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if fleet.estimator.classes[0].LatencySpread < 2.5 {
		t.Errorf(
			"the bound of a node that mostly has nothing out fell to %.1f of 3", fleet.estimator.classes[0].LatencySpread,
		)
	}
}

func TestTenantOverQuotaIsShedFirst(t *testing.T) {
	fleet := newTestFleet(t, 2, func(s *Settings) { s.TenantShares, s.OverQuotaFraction = []float64{0.7, 0.3}, 0.2 })
	exceeded := [2]int{}
	for tenant := range 1000 { // both ask for as much
		if fleet.admission.quotas.Exceeded(tenant%2, false) {
			exceeded[tenant%2]++
		}
	}
	if exceeded[0] > 20 || exceeded[1] < 150 {
		t.Errorf("beyond their shares: %d of the one below it, %d of the one above", exceeded[0], exceeded[1])
	}
	fleet.estimator.classes[0].SuccessRate = 0.5
	within, over := &request{effectiveDeadline: fleet.now + 400*ms}, &request{
		effectiveDeadline: fleet.now + 400*ms,
		overQuota:         true,
	}
	if withinBudget, overBudget := fleet.remainingLatencyBudget(within), fleet.remainingLatencyBudget(over); withinBudget != 400*ms || overBudget != 100*ms {
		t.Errorf("with half rejected a request within may take %d, one beyond %d", withinBudget, overBudget)
	}
}

// Guards against overload of work with hardly any priority weight holding up work with fifty times as much.
func TestLowPriorityClassGetsSmallerLatencyBudget(t *testing.T) {
	for worstClassWeight, wantMs := range map[float64]time.Duration{0.2: 225, 0.4: 400} { // of 400 ms, with half rejected
		fleet := newTestFleet(t, 2, func(settings *Settings) {
			settings.WorstClassWeight, settings.WeightByWork = worstClassWeight, true
			settings.Classes[0].PriorityWeight, settings.Classes[1].PriorityWeight, settings.Classes[2].PriorityWeight = 1, 4, 64
		})
		fleet.tick()
		if got := fleet.remainingLatencyBudget(&request{effectiveDeadline: fleet.now + 400*ms}); got != 400*ms {
			t.Errorf("with nothing rejected it may take %d of 400 ms", got/ms)
		}
		for i := range fleet.estimator.classes {
			fleet.estimator.classes[i].SuccessRate = 0.5
		}
		if got := fleet.remainingLatencyBudget(&request{effectiveDeadline: fleet.now + 400*ms}); got/ms != wantMs {
			t.Errorf("where the worst weighs %g it may take %d ms, want %d", worstClassWeight, got/ms, wantMs)
		}
		if got := fleet.remainingLatencyBudget(&request{Request: Request{Class: 2}, effectiveDeadline: fleet.now + 400*ms}); got != 400*ms {
			t.Errorf("the class with the highest priority weight may take %d of 400 ms", got/ms)
		}
	}
}
