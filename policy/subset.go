package policy

// Each node sends requests to a subset of the endpoints: the first ones by its own rank, a hash of the node's index and
// the endpoint's ID. This avoids that each of hundreds of nodes holds a connection to every endpoint and gets few
// responses from any. Inputs are the number of active endpoints, the number of nodes, and the requests per second of
// this node. These determine the number of warm and healthy endpoints in the subset. It shrinks by at most one endpoint
// per second. Endpoints that are not listed as active are not members.
//
// See docs/design.md: "Candidates".

const (
	minSubsetSize = 4
	// requestRatePerEndpoint is the number of requests per second for which the subset grows by one endpoint.
	requestRatePerEndpoint = 8.0
	// minNodesPerEndpoint is the minimum mean number of nodes that use an endpoint, so that a small number of nodes
	// uses all endpoints.
	minNodesPerEndpoint = 16
	// maxWarmingUpFactor limits the members that are warming up, relative to the target size. Without the limit, in a
	// fleet that is cold as a whole, every send would open a new connection.
	maxWarmingUpFactor = 4
	// requestRateWindowSeconds is the window of the average request rate.
	requestRateWindowSeconds = 8
)

// subset contains the endpoints that this node uses.
type subset struct {
	members         []*endpoint // by rank
	warmingUp       []*endpoint // members in slow start
	targetSize      int         // wanted number of warm and healthy members
	activeEndpoints float64     // number of endpoints listed as active
	requestRate     float64     // average requests per second
	arrivals        int         // requests since the last tick
}

// updateSubset recalculates the members by rank and closes the connections to endpoints that are no longer members.
func (b *Balancer) updateSubset(now Time) {
	b.subset.resize(b.endpoints.countActive(), max(b.settings.NodeCount, 1))
	s := &b.subset
	s.members = s.members[:0]
	s.warmingUp = s.warmingUp[:0]
	freePlaces := s.targetSize
	replacements := s.targetSize/2 + 1 // extra members that make up for unhealthy ones
	for _, ep := range b.endpoints.all {
		wasMember := ep.inSubset
		isWarmingUp := b.slowStart.capacity(now, ep) < 1
		tooManyWarmingUp := isWarmingUp && len(s.warmingUp) >= maxWarmingUpFactor*s.targetSize
		ep.inSubset = ep.State == StateActive && freePlaces > 0 && !tooManyWarmingUp
		if !ep.inSubset {
			if wasMember {
				b.closeUnusedConnections(ep)
			}
			continue
		}
		s.members = append(s.members, ep)
		if isWarmingUp {
			s.warmingUp = append(s.warmingUp, ep)
			continue
		}
		freePlaces--
		if ep.isUnhealthy(now) && replacements > 0 {
			freePlaces++
			replacements--
		}
	}
}

// resize adjusts the target size: it grows immediately but shrinks by one per call, to avoid closing connections that
// are soon opened again.
func (s *subset) resize(activeEndpoints float64, nodes int) {
	s.activeEndpoints = activeEndpoints
	wanted := max(minSubsetSize+s.requestRate/requestRatePerEndpoint, minNodesPerEndpoint*activeEndpoints/float64(nodes))
	s.targetSize = max(s.targetSize, int(wanted))
	if wanted < float64(s.targetSize)-1 {
		s.targetSize--
	}
}

func (t *endpointTable) countActive() (count float64) {
	for _, ep := range t.all {
		if ep.State == StateActive {
			count++
		}
	}
	return count
}

// closeUnusedConnections closes the idle connections to an endpoint that has left the subset. Connections that carry
// one attempt at a time are left to expire: those to an endpoint that stays in use as an affinity endpoint would be
// closed each time that it leaves the subset.
func (b *Balancer) closeUnusedConnections(ep *endpoint) {
	if ep.lastUsedAt > 0 && ep.inFlight == 0 && b.settings.StreamsPerConnection > 1 {
		b.closeIdle(ep)
	}
}

// countArrival counts a request. If the request rate of a node rises suddenly, its subset grows before the second is
// over. Otherwise the node would overload its few endpoints.
func (b *Balancer) countArrival(now Time) {
	s := &b.subset
	s.arrivals++
	if s.arrivals > int(requestRatePerEndpoint)*s.targetSize {
		s.requestRate = max(s.requestRate, float64(s.arrivals))
		b.updateSubset(now)
	}
}

// updateRequestRate adds the second that has ended to the average.
func (s *subset) updateRequestRate() {
	s.requestRate += (float64(s.arrivals) - s.requestRate) / requestRateWindowSeconds
	s.arrivals = 0
}
