package policy

import (
	"slices"
	"time"
)

// An endpoint that fails much of one class is ejected for that class. Inputs: the failure rate of the endpoint in the
// class and that of all endpoints, both exponentially weighted averages from 0 to 1, and messages of other nodes.
//
//   - Ejection: above a failure rate of a quarter, and above twice the rate of all endpoints: where everything fails
//     together, no endpoint is an outlier.
//   - Trial: after half a second, which doubles up to four seconds with each failure, one idempotent request at a time
//     may go to an ejected endpoint, whatever latency is predicted; one that may not be repeated much later, so that
//     all nodes together try an endpoint with one in maxEjectionTime at most.
//   - Return: when its failure rate is under half of the limit.
//   - Gossip: messages of other nodes that it fails the class are votes. Three eject it where this node has seen
//     nothing itself, or failures. Its failure rate is then at least twice the ejection rate, so that it returns after
//     some successes only, and its first trial follows after a second.
//   - Last resort: where there is no other candidate, an ejected endpoint is used for any class, if this node knows it
//     well and has nothing in flight there; from its trial time on, nothing of the class. The only active endpoint
//     counts as not ejected.
//   - Backoff: an endpoint that rejects an attempt, or takes no connection, gets nothing for a time that doubles. This
//     is no ejection, and holds for all classes.
//
// docs/design.md: "Outliers", "Gossip".

const (
	// ejectionFailureRate is the failure rate above which an endpoint may be ejected.
	ejectionFailureRate = 0.25
	// outlierFactor is how many times the failure rate of all endpoints makes an outlier.
	outlierFactor = 2
	// reinstatementFactor is the part of the limit under which an ejected endpoint is back.
	reinstatementFactor = 0.5
	// maxHealthyFailureRate is the failure rate up to which an endpoint that this node has used is not ejected by votes.
	maxHealthyFailureRate = ejectionFailureRate / 2
	// gossipFailureRate is the failure rate that votes raise an endpoint to at least.
	gossipFailureRate = 2 * ejectionFailureRate
	// fleetSmoothingFactor is the part of an attempt in the failure rate of all endpoints.
	fleetSmoothingFactor = smoothingFactor / 2

	minEjectionTime = time.Second / 2
	maxEjectionTime = 4 * time.Second
	// maxHealthSamples bounds classHealth.samples.
	maxHealthSamples = 2 / smoothingFactor
	// gossipVotesToEject is how many votes, within about two seconds, eject an endpoint; one may be about a single
	// error.
	gossipVotesToEject = 3
	// gossipEjectionTime is the time from an ejection by votes to the first trial.
	gossipEjectionTime = time.Second
	// gossipDecayPerSecond is the part of the votes that still counts a second later.
	gossipDecayPerSecond = 0.5

	// maxRejectionBackoff is for an endpoint without recent answers; the more there are, the shorter.
	maxRejectionBackoff = time.Second
	// maxRejectionsInARow bounds the doubling of the backoff.
	maxRejectionsInARow = 6
)

// outlierDetector judges endpoints against all others.
type outlierDetector struct {
	fleetFailureRate float64 // exponentially weighted average over the attempts at all endpoints
}

// limit is the failure rate above which an endpoint is ejected.
func (d *outlierDetector) ejectionThreshold() float64 {
	return max(ejectionFailureRate, outlierFactor*d.fleetFailureRate)
}

// record judges an endpoint in one class by the end of an attempt: failure is 1 or 0, rate its part in the average.
func (d *outlierDetector) record(now Time, health *classHealth, failure, rate float64) {
	health.samples = min(health.samples+1, maxHealthSamples)
	health.failureRate += (failure - health.failureRate) * rate
	d.fleetFailureRate += (failure - d.fleetFailureRate) * fleetSmoothingFactor
	limit := d.ejectionThreshold()
	switch {
	case failure > 0 && (health.ejected || health.failureRate > limit):
		health.ejected = true
		health.ejectionTime = min(max(2*health.ejectionTime, minEjectionTime), maxEjectionTime)
		health.nextTrialAt = now.Add(health.ejectionTime)
	case health.ejected && health.failureRate < limit*reinstatementFactor:
		health.ejected = false
		health.ejectionTime = 0
	}
}

// updateHealth judges the endpoint of an attempt in the class of its request.
func (b *Balancer) updateHealth(now Time, ep *endpoint, req *request, failed bool, outcome Outcome) {
	health := &ep.health[req.Class]
	rate, failure := smoothingFactor, 0.0
	if failed {
		failure = 1
	}
	if !failed || outcome == OutcomeError {
		// An endpoint with few samples is judged by these few.
		rate = max(smoothingFactor, 1/(health.samples+2))
	}
	b.outliers.record(now, health, failure, rate)
}

// applyGossip counts the vote of another node that the endpoint fails the class. What this node saw itself goes first.
// The ejection time stays as it is: only failures at this node double it.
func (h *classHealth) applyGossip(now Time) {
	h.gossipVotes++
	sawItWork := h.samples >= 1 && h.failureRate <= maxHealthyFailureRate
	if h.gossipVotes < gossipVotesToEject || h.ejected || sawItWork {
		return
	}
	h.ejected = true
	h.failureRate = max(h.failureRate, gossipFailureRate)
	h.nextTrialAt = now.Add(gossipEjectionTime)
}

// mayTryEjected reports whether an endpoint that is ejected for the request's class may get the request all the same:
// as a trial in any round, or as a last resort in the last one, with nothing in flight there; from its trial time on
// the last resort asks for nothing of the class alone. Neither asks for a prediction in time.
func (b *Balancer) mayTryEjected(c *criteria, ep *endpoint, health *classHealth) bool {
	if health.inFlight > 0 {
		return false
	}
	isLastResort := c.round == roundLastResort && ep.isWellMeasured()
	if ep.inFlight > 0 {
		// Guards against a class that is out for ever while other classes keep its endpoints busy.
		return isLastResort && c.now >= health.nextTrialAt
	}
	// Guards against a cascade: pauses eject endpoints one by one, and the rest, asked for too much, times out too.
	if isLastResort {
		return true
	}
	wait := time.Duration(0)
	if c.request.classSettings.Idempotency != Idempotent {
		// Guards against an endpoint that is out for ever for a class that may not be retried. All nodes together try an
		// endpoint with one such request in maxEjectionTime at most, as a failure reaches its client.
		wait = maxEjectionTime * time.Duration(max(b.settings.NodeCount, 1))
	}
	return c.now >= health.nextTrialAt.Add(wait)
}

// onlyActiveEndpoint returns the only active endpoint among some; nil if there are several, or none. Guards against a class
// being given up because of an endpoint that has no peers to be told apart from.
func onlyActiveEndpoint(endpoints []*endpoint) *endpoint {
	var only *endpoint
	for _, ep := range endpoints {
		if ep.State != StateActive {
			continue
		}
		if only != nil {
			return nil
		}
		only = ep
	}
	return only
}

// isWellMeasured reports whether this node had many answers from an endpoint lately.
func (ep *endpoint) isWellMeasured() bool { return ep.Latency.Weight*smoothingFactor >= 1 }

// decayHealth lets what this node and others saw count for less.
func (ep *endpoint) decayHealth() {
	for i := range ep.health {
		ep.health[i].samples *= 1 - smoothingFactor
		ep.health[i].gossipVotes *= gossipDecayPerSecond
	}
}

// isUnhealthy reports whether an endpoint is of little use at the moment, for any class.
func (ep *endpoint) isUnhealthy(now Time) bool {
	if now < ep.backoffUntil && ep.rejectionsInARow > 1 {
		return true
	}
	return slices.ContainsFunc(ep.health, func(health classHealth) bool { return health.ejected })
}

// isSilent reports whether an endpoint has answered nothing for too long. Guards against one that takes requests and
// answers none, and so reports no load.
func (e *estimator) isSilent(now Time, ep *endpoint, work float64) bool {
	return ep.inFlight > 0 && ep.HasLatency && now.Sub(ep.lastActiveAt) > e.overdueAfter(ep, max(work, e.MeanWork))
}

// hasUsualInFlight reports whether an endpoint has no more attempts of this node in flight than it answered lately.
func (e *estimator) hasUsualInFlight(ep *endpoint) bool {
	_, usualInFlight := e.expectedLatency(ep)
	return float64(ep.inFlight) < usualInFlight+1
}

// backOff leaves an endpoint alone that rejected an attempt, or took no connection. Guards against one that rejects at
// once using up all attempts.
func (ep *endpoint) backOff(now Time, meanWork time.Duration) {
	ep.rejectionsInARow = min(ep.rejectionsInARow+1, maxRejectionsInARow)
	shortest := time.Duration(float64(maxRejectionBackoff) / (2*ep.Latency.Weight + 1))
	ep.backoffUntil = now.Add(max(meanWork, shortest) << (ep.rejectionsInARow - 1))
}

// gossipFailure sends the other nodes a message that an endpoint fails a class.
func (b *Balancer) gossipFailure(now Time, ep *endpoint, class int) {
	b.gossip(now, &ep.health[class].gossipedAt, GossipMessage{Endpoint: ep.ID, Class: class})
}
