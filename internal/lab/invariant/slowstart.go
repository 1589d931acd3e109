package invariant

import (
	"fmt"
	"math"

	"fawnglade/internal/lab/model"
)

// Rule 4: an endpoint in slow start is not overloaded until it crashes. Nodes answer for a crash if two thirds of the
// work in its window came from those that knew of the endpoint's start.

const crashKnownShare = 2.0 / 3

func (c *checker) checkCrashes() {
	for _, crash := range c.Crashes {
		known, byNode, worst := 0.0, map[int]float64{}, -1
		for _, a := range crash.Arrivals {
			if c.knewStart(crash.Endpoint, crash.StartedAt, a) {
				known += a.Work
			}
			byNode[a.Node] += a.Work
			if worst < 0 || byNode[a.Node] > byNode[worst] {
				worst = a.Node
			}
		}
		if known >= crash.Work*2/3 {
			what := fmt.Sprintf("a cold server was pushed over: %.2f s of work on a capacity of %.2f a second", crash.Work, crash.Capacity)
			c.report(Violation{
				Rule: 4, Description: what, Attempt: -1, Endpoint: crash.Endpoint, Node: worst, At: crash.At,
			})
		}
	}
}

// Peak is the moment at which the load of an endpoint in slow start exceeded its budget most. Load and Budget are in
// requests of mean work within the window; Excess is Load over Budget in roots of Budget, of which the standing test
// puts 2 and two requests down to chance.
type Peak struct {
	Endpoint     int
	At           int64
	Load, Budget float64
	Excess       float64
	KnownShare   float64 // part of Load from nodes that knew of the endpoint's start
}

// Peaks returns the worst moment of each slow start: of all work, and of the moments at which over two thirds came from
// nodes that knew of the endpoint's start. Those without such a moment are not among the second.
func (h *History) Peaks(rules Rules) (all, known []Peak) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := newChecker(h, nil, rules)
	for _, s := range h.SlowStarts {
		worst, worstKnown := c.peaksOf(s)
		all = append(all, worst)
		if worstKnown.Budget > 0 {
			known = append(known, worstKnown)
		}
	}
	return all, known
}

// peaksOf slides the window over the work that arrived in one slow start.
func (c *checker) peaksOf(s SlowStart) (worst, worstKnown Peak) {
	knew := make([]bool, len(s.Arrivals))
	load, known, from := 0.0, 0.0, 0
	for i, a := range s.Arrivals {
		if knew[i] = c.knewStart(s.Endpoint, s.StartedAt, a); knew[i] {
			known += a.Work
		}
		load += a.Work
		for ; s.Arrivals[from].At <= a.At-s.Window; from++ {
			load -= s.Arrivals[from].Work
			if knew[from] {
				known -= s.Arrivals[from].Work
			}
		}
		p := newPeak(s, a, load, known)
		if worst.Budget == 0 || p.Excess > worst.Excess {
			worst = p
		}
		if p.KnownShare > crashKnownShare && (worstKnown.Budget == 0 || p.Excess > worstKnown.Excess) {
			worstKnown = p
		}
	}
	return worst, worstKnown
}

func newPeak(s SlowStart, a model.Arrival, load, known float64) Peak {
	p := Peak{
		Endpoint: s.Endpoint, At: a.At, Load: load / s.MeanWork, Budget: a.Budget / s.MeanWork,
		KnownShare: known / max(load, 1e-12),
	}
	p.Excess = (p.Load - p.Budget) / math.Sqrt(p.Budget)
	return p
}
