package policy

import (
	"cmp"
	"slices"
	"time"

	"fawnglade/internal/estimates"
)

// Latency is predicted from exponentially weighted averages of the latency per unit of expected work. The prediction is
// a product of ratios: the average of the fleet, that of the pod relative to the fleet, and that of the endpoint
// relative to both. Each average starts with one assumed sample at the prior, so that a few responses change it little.
// Inputs are the expected work of an attempt in nanoseconds, its latency, the number of attempts of this node at the
// endpoint when it was sent, and the delay of each zone, which does not depend on the work. Work is kept in nanoseconds
// as float64 for speed. Responses of a single endpoint never make the whole fleet look slow.
//
// See docs/design.md: "Admission: predicted in time".

const (
	// smoothingFactor is the weight of a new sample in an endpoint's exponentially weighted averages.
	smoothingFactor = 1.0 / 12
	// fleetWindow and endpointWindow are the maximum weights, in responses, of the averages of the fleet and of those
	// of a pod or an endpoint.
	fleetWindow    = 64
	endpointWindow = 2 / smoothingFactor
	// meanWorkWindow is the number of responses over which the mean work is averaged.
	meanWorkWindow = 32
	// fleetDecayPerSecond is the fraction of the weight of the fleet's average that remains after one second.
	fleetDecayPerSecond = 0.5

	// highLatencyQuantile is the quantile of the latency per unit of work that decides whether an attempt is overdue or
	// an endpoint is silent.
	highLatencyQuantile = 0.95
	// initialHighLatency is the initial value of that quantile, relative to the first latency of an endpoint, and for
	// the fleet relative to the work.
	initialHighLatency = 2
	// maxHighLatencyFactor bounds the high quantile of an endpoint relative to that of its healthy peers.
	maxHighLatencyFactor = 2
	// ownAttemptFactor is the weight of an attempt of this node in flight in a prediction.
	ownAttemptFactor = 2
	// zoneDelayQuantile is the quantile of latency minus work that is used as the delay of a zone.
	zoneDelayQuantile = 0.1
	// minWorkFraction is the lower bound of a request's work, relative to the mean work.
	minWorkFraction = 0.25
	// maxSampleFactor bounds a latency sample in the averages of fleet and pod, relative to the current average.
	maxSampleFactor = 3
	// minOverdueTicks is the minimum time, in ticks of the clock, before an attempt is overdue: this process itself may
	// have been paused.
	minOverdueTicks = 4
	// minSamplesForOverdue is the number of responses from which on the time until an attempt is overdue is not
	// extended.
	minSamplesForOverdue = 1 / smoothingFactor
	// overdueFactor is applied to the high quantile of the latency: an attempt is overdue after the product.
	overdueFactor = 2
)

// estimator holds the latency and work estimates of the fleet and of each class. Estimates of a single endpoint are
// stored in the endpoint.
type estimator struct {
	estimates.FleetEstimates
	classes         []estimates.ClassEstimates
	clockResolution time.Duration
}

func newEstimator(settings *Settings) estimator {
	initial := []estimates.ClassEstimates{estimates.NewClass()}
	return estimator{
		FleetEstimates:  estimates.NewFleet(initialHighLatency),
		classes:         slices.Repeat(initial, len(settings.Classes)),
		clockResolution: settings.ClockResolution,
	}
}

// predictLatency returns the expected latency of a request with the given work. Attempts of this node in flight count
// twice, since whatever makes this node prefer an endpoint makes other nodes prefer it too.
func (e *estimator) predictLatency(ep *endpoint, work float64) time.Duration {
	perWork, inFlight := e.expectedLatency(ep)
	inFlightFactor := (1 + ownAttemptFactor*float64(ep.inFlight)) / (1 + ownAttemptFactor*inFlight)
	return time.Duration(e.ZoneDelay[ep.Zone] + perWork*work*inFlightFactor)
}

// expectedLatency returns the latency per unit of work, and the attempts in flight at which it was measured. The mean
// of each level is the prior of the next one, so an endpoint without responses is predicted from its pod and the fleet.
func (e *estimator) expectedLatency(ep *endpoint) (perWork, inFlight float64) {
	fleet, inFlight := e.Fleet.Means(1, 0)
	pod, inFlight := ep.podLatency.Means(1, inFlight)
	own, inFlight := ep.Latency.Means(1, inFlight)
	return fleet * pod * own, inFlight
}

// unloadedNanos returns the latency of the given work with no other request at the endpoint and an unloaded fleet.
func (e *estimator) unloadedNanos(ep *endpoint, work float64) float64 {
	return e.ZoneDelay[ep.Zone] + work*ep.podLatency.MeanRatio()*ep.Latency.MeanRatio()
}

// overdueAfter returns the time after which an attempt is overdue, from the high quantile of the endpoint or of its
// healthy peers.
func (e *estimator) overdueAfter(ep *endpoint, work float64) time.Duration {
	high := e.usualHighLatency()
	if ep.HasLatency && !ep.isUnhealthy(ep.lastActiveAt) {
		high = min(maxHighLatencyFactor*high, ep.HighLatency)
	}
	_, inFlight := e.expectedLatency(ep)
	work *= high * (1 + float64(ep.inFlight)) / (1 + min(inFlight, float64(ep.inFlight)))
	overdue := time.Duration(e.fewSamplesFactor() * overdueFactor * (e.ZoneDelay[ep.Zone] + work))
	return max(minOverdueTicks*e.clockResolution, overdue)
}

// fewSamplesFactor extends the time until an attempt is overdue while fewer than minSamplesForOverdue responses of any
// class have arrived.
func (e *estimator) fewSamplesFactor() float64 {
	responses := 0
	for i := range e.classes {
		responses += e.classes[i].WorkSamples
	}
	return max(1, minSamplesForOverdue/float64(max(responses, 1)))
}

// usualHighLatency returns the mean of the endpoints' high quantiles of the latency per unit of work.
func (e *estimator) usualHighLatency() float64 {
	if e.HighLatency == initialHighLatency { // not measured yet
		return initialHighLatency * e.Fleet.MeanRatio()
	}
	return e.HighLatency
}

// expectedWork returns the expected work of a request at an endpoint without affinity for its key, in nanoseconds; 0 if
// it is not known yet.
func (e *estimator) expectedWork(req *request) float64 {
	if req.CostHint > 0 {
		// The latency of requests with very little work says nothing about an endpoint.
		return max(float64(req.CostHint), minWorkFraction*e.MeanWork)
	}
	return cmp.Or(e.classes[req.Class].TypicalWork, e.MeanWork)
}

// relativeWork returns work relative to the mean work of a request.
func (e *estimator) relativeWork(work float64) float64 {
	return cmp.Or(work, e.MeanWork, 1) / cmp.Or(e.MeanWork, work, 1)
}

// worstSuccessRate returns the lowest success rate of all classes.
func (e *estimator) worstSuccessRate() float64 {
	worst := slices.MinFunc(e.classes, func(a, b estimates.ClassEstimates) int {
		return cmp.Compare(a.SuccessRate, b.SuccessRate)
	})
	return worst.SuccessRate
}

// observeLatency updates the latency estimates of an endpoint, its pod and the fleet with the latency of an attempt.
func (e *estimator) observeLatency(a *attempt, latencyNanos float64) {
	if a.work == 0 {
		return
	}
	ep := a.endpoint
	perWork := latencyNanos / a.work
	fleet, pod := e.Fleet.MeanRatio(), ep.podLatency.MeanRatio()
	// Prevents a few slow endpoints from making the fleet look slow.
	e.Fleet.Add(min(perWork, maxSampleFactor*fleet), a.inFlightAtSend, fleetWindow)
	ep.podLatency.Add(min(perWork/fleet, maxSampleFactor*pod), a.inFlightAtSend, endpointWindow)
	ep.Latency.Add(perWork/fleet/pod, a.inFlightAtSend, endpointWindow)
	if !ep.HasLatency {
		ep.HasLatency = true
		ep.HighLatency = initialHighLatency * perWork
	}
	mean, _ := e.expectedLatency(ep)
	step := estimates.QuantileStep(perWork > ep.HighLatency, mean*smoothingFactor, highLatencyQuantile)
	ep.HighLatency = max(mean, ep.HighLatency+step)
}

// observeMeanWork updates the mean work with the work of an answered request.
func (e *estimator) observeMeanWork(work float64) {
	// The first response counts in full. Otherwise other classes would be compared with a mean work near zero.
	e.MeanWork = cmp.Or(e.MeanWork, work)
	e.MeanWork += (work - e.MeanWork) / meanWorkWindow
}

// subtractZoneDelay returns a latency without the delay of the endpoint's zone and updates that delay. Without it,
// requests with little work would make other zones look slow.
func (e *estimator) subtractZoneDelay(a *attempt, latencyNanos float64) float64 {
	zone := a.endpoint.Zone
	beyondWork := latencyNanos - a.work
	delay, known := e.ZoneDelay[zone]
	if !known {
		delay = beyondWork
	}
	step := estimates.QuantileStep(beyondWork >= delay, e.MeanWork*smoothingFactor, zoneDelayQuantile)
	delay = max(0, delay+step)
	e.ZoneDelay[zone] = delay
	return max(latencyNanos-delay, a.work*minWorkFraction)
}

// updateHighLatency sets the fleet's high latency to the mean over the active and healthy endpoints.
func (e *estimator) updateHighLatency(now Time, endpoints []*endpoint) {
	sum, count := 0.0, 0.0
	for _, ep := range endpoints {
		if ep.State == StateActive && ep.HasLatency && !ep.isUnhealthy(now) {
			sum += ep.HighLatency
			count++
		}
	}
	e.HighLatency = cmp.Or(sum/max(count, 1), e.HighLatency)
}

// decayEndpoint moves the estimates of an endpoint without recent responses toward those of its peers.
func (e *estimator) decayEndpoint(ep *endpoint) {
	uncertainty := 1 - min(1, ep.Latency.Weight*smoothingFactor)
	ep.HighLatency += (e.HighLatency - ep.HighLatency) * smoothingFactor * uncertainty
	ep.Latency.Decay(1 - smoothingFactor)
}

// gaveUpAllRequests reports whether, in the second that ends, this node gave up requests and none was answered.
func (e *estimator) gaveUpAllRequests() bool {
	answered, givenUp := 0, 0
	for i := range e.classes {
		answered += e.classes[i].AnsweredCount
		givenUp += e.classes[i].GivenUpCount
	}
	return answered == 0 && givenUp > 0
}

func (e *estimator) decayClasses() {
	for i := range e.classes {
		e.classes[i].Decay()
	}
}
