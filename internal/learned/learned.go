// Package learned owns the figures that an instance of the decisions learns of its fleet, in the form in which another
// instance at the same place takes them over. It must never decide anything, nor trust what it is handed.
package learned

import (
	"math"

	"fawnglade/internal/fading"
)

// Figures are of one server.
type Figures struct {
	Load, Reported, Drift float64     // w before the exceptions; its last report; what each send since adds
	Own                   fading.Pair // answer times for each unit of work; what was out when they set off
	High                  float64     // quantile of answer time for each unit of expected work
	Known, Heard          bool        // by answers; by reports
}

// Category is what an instance learns of one category.
type Category struct {
	Typical          float64 // a low quantile of answer times, to compare tasks that bring no hint
	Spread           float64 // a high quantile of answer times over their prediction
	Fares, Asked     float64 // part of the tasks of late that were satisfied; fading count of them
	Due              float64 // part of its time that it keeps while tasks are turned away
	Taken, Away, Met int     // since the last tick: answers, tasks given up; answers ever
}

// Common is of all servers together.
type Common struct {
	Pods         map[int]*fading.Pair
	Fleet        fading.Pair
	Way          map[int]float64 // by zone: what an answer takes however little the work
	MeanOf, High float64         // mean cost of a task; mean of the high quantiles
}

// Server is one server's figures, and which start of it they are of.
type Server struct {
	Figures
	Started int64
}

// All is what one instance hands to another.
type All struct {
	Common
	Categories []Category
	Servers    map[uint32]Server
}

func sound(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

func soundPair(p *fading.Pair) bool { return p != nil && sound(p.A, p.B, p.N) }

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
