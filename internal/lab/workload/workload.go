// Package workload owns what is drawn of a day before it starts: servers, tasks, faults and bad clients. It must never
// look at a clock or at anything that happened: the same scenario and seed give the same plan, byte for byte.
package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
)

// Server is one machine of the day's beginning, or one that a fault adds or puts in place of another.
type Endpoint struct {
	Name  string  `json:"Name"`
	Index int     `json:"Index"`
	Fleet int     `json:"Fleet"`
	Zone  string  `json:"Zone"`
	Pod   int     `json:"Pod"`
	Speed float64 `json:"Speed"`
	Seed  uint64  `json:"Seed"`
}

// Task is one thing that a client wants. Its tries on the wire have ids of their own.
type Operation struct {
	Index            int    `json:"N"`
	Due              int64  `json:"Due"`  // since the day's beginning, nanoseconds
	Zone             int    `json:"Zone"` // of the client, and so of its front
	Class            int    `json:"Category"`
	Tenant           int    `json:"Customer"` // -1 without
	Key              int    `json:"Key"`      // -1 without
	Work             int64  `json:"Work"`
	CostHint         int64  `json:"Estimate"` // what the client guesses the work to be; 0: does not tell
	LeavesAfter      int64  `json:"Leaves"`   // after this long the client goes; 0: stays
	OneShot          bool   `json:"Once"`     // its connection is kept and never used again
	HonorsRetryAfter bool   `json:"Honours"`
	Seed             uint64 `json:"Seed"`
}

// Fault is one trouble with who it hits.
type Fault struct {
	scenario.Fault
	Index   int    `json:"N"`
	Targets []int  `json:"Targets"` // servers or nodes
	Seed    uint64 `json:"Seed"`
}

// Back is when one of those that a power loss took is back: after a time, and up to Each more, drawn for each.
func (f *Fault) RestoredAfter(after scenario.Duration, seed uint64, n int) int64 {
	return int64(after) + int64(source(seed+uint64(n)*7919, "back").Float64()*float64(f.Each))
}

// BadClient is one client that does not keep to the protocol.
type BadClient struct {
	Due  int64  `json:"Due"`
	Kind string `json:"Kind"`
	Node int    `json:"Node"`
	Seed uint64 `json:"Seed"`
}

// Plan is a day as drawn.
type Plan struct {
	Seed       uint64      `json:"Seed"`
	Endpoints  []Endpoint  `json:"Servers"`
	Operations []Operation `json:"Tasks"`
	Faults     []Fault     `json:"Faults"`
	BadClients []BadClient `json:"Bad"`
}

// BadKinds are the ways of bad clients.
var BadClientKinds = []string{
	"noise", "endless-head", "negative-length", "two-lengths", "huge-body", "no-category", "no-limit",
	"no-id", "half", "silent", "both-framings", "flood",
}

// source draws for one purpose, so that a change of one part of a scenario leaves the draws of the others alone.
func source(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Draw makes the plan of a day.
func Draw(s *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{Seed: seed}
	p.drawEndpoints(s)
	p.drawOperations(s)
	p.drawFaults(s)
	return p
}

// Hash is one figure of the whole plan, to see that two runs were given the same.
func (p *Plan) Hash() string {
	h := sha256.New()
	if err := json.NewEncoder(h).Encode(p); err != nil {
		panic(err) // the plan is made of plain numbers and names
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// Shift moves all moments, for a clock on which the day does not begin at 0.
func (p *Plan) Shift(by int64) {
	for i := range p.Operations {
		p.Operations[i].Due += by
	}
	for i := range p.Faults {
		p.Faults[i].At += scenario.Duration(by)
	}
	for i := range p.BadClients {
		p.BadClients[i].Due += by
	}
}

func (p *Plan) drawEndpoints(s *scenario.Scenario) {
	draw := source(p.Seed, "servers")
	pods := 0
	for f := range s.Fleets {
		fleet := &s.Fleets[f]
		inZone := map[string]int{}
		podOf := map[string]int{}
		for n := range fleet.Count {
			zone := fleet.Zones[n%len(fleet.Zones)]
			if inZone[zone]%fleet.PodSize == 0 {
				podOf[zone] = pods
				pods++
			}
			inZone[zone]++
			p.Endpoints = append(p.Endpoints, Endpoint{
				Name: fmt.Sprintf("%s-%d", fleet.Name, n), Index: len(p.Endpoints), Fleet: f,
				Zone: zone, Pod: podOf[zone], Speed: fleet.Speed * (1 + fleet.Spread*(2*draw.Float64()-1)), Seed: draw.Uint64(),
			})
		}
	}
}

// rateAt is the wanted rate at a moment, as a multiple of the mean.
func rateAt(l *scenario.Load, at, length int64) float64 {
	period := float64(l.Period)
	switch l.Shape {
	case "wave":
		return 1 + l.Swing*math.Sin(2*math.Pi*float64(at)/period)
	case "burst":
		// A fifth of each period lies above the mean by the swing, the rest below it so that the mean holds.
		if math.Mod(float64(at), period) < period/5 {
			return 1 + l.Swing
		}
		return 1 - l.Swing/4
	case "month-end":
		// It climbs to the middle of the day and stays, twice as steep as it falls.
		x := float64(at) / float64(length)
		switch {
		case x < 0.3:
			return 1 - l.Swing + 2*l.Swing*x/0.3
		case x < 0.7:
			return 1 + l.Swing
		}
		return 1 + l.Swing - 2*l.Swing*(x-0.7)/0.3
	}
	return 1
}

func (p *Plan) drawOperations(s *scenario.Scenario) {
	draw := source(p.Seed, "tasks")
	category := weights(s.Classes, func(c *scenario.Class) float64 { return c.Share })
	customer := weights(s.Tenants, func(c *scenario.Tenant) float64 { return c.Share })
	zone := s.Load.ZoneShare
	if len(zone) == 0 {
		zone = make([]float64, len(s.Network.Zones))
		for i := range zone {
			zone[i] = 1
		}
	}
	highest := s.Load.Rate * (1 + s.Load.Swing)
	for at := 0.0; ; {
		at += draw.ExpFloat64() / highest * 1e9
		if int64(at) >= int64(s.Length) {
			break
		}
		// Thinning: arrivals at the highest rate, of which each is kept with the wanted rate's part.
		if draw.Float64()*(1+s.Load.Swing) >= rateAt(&s.Load, int64(at), int64(s.Length)) {
			continue
		}
		t := Operation{Index: len(p.Operations), Due: int64(at), Tenant: -1, Key: -1, Seed: draw.Uint64()}
		t.Class, t.Zone = pick(draw, category), pick(draw, zone)
		if len(s.Tenants) > 0 {
			t.Tenant = pick(draw, customer)
		}
		if s.Load.Keys > 0 {
			if t.Key = 0; draw.Float64() >= s.Load.HotKeyShare {
				t.Key = draw.IntN(s.Load.Keys)
			}
		}
		c := &s.Classes[t.Class]
		t.Work = int64(float64(c.Work) * (1 - c.WorkSpread + c.WorkSpread*draw.ExpFloat64()))
		if t.Work = max(t.Work, 1000); c.CostHint {
			t.CostHint = int64(float64(t.Work) * (0.8 + 0.4*draw.Float64()))
		}
		if draw.Float64() < s.Clients.LeaveShare {
			t.LeavesAfter = int64(float64(c.Deadline) * draw.Float64())
		}
		t.OneShot = draw.Float64() < s.Clients.OneShotShare
		t.HonorsRetryAfter = draw.Float64() < s.Clients.HonorShare
		p.Operations = append(p.Operations, t)
	}
}

func (p *Plan) drawFaults(s *scenario.Scenario) {
	draw := source(p.Seed, "faults")
	for n := range s.Faults {
		f := Fault{Fault: s.Faults[n], Index: n, Seed: draw.Uint64()}
		switch scenario.FaultKinds[f.Kind] {
		case "servers":
			f.Targets = p.targets(draw, &f.Fault)
		case "nodes":
			f.Targets = p.nodes(s, draw, &f.Fault)
		case "power":
			f.Targets = p.targets(draw, &f.Fault)
			f.Nodes = p.nodes(s, draw, &f.Fault)
		}
		p.Faults = append(p.Faults, f)
		if f.Kind == "bad-clients" {
			p.drawBadClients(s, &f)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	slices.SortStableFunc(p.BadClients, func(a, b BadClient) int { return int(a.Due - b.Due) })
}

// targets names who is hit: those that the file names, else as many as it wants of those in the zone.
func (p *Plan) targets(draw *rand.Rand, f *scenario.Fault) []int {
	var named, fit []int
	for i := range p.Endpoints {
		if slices.Contains(f.Endpoints, p.Endpoints[i].Name) {
			named = append(named, i)
		}
		if f.Zone == "" || p.Endpoints[i].Zone == f.Zone {
			fit = append(fit, i)
		}
	}
	if len(f.Endpoints) > 0 {
		return named
	}
	return some(draw, fit, f)
}

// some are as many of the fit as a fault wants, in order.
func some(draw *rand.Rand, fit []int, f *scenario.Fault) []int {
	want := f.Count
	if f.Share > 0 {
		want = max(1, int(math.Round(f.Share*float64(len(fit)))))
	}
	if want == 0 || want > len(fit) {
		want = len(fit)
	}
	draw.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	fit = fit[:want]
	slices.Sort(fit)
	return fit
}

// nodes names who is hit: those that the file names, else as many as it wants of those in the zone.
func (p *Plan) nodes(s *scenario.Scenario, draw *rand.Rand, f *scenario.Fault) []int {
	if len(f.Nodes) > 0 {
		return slices.Clone(f.Nodes)
	}
	var fit []int
	for i := range s.Nodes.Count {
		zone := s.Network.Zones[i%len(s.Network.Zones)]
		if len(s.Nodes.Zones) > 0 {
			zone = s.Nodes.Zones[i]
		}
		if f.Zone == "" || f.Kind == "cut-node" || zone == f.Zone {
			fit = append(fit, i)
		}
	}
	return some(draw, fit, f)
}

// Ways is the schedule of what is wrong with ways, with its times as the plan's stand now.
func (p *Plan) LinkFaults(s *scenario.Scenario) *netfault.Schedule {
	var all []netfault.Fault
	for i := range p.Faults {
		if way, ok := s.LinkFault(&p.Faults[i].Fault); ok {
			way.Seed = p.Faults[i].Seed
			all = append(all, way)
		}
	}
	return netfault.New(all)
}

func (p *Plan) drawBadClients(s *scenario.Scenario, f *Fault) {
	draw := source(f.Seed, "bad clients")
	until := int64(f.At + f.For)
	if f.For == 0 {
		until = int64(s.Length)
	}
	for at := float64(f.At); ; {
		if at += draw.ExpFloat64() / f.Rate * 1e9; int64(at) >= until {
			return
		}
		kind := BadClientKinds[draw.IntN(len(BadClientKinds))]
		if f.How != "" {
			kind = f.How
		}
		p.BadClients = append(p.BadClients, BadClient{Due: int64(at), Kind: kind, Node: draw.IntN(s.Nodes.Count), Seed: draw.Uint64()})
	}
}

// Parts is how much of its zone's load each node gets, over the mean; nil where all get the same. It is drawn for itself, so that the
// plan of a day without it stays what it was.
func (p *Plan) NodeShares(s *scenario.Scenario) []float64 {
	if s.Load.NodeSkew == 0 {
		return nil
	}
	draw, out := source(p.Seed, "parts"), make([]float64, s.Nodes.Count)
	for i := range out {
		out[i] = math.Exp(s.Load.NodeSkew*draw.NormFloat64() - s.Load.NodeSkew*s.Load.NodeSkew/2)
	}
	return out
}

// Choice deals tasks out to nodes of a zone by their parts. Which gets a try hangs on the try alone.
type NodePicker []float64

// ChoiceOf is a choice among some nodes; nil where all parts are the same.
func NewNodePicker(parts []float64, nodes []int) NodePicker {
	if parts == nil {
		return nil
	}
	c, sum := make(NodePicker, len(nodes)), 0.0
	for i, n := range nodes {
		sum += parts[n]
		c[i] = sum
	}
	return c
}

// Place is the place in the list of the node that a try goes to.
func (c NodePicker) Pick(task *Operation, try int) int {
	x := rand.New(rand.NewPCG(task.Seed, 77+uint64(try))).Float64() * c[len(c)-1]
	return min(sort.SearchFloat64s(c, x), len(c)-1)
}

func weights[T any](list []T, of func(*T) float64) []float64 {
	out := make([]float64, len(list))
	for i := range list {
		out[i] = of(&list[i])
	}
	return out
}

func pick(draw *rand.Rand, weights []float64) int {
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

// HandOffWork is the work that one hand-off of a task means for a server. It hangs on the task, the hand-off's place
// among those of its try and the server alone, so that it does not matter when it comes.
func AttemptWork(work int64, noise float64, seed, server uint64, n int) (drawn int64, luck float64) {
	draw := rand.New(rand.NewPCG(seed+uint64(n), server))
	return max(int64(float64(work)*(1+noise*(2*draw.Float64()-1))), 1000), draw.Float64()
}
