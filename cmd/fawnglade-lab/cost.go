package main

import (
	"context"
	"errors"
	"fmt"

	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"

	"github.com/spf13/cobra"
)

// costReport is the JSON output of the cost command.
type costReport struct {
	Rows []costRow `json:"rows"`
}

// costRow is the result of one proxy with one number of endpoints at one request rate.
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
	Void      bool    `json:"void"` // the lab lagged, so the row is not valid
}

// costFlags holds the flags of the cost command.
type costFlags struct {
	endpoints []int
	rates     []float64
	through   []string
	seconds   int
	cores     float64
	asJSON    bool
}

// newCostCommand returns the command that measures the CPU time of a node per request, by number of endpoints.
func newCostCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "cost",
		Short: "Measure a node's CPU time per request, compared with a TCP pass-through",
		Long: `Measure a node's CPU time per request, compared with a TCP pass-through (plain:relay).

Requests with a body of 200 bytes arrive over 32 connections; the servers are idle and do next to no work. The reported
figure is the CPU time of the node process alone, including its start, divided by the number of requests.`,
		Example: "  fawnglade-lab cost\n  fawnglade-lab cost --servers 64,4096 --rates 4000,16000 --through bin/fawnglade,plain:relay",
		Args:    cobra.NoArgs,
	}
	var f costFlags
	c.Flags().IntSliceVar(&f.endpoints, "servers", []int{8, 64, 512, 4096}, "numbers of servers to measure")
	c.Flags().Float64SliceVar(&f.rates, "rates", []float64{5000}, "request rates to measure, per second")
	c.Flags().StringSliceVar(&f.through, "through", []string{"", "plain:relay"},
		"node commands or plain:KIND; empty: the default node program")
	c.Flags().IntVar(&f.seconds, "seconds", 4, "duration of each measurement, seconds")
	c.Flags().Float64Var(&f.cores, "cores", 1, "CPU cores that the node may use; 0: unlimited")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the result as one JSON object")
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
		late = ", void: the lab lagged"
	}
	return fmt.Sprintf("%5d servers, %6.0f requests/s, %-12s %6d of %d succeeded, %d rejected, "+
		"p50 %.2f ms, p99 %.2f ms, %.1f us of CPU per request, %.0f MB%s",
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
