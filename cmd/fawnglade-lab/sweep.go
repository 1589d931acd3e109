package main

import (
	"errors"
	"fmt"
	"os"

	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/sweep"

	"github.com/spf13/cobra"
)

// sweepFlags holds the flags of the sweep command.
type sweepFlags struct {
	out          string
	seed         uint64
	repeats      int
	deciderNames []string
}

func newSweepCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "sweep SCENARIO KEY=a,b,c [KEY=a,b]",
		Short: "Run a scenario over a grid of values of one or two keys, with repeats",
		Long: `Run a scenario over a grid of values of one or two keys, with repeats, in virtual time and on all cores.

KEY is a key of the scenario file, such as load.rate, nodes.count or fault.0.share. The command writes sweep.csv to
--out, with a row for each finished run, and a plot for each figure: for one key, lines with 95% confidence intervals;
for two keys, a heat map of the first decider. An interrupted sweep resumes from sweep.csv.`,
		Example: "  fawnglade-lab sweep lab/scenarios/fleet/calm.toml nodes.count=3,30,300 --by fawnglade,two-choices --repeats 5 --out swept",
		Args:    cobra.RangeArgs(2, 3),
	}
	var f sweepFlags
	c.Flags().StringVar(&f.out, "out", "swept", "directory for the table and the plots")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "first seed")
	c.Flags().IntVar(&f.repeats, "repeats", 3, "number of runs, with different seeds, for each combination of values")
	c.Flags().StringSliceVar(&f.deciderNames, "by", []string{moduleName}, "deciders, separated by commas")
	c.RunE = func(c *cobra.Command, args []string) error { return runSweep(c, f, args[0], args[1:]) }
	return c
}

func runSweep(c *cobra.Command, f sweepFlags, path string, keys []string) error {
	if f.repeats < 1 || f.repeats > 10000 {
		return fmt.Errorf("--repeats: expected 1 to 10,000, got %d", f.repeats)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	axes, err := parseAxes(keys)
	if err != nil {
		return err
	}
	for _, name := range f.deciderNames {
		if _, err := deciderByName(name); err != nil {
			return err
		}
	}
	cells := sweep.Grid(axes, f.deciderNames, f.seed, f.repeats)
	scenarios, err := scenariosOf(cells, path, text, axes)
	if err != nil {
		return err
	}
	table, err := sweep.Open(f.out, axes)
	if err != nil {
		return err
	}
	if err := errors.Join(runCells(c, table, cells, scenarios), table.Close()); err != nil {
		return err
	}
	rows := table.Rows()
	if err := sweep.Plot(f.out, axes, f.deciderNames, rows); err != nil {
		return err
	}
	return sweep.Print(c.OutOrStdout(), axes, rows)
}

func parseAxes(keys []string) ([]sweep.Axis, error) {
	var axes []sweep.Axis
	for _, key := range keys {
		axis, err := sweep.ParseAxis(key)
		if err != nil {
			return nil, err
		}
		axes = append(axes, axis)
	}
	return axes, nil
}

// valuesKey identifies the scenario of a cell. Cells that differ only in decider or seed have the same key.
func valuesKey(c sweep.Cell) string { return fmt.Sprint(c.Values) }

// scenariosOf returns the scenarios of all cells by valuesKey. Invalid values are thus found before any run.
func scenariosOf(cells []sweep.Cell, path string, text []byte, axes []sweep.Axis) (map[string]*scenario.Scenario, error) {
	scenarios := map[string]*scenario.Scenario{}
	for _, cell := range cells {
		key := valuesKey(cell)
		if scenarios[key] != nil {
			continue
		}
		s, err := sweep.Scenario(path, text, axes, cell)
		if err != nil {
			return nil, err
		}
		scenarios[key] = s
	}
	return scenarios, nil
}

// runCells runs the cells that are not in the table yet, and adds their figures.
func runCells(c *cobra.Command, table *sweep.Table, cells []sweep.Cell, scenarios map[string]*scenario.Scenario) error {
	unplayed := table.Remaining(cells)
	fmt.Fprintf(os.Stderr, "%d runs, %d of them finished earlier\n", len(cells), len(cells)-len(unplayed))
	return forEachInParallel(c.Context(), len(unplayed), func(i int) error {
		cell := unplayed[i]
		r, err := runVirtual(c.Context(), virtualRun{scenarios[valuesKey(cell)], cell.Seed, cell.Decider})
		if err != nil {
			return err
		}
		return table.Add(cell, figuresOf(r))
	})
}

// figuresOf returns the figures of a run in the order of sweep.Columns.
func figuresOf(r *result.Result) sweep.Figures {
	connections := 0
	for _, second := range r.Activity {
		connections += second.Connections
	}
	requests := float64(max(r.Requests, 1))
	return sweep.Figures{
		r.FractionInTime, float64(r.Rejected) / requests, r.P50, r.P99, r.WorstWindow(10), r.WorstClass(),
		float64(connections) / requests, float64(r.ViolationCount),
	}
}
