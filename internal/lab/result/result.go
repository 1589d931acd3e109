// Package result owns the figures of a day: what is worked out from its record, whether it held what the scenario
// expects, and how two days compare. It must never play a day, nor leave out a task that came.
package result

import (
	"encoding/json"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Verdict of a run.
const (
	Held = "held"
	Fell = "fell short"
	Void = "void" // the machine ran late: nothing can be said
)

// Result is a day in figures. Drawn is what the seed alone decides; all else hangs on real time too.
type Result struct {
	Scenario string   `json:"scenario"`
	About    string   `json:"about,omitempty"`
	Verdict  string   `json:"verdict"`
	Missed   []string `json:"missed,omitempty"` // what the scenario expects and was not so
	Drawn    Drawn    `json:"drawn"`
	LengthS  float64  `json:"length_s"`
	LagMs    float64  `json:"late_ms"` // the rig itself, in all but the worst twentieth of the time

	Tally
	ViolationCount int                   `json:"rules_broken"`
	RecoveryS      float64               `json:"back_s,omitempty"` // from the last loss of power until service is back; -1: not by the end; 0: no loss
	Violations     []invariant.Violation `json:"breaks,omitempty"`

	Classes map[string]*Tally `json:"by_category"`
	Tenants map[string]*Tally `json:"by_customer,omitempty"`
	Spans   []Tally           `json:"by_5s"`
	Seconds []Tally           `json:"by_1s"`

	Attempts   Attempts               `json:"hand_offs"`
	Nodes      []trace.NodeUsage      `json:"nodes"`
	BadClients trace.BadClientCounts  `json:"bad_clients"`
	Oddities   map[string]int         `json:"odd,omitempty"`
	Faults     []FaultSpan            `json:"faults,omitempty"`
	SlowStart  *SlowStart             `json:"cold,omitempty"`
	Endpoints  []string               `json:"servers"`
	Loads      []trace.LoadSample     `json:"loads,omitempty"`
	Virtual    bool                   `json:"virtual,omitempty"`
	Activity   []trace.FleetActivity  `json:"together_by_1s,omitempty"` // what all nodes do together
	Reach      []netfault.Reach       `json:"reach_by_1s,omitempty"`    // who could reach whom
	Views      *Views                 `json:"views,omitempty"`
	NodeViews  []trace.MembershipView `json:"beliefs,omitempty"`
	Running    []trace.RunningNodes   `json:"runs,omitempty"`
}

// Cold tells what servers' lives that began cold got at most within a window, over their budget of N requests of mean work.
type SlowStart struct {
	Incarnations int           `json:"lives"`
	Crashes      int           `json:"falls"`
	All          SlowStartPeak `json:"all"`  // of all that came
	Known        SlowStartPeak `json:"told"` // of moments at which over two thirds came from nodes that had been told of the start
}

// ColdWorst is the worst of some lives.
type SlowStartPeak struct {
	Incarnations int     `json:"lives"`
	Excess       float64 `json:"over"` // in roots of N; under 0: within the budget
	Load         float64 `json:"got"`  // requests of mean work
	Budget       float64 `json:"budget"`
	Endpoint     int     `json:"server"`
	AtS          float64 `json:"at_s"`
}

func worstOf(peaks []invariant.Peak, base int64) (w SlowStartPeak) {
	for i, p := range peaks {
		if i == 0 || p.Excess > w.Excess {
			w = SlowStartPeak{Excess: p.Excess, Load: p.Load, Budget: p.Budget, Endpoint: p.Endpoint, AtS: float64(p.At-base) / 1e9}
		}
	}
	w.Incarnations = len(peaks)
	return w
}

func slowStartOf(r *trace.Trace) *SlowStart {
	if len(r.Peaks.All) == 0 {
		return nil
	}
	return &SlowStart{len(r.Peaks.All), len(r.History.Crashes), worstOf(r.Peaks.All, r.StartedAt), worstOf(r.Peaks.Known, r.StartedAt)}
}

// Drawn is the same for the same scenario and seed.
type Drawn struct {
	Seed       uint64 `json:"seed"`
	Plan       string `json:"plan"` // a hash of all that was drawn
	Operations int    `json:"tasks"`
}

// Tally counts tasks and what became of them. Quantiles are those of satisfied ones, from when they were due.
type Tally struct {
	Operations   int     `json:"tasks"`
	Succeeded    int     `json:"satisfied"`
	InTime       int     `json:"in_time"` // satisfied within the soft limit
	Rejected     int     `json:"declined"`
	Failed       int     `json:"broken_off"`
	Lost         int     `json:"lost"`
	Canceled     int     `json:"left"` // clients that went early; they count for nothing else
	Weight       float64 `json:"earnings"`
	WeightInTime float64 `json:"earned_in_time"`
	WeightShare  float64 `json:"earnings_in_time"` // as a part of all that could be earned
	P50Ms        float64 `json:"p50_ms"`
	P90Ms        float64 `json:"p90_ms"`
	P99Ms        float64 `json:"p99_ms"`
	P999Ms       float64 `json:"p999_ms"`
	MaxMs        float64 `json:"most_ms"`

	hist *hdrhistogram.Histogram
}

// HandOffs counts what nodes sent to servers and what came of it.
type Attempts struct {
	Sent          int `json:"sent"`
	Succeeded     int `json:"satisfied"`
	Rejected      int `json:"turned_away"`
	Errors        int `json:"errors"`
	Unanswered    int `json:"unanswered"`
	DoubleEffects int `json:"double_effects"` // of tasks that must have one; a node killed in the middle may leave some
}

// Band is a fault's time, to be drawn.
type FaultSpan struct {
	Kind    string  `json:"kind"`
	FromS   float64 `json:"from_s"`
	ToS     float64 `json:"to_s"`
	Targets int     `json:"whom"`
}

const (
	mostTime = int64(10 * time.Minute / time.Microsecond)
	digits   = 3
	longSpan = int64(5 * time.Second)
)

func newTally() *Tally { return &Tally{hist: hdrhistogram.New(1, mostTime, digits)} }

func (t *Tally) add(o trace.Outcome, c *scenario.Class) {
	t.Operations++
	if o.State == trace.Canceled {
		t.Canceled++
		return
	}
	t.Weight += c.PriorityWeight
	switch o.State {
	case trace.Succeeded:
		t.Succeeded++
		t.hist.RecordValue(max(min(o.Elapsed/1000, mostTime), 1))
		if o.Elapsed <= int64(c.LatencyObjective) {
			t.InTime++
			t.WeightInTime += c.PriorityWeight
		}
	case trace.Rejected:
		t.Rejected++
	case trace.Lost:
		t.Lost++
	default:
		t.Failed++ // also what had no end by the day's
	}
}

func (t *Tally) close() Tally {
	if t.WeightShare = 1; t.Weight > 0 {
		t.WeightShare = t.WeightInTime / t.Weight
	}
	at := func(q float64) float64 { return float64(t.hist.ValueAtQuantile(q)) / 1000 }
	t.P50Ms, t.P90Ms, t.P99Ms, t.P999Ms, t.MaxMs = at(50), at(90), at(99), at(99.9), float64(t.hist.Max())/1000
	return *t
}

// Of works a day's figures out.
func Of(s *scenario.Scenario, r *trace.Trace) *Result {
	out := &Result{
		Scenario: s.Name, About: s.About, LengthS: time.Duration(s.Length).Seconds(), LagMs: float64(r.Lag) / 1e6,
		Drawn: Drawn{r.Plan.Seed, r.PlanHash, len(r.Plan.Operations)}, Classes: map[string]*Tally{}, Tenants: map[string]*Tally{},
		ViolationCount: len(r.Violations), Violations: r.Violations, Nodes: r.Nodes, BadClients: r.BadClients, Oddities: r.Oddities, Endpoints: r.Endpoints, Loads: r.Loads, Virtual: r.Virtual, Activity: r.Activity,
		Reach: r.Reach, Views: viewsOf(r.Views, r.Running), NodeViews: r.Views, Running: r.Running,
	}
	all := newTally()
	spans, seconds := tallies(s.Length, longSpan), tallies(s.Length, int64(time.Second))
	for i := range r.Plan.Operations {
		t, o := &r.Plan.Operations[i], r.Outcomes[i]
		c := &s.Classes[t.Class]
		into := []*Tally{all, named(out.Classes, c.Name), spans[(t.Due-r.StartedAt)/longSpan], seconds[(t.Due-r.StartedAt)/int64(time.Second)]}
		if t.Tenant >= 0 {
			into = append(into, named(out.Tenants, s.Tenants[t.Tenant].Name))
		}
		for _, one := range into {
			one.add(o, c)
		}
	}
	out.Tally = all.close()
	for _, t := range out.Classes {
		t.close()
	}
	for _, t := range out.Tenants {
		t.close()
	}
	for _, t := range spans {
		out.Spans = append(out.Spans, t.close())
	}
	for _, t := range seconds {
		out.Seconds = append(out.Seconds, t.close())
	}
	out.Attempts = attemptsOf(s, r)
	for i := range r.Plan.Faults {
		f := &r.Plan.Faults[i]
		from := float64(int64(f.At)-r.StartedAt) / 1e9
		if f.Kind == "power" {
			out.RecoveryS = out.recovery(from)
		}
		whom := len(f.Targets)
		if way, ok := s.LinkFault(&f.Fault); ok {
			whom = len(way.From) * len(way.To)
		}
		out.Faults = append(out.Faults, FaultSpan{f.Kind, from, from + time.Duration(f.For).Seconds(), whom})
	}
	out.SlowStart = slowStartOf(r)
	out.checkExpectations(s, r)
	return out
}

// Worst is the earnings in time, as a part, of the worst stretch of so many whole seconds.
func (r *Result) Worst(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(r.Seconds); i++ {
		earned, could := 0.0, 0.0
		for _, t := range r.Seconds[i : i+seconds] {
			earned, could = earned+t.WeightInTime, could+t.Weight
		}
		if could > 0 {
			worst = min(worst, earned/could)
		}
	}
	return worst
}

// backPart of the earnings in time, in two seconds on end, is service that is back.
const backPart = 0.95

// back is how long after a moment, in seconds, service was back; -1: not by the end.
func (r *Result) recovery(from float64) float64 {
	run := 0
	for i := int(from); i < len(r.Seconds); i++ {
		if t := &r.Seconds[i]; t.Weight > 0 && t.WeightInTime >= backPart*t.Weight {
			run++
		} else {
			run = 0
		}
		if run == 2 {
			return float64(i-1) - from
		}
	}
	return -1
}

// WorstCategory is the earnings in time of the category that fares worst.
func (r *Result) WorstClass() float64 {
	worst := 1.0
	for _, t := range r.Classes {
		worst = min(worst, t.WeightShare)
	}
	return worst
}

func tallies(length scenario.Duration, span int64) []*Tally {
	list := make([]*Tally, (int64(length)-1)/span+1)
	for i := range list {
		list[i] = newTally()
	}
	return list
}

func named(of map[string]*Tally, name string) *Tally {
	if of[name] == nil {
		of[name] = newTally()
	}
	return of[name]
}

func attemptsOf(s *scenario.Scenario, r *trace.Trace) Attempts {
	categoryOf := map[string]int{}
	ticketOf := map[string]string{}
	for _, t := range r.History.Requests {
		categoryOf[t.ID] = t.Class
		ticketOf[t.ID] = fmt.Sprint(t.Operation)
	}
	k := r.History.Count(func(task string) (string, bool) {
		c, known := categoryOf[task]
		return ticketOf[task], known && s.Classes[c].Idempotency != scenario.Idempotent
	})
	return Attempts{k.Attempts, k.Succeeded, k.Rejected, k.Errors, k.Unanswered + k.Incomplete, k.DoubleEffects}
}

// judge holds the day against what its scenario expects.
func (r *Result) checkExpectations(s *scenario.Scenario, played *trace.Trace) {
	miss := func(holds bool, text string, args ...any) {
		if !holds {
			r.Missed = append(r.Missed, fmt.Sprintf(text, args...))
		}
	}
	e := &s.Expect
	here := max(r.Operations-r.Canceled, 1)
	miss(r.ViolationCount == 0, "rules broken %d times, expected never", r.ViolationCount)
	miss(r.WeightShare >= e.WeightInTime, "earnings in time %.4f, expected %.4f at least", r.WeightShare, e.WeightInTime)
	if part := float64(r.Succeeded) / float64(here); e.Succeeded > 0 {
		miss(part >= e.Succeeded, "satisfied %.4f of the tasks, expected %.4f at least", part, e.Succeeded)
	}
	if part := float64(r.Rejected) / float64(here); e.Rejected > 0 {
		miss(part <= e.Rejected, "declined %.4f of the tasks, expected %.4f at most", part, e.Rejected)
	}
	if e.P99 > 0 {
		miss(r.P99Ms <= float64(e.P99)/1e6, "99th percentile %.1f ms, expected %v at most", r.P99Ms, e.P99.Std())
	}
	if b := played.BadClients; b.Came > 0 {
		part := float64(b.Unanswered) / float64(b.Came)
		miss(part <= e.BadUnanswered, "%.4f of the bad clients got neither an error nor a close, expected %.4f at most", part, e.BadUnanswered)
		miss(b.Served == 0, "%d bad clients were served, expected none", b.Served)
	}
	miss(r.Lost <= e.MaxLost, "%d tasks lost, expected %d at most", r.Lost, e.MaxLost)
	for _, n := range r.Nodes {
		miss(n.Crashes == 0, "node %d ended by itself %d times", n.Node, n.Crashes)
	}
	if e.RecoverWithin > 0 {
		miss(r.RecoveryS >= 0 && r.RecoveryS <= e.RecoverWithin.Std().Seconds(), "service back at %.2f of the earnings after %.0f s (-1: not by the end), expected %v at most", backPart, r.RecoveryS, e.RecoverWithin.Std())
	}
	if e.MaxSlowStartExcess != nil && r.SlowStart != nil {
		c := &r.SlowStart.Known
		miss(c.Excess <= *e.MaxSlowStartExcess, "a cold server got %.1f requests of mean work, over two thirds from nodes that had been told, where N = %.1f: %.2f times the root of N over it, expected %.2f at most",
			c.Load, c.Budget, c.Excess, *e.MaxSlowStartExcess)
	}
	miss(!e.ViewsAgree || r.Views != nil && r.Views.AgreeFromS >= 0, "at the end nodes believe wrongly which of them run, expected that all know")
	switch {
	case played.Void:
		r.Verdict = Void
	case len(r.Missed) == 0:
		r.Verdict = Held
	default:
		r.Verdict = Fell
	}
}

// Write leaves the result in a directory.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644)
}

// Load reads a result that was written.
func Load(dir string) (*Result, error) {
	text, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return r, nil
}

// heldBy sums what each server held, over the samples.
func inFlightAt(loads []trace.LoadSample, server int) (at, held []float64) {
	for _, s := range loads {
		if server < len(s.InFlight) {
			at = append(at, float64(s.At)/1e9)
			held = append(held, float64(s.InFlight[server]))
		}
	}
	return at, held
}
