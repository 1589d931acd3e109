package faultsearch

import (
	"math/rand/v2"
	"slices"

	"fawnglade/internal/lab/scenario"
)

const (
	maxFaultsDrawn = 4
	maxFaults      = 5 // up to which a change adds one
	maxSeed        = 1 << 40
)

// kinds of fault that are drawn.
var drawnKinds = []string{
	"slow", "silent", "fail", "turn-away", "reset", "pause", "crowd", "cut", "die", "restart-servers", "replace", "drain", "unlisted",
	"discovery-down", "discovery-slow", "lists-late", "wait", "kill", "stop", "freeze", "cut-node",
}

// drawCandidate draws a seed and one to maxFaultsDrawn faults.
func (o *Options) drawCandidate(random *rand.Rand) Candidate {
	c := Candidate{Seed: random.Uint64N(maxSeed)}
	for range 1 + random.IntN(maxFaultsDrawn) {
		c.Faults = append(c.Faults, o.drawFault(random))
	}
	return c
}

// drawFault draws a fault that begins in the first three quarters of the run. Products of two draws make small values
// likelier.
func (o *Options) drawFault(random *rand.Rand) scenario.Fault {
	length := float64(o.Base.Length)
	f := scenario.Fault{
		Kind:         drawnKinds[random.IntN(len(drawnKinds))],
		At:           scenario.Duration((0.05 + 0.7*random.Float64()) * length),
		For:          scenario.Duration((0.02 + 0.5*random.Float64()*random.Float64()) * length),
		AttemptShare: 1,
	}
	o.drawTargets(random, &f)
	o.drawStrength(random, &f)
	return f
}

// drawTargets draws which part of the endpoints or nodes a fault hits, and whether it hits them one after another.
func (o *Options) drawTargets(random *rand.Rand, f *scenario.Fault) {
	switch scenario.FaultTargets[f.Kind] {
	case scenario.EndpointTarget, scenario.NodeTarget:
	default:
		return
	}
	f.Share = 0.05 + 0.65*random.Float64()*random.Float64()
	if random.IntN(4) == 0 && len(o.Base.Network.Zones) > 1 {
		f.Zone = o.Base.Network.Zones[random.IntN(len(o.Base.Network.Zones))]
	}
	if random.IntN(2) == 0 {
		f.Each = scenario.Duration(random.Float64() * 0.01 * float64(o.Base.Length))
	}
}

// drawStrength draws what belongs to a fault's kind.
func (o *Options) drawStrength(random *rand.Rand, f *scenario.Fault) {
	switch f.Kind {
	case "slow":
		f.Factor = 0.1 + 0.5*random.Float64()
	case "crowd":
		f.Factor = 0.1 + 0.6*random.Float64()
	case "discovery-slow":
		f.Factor = 5 + 100*random.Float64()
	case "fail", "turn-away", "reset":
		f.AttemptShare = 0.1 + 0.9*random.Float64()
	case "lists-late":
		f.Wait = scenario.Duration(1e9 + 5e9*random.Float64())
	case "wait":
		class := &o.Base.Classes[random.IntN(len(o.Base.Classes))]
		f.Class = class.Name
		f.Wait = scenario.Duration((0.5 + 2*random.Float64()) * float64(class.LatencyObjective))
		if n := len(o.Base.Tenants); n > 0 && random.IntN(2) == 0 {
			f.Class = ""
			f.Tenant = o.Base.Tenants[random.IntN(n)].Name
		}
	case "pause", "freeze":
		f.For = scenario.Duration(0.1e9 + 2e9*random.Float64())
	}
}

// change alters a candidate a little: it moves, scales, replaces or adds one fault, or draws another seed.
func (o *Options) change(random *rand.Rand, parent Candidate) Candidate {
	changed := Candidate{Seed: parent.Seed, Faults: slices.Clone(parent.Faults)}
	if len(changed.Faults) == 0 || random.IntN(6) == 0 && len(changed.Faults) < maxFaults {
		changed.Faults = append(changed.Faults, o.drawFault(random))
		return changed
	}
	f := &changed.Faults[random.IntN(len(changed.Faults))]
	factor := func() float64 { return 0.6 + 0.8*random.Float64() }
	scale := func(d scenario.Duration) scenario.Duration { return scenario.Duration(float64(d) * factor()) }
	switch random.IntN(6) {
	case 0:
		f.At = min(scale(f.At), o.Base.Length-1)
	case 1:
		f.For = scale(f.For)
	case 2:
		f.Share = min(f.Share*factor(), 1)
	case 3:
		f.Factor *= factor()
		f.Wait = scale(f.Wait)
	case 4:
		*f = o.drawFault(random)
	case 5:
		changed.Seed = random.Uint64N(maxSeed)
	}
	return changed
}
