package policy

import (
	"slices"
	"time"
)

// Outlier ejection: an endpoint that fails many requests of a class is ejected for that class. Inputs are the failure
// rates of the endpoint for the class and of all endpoints, both exponentially weighted averages from 0 to 1, and
// messages from other nodes.
//
//   - Ejection: the failure rate is above a quarter and above twice the rate of all endpoints. If all endpoints fail
//     alike, none is an outlier.
//   - Trial: after half a second, a time that doubles with each failure up to four seconds, one idempotent request at a
//     time may be sent to an ejected endpoint, whatever its predicted latency. A request that may not be repeated is
//     used for a trial much later, so that all nodes together send at most one per maxEjectionTime.
//   - Reinstatement: the failure rate falls below half of the ejection threshold.
//   - Gossip: a message of another node that the endpoint fails the class is a vote. Three votes eject the endpoint if
//     this node has no samples of its own or has seen failures. Its failure rate is then set to at least twice the
//     ejection rate, so that it takes several successes to reinstate it, and its first trial follows after one second.
//   - Last resort: if there is no other candidate, an ejected endpoint may get a request of any class if this node has
//     measured it well and has nothing in flight there. From its trial time on, only requests of the same class must
//     not be in flight there. The only active endpoint is treated as not ejected.
//   - Backoff: an endpoint that rejects an attempt or refuses a connection gets no requests for a time that doubles.
//     This is not an ejection, and it applies to all classes.
//
// See docs/design.md: "Outliers", "Gossip".

const (
	// ejectionFailureRate is the failure rate above which an endpoint may be ejected.
	ejectionFailureRate = 0.25
	// outlierFactor is the ratio to the failure rate of all endpoints above which an endpoint is an outlier.
	outlierFactor = 2
	// reinstatementFactor is the fraction of the ejection threshold below which an ejected endpoint is reinstated.
	reinstatementFactor = 0.5
	// maxHealthyFailureRate is the failure rate up to which an endpoint that this node has used is not ejected by
	// votes.
	maxHealthyFailureRate = ejectionFailureRate / 2
	// gossipFailureRate is the minimum failure rate of an endpoint after an ejection by votes.
	gossipFailureRate = 2 * ejectionFailureRate
	// fleetSmoothingFactor is the weight of an attempt in the failure rate of all endpoints.
	fleetSmoothingFactor = smoothingFactor / 2

	minEjectionTime = time.Second / 2
	maxEjectionTime = 4 * time.Second
	// maxHealthSamples is the upper bound of classHealth.samples.
	maxHealthSamples = 2 / smoothingFactor
	// gossipVotesToEject is the number of votes within about two seconds that ejects an endpoint. A single vote may be
	// caused by a single error.
	gossipVotesToEject = 3
	// gossipEjectionTime is the time from an ejection by votes to the first trial.
	gossipEjectionTime = time.Second
	// gossipDecayPerSecond is the fraction of the votes that remains after one second.
	gossipDecayPerSecond = 0.5

	// maxInitialBackoff is the first backoff of an endpoint without recent responses. It is shorter for an endpoint
	// with more recent responses.
	maxInitialBackoff = time.Second
	// maxRejectionsInARow limits how often the backoff doubles.
	maxRejectionsInARow = 6
)

// outlierDetector compares the failure rate of an endpoint with that of all endpoints.
type outlierDetector struct {
	fleetFailureRate float64 // exponentially weighted average over the attempts at all endpoints
}

// ejectionThreshold returns the failure rate above which an endpoint is ejected.
func (d *outlierDetector) ejectionThreshold() float64 {
	return max(ejectionFailureRate, outlierFactor*d.fleetFailureRate)
}

// record updates the health of an endpoint for one class with an attempt and ejects or reinstates the endpoint. failure
// is 1 for a failed attempt, otherwise 0; smoothing is its weight in the failure rate.
func (d *outlierDetector) record(now Time, health *classHealth, failure, smoothing float64) {
	health.samples = min(health.samples+1, maxHealthSamples)
	health.failureRate += (failure - health.failureRate) * smoothing
	d.fleetFailureRate += (failure - d.fleetFailureRate) * fleetSmoothingFactor
	threshold := d.ejectionThreshold()
	switch {
	case failure > 0 && (health.ejected || health.failureRate > threshold):
		health.ejected = true
		health.ejectionTime = min(max(2*health.ejectionTime, minEjectionTime), maxEjectionTime)
		health.nextTrialAt = now.Add(health.ejectionTime)
	case health.ejected && health.failureRate < threshold*reinstatementFactor:
		health.ejected = false
		health.ejectionTime = 0
	}
}

// updateHealth records the outcome of an attempt in the health of its endpoint for the class of the request.
func (b *Balancer) updateHealth(now Time, ep *endpoint, req *request, failed bool, outcome Outcome) {
	health := &ep.health[req.Class]
	smoothing, failure := smoothingFactor, 0.0
	if failed {
		failure = 1
	}
	if !failed || outcome == OutcomeError {
		// With few samples each one has more weight.
		smoothing = max(smoothingFactor, 1/(health.samples+2))
	}
	b.outliers.record(now, health, failure, smoothing)
}

// applyGossip counts a vote of another node that the endpoint fails the class. The samples of this node take
// precedence. The ejection time does not change: only failures at this node double it.
func (h *classHealth) applyGossip(now Time) {
	h.gossipVotes++
	observedHealthy := h.samples >= 1 && h.failureRate <= maxHealthyFailureRate
	if h.gossipVotes < gossipVotesToEject || h.ejected || observedHealthy {
		return
	}
	h.ejected = true
	h.failureRate = max(h.failureRate, gossipFailureRate)
	h.nextTrialAt = now.Add(gossipEjectionTime)
}

// mayTryEjected reports whether an endpoint that is ejected for the request's class may still get the request: as a
// trial in any round, or as a last resort in the last round, if nothing is in flight there. From its trial time on, the
// last resort only requires that nothing of the class is in flight. Neither depends on the predicted latency.
func (b *Balancer) mayTryEjected(c *criteria, ep *endpoint, health *classHealth) bool {
	if health.inFlight > 0 {
		return false
	}
	isLastResort := c.round == roundLastResort && ep.isWellMeasured()
	if ep.inFlight > 0 {
		// Otherwise other classes that keep the endpoint busy could keep it ejected for this class forever.
		return isLastResort && c.now >= health.nextTrialAt
	}
	// Prevents cascading ejections: pauses eject endpoints one after another, and the remaining ones, overloaded, time
	// out as well.
	if isLastResort {
		return true
	}
	wait := time.Duration(0)
	if c.request.classSettings.Idempotency != Idempotent {
		// A trial for a class that must not be retried is rare, but without any the endpoint would stay ejected
		// forever. All nodes together send at most one such request per maxEjectionTime to an endpoint, since the
		// client sees its failure.
		wait = maxEjectionTime * time.Duration(max(b.settings.NodeCount, 1))
	}
	return c.now >= health.nextTrialAt.Add(wait)
}

// onlyActiveEndpoint returns the only active endpoint of a list, or nil if there are none or several. It prevents a
// class from being given up because of an endpoint that has no peers to be compared with.
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

// isWellMeasured reports whether this node has had many recent responses from an endpoint.
func (ep *endpoint) isWellMeasured() bool { return ep.Latency.Weight*smoothingFactor >= 1 }

// decayHealth reduces the weight of the samples of this node and of the votes of others.
func (ep *endpoint) decayHealth() {
	for i := range ep.health {
		ep.health[i].samples *= 1 - smoothingFactor
		ep.health[i].gossipVotes *= gossipDecayPerSecond
	}
}

// isUnhealthy reports whether an endpoint is ejected for any class or has rejected several attempts in a row.
func (ep *endpoint) isUnhealthy(now Time) bool {
	if now < ep.backoffUntil && ep.rejectionsInARow > 1 {
		return true
	}
	return slices.ContainsFunc(ep.health, func(health classHealth) bool { return health.ejected })
}

// isSilent reports whether an endpoint with attempts in flight has not responded for too long. This detects an endpoint
// that accepts requests but never responds, and so sends no load reports.
func (e *estimator) isSilent(now Time, ep *endpoint, work float64) bool {
	return ep.inFlight > 0 && ep.HasLatency && now.Sub(ep.lastActiveAt) > e.overdueAfter(ep, max(work, e.MeanWork))
}

// hasUsualInFlight reports whether this node has no more attempts in flight at an endpoint than the endpoint recently
// served at a time.
func (e *estimator) hasUsualInFlight(ep *endpoint) bool {
	_, usualInFlight := e.expectedLatency(ep)
	return float64(ep.inFlight) < usualInFlight+1
}

// backOff stops sending to an endpoint that rejected an attempt or refused a connection. Otherwise an endpoint that
// rejects quickly would use up all attempts.
func (ep *endpoint) backOff(now Time, meanWork time.Duration) {
	ep.rejectionsInARow = min(ep.rejectionsInARow+1, maxRejectionsInARow)
	minInitialBackoff := time.Duration(float64(maxInitialBackoff) / (2*ep.Latency.Weight + 1))
	ep.backoffUntil = now.Add(max(meanWork, minInitialBackoff) << (ep.rejectionsInARow - 1))
}

// gossipFailure sends the other nodes a message that an endpoint fails a class.
func (b *Balancer) gossipFailure(now Time, ep *endpoint, class int) {
	b.gossip(now, &ep.health[class].gossipedAt, GossipMessage{Endpoint: ep.ID, Class: class})
}
