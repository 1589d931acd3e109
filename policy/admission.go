package policy

import (
	"fawnglade/internal/classdelay"
	"fawnglade/internal/estimates"
	"fawnglade/internal/quota"
	"math"
	"time"
)

// A request is admitted if an endpoint is predicted to answer it in time. Inputs: the predicted latency, the time left
// until the latency objective or the effective deadline, the success rate of each class, its priority weight, and the
// tenants' quotas. While requests are rejected, those of a class that does better than the worst, of a class that earns
// less for its work, and of a tenant beyond its quota have to be answered in a part of the time that is left. None of
// this acts while all classes succeed, and nothing is queued: a request that is not admitted is rejected at once.
// docs/design.md: "Admission: predicted in time", "Shedding load".

const (
	// evenWorstClassWeight is the Settings.WorstClassWeight from which on what a class earns gives it no preference.
	evenWorstClassWeight = 0.4
	// minRelativeEarnings is the least that a class earns in the comparison, over what the best one earns.
	minRelativeEarnings = 0.01
	// retryAfterDivisor: the advised wait of a rejection is the latency objective over this.
	retryAfterDivisor = 4
)

type admission struct {
	quotas quota.Quotas
	delays *classdelay.Tracker
}

// isInTime reports whether an endpoint is predicted to answer within the budget.
func (e *estimator) isInTime(c *criteria, ep *endpoint, work float64) bool {
	predicted := float64(e.predictLatency(ep, work*c.latencyFactor))
	return predicted+c.classDelayNanos <= c.budgetNanos
}

// latencyFactor is the quantile of answers over their predictions that a prediction is raised by. It is a high one only
// as far as requests are rejected: while there is capacity, a late answer costs no other request.
func (b *Balancer) latencyFactor(req *request) float64 {
	spread := b.estimator.classes[req.Class].LatencySpread
	return min(spread, 1+(spread-1)*(1-b.estimator.worstSuccessRate()))
}

// latencyBudget is the part of the remaining time that a prediction may take.
func (b *Balancer) latencyBudget(req *request, remaining time.Duration) time.Duration {
	class := &b.estimator.classes[req.Class]
	worst := b.estimator.worstSuccessRate()
	fraction := worst / class.SuccessRate * (1 - (1-class.KeptShare)*(1-worst))
	if req.overQuota {
		fraction *= max(worst*worst, b.settings.OverQuotaFraction)
	}
	return time.Duration(float64(remaining) * fraction)
}

// classDelay returns what the request's class and tenant wait at any endpoint, in nanoseconds. It is taken for none
// where the delay may be tried anew: one answer in time ends it. All nodes together try with no more requests at a time
// than there are endpoints.
func (b *Balancer) classDelay(now Time, req *request) float64 {
	delay := req.delays.Delay(int64(now))
	if delay > 0 {
		timeFraction := min(1, float64(len(b.endpoints.all))/float64(max(b.settings.NodeCount, 1)))
		if req.delays.MayTry(int64(now), timeFraction) {
			return 0
		}
	}
	return delay
}

// updateKeptShares works out which part of its time each class keeps while requests are rejected: what its work earns
// over what that of the best class earns, the less so the more the worst class counts for the operators.
func (b *Balancer) updateKeptShares() {
	classes := b.estimator.classes
	best := math.SmallestNonzeroFloat64
	for i := range classes {
		classes[i].KeptShare = b.earningsPerWork(&classes[i], &b.settings.Classes[i])
		best = max(best, classes[i].KeptShare)
	}
	preference := max(0, 1-b.settings.WorstClassWeight/evenWorstClassWeight)
	for i := range classes {
		classes[i].KeptShare = math.Pow(max(classes[i].KeptShare/best, minRelativeEarnings), preference)
	}
}

func (b *Balancer) earningsPerWork(learned *estimates.ClassEstimates, class *Class) float64 {
	if b.settings.WeightByWork {
		return class.PriorityWeight
	}
	return class.PriorityWeight / max(learned.TypicalWork, b.estimator.MeanWork*minWorkFraction, 1)
}

// retryAfter is the wait that a rejected client is advised; 0: none.
func (b *Balancer) retryAfter(class *Class) time.Duration {
	return min(b.settings.MaxRetryAfter, class.LatencyObjective/retryAfterDivisor)
}
