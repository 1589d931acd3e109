package result

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"fawnglade/internal/lab/trace"
)

const (
	maxNodesPrinted      = 8
	maxViolationsPrinted = 10
)

// Print writes the result as text for a terminal.
func (r *Result) Print(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%s, seed %d: %s\n", r.Scenario, r.Plan.Seed, r.Verdict)
	if err := r.printTallies(&out); err != nil {
		return err
	}
	a := r.Attempts
	fmt.Fprintf(&out, "hand-offs %d: satisfied %d, turned away %d, errors %d, unanswered %d; double effects %d\n",
		a.Sent, a.Succeeded, a.Rejected, a.Errors, a.Unanswered, a.DoubleEffects)
	r.printActivity(&out)
	r.printSlowStart(&out)
	r.printNodes(&out)
	if b := r.BadClients; b.Connected > 0 {
		fmt.Fprintf(&out, "bad clients %d: %d received neither an error nor a close, %d were served\n", b.Connected, b.Unanswered, b.Served)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.GivenUp)) {
		fmt.Fprintf(&out, "given up: %s, %d times\n", reason, r.GivenUp[reason])
	}
	for _, description := range slices.Sorted(maps.Keys(r.Oddities)) {
		fmt.Fprintf(&out, "anomaly: %s, %d times\n", description, r.Oddities[description])
	}
	r.printReachability(&out)
	r.printVerdict(&out)
	_, err := io.WriteString(w, out.String())
	return err
}

func (r *Result) printTallies(w io.Writer) error {
	rows := []string{"\ttasks\tsatisfied\tdeclined\tbroken off\tlost\tin time\tp50 ms\tp99 ms\tmost ms\t\n"}
	add := func(name string, t *Tally) {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n",
			name, t.Requests-t.Canceled, t.Succeeded, t.Rejected, t.Failed, t.Lost, t.FractionInTime, t.P50, t.P99, t.Max))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		add(name, r.Classes[name])
	}
	add("all", &r.Tally)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, strings.Join(rows, "")); err != nil {
		return err
	}
	return table.Flush()
}

// printActivity writes the sums over the run and, for some figures, the value of the worst second.
func (r *Result) printActivity(out *strings.Builder) {
	if len(r.Activity) == 0 {
		return
	}
	var sum, peak trace.FleetActivity
	for _, a := range r.Activity {
		sum.Connections += a.Connections
		sum.ListCalls += a.ListCalls
		sum.HealthChecks += a.HealthChecks
		sum.Retries += a.Retries
		sum.Hedged += a.Hedged
		sum.Gossip += a.Gossip + a.Members
		peak.Connections = max(peak.Connections, a.Connections)
		peak.ListCalls = max(peak.ListCalls, a.ListCalls)
	}
	fmt.Fprintf(out, "all nodes together: %d connections (%d in the worst second), %d endpoint list calls (%d), "+
		"%d retries, %d hedged requests, %d health checks, %d gossip messages\n",
		sum.Connections, peak.Connections, sum.ListCalls, peak.ListCalls, sum.Retries, sum.Hedged, sum.HealthChecks, sum.Gossip)
}

func (r *Result) printSlowStart(out *strings.Builder) {
	s := r.SlowStart
	if s == nil {
		return
	}
	fmt.Fprintf(out, "slow starts %d, endpoints overloaded %d: worst peak %.1f requests of mean work with budget N = %.1f, "+
		"excess %+.2f * sqrt(N); "+
		"worst peak from nodes that knew of the start %.1f with N = %.1f, excess %+.2f\n",
		s.Starts, s.Crashes, s.All.Load, s.All.Budget, s.All.Excess, s.Known.Load, s.Known.Budget, s.Known.Excess)
}

func (r *Result) printNodes(out *strings.Builder) {
	for _, n := range r.Nodes[:min(len(r.Nodes), maxNodesPrinted)] {
		fmt.Fprintf(out, "node %d: %.2f s of CPU, %.0f MB and %d descriptors at most, started %d times\n",
			n.Node, n.CPUSeconds, n.MaxMemoryMB, n.MaxDescriptors, n.Starts)
	}
}

func (r *Result) printVerdict(out *strings.Builder) {
	fmt.Fprintf(out, "rules broken: %d\n", r.ViolationCount)
	for i, v := range r.Violations {
		if i == maxViolationsPrinted {
			fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(out, "  %s\n", v)
	}
	for _, missed := range r.Missed {
		fmt.Fprintf(out, "not as expected: %s\n", missed)
	}
	if r.Verdict == Void {
		fmt.Fprintf(out, "void: the lab lagged by %.0f ms (95th percentile), so the figures are not valid\n", r.LateMs)
	}
}
