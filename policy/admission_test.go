package policy

import (
	"testing"
	"time"
)

// budgetOf returns the latency budget of a request for the time until its effective deadline.
func (f *testFleet) budgetOf(req *request) time.Duration {
	return f.latencyBudget(req, req.effectiveDeadline.Sub(f.now))
}

func TestLatencyBudgetShrinksWithSuccessAboveWorstClass(t *testing.T) {
	fleet := newTestFleet(t, 2, nil)
	fleet.estimator.classes[0].SuccessRate, fleet.estimator.classes[1].SuccessRate = 0.2, 0.8
	worstClassRequest, betterClassRequest := &request{effectiveDeadline: fleet.now + 400*ms}, &request{
		Request:           Request{Class: 1},
		effectiveDeadline: fleet.now + 400*ms,
	}
	if got := fleet.budgetOf(worstClassRequest); got != 400*ms {
		t.Errorf("got latency budget %v for the worst class, want 400ms", got)
	}
	if got := fleet.budgetOf(betterClassRequest); got != 100*ms {
		t.Errorf("got latency budget %v for the class with the higher success rate, want 100ms", got)
	}
}

func TestIdleClassDoesNotReduceOtherBudgets(t *testing.T) {
	fleet := newTestFleet(t, 2, nil)
	fleet.estimator.classes[0].SuccessRate = 0.01
	for range 40 {
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if got := fleet.budgetOf(&request{Request: Request{Class: 1}, effectiveDeadline: fleet.now + 400*ms}); got < 380*ms {
		t.Errorf("got latency budget %v of 400ms with an idle class at success rate 0.01, want at least 380ms", got)
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
		t.Errorf("%d of 600 requests were rejected at idle endpoints because some were heavy, want 0", fleet.rejected)
	}
}

func TestLatencySpreadDecaysWhileMostRequestsAreRejected(t *testing.T) {
	fleet := newTestFleet(t, 2, nil)
	fleet.estimator.classes[0].LatencySpread = 5
	for range 10 {
		fleet.serve(1, respondPromptly) // an occasional response must not keep the spread high
		fleet.estimator.classes[0].GivenUpCount = 2
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if fleet.estimator.classes[0].LatencySpread > 2.5 {
		t.Errorf(
			"got latency spread %.1f after ten seconds of rejections, starting at 5, want at most 2.5",
			fleet.estimator.classes[0].LatencySpread,
		)
	}
	fleet.estimator.classes[0].LatencySpread = 3
	for range 10 {
		fleet.serve(1, respondPromptly)
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if fleet.estimator.classes[0].LatencySpread < 2.5 {
		t.Errorf(
			"got latency spread %.1f after ten seconds without rejections, starting at 3, want at least 2.5",
			fleet.estimator.classes[0].LatencySpread,
		)
	}
}

func TestTenantOverQuotaIsShedFirst(t *testing.T) {
	fleet := newTestFleet(t, 2, func(s *Settings) { s.TenantShares, s.OverQuotaFraction = []float64{0.7, 0.3}, 0.2 })
	exceeded := [2]int{}
	for i := range 1000 { // both tenants send the same number of requests
		if fleet.admission.quotas.Exceeded(i%2, false) {
			exceeded[i%2]++
		}
	}
	if exceeded[0] > 20 || exceeded[1] < 150 {
		t.Errorf(
			"got %d requests over quota for the tenant below its share, want at most 20; got %d for the other, want at least 150",
			exceeded[0], exceeded[1],
		)
	}
	fleet.estimator.classes[0].SuccessRate = 0.5
	within, over := &request{effectiveDeadline: fleet.now + 400*ms}, &request{
		effectiveDeadline: fleet.now + 400*ms,
		overQuota:         true,
	}
	if withinBudget, overBudget := fleet.budgetOf(within), fleet.budgetOf(over); withinBudget != 400*ms || overBudget != 100*ms {
		t.Errorf("got latency budget %v within quota and %v over quota, want 400ms and 100ms", withinBudget, overBudget)
	}
}

// Guards against an overload of requests with little priority weight delaying requests with many times as much.
func TestLowPriorityClassGetsSmallerLatencyBudget(t *testing.T) {
	// Wanted budgets of 400 ms, with half of the requests given up.
	for worstClassWeight, wantMs := range map[float64]time.Duration{0.2: 225, 0.4: 400} {
		fleet := newTestFleet(t, 2, func(settings *Settings) {
			settings.WorstClassWeight, settings.WeightByWork = worstClassWeight, true
			settings.Classes[0].PriorityWeight, settings.Classes[1].PriorityWeight, settings.Classes[2].PriorityWeight = 1, 4, 64
		})
		fleet.tick()
		if got := fleet.budgetOf(&request{effectiveDeadline: fleet.now + 400*ms}); got != 400*ms {
			t.Errorf("got latency budget %d ms with all requests answered, want 400 ms", got/ms)
		}
		for i := range fleet.estimator.classes {
			fleet.estimator.classes[i].SuccessRate = 0.5
		}
		if got := fleet.budgetOf(&request{effectiveDeadline: fleet.now + 400*ms}); got/ms != wantMs {
			t.Errorf("worst class weight %g: got latency budget %d ms, want %d ms", worstClassWeight, got/ms, wantMs)
		}
		if got := fleet.budgetOf(&request{Request: Request{Class: 2}, effectiveDeadline: fleet.now + 400*ms}); got != 400*ms {
			t.Errorf("got latency budget %d ms for the class with the highest priority weight, want 400 ms", got/ms)
		}
	}
}

// Guards against giving a request its full latency objective although it has waited on its connection.
func TestAgeCountsTowardsLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		sent bool
	}{{0, true}, {300 * ms, true}, {600 * ms, false}} {
		fleet := newTestFleet(t, 2, nil)
		fleet.serve(40, respondPromptly)
		fleet.timeouts = nil
		fleet.RequestArrived(fleet.now, Request{ID: "aged", Deadline: fleet.now + 1000*ms, Age: c.age})
		if sent := len(fleet.timeouts) == 1; sent != c.sent || fleet.rejected == 1 == c.sent {
			t.Errorf("age %v: sent %t, %d rejected, want sent %t", c.age, sent, fleet.rejected, c.sent)
		}
		if c.sent && fleet.timeouts[0] > 500*ms-c.age {
			t.Errorf("age %v: got a timeout of %v, want at most %v", c.age, fleet.timeouts[0], 500*ms-c.age)
		}
	}
}
