package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"

	"github.com/spf13/cobra"
)

// Baselines of the gate: one sees the true state of the endpoints with a delay, the other chooses at random.
const (
	lateSeeingName = "late-seeing"
	randomName     = "random"
)

// gateFlags holds the flags of the gate command.
type gateFlags struct {
	nodes       int
	seeds       int
	deciderName string
	asJSON      bool
}

// gateReport is the JSON output of the gate command.
type gateReport struct {
	Runs   []gateRun `json:"days"`
	Passed bool      `json:"passed"`
}

// gateRun is the result of one scenario with one seed.
type gateRun struct {
	Scenario    string   `json:"day"`
	Seed        uint64   `json:"seed"`
	InTime      float64  `json:"in_time"` // fraction of weight answered in time
	LateSeeing  float64  `json:"late_seeing"`
	Random      float64  `json:"random"`
	Worst10s    float64  `json:"worst_10s"`
	Connections float64  `json:"connections_a_task"`
	ListCalls   int      `json:"calls"`
	Violations  int      `json:"rules_broken"`
	Missed      []string `json:"missed,omitempty"`
}

func newGateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "gate SCENARIO...",
		Short: "Run scenarios in virtual time and pass or fail them, with a one-line verdict",
		Long: `Run scenarios in virtual time and pass or fail them, with a one-line verdict at the end.

A run passes if no rule was broken and its [expect] section held, if the earnings in time are at least seeing_part_min
of those of a policy that sees the true state half a second late, and, if plain_less_max is set, if they are at most
that much below those of random choice. Exit code 0: all passed. 1: at least one failed. 2: at least one could not run.`,
		Example: "  fawnglade-lab gate lab/scenarios/fleet/*.toml\n" +
			"  fawnglade-lab gate lab/scenarios/fleet/*.toml --nodes 30 --seeds 3",
		Args: cobra.MinimumNArgs(1),
	}
	var f gateFlags
	c.Flags().IntVar(&f.nodes, "nodes", 0, "number of nodes (default the scenarios')")
	c.Flags().IntVar(&f.seeds, "seeds", 1, "number of seeds for each scenario, counting up from the scenario's")
	c.Flags().StringVar(&f.deciderName, "by", moduleName, "decider to test")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the result as one JSON object")
	c.RunE = func(c *cobra.Command, paths []string) error { return runGate(c, f, paths) }
	return c
}

func runGate(c *cobra.Command, f gateFlags, paths []string) error {
	if f.seeds < 1 || f.seeds > 1000 {
		return fmt.Errorf("--seeds: expected 1 to 1,000, got %d", f.seeds)
	}
	deciders := []string{f.deciderName, lateSeeingName, randomName}
	var runs []virtualRun
	for _, path := range paths {
		s, err := readScenario(path, f.nodes)
		if err != nil {
			return err
		}
		for n := range f.seeds {
			for _, deciderName := range deciders {
				runs = append(runs, virtualRun{s, s.Seed + uint64(n), deciderName})
			}
		}
	}
	results, err := runAllVirtual(c.Context(), runs)
	if err != nil {
		return err
	}
	var judged []gateRun
	for i := 0; i < len(runs); i += len(deciders) {
		judged = append(judged, judge(&runs[i].scenario.Expect, results[i], results[i+1], results[i+2]))
	}
	failure := firstFailure(judged)
	if f.asJSON {
		err = printJSON(c.OutOrStdout(), gateReport{judged, failure == ""})
	} else {
		err = printGate(c.OutOrStdout(), judged, failure)
	}
	if err == nil && failure != "" {
		return errNotPassed
	}
	return err
}

// judge compares a run with those of the baselines with the same seed.
func judge(expect *scenario.Expect, own, lateSeeing, random *result.Result) gateRun {
	g := gateRun{
		Scenario: own.Scenario, Seed: own.Plan.Seed,
		InTime: own.FractionInTime, LateSeeing: lateSeeing.FractionInTime, Random: random.FractionInTime,
		Worst10s: own.WorstWindow(10), Violations: own.ViolationCount, Missed: own.Missed,
	}
	for _, second := range own.Activity {
		g.Connections += float64(second.Connections) / float64(max(own.Requests, 1))
		g.ListCalls += second.ListCalls
	}
	if minimum := expect.MinShareOfLateSeeing * g.LateSeeing; g.InTime < minimum {
		g.Missed = append(g.Missed, fmt.Sprintf("in time %.3f, expected %.3f at least, %.2f of what %s keeps",
			g.InTime, minimum, expect.MinShareOfLateSeeing, lateSeeingName))
	}
	if minimum := g.Random - expect.MaxBelowRandom; expect.MaxBelowRandom > 0 && g.InTime < minimum {
		g.Missed = append(g.Missed, fmt.Sprintf("in time %.3f, expected %.3f at least, %.2f under %s",
			g.InTime, minimum, expect.MaxBelowRandom, randomName))
	}
	return g
}

// firstFailure describes the first run that did not pass; empty if all did.
func firstFailure(runs []gateRun) string {
	for i := range runs {
		if g := &runs[i]; len(g.Missed) > 0 {
			return g.failure(g.Missed[0])
		}
	}
	return ""
}

func (g *gateRun) failure(missed string) string {
	return fmt.Sprintf("%s, seed %d: %s", g.Scenario, g.Seed, missed)
}

func printGate(w io.Writer, runs []gateRun, failure string) error {
	var rows, out strings.Builder
	rows.WriteString("day\tseed\tin time\tlate-seeing\trandom\tworst 10 s\tconnections a task\tcalls\trules broken\t\n")
	for _, g := range runs {
		fmt.Fprintf(&rows, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t\n",
			g.Scenario, g.Seed, g.InTime, g.LateSeeing, g.Random, g.Worst10s, g.Connections, g.ListCalls, g.Violations)
	}
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i := range runs {
		for _, missed := range runs[i].Missed {
			fmt.Fprintln(&out, runs[i].failure(missed))
		}
	}
	if failure != "" {
		fmt.Fprintf(&out, "gate failed: %s\n", strings.TrimSpace(failure))
	} else {
		fmt.Fprintf(&out, "gate passed: %d runs\n", len(runs))
	}
	return printf(w, "%s", out.String())
}
