// Package estimates owns the figures that an instance of the decisions learns of its fleet, in the form in which another
// instance at the same place takes them over. It must never decide anything, nor trust what it is handed.
package estimates

import (
	"fawnglade/internal/ewma"
	"math"
)

// EndpointEstimates are of one server.
type EndpointEstimates struct {
	Load        float64   `json:"Load"`     // w before the exceptions
	LastReport  float64   `json:"Reported"` // its last report
	RisePerSend float64   `json:"Drift"`    // what each send since adds
	Latency     ewma.Pair `json:"Own"`      // answer times for each unit of work; what was out when they set off
	HighLatency float64   `json:"High"`     // quantile of answer time for each unit of expected work
	HasLatency  bool      `json:"Known"`    // by answers
	HasReport   bool      `json:"Heard"`    // by reports
}

// ClassEstimates is what an instance learns of one class.
type ClassEstimates struct {
	TypicalWork   float64 `json:"Typical"` // a low quantile of answer times, to compare requests that bring no hint
	LatencySpread float64 `json:"Spread"`  // a high quantile of answer times over their prediction
	SuccessRate   float64 `json:"Fares"`   // part of the requests of late that were satisfied
	RequestCount  float64 `json:"Asked"`   // fading count of them
	KeptShare     float64 `json:"Due"`     // part of its time that it keeps while requests are rejected
	AnsweredCount int     `json:"Taken"`   // answers since the last tick
	GivenUpCount  int     `json:"Away"`    // requests given up since the last tick
	WorkSamples   int     `json:"Met"`     // answers ever
}

// NewClass is what is known of a class before its first request.
func NewClass() ClassEstimates { return ClassEstimates{LatencySpread: 2, SuccessRate: 1, KeptShare: 1} }

// NewFleet is what is known of a fleet before its first answer.
func NewFleet(highLatency float64) FleetEstimates {
	return FleetEstimates{HighLatency: highLatency, Pods: map[int]*ewma.Pair{}, ZoneDelay: map[int]float64{}}
}

const (
	learn     = 1.0 / 12 // part of a new value in a class's running quantiles
	single    = 0.9      // the quantile of answers over predictions
	most      = 5        // times a prediction that an answer may come
	askedFade = 0.9      // part of the requests asked for that still counts a second later
	lowest    = 0.4      // the quantile that tells a class's work from its waiting
	firstMet  = 8        // answers by whose mean a class's work is first known
)

// RecordResult takes in that a request was satisfied, or given up.
func (c *ClassEstimates) RecordResult(satisfied bool) {
	c.RequestCount = min(c.RequestCount+1, 64)
	part := 0.0
	if satisfied {
		part = 1
	} else {
		c.GivenUpCount++
	}
	c.SuccessRate = max(c.SuccessRate+(part-c.SuccessRate)/(c.RequestCount+1), 0.01)
}

// Calibrate learns how far above its prediction, if there was one, an answer came. At most, against heavy requests that nobody
// told of: late on any server, they say nothing of waiting.
func (c *ClassEstimates) Calibrate(took, predicted float64) {
	if c.AnsweredCount++; predicted > 0 {
		c.LatencySpread *= 1 + QuantileStep(took > predicted*c.LatencySpread, learn, single)
		c.LatencySpread = min(max(c.LatencySpread, 0.5), most)
	}
}

// ObserveWork learns what the class's work is. Guards against a lock-out: by the mean a jam makes idle servers look late, and so
// does one small first answer.
func (c *ClassEstimates) ObserveWork(took float64) {
	if c.WorkSamples++; c.WorkSamples <= firstMet {
		c.TypicalWork += (took - c.TypicalWork) / float64(c.WorkSamples)
	} else {
		c.TypicalWork *= 1 + QuantileStep(took > c.TypicalWork, learn/2, lowest)
	}
}

// Decay is called once a second.
func (c *ClassEstimates) Decay() {
	if c.AnsweredCount <= c.GivenUpCount {
		// Guards against a lock-out: a bound so high that next to nothing is taken would not be measured again.
		c.LatencySpread = max(1, c.LatencySpread*(1-learn))
	}
	c.RequestCount *= askedFade
	c.SuccessRate += (1 - c.SuccessRate) * (1 - askedFade) / (c.RequestCount + 1) // what is no longer asked for holds back nobody
	c.AnsweredCount, c.GivenUpCount = 0, 0
}

// FleetEstimates is of all servers together.
type FleetEstimates struct {
	Pods        map[int]*ewma.Pair `json:"Pods"`
	Fleet       ewma.Pair          `json:"Fleet"`
	ZoneDelay   map[int]float64    `json:"Way"`    // by zone: what an answer takes however little the work
	MeanWork    float64            `json:"MeanOf"` // mean cost of a request
	HighLatency float64            `json:"High"`   // mean of the high quantiles
}

// Decay is called once a second: what answers showed of pods and of the fleet counts for those parts of it.
func (c *FleetEstimates) Decay(pods, fleet float64) {
	for _, pod := range c.Pods {
		pod.Decay(pods)
	}
	c.Fleet.Decay(fleet)
}

// Endpoint is one server's figures, and which start of it they are of.
type Endpoint struct {
	EndpointEstimates
	StartedAt int64 `json:"Started"`
}

// Snapshot is what one instance hands to another.
type Snapshot struct {
	FleetEstimates
	Classes   []ClassEstimates    `json:"Categories"`
	Endpoints map[uint32]Endpoint `json:"Servers"`
}

// Decay has a part of what was seen count: what is old says less.
func (a *Snapshot) Decay(part float64) {
	a.Fleet.Decay(part)
	for _, pod := range a.Pods {
		pod.Decay(part)
	}
	for id, s := range a.Endpoints {
		s.Latency.Decay(part)
		a.Endpoints[id] = s
	}
	for i := range a.Classes {
		c := &a.Classes[i]
		c.RequestCount *= part
		c.SuccessRate += (1 - c.SuccessRate) * (1 - part)
	}
}

func sound(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

func soundPair(p *ewma.Pair) bool { return p != nil && sound(p.A, p.B, p.Weight) }

// Valid tells whether all of it could have been learned of so many classes.
func (a *Snapshot) Valid(categories int) bool {
	if len(a.Classes) != categories || a.ZoneDelay == nil || !soundPair(&a.Fleet) || !sound(a.MeanWork, a.HighLatency) || a.HighLatency == 0 {
		return false
	}
	for _, c := range a.Classes {
		if !sound(c.TypicalWork, c.LatencySpread, c.SuccessRate, c.RequestCount, c.KeptShare) || c.SuccessRate == 0 || c.LatencySpread == 0 {
			return false
		}
	}
	for _, p := range a.Pods {
		if !soundPair(p) {
			return false
		}
	}
	for _, w := range a.ZoneDelay {
		if !sound(w) {
			return false
		}
	}
	for _, s := range a.Endpoints {
		if !sound(s.Load, s.LastReport, s.RisePerSend, s.HighLatency) || !soundPair(&s.Latency) {
			return false
		}
	}
	return true
}

// TakeOver begins with what another has learned; pods that are not known here are left out.
func (c *FleetEstimates) TakeOver(from *FleetEstimates) {
	for id, pod := range from.Pods {
		if own := c.Pods[id]; own != nil {
			*own = *pod
		}
	}
	c.Fleet, c.ZoneDelay, c.MeanWork, c.HighLatency = from.Fleet, from.ZoneDelay, from.MeanWork, from.HighLatency
}

// QuantileStep moves a running quantile by a part of what by says, up or down.
func QuantileStep(up bool, by, quantile float64) float64 {
	if up {
		return by * quantile
	}
	return by * (quantile - 1)
}
