package result

import (
	"fmt"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
)

// fiveSecondsNs is the interval of each tally in Result.FiveSeconds, in nanoseconds.
const fiveSecondsNs = int64(5 * time.Second)

// FromTrace computes the figures and the verdict of a run from its trace.
func FromTrace(s *scenario.Scenario, r *trace.Trace) *Result {
	result := &Result{
		Scenario: s.Name, About: s.About, LengthS: s.Length.Std().Seconds(), LateMs: float64(r.Lag) / 1e6,
		Plan:           Plan{r.Plan.Seed, r.PlanHash, len(r.Plan.Operations)},
		ViolationCount: len(r.Violations), Violations: r.Violations,
		Classes: map[string]*Tally{}, Tenants: map[string]*Tally{},
		Attempts: countAttempts(s, r), Nodes: r.Nodes, BadClients: r.BadClients, Oddities: r.Anomalies, GivenUp: r.GivenUp,
		SlowStart: slowStartOf(r), Endpoints: r.Endpoints, Loads: r.Loads,
		Virtual: r.Virtual, Activity: r.Activity, Reach: r.Reach,
		Views: viewsOf(r.Views, r.Running), MembershipViews: r.Views, Running: r.Running,
	}
	result.tallyRequests(s, r)
	result.addFaults(s, r)
	result.checkExpectations(s, r.BadClients)
	result.Verdict = result.verdict(r.Void)
	return result
}

// tallyRequests counts each request in the total and in the tallies of its class, its tenant and its due time.
func (r *Result) tallyRequests(s *scenario.Scenario, run *trace.Trace) {
	all := newTally()
	fiveSeconds := newTallies(int64(s.Length), fiveSecondsNs)
	seconds := newTallies(int64(s.Length), int64(time.Second))
	for i := range run.Plan.Operations {
		operation := &run.Plan.Operations[i]
		class := &s.Classes[operation.Class]
		due := operation.Due - run.StartedAt
		tallies := []*Tally{all, tallyByName(r.Classes, class.Name), fiveSeconds[due/fiveSecondsNs], seconds[due/int64(time.Second)]}
		if operation.Tenant >= 0 {
			tallies = append(tallies, tallyByName(r.Tenants, s.Tenants[operation.Tenant].Name))
		}
		for _, t := range tallies {
			t.add(run.Outcomes[i], class)
		}
	}
	r.Tally = all.finish()
	for _, t := range r.Classes {
		t.finish()
	}
	for _, t := range r.Tenants {
		t.finish()
	}
	r.FiveSeconds = finishAll(fiveSeconds)
	r.Seconds = finishAll(seconds)
}

func finishAll(tallies []*Tally) []Tally {
	var finished []Tally
	for _, t := range tallies {
		finished = append(finished, t.finish())
	}
	return finished
}

// addFaults lists the faults of the run and computes the recovery time after the last power loss.
func (r *Result) addFaults(s *scenario.Scenario, run *trace.Trace) {
	for i := range run.Plan.Faults {
		fault := &run.Plan.Faults[i]
		from := float64(int64(fault.At)-run.StartedAt) / 1e9
		if fault.Kind == "power" {
			r.RecoveryS = r.recoveryAfter(from)
		}
		targets := len(fault.Targets)
		if links, ok := s.LinkFault(&fault.Fault); ok {
			targets = len(links.From) * len(links.To)
		}
		r.Faults = append(r.Faults, FaultInterval{fault.Kind, from, from + fault.For.Std().Seconds(), targets})
	}
}

// countAttempts counts attempts and their outcomes from the history that the endpoints recorded.
func countAttempts(s *scenario.Scenario, r *trace.Trace) Attempts {
	classOf := map[string]int{}
	operationOf := map[string]string{}
	for _, request := range r.History.Requests {
		classOf[request.ID] = request.Class
		operationOf[request.ID] = fmt.Sprint(request.Operation)
	}
	counts := r.History.Count(func(id string) (string, bool) {
		class, known := classOf[id]
		return operationOf[id], known && s.Classes[class].Idempotency != scenario.Idempotent
	})
	return Attempts{
		Sent: counts.Attempts, Succeeded: counts.Succeeded, Rejected: counts.Rejected, Errors: counts.Errors,
		Unanswered: counts.Unanswered + counts.Incomplete, DoubleEffects: counts.DoubleEffects,
	}
}

// SlowStart reports the highest load that endpoints received within a window after a start, relative to their
// slow-start budget of N requests of mean work.
type SlowStart struct {
	Starts  int           `json:"lives"`
	Crashes int           `json:"falls"` // endpoints that were overloaded in slow start
	All     SlowStartPeak `json:"all"`   // the worst peak
	Known   SlowStartPeak `json:"told"`  // the worst peak with over two thirds of the load from nodes that knew of the start
}

// SlowStartPeak is the peak load with the largest excess over a number of starts.
type SlowStartPeak struct {
	Starts   int     `json:"lives"`
	Excess   float64 `json:"over"` // load above the budget N, in units of the square root of N; negative: within the budget
	Load     float64 `json:"got"`  // in requests of mean work
	Budget   float64 `json:"budget"`
	Endpoint int     `json:"server"`
	AtS      float64 `json:"at_s"` // seconds since the start of the run
}

// slowStartOf returns nil if no endpoint was in slow start.
func slowStartOf(r *trace.Trace) *SlowStart {
	if len(r.Peaks.All) == 0 {
		return nil
	}
	return &SlowStart{
		Starts: len(r.Peaks.All), Crashes: len(r.History.Crashes),
		All: worstPeak(r.Peaks.All, r.StartedAt), Known: worstPeak(r.Peaks.Known, r.StartedAt),
	}
}

// worstPeak returns the peak with the largest excess; of equal ones, the first.
func worstPeak(peaks []invariant.Peak, startedAt int64) SlowStartPeak {
	var worst SlowStartPeak
	for i, p := range peaks {
		if i == 0 || p.Excess > worst.Excess {
			worst = SlowStartPeak{
				Excess: p.Excess, Load: p.Load, Budget: p.Budget, Endpoint: p.Endpoint,
				AtS: float64(p.At-startedAt) / 1e9,
			}
		}
	}
	worst.Starts = len(peaks)
	return worst
}

// Service counts as recovered after recoveredSeconds consecutive seconds in each of which at least recoveredFraction of
// the weight was answered in time.
const (
	recoveredFraction = 0.95
	recoveredSeconds  = 2
)

// recoveryAfter returns the seconds from startS until service had recovered; -1 if it had not by the end of the run.
func (r *Result) recoveryAfter(startS float64) float64 {
	goodSeconds := 0
	for i := int(startS); i < len(r.Seconds); i++ {
		if t := &r.Seconds[i]; t.Weight > 0 && t.WeightInTime >= recoveredFraction*t.Weight {
			goodSeconds++
		} else {
			goodSeconds = 0
		}
		if goodSeconds == recoveredSeconds {
			return float64(i-1) - startS
		}
	}
	return -1
}
