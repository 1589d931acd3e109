package estimates

import (
	"math"

	"fawnglade/internal/ewma"
)

// Snapshot holds all estimates that one process hands to the next.
type Snapshot struct {
	FleetEstimates
	Classes   []ClassEstimates    `json:"Categories"`
	Endpoints map[uint32]Endpoint `json:"Servers"`
}

// Endpoint holds the estimates for one endpoint. StartedAt is the start of the endpoint's process that they apply to,
// in nanoseconds.
type Endpoint struct {
	EndpointEstimates
	StartedAt int64 `json:"Started"`
}

// Decay multiplies the weight of all estimates by a fraction, as old estimates are less reliable.
func (s *Snapshot) Decay(fraction float64) {
	s.FleetEstimates.Decay(fraction, fraction)
	for id, endpoint := range s.Endpoints {
		endpoint.Latency.Decay(fraction)
		s.Endpoints[id] = endpoint
	}
	for i := range s.Classes {
		class := &s.Classes[i]
		class.RequestCount *= fraction
		class.SuccessRate += (1 - class.SuccessRate) * (1 - fraction)
	}
}

// Valid reports whether all values are in the ranges that estimates can have, for the given number of classes. A
// snapshot that is not valid must be discarded as a whole.
func (s *Snapshot) Valid(classes int) bool {
	if len(s.Classes) != classes || !s.isValidFleet() {
		return false
	}
	for i := range s.Classes {
		if !s.Classes[i].isValid() {
			return false
		}
	}
	for _, endpoint := range s.Endpoints {
		if !endpoint.isValid() {
			return false
		}
	}
	return true
}

func (f *FleetEstimates) isValidFleet() bool {
	if f.ZoneDelay == nil || !isValidPair(&f.Fleet) || !isNonNegative(f.MeanWork) || !isPositive(f.HighLatency) {
		return false
	}
	for _, pod := range f.Pods {
		if !isValidPair(pod) {
			return false
		}
	}
	for _, delay := range f.ZoneDelay {
		if !isNonNegative(delay) {
			return false
		}
	}
	return true
}

func (e *EndpointEstimates) isValid() bool {
	return isNonNegative(e.Load, e.LastReport, e.RisePerSend, e.HighLatency) && isValidPair(&e.Latency)
}

func isValidPair(p *ewma.Pair) bool {
	return p != nil && isNonNegative(p.FirstSum, p.SecondSum, p.Weight)
}

// isNonNegative reports whether all values are finite and at least 0.
func isNonNegative(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

func isPositive(values ...float64) bool {
	for _, v := range values {
		if !isNonNegative(v) || v == 0 {
			return false
		}
	}
	return true
}
