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

// huntFlags are those of the hunt command.
type huntFlags struct {
	out      string
	seed     uint64
	draws    int
	keep     int
	nodes    int
	by       string
	baseline string
}

func newHuntCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "hunt SCENARIO",
		Short: "Search for the days on which the decisions lose most, or break a rule",
		Long: `Search for the days on which the decisions lose most against a policy that sees the true state late, or break a rule.

Fault timelines are drawn over the scenario, the worst are changed a little round by round, and the three worst are
cut down to what matters and left in --out as scenario files. A hunt that was ended goes on where it stood.
Exit code 1: a rule was broken on some day.`,
		Example: "  fawnglade-lab hunt lab/scenarios/fleet/calm.toml --nodes 30 --out found",
		Args:    cobra.ExactArgs(1),
	}
	var f huntFlags
	c.Flags().StringVar(&f.out, "out", "found", "directory for the hunt's state and what it finds")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of all that is drawn")
	c.Flags().IntVar(&f.draws, "draws", 64, "random days at the start")
	c.Flags().IntVar(&f.keep, "keep", 8, "of them are changed further")
	c.Flags().IntVar(&f.nodes, "nodes", 0, "number of nodes in place of the scenario's")
	c.Flags().StringVar(&f.by, "by", moduleName, "what is judged")
	c.Flags().StringVar(&f.baseline, "than", lateSeeingName, "what it is judged against")
	c.RunE = func(c *cobra.Command, args []string) error { return hunt(c, f, args[0]) }
	return c
}

func hunt(c *cobra.Command, f huntFlags, path string) error {
	if f.draws < 1 || f.keep < 1 || f.keep > f.draws || f.draws > 100000 {
		return fmt.Errorf("--draws, --keep: expected 1 to 100,000 and no more kept than drawn, got %d and %d", f.draws, f.keep)
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

// play plays both deciders on one scenario and seed.
func (f *huntFlags) runBoth(ctx context.Context, s *scenario.Scenario, seed uint64) (faultsearch.Score, error) {
	judged, err := runVirtual(ctx, virtualRun{s, seed, f.by})
	if err != nil {
		return faultsearch.Score{}, err
	}
	baseline, err := runVirtual(ctx, virtualRun{s, seed, f.baseline})
	if err != nil {
		return faultsearch.Score{}, err
	}
	return faultsearch.Score{Loss: baseline.FractionInTime - judged.FractionInTime, Violations: judged.ViolationCount}, nil
}

func (f *huntFlags) printFinds(w io.Writer, base string, finds []faultsearch.Candidate) error {
	var out strings.Builder
	for i, find := range finds {
		path := filepath.Join(f.out, faultsearch.FindName(base, i+1)+".toml")
		fmt.Fprintf(&out, "%s: loses %.3f against %s, %d rules broken, seed %d\n", path, find.Loss, f.baseline, find.Violations, find.Seed)
		for _, fault := range find.Faults {
			fmt.Fprintf(&out, "  %s at %v for %v: share %.2f zone %q factor %.2f hand-offs %.2f wait %v %s%s\n",
				fault.Kind, milliseconds(fault.At), milliseconds(fault.For), fault.Share, fault.Zone, fault.Factor, fault.AttemptShare,
				milliseconds(fault.Wait), fault.Class, fault.Tenant)
		}
	}
	return printf(w, "%s", out.String())
}

func milliseconds(d scenario.Duration) time.Duration { return d.Std().Round(time.Millisecond) }
