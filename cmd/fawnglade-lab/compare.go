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

// compareFlags are those of the compare command.
type compareFlags struct {
	a, b    string
	pairs   int
	asJSON  bool
	virtual bool
	nodes   int
}

// resultPairs are the results of two builds; those at one index are of one seed.
type resultPairs struct {
	a, b []*result.Result
}

func newCompareCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "compare SCENARIO",
		Short: "Play two builds on the same seeds in turn and tell how they differ",
		Long: `Play two builds on the same seeds in turn and tell how they differ.

A build is a command or the path of a node's program, or a built-in plain proxy: ` + "plain:" + strings.Join(emulator.ReferenceProxyKinds, ", plain:") + `.
Which of the two goes first changes with each pair.`,
		Example: "  fawnglade-lab compare lab/scenarios/slow.toml --a plain:random --b bin/fawnglade --pairs 5\n" +
			"  fawnglade-lab compare lab/scenarios/calm.toml --a old/fawnglade --b bin/fawnglade --json\n" +
			"  fawnglade-lab compare lab/scenarios/fleet/zone.toml --virtual --a hot-cold --pairs 20 --nodes 50",
		Args: cobra.ExactArgs(1),
	}
	var f compareFlags
	c.Flags().StringVar(&f.a, "a", "", "the one build")
	c.Flags().StringVar(&f.b, "b", "", "the other; by default the node beside this program")
	c.Flags().IntVar(&f.pairs, "pairs", 3, "how many seeds, beginning with the scenario's")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print one JSON object")
	c.Flags().BoolVar(&f.virtual, "virtual", false, "in virtual time; --a and --b then name what decides, as for run --by")
	c.Flags().IntVar(&f.nodes, "nodes", 0, "number of nodes in place of the scenario's")
	if err := c.MarkFlagRequired("a"); err != nil {
		panic(err) // there is no such flag: a mistake above
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
		return errors.New("the machine ran late in every pair: nothing can be said")
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

// runOnSockets plays pair by pair; which build goes first changes with each, so that neither has a warmer machine.
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
