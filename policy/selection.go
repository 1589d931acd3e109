package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Selection draws the endpoint of an attempt. The candidates are the endpoints of the subset, and the homes of the
// request's key, that the request may go to and that are expected to answer in time. Each has a weight w, its load with
// some adjustments, and is drawn with a chance of (1/w) over the sum of all 1/w: the paper's formulas 2 to 6 (section
// VIII.A; the package comment names the paper), without its sorting, which changes no chance. Where there is no
// candidate, up to three further rounds ask for less. Nothing is drawn after the request's effective deadline.
// docs/design.md: "Selection, from the paper", "Rules that adjust w", "Candidates".

const (
	// selectionWindow bounds the endpoints that are weighed, so that a request costs no more in a large fleet.
	selectionWindow = 32
	// weightFloorDivisor: w is at least the mean load over this.
	weightFloorDivisor = 20
	// preferredWeightDivisor divides w where the endpoint should be drawn nearly always: in slow start with credit, and at
	// the home of the key. It is the product of the floors of load and slowness, so an endpoint with the mean load and
	// the usual latency gets the w of one at both floors.
	preferredWeightDivisor = weightFloorDivisor * weightFloorDivisor
	// settlingTime is how long ago the reports of an endpoint have to have risen first: until then a load below the
	// mean is taken for the mean.
	settlingTime = 3 * recalculationInterval
	// otherZoneFactor multiplies w of an endpoint in another zone: crossing costs time, but a zone that is overloaded
	// still spills over. Half of it or twice as much made little difference (docs/design.md: "Figures of the rules").
	otherZoneFactor = 6
)

// selectionRound says how much is asked of a candidate. An endpoint that is ejected for the class is not held to the
// prediction in any round: it is a candidate for a trial, or in the last round as a last resort (mayTryEjected).
type selectionRound int

const (
	roundByObjective selectionRound = iota // predicted in time for the latency objective, of the window
	roundByDeadline                        // predicted in time for the effective deadline, of the window
	roundWholeSubset                       // the same, of the complete subset
	roundLastResort                        // the same, ejected endpoints that this node knows well, and the last one again
	selectionRoundCount
)

// selector holds the candidates of the draw at hand and their weights; its memory is used again.
type selector struct {
	candidates []*endpoint
	weights    []float64
	reason     Reason // why the endpoint that came closest is no candidate
}

// criteria is what makes an endpoint a candidate for a request in one round.
type criteria struct {
	now     Time
	request *request
	round   selectionRound
	work    float64 // of the request where its key is not at home, in nanoseconds

	// A candidate's predicted latency, for latencyFactor times the work, and classDelayNanos end within the budget.
	latencyFactor   float64
	classDelayNanos float64 // what the class and the tenant wait at any endpoint
	budgetNanos     float64
	overQuota       bool      // the tenant is over its quota, and that shortens the budget
	onlyActive      *endpoint // in the last round: the only active one, which has no peers to be judged by; nil: none
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
		answerBy, from := req.effectiveDeadline, window
		if c.round == roundByObjective {
			answerBy = req.objectiveAt
		}
		if c.round >= roundWholeSubset {
			from = all
		}
		if c.round == roundLastResort {
			c.onlyActive = onlyActiveEndpoint(all)
		}
		c.budgetNanos = float64(b.latencyBudget(req, answerBy.Sub(now)))
		b.findCandidates(&c, from)
		if len(b.selector.candidates) > 0 {
			b.computeWeights(now, from)
			return b.selector.draw(b.random), ReasonNone
		}
	}
	return nil, b.selector.reason
}

// criteriaFor returns what all rounds share of the criteria for a request.
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

// hasAlternative reports whether an endpoint other than that of the request's last attempt would be a candidate if that
// attempt ended now. It is asked for idempotent requests with one attempt in flight. Endpoints of last resort are none.
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

// selectionPool returns the endpoints that the request is drawn from, and the window of them that the first rounds
// weigh. A window is a run of neighbors by rank, which says nothing of their load. A retry that is idempotent by key is
// drawn from all endpoints, as its deduplication group may lie outside the subset.
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

func (b *Balancer) findCandidates(c *criteria, from []*endpoint) {
	s := &b.selector
	s.candidates = s.candidates[:0]
	s.reason = ReasonNoEndpoint
	for _, ep := range from {
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

// exclusion returns why an endpoint is no candidate: the rules do not let the request go to it, or it is not expected to
// answer in time. ReasonNone: it is one.
func (b *Balancer) exclusionReason(c *criteria, ep *endpoint) Reason {
	if reason := b.forbiddenReason(c.now, c.request, ep); reason != ReasonNone {
		return reason
	}
	if c.request.lastEndpoint() == ep && (c.round != roundLastResort || !c.request.mayReuseLastEndpoint()) {
		return ReasonLastTried
	}
	return b.unavailableReason(c, ep)
}

// unpromising returns why an endpoint is not expected to answer in time, whatever the earlier attempts of the request.
// An ejected endpoint is held to no prediction, as what is predicted of it may be what ejected it.
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

// lastEndpoint returns the endpoint of the last attempt, to which the next one goes as a last resort only (mayReuseLastEndpoint); nil
// before the first.
func (req *request) lastEndpoint() *endpoint {
	if len(req.attempts) == 0 {
		return nil
	}
	return req.attempts[len(req.attempts)-1].endpoint
}

// computeWeights works out w of the candidates, against the mean load of the endpoints that they were taken from.
func (b *Balancer) computeWeights(now Time, from []*endpoint) {
	mean := meanLoad(from)
	s := &b.selector
	s.weights = s.weights[:0]
	for _, ep := range s.candidates {
		s.weights = append(s.weights, b.weight(now, ep, mean))
	}
}

// weight returns w, the cost of drawing an endpoint; the lowest are drawn most often. It is the product of
//
//	load          its load, at least a twentieth of the mean; at least the mean until its reports are trusted
//	slowness²     its latency for each unit of work over that of the fleet; the square is at least a twentieth
//	1/size        where the endpoint list states sizes
//	1/400         in slow start; only one with credit is a candidate
//	1/400         at a home of the request's key
//	(1+n)²        n: attempts of this node in flight there
//	6             in another zone
func (b *Balancer) weight(now Time, ep *endpoint, meanLoad float64) float64 {
	w := max(ep.Load, meanLoad/weightFloorDivisor)
	if ep.isLoadSettling(now) {
		w = max(w, meanLoad)
	}
	// Load reports do not show that an endpoint is slow. The square, as a slow one that gets its part by speed would
	// still answer too late.
	slowness := ep.podLatency.MeanRatio() * ep.Latency.MeanRatio()
	w *= max(slowness*slowness, 1.0/weightFloorDivisor)
	if b.settings.WeightIsSize && ep.Weight > 0 {
		w /= ep.Weight
	}
	if b.slowStart.capacity(now, ep) < 1 {
		w /= preferredWeightDivisor // by its load it would hardly be drawn, and so not warm up
	}
	if ep.hasAffinity {
		w /= preferredWeightDivisor
	}
	// Guards against all requests going to one endpoint between two of its reports, or to the home of a key.
	w *= (1 + float64(ep.inFlight)) * (1 + float64(ep.inFlight))
	if ep.Zone != b.settings.Zone {
		w *= otherZoneFactor
	}
	return w
}

// draw returns a candidate with a chance proportional to 1/w.
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

// meanLoad is the mean load of the endpoints that have sent a report; 1 if none has, or all are idle.
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

// isLoadSettling reports whether an endpoint has not sent reports long enough to trust a low one.
func (ep *endpoint) isLoadSettling(now Time) bool {
	return !ep.HasReport || ep.firstRiseAt == 0 || now.Sub(ep.firstRiseAt) < settlingTime
}
