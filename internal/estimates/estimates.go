// Package estimates owns the figures that an instance of the decisions learns of its fleet, in the form in which another
// instance at the same place takes them over. It must never decide anything, nor trust what it is handed.
package estimates

import (
	"math"

	"fawnglade/internal/ewma"
)

// Figures are of one server.
type Figures struct {
	Load     float64   `json:"Load"`     // w before the exceptions
	Reported float64   `json:"Reported"` // its last report
	Drift    float64   `json:"Drift"`    // what each send since adds
	Own      ewma.Pair `json:"Own"`      // answer times for each unit of work; what was out when they set off
	High     float64   `json:"High"`     // quantile of answer time for each unit of expected work
	Known    bool      `json:"Known"`    // by answers
	Heard    bool      `json:"Heard"`    // by reports
}

// Category is what an instance learns of one category.
type Category struct {
	Typical float64 `json:"Typical"` // a low quantile of answer times, to compare tasks that bring no hint
	Spread  float64 `json:"Spread"`  // a high quantile of answer times over their prediction
	Fares   float64 `json:"Fares"`   // part of the tasks of late that were satisfied
	Asked   float64 `json:"Asked"`   // fading count of them
	Due     float64 `json:"Due"`     // part of its time that it keeps while tasks are turned away
	Taken   int     `json:"Taken"`   // answers since the last tick
	Away    int     `json:"Away"`    // tasks given up since the last tick
	Met     int     `json:"Met"`     // answers ever
}

const (
	learn     = 1.0 / 12 // part of a new value in a category's running quantiles
	single    = 0.9      // the quantile of answers over predictions
	most      = 5        // times a prediction that an answer may come
	askedFade = 0.9      // part of the tasks asked for that still counts a second later
	lowest    = 0.4      // the quantile that tells a category's work from its waiting
	firstMet  = 8        // answers by whose mean a category's work is first known
)

// Fare takes in that a task was satisfied, or given up.
func (c *Category) Fare(satisfied bool) {
	c.Asked = min(c.Asked+1, 64)
	part := 0.0
	if satisfied {
		part = 1
	} else {
		c.Away++
	}
	c.Fares = max(c.Fares+(part-c.Fares)/(c.Asked+1), 0.01)
}

// Calibrate learns how far above its prediction, if there was one, an answer came. At most, against heavy tasks that nobody
// told of: late on any server, they say nothing of waiting.
func (c *Category) Calibrate(took, predicted float64) {
	if c.Taken++; predicted > 0 {
		c.Spread *= 1 + Step(took > predicted*c.Spread, learn, single)
		c.Spread = min(max(c.Spread, 0.5), most)
	}
}

// Meet learns what the category's work is. Guards against a lock-out: by the mean a jam makes idle servers look late, and so
// does one small first answer.
func (c *Category) Meet(took float64) {
	if c.Met++; c.Met <= firstMet {
		c.Typical += (took - c.Typical) / float64(c.Met)
	} else {
		c.Typical *= 1 + Step(took > c.Typical, learn/2, lowest)
	}
}

// Age is called once a second.
func (c *Category) Age() {
	if c.Taken <= c.Away {
		// Guards against a lock-out: a bound so high that next to nothing is taken would not be measured again.
		c.Spread = max(1, c.Spread*(1-learn))
	}
	c.Asked *= askedFade
	c.Fares += (1 - c.Fares) * (1 - askedFade) / (c.Asked + 1) // what is no longer asked for holds back nobody
	c.Taken, c.Away = 0, 0
}

// Common is of all servers together.
type Common struct {
	Pods   map[int]*ewma.Pair `json:"Pods"`
	Fleet  ewma.Pair          `json:"Fleet"`
	Way    map[int]float64    `json:"Way"`    // by zone: what an answer takes however little the work
	MeanOf float64            `json:"MeanOf"` // mean cost of a task
	High   float64            `json:"High"`   // mean of the high quantiles
}

// Age is called once a second: what answers showed of pods and of the fleet counts for those parts of it.
func (c *Common) Age(pods, fleet float64) {
	for _, pod := range c.Pods {
		pod.Fade(pods)
	}
	c.Fleet.Fade(fleet)
}

// Server is one server's figures, and which start of it they are of.
type Server struct {
	Figures
	Started int64 `json:"Started"`
}

// All is what one instance hands to another.
type All struct {
	Common
	Categories []Category        `json:"Categories"`
	Servers    map[uint32]Server `json:"Servers"`
}

// Fade has a part of what was seen count: what is old says less.
func (a *All) Fade(part float64) {
	a.Fleet.Fade(part)
	for _, pod := range a.Pods {
		pod.Fade(part)
	}
	for id, s := range a.Servers {
		s.Own.Fade(part)
		a.Servers[id] = s
	}
	for i := range a.Categories {
		c := &a.Categories[i]
		c.Asked *= part
		c.Fares += (1 - c.Fares) * (1 - part)
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

func soundPair(p *ewma.Pair) bool { return p != nil && sound(p.A, p.B, p.N) }

// Sound tells whether all of it could have been learned of so many categories.
func (a *All) Sound(categories int) bool {
	if len(a.Categories) != categories || a.Way == nil || !soundPair(&a.Fleet) || !sound(a.MeanOf, a.High) || a.High == 0 {
		return false
	}
	for _, c := range a.Categories {
		if !sound(c.Typical, c.Spread, c.Fares, c.Asked, c.Due) || c.Fares == 0 || c.Spread == 0 {
			return false
		}
	}
	for _, p := range a.Pods {
		if !soundPair(p) {
			return false
		}
	}
	for _, w := range a.Way {
		if !sound(w) {
			return false
		}
	}
	for _, s := range a.Servers {
		if !sound(s.Load, s.Reported, s.Drift, s.High) || !soundPair(&s.Own) {
			return false
		}
	}
	return true
}

// TakeOver begins with what another has learned; pods that are not known here are left out.
func (c *Common) TakeOver(from *Common) {
	for id, pod := range from.Pods {
		if own := c.Pods[id]; own != nil {
			*own = *pod
		}
	}
	c.Fleet, c.Way, c.MeanOf, c.High = from.Fleet, from.Way, from.MeanOf, from.High
}

// Step moves a running quantile by a part of what by says, up or down.
func Step(up bool, by, quantile float64) float64 {
	if up {
		return by * quantile
	}
	return by * (quantile - 1)
}
