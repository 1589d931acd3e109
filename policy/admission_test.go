package policy

import (
	"testing"
	"time"
)

// allow is the time that a request with so much left may be predicted to take.
func (b *testFleet) budgetOf(t *request) time.Duration {
	return b.latencyBudget(t, t.effectiveDeadline.Sub(b.now))
}

func TestLatencyBudgetShrinksWithSuccessAboveWorstClass(t *testing.T) {
	b := newTestFleet(t, 2, nil)
	b.estimator.classes[0].SuccessRate, b.estimator.classes[1].SuccessRate = 0.2, 0.8
	starved, other := &request{effectiveDeadline: b.now + 400*ms}, &request{
		Request:           Request{Class: 1},
		effectiveDeadline: b.now + 400*ms,
	}
	if got := b.budgetOf(starved); got != 400*ms {
		t.Errorf("the starved class may take %d", got)
	}
	if got := b.budgetOf(other); got != 100*ms {
		t.Errorf("the other may take %d, want a quarter of 400 ms", got)
	}
}

func TestIdleClassDoesNotReduceOtherBudgets(t *testing.T) {
	b := newTestFleet(t, 2, nil)
	b.estimator.classes[0].SuccessRate = 0.01
	for range 40 {
		b.now += Time(tickInterval)
		b.tick()
	}
	if got := b.budgetOf(&request{Request: Request{Class: 1}, effectiveDeadline: b.now + 400*ms}); got < 380*ms {
		t.Errorf("another class may take %d of 400 ms", got)
	}
}

func TestHeavyRequestsDoNotCauseRejectionsOnIdleEndpoints(t *testing.T) {
	b := newTestFleet(t, 3, nil)
	n := 0
	b.serve(600, func(EndpointID) (Outcome, time.Duration) {
		if n++; n%12 == 0 {
			return OutcomeSucceeded, 490 * ms
		}
		return OutcomeSucceeded, 20 * ms
	})
	if b.rejected > 0 {
		t.Errorf("%d of 600 requests were rejected on idle endpoints for the heavy ones among them", b.rejected)
	}
}

func TestLatencySpreadDecaysWhileMostRequestsAreRejected(t *testing.T) {
	b := newTestFleet(t, 2, nil)
	b.estimator.classes[0].LatencySpread = 5
	for range 10 {
		b.serve(1, respondPromptly) // a request now and then must not keep the bound up while most are rejected
		b.estimator.classes[0].GivenUpCount = 2
		b.now += Time(tickInterval)
		b.tick()
	}
	if b.estimator.classes[0].LatencySpread > 2.5 {
		t.Errorf("the bound of an idle node is still %.1f of 5", b.estimator.classes[0].LatencySpread)
	}
	b.estimator.classes[0].LatencySpread = 3
	for range 10 {
		b.serve(1, respondPromptly)
		b.now += Time(tickInterval)
		b.tick()
	}
	if b.estimator.classes[0].LatencySpread < 2.5 {
		t.Errorf(
			"the bound of a node that mostly has nothing out fell to %.1f of 3", b.estimator.classes[0].LatencySpread,
		)
	}
}

func TestTenantOverQuotaIsShedFirst(t *testing.T) {
	b := newTestFleet(t, 2, func(s *Settings) { s.TenantShares, s.OverQuotaFraction = []float64{0.7, 0.3}, 0.2 })
	beyond := [2]int{}
	for i := range 1000 { // both ask for as much
		if b.admission.quotas.Exceeded(i%2, false) {
			beyond[i%2]++
		}
	}
	if beyond[0] > 20 || beyond[1] < 150 {
		t.Errorf("beyond their shares: %d of the one below it, %d of the one above", beyond[0], beyond[1])
	}
	b.estimator.classes[0].SuccessRate = 0.5
	within, over := &request{effectiveDeadline: b.now + 400*ms}, &request{
		effectiveDeadline: b.now + 400*ms,
		overQuota:         true,
	}
	if w, o := b.budgetOf(within), b.budgetOf(over); w != 400*ms || o != 100*ms {
		t.Errorf("with half rejected a request within may take %d, one beyond %d", w, o)
	}
}

// Guards against overload of work with hardly any priority weight holding up work with fifty times as much.
func TestLowPriorityClassGetsSmallerLatencyBudget(t *testing.T) {
	for worst, kept := range map[float64]time.Duration{0.2: 225, 0.4: 400} { // of 400 ms, with half rejected
		b := newTestFleet(t, 2, func(s *Settings) {
			s.WorstClassWeight, s.WeightByWork = worst, true
			s.Classes[0].PriorityWeight, s.Classes[1].PriorityWeight, s.Classes[2].PriorityWeight = 1, 4, 64
		})
		b.tick()
		if got := b.budgetOf(&request{effectiveDeadline: b.now + 400*ms}); got != 400*ms {
			t.Errorf("with nothing rejected it may take %d of 400 ms", got/ms)
		}
		for i := range b.estimator.classes {
			b.estimator.classes[i].SuccessRate = 0.5
		}
		if got := b.budgetOf(&request{effectiveDeadline: b.now + 400*ms}); got/ms != kept {
			t.Errorf("where the worst weighs %g it may take %d ms, want %d", worst, got/ms, kept)
		}
		if got := b.budgetOf(&request{Request: Request{Class: 2}, effectiveDeadline: b.now + 400*ms}); got != 400*ms {
			t.Errorf("the class with the highest priority weight may take %d of 400 ms", got/ms)
		}
	}
}
