package main

import (
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/soak"
)

// maxSoakSeeds bounds one run of the soak command. Each seed takes about six seconds.
const maxSoakSeeds = 1000

// soakFlags holds the flags of the soak command.
type soakFlags struct {
	seeds     int
	firstSeed uint64
	node      string
	out       string
}

func newSoakCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run random scenarios with stops and signals, and check the invariants",
		Long: `Run random scenarios with stops and signals, and check the invariants.

Each seed draws healthy or faulty endpoints, classes, stops of nodes among other signals and, for some seeds, a crowd of
clients that keep their connections open. No rule may be broken and no node may end by itself; with healthy endpoints
that have spare capacity, every request must succeed. For a seed that fails, the command that repeats it is printed.
The logs of the nodes are kept under --out.`,
		Example: "  fawnglade-lab soak --seeds 8\n  fawnglade-lab soak --seeds 50 --from 100",
		Args:    cobra.NoArgs,
	}
	var f soakFlags
	c.Flags().IntVar(&f.seeds, "seeds", 8, "number of seeds to run, one after another")
	c.Flags().Uint64Var(&f.firstSeed, "from", 1, "first seed")
	c.Flags().StringVar(&f.node, "node", "", "node program (default the one in this program's directory, in bin/ or on the path)")
	c.Flags().StringVar(&f.out, "out", "out", "directory for the nodes' logs")
	c.RunE = func(c *cobra.Command, _ []string) error { return f.run(c) }
	return c
}

// run runs the seeds. Seeds whose run is void, because the lab lagged, are counted separately.
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
		if err := printf(c.OutOrStdout(), "seed %d failed: %q; repeat with: fawnglade-lab soak --seeds 1 --from %d\n", seed, problems, seed); err != nil {
			return err
		}
	}
	if err := printf(c.OutOrStdout(), "soak: %d seeds passed, %d failed, %d void because the lab lagged; %d requests\n",
		held, failed, void, requests); err != nil {
		return err
	}
	if failed > 0 {
		return errNotPassed
	}
	return nil
}
