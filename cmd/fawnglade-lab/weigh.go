package main

// This file owns the commands that compare, show and measure the rig itself.

import (
	"cmp"
	"errors"
	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

func compare() *cobra.Command {
	c := &cobra.Command{
		Use:   "compare SCENARIO",
		Short: "Play two builds on the same seeds in turn and tell how they differ",
		Long: `Play two builds on the same seeds in turn and tell how they differ.

A build is a command or the path of a node's program, or a built-in plain proxy: ` + "plain:" + strings.Join(emulator.PlainKinds, ", plain:") + `.
Which of the two goes first changes with each pair.`,
		Example: "  fawnglade-lab compare lab/scenarios/slow.toml --a plain:random --b bin/fawnglade --pairs 5\n" +
			"  fawnglade-lab compare lab/scenarios/calm.toml --a old/fawnglade --b bin/fawnglade --json\n" +
			"  fawnglade-lab compare lab/scenarios/fleet/zone.toml --virtual --a hot-cold --pairs 20 --nodes 50",
		Args: cobra.ExactArgs(1),
	}
	a := c.Flags().String("a", "", "the one build")
	b := c.Flags().String("b", "", "the other; by default the node beside this program")
	pairs := c.Flags().Int("pairs", 3, "how many seeds, beginning with the scenario's")
	asJSON := c.Flags().Bool("json", false, "print one JSON object")
	inVirtual := c.Flags().Bool("virtual", false, "in virtual time; --a and --b then name what decides, as for run --by")
	nodes := c.Flags().Int("nodes", 0, "number of nodes in place of the scenario's")
	c.MarkFlagRequired("a")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *pairs < 1 || *pairs > 1000 {
			return fmt.Errorf("--pairs: expected 1 to 1000, got %d", *pairs)
		}
		s, err := scenario.Read(args[0])
		if err != nil {
			return err
		}
		if *nodes != 0 {
			if err := s.WithNodes(*nodes); err != nil {
				return err
			}
		}
		var as, bs []*result.Result
		if *inVirtual {
			if as, bs, err = virtualPairs(c.Context(), s, *pairs, *a, *b); err != nil {
				return err
			}
		}
		var wordsA, wordsB []string
		if !*inVirtual {
			if wordsA, err = commandOf(*a); err != nil {
				return err
			}
			if wordsB, err = nodeCommand(*b); err != nil {
				return err
			}
		}
		for i := 0; i < *pairs && !*inVirtual; i++ {
			seed := s.Seed + uint64(i)
			first, second := wordsA, wordsB
			if i%2 == 1 {
				first, second = wordsB, wordsA
			}
			x, err := once(c.Context(), s, seed, first, "", false)
			if err != nil {
				return err
			}
			y, err := once(c.Context(), s, seed, second, "", false)
			if err != nil {
				return err
			}
			if i%2 == 1 {
				x, y = y, x
			}
			as, bs = append(as, x), append(bs, y)
		}
		nameB := *b
		if nameB == "" {
			nameB = moduleName
		}
		found, err := result.Paired(s.Name, *a, nameB, as, bs)
		if err != nil {
			return err
		}
		if *asJSON {
			if err := printJSON(c.OutOrStdout(), found); err != nil {
				return err
			}
		} else {
			found.Print(c.OutOrStdout())
		}
		if found.Pairs == 0 {
			return errors.New("the machine ran late in every pair: nothing can be said")
		}
		return nil
	}
	return c
}

func report() *cobra.Command {
	c := &cobra.Command{
		Use:   "report DIR...",
		Short: "Make one page with plots of a run that was kept with --out, or of several side by side",
		Long: `Make one page with plots of a run that was kept with --out: DIR/report.html.

With several directories the page shows them side by side, each under its path, by second: earnings, answer times, how unevenly
the servers were loaded, and, of runs in virtual time, connections, resends and second copies of all nodes.`,
		Example: "  fawnglade-lab run lab/scenarios/slow.toml --out out\n" +
			"  fawnglade-lab report out/slow\n" +
			"  fawnglade-lab report out/slow older/slow --page beside.html",
		Args: cobra.RangeArgs(1, 7),
	}
	path := c.Flags().String("page", "", "where the page goes (default report.html in the directory, beside.html here if there are several)")
	c.RunE = func(c *cobra.Command, args []string) error {
		var results []*result.Result
		for _, dir := range args {
			r, err := result.Load(dir)
			if err != nil {
				return err
			}
			if results = append(results, r); r.Scenario != results[0].Scenario {
				return fmt.Errorf("%s: a run of %s, expected one of %s as in %s", dir, r.Scenario, results[0].Scenario, args[0])
			}
		}
		to := cmp.Or(*path, "beside.html")
		if len(args) == 1 {
			to = cmp.Or(*path, filepath.Join(args[0], "report.html"))
		}
		f, err := os.Create(to)
		if err != nil {
			return err
		}
		draw := results[0].WritePage
		if len(args) > 1 {
			draw = func(w io.Writer) error { return result.WriteComparisonPage(w, args, results) }
		}
		if err := errors.Join(draw(f), f.Close()); err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), to)
		return nil
	}
	return c
}

// step is one rate at which the rig was tried without a node.
type step struct {
	Rate   float64 `json:"rate"`
	Tasks  int     `json:"tasks"`
	Whole  int     `json:"satisfied"`
	LateMs float64 `json:"late_ms"` // 95% of the time no later than this
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	Most   float64 `json:"most_ms"`
	CPU    float64 `json:"cpu_us_a_task"`
	Held   bool    `json:"held"`
}

// capacity measures the rig alone: clients and servers with nothing between them.
func capacity() *cobra.Command {
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how many tasks a second the rig itself carries, without a node",
		Long: `Measure how many tasks a second the rig itself carries, without a node.

Clients ask the stand-in servers themselves, at rates that grow by half until the rig is late by more than 5 ms in a
twentieth of the time, or a task goes unanswered.`,
		Example: "  fawnglade-lab capacity\n  fawnglade-lab capacity --cores 2 --seconds 3 --json",
		Args:    cobra.NoArgs,
	}
	cores := c.Flags().Int("cores", 1, "cores that the rig may use")
	from := c.Flags().Float64("from", 8000, "tasks a second to begin with")
	most := c.Flags().Float64("most", 100000, "tasks a second to end with")
	seconds := c.Flags().Int("seconds", 3, "how long each rate is held")
	asJSON := c.Flags().Bool("json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *cores < 1 || *from < 1 || *most > 100000 || *seconds < 1 || *seconds > 60 {
			return errors.New("expected --cores and --from of at least 1, --most up to 100000, --seconds from 1 to 60")
		}
		runtime.GOMAXPROCS(*cores)
		var steps []step
		for rate := *from; rate <= *most; rate *= 1.5 {
			s, err := scenario.Parse("capacity", fmt.Appendf(nil, capacityText, *seconds, rate))
			if err != nil {
				return err
			}
			before := ownCPU()
			record, err := emulator.Run(c.Context(), emulator.Options{Scenario: s, Seed: 1, Direct: true})
			if err != nil {
				return err
			}
			used := ownCPU() - before
			r := result.Of(s, record)
			one := step{
				Rate: rate, Tasks: r.Operations, Whole: r.Succeeded, LateMs: r.LagMs, P50: r.P50Ms, P99: r.P99Ms, Most: r.MaxMs,
				CPU: used.Seconds() * 1e6 / float64(max(r.Operations, 1)), Held: r.Succeeded == r.Operations && r.LagMs <= 5,
			}
			steps = append(steps, one)
			if !*asJSON {
				fmt.Fprintf(c.OutOrStdout(), "%8.0f a second: %d of %d satisfied, late %.2f ms, p50 %.2f ms, p99 %.2f ms, %.1f us of CPU a task\n",
					one.Rate, one.Whole, one.Tasks, one.LateMs, one.P50, one.P99, one.CPU)
			}
			if !one.Held {
				break
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), map[string]any{"cores": *cores, "steps": steps})
		}
		return nil
	}
	return c
}

const capacityText = `
name = "capacity"
length = "%ds"
[network]
same = "0s"
client = "0s"
[[fleet]]
name = "s"
count = 1
cores = 64
places = 4096
speed = 100
[reports]
fields = []
[load]
rate = %f
[clients]
connections = 64
retries = 0
[[category]]
name = "view"
soft_limit = "200ms"
hard_limit = "2s"
work = "10us"
`

func ownCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costRow is one proxy with one number of servers at one rate.
type costRow struct {
	Through   string  `json:"through"`
	Servers   int     `json:"servers"`
	Rate      float64 `json:"rate"`
	Tasks     int     `json:"tasks"`
	Satisfied int     `json:"satisfied"`
	Declined  int     `json:"declined"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	CPU       float64 `json:"cpu_us_a_task"`
	MB        float64 `json:"memory_mb"`
	Void      bool    `json:"void"`
}

// cost measures what a task costs a node's own process, by the number of servers.
func cost() *cobra.Command {
	c := &cobra.Command{
		Use:   "cost",
		Short: "Measure what a task costs a node, beside a relay that reads nothing",
		Long: `Measure what a task costs a node, beside a relay that reads nothing.

Tasks with a body of 200 bytes come over 32 connections to idle servers that do hardly any work. What is told is the
CPU of the node's process alone, over the tasks, with what its start took.`,
		Example: "  fawnglade-lab cost\n  fawnglade-lab cost --servers 64,4096 --rates 4000,16000 --through bin/fawnglade,plain:relay",
		Args:    cobra.NoArgs,
	}
	servers := c.Flags().IntSlice("servers", []int{8, 64, 512, 4096}, "numbers of servers")
	rates := c.Flags().Float64Slice("rates", []float64{5000}, "tasks a second")
	through := c.Flags().StringSlice("through", []string{"", "plain:relay"}, "nodes' commands or plain:KIND; empty: the node beside this program")
	seconds := c.Flags().Int("seconds", 4, "how long each is measured")
	cores := c.Flags().Float64("cores", 1, "cores that the node is told it may use; 0: no bound")
	asJSON := c.Flags().Bool("json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *seconds < 1 || *seconds > 60 {
			return errors.New("--seconds: expected 1 to 60")
		}
		var rows []costRow
		for _, n := range *servers {
			for _, rate := range *rates {
				for _, command := range *through {
					words, err := nodeCommand(command)
					if err != nil {
						return err
					}
					s, err := scenario.Parse("cost", fmt.Appendf(nil, costText, *seconds, *cores, n, rate))
					if err != nil {
						return err
					}
					r, err := once(c.Context(), s, 1, words, "", false)
					if err != nil {
						return err
					}
					row := costRow{
						command, n, rate, r.Operations, r.Succeeded, r.Rejected, r.P50Ms, r.P99Ms,
						r.Nodes[0].CPUSeconds * 1e6 / float64(max(r.Operations, 1)), r.Nodes[0].MaxMemoryMB, r.Verdict == result.Void,
					}
					if row.Through == "" {
						row.Through = "fawnglade"
					}
					rows = append(rows, row)
					if !*asJSON {
						late := ""
						if row.Void {
							late = ", the machine ran late"
						}
						fmt.Fprintf(c.OutOrStdout(), "%5d servers, %6.0f a second, %-12s %6d of %d satisfied, %d declined, p50 %.2f ms, p99 %.2f ms, %.1f us of CPU a task, %.0f MB%s\n",
							n, rate, row.Through+":", row.Satisfied, row.Tasks, row.Declined, row.P50, row.P99, row.CPU, row.MB, late)
					}
				}
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), map[string]any{"rows": rows})
		}
		return nil
	}
	return c
}

const costText = `
name = "cost"
length = "%ds"
[network]
same = "0s"
client = "0s"
jitter = 0
[nodes]
cores = %g
memory_mb = 1024
sockets = 16384
[[fleet]]
name = "s"
count = %d
cores = 64
places = 4096
speed = 100
[reports]
fields = ["queue"]
period = "2s"
[load]
rate = %f
[clients]
connections = 32
retries = 0
[[category]]
name = "pay"
repeat = "exclusive"
soft_limit = "200ms"
hard_limit = "9s"
work = "10us"
`
