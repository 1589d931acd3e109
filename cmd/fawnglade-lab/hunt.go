package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"fawnglade/internal/lab/faultsearch"
	"fawnglade/internal/lab/scenario"

	"github.com/spf13/cobra"
)

// huntFlags holds the flags of the hunt command.
type huntFlags struct {
	out          string
	seed         uint64
	draws        int
	keep         int
	nodes        int
	deciderName  string
	baselineName string
}

func newHuntCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "hunt SCENARIO",
		Short: "Search for fault timelines on which a decider loses most or breaks a rule",
		Long: `Search for fault timelines on which a decider loses most against a baseline, or breaks a rule.

The search draws random fault timelines for the scenario, mutates the worst ones round by round, reduces the three
worst to the faults that matter, and writes them to --out as scenario files. An interrupted search resumes from its
state in --out. Exit code 1: at least one result breaks a rule.`,
		Example: "  fawnglade-lab hunt lab/scenarios/fleet/calm.toml --nodes 30 --out found",
		Args:    cobra.ExactArgs(1),
	}
	var f huntFlags
	c.Flags().StringVar(&f.out, "out", "found", "directory for the state of the search and its results")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "random seed")
	c.Flags().IntVar(&f.draws, "draws", 64, "number of random timelines in the first round")
	c.Flags().IntVar(&f.keep, "keep", 8, "number of the worst timelines to mutate in each round")
	c.Flags().IntVar(&f.nodes, "nodes", 0, "number of nodes (default the scenario's)")
	c.Flags().StringVar(&f.deciderName, "by", moduleName, "decider to test")
	c.Flags().StringVar(&f.baselineName, "than", lateSeeingName, "decider to compare with")
	c.RunE = func(c *cobra.Command, args []string) error { return hunt(c, f, args[0]) }
	return c
}

func hunt(c *cobra.Command, f huntFlags, path string) error {
	if f.draws < 1 || f.keep < 1 || f.keep > f.draws || f.draws > 100000 {
		return fmt.Errorf("--draws, --keep: expected 1 to 100,000 and --keep at most --draws, got %d and %d", f.draws, f.keep)
	}
	base, err := readScenario(path, f.nodes)
	if err != nil {
		return err
	}
	state, err := faultsearch.Run(c.Context(), faultsearch.Options{
		Base: base, Seed: f.seed, Draws: f.draws, Keep: f.keep, Dir: f.out, ForEach: forEachInParallel, Run: f.runBoth,
		Log: func(line string) { fmt.Fprintln(os.Stderr, line) },
	})
	if err != nil {
		return err
	}
	if err := f.printFinds(c.OutOrStdout(), base.Name, state.Finds); err != nil {
		return err
	}
	if slices.ContainsFunc(state.Finds, func(find faultsearch.Candidate) bool { return find.Violations > 0 }) {
		return errNotPassed
	}
	return nil
}

// runBoth runs the tested decider and the baseline on one scenario and seed.
func (f *huntFlags) runBoth(ctx context.Context, s *scenario.Scenario, seed uint64) (faultsearch.Score, error) {
	judged, err := runVirtual(ctx, virtualRun{s, seed, f.deciderName})
	if err != nil {
		return faultsearch.Score{}, err
	}
	baseline, err := runVirtual(ctx, virtualRun{s, seed, f.baselineName})
	if err != nil {
		return faultsearch.Score{}, err
	}
	return faultsearch.Score{Loss: baseline.FractionInTime - judged.FractionInTime, Violations: judged.ViolationCount}, nil
}

func (f *huntFlags) printFinds(w io.Writer, base string, finds []faultsearch.Candidate) error {
	var out strings.Builder
	for i, find := range finds {
		path := filepath.Join(f.out, faultsearch.FindName(base, i+1)+".toml")
		fmt.Fprintf(&out, "%s: loses %.3f against %s, %d rules broken, seed %d\n", path, find.Loss, f.baselineName, find.Violations, find.Seed)
		for _, fault := range find.Faults {
			fmt.Fprintf(&out, "  %s at %v for %v: share %.2f zone %q factor %.2f hand-offs %.2f wait %v %s%s\n",
				fault.Kind, milliseconds(fault.At), milliseconds(fault.For), fault.Share, fault.Zone, fault.Factor, fault.AttemptShare,
				milliseconds(fault.Wait), fault.Class, fault.Tenant)
		}
	}
	return printf(w, "%s", out.String())
}

func milliseconds(d scenario.Duration) time.Duration { return d.Std().Round(time.Millisecond) }
