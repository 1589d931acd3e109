package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"fawnglade/internal/ewma"
	"fawnglade/internal/rendezvous"
)

// The endpoint list names the endpoints that requests may go to. Inputs: the list or its changes, and the failures of
// watches of it. Nothing is sent to an endpoint that is draining or removed; where the settings say that removal is not
// binding, a removed endpoint serves until an attempt on it fails. A new start time of an endpoint discards all that
// was learned of its previous process, but for its attempts in flight. docs/design.md: "Candidates", "Polling the
// list".

// After a failed watch the next waits for a backoff that doubles from MaxPollInterval over minBackoffDivisor to
// MaxPollInterval over maxBackoffDivisor.
const (
	minBackoffDivisor = 64
	maxBackoffDivisor = 8
)

// endpointTable holds all endpoints that were ever listed, the first by this node's rank first.
type endpointTable struct {
	all          []*endpoint
	byID         map[EndpointID]*endpoint
	watchBackoff time.Duration // the last one; 0 after a success
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

// updateEndpoint takes one entry of the list.
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

// podLatency returns the estimates that the endpoints of a pod share.
func (b *Balancer) podLatency(pod int) *ewma.Pair {
	if b.estimator.Pods[pod] == nil {
		b.estimator.Pods[pod] = &ewma.Pair{}
	}
	return b.estimator.Pods[pod]
}

// reset forgets an earlier process of the endpoint. The credit for slow start begins at a random part of a request:
// with none, hundreds of nodes that gain less than one request each would never send any, with a full one all would
// send theirs at once.
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

// delist takes off an endpoint that the list lacks. With mayServe an active one is used until an attempt on it fails.
func (ep *endpoint) delist(mayServe bool) {
	ep.delisted = mayServe && ep.State == StateActive
	if !ep.delisted {
		ep.State = StateRemoved
	}
}
