package policy

import (
	"math"
	"time"

	"fawnglade/internal/classdelay"
	"fawnglade/internal/estimates"
	"fawnglade/internal/quota"
)

// Admission control: a request is admitted only if at least one endpoint is predicted to respond in time. Inputs are
// the predicted latency, the time remaining until the latency objective or the effective deadline, the success rate and
// priority weight of each class, and the tenant quotas.
//
// While requests are being given up, the latency budget (latencyBudget) shrinks for requests of a class with a higher
// success rate than the worst class, of a class with less priority weight per unit of work, and of a tenant over its
// quota. While all classes succeed, none of these rules applies. Requests are never queued: one that is not admitted is
// given up at once.
//
// See docs/design.md: "Admission: predicted in time", "Shedding load".

const (
	// worstClassWeightDisablingPriority is the Settings.WorstClassWeight at and above which the priority weight of a
	// class has no effect.
	worstClassWeightDisablingPriority = 0.4
	// minRelativePriority is the lower bound of a class's priority relative to the class with the highest priority.
	minRelativePriority = 0.01
	// retryAfterDivisor divides the latency objective to get the Retry-After of a rejection.
	retryAfterDivisor = 4
)

type admission struct {
	quotas quota.Quotas
	delays *classdelay.Tracker
}

// isInTime reports whether an endpoint is predicted to respond within the latency budget.
func (e *estimator) isInTime(c *criteria, ep *endpoint, work float64) bool {
	predicted := float64(e.predictLatency(ep, work*c.latencyFactor))
	return predicted+c.classDelayNanos <= c.budgetNanos
}

// latencyFactor returns the factor that predicted latencies are multiplied by. It is 1 while all requests succeed and
// rises to the class's LatencySpread as more requests of the worst class are given up: while there is spare capacity, a
// late response costs no other request.
func (b *Balancer) latencyFactor(req *request) float64 {
	spread := b.estimator.classes[req.Class].LatencySpread
	return min(spread, 1+(spread-1)*(1-b.estimator.worstSuccessRate()))
}

// latencyBudget returns the maximum predicted latency at which the request is admitted. It is the remaining time,
// multiplied by
//
//   - the success rate of the worst class divided by that of the request's class, so that classes with a higher success
//     rate leave capacity to the worst one;
//   - 1 - (1 - priority factor of the class) x (1 - success rate of the worst class), so that priority matters only to
//     the extent that requests are given up;
//   - for a request over its tenant's quota, the square of the success rate of the worst class, but at least
//     OverQuotaFraction, the relative value of such a request. The square makes it fall faster than the first factor
//     does for requests within their quota.
func (b *Balancer) latencyBudget(req *request, remaining time.Duration) time.Duration {
	class := &b.estimator.classes[req.Class]
	worstRate := b.estimator.worstSuccessRate()
	fraction := worstRate / class.SuccessRate * (1 - (1-class.PriorityFactor)*(1-worstRate))
	if req.overQuota {
		fraction *= max(worstRate*worstRate, b.settings.OverQuotaFraction)
	}
	return time.Duration(float64(remaining) * fraction)
}

// classDelay returns the delay, in nanoseconds, that requests of this class and tenant have at every endpoint. It
// returns 0 if the request may test whether the delay has ended: a single response in time ends it. At most one test
// per endpoint runs at a time, counted over all nodes.
func (b *Balancer) classDelay(now Time, req *request) float64 {
	delay := req.delayGroups.Delay(int64(now))
	if delay > 0 {
		trialTimeFraction := min(1, float64(len(b.endpoints.all))/float64(max(b.settings.NodeCount, 1)))
		if req.delayGroups.AllowsTrial(int64(now), trialTimeFraction) {
			return 0
		}
	}
	return delay
}

// updatePriorityFactors recalculates the priority factor of each class: its priority weight per unit of work relative
// to the highest one, raised to an exponent that falls from 1 to 0 as WorstClassWeight grows.
func (b *Balancer) updatePriorityFactors() {
	classes := b.estimator.classes
	highest := math.SmallestNonzeroFloat64
	for i := range classes {
		classes[i].PriorityFactor = b.priorityPerWork(&classes[i], &b.settings.Classes[i])
		highest = max(highest, classes[i].PriorityFactor)
	}
	preference := max(0, 1-b.settings.WorstClassWeight/worstClassWeightDisablingPriority)
	for i := range classes {
		classes[i].PriorityFactor = math.Pow(max(classes[i].PriorityFactor/highest, minRelativePriority), preference)
	}
}

// priorityPerWork returns the priority weight of a class per unit of work.
func (b *Balancer) priorityPerWork(classEstimates *estimates.ClassEstimates, class *Class) float64 {
	if b.settings.WeightByWork {
		return class.PriorityWeight
	}
	return class.PriorityWeight / max(classEstimates.TypicalWork, b.estimator.MeanWork*minWorkFraction, 1)
}

// retryAfter returns the Retry-After of a rejection; 0 means that none is sent, as where MaxRetryAfter is 0.
func (b *Balancer) retryAfter(class *Class) time.Duration {
	return min(b.settings.MaxRetryAfter, class.LatencyObjective/retryAfterDivisor)
}
