// Package scale measures how the cost of a node's control plane grows with the size of the deployment. Each probe
// measures its figures at several sizes. A line is fitted to each figure, and its value at the design size is compared
// with its limit, along with the source of the value: measured or extrapolated. Sizes that do not fit on the machine
// are rejected before any measurement; sizes that could not be measured get a note.
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

// Need holds the resources that a probe needs at one size.
type Need struct {
	Bytes     float64 // memory of all processes together
	Processes int     // in addition to this one
}

// Figure is one quantity that a probe measures.
type Figure struct {
	Name, Description string
	Unit              string // unit of the values
	Role              string // component that has the cost: node, relay, origin, lab
	Method            string // method of measurement
	// Limit returns the limit at the design size, in Unit; nil: no limit.
	Limit func(*Design, *Limits) float64
}

// Values holds measured values by figure name.
type Values map[string]float64

// Measurement is the result of a probe at one size.
type Measurement struct {
	Values Values // figures that could not be measured at this size are omitted
	Note   string // why figures are missing or deviate; may be empty
}

// Probe measures a group of figures at several sizes.
type Probe struct {
	Name             string
	SizeUnit         string // unit of sizes: servers, tenants, nodes
	Sizes            []float64
	QuickSizes       []float64 // for quick runs and tests
	MinSize, MaxSize float64   // bounds of sizes; MaxSize 0: bounded only by the machine
	DesignSize       func(*Design) float64
	Need             func(size float64) Need
	Figures          []Figure
	NodeMax          float64 // largest size that the node's code supports; 0: no limit
	Substitute       string  // what the node does not support, and what is measured instead
	// Measure measures all figures at a size. Together with an error it may return the values measured before.
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

// Env is the environment of probes.
type Env struct {
	NodeCommand   []string // command line of a node, including serve; empty: figures of node processes are omitted
	HollowCommand []string // command line of a process of hollow nodes, to which a path is appended; empty: omitted
	Quick         bool     // shorter measurements
	Design        Design
	Log           io.Writer // for progress; nil: no log
	Dir           string    // directory for files; probes remove their files
}

// logf writes a line of progress. Write errors are ignored, so that they do not end a measurement.
func (e *Env) logf(format string, args ...any) {
	if e.Log == nil {
		return
	}
	_, _ = fmt.Fprintf(e.Log, "%s  %s\n", time.Now().Format(time.TimeOnly), fmt.Sprintf(format, args...))
}

// pick returns the first value, or the second one in a quick run.
func pick[T any](e *Env, usual, quick T) T {
	if e.Quick {
		return quick
	}
	return usual
}

const (
	maxProcesses  = 200 // in addition to this one
	minSizes      = 4
	minSizeSpread = 10 // minimum ratio of the last size to the first
)

// Check returns an error of one line for sizes that do not fit on the machine or do not suffice for a fit.
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
