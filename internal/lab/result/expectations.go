package result

import (
	"fmt"

	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
)

// expect adds a message to Missed unless the expectation holds.
func (r *Result) expect(holds bool, format string, args ...any) {
	if !holds {
		r.Missed = append(r.Missed, fmt.Sprintf(format, args...))
	}
}

// checkExpectations checks the run against the expectations of its scenario.
func (r *Result) checkExpectations(s *scenario.Scenario, badClients trace.BadClientCounts) {
	e := &s.Expect
	r.expect(r.ViolationCount == 0, "rules broken %d times, expected never", r.ViolationCount)
	r.checkOutcomes(e)
	if badClients.Connected > 0 {
		unanswered := float64(badClients.Unanswered) / float64(badClients.Connected)
		r.expect(unanswered <= e.MaxBadUnanswered,
			"%.4f of the bad clients got neither an error nor a close, expected %.4f at most",
			unanswered, e.MaxBadUnanswered)
		r.expect(badClients.Served == 0, "%d bad clients were served, expected none", badClients.Served)
	}
	r.expect(r.Lost <= e.MaxLost, "%d tasks lost, expected %d at most", r.Lost, e.MaxLost)
	for _, n := range r.Nodes {
		r.expect(n.Crashes == 0, "node %d ended by itself %d times", n.Node, n.Crashes)
	}
	if e.RecoverWithin > 0 {
		r.expect(r.RecoveryS >= 0 && r.RecoveryS <= e.RecoverWithin.Std().Seconds(),
			"service back at %.2f of the earnings after %.0f s (-1: not by the end), expected %v at most",
			recoveredFraction, r.RecoveryS, e.RecoverWithin.Std())
	}
	if e.MaxSlowStartExcess != nil && r.SlowStart != nil {
		peak := &r.SlowStart.Known
		r.expect(peak.Excess <= *e.MaxSlowStartExcess,
			"a cold server got %.1f requests of mean work, over two thirds from nodes that had been told, "+
				"where N = %.1f: %.2f times the root of N over it, expected %.2f at most",
			peak.Load, peak.Budget, peak.Excess, *e.MaxSlowStartExcess)
	}
	r.expect(!e.ViewsAgree || r.Views != nil && r.Views.AgreeFromS >= 0,
		"at the end nodes believe wrongly which of them run, expected that all know")
}

// checkOutcomes checks the outcomes of requests. Requests that clients canceled are not counted.
func (r *Result) checkOutcomes(e *scenario.Expect) {
	requests := float64(max(r.Requests-r.Canceled, 1))
	r.expect(r.FractionInTime >= e.MinWeightInTime, "earnings in time %.4f, expected %.4f at least", r.FractionInTime, e.MinWeightInTime)
	if e.MinSucceeded > 0 {
		succeeded := float64(r.Succeeded) / requests
		r.expect(succeeded >= e.MinSucceeded, "satisfied %.4f of the tasks, expected %.4f at least", succeeded, e.MinSucceeded)
	}
	if e.MaxRejected > 0 {
		rejected := float64(r.Rejected) / requests
		r.expect(rejected <= e.MaxRejected, "declined %.4f of the tasks, expected %.4f at most", rejected, e.MaxRejected)
	}
	if e.MaxP99 > 0 {
		r.expect(r.P99 <= float64(e.MaxP99)/1e6, "99th percentile %.1f ms, expected %v at most", r.P99, e.MaxP99.Std())
	}
}

func (r *Result) verdict(void bool) Verdict {
	switch {
	case void:
		return Void
	case len(r.Missed) == 0:
		return Held
	default:
		return FellShort
	}
}
