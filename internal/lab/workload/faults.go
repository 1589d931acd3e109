package workload

import (
	"math"
	"math/rand/v2"
	"slices"

	"fawnglade/internal/lab/scenario"
)

// Fault is one fault of the scenario with what it hits.
type Fault struct {
	scenario.Fault
	Index   int    `json:"N"`
	Targets []int  `json:"Targets"` // endpoints or nodes
	Seed    uint64 `json:"Seed"`
}

// RestoreDelay is when one of the machines that lost power is back: after a time, and up to Each more, drawn for each.
func (f *Fault) RestoreDelay(after scenario.Duration, seed uint64, n int) int64 {
	return int64(after) + int64(newRandom(seed+uint64(n)*7919, "back").Float64()*float64(f.Each))
}

// BadClient is one client that violates the protocol.
type BadClient struct {
	Due  int64  `json:"Due"`
	Kind string `json:"Kind"`
	Node int    `json:"Node"`
	Seed uint64 `json:"Seed"`
}

// BadClientKinds are the ways in which bad clients violate the protocol.
var BadClientKinds = []string{
	"noise", "endless-head", "negative-length", "two-lengths", "huge-body", "no-category", "no-limit",
	"no-id", "half", "silent", "both-framings", "flood",
}

func (p *Plan) drawFaults(s *scenario.Scenario) {
	draw := newRandom(p.Seed, "faults")
	for n := range s.Faults {
		f := Fault{Fault: s.Faults[n], Index: n, Seed: draw.Uint64()}
		switch scenario.FaultTargets[f.Kind] {
		case scenario.EndpointTarget:
			f.Targets = p.drawEndpointTargets(draw, &f.Fault)
		case scenario.NodeTarget:
			f.Targets = drawNodeTargets(s, draw, &f.Fault)
		case scenario.PowerTarget:
			f.Targets = p.drawEndpointTargets(draw, &f.Fault)
			f.Nodes = drawNodeTargets(s, draw, &f.Fault)
		}
		p.Faults = append(p.Faults, f)
		if f.Kind == "bad-clients" {
			p.drawBadClients(s, &f)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	slices.SortStableFunc(p.BadClients, func(a, b BadClient) int { return int(a.Due - b.Due) })
}

// drawEndpointTargets returns the endpoints that the file names, else as many as it wants of those in the zone.
func (p *Plan) drawEndpointTargets(draw *rand.Rand, f *scenario.Fault) []int {
	var named, candidates []int
	for i := range p.Endpoints {
		if slices.Contains(f.Endpoints, p.Endpoints[i].Name) {
			named = append(named, i)
		}
		if f.Zone == "" || p.Endpoints[i].Zone == f.Zone {
			candidates = append(candidates, i)
		}
	}
	if len(f.Endpoints) > 0 {
		return named
	}
	return drawTargets(draw, candidates, f)
}

// drawNodeTargets returns the nodes that the file names, else as many as it wants of those in the zone.
func drawNodeTargets(s *scenario.Scenario, draw *rand.Rand, f *scenario.Fault) []int {
	if len(f.Nodes) > 0 {
		return slices.Clone(f.Nodes)
	}
	var candidates []int
	for i := range s.Nodes.Count {
		// The zone of cut-node is that of the endpoints that are cut off.
		if f.Zone == "" || f.Kind == "cut-node" || s.NodeZone(i) == f.Zone {
			candidates = append(candidates, i)
		}
	}
	return drawTargets(draw, candidates, f)
}

// drawTargets returns as many of the candidates as a fault wants, in order.
func drawTargets(draw *rand.Rand, candidates []int, f *scenario.Fault) []int {
	want := f.Count
	if f.Share > 0 {
		want = max(1, int(math.Round(f.Share*float64(len(candidates)))))
	}
	if want == 0 || want > len(candidates) {
		want = len(candidates)
	}
	draw.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	targets := candidates[:want]
	slices.Sort(targets)
	return targets
}

func (p *Plan) drawBadClients(s *scenario.Scenario, f *Fault) {
	draw := newRandom(f.Seed, "bad clients")
	until := int64(f.At + f.For)
	if f.For == 0 {
		until = int64(s.Length)
	}
	for at := float64(f.At); ; {
		at += draw.ExpFloat64() / f.Rate * 1e9
		if int64(at) >= until {
			return
		}
		kind := BadClientKinds[draw.IntN(len(BadClientKinds))]
		if f.How != "" {
			kind = f.How
		}
		bad := BadClient{Due: int64(at), Kind: kind, Node: draw.IntN(s.Nodes.Count), Seed: draw.Uint64()}
		p.BadClients = append(p.BadClients, bad)
	}
}
