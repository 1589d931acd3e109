package result

// This file owns a result as a person reads it in a terminal.

import (
	"fawnglade/internal/lab/trace"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// mostNodes are shown one by one.
const mostNodes = 8

// Print writes the table of a run.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d: %s\n", r.Scenario, r.Drawn.Seed, r.Verdict)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\ttasks\tsatisfied\tdeclined\tbroken off\tlost\tin time\tp50 ms\tp99 ms\tmost ms\t")
	row := func(name string, a *Tally) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n", name, a.Operations-a.Canceled, a.Succeeded, a.Rejected, a.Failed, a.Lost, a.WeightShare, a.P50Ms, a.P99Ms, a.MaxMs)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		row(name, r.Classes[name])
	}
	row("all", &r.Tally)
	t.Flush()
	h := r.Attempts
	fmt.Fprintf(w, "hand-offs %d: satisfied %d, turned away %d, errors %d, unanswered %d; double effects %d\n",
		h.Sent, h.Succeeded, h.Rejected, h.Errors, h.Unanswered, h.DoubleEffects)
	if len(r.Activity) > 0 {
		var sum, most trace.FleetActivity
		for _, t := range r.Activity {
			sum.Connections, sum.ListCalls, sum.HealthChecks = sum.Connections+t.Connections, sum.ListCalls+t.ListCalls, sum.HealthChecks+t.HealthChecks
			sum.Retries, sum.Hedged, sum.Gossip = sum.Retries+t.Retries, sum.Hedged+t.Hedged, sum.Gossip+t.Gossip+t.Members
			most.Connections, most.ListCalls = max(most.Connections, t.Connections), max(most.ListCalls, t.ListCalls)
		}
		fmt.Fprintf(w, "all nodes together: %d connections (%d in the worst second), %d calls for the list (%d), %d resends, %d copies, %d probes, %d messages\n",
			sum.Connections, most.Connections, sum.ListCalls, most.ListCalls, sum.Retries, sum.Hedged, sum.HealthChecks, sum.Gossip)
	}
	if c := r.SlowStart; c != nil {
		fmt.Fprintf(w, "cold servers %d, %d pushed over: the worst got %.1f requests of mean work where N = %.1f, %+.2f times the root of N over it; of those pushed by nodes that were told %.1f where N = %.1f, %+.2f\n",
			c.Incarnations, c.Crashes, c.All.Load, c.All.Budget, c.All.Excess, c.Known.Load, c.Known.Budget, c.Known.Excess)
	}
	for _, n := range r.Nodes[:min(len(r.Nodes), mostNodes)] {
		fmt.Fprintf(w, "node %d: %.2f s of CPU, %.0f MB and %d descriptors at most, started %d times\n", n.Node, n.CPUSeconds, n.MaxMemoryMB, n.MaxDescriptors, n.Starts)
	}
	if b := r.BadClients; b.Came > 0 {
		fmt.Fprintf(w, "bad clients %d: %d got neither an error nor a close, %d were served\n", b.Came, b.Unanswered, b.Served)
	}
	for _, what := range slices.Sorted(maps.Keys(r.Oddities)) {
		fmt.Fprintf(w, "seen: %s, %d times\n", what, r.Oddities[what])
	}
	r.printLinks(w)
	fmt.Fprintf(w, "rules broken: %d\n", r.ViolationCount)
	for i, b := range r.Violations {
		if i == 10 {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  %s\n", b)
	}
	for _, m := range r.Missed {
		fmt.Fprintf(w, "not as expected: %s\n", m)
	}
	if r.Verdict == Void {
		fmt.Fprintf(w, "the machine ran late, by %.0f ms in a twentieth of the time or more: nothing can be said\n", r.LagMs)
	}
}
