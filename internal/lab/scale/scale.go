// Package scale measures how the costs of one node's control grow with the deployment, fits a line to each, and sets the figure at
// the size that the operators design for beside their limit. A figure is measured or drawn from a fit that says how far it misses;
// it must never be guessed, nor a size that could not be measured be left out without a word.
package scale

// This file owns what is measured at which sizes, the refusals, and the order of the work. It must never begin a size that the
// machine has no room for.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Need is what one size takes of the machine: bytes of memory, all processes together, and processes beside this one.
type Need struct {
	Bytes     float64
	Processes int
}

// Figure is one quantity that a probe measures.
type Figure struct {
	Name, What string
	Unit       string // of the value
	Role       string // whose cost it is: node, relay, origin
	Method     string // how it was read off: heap after a collection, processor time, a clock
	// Limit is what the operators allow at the design size, in Unit; nil: they name none.
	Limit func(*Design, *Limits) float64
}

// Probe measures figures at one size after another.
type Probe struct {
	Name        string
	Size        string // what a size counts: endpoints, tenants, nodes
	Sizes       []float64
	Quick       []float64 // for a look, and for tests
	Least, Most float64   // that it can be asked for; Most 0: no bound but the machine's
	At          func(*Design) float64
	Need        func(size float64) Need
	Figures     []Figure
	Cap         float64 // a size beyond which the node's own code takes nothing; 0: none
	Missing     string  // what the node has no notion of, so that another thing stands for it
	// Measure returns values by the figures' names. A figure without one was not to be had at this size; note says why.
	Measure func(ctx context.Context, e *Env, size float64) (values map[string]float64, note string, err error)
}

// Env is what probes work with.
type Env struct {
	Node   []string // the node's command, with serve; empty: figures of a real process are left out
	Hollow []string // the command of a process of hollow nodes, to which a file's path is added; empty: left out
	Quick  bool     // shorter watches
	Design Design
	Log    io.Writer // progress
	Dir    string    // for files; the probe leaves nothing in it
}

func (e *Env) say(format string, a ...any) {
	if e.Log != nil {
		_, _ = fmt.Fprintf(e.Log, "%s  "+format+"\n", append([]any{time.Now().Format("15:04:05")}, a...)...)
	}
}

// Machine is what figures were measured on.
type Machine struct {
	Cores       int     `json:"cores"`
	MemoryBytes float64 `json:"memory_bytes"`
	Go          string  `json:"go"`
}

// ThisMachine reads what the machine has.
func ThisMachine() (Machine, error) {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "MemTotal:" {
			kib, err := strconv.ParseFloat(f[1], 64)
			m.MemoryBytes = kib * 1024
			return m, err
		}
	}
	return m, errors.New("/proc/meminfo: expected MemTotal, found none")
}

// MostProcesses are run beside this one.
const MostProcesses = 200

// Spread is how far apart the first and the last size are at least, and LeastSizes how many there are.
const (
	Spread     = 10
	LeastSizes = 4
)

// Check refuses sizes that the machine has no room for, or from which no slope can be had, with one line.
func (p *Probe) Check(sizes []float64, m Machine) error {
	for _, s := range sizes {
		if !(s >= max(p.Least, 1)) || p.Most > 0 && s > p.Most || math.IsInf(s, 0) {
			upTo := "more"
			if p.Most > 0 {
				upTo = count(p.Most)
			}
			return fmt.Errorf("%s: expected sizes from %s to %s %s, got %s", p.Name, count(max(p.Least, 1)), upTo, p.Size, count(s))
		}
		n := p.Need(s)
		if n.Bytes > m.MemoryBytes/2 {
			return fmt.Errorf("%s: expected sizes that take at most half of the machine's memory, %.1f GB, got %s %s, which take some %.1f GB",
				p.Name, m.MemoryBytes/2e9, count(s), p.Size, n.Bytes/1e9)
		}
		if n.Processes > MostProcesses {
			return fmt.Errorf("%s: expected sizes of at most %d processes, got %s %s, which are %d", p.Name, MostProcesses, count(s), p.Size, n.Processes)
		}
	}
	if len(sizes) < LeastSizes || !slices.IsSorted(sizes) || sizes[len(sizes)-1] < Spread*sizes[0] {
		var got []string
		for _, s := range sizes {
			got = append(got, count(s))
		}
		return fmt.Errorf("%s: expected %d sizes at least, in order, the last %d times the first, got %s", p.Name, LeastSizes, Spread, strings.Join(got, " "))
	}
	return nil
}

// Point is one measured value.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is one quantity over all sizes.
type Slope struct {
	Name    string   `json:"name"`
	What    string   `json:"what"`
	Role    string   `json:"role"`
	Unit    string   `json:"unit"`
	SizeOf  string   `json:"size_of"`
	Method  string   `json:"method"`
	Missing string   `json:"missing,omitempty"`
	Points  []Point  `json:"points"`
	Notes   []string `json:"notes,omitempty"` // sizes that could not be measured, and why
	Fit     Fit      `json:"fit"`
	Cap     float64  `json:"cap,omitempty"` // a size beyond which the node's own code takes nothing
	Design  float64  `json:"design_size"`
	At      float64  `json:"at_design"` // the value there
	How     string   `json:"how"`       // measured, line, power, last size, one point or not measured; beyond a cap it says so
	Limit   float64  `json:"limit,omitempty"`
	Factor  float64  `json:"factor,omitempty"` // of the limit; above 1 it is over
	Command string   `json:"command"`
	Day     string   `json:"day"`
}

// Result is all that was measured in one run.
type Result struct {
	Day     string  `json:"day"`
	Command string  `json:"command"`
	Machine Machine `json:"machine"`
	Quick   bool    `json:"quick,omitempty"`
	Design  Design  `json:"design"`
	Limits  Limits  `json:"limits"`
	Slopes  []Slope `json:"slopes"`
}

// Options of a run.
type Options struct {
	Only    []string // names of probes, or of single figures as probe.figure; empty: all
	Sizes   []float64
	Env     Env
	Command string // as it was called, for the page
	Day     time.Time
	Design  Design
	Limits  Limits
	Machine Machine
}

// chosen are the probes by name, each with its sizes, checked before any work begins.
func (o *Options) chosen() (probes []Probe, err error) {
	var names, all []string
	for _, p := range Probes() {
		names, all = append(names, p.Name), append(all, p.Name)
		var figures []Figure
		for _, f := range p.Figures {
			all = append(all, p.Name+"."+f.Name)
			if len(o.Only) == 0 || slices.Contains(o.Only, p.Name) || slices.Contains(o.Only, p.Name+"."+f.Name) {
				figures = append(figures, f)
			}
		}
		if p.Figures = figures; len(figures) > 0 {
			probes = append(probes, p)
		}
	}
	for _, name := range o.Only {
		if !slices.Contains(all, name) {
			return nil, fmt.Errorf("--only: expected some of %s, or one figure as decisions.change, got %q", strings.Join(names, ", "), name)
		}
	}
	for i := range probes {
		p := &probes[i]
		switch {
		case len(o.Sizes) > 0:
			p.Sizes = o.Sizes
		case o.Env.Quick:
			p.Sizes = p.Quick
		}
		if err := p.Check(p.Sizes, o.Machine); err != nil {
			return nil, err
		}
	}
	return probes, nil
}

// Run measures what was chosen. A probe that fails at a size goes on with the others, and its slopes say so. Where the context ends
// first, what was measured until then comes with its error.
func Run(ctx context.Context, o Options) (*Result, error) {
	probes, err := o.chosen()
	if err != nil {
		return nil, err
	}
	o.Env.Design = o.Design
	out := &Result{Day: o.Day.Format(time.DateOnly), Command: o.Command, Machine: o.Machine, Quick: o.Env.Quick, Design: o.Design, Limits: o.Limits}
	for n, p := range probes {
		points, notes := map[string][]Point{}, []string(nil)
		for _, size := range p.Sizes {
			if ctx.Err() != nil {
				notes = append(notes, count(size)+" "+p.Size+": not measured, the run was ended")
				continue
			}
			began := time.Now()
			o.Env.say("%d of %d: %s, %s %s", n+1, len(probes), p.Name, count(size), p.Size)
			values, note, err := p.Measure(ctx, &o.Env, size)
			if err != nil {
				note = "not measured: " + err.Error()
			}
			if note != "" {
				notes = append(notes, count(size)+" "+p.Size+": "+note)
				o.Env.say("  %s", note)
			}
			for _, f := range p.Figures {
				if v, has := values[f.Name]; has {
					points[f.Name] = append(points[f.Name], Point{size, v})
				}
			}
			o.Env.say("  took %.1f s", time.Since(began).Seconds())
		}
		for _, f := range p.Figures {
			out.Slopes = append(out.Slopes, slopeOf(&p, &f, points[f.Name], notes, &o))
		}
	}
	return out, ctx.Err()
}

func slopeOf(p *Probe, f *Figure, points []Point, notes []string, o *Options) Slope {
	s := Slope{
		Name: p.Name + "." + f.Name, What: f.What, Role: f.Role, Unit: f.Unit, SizeOf: p.Size, Method: f.Method, Missing: p.Missing, Cap: p.Cap, Points: points,
		Notes: notes, Design: p.At(&o.Design), Command: o.Command, Day: o.Day.Format(time.DateOnly),
	}
	if f.Limit != nil {
		s.Limit = f.Limit(&o.Design, &o.Limits)
	}
	return s.fitted()
}

// count writes a number with commas.
func count(v float64) string {
	if v != math.Trunc(v) {
		return strconv.FormatFloat(v, 'g', 4, 64)
	}
	text := strconv.FormatFloat(math.Abs(v), 'f', 0, 64)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	if v < 0 {
		text = "-" + text
	}
	return text
}

// Join adds a later result to an earlier one. Points of one slope at other sizes stand beside one another, of the same size the later
// holds; fits are drawn anew. The design and the limits are the later's.
func Join(earlier, later *Result) *Result {
	if earlier == nil {
		return later
	}
	out := *later
	out.Slopes = slices.Clone(earlier.Slopes)
	for _, s := range later.Slopes {
		i := slices.IndexFunc(out.Slopes, func(was Slope) bool { return was.Name == s.Name })
		if i < 0 {
			out.Slopes = append(out.Slopes, s)
			continue
		}
		was := out.Slopes[i]
		kept := slices.Clone(s.Points)
		for _, p := range was.Points {
			if !slices.ContainsFunc(s.Points, func(q Point) bool { return q.Size == p.Size }) {
				kept = append(kept, p)
			}
		}
		slices.SortFunc(kept, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		if len(kept) > len(s.Points) && was.Command != s.Command {
			s.Command = was.Command + "; " + s.Command
		}
		for _, note := range was.Notes {
			if !slices.Contains(s.Notes, note) {
				s.Notes = append(s.Notes, note)
			}
		}
		s.Points = kept
		out.Slopes[i] = s.fitted()
	}
	if !strings.Contains(earlier.Command, later.Command) {
		out.Command = earlier.Command + "; " + later.Command
	}
	return &out
}

// fitted draws the line anew.
func (s Slope) fitted() Slope {
	s.Fit, s.Factor = FitOf(s.Points), 0
	s.At, s.How = s.Fit.at(s.Points, s.Design)
	if s.Cap > 0 && s.Design > s.Cap {
		s.How += ", but nothing beyond " + count(s.Cap)
	}
	if s.Limit > 0 && len(s.Points) > 0 {
		s.Factor = s.At / s.Limit
	}
	return s
}
