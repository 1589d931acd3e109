package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"

	"github.com/spf13/cobra"
)

// compareFlags holds the flags of the compare command.
type compareFlags struct {
	a, b    string
	pairs   int
	asJSON  bool
	virtual bool
	nodes   int
}

// resultPairs are the results of two builds. Results at the same index have the same seed.
type resultPairs struct {
	a, b []*result.Result
}

func newCompareCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "compare SCENARIO",
		Short: "Run two builds with the same seeds and report how they differ",
		Long: `Run two builds with the same seeds and report how they differ.

A build is the path of a node's program, a whole command line, or a built-in reference proxy: ` + "plain:" + strings.Join(emulator.ReferenceProxyKinds, ", plain:") + `.
The order of the two builds alternates from pair to pair.`,
		Example: "  fawnglade-lab compare lab/scenarios/slow.toml --a plain:random --b bin/fawnglade --pairs 5\n" +
			"  fawnglade-lab compare lab/scenarios/calm.toml --a old/fawnglade --b bin/fawnglade --json\n" +
			"  fawnglade-lab compare lab/scenarios/fleet/zone.toml --virtual --a hot-cold --pairs 20 --nodes 50",
		Args: cobra.ExactArgs(1),
	}
	var f compareFlags
	c.Flags().StringVar(&f.a, "a", "", "first build")
	c.Flags().StringVar(&f.b, "b", "", "second build (default the node program in this program's directory, in bin/ or on the path)")
	c.Flags().IntVar(&f.pairs, "pairs", 3, "number of seeds, counting up from the scenario's")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the result as one JSON object")
	c.Flags().BoolVar(&f.virtual, "virtual", false, "run in virtual time; --a and --b then name deciders, as in run --by")
	c.Flags().IntVar(&f.nodes, "nodes", 0, "number of nodes (default the scenario's)")
	if err := c.MarkFlagRequired("a"); err != nil {
		panic(err) // the flag is not defined above: a programming error
	}
	c.RunE = func(c *cobra.Command, args []string) error { return compareBuilds(c, f, args[0]) }
	return c
}

func compareBuilds(c *cobra.Command, f compareFlags, path string) error {
	if f.pairs < 1 || f.pairs > 1000 {
		return fmt.Errorf("--pairs: expected 1 to 1000, got %d", f.pairs)
	}
	s, err := readScenario(path, f.nodes)
	if err != nil {
		return err
	}
	runPairs := f.runOnSockets
	if f.virtual {
		runPairs = f.runVirtual
	}
	results, err := runPairs(c.Context(), s)
	if err != nil {
		return err
	}
	nameB := f.b
	if nameB == "" {
		nameB = moduleName
	}
	comparison, err := result.Compare(s.Name, f.a, nameB, results.a, results.b)
	if err != nil {
		return err
	}
	if f.asJSON {
		err = printJSON(c.OutOrStdout(), comparison)
	} else {
		err = comparison.Print(c.OutOrStdout())
	}
	if err != nil {
		return err
	}
	if comparison.Pairs == 0 {
		return errors.New("no valid pair: the lab lagged in every pair; run again with less load on the machine")
	}
	return nil
}

func (f *compareFlags) runVirtual(ctx context.Context, s *scenario.Scenario) (resultPairs, error) {
	var runs []virtualRun
	for i := range f.pairs {
		seed := s.Seed + uint64(i)
		runs = append(runs, virtualRun{s, seed, f.a}, virtualRun{s, seed, f.b})
	}
	results, err := runAllVirtual(ctx, runs)
	if err != nil {
		return resultPairs{}, err
	}
	var pairs resultPairs
	for i := 0; i < len(results); i += 2 {
		pairs.a = append(pairs.a, results[i])
		pairs.b = append(pairs.b, results[i+1])
	}
	return pairs, nil
}

// runOnSockets runs pair by pair. The order of the builds alternates, so that neither benefits from running second.
func (f *compareFlags) runOnSockets(ctx context.Context, s *scenario.Scenario) (resultPairs, error) {
	commandA, err := parseCommand(f.a)
	if err != nil {
		return resultPairs{}, err
	}
	commandB, err := nodeCommand(f.b)
	if err != nil {
		return resultPairs{}, err
	}
	var pairs resultPairs
	for i := range f.pairs {
		first, second := commandA, commandB
		swapped := i%2 == 1
		if swapped {
			first, second = commandB, commandA
		}
		seed := s.Seed + uint64(i)
		resultA, err := runOnSockets(ctx, runOptions{scenario: s, seed: seed, node: first})
		if err != nil {
			return resultPairs{}, err
		}
		resultB, err := runOnSockets(ctx, runOptions{scenario: s, seed: seed, node: second})
		if err != nil {
			return resultPairs{}, err
		}
		if swapped {
			resultA, resultB = resultB, resultA
		}
		pairs.a = append(pairs.a, resultA)
		pairs.b = append(pairs.b, resultB)
	}
	return pairs, nil
}
