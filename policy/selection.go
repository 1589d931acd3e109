package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Selection draws the endpoint of an attempt at random. Candidates are the endpoints of the subset, and the affinity
// endpoints of the request's key, that the retry rules allow and that are predicted to respond in time. Each candidate
// has a weight w, its adjusted load, and is drawn with probability (1/w) / (sum of all 1/w). These are the paper's
// formulas 2 to 6 (section VIII.A; see the package comment) without its sorting, which does not change the
// probabilities. If a round finds no candidate, up to three more rounds with weaker criteria follow. Nothing is
// selected after the effective deadline of the request.
//
// See docs/design.md: "Selection, from the paper", "Rules that adjust w", "Candidates".

const (
	// selectionWindow is the maximum number of endpoints considered in the first rounds, which bounds the cost per
	// request in a large fleet.
	selectionWindow = 32
	// weightFloorDivisor divides the mean load to get the lower bound of w.
	weightFloorDivisor = 20
	// preferredWeightDivisor divides w of an endpoint that should nearly always be drawn: one in slow start with
	// credit, or an affinity endpoint. It is the product of the divisors of the lower bounds of load and slowness, so
	// that an endpoint with the mean load and usual latency gets the same w as one at both lower bounds.
	preferredWeightDivisor = weightFloorDivisor * weightFloorDivisor
	// settlingTime is the time since the first rise of the reported load after which a load below the mean is trusted.
	// Before, it counts as the mean load.
	settlingTime = 3 * recalculationInterval
	// otherZoneFactor multiplies w of an endpoint in another zone. Crossing zones takes time, but an overloaded zone
	// can still spill over. Half or twice the value made little difference (docs/design.md: "Figures of the rules").
	otherZoneFactor = 6
)

// selectionRound determines the criteria for candidates. In any round, an endpoint that is ejected for the class does
// not need to be predicted in time: it may be a candidate for a trial, or in the last round as a last resort
// (mayTryEjected).
type selectionRound int

const (
	roundByObjective selectionRound = iota // window; predicted in time for the latency objective
	roundByDeadline                        // window; predicted in time for the effective deadline
	roundWholeSubset                       // whole subset; predicted in time for the effective deadline
	roundLastResort                        // as before, plus well-measured ejected endpoints and the last one
	selectionRoundCount
)

// selector holds the candidates and weights of the current draw. Its memory is reused.
type selector struct {
	candidates []*endpoint
	weights    []float64
	reason     Reason // why the endpoint that came closest is not a candidate
}

// criteria are the conditions under which an endpoint is a candidate for a request in one round.
type criteria struct {
	now     Time
	request *request
	round   selectionRound
	work    float64 // of the request without affinity, in nanoseconds

	// A candidate is predicted in time if its latency for latencyFactor times the work, plus classDelayNanos, is within
	// budgetNanos.
	latencyFactor   float64
	classDelayNanos float64 // delay of the class and tenant at every endpoint
	budgetNanos     float64
	overQuota       bool      // the tenant is over its quota, which shortens the budget
	onlyActive      *endpoint // last round: the only active endpoint, which has no peers for comparison
}

// selectEndpoint returns the endpoint for the request's next attempt, or nil and the reason if there is none.
func (b *Balancer) selectEndpoint(now Time, req *request) (*endpoint, Reason) {
	switch {
	case now >= req.effectiveDeadline:
		return nil, ReasonDeadline
	case b.overload.shedsAll(now):
		return nil, ReasonShedAll
	}
	all, window := b.selectionPool(req)
	b.findAffinityEndpoints(now, req)
	c := b.criteriaFor(now, req)
	for c.round = range selectionRoundCount {
		answerBy, pool := req.effectiveDeadline, window
		if c.round == roundByObjective {
			answerBy = req.objectiveAt
		}
		if c.round >= roundWholeSubset {
			pool = all
		}
		if c.round == roundLastResort {
			c.onlyActive = onlyActiveEndpoint(all)
		}
		c.budgetNanos = float64(b.latencyBudget(req, answerBy.Sub(now)))
		b.findCandidates(&c, pool)
		if len(b.selector.candidates) > 0 {
			b.computeWeights(now, pool)
			return b.selector.draw(b.random), ReasonNone
		}
	}
	return nil, b.selector.reason
}

// criteriaFor returns the criteria for a request that are the same in all rounds.
func (b *Balancer) criteriaFor(now Time, req *request) criteria {
	return criteria{
		now:             now,
		request:         req,
		work:            b.estimator.expectedWork(req),
		latencyFactor:   b.latencyFactor(req),
		classDelayNanos: b.classDelay(now, req),
		overQuota:       req.overQuota && b.estimator.worstSuccessRate() < 1,
	}
}

// hasAlternative reports whether an endpoint other than that of the last attempt would be a candidate if that attempt
// ended now. It is called for idempotent requests with one attempt in flight. Endpoints of last resort do not count.
func (b *Balancer) hasAlternative(now Time, req *request) bool {
	if now >= req.effectiveDeadline || b.overload.shedsAll(now) || len(req.attempts) >= b.settings.MaxAttempts {
		return false
	}
	b.findAffinityEndpoints(now, req)
	c := b.criteriaFor(now, req)
	c.round = roundWholeSubset
	c.budgetNanos = float64(b.latencyBudget(req, req.effectiveDeadline.Sub(now)))
	isAlternative := func(ep *endpoint) bool {
		return ep.State == StateActive && ep != req.lastEndpoint() && b.unavailableReason(&c, ep) == ReasonNone
	}
	return slices.ContainsFunc(b.subset.members, isAlternative) || slices.ContainsFunc(b.affinity.preferred, isAlternative)
}

// selectionPool returns the endpoints that may be selected for the request, and the window of them that the first
// rounds consider. A window is a range of neighbors by rank; rank is independent of load. A retry of a request that is
// idempotent by key may go to any endpoint, since its deduplication group may lie outside the subset.
func (b *Balancer) selectionPool(req *request) (all, window []*endpoint) {
	if len(req.attempts) > 0 && req.classSettings.Idempotency == IdempotentByKey {
		return b.endpoints.all, b.endpoints.all
	}
	all = b.subset.members
	if len(all) <= selectionWindow {
		return all, all
	}
	first := b.random.IntN(len(all) - selectionWindow + 1)
	return all, all[first : first+selectionWindow]
}

func (b *Balancer) findCandidates(c *criteria, pool []*endpoint) {
	s := &b.selector
	s.candidates = s.candidates[:0]
	s.reason = ReasonNoEndpoint
	for _, ep := range pool {
		b.considerCandidate(c, ep)
	}
	for _, ep := range b.affinity.preferred {
		if !slices.Contains(s.candidates, ep) {
			b.considerCandidate(c, ep)
		}
	}
}

func (b *Balancer) considerCandidate(c *criteria, ep *endpoint) {
	reason := b.exclusionReason(c, ep)
	if reason == ReasonNone {
		b.selector.candidates = append(b.selector.candidates, ep)
	}
	b.selector.reason = max(b.selector.reason, reason)
}

// exclusionReason returns why an endpoint is not a candidate: the retry rules forbid it, or it is not expected to
// respond in time. It returns ReasonNone for a candidate.
func (b *Balancer) exclusionReason(c *criteria, ep *endpoint) Reason {
	if reason := b.forbiddenReason(c.now, c.request, ep); reason != ReasonNone {
		return reason
	}
	if c.request.lastEndpoint() == ep && (c.round != roundLastResort || !c.request.mayReuseLastEndpoint()) {
		return ReasonLastTried
	}
	return b.unavailableReason(c, ep)
}

// unavailableReason returns why an endpoint is not expected to respond in time, regardless of the earlier attempts of
// the request. The prediction is not applied to an ejected endpoint, since the cause of the ejection may also have
// raised it.
func (b *Balancer) unavailableReason(c *criteria, ep *endpoint) Reason {
	if c.now < ep.backoffUntil {
		return ReasonBackoff
	}
	if ep.slowStartCredit < 1 && b.slowStart.capacity(c.now, ep) < 1 {
		return ReasonSlowStart
	}
	work := c.work * b.affinity.workFactor(ep)
	isSilent := b.estimator.isSilent(c.now, ep, work) && (ep != c.onlyActive || !b.estimator.hasUsualInFlight(ep))
	if health := &ep.health[c.request.Class]; health.ejected && ep != c.onlyActive {
		if b.mayTryEjected(c, ep, health) && !isSilent {
			return ReasonNone
		}
		return ReasonEjected
	}
	switch {
	case isSilent:
		return ReasonSilent
	case b.estimator.isInTime(c, ep, work):
		return ReasonNone
	case c.overQuota:
		return ReasonOverQuota
	default:
		return ReasonNotInTime
	}
}

// lastEndpoint returns the endpoint of the last attempt, or nil before the first one. The next attempt goes to it only
// as a last resort (mayReuseLastEndpoint).
func (req *request) lastEndpoint() *endpoint {
	if len(req.attempts) == 0 {
		return nil
	}
	return req.attempts[len(req.attempts)-1].endpoint
}

// computeWeights calculates w of the candidates, relative to the mean load of the pool that they were taken from.
func (b *Balancer) computeWeights(now Time, pool []*endpoint) {
	mean := meanLoad(pool)
	s := &b.selector
	s.weights = s.weights[:0]
	for _, ep := range s.candidates {
		s.weights = append(s.weights, b.weight(now, ep, mean))
	}
}

// weight returns w of an endpoint; the endpoints with the lowest w are drawn most often. It is the product of
//
//	load          its load, at least a twentieth of the mean; at least the mean until its reports are trusted
//	slowness²     its latency per unit of work relative to the fleet's; the square is at least a twentieth
//	1/size        where the endpoint list contains sizes
//	1/400         in slow start; only an endpoint with credit is a candidate
//	1/400         for an affinity endpoint of the request's key
//	(1+n)²        n: attempts of this node in flight there
//	6             in another zone
func (b *Balancer) weight(now Time, ep *endpoint, meanLoad float64) float64 {
	w := max(ep.Load, meanLoad/weightFloorDivisor)
	if ep.isLoadSettling(now) {
		w = max(w, meanLoad)
	}
	// Load reports do not show that an endpoint is slow. Slowness is squared because a slow endpoint would still
	// respond too late if it got requests in proportion to its speed.
	slowness := ep.podLatency.MeanRatio() * ep.Latency.MeanRatio()
	w *= max(slowness*slowness, 1.0/weightFloorDivisor)
	if b.settings.WeightIsSize && ep.Weight > 0 {
		w /= ep.Weight
	}
	if b.slowStart.capacity(now, ep) < 1 {
		w /= preferredWeightDivisor // its load alone would rarely select it, and it would not warm up
	}
	if ep.hasAffinity {
		w /= preferredWeightDivisor
	}
	// Prevents all requests from going to one endpoint between two of its reports, or to a single affinity endpoint.
	w *= (1 + float64(ep.inFlight)) * (1 + float64(ep.inFlight))
	if ep.Zone != b.settings.Zone {
		w *= otherZoneFactor
	}
	return w
}

// draw returns a candidate with a probability proportional to 1/w.
func (s *selector) draw(random *rand.Rand) *endpoint {
	sum := 0.0
	for _, w := range s.weights {
		sum += 1 / w
	}
	remaining := random.Float64() * sum
	for i, w := range s.weights {
		remaining -= 1 / w
		if remaining < 0 {
			return s.candidates[i]
		}
	}
	return s.candidates[len(s.candidates)-1]
}

// meanLoad returns the mean load of the endpoints that have sent a report; 1 if none has, or if all are idle.
func meanLoad(endpoints []*endpoint) float64 {
	sum, reporting := 0.0, 0.0
	for _, ep := range endpoints {
		if ep.HasReport {
			sum += ep.Load
			reporting++
		}
	}
	return cmp.Or(sum/max(reporting, 1), 1)
}

// isLoadSettling reports whether a low load of an endpoint cannot be trusted yet, since its reported load has not risen
// for the first time or only recently.
func (ep *endpoint) isLoadSettling(now Time) bool {
	return !ep.HasReport || ep.firstRiseAt == 0 || now.Sub(ep.firstRiseAt) < settlingTime
}
