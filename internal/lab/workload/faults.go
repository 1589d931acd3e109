package workload

import (
	"math"
	"math/rand/v2"
	"slices"

	"fawnglade/internal/lab/scenario"
)

// Fault is one fault of the scenario with its targets drawn.
type Fault struct {
	scenario.Fault
	Index   int    `json:"N"`
	Targets []int  `json:"Targets"` // indexes of endpoints or nodes, by the kind of the fault
	Seed    uint64 `json:"Seed"`
}

// RestoreDelay returns how long after a power loss a target is back, in nanoseconds: delay, plus a time of up to Each
// that is drawn for each target. index is that of the target among those of its type.
func (f *Fault) RestoreDelay(delay scenario.Duration, seed uint64, index int) int64 {
	return int64(delay) + int64(newRandom(seed+uint64(index)*7919, "back").Float64()*float64(f.Each))
}

// BadClient is one client that violates the protocol.
type BadClient struct {
	Due  int64  `json:"Due"`
	Kind string `json:"Kind"`
	Node int    `json:"Node"`
	Seed uint64 `json:"Seed"`
}

// BadClientKinds lists the protocol violations of bad clients.
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

// drawEndpointTargets returns the endpoints that the fault names, or draws them from those in the fault's zone.
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

// drawNodeTargets returns the nodes that the fault names, or draws them from those in the fault's zone.
func drawNodeTargets(s *scenario.Scenario, draw *rand.Rand, f *scenario.Fault) []int {
	if len(f.Nodes) > 0 {
		return slices.Clone(f.Nodes)
	}
	var candidates []int
	for i := range s.Nodes.Count {
		// The zone of a cut-node fault selects the endpoints to cut off, not the nodes.
		if f.Zone == "" || f.Kind == "cut-node" || s.NodeZone(i) == f.Zone {
			candidates = append(candidates, i)
		}
	}
	return drawTargets(draw, candidates, f)
}

// drawTargets draws the number of candidates that the fault's share or count asks for, all if it has neither. The
// result is in ascending order.
func drawTargets(draw *rand.Rand, candidates []int, f *scenario.Fault) []int {
	count := f.Count
	if f.Share > 0 {
		count = max(1, int(math.Round(f.Share*float64(len(candidates)))))
	}
	if count == 0 || count > len(candidates) {
		count = len(candidates)
	}
	draw.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	targets := candidates[:count]
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
