// Package estimates holds the figures that an instance of the decisions learns of its endpoints, its fleet and its
// classes of requests, and the form in which another instance at the same place takes them over. Work and latencies are
// in nanoseconds.
//
// The JSON names are those of earlier builds, in whose words they were chosen. They stay, as an instance reads what
// another build handed over or stored:
//
//	Load, Reported, Drift   Load, LastReport, RisePerSend
//	Own                     Latency, of the endpoint alone
//	High                    HighLatency
//	Known, Heard            HasLatency, HasReport
//	Way                     ZoneDelay
//	MeanOf                  MeanWork
//	Typical, Spread         TypicalWork, LatencySpread
//	Fares, Asked            SuccessRate, RequestCount
//	Due                     PriorityFactor
//	Taken, Away, Met        AnsweredCount, GivenUpCount, WorkSamples
//	Categories, Servers     Classes, Endpoints
//	Started                 StartedAt
//	A, B, N                 ewma.Pair: FirstSum, SecondSum, Weight
package estimates

import "fawnglade/internal/ewma"

// EndpointEstimates is what was learned of one endpoint.
type EndpointEstimates struct {
	// Load is its load between reports; LastReport is the load that it reported last.
	Load       float64 `json:"Load"`
	LastReport float64 `json:"Reported"`
	// RisePerSend is what each send since the last report adds to Load.
	RisePerSend float64 `json:"Drift"`
	// Latency holds latencies for each unit of work, over those of pod and fleet (first), and the attempts in flight at
	// sending (second).
	Latency ewma.Pair `json:"Own"`
	// HighLatency is a high quantile of the latency for each unit of work.
	HighLatency float64 `json:"High"`
	// HasLatency and HasReport report whether there was an answer, and a report, since the endpoint started.
	HasLatency bool `json:"Known"`
	HasReport  bool `json:"Heard"`
}

// FleetEstimates is what was learned of all endpoints together.
type FleetEstimates struct {
	// Pods holds, by pod, latencies over those of the fleet (first), and the attempts in flight at sending (second).
	Pods map[int]*ewma.Pair `json:"Pods"`
	// Fleet holds latencies for each unit of work (first), and the attempts in flight at sending (second).
	Fleet ewma.Pair `json:"Fleet"`
	// ZoneDelay is, by zone, the latency that an answer has however little the work.
	ZoneDelay map[int]float64 `json:"Way"`
	// MeanWork is the mean work of a request; 0: not known.
	MeanWork float64 `json:"MeanOf"`
	// HighLatency is the mean of the endpoints' HighLatency.
	HighLatency float64 `json:"High"`
}

// NewFleet returns what is known of a fleet before its first answer.
func NewFleet(highLatency float64) FleetEstimates {
	return FleetEstimates{Pods: map[int]*ewma.Pair{}, ZoneDelay: map[int]float64{}, HighLatency: highLatency}
}

// Decay leaves a part of the weight of what answers showed of the pods, and one of what they showed of the fleet.
func (f *FleetEstimates) Decay(pods, fleet float64) {
	for _, pod := range f.Pods {
		pod.Decay(pods)
	}
	f.Fleet.Decay(fleet)
}

// RestoreFrom takes the estimates of another instance. Pods that are not known here are left out.
func (f *FleetEstimates) RestoreFrom(from *FleetEstimates) {
	for id, pod := range from.Pods {
		if own := f.Pods[id]; own != nil {
			*own = *pod
		}
	}
	f.Fleet = from.Fleet
	f.ZoneDelay = from.ZoneDelay
	f.MeanWork = from.MeanWork
	f.HighLatency = from.HighLatency
}

// QuantileStep returns the step of an estimate that follows a quantile (0 to 1) of a stream of values: up by size times
// quantile where a value was above the estimate, else down by size times one less quantile. The steps balance where the
// part of the values above the estimate is one less quantile.
func QuantileStep(above bool, size, quantile float64) float64 {
	if above {
		return size * quantile
	}
	return size * (quantile - 1)
}
