package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"fawnglade/internal/lab/fleet"

	"github.com/spf13/cobra"
)

const (
	minMembers         = 3
	maxMembers         = 4096
	maxMemberProcesses = 64
	maxMemberLoss      = 0.9
	measureMaxRounds   = 400 // protocol periods after which it is an error if not all nodes know of a death
	minMembersRound    = 50 * time.Millisecond
	minMembersWatched  = time.Second
)

// membersFlags holds the flags of the members command.
type membersFlags struct {
	nodes         []int
	losses        []float64
	burst         int
	watch         time.Duration
	deaths        int
	round         time.Duration
	seed          uint64
	processes     bool
	node          string
	asJSON        bool
	plot          string
	from          []string
	fromProcesses []string
}

func newMembersCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "members",
		Short: "Measure membership: failure detection time, false suspicions, message rate",
		Long: `Measure membership: seconds until all nodes know of a death, suspicions against healthy nodes, message rate.

By default only the membership protocol runs, in virtual time, with the same figures for the same seed. With --processes
real nodes run, and their datagrams pass through proxies of the lab.`,
		Example: "  fawnglade-lab members --nodes 12,40,300 --loss 0,0.1,0.3\n" +
			"  fawnglade-lab members --nodes 12 --loss 0.3 --processes --watch 30s",
		Args: cobra.NoArgs,
	}
	var f membersFlags
	c.Flags().IntSliceVar(&f.nodes, "nodes", []int{12, 40, 300}, "numbers of nodes to measure")
	c.Flags().Float64SliceVar(&f.losses, "loss", []float64{0, 0.1, 0.3}, "fractions of messages lost to measure, 0 to under 0.9")
	c.Flags().IntVar(&f.burst, "burst", 1, "number of consecutive messages on a link that are lost or delivered together")
	c.Flags().DurationVar(&f.watch, "watch", time.Minute, "duration of the measurement without failures")
	c.Flags().IntVar(&f.deaths, "deaths", 5, "number of nodes to kill, one after another")
	c.Flags().DurationVar(&f.round, "round", 500*time.Millisecond, "protocol period")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "random seed, in virtual time")
	c.Flags().BoolVar(&f.processes, "processes", false, "run real processes on loopback, 64 at most")
	c.Flags().StringVar(&f.node, "node", "", "node command (default the program in this program's directory, in bin/ or on the path)")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the results as a JSON list")
	c.Flags().StringVar(&f.plot, "plot", "", "write a plot to this PNG or SVG file; with --from, of stored figures")
	c.Flags().StringSliceVar(&f.from, "from", nil, "plot stored figures instead of measuring: output files of --json in virtual time")
	c.Flags().StringSliceVar(&f.fromProcesses, "from-processes", nil, "plot stored figures: output files of --json with --processes")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if len(f.from)+len(f.fromProcesses) > 0 {
			return f.plotStored()
		}
		return measureMembers(c, f)
	}
	return c
}

// plotStored plots stored figures.
func (f *membersFlags) plotStored() error {
	virtual, err := readFigures(f.from)
	processes, errProcesses := readFigures(f.fromProcesses)
	if err := errors.Join(err, errProcesses); err != nil {
		return err
	}
	if f.plot == "" {
		return errors.New("--from: expected --plot too, got none")
	}
	return fleet.Plot(f.plot, virtual, processes)
}

func readFigures(paths []string) ([]*fleet.Figures, error) {
	var all []*fleet.Figures
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var figures []*fleet.Figures
		if err := json.Unmarshal(text, &figures); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, figures...)
	}
	return all, nil
}

func (f *membersFlags) check() error {
	for _, n := range f.nodes {
		if n < minMembers || n > maxMembers || f.processes && n > maxMemberProcesses {
			return fmt.Errorf("--nodes: expected 3 to 4,096, 64 at most with --processes, got %d", n)
		}
	}
	for _, loss := range f.losses {
		if loss < 0 || loss >= maxMemberLoss {
			return fmt.Errorf("--loss: expected a fraction from 0 to under 0.9, got %g", loss)
		}
	}
	if f.watch < minMembersWatched || f.deaths < 1 || f.round < minMembersRound || f.burst < 1 {
		return errors.New("--watch, --deaths, --round, --burst: expected 1s, 1, 50ms and 1 at least")
	}
	return nil
}

func measureMembers(c *cobra.Command, f membersFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	command, err := nodeCommand(f.node)
	if f.processes && err != nil {
		return err
	}
	if !f.asJSON {
		err := printf(c.OutOrStdout(), "%6s %5s %10s %10s %12s %12s %10s %8s %10s %10s\n",
			"nodes", "loss", "death s", "worst s", "doubts/h", "silences/h", "sent/s", "most/s", "bytes/s", "watched s")
		if err != nil {
			return err
		}
	}
	all, err := f.measureAll(c, command)
	if err != nil {
		return err
	}
	if f.plot != "" {
		var virtual, processes []*fleet.Figures
		if f.processes {
			processes = all
		} else {
			virtual = all
		}
		if err := fleet.Plot(f.plot, virtual, processes); err != nil {
			return err
		}
	}
	if f.asJSON {
		return printJSON(c.OutOrStdout(), all)
	}
	return nil
}

// measureAll measures every fleet size with every loss, and prints a line after each.
func (f *membersFlags) measureAll(c *cobra.Command, command []string) ([]*fleet.Figures, error) {
	var all []*fleet.Figures
	for _, nodes := range f.nodes {
		for _, loss := range f.losses {
			figures, err := f.measure(command, nodes, loss)
			if err != nil {
				return nil, err
			}
			all = append(all, figures)
			if f.asJSON {
				continue
			}
			if err := printf(c.OutOrStdout(), "%s\n", membersLine(nodes, loss, figures)); err != nil {
				return nil, err
			}
		}
	}
	return all, nil
}

func (f *membersFlags) measure(command []string, nodes int, loss float64) (*fleet.Figures, error) {
	if !f.processes {
		virtual := fleet.NewVirtual(nodes, f.seed)
		virtual.ProtocolPeriodNs = int64(f.round)
		return fleet.Measure(virtual, loss, f.burst, f.watch, f.deaths, measureMaxRounds)
	}
	processes, err := fleet.NewProcesses(command, nodes, f.round, nil)
	if err != nil {
		return nil, err
	}
	figures, err := fleet.Measure(processes, loss, f.burst, f.watch, f.deaths, measureMaxRounds)
	return figures, errors.Join(err, processes.Close())
}

func membersLine(nodes int, loss float64, f *fleet.Figures) string {
	known := slices.Sorted(slices.Values(f.DeathKnownS))
	median, worst := known[len(known)/2], known[len(known)-1]
	return fmt.Sprintf("%6d %5.2f %10.1f %10.1f %12.0f %12.1f %10.1f %8.1f %10.0f %10.0f",
		nodes, loss, median, worst, f.SuspicionsPerHour, f.FailuresPerHour, f.SentPerS, f.MaxSentPerS, f.BytesPerS, f.WatchedS)
}
