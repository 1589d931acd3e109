package policy

import (
	"math"
	"time"

	"fawnglade/internal/classdelay"
	"fawnglade/internal/estimates"
	"fawnglade/internal/quota"
)

// A request is admitted if an endpoint is predicted to answer it in time. Inputs: the predicted latency, the time left
// until the latency objective or the effective deadline, the success rate of each class, its priority weight, and the
// tenants' quotas. While requests are given up, those of a class that does better than the worst, of a class with less
// priority weight for its work, and of a tenant beyond its quota have to be answered in a part of the time that is left
// (latencyBudget). None of this acts while all classes succeed, and nothing is queued: a request that is not admitted
// is given up at once. docs/design.md: "Admission: predicted in time", "Shedding load".

const (
	// worstClassWeightDisablingPriority is the Settings.WorstClassWeight from which on the priority weight of a class gives
	// it no preference.
	worstClassWeightDisablingPriority = 0.4
	// minRelativePriority is the least that the priority of a class counts for, over that of the best one.
	minRelativePriority = 0.01
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

// latencyFactor is what a prediction is multiplied by: 1 while all requests succeed, up to the class's LatencySpread,
// the more requests of the worst class are given up. While there is capacity, a late answer costs no other request.
func (b *Balancer) latencyFactor(req *request) float64 {
	spread := b.estimator.classes[req.Class].LatencySpread
	return min(spread, 1+(spread-1)*(1-b.estimator.worstSuccessRate()))
}

// latencyBudget is the time that a prediction may take. It is the remaining time, multiplied by
//
//   - the success rate of the worst class over that of the request's class: a class that does better makes room;
//   - 1 - (1 - priority factor of the class) x (1 - success rate of the worst class), so that priority acts only as far
//     as requests are given up;
//   - for a request beyond its tenant's quota, the square of the success rate of the worst class, but no less than the
//     value that such a request has (OverQuotaFraction). The square, so that it falls faster than the first factor does
//     for requests within their quotas.
func (b *Balancer) latencyBudget(req *request, remaining time.Duration) time.Duration {
	class := &b.estimator.classes[req.Class]
	worst := b.estimator.worstSuccessRate()
	fraction := worst / class.SuccessRate * (1 - (1-class.PriorityFactor)*(1-worst))
	if req.overQuota {
		fraction *= max(worst*worst, b.settings.OverQuotaFraction)
	}
	return time.Duration(float64(remaining) * fraction)
}

// classDelay returns what the request's class and tenant wait at any endpoint, in nanoseconds. It is 0 where the
// request may test whether the delay is over: one answer in time ends it. All nodes together test with no more requests
// at a time than there are endpoints.
func (b *Balancer) classDelay(now Time, req *request) float64 {
	delay := req.delayGroups.Delay(int64(now))
	if delay > 0 {
		timeFraction := min(1, float64(len(b.endpoints.all))/float64(max(b.settings.NodeCount, 1)))
		if req.delayGroups.AllowsTrial(int64(now), timeFraction) {
			return 0
		}
	}
	return delay
}

// updatePriorityFactors calculates the priority factor of each class: its priority weight for its work, over that of
// the best class, to a power that falls from 1 to 0 as the worst class counts more for the operators.
func (b *Balancer) updatePriorityFactors() {
	classes := b.estimator.classes
	best := math.SmallestNonzeroFloat64
	for i := range classes {
		classes[i].PriorityFactor = b.priorityPerWork(&classes[i], &b.settings.Classes[i])
		best = max(best, classes[i].PriorityFactor)
	}
	preference := max(0, 1-b.settings.WorstClassWeight/worstClassWeightDisablingPriority)
	for i := range classes {
		classes[i].PriorityFactor = math.Pow(max(classes[i].PriorityFactor/best, minRelativePriority), preference)
	}
}

// priorityPerWork is the priority weight of a class for a unit of its work.
func (b *Balancer) priorityPerWork(learned *estimates.ClassEstimates, class *Class) float64 {
	if b.settings.WeightByWork {
		return class.PriorityWeight
	}
	return class.PriorityWeight / max(learned.TypicalWork, b.estimator.MeanWork*minWorkFraction, 1)
}

// retryAfter is the wait that a rejected client is advised; 0: none. MaxRetryAfter is 0 where none may be sent.
func (b *Balancer) retryAfter(class *Class) time.Duration {
	return min(b.settings.MaxRetryAfter, class.LatencyObjective/retryAfterDivisor)
}
