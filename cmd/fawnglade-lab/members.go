package main

// This file owns the measuring of who is there, over sizes and losses. It must never mix processes' figures with virtual time's.

import (
	"encoding/json"
	"errors"
	"fawnglade/internal/lab/fleet"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

func readFigures(paths []string) (all []*fleet.Figures, err error) {
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var some []*fleet.Figures
		if err := json.Unmarshal(text, &some); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, some...)
	}
	return all, nil
}

func measureMembers() *cobra.Command {
	c := &cobra.Command{
		Use:   "members",
		Short: "Measure how nodes find out which of them are there",
		Long: `Measure how nodes find out which of them are there: seconds until all know of a death, doubts against well nodes, messages.

In virtual time the members' core alone plays, the same figures with the same seed; with --processes real ones do, over relays.`,
		Example: "  fawnglade-lab members --nodes 12,40,300 --loss 0,0.1,0.3\n" +
			"  fawnglade-lab members --nodes 12 --loss 0.3 --processes --watch 30s",
		Args: cobra.NoArgs,
	}
	nodes := c.Flags().IntSlice("nodes", []int{12, 40, 300}, "sizes of the fleet")
	losses := c.Flags().Float64Slice("loss", []float64{0, 0.1, 0.3}, "parts of the messages that are lost")
	burst := c.Flags().Int("burst", 1, "so many messages of a way in a row meet the same fate")
	watch := c.Flags().Duration("watch", time.Minute, "how long well nodes are watched")
	deaths := c.Flags().Int("deaths", 5, "nodes killed one after another")
	round := c.Flags().Duration("round", 500*time.Millisecond, "of the members")
	seed := c.Flags().Uint64("seed", 1, "of all that is drawn, in virtual time")
	real := c.Flags().Bool("processes", false, "with processes on loopback, 64 at most")
	node := c.Flags().String("node", "", "the node's command; by default the program beside this one")
	asJSON := c.Flags().Bool("json", false, "print a list of JSON objects")
	picture := c.Flags().String("plot", "", "leave a picture, as PNG or SVG; with --from of figures that were kept")
	from := c.Flags().StringSlice("from", nil, "measure nothing: files of --json, in virtual time")
	fromReal := c.Flags().StringSlice("from-processes", nil, "and with processes")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if len(*from)+len(*fromReal) > 0 {
			virtual, err := readFigures(*from)
			measured, err2 := readFigures(*fromReal)
			if err = errors.Join(err, err2); err == nil && *picture == "" {
				err = errors.New("--from: expected --plot beside it")
			}
			if err != nil {
				return err
			}
			return fleet.Plot(*picture, virtual, measured)
		}
		for _, n := range *nodes {
			if n < 3 || n > 4096 || *real && n > 64 {
				return fmt.Errorf("--nodes: expected 3 to 4,096, 64 at most with --processes, got %d", n)
			}
		}
		for _, l := range *losses {
			if l < 0 || l >= 0.9 {
				return fmt.Errorf("--loss: expected a part from 0 to under 0.9, got %g", l)
			}
		}
		if *watch < time.Second || *deaths < 1 || *round < 50*time.Millisecond || *burst < 1 {
			return errors.New("--watch, --deaths, --round, --burst: expected 1s, 1, 50ms and 1 at least")
		}
		words, err := nodeCommand(*node)
		if *real && err != nil {
			return err
		}
		var all []*fleet.Figures
		if !*asJSON {
			fmt.Fprintf(c.OutOrStdout(), "%6s %5s %10s %10s %12s %12s %10s %8s %10s %10s\n", "nodes", "loss", "death s", "worst s", "doubts/h", "silences/h", "sent/s", "most/s", "bytes/s", "watched s")
		}
		for _, n := range *nodes {
			for _, loss := range *losses {
				var f *fleet.Figures
				if *real {
					p, err := fleet.NewProcesses(words, n, *round, nil)
					if err != nil {
						return err
					}
					f, err = fleet.Measure(p, loss, *burst, *watch, *deaths, 400)
					if err = errors.Join(err, p.Close()); err != nil {
						return err
					}
				} else {
					v := fleet.NewVirtual(n, *seed)
					v.Round = int64(*round)
					var err error
					if f, err = fleet.Measure(v, loss, *burst, *watch, *deaths, 400); err != nil {
						return err
					}
				}
				all = append(all, f)
				if !*asJSON {
					known := slices.Sorted(slices.Values(f.DeathKnownS))
					fmt.Fprintf(c.OutOrStdout(), "%6d %5.2f %10.1f %10.1f %12.0f %12.1f %10.1f %8.1f %10.0f %10.0f\n", n, loss, known[len(known)/2], known[len(known)-1], f.SuspicionsPerHour, f.FailuresPerHour, f.SentPerS, f.MaxSentPerS, f.BytesPerS, f.WatchedS)
				}
			}
		}
		if *picture != "" {
			virtual, measured := all, []*fleet.Figures(nil)
			if *real {
				virtual, measured = nil, all
			}
			if err := fleet.Plot(*picture, virtual, measured); err != nil {
				return err
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), all)
		}
		return nil
	}
	return c
}
