package policy

// Each node sends to a subset of the endpoints: the first by its own rank, a hash of the node's index and the
// endpoint's ID. Inputs: how many endpoints are active, how many nodes there are, and this node's requests per second.
// The subset is as large as these ask for, counted in endpoints that are warm and healthy, and shrinks by one endpoint
// a second at most. An endpoint that the list does not name as active is no member. Guards against hundreds of nodes
// that each hold a connection to every endpoint and get few answers from any. docs/design.md: "Candidates".

const (
	minSubsetSize = 4
	// requestRatePerEndpoint is how many requests a second make the subset larger by one endpoint.
	requestRatePerEndpoint = 8.0
	// minNodesPerEndpoint is how many nodes use an endpoint at least, so that a few nodes use all.
	minNodesPerEndpoint = 16
	// maxWarmingUpFactor bounds the endpoints that are warming up, for each place in the subset: in a fleet that is cold
	// as a whole each send would open a connection.
	maxWarmingUpFactor = 4
	// requestRateWindowSeconds is over how many seconds the request rate is averaged.
	requestRateWindowSeconds = 8
)

// subset is the endpoints that this node uses.
type subset struct {
	members         []*endpoint // by rank
	warmingUp       []*endpoint // those of members that are in slow start
	targetSize      int         // how many warm and healthy members are wanted
	activeEndpoints float64     // on the list
	requestRate     float64     // requests a second, averaged
	arrivals        int         // requests since the last tick
}

// updateSubset chooses the members again, by rank, and closes the connections to those that are none any more.
func (b *Balancer) updateSubset(now Time) {
	b.subset.resize(b.endpoints.countActive(), max(b.settings.NodeCount, 1))
	s := &b.subset
	s.members = s.members[:0]
	s.warmingUp = s.warmingUp[:0]
	places := s.targetSize
	replacements := s.targetSize/2 + 1 // further places for members that are of no use at the moment
	for _, ep := range b.endpoints.all {
		wasMember := ep.inSubset
		isWarmingUp := b.slowStart.capacity(now, ep) < 1
		tooManyWarmingUp := isWarmingUp && len(s.warmingUp) >= maxWarmingUpFactor*s.targetSize
		ep.inSubset = ep.State == StateActive && places > 0 && !tooManyWarmingUp
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
		places--
		if ep.isUnhealthy(now) && replacements > 0 {
			places++
			replacements--
		}
	}
}

// resize follows what is wanted: up at once, down by one each time, as connections would be closed and opened again.
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

// closeUnusedConnections closes the idle connections to an endpoint that has left the subset. A connection that carries one
// attempt at a time is left to age: that of a key's home would be closed each time.
func (b *Balancer) closeUnusedConnections(ep *endpoint) {
	if ep.lastUsedAt > 0 && ep.inFlight == 0 && b.settings.StreamsPerConnection > 1 {
		b.closeIdle(ep)
	}
}

// countArrival counts a request. The subset of a node that suddenly gets many grows before the second is over, or they
// would overload its few endpoints.
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
