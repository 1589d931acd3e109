// Package estimates holds the values that a balancer estimates about its endpoints, the fleet and its classes of
// requests, and the snapshot by which a later process of the same node restores them. Work and latencies are in
// nanoseconds.
//
// The JSON names are kept from earlier builds, because a process reads snapshots that another build has handed over or
// stored:
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

// EndpointEstimates holds the estimates for one endpoint.
type EndpointEstimates struct {
	// Load is the estimated current load, updated between load reports; LastReport is the load last reported.
	Load       float64 `json:"Load"`
	LastReport float64 `json:"Reported"`
	// RisePerSend is the increase of Load per attempt sent since the last report.
	RisePerSend float64 `json:"Drift"`
	// Latency averages the latency per unit of work relative to that of the pod and the fleet (first value), and the
	// attempts in flight at the time of sending (second value).
	Latency ewma.Pair `json:"Own"`
	// HighLatency is a high quantile of the latency per unit of work.
	HighLatency float64 `json:"High"`
	// HasLatency and HasReport report whether there was a response, and a load report, since the endpoint started.
	HasLatency bool `json:"Known"`
	HasReport  bool `json:"Heard"`
}

// FleetEstimates holds the estimates for all endpoints together.
type FleetEstimates struct {
	// Pods averages, by pod, the latency relative to that of the fleet (first value), and the attempts in flight at the
	// time of sending (second value).
	Pods map[int]*ewma.Pair `json:"Pods"`
	// Fleet averages the latency per unit of work (first value), and the attempts in flight at the time of sending
	// (second value).
	Fleet ewma.Pair `json:"Fleet"`
	// ZoneDelay is, by zone, the latency of a response that does not depend on the work.
	ZoneDelay map[int]float64 `json:"Way"`
	// MeanWork is the mean work of a request; 0: unknown.
	MeanWork float64 `json:"MeanOf"`
	// HighLatency is the mean of the endpoints' HighLatency.
	HighLatency float64 `json:"High"`
}

// NewFleet returns the estimates of a fleet before its first response.
func NewFleet(highLatency float64) FleetEstimates {
	return FleetEstimates{Pods: map[int]*ewma.Pair{}, ZoneDelay: map[int]float64{}, HighLatency: highLatency}
}

// Decay multiplies the weight of the latency samples of the pods by podFraction and of the fleet by fleetFraction.
func (f *FleetEstimates) Decay(podFraction, fleetFraction float64) {
	for _, pod := range f.Pods {
		pod.Decay(podFraction)
	}
	f.Fleet.Decay(fleetFraction)
}

// RestoreFrom replaces the estimates by those of a snapshot. Pods that are not known here are left out.
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

// QuantileStep returns the step for an estimate that follows a quantile (0 to 1) of a stream of values: up by
// size*quantile if the value is above the estimate, down by size*(1-quantile) otherwise. The steps balance where the
// fraction of values above the estimate is 1-quantile.
func QuantileStep(above bool, size, quantile float64) float64 {
	if above {
		return size * quantile
	}
	return size * (quantile - 1)
}
