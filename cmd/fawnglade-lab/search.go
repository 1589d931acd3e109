package main

// This file owns the commands that play many days in virtual time: the hunt for the worst and the sweep over a grid.

import (
	"context"
	"fawnglade/internal/lab/faultsearch"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/sweep"
	"fmt"
	"os"
	"path/filepath"
	"runtime"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// each runs many at once and stops at the first error.
func each(ctx context.Context, n int, do func(i int) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range n {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return do(i)
		})
	}
	return g.Wait()
}

func huntDays() *cobra.Command {
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
	out := c.Flags().String("out", "found", "directory for the hunt's state and what it finds")
	seed := c.Flags().Uint64("seed", 1, "seed of all that is drawn")
	draws := c.Flags().Int("draws", 64, "random days at the start")
	keep := c.Flags().Int("keep", 8, "of them are changed further")
	nodes := c.Flags().Int("nodes", 0, "number of nodes in place of the scenario's")
	by := c.Flags().String("by", moduleName, "what is judged")
	than := c.Flags().String("than", seeingName, "what it is judged against")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *draws < 1 || *keep < 1 || *keep > *draws || *draws > 100000 {
			return fmt.Errorf("--draws, --keep: expected 1 to 100,000 and no more kept than drawn, got %d and %d", *draws, *keep)
		}
		base, err := scenario.Read(args[0])
		if err != nil {
			return err
		}
		if *nodes != 0 {
			if err := base.WithNodes(*nodes); err != nil {
				return err
			}
		}
		state, err := faultsearch.Run(c.Context(), faultsearch.Options{
			Base: base, Seed: *seed, Draws: *draws, Keep: *keep, Dir: *out, Each: each,
			Notice: func(text string) { fmt.Fprintln(os.Stderr, text) },
			Play: func(ctx context.Context, s *scenario.Scenario, seed uint64) (float64, int, error) {
				own, err := virtual(ctx, s, seed, *by)
				if err != nil {
					return 0, 0, err
				}
				other, err := virtual(ctx, s, seed, *than)
				if err != nil {
					return 0, 0, err
				}
				return other.WeightShare - own.WeightShare, own.ViolationCount, nil
			},
		})
		if err != nil {
			return err
		}
		broken := false
		for i, d := range state.Shrunk {
			fmt.Fprintf(c.OutOrStdout(), "%s: loses %.3f against %s, %d rules broken, seed %d\n",
				filepath.Join(*out, fmt.Sprintf("%s-found-%d.toml", base.Name, i+1)), d.Loss, *than, d.Broken, d.Seed)
			for _, f := range d.Faults {
				fmt.Fprintf(c.OutOrStdout(), "  %s at %v for %v: share %.2f zone %q factor %.2f hand-offs %.2f wait %v %s%s\n",
					f.Kind, f.At.Std().Round(1e6), f.For.Std().Round(1e6), f.Share, f.Zone, f.Factor, f.AttemptShare, f.Wait.Std().Round(1e6), f.Class, f.Tenant)
			}
			broken = broken || d.Broken > 0
		}
		if broken {
			return fell
		}
		return nil
	}
	return c
}

func sweepGrid() *cobra.Command {
	c := &cobra.Command{
		Use:   "sweep SCENARIO KEY=a,b,c [KEY=a,b]",
		Short: "Play a grid over one or two figures of a scenario, with repeats",
		Long: `Play a grid over one or two figures of a scenario, with repeats, in virtual time and on all cores.

KEY is a key of the file, such as load.rate, nodes.count or fault.0.share. --out holds sweep.csv, a row for each day as
it ends, and a plot for each figure: lines with their 95% intervals for one key, a heat map of the first decider for
two. A sweep that was ended goes on where it stood.`,
		Example: "  fawnglade-lab sweep lab/scenarios/fleet/calm.toml nodes.count=3,30,300 --by fawnglade,two-choices --repeats 5 --out swept",
		Args:    cobra.RangeArgs(2, 3),
	}
	out := c.Flags().String("out", "swept", "directory for the table and the plots")
	seed := c.Flags().Uint64("seed", 1, "first seed")
	repeats := c.Flags().Int("repeats", 3, "days of each cell")
	by := c.Flags().StringSlice("by", []string{moduleName}, "what decides, several with commas")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *repeats < 1 || *repeats > 10000 {
			return fmt.Errorf("--repeats: expected 1 to 10,000, got %d", *repeats)
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		var axes []sweep.Axis
		for _, arg := range args[1:] {
			a, err := sweep.ParseAxis(arg)
			if err != nil {
				return err
			}
			axes = append(axes, a)
		}
		for _, name := range *by {
			if _, err := makerOf(name); err != nil {
				return err
			}
		}
		cells := sweep.Grid(axes, *by, *seed, *repeats)
		days := map[string]*scenario.Scenario{}
		for _, cell := range cells { // all are read before any is played
			key := fmt.Sprint(cell.Values)
			if days[key] == nil {
				if days[key], err = sweep.Scenario(args[0], text, axes, cell); err != nil {
					return err
				}
			}
		}
		table, err := sweep.Open(*out, axes)
		if err != nil {
			return err
		}
		defer table.Close()
		left := table.Left(cells)
		fmt.Fprintf(os.Stderr, "%d days, %d of them played before\n", len(cells), len(cells)-len(left))
		err = each(c.Context(), len(left), func(i int) error {
			r, err := virtual(c.Context(), days[fmt.Sprint(left[i].Values)], left[i].Seed, left[i].By)
			if err != nil {
				return err
			}
			return table.Add(left[i], figuresOf(r))
		})
		if err != nil {
			return err
		}
		if err := sweep.Plot(*out, axes, *by, table.Rows); err != nil {
			return err
		}
		sweep.Print(c.OutOrStdout(), axes, table.Rows)
		return nil
	}
	return c
}

// figuresOf are a day's in the order of sweep.Columns.
func figuresOf(r *result.Result) sweep.Figures {
	connections := 0
	for _, t := range r.Activity {
		connections += t.Connections
	}
	tasks := float64(max(r.Operations, 1))
	return sweep.Figures{r.WeightShare, float64(r.Rejected) / tasks, r.P50Ms, r.P99Ms, r.Worst(10), r.WorstClass(), float64(connections) / tasks, float64(r.ViolationCount)}
}
