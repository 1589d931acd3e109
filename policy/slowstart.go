package policy

import (
	"cmp"
	"time"
)

// An endpoint in slow start gets a fraction of its fair share of the requests, according to a lower bound of its
// capacity. Inputs are its age, the window and minimum capacity in the settings, responses of warm endpoints, and the
// latencies of its own responses. It earns credit, counted in requests of mean work, for each response of a warm
// endpoint or, if less than half of the subset is warm, for each arriving request. It is a candidate only with credit
// for a full request, accumulates no more than one, and spends credit according to the work of each request sent to it.
//
// The sum over all nodes stays within the endpoint's share, whatever the number of nodes. In each node
//
//	credit = creditFraction(capacity) x responses of warm endpoints / number of warm endpoints in the subset,
//
// which is proportional to the node's own traffic. Summed over the nodes, this is creditFraction(capacity) times the
// responses of an average warm endpoint, and no warm endpoint responds to more requests than it can handle.
//
// See docs/design.md: "Slow start".

const (
	// slowStartSafetyFactor is the fraction of its capacity that an endpoint is used for just after its start. The
	// fraction rises to 1 with the capacity.
	slowStartSafetyFactor = 0.75
	// maxSlowStartBoost bounds how far fast responses can raise the capacity above its lower bound.
	maxSlowStartBoost = 2
	// minWarmConcurrency is a lower bound of the number of requests that a warm endpoint processes concurrently.
	minWarmConcurrency = 8
	// unknownWorkDivisor divides the latency objective to get the assumed work of a request until the work is measured.
	unknownWorkDivisor = 4
)

type slowStart struct {
	window        time.Duration
	minCapacity   float64 // fraction of the full capacity at the start, 0 to 1
	lastArrivalAt Time    // last arrival that earned credit; 0: none
}

// capacity returns a lower bound of an endpoint's capacity relative to its full capacity; 1 for a warm endpoint.
func (s *slowStart) capacity(now Time, ep *endpoint) float64 {
	age := now.Sub(ep.StartedAt)
	if ep.StartedAt == 0 || age >= s.window {
		return 1
	}
	return s.minCapacity + (1-s.minCapacity)*float64(max(age, 0))/float64(s.window)
}

// creditsArrivals reports whether credit is granted for arrivals instead of responses, because too few endpoints are
// warm to be the reference.
func (s *subset) creditsArrivals() bool {
	warm := len(s.members) - len(s.warmingUp)
	return 2*warm < len(s.members)
}

// grantCreditForResponse grants the endpoints in slow start an even share of a request that a warm endpoint answered.
func (b *Balancer) grantCreditForResponse(now Time, answered *endpoint, work float64) {
	if b.subset.creditsArrivals() || b.slowStart.capacity(now, answered) < 1 {
		return
	}
	warm := len(b.subset.members) - len(b.subset.warmingUp)
	b.grantCredit(now, min(b.estimator.relativeWork(work), 1)/float64(warm))
}

// grantCreditForArrival grants the endpoints in slow start an even share of an arriving request. The share is limited
// to this node's part of the requests that a warm endpoint can at least handle in the time since the last arrival:
// minWarmConcurrency x time / work, divided by the mean number of nodes that use an endpoint, members x nodes / active
// endpoints. This prevents the first endpoints back after a power outage from getting the requests of the entire fleet.
func (b *Balancer) grantCreditForArrival(now Time) {
	if !b.subset.creditsArrivals() {
		return
	}
	s := &b.slowStart
	members := len(b.subset.members)
	// Used only until the first response provides the mean work; the objective of any class would do.
	objective := float64(b.settings.Classes[0].LatencyObjective)
	work := cmp.Or(b.estimator.MeanWork, objective/unknownWorkDivisor)
	nanosSinceLast := float64(now - cmp.Or(s.lastArrivalAt, now))
	nodes := max(b.settings.NodeCount, 1)
	maxCredit := minWarmConcurrency * b.subset.activeEndpoints * nanosSinceLast / work / float64(members*nodes)
	s.lastArrivalAt = now
	b.grantCredit(now, min(1/float64(members), maxCredit))
}

// grantCredit grants each endpoint in slow start its fraction of a warm endpoint's share, given in requests.
func (b *Balancer) grantCredit(now Time, share float64) {
	for _, ep := range b.subset.warmingUp {
		capacity := b.slowStart.capacity(now, ep)
		if capacity < 1 && ep.slowStartCredit < 1 {
			ep.slowStartCredit = min(1, ep.slowStartCredit+creditFraction(capacity, ep)*share)
		}
	}
}

// creditFraction returns the fraction of a warm endpoint's share that an endpoint earns. Responses faster than those of
// its peers raise it, to the extent that there are enough samples; slower responses reduce it again, down to the lower
// bound.
func creditFraction(capacity float64, ep *endpoint) float64 {
	lowerBound := capacity * (slowStartSafetyFactor + (1-slowStartSafetyFactor)*capacity)
	evidence := ep.Latency.Weight * smoothingFactor
	return max(lowerBound, min(maxSlowStartBoost*capacity, evidence, 1/ep.Latency.MeanRatio()))
}
