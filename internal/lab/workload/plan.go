// Package workload draws the plan of a run before it starts: endpoints, operations, faults and bad clients. The plan
// depends only on the scenario and the seed.
package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
)

// Endpoint is one endpoint that exists at the start of the run, or that a fault adds or puts in place of another.
type Endpoint struct {
	Name  string  `json:"Name"`
	Index int     `json:"Index"`
	Fleet int     `json:"Fleet"`
	Zone  string  `json:"Zone"`
	Pod   int     `json:"Pod"`
	Speed float64 `json:"Speed"`
	Seed  uint64  `json:"Seed"`
}

// Plan is the plan of a run. Hash covers its JSON form, so the JSON names of its fields must not change.
type Plan struct {
	Seed       uint64      `json:"Seed"`
	Endpoints  []Endpoint  `json:"Servers"`
	Operations []Operation `json:"Tasks"`
	Faults     []Fault     `json:"Faults"`
	BadClients []BadClient `json:"Bad"`
}

// newRandom returns a random source for one purpose. Separate sources keep a change in one part of a scenario from
// changing the draws for the others.
func newRandom(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Draw draws the plan of a run of a scenario.
func Draw(s *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{Seed: seed}
	p.drawEndpoints(s)
	p.drawOperations(s)
	p.drawFaults(s)
	return p
}

func (p *Plan) drawEndpoints(s *scenario.Scenario) {
	draw := newRandom(p.Seed, "servers")
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
				Zone: zone, Pod: podOf[zone],
				Speed: fleet.Speed * (1 + fleet.Spread*(2*draw.Float64()-1)), Seed: draw.Uint64(),
			})
		}
	}
}

// Hash returns a digest of the plan, which shows whether two runs have the same plan.
func (p *Plan) Hash() string {
	h := sha256.New()
	if err := json.NewEncoder(h).Encode(p); err != nil {
		panic(err) // cannot happen: the plan consists of numbers and strings
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// Shift adds an offset to all times, for a clock on which the run does not start at 0.
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

// LinkFaults returns the schedule of the link faults, by the current times of the plan.
func (p *Plan) LinkFaults(s *scenario.Scenario) *netfault.Schedule {
	var all []netfault.Fault
	for i := range p.Faults {
		if fault, ok := s.LinkFault(&p.Faults[i].Fault); ok {
			fault.Seed = p.Faults[i].Seed
			all = append(all, fault)
		}
	}
	return netfault.New(all)
}
