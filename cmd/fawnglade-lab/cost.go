package main

import (
	"context"
	"errors"
	"fmt"

	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"

	"github.com/spf13/cobra"
)

// costReport is the JSON of the cost command.
type costReport struct {
	Rows []costRow `json:"rows"`
}

// costRow is one proxy with one number of endpoints at one rate.
type costRow struct {
	Through   string  `json:"through"`
	Endpoints int     `json:"servers"`
	Rate      float64 `json:"rate"` // requests a second
	Requests  int     `json:"tasks"`
	Succeeded int     `json:"satisfied"`
	Rejected  int     `json:"declined"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	CPU       float64 `json:"cpu_us_a_task"`
	MB        float64 `json:"memory_mb"`
	Void      bool    `json:"void"` // the machine ran late
}

// costFlags are those of the cost command.
type costFlags struct {
	endpoints []int
	rates     []float64
	through   []string
	seconds   int
	cores     float64
	asJSON    bool
}

// newCostCommand measures what a request costs a node's own process, by the number of endpoints.
func newCostCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "cost",
		Short: "Measure what a task costs a node, beside a relay that reads nothing",
		Long: `Measure what a task costs a node, beside a relay that reads nothing.

Tasks with a body of 200 bytes come over 32 connections to idle servers that do hardly any work. What is told is the
CPU of the node's process alone, over the tasks, with what its start took.`,
		Example: "  fawnglade-lab cost\n  fawnglade-lab cost --servers 64,4096 --rates 4000,16000 --through bin/fawnglade,plain:relay",
		Args:    cobra.NoArgs,
	}
	var f costFlags
	c.Flags().IntSliceVar(&f.endpoints, "servers", []int{8, 64, 512, 4096}, "numbers of servers")
	c.Flags().Float64SliceVar(&f.rates, "rates", []float64{5000}, "tasks a second")
	c.Flags().StringSliceVar(&f.through, "through", []string{"", "plain:relay"},
		"nodes' commands or plain:KIND; empty: the node beside this program")
	c.Flags().IntVar(&f.seconds, "seconds", 4, "how long each is measured")
	c.Flags().Float64Var(&f.cores, "cores", 1, "cores that the node is told it may use; 0: no bound")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, _ []string) error { return measureCost(c, f) }
	return c
}

func measureCost(c *cobra.Command, f costFlags) error {
	if f.seconds < 1 || f.seconds > 60 {
		return errors.New("--seconds: expected 1 to 60")
	}
	var rows []costRow
	for _, endpoints := range f.endpoints {
		for _, rate := range f.rates {
			for _, through := range f.through {
				row, err := f.runCostRow(c.Context(), endpoints, rate, through)
				if err != nil {
					return err
				}
				rows = append(rows, row)
				if f.asJSON {
					continue
				}
				if err := printf(c.OutOrStdout(), "%s\n", row.line()); err != nil {
					return err
				}
			}
		}
	}
	if f.asJSON {
		return printJSON(c.OutOrStdout(), costReport{rows})
	}
	return nil
}

func (f *costFlags) runCostRow(ctx context.Context, endpoints int, rate float64, through string) (costRow, error) {
	command, err := nodeCommand(through)
	if err != nil {
		return costRow{}, err
	}
	s, err := scenario.Parse("cost", fmt.Appendf(nil, costText, f.seconds, f.cores, endpoints, rate))
	if err != nil {
		return costRow{}, err
	}
	r, err := runOnSockets(ctx, runOptions{scenario: s, seed: 1, node: command})
	if err != nil {
		return costRow{}, err
	}
	if through == "" {
		through = moduleName
	}
	node := r.Nodes[0]
	return costRow{
		Through: through, Endpoints: endpoints, Rate: rate,
		Requests: r.Requests, Succeeded: r.Succeeded, Rejected: r.Rejected, P50: r.P50, P99: r.P99,
		CPU: cpuMicrosecondsPerRequest(node.CPUSeconds, r), MB: node.MaxMemoryMB, Void: r.Verdict == result.Void,
	}, nil
}

func (r *costRow) line() string {
	late := ""
	if r.Void {
		late = ", the machine ran late"
	}
	return fmt.Sprintf("%5d servers, %6.0f a second, %-12s %6d of %d satisfied, %d declined, "+
		"p50 %.2f ms, p99 %.2f ms, %.1f us of CPU a task, %.0f MB%s",
		r.Endpoints, r.Rate, r.Through+":", r.Succeeded, r.Requests, r.Rejected, r.P50, r.P99, r.CPU, r.MB, late)
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
