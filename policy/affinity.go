package policy

import (
	"fawnglade/internal/keyfreq"
	"fawnglade/internal/rendezvous"
)

// Affinity sends requests for a key to its homes, where an endpoint that served a key lately serves it for less work
// (Settings.KeyAffinity). Homes are the first of the warm and healthy endpoints by rendezvous hashing of key and ID, so
// nodes agree without a message; a key has as many as its part of the requests needs. Inputs: the key, how often it was
// asked for, and the work that answers at a home took over that elsewhere, a ratio. A home is preferred but not forced:
// it is drawn only if it is a candidate. docs/design.md: "Rules that adjust w".

const (
	// affinityWorkWindow is the number of answers over which workFactorWithAffinity is averaged.
	affinityWorkWindow = 64
	// minAffinityWorkFactor and 1 bound workFactorWithAffinity; one answer counts for at most maxAffinityWorkSample.
	minAffinityWorkFactor = 0.25
	maxAffinityWorkSample = 2
)

type affinity struct {
	keys                   keyfreq.Counter
	preferred              []*endpoint // of the key of the request that is being placed, the first choice first
	workFactorWithAffinity float64     // work of a request at its key's home, over that elsewhere; 0.25 to 1
}

// findAffinityEndpoints sets the homes of the request's key. A key that needs more than rendezvous.MaxTop has none.
func (b *Balancer) findAffinityEndpoints(now Time, req *request) {
	a := &b.affinity
	for _, ep := range a.preferred {
		ep.hasAffinity = false
	}
	a.preferred = a.preferred[:0]
	if req.affinityCount <= rendezvous.MaxTop {
		a.preferred = rendezvous.Top(a.preferred, b.endpoints.all, req.affinityCount, func(ep *endpoint) uint64 {
			if ep.State != StateActive || b.slowStart.capacity(now, ep) < 1 || ep.isUnhealthy(now) {
				return 0
			}
			return rendezvous.Score(req.keyHash, uint32(ep.ID))
		})
	}
	for _, ep := range a.preferred {
		ep.hasAffinity = true
	}
}

// workFactor is the work of the request that is being placed at an endpoint, over that where its key is not at home.
func (a *affinity) workFactor(ep *endpoint) float64 {
	if ep.hasAffinity {
		return a.workFactorWithAffinity
	}
	return 1
}

// updateWorkFactor updates workFactorWithAffinity by the latency of an answer at a home and the latency that was expected, which
// has the factor in it already.
func (a *affinity) updateWorkFactor(tookNanos, expectedNanos float64) {
	sample := min(tookNanos*a.workFactorWithAffinity/expectedNanos, maxAffinityWorkSample)
	a.workFactorWithAffinity += (sample - a.workFactorWithAffinity) / affinityWorkWindow
	a.workFactorWithAffinity = min(max(a.workFactorWithAffinity, minAffinityWorkFactor), 1)
}
