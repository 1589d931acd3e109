package policy

import (
	"cmp"
	"slices"
	"time"

	"fawnglade/internal/estimates"
)

// Latency is predicted from decaying averages of the answers' latency for each unit of expected work, a ratio: that of
// the fleet, times that of the pod over the fleet, times that of the endpoint over both. Each average starts with one
// assumed answer that shows nothing unusual, so that few answers change it little. Inputs: the work of an attempt in
// nanoseconds, its latency, the attempts of this node at the endpoint when it was sent, and, by zone, the latency that
// an answer has however little the work. Work is in nanoseconds as float64, for speed. Answers of one endpoint alone
// never make the fleet look slow. docs/design.md: "Admission: predicted in time".

const (
	// smoothingFactor is the part of a new value in an endpoint's exponentially weighted averages.
	smoothingFactor = 1.0 / 12
	// fleetWindow and endpointWindow are the weights in answers at which the averages of the fleet, and those of a pod
	// and of an endpoint, stay.
	fleetWindow    = 64
	endpointWindow = 2 / smoothingFactor
	// meanWorkWindow is the number of answers over which the mean work is averaged.
	meanWorkWindow = 32
	// fleetDecayPerSecond is the part of what answers showed of the fleet that still counts a second later.
	fleetDecayPerSecond = 0.5

	// highLatencyQuantile is the quantile of the latency for each unit of work by which an endpoint is overdue or
	// silent.
	highLatencyQuantile = 0.95
	// initialHighLatency is that quantile until it is learned: over an endpoint's first answer, and for the fleet over
	// the work alone.
	initialHighLatency = 2
	// maxHighLatencyFactor bounds the high quantile of an endpoint, over that of its healthy peers.
	maxHighLatencyFactor = 2
	// ownAttemptFactor is what an attempt of this node in flight counts for in a prediction.
	ownAttemptFactor = 2
	// zoneDelayQuantile is the quantile of latency less work that is taken for the delay of a zone.
	zoneDelayQuantile = 0.1
	// minWorkFraction is the part of the mean work that a request counts for at least.
	minWorkFraction = 0.25
	// maxSampleFactor bounds what an answer counts for in the averages of fleet and pod, over the averages themselves.
	maxSampleFactor = 3
	// minOverdueTicks is how many ticks of the clock an answer is not overdue: this process itself may have been
	// paused.
	minOverdueTicks = 4
	// minSamplesForOverdue is how many answers tell what is late.
	minSamplesForOverdue = 1 / smoothingFactor
	// overdueFactor: an answer is overdue after its high quantile times this.
	overdueFactor = 2
)

// estimator holds what was learned of latency and work of the fleet and of each class. What was learned of an endpoint
// is in the endpoint.
type estimator struct {
	estimates.FleetEstimates
	classes         []estimates.ClassEstimates
	clockResolution time.Duration
}

func newEstimator(settings *Settings) estimator {
	unknown := []estimates.ClassEstimates{estimates.NewClass()}
	return estimator{
		FleetEstimates:  estimates.NewFleet(initialHighLatency),
		classes:         slices.Repeat(unknown, len(settings.Classes)),
		clockResolution: settings.ClockResolution,
	}
}

// predictLatency is the expected latency of so much work. Attempts of this node count double: what draws this node to
// an endpoint draws others too, unseen.
func (e *estimator) predictLatency(ep *endpoint, work float64) time.Duration {
	perWork, inFlight := e.expectedLatency(ep)
	crowding := (1 + ownAttemptFactor*float64(ep.inFlight)) / (1 + ownAttemptFactor*inFlight)
	return time.Duration(e.ZoneDelay[ep.Zone] + perWork*work*crowding)
}

// expectedLatency is the latency for each unit of work, and the attempts in flight at which it was measured. The mean
// of each level is the prior of the next, so an endpoint without answers is expected to be as the fleet and its pod.
func (e *estimator) expectedLatency(ep *endpoint) (perWork, inFlight float64) {
	fleet, inFlight := e.Fleet.Means(1, 0)
	pod, inFlight := ep.podLatency.Means(1, inFlight)
	own, inFlight := ep.Latency.Means(1, inFlight)
	return fleet * pod * own, inFlight
}

// unloadedNanos is the latency of so much work with nothing else at the endpoint and the fleet at rest.
func (e *estimator) unloadedNanos(ep *endpoint, work float64) float64 {
	return e.ZoneDelay[ep.Zone] + work*ep.podLatency.MeanRatio()*ep.Latency.MeanRatio()
}

// overdueAfter is how long an answer may take, by the high quantile of the endpoint or of its healthy peers.
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

// patience is how many times longer an answer may take while few have come, of any class, to tell what is late.
func (e *estimator) fewSamplesFactor() float64 {
	answers := 0
	for i := range e.classes {
		answers += e.classes[i].WorkSamples
	}
	return max(1, minSamplesForOverdue/float64(max(answers, 1)))
}

// usualHighLatency is the mean of the endpoints' high quantiles of the latency for each unit of work.
func (e *estimator) usualHighLatency() float64 {
	if e.HighLatency == initialHighLatency { // not learned yet
		return initialHighLatency * e.Fleet.MeanRatio()
	}
	return e.HighLatency
}

// work is the expected work of a request where its key is not at home, in nanoseconds; 0: not known yet.
func (e *estimator) expectedWork(req *request) float64 {
	if req.CostHint > 0 {
		// The latency of requests with hardly any work says nothing of an endpoint.
		return max(float64(req.CostHint), minWorkFraction*e.MeanWork)
	}
	return cmp.Or(e.classes[req.Class].TypicalWork, e.MeanWork)
}

// relativeWork is work in requests of mean work.
func (e *estimator) relativeWork(work float64) float64 {
	return cmp.Or(work, e.MeanWork, 1) / cmp.Or(e.MeanWork, work, 1)
}

// worstSuccessRate is the success rate of the class that does worst.
func (e *estimator) worstSuccessRate() float64 {
	worst := slices.MinFunc(e.classes, func(a, b estimates.ClassEstimates) int {
		return cmp.Compare(a.SuccessRate, b.SuccessRate)
	})
	return worst.SuccessRate
}

// observeLatency learns of an endpoint, its pod and the fleet from how long an attempt took.
func (e *estimator) observeLatency(a *attempt, tookNanos float64) {
	if a.work == 0 {
		return
	}
	ep := a.endpoint
	perWork := tookNanos / a.work
	fleet, pod := e.Fleet.MeanRatio(), ep.podLatency.MeanRatio()
	// Guards against a few slow endpoints making the fleet look late.
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

// observeMeanWork learns from the work of a request that was answered.
func (e *estimator) observeMeanWork(work float64) {
	// The first answer counts in full. Guards against other classes being compared with next to nothing.
	e.MeanWork = cmp.Or(e.MeanWork, work)
	e.MeanWork += (work - e.MeanWork) / meanWorkWindow
}

// subtractZoneDelay subtracts from a latency the delay of the endpoint's zone, and learns that delay. Guards against
// requests with little work making another zone look slow.
func (e *estimator) subtractZoneDelay(a *attempt, tookNanos float64) float64 {
	zone := a.endpoint.Zone
	beyondWork := tookNanos - a.work
	delay, known := e.ZoneDelay[zone]
	if !known {
		delay = beyondWork
	}
	step := estimates.QuantileStep(beyondWork >= delay, e.MeanWork*smoothingFactor, zoneDelayQuantile)
	delay = max(0, delay+step)
	e.ZoneDelay[zone] = delay
	return max(tookNanos-delay, a.work*minWorkFraction)
}

// updateHighLatency takes the mean of the high quantiles of the endpoints that are active and healthy.
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

// decayEndpoint lets what was learned of an endpoint without recent answers drift to what others show.
func (e *estimator) decayEndpoint(ep *endpoint) {
	unknown := 1 - min(1, ep.Latency.Weight*smoothingFactor)
	ep.HighLatency += (e.HighLatency - ep.HighLatency) * smoothingFactor * unknown
	ep.Latency.Decay(1 - smoothingFactor)
}

// gaveUpAllRequests reports whether this node gave up requests, and none was answered, in the second that ends.
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
