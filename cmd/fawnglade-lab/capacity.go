package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"

	"github.com/spf13/cobra"
)

const (
	capacityGrowth = 1.5    // factor of the rate from one step to the next
	maxCapacity    = 100000 // requests a second
	maxLateMs      = 5      // 95th percentile of the lab's lag up to which a step passes
)

// capacityReport is the JSON output of the capacity command.
type capacityReport struct {
	Cores int            `json:"cores"`
	Steps []capacityStep `json:"steps"`
}

// capacityStep is the result of one rate at which the lab ran without a node.
type capacityStep struct {
	Rate      float64 `json:"rate"` // requests a second
	Requests  int     `json:"tasks"`
	Succeeded int     `json:"satisfied"`
	LateMs    float64 `json:"late_ms"` // 95th percentile of the lab's own lag
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Max       float64 `json:"most_ms"`
	CPU       float64 `json:"cpu_us_a_task"`
	Held      bool    `json:"held"`
}

// capacityFlags holds the flags of the capacity command.
type capacityFlags struct {
	cores     int
	startRate float64
	maxRate   float64
	seconds   int
	asJSON    bool
}

// newCapacityCommand returns the command that measures the lab alone, with clients connected directly to endpoints.
func newCapacityCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the request rate that the lab itself sustains, without a node",
		Long: `Measure the request rate that the lab itself sustains, without a node.

Clients send requests directly to the emulated servers. The rate grows by half from step to step until the 95th
percentile of the lab's own lag exceeds 5 ms or a request fails.`,
		Example: "  fawnglade-lab capacity\n  fawnglade-lab capacity --cores 2 --seconds 3 --json",
		Args:    cobra.NoArgs,
	}
	var f capacityFlags
	c.Flags().IntVar(&f.cores, "cores", 1, "CPU cores that the lab may use")
	c.Flags().Float64Var(&f.startRate, "from", 8000, "initial rate, requests per second")
	c.Flags().Float64Var(&f.maxRate, "most", maxCapacity, "maximum rate, requests per second")
	c.Flags().IntVar(&f.seconds, "seconds", 3, "duration of each step, seconds")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the result as one JSON object")
	c.RunE = func(c *cobra.Command, _ []string) error { return measureCapacity(c, f) }
	return c
}

func measureCapacity(c *cobra.Command, f capacityFlags) error {
	if f.cores < 1 || f.startRate < 1 || f.maxRate > maxCapacity || f.seconds < 1 || f.seconds > 60 {
		return errors.New("expected --cores and --from of at least 1, --most up to 100000, --seconds from 1 to 60")
	}
	runtime.GOMAXPROCS(f.cores)
	var steps []capacityStep
	for rate := f.startRate; rate <= f.maxRate; rate *= capacityGrowth {
		step, err := runCapacityStep(c.Context(), f.seconds, rate)
		if err != nil {
			return err
		}
		steps = append(steps, step)
		if !f.asJSON {
			err := printf(c.OutOrStdout(), "%8.0f requests/s: %d of %d succeeded, lag %.2f ms, "+
				"p50 %.2f ms, p99 %.2f ms, %.1f us of CPU per request\n",
				step.Rate, step.Succeeded, step.Requests, step.LateMs, step.P50, step.P99, step.CPU)
			if err != nil {
				return err
			}
		}
		if !step.Held {
			break
		}
	}
	if f.asJSON {
		return printJSON(c.OutOrStdout(), capacityReport{f.cores, steps})
	}
	return nil
}

func runCapacityStep(ctx context.Context, seconds int, rate float64) (capacityStep, error) {
	s, err := scenario.Parse("capacity", fmt.Appendf(nil, capacityText, seconds, rate))
	if err != nil {
		return capacityStep{}, err
	}
	before, err := ownCPU()
	if err != nil {
		return capacityStep{}, err
	}
	trace, err := emulator.Run(ctx, emulator.Options{Scenario: s, Seed: 1, Direct: true})
	if err != nil {
		return capacityStep{}, err
	}
	after, err := ownCPU()
	if err != nil {
		return capacityStep{}, err
	}
	r := result.FromTrace(s, trace)
	return capacityStep{
		Rate: rate, Requests: r.Requests, Succeeded: r.Succeeded, LateMs: r.LateMs, P50: r.P50, P99: r.P99, Max: r.Max,
		CPU:  cpuMicrosecondsPerRequest((after - before).Seconds(), r),
		Held: r.Succeeded == r.Requests && r.LateMs <= maxLateMs,
	}, nil
}

// cpuMicrosecondsPerRequest divides seconds of CPU time by the number of requests of a run.
func cpuMicrosecondsPerRequest(seconds float64, r *result.Result) float64 {
	return seconds * 1e6 / float64(max(r.Requests, 1))
}

// ownCPU returns the CPU time that this process has used.
func ownCPU() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read CPU time of the lab process: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
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
