package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"fawnglade/internal/ewma"
	"fawnglade/internal/rendezvous"
)

// The endpoint list contains the endpoints that requests may be sent to. Inputs are complete lists, changed entries,
// and failures of watches of the list. Nothing is sent to an endpoint that is draining or removed, except that with
// Settings.RemovedMayServe a removed endpoint serves until an attempt on it fails. A new start time of an endpoint
// discards all state of its previous process except for the attempts in flight.
//
// See docs/design.md: "Candidates", "Polling the list".

// The backoff after a failed watch doubles from MaxPollInterval / minBackoffDivisor up to MaxPollInterval /
// maxBackoffDivisor.
const (
	minBackoffDivisor = 64
	maxBackoffDivisor = 8
)

// endpointTable contains all endpoints that were ever listed, in descending order of rank.
type endpointTable struct {
	all          []*endpoint
	byID         map[EndpointID]*endpoint
	watchBackoff time.Duration // current backoff; 0 after a success
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[EndpointID]*endpoint{}}
}

func (t *endpointTable) add(id EndpointID) *endpoint {
	ep := &endpoint{}
	t.byID[id] = ep
	t.all = append(t.all, ep)
	return ep
}

func (t *endpointTable) delistAll(removedMayServe bool) {
	for _, ep := range t.all {
		ep.delist(removedMayServe)
	}
}

func (t *endpointTable) sortByRank() {
	slices.SortFunc(t.all, func(a, b *endpoint) int { return cmp.Compare(b.rank, a.rank) })
}

func (t *endpointTable) nextWatchBackoff(maxInterval time.Duration) time.Duration {
	t.watchBackoff = max(2*t.watchBackoff, maxInterval/minBackoffDivisor)
	t.watchBackoff = min(t.watchBackoff, maxInterval/maxBackoffDivisor)
	return t.watchBackoff
}

// updateEndpoint applies one entry of the list.
func (b *Balancer) updateEndpoint(info EndpointInfo) {
	ep := b.endpoints.byID[info.ID]
	if ep == nil {
		ep = b.endpoints.add(info.ID)
	}
	stateBefore := ep.State
	if info.StartedAt > ep.StartedAt || ep.health == nil {
		stateBefore = info.State
		ep.reset(b.random, len(b.settings.Classes))
		ep.rank = rendezvous.Score(rendezvous.HashNumber(b.settings.NodeIndex), uint32(info.ID))
	}
	ep.EndpointInfo = info
	ep.podLatency = b.podLatency(info.Pod)
	ep.delisted = false
	if info.State == StateRemoved {
		ep.State = stateBefore
		ep.delist(b.settings.RemovedMayServe)
	}
}

// podLatency returns the latency estimates shared by the endpoints of a pod.
func (b *Balancer) podLatency(pod int) *ewma.Pair {
	if b.estimator.Pods[pod] == nil {
		b.estimator.Pods[pod] = &ewma.Pair{}
	}
	return b.estimator.Pods[pod]
}

// reset discards the state of an earlier process of the endpoint. The slow start credit starts at a random fraction of
// a request: starting at none, hundreds of nodes that each earn less than one request would never send any; starting at
// a full request, all nodes would send one at once.
func (ep *endpoint) reset(random *rand.Rand, classes int) {
	health := make([]classHealth, classes)
	for class := range ep.health {
		health[class].inFlight = ep.health[class].inFlight
	}
	*ep = endpoint{
		inFlight:        ep.inFlight,
		inSubset:        ep.inSubset,
		slowStartCredit: random.Float64(),
		health:          health,
	}
}

// delist handles an endpoint that is missing from the list. With mayServe an active endpoint is used until an attempt
// on it fails.
func (ep *endpoint) delist(mayServe bool) {
	ep.delisted = mayServe && ep.State == StateActive
	if !ep.delisted {
		ep.State = StateRemoved
	}
}
