// Package workload draws a run before it starts: endpoints, operations, faults and bad clients. The same scenario and
// seed give the same plan, byte for byte, whatever happens in the run.
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

// Endpoint is one machine of the run's beginning, or one that a fault adds or puts in place of another.
type Endpoint struct {
	Name  string  `json:"Name"`
	Index int     `json:"Index"`
	Fleet int     `json:"Fleet"`
	Zone  string  `json:"Zone"`
	Pod   int     `json:"Pod"`
	Speed float64 `json:"Speed"`
	Seed  uint64  `json:"Seed"`
}

// Plan is a run as drawn. Its JSON form is hashed, so fields keep their names there.
type Plan struct {
	Seed       uint64      `json:"Seed"`
	Endpoints  []Endpoint  `json:"Servers"`
	Operations []Operation `json:"Tasks"`
	Faults     []Fault     `json:"Faults"`
	BadClients []BadClient `json:"Bad"`
}

// source returns random numbers for one purpose, so that a change of one part of a scenario leaves the draws of the
// others alone.
func newRandom(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Draw draws the plan of a run.
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

// Hash identifies the plan, to see that two runs were given the same.
func (p *Plan) Hash() string {
	h := sha256.New()
	if err := json.NewEncoder(h).Encode(p); err != nil {
		panic(err) // the plan is made of plain numbers and names
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// Shift moves all times, for a clock on which the run does not begin at 0.
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

// LinkFaults returns the schedule of the faults on links, with the times that the plan has now.
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
