// Package scale measures how the costs of a node's control grow with the size of the deployment. Each probe measures
// its figures at several sizes, a line is fitted to each figure, and its value at the design size is set beside its
// limit, with how it was come by. Sizes that the machine has no room for are refused before any work; sizes that could
// not be measured are noted.
package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// Need is what one size takes of the machine.
type Need struct {
	Bytes     float64 // of memory, all processes together
	Processes int     // beside this one
}

// Figure is one quantity that a probe measures.
type Figure struct {
	Name, Description string
	Unit              string // of the value
	Role              string // whose cost it is: node, relay, origin, lab
	Method            string // of measuring
	// Limit returns what is allowed at the design size, in Unit; nil: there is no limit.
	Limit func(*Design, *Limits) float64
}

// Values are measured ones by the names of figures.
type Values map[string]float64

// Measurement is the result of a probe at one size.
type Measurement struct {
	Values Values // without figures that could not be measured at this size
	Note   string // why some could not, or what stood for what; may be empty
}

// Probe measures figures at one size after another.
type Probe struct {
	Name             string
	SizeUnit         string // what a size counts: servers, tenants, nodes
	Sizes            []float64
	QuickSizes       []float64 // for a look, and for tests
	MinSize, MaxSize float64   // that may be asked for; MaxSize 0: bounded by the machine alone
	DesignSize       func(*Design) float64
	Need             func(size float64) Need
	Figures          []Figure
	NodeMax          float64 // largest size that the node's own code takes; 0: any
	Substitute       string  // what the node does not have, and what stands for it
	// Measure measures at a size. With an error it may return the values that were measured before.
	Measure func(ctx context.Context, e *Env, size float64) (Measurement, error)
}

// Probes returns all probes, in the order in which they run.
func Probes() []Probe {
	return []Probe{
		decisionsProbe(), tenantsProbe(), classesProbe(), servicesProbe(), processProbe(), membersProbe(), diskProbe(),
		endpointsProbe(), routesProbe(), tenantRecordsProbe(), subscribersProbe(),
		propagationProbe(), endpointGossipProbe(), hollowProbe(),
	}
}

// Env is what probes work with.
type Env struct {
	NodeCommand   []string // with serve; empty: figures of a real process are left out
	HollowCommand []string // of a process of hollow nodes, to which a file's path is added; empty: left out
	Quick         bool     // shorter measurements
	Design        Design
	Log           io.Writer // progress; nil: none
	Dir           string    // for files; probes remove theirs
}

// logf writes a line of progress. A log that cannot be written ends no measurement.
func (e *Env) logf(format string, args ...any) {
	if e.Log == nil {
		return
	}
	_, _ = fmt.Fprintf(e.Log, "%s  %s\n", time.Now().Format(time.TimeOnly), fmt.Sprintf(format, args...))
}

// pick returns one of two values: the second in a quick run.
func pick[T any](e *Env, usual, quick T) T {
	if e.Quick {
		return quick
	}
	return usual
}

const (
	maxProcesses  = 200 // beside this one
	minSizes      = 4
	minSizeSpread = 10 // of the last size over the first
)

// Check refuses sizes that the machine has no room for or that give no slope, with an error of one line.
func (p *Probe) Check(sizes []float64, m Machine) error {
	for _, size := range sizes {
		if err := p.checkSize(size, m); err != nil {
			return err
		}
	}
	if len(sizes) < minSizes || !slices.IsSorted(sizes) || sizes[len(sizes)-1] < minSizeSpread*sizes[0] {
		var given []string
		for _, size := range sizes {
			given = append(given, formatCount(size))
		}
		return fmt.Errorf("%s: expected %d sizes at least, in order, the last %d times the first, got %s",
			p.Name, minSizes, minSizeSpread, strings.Join(given, " "))
	}
	return nil
}

func (p *Probe) checkSize(size float64, m Machine) error {
	minSize := max(p.MinSize, 1)
	if !(size >= minSize) || p.MaxSize > 0 && size > p.MaxSize || math.IsInf(size, 0) {
		maxSize := "more"
		if p.MaxSize > 0 {
			maxSize = formatCount(p.MaxSize)
		}
		return fmt.Errorf("%s: expected sizes from %s to %s %s, got %s",
			p.Name, formatCount(minSize), maxSize, p.SizeUnit, formatCount(size))
	}
	need := p.Need(size)
	if need.Bytes > m.MemoryBytes/2 {
		return fmt.Errorf("%s: expected sizes that take at most half of the machine's memory, %.1f GB, got %s %s, which take some %.1f GB",
			p.Name, m.MemoryBytes/2e9, formatCount(size), p.SizeUnit, need.Bytes/1e9)
	}
	if need.Processes > maxProcesses {
		return fmt.Errorf("%s: expected sizes of at most %d processes, got %s %s, which are %d",
			p.Name, maxProcesses, formatCount(size), p.SizeUnit, need.Processes)
	}
	return nil
}
