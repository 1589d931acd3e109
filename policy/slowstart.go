package policy

import (
	"cmp"
	"time"
)

// An endpoint in slow start gets the part of its fair share that a lower bound of its capacity allows. Inputs: its age,
// the settings' window and least capacity, answers of warm endpoints, and the latencies of its own answers. It earns
// credit, in requests of mean work, for each request that a warm endpoint answers, or, where less than half of the
// subset is warm, for each arrival; it is a candidate only with credit for a full request, saves up no more than one,
// and pays by the work of each.
//
// The sum over all nodes stays within the endpoint's share, however many nodes there are: in each node
//
//	credit = creditFraction(capacity) x answers of warm endpoints / number of warm endpoints in the subset,
//
// which is proportional to the node's own traffic. Summed over the nodes it is creditFraction(capacity) times what an
// average warm endpoint answers, and no warm endpoint answers more than it can carry. docs/design.md: "Slow start".

const (
	// slowStartSafetyFactor is the part of its capacity that the coldest endpoint is used for; it rises to all of it.
	slowStartSafetyFactor = 0.75
	// maxSlowStartBoost bounds what quick answers may raise the capacity to, over its lower bound.
	maxSlowStartBoost = 2
	// minWarmConcurrency is a lower bound of the requests that a warm endpoint works on at a time.
	minWarmConcurrency = 8
	// unknownWorkDivisor: until the work of a request is known it is taken for the latency objective over this.
	unknownWorkDivisor = 4
)

type slowStart struct {
	window        time.Duration
	minCapacity   float64 // part of the capacity at the start, 0 to 1
	lastArrivalAt Time    // of a request that earned credit; 0: none has
}

// capacity returns a lower bound of an endpoint's capacity, over that when it is warm; 1 when it is.
func (s *slowStart) capacity(now Time, ep *endpoint) float64 {
	age := now.Sub(ep.StartedAt)
	if ep.StartedAt == 0 || age >= s.window {
		return 1
	}
	return s.minCapacity + (1-s.minCapacity)*float64(max(age, 0))/float64(s.window)
}

// creditsArrivals reports whether arrivals earn credit in place of answers: the few endpoints that are warm can't set the
// pace.
func (s *subset) creditsArrivals() bool {
	warm := len(s.members) - len(s.warmingUp)
	return 2*warm < len(s.members)
}

// grantCreditForResponse lets the endpoints in slow start earn their even part of a request that a warm endpoint answered.
func (b *Balancer) grantCreditForResponse(now Time, answered *endpoint, work float64) {
	if b.subset.creditsArrivals() || b.slowStart.capacity(now, answered) < 1 {
		return
	}
	warm := len(b.subset.members) - len(b.subset.warmingUp)
	b.grantCredit(now, min(b.estimator.relativeWork(work), 1)/float64(warm))
}

// grantCreditForArrival lets them earn their even part of an arrival. It is bounded by this node's part of what a warm
// endpoint carries at least since the last arrival: minWarmConcurrency x time / work, over the mean number of nodes that
// use an endpoint, members x nodes / active endpoints. Guards against the first endpoints back after a loss of power
// getting the requests of the entire fleet.
func (b *Balancer) grantCreditForArrival(now Time) {
	if !b.subset.creditsArrivals() {
		return
	}
	s := &b.slowStart
	members := len(b.subset.members)
	// Read only until the first answer tells the mean work; any class would do as an estimate.
	objective := float64(b.settings.Classes[0].LatencyObjective)
	work := cmp.Or(b.estimator.MeanWork, objective/unknownWorkDivisor)
	sinceLast := float64(now - cmp.Or(s.lastArrivalAt, now))
	nodes := max(b.settings.NodeCount, 1)
	most := minWarmConcurrency * b.subset.activeEndpoints * sinceLast / work / float64(members*nodes)
	s.lastArrivalAt = now
	b.grantCredit(now, min(1/float64(members), most))
}

// grantCredit gives each endpoint in slow start its part of a warm endpoint's share, in requests.
func (b *Balancer) grantCredit(now Time, share float64) {
	for _, ep := range b.subset.warmingUp {
		capacity := b.slowStart.capacity(now, ep)
		if capacity < 1 && ep.slowStartCredit < 1 {
			ep.slowStartCredit = min(1, ep.slowStartCredit+creditFraction(capacity, ep)*share)
		}
	}
}

// creditFraction is the part of its share that an endpoint earns. Answers quicker than those of others raise it, as far as
// there is evidence; late answers take the raise back.
func creditFraction(capacity float64, ep *endpoint) float64 {
	lowerBound := capacity * (slowStartSafetyFactor + (1-slowStartSafetyFactor)*capacity)
	evidence := ep.Latency.Weight * smoothingFactor
	return max(lowerBound, min(maxSlowStartBoost*capacity, evidence, 1/ep.Latency.MeanRatio()))
}
