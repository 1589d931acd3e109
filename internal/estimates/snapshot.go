package estimates

import (
	"math"

	"fawnglade/internal/ewma"
)

// Snapshot is what one instance hands to another.
type Snapshot struct {
	FleetEstimates
	Classes   []ClassEstimates    `json:"Categories"`
	Endpoints map[uint32]Endpoint `json:"Servers"`
}

// Endpoint is the estimates of one endpoint, and the start of its process that they are of, in nanoseconds.
type Endpoint struct {
	EndpointEstimates
	StartedAt int64 `json:"Started"`
}

// Decay leaves a part of the weight of all that was learned: old estimates say less.
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

// Valid reports whether all of it can have been learned of so many classes. What comes from another process is taken
// completely or not at all.
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
