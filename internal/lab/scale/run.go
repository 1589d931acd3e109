package scale

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Options are the options of Run.
type Options struct {
	Only    []string // names of probes, or of single figures as probe.figure; empty: all
	Sizes   []float64
	Env     Env
	Command string // command line that repeats the run, stored in the result
	Time    time.Time
	Design  Design
	Limits  Limits
	Machine Machine
}

// probes returns the selected probes with their selected figures and sizes, all checked before any measurement.
func (o *Options) probes() ([]Probe, error) {
	if err := o.checkNames(); err != nil {
		return nil, err
	}
	var probes []Probe
	for _, p := range Probes() {
		p.Figures = slices.DeleteFunc(p.Figures, func(f Figure) bool { return !o.wants(&p, &f) })
		if len(p.Figures) == 0 {
			continue
		}
		switch {
		case len(o.Sizes) > 0:
			p.Sizes = o.Sizes
		case o.Env.Quick:
			p.Sizes = p.QuickSizes
		}
		if err := p.Check(p.Sizes, o.Machine); err != nil {
			return nil, err
		}
		probes = append(probes, p)
	}
	return probes, nil
}

func (o *Options) wants(p *Probe, f *Figure) bool {
	return len(o.Only) == 0 || slices.Contains(o.Only, p.Name) || slices.Contains(o.Only, p.Name+"."+f.Name)
}

// checkNames returns an error for unknown names of probes and figures.
func (o *Options) checkNames() error {
	var probes, all []string
	for _, p := range Probes() {
		probes = append(probes, p.Name)
		all = append(all, p.Name)
		for _, f := range p.Figures {
			all = append(all, p.Name+"."+f.Name)
		}
	}
	for _, name := range o.Only {
		if !slices.Contains(all, name) {
			return fmt.Errorf("--only: expected some of %s, or a figure such as decisions.change, got %q", strings.Join(probes, ", "), name)
		}
	}
	return nil
}

// Run runs the selected probes. If a probe fails at a size, its slopes get a note, and the other measurements continue.
// If the context ends, Run returns the partial result together with the context's error.
func Run(ctx context.Context, o Options) (*Result, error) {
	probes, err := o.probes()
	if err != nil {
		return nil, err
	}
	o.Env.Design = o.Design
	result := &Result{
		Day: o.Time.Format(time.DateOnly), Command: o.Command, Machine: o.Machine, Quick: o.Env.Quick,
		Design: o.Design, Limits: o.Limits,
	}
	for i := range probes {
		position := fmt.Sprintf("%d of %d", i+1, len(probes))
		result.Slopes = append(result.Slopes, o.measure(ctx, &probes[i], position)...)
	}
	return result, ctx.Err()
}

// measure runs one probe at all its sizes. position is its position among the probes, for the log.
func (o *Options) measure(ctx context.Context, p *Probe, position string) []Slope {
	points := map[string][]Point{}
	var notes []string
	for _, size := range p.Sizes {
		at := formatCount(size) + " " + p.SizeUnit
		if ctx.Err() != nil {
			notes = append(notes, at+": not measured, the run was ended")
			continue
		}
		o.Env.logf("%s: %s, %s", position, p.Name, at)
		m := o.measureSize(ctx, p, size)
		if m.Note != "" {
			notes = append(notes, at+": "+m.Note)
		}
		for _, f := range p.Figures {
			if v, measured := m.Values[f.Name]; measured {
				points[f.Name] = append(points[f.Name], Point{size, v})
			}
		}
	}
	var slopes []Slope
	for i := range p.Figures {
		f := &p.Figures[i]
		slopes = append(slopes, o.slopeOf(p, f, points[f.Name], notes))
	}
	return slopes
}

// measureSize runs one probe at one size, and logs its note and duration. An error becomes a note.
func (o *Options) measureSize(ctx context.Context, p *Probe, size float64) Measurement {
	startedAt := time.Now()
	m, err := p.Measure(ctx, &o.Env, size)
	if err != nil {
		m.Note = "not measured: " + err.Error()
	}
	if m.Note != "" {
		o.Env.logf("  %s", m.Note)
	}
	o.Env.logf("  took %.1f s", time.Since(startedAt).Seconds())
	return m
}

func (o *Options) slopeOf(p *Probe, f *Figure, points []Point, notes []string) Slope {
	s := Slope{
		Name: p.Name + "." + f.Name, Description: f.Description, Role: f.Role, Unit: f.Unit, SizeUnit: p.SizeUnit, Method: f.Method,
		Substitute: p.Substitute, NodeMax: p.NodeMax, Points: points, Notes: notes, DesignSize: p.DesignSize(&o.Design),
		Command: o.Command, Day: o.Time.Format(time.DateOnly),
	}
	if f.Limit != nil {
		s.Limit = f.Limit(&o.Design, &o.Limits)
	}
	return s.withFit()
}
