package workload

import (
	"math"
	"math/rand/v2"

	"fawnglade/internal/lab/scenario"
)

// Operation is one thing that a client wants. The requests that it sends for it have IDs of their own.
type Operation struct {
	Index            int    `json:"N"`
	Due              int64  `json:"Due"`  // nanoseconds since the run's beginning
	Zone             int    `json:"Zone"` // of the client, and so of its front
	Class            int    `json:"Category"`
	Tenant           int    `json:"Customer"` // -1 without
	Key              int    `json:"Key"`      // -1 without
	Work             int64  `json:"Work"`     // nanoseconds on a core of speed 1
	CostHint         int64  `json:"Estimate"` // the client's guess at the work; 0: it sends none
	CancelsAfter     int64  `json:"Leaves"`   // nanoseconds after which the client cancels; 0: it stays
	OneShot          bool   `json:"Once"`     // its connection is kept and never used again
	HonorsRetryAfter bool   `json:"Honours"`
	Seed             uint64 `json:"Seed"`
}

const (
	noIndex = -1
	minWork = 1000 // nanoseconds
)

// relativeRate is the rate at a moment, as a multiple of the mean.
func relativeRate(l *scenario.Load, at, length int64) float64 {
	period := float64(l.Period)
	switch l.Shape {
	case "wave":
		return 1 + l.Swing*math.Sin(2*math.Pi*float64(at)/period)
	case "burst":
		// A fifth of each period is above the mean by the swing, the rest below it so that the mean holds.
		if math.Mod(float64(at), period) < period/5 {
			return 1 + l.Swing
		}
		return 1 - l.Swing/4
	case "month-end":
		return monthEndRate(l.Swing, float64(at)/float64(length))
	}
	return 1
}

// monthEndRate climbs to the middle of the run and stays there.
func monthEndRate(swing, x float64) float64 {
	switch {
	case x < 0.3:
		return 1 - swing + 2*swing*x/0.3
	case x < 0.7:
		return 1 + swing
	}
	return 1 + swing - 2*swing*(x-0.7)/0.3
}

// operationWeights are the weights by which operations are drawn.
type operationWeights struct{ class, tenant, zone []float64 }

func newOperationWeights(s *scenario.Scenario) operationWeights {
	w := operationWeights{
		class:  weights(s.Classes, func(c *scenario.Class) float64 { return c.Share }),
		tenant: weights(s.Tenants, func(t *scenario.Tenant) float64 { return t.Share }),
		zone:   s.Load.ZoneShare,
	}
	if len(w.zone) == 0 {
		w.zone = weights(s.Network.Zones, func(*string) float64 { return 1 })
	}
	return w
}

func (p *Plan) drawOperations(s *scenario.Scenario) {
	draw := newRandom(p.Seed, "tasks")
	weights := newOperationWeights(s)
	highest := s.Load.Rate * (1 + s.Load.Swing)
	for at := 0.0; ; {
		at += draw.ExpFloat64() / highest * 1e9
		if int64(at) >= int64(s.Length) {
			break
		}
		// Thinning: arrivals at the highest rate, of which each is kept with the wanted rate's part.
		if draw.Float64()*(1+s.Load.Swing) >= relativeRate(&s.Load, int64(at), int64(s.Length)) {
			continue
		}
		p.Operations = append(p.Operations, drawOperation(s, draw, &weights, len(p.Operations), int64(at)))
	}
}

// drawOperation draws one operation. The order of the draws is part of the plan.
func drawOperation(s *scenario.Scenario, draw *rand.Rand, w *operationWeights, index int, due int64) Operation {
	o := Operation{Index: index, Due: due, Tenant: noIndex, Key: noIndex, Seed: draw.Uint64()}
	o.Class = drawWeighted(draw, w.class)
	o.Zone = drawWeighted(draw, w.zone)
	if len(s.Tenants) > 0 {
		o.Tenant = drawWeighted(draw, w.tenant)
	}
	if s.Load.Keys > 0 {
		o.Key = 0
		if draw.Float64() >= s.Load.HotKeyShare {
			o.Key = draw.IntN(s.Load.Keys)
		}
	}
	c := &s.Classes[o.Class]
	o.Work = int64(float64(c.Work) * (1 - c.WorkSpread + c.WorkSpread*draw.ExpFloat64()))
	o.Work = max(o.Work, minWork)
	if c.CostHint {
		o.CostHint = int64(float64(o.Work) * (0.8 + 0.4*draw.Float64()))
	}
	if draw.Float64() < s.Clients.CancelShare {
		o.CancelsAfter = int64(float64(c.Deadline) * draw.Float64())
	}
	o.OneShot = draw.Float64() < s.Clients.OneShotShare
	o.HonorsRetryAfter = draw.Float64() < s.Clients.HonorShare
	return o
}

func weights[T any](list []T, of func(*T) float64) []float64 {
	out := make([]float64, len(list))
	for i := range list {
		out[i] = of(&list[i])
	}
	return out
}

// pick draws an index by weight.
func drawWeighted(draw *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := draw.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// AttemptWork returns the work of one attempt at an endpoint, in nanoseconds, and a number from 0 to 1 that decides
// whether it fails. Both depend on the request's seed, the attempt's place among those of its request, and the endpoint
// alone, so that it does not matter when it comes.
func AttemptWork(work int64, noise float64, seed, endpoint uint64, attempt int) (drawn int64, luck float64) {
	draw := rand.New(rand.NewPCG(seed+uint64(attempt), endpoint))
	return max(int64(float64(work)*(1+noise*(2*draw.Float64()-1))), minWork), draw.Float64()
}
