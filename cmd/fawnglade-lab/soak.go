package main

import (
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/soak"
)

// maxSoakSeeds bounds one run of the soak command: some six seconds each.
const maxSoakSeeds = 1000

// soakFlags are those of the soak command.
type soakFlags struct {
	seeds     int
	firstSeed uint64
	node      string
	out       string
}

func newSoakCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "soak",
		Short: "Play drawn days around stops and signals, and judge each by the rules",
		Long: `Play drawn days around stops and signals, and judge each by the rules.

Each seed draws endpoints, healthy or not, classes, stops amid other signals, and in some a crowd of clients that keep
their connections. No rule may be broken and no node may end by itself; with healthy endpoints that have capacity to
spare every request has to be answered. A seed that does not hold prints its command and keeps its logs under --out.`,
		Example: "  fawnglade-lab soak --seeds 8\n  fawnglade-lab soak --seeds 50 --from 100",
		Args:    cobra.NoArgs,
	}
	var f soakFlags
	c.Flags().IntVar(&f.seeds, "seeds", 8, "how many seeds to play, one after another")
	c.Flags().Uint64Var(&f.firstSeed, "from", 1, "the first seed")
	c.Flags().StringVar(&f.node, "node", "", "the node's program; by default the one beside this program")
	c.Flags().StringVar(&f.out, "out", "out", "directory for the nodes' logs")
	c.RunE = func(c *cobra.Command, _ []string) error { return f.run(c) }
	return c
}

// run plays the seeds; those on which the machine ran late say nothing and are counted apart.
func (f *soakFlags) run(c *cobra.Command) error {
	if f.seeds < 1 || f.seeds > maxSoakSeeds {
		return fmt.Errorf("--seeds: expected 1 to %d, got %d", maxSoakSeeds, f.seeds)
	}
	command, err := nodeCommand(f.node)
	if err != nil {
		return err
	}
	held, failed, void, requests := 0, 0, 0, 0
	for i := range uint64(f.seeds) {
		seed := f.firstSeed + i
		drawn, err := soak.DrawCase(seed)
		if err != nil {
			return err
		}
		r, err := runOnSockets(c.Context(), runOptions{
			scenario: drawn.Scenario, seed: seed, node: command, out: filepath.Join(f.out, drawn.Scenario.Name),
		})
		if err != nil {
			return err
		}
		if r.Verdict == result.Void {
			void++
			continue
		}
		requests += r.Requests
		problems := drawn.Problems(r)
		if len(problems) == 0 {
			held++
			continue
		}
		failed++
		if err := printf(c.OutOrStdout(), "seed %d: %q; again: fawnglade-lab soak --seeds 1 --from %d\n", seed, problems, seed); err != nil {
			return err
		}
	}
	if err := printf(c.OutOrStdout(), "soak: %d seeds held, %d did not, %d say nothing as the machine ran late; %d requests\n",
		held, failed, void, requests); err != nil {
		return err
	}
	if failed > 0 {
		return errNotPassed
	}
	return nil
}
