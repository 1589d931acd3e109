package estimates

const (
	// learningRate is the step size of a class's quantile estimates (QuantileStep), relative to the estimate.
	learningRate = 1.0 / 12

	// spreadQuantile is the quantile of the ratio of latency to predicted latency that LatencySpread follows, bounded
	// by minSpread and maxSpread. The spread allows for heavy requests without a cost hint: they are late at any
	// endpoint, so their latency says nothing about queueing.
	spreadQuantile     = 0.9
	minSpread          = 0.5
	maxSpread          = 5
	initialSpread      = 2
	minSuccessRate     = 0.01
	maxRequestCount    = 64
	requestCountDecay  = 0.9 // fraction of RequestCount that is left after a second
	workQuantile       = 0.4 // of latencies; low, to separate the work of a class from its queueing time
	workSamplesForMean = 8   // responses whose mean latency is the first estimate of the work
)

// ClassEstimates holds the estimates for one class of requests.
type ClassEstimates struct {
	// TypicalWork is a low quantile of latencies, used for requests without a cost hint; 0: unknown.
	TypicalWork float64 `json:"Typical"`
	// LatencySpread is a high quantile of the ratio of latency to predicted latency.
	LatencySpread float64 `json:"Spread"`
	// SuccessRate is the fraction of recent requests that were answered; RequestCount is their decayed count.
	SuccessRate  float64 `json:"Fares"`
	RequestCount float64 `json:"Asked"`
	// PriorityFactor is the fraction, 0 to 1, of its latency budget that the class keeps while requests are given up.
	// It follows from the class's priority weight relative to the highest of all classes.
	PriorityFactor float64 `json:"Due"`
	// AnsweredCount and GivenUpCount count requests of the current second; WorkSamples counts all responses.
	AnsweredCount int `json:"Taken"`
	GivenUpCount  int `json:"Away"`
	WorkSamples   int `json:"Met"`
}

// NewClass returns the estimates of a class before its first request.
func NewClass() ClassEstimates {
	return ClassEstimates{LatencySpread: initialSpread, SuccessRate: 1, PriorityFactor: 1}
}

// RecordResult records whether a request was answered or given up. In the counts of the current second it includes only
// requests that were given up; Calibrate counts those that were answered.
func (c *ClassEstimates) RecordResult(answered bool) {
	c.RequestCount = min(c.RequestCount+1, maxRequestCount)
	success := 0.0
	if answered {
		success = 1
	} else {
		c.GivenUpCount++
	}
	c.SuccessRate = max(c.SuccessRate+(success-c.SuccessRate)/(c.RequestCount+1), minSuccessRate)
}

// Calibrate updates LatencySpread with a latency and its prediction; 0: there was no prediction.
func (c *ClassEstimates) Calibrate(latency, predicted float64) {
	c.AnsweredCount++
	if predicted <= 0 {
		return
	}
	c.LatencySpread *= 1 + QuantileStep(latency > predicted*c.LatencySpread, learningRate, spreadQuantile)
	c.LatencySpread = min(max(c.LatencySpread, minSpread), maxSpread)
}

// ObserveWork updates TypicalWork with a latency. It starts with the mean of workSamplesForMean samples and then
// follows a low quantile: a running mean would rise under overload, and a single short first response would set it too
// low. Either would make idle endpoints look late, so that the class was no longer admitted.
func (c *ClassEstimates) ObserveWork(latency float64) {
	c.WorkSamples++
	if c.WorkSamples <= workSamplesForMean {
		c.TypicalWork += (latency - c.TypicalWork) / float64(c.WorkSamples)
	} else {
		c.TypicalWork *= 1 + QuantileStep(latency > c.TypicalWork, learningRate/2, workQuantile)
	}
}

// IsWorkKnown reports whether there were enough responses to estimate the work of the class.
func (c *ClassEstimates) IsWorkKnown() bool { return c.WorkSamples >= workSamplesForMean }

// Decay ends a second of counting. The success rate of a class without requests drifts to 1, so that it does not hold
// back other classes.
func (c *ClassEstimates) Decay() {
	if c.AnsweredCount <= c.GivenUpCount {
		// A spread so high that hardly any request is admitted would never be measured again.
		c.LatencySpread = max(1, c.LatencySpread*(1-learningRate))
	}
	c.RequestCount *= requestCountDecay
	c.SuccessRate += (1 - c.SuccessRate) * (1 - requestCountDecay) / (c.RequestCount + 1)
	c.AnsweredCount = 0
	c.GivenUpCount = 0
}

// isValid reports whether all values are in the ranges that estimates can have.
func (c *ClassEstimates) isValid() bool {
	return isPositive(c.LatencySpread, c.SuccessRate) &&
		isNonNegative(c.TypicalWork, c.RequestCount, c.PriorityFactor)
}
