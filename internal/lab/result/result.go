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
	LateMs   float64  `json:"late_ms"` // the rig itself, in all but the worst twentieth of the time

	Tally
	RulesBroken int                   `json:"rules_broken"`
	BackS       float64               `json:"back_s,omitempty"` // from the last loss of power until service is back; -1: not by the end; 0: no loss
	Breaks      []invariant.Violation `json:"breaks,omitempty"`

	Categories map[string]*Tally `json:"by_category"`
	Customers  map[string]*Tally `json:"by_customer,omitempty"`
	Spans      []Tally           `json:"by_5s"`
	Seconds    []Tally           `json:"by_1s"`

	HandOffs   HandOffs               `json:"hand_offs"`
	Nodes      []trace.NodeUsage      `json:"nodes"`
	BadClients trace.BadClientCounts  `json:"bad_clients"`
	Odd        map[string]int         `json:"odd,omitempty"`
	Faults     []Band                 `json:"faults,omitempty"`
	Cold       *Cold                  `json:"cold,omitempty"`
	Servers    []string               `json:"servers"`
	Loads      []trace.LoadSample     `json:"loads,omitempty"`
	Virtual    bool                   `json:"virtual,omitempty"`
	Together   []trace.FleetActivity  `json:"together_by_1s,omitempty"` // what all nodes do together
	Reach      []netfault.Reach       `json:"reach_by_1s,omitempty"`    // who could reach whom
	Views      *Views                 `json:"views,omitempty"`
	Beliefs    []trace.MembershipView `json:"beliefs,omitempty"`
	Runs       []trace.RunningNodes   `json:"runs,omitempty"`
}

// Cold tells what servers' lives that began cold got at most within a window, over their budget of N requests of mean work.
type Cold struct {
	Lives int       `json:"lives"`
	Falls int       `json:"falls"`
	All   ColdWorst `json:"all"`  // of all that came
	Told  ColdWorst `json:"told"` // of moments at which over two thirds came from nodes that had been told of the start
}

// ColdWorst is the worst of some lives.
type ColdWorst struct {
	Lives  int     `json:"lives"`
	Over   float64 `json:"over"` // in roots of N; under 0: within the budget
	Got    float64 `json:"got"`  // requests of mean work
	Budget float64 `json:"budget"`
	Server int     `json:"server"`
	AtS    float64 `json:"at_s"`
}

func worstOf(peaks []invariant.Peak, base int64) (w ColdWorst) {
	for i, p := range peaks {
		if i == 0 || p.Excess > w.Over {
			w = ColdWorst{Over: p.Excess, Got: p.Load, Budget: p.Budget, Server: p.Endpoint, AtS: float64(p.At-base) / 1e9}
		}
	}
	w.Lives = len(peaks)
	return w
}

func coldOf(r *trace.Trace) *Cold {
	if len(r.Peaks.All) == 0 {
		return nil
	}
	return &Cold{len(r.Peaks.All), len(r.History.Crashes), worstOf(r.Peaks.All, r.StartedAt), worstOf(r.Peaks.Known, r.StartedAt)}
}

// Drawn is the same for the same scenario and seed.
type Drawn struct {
	Seed  uint64 `json:"seed"`
	Plan  string `json:"plan"` // a hash of all that was drawn
	Tasks int    `json:"tasks"`
}

// Tally counts tasks and what became of them. Quantiles are those of satisfied ones, from when they were due.
type Tally struct {
	Tasks     int     `json:"tasks"`
	Satisfied int     `json:"satisfied"`
	InTime    int     `json:"in_time"` // satisfied within the soft limit
	Declined  int     `json:"declined"`
	BrokenOff int     `json:"broken_off"`
	Lost      int     `json:"lost"`
	Left      int     `json:"left"` // clients that went early; they count for nothing else
	Earnings  float64 `json:"earnings"`
	Earned    float64 `json:"earned_in_time"`
	Part      float64 `json:"earnings_in_time"` // as a part of all that could be earned
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	Most      float64 `json:"most_ms"`

	hist *hdrhistogram.Histogram
}

// HandOffs counts what nodes sent to servers and what came of it.
type HandOffs struct {
	Sent       int `json:"sent"`
	Satisfied  int `json:"satisfied"`
	TurnedAway int `json:"turned_away"`
	Errors     int `json:"errors"`
	Unanswered int `json:"unanswered"`
	Twice      int `json:"double_effects"` // of tasks that must have one; a node killed in the middle may leave some
}

// Band is a fault's time, to be drawn.
type Band struct {
	Kind  string  `json:"kind"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
	Whom  int     `json:"whom"`
}

const (
	mostTime = int64(10 * time.Minute / time.Microsecond)
	digits   = 3
	longSpan = int64(5 * time.Second)
)

func newTally() *Tally { return &Tally{hist: hdrhistogram.New(1, mostTime, digits)} }

func (t *Tally) add(o trace.Outcome, c *scenario.Class) {
	t.Tasks++
	if o.State == trace.Canceled {
		t.Left++
		return
	}
	t.Earnings += c.PriorityWeight
	switch o.State {
	case trace.Succeeded:
		t.Satisfied++
		t.hist.RecordValue(max(min(o.Elapsed/1000, mostTime), 1))
		if o.Elapsed <= int64(c.LatencyObjective) {
			t.InTime++
			t.Earned += c.PriorityWeight
		}
	case trace.Rejected:
		t.Declined++
	case trace.Lost:
		t.Lost++
	default:
		t.BrokenOff++ // also what had no end by the day's
	}
}

func (t *Tally) close() Tally {
	if t.Part = 1; t.Earnings > 0 {
		t.Part = t.Earned / t.Earnings
	}
	at := func(q float64) float64 { return float64(t.hist.ValueAtQuantile(q)) / 1000 }
	t.P50, t.P90, t.P99, t.P999, t.Most = at(50), at(90), at(99), at(99.9), float64(t.hist.Max())/1000
	return *t
}

// Of works a day's figures out.
func Of(s *scenario.Scenario, r *trace.Trace) *Result {
	out := &Result{
		Scenario: s.Name, About: s.About, LengthS: time.Duration(s.Length).Seconds(), LateMs: float64(r.Lag) / 1e6,
		Drawn: Drawn{r.Plan.Seed, r.PlanHash, len(r.Plan.Operations)}, Categories: map[string]*Tally{}, Customers: map[string]*Tally{},
		RulesBroken: len(r.Violations), Breaks: r.Violations, Nodes: r.Nodes, BadClients: r.BadClients, Odd: r.Oddities, Servers: r.Endpoints, Loads: r.Loads, Virtual: r.Virtual, Together: r.Activity,
		Reach: r.Reach, Views: viewsOf(r.Views, r.Running), Beliefs: r.Views, Runs: r.Running,
	}
	all := newTally()
	spans, seconds := tallies(s.Length, longSpan), tallies(s.Length, int64(time.Second))
	for i := range r.Plan.Operations {
		t, o := &r.Plan.Operations[i], r.Outcomes[i]
		c := &s.Classes[t.Class]
		into := []*Tally{all, named(out.Categories, c.Name), spans[(t.Due-r.StartedAt)/longSpan], seconds[(t.Due-r.StartedAt)/int64(time.Second)]}
		if t.Tenant >= 0 {
			into = append(into, named(out.Customers, s.Tenants[t.Tenant].Name))
		}
		for _, one := range into {
			one.add(o, c)
		}
	}
	out.Tally = all.close()
	for _, t := range out.Categories {
		t.close()
	}
	for _, t := range out.Customers {
		t.close()
	}
	for _, t := range spans {
		out.Spans = append(out.Spans, t.close())
	}
	for _, t := range seconds {
		out.Seconds = append(out.Seconds, t.close())
	}
	out.HandOffs = handOffs(s, r)
	for i := range r.Plan.Faults {
		f := &r.Plan.Faults[i]
		from := float64(int64(f.At)-r.StartedAt) / 1e9
		if f.Kind == "power" {
			out.BackS = out.back(from)
		}
		whom := len(f.Targets)
		if way, ok := s.LinkFault(&f.Fault); ok {
			whom = len(way.From) * len(way.To)
		}
		out.Faults = append(out.Faults, Band{f.Kind, from, from + time.Duration(f.For).Seconds(), whom})
	}
	out.Cold = coldOf(r)
	out.judge(s, r)
	return out
}

// Worst is the earnings in time, as a part, of the worst stretch of so many whole seconds.
func (r *Result) Worst(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(r.Seconds); i++ {
		earned, could := 0.0, 0.0
		for _, t := range r.Seconds[i : i+seconds] {
			earned, could = earned+t.Earned, could+t.Earnings
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
func (r *Result) back(from float64) float64 {
	run := 0
	for i := int(from); i < len(r.Seconds); i++ {
		if t := &r.Seconds[i]; t.Earnings > 0 && t.Earned >= backPart*t.Earnings {
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
func (r *Result) WorstCategory() float64 {
	worst := 1.0
	for _, t := range r.Categories {
		worst = min(worst, t.Part)
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

func handOffs(s *scenario.Scenario, r *trace.Trace) HandOffs {
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
	return HandOffs{k.Attempts, k.Succeeded, k.Rejected, k.Errors, k.Unanswered + k.Incomplete, k.DoubleEffects}
}

// judge holds the day against what its scenario expects.
func (r *Result) judge(s *scenario.Scenario, played *trace.Trace) {
	miss := func(holds bool, text string, args ...any) {
		if !holds {
			r.Missed = append(r.Missed, fmt.Sprintf(text, args...))
		}
	}
	e := &s.Expect
	here := max(r.Tasks-r.Left, 1)
	miss(r.RulesBroken == 0, "rules broken %d times, expected never", r.RulesBroken)
	miss(r.Part >= e.WeightInTime, "earnings in time %.4f, expected %.4f at least", r.Part, e.WeightInTime)
	if part := float64(r.Satisfied) / float64(here); e.Succeeded > 0 {
		miss(part >= e.Succeeded, "satisfied %.4f of the tasks, expected %.4f at least", part, e.Succeeded)
	}
	if part := float64(r.Declined) / float64(here); e.Rejected > 0 {
		miss(part <= e.Rejected, "declined %.4f of the tasks, expected %.4f at most", part, e.Rejected)
	}
	if e.P99 > 0 {
		miss(r.P99 <= float64(e.P99)/1e6, "99th percentile %.1f ms, expected %v at most", r.P99, e.P99.Std())
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
		miss(r.BackS >= 0 && r.BackS <= e.RecoverWithin.Std().Seconds(), "service back at %.2f of the earnings after %.0f s (-1: not by the end), expected %v at most", backPart, r.BackS, e.RecoverWithin.Std())
	}
	if e.MaxSlowStartExcess != nil && r.Cold != nil {
		c := &r.Cold.Told
		miss(c.Over <= *e.MaxSlowStartExcess, "a cold server got %.1f requests of mean work, over two thirds from nodes that had been told, where N = %.1f: %.2f times the root of N over it, expected %.2f at most",
			c.Got, c.Budget, c.Over, *e.MaxSlowStartExcess)
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
func heldBy(loads []trace.LoadSample, server int) (at, held []float64) {
	for _, s := range loads {
		if server < len(s.InFlight) {
			at = append(at, float64(s.At)/1e9)
			held = append(held, float64(s.InFlight[server]))
		}
	}
	return at, held
}
