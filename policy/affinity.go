package policy

import (
	"fawnglade/internal/keyfreq"
	"fawnglade/internal/rendezvous"
)

// Key affinity sends requests for a key to a few affinity endpoints, because an endpoint that served a key recently
// needs less work to serve it again (Settings.KeyAffinity). The affinity endpoints of a key are the first of the warm
// and healthy endpoints by rendezvous hashing of key and endpoint ID, so nodes agree on them without exchanging
// messages. A key has as many as its fraction of all requests requires. Inputs are the key, its request frequency, and
// the ratio of the work of requests at an affinity endpoint to that at other endpoints. Affinity is a preference: an
// affinity endpoint is selected only if it is a candidate.
//
// See docs/design.md: "Rules that adjust w".

const (
	// affinityWorkWindow is the number of responses over which workFactorWithAffinity is averaged.
	affinityWorkWindow = 64
	// workFactorWithAffinity is kept between minAffinityWorkFactor and 1; one response counts as at most
	// maxAffinityWorkSample.
	minAffinityWorkFactor = 0.25
	maxAffinityWorkSample = 2
)

type affinity struct {
	keys                   keyfreq.Counter
	preferred              []*endpoint // affinity endpoints of the current request's key, in order of preference
	workFactorWithAffinity float64     // work of a request at an affinity endpoint relative to others; 0.25 to 1
}

// findAffinityEndpoints sets the affinity endpoints of the request's key. A key that needs more than rendezvous.MaxTop
// has none.
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

// workFactor returns the work of the current request at an endpoint, relative to an endpoint without affinity for its
// key.
func (a *affinity) workFactor(ep *endpoint) float64 {
	if ep.hasAffinity {
		return a.workFactorWithAffinity
	}
	return 1
}

// updateWorkFactor updates workFactorWithAffinity from the latency of a response of an affinity endpoint. The expected
// latency already includes the factor.
func (a *affinity) updateWorkFactor(latencyNanos, expectedNanos float64) {
	sample := min(latencyNanos*a.workFactorWithAffinity/expectedNanos, maxAffinityWorkSample)
	a.workFactorWithAffinity += (sample - a.workFactorWithAffinity) / affinityWorkWindow
	a.workFactorWithAffinity = min(max(a.workFactorWithAffinity, minAffinityWorkFactor), 1)
}
