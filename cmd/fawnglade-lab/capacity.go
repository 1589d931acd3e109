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
	capacityGrowth = 1.5    // of the rate, from step to step
	maxCapacity    = 100000 // requests a second
	maxLateMs      = 5      // lag of the lab, its 95th percentile, up to which a step holds
)

// capacityReport is the JSON of the capacity command.
type capacityReport struct {
	Cores int            `json:"cores"`
	Steps []capacityStep `json:"steps"`
}

// capacityStep is one rate at which the lab was tried without a node.
type capacityStep struct {
	Rate      float64 `json:"rate"` // requests a second
	Requests  int     `json:"tasks"`
	Succeeded int     `json:"satisfied"`
	LateMs    float64 `json:"late_ms"` // lag of the lab itself, its 95th percentile
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Max       float64 `json:"most_ms"`
	CPU       float64 `json:"cpu_us_a_task"`
	Held      bool    `json:"held"`
}

// capacityFlags are those of the capacity command.
type capacityFlags struct {
	cores     int
	startRate float64
	maxRate   float64
	seconds   int
	asJSON    bool
}

// newCapacityCommand measures the lab alone: clients and endpoints with nothing between them.
func newCapacityCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how many tasks a second the rig itself carries, without a node",
		Long: `Measure how many tasks a second the rig itself carries, without a node.

Clients ask the stand-in servers themselves, at rates that grow by half until the rig is late by more than 5 ms in a
twentieth of the time, or a task goes unanswered.`,
		Example: "  fawnglade-lab capacity\n  fawnglade-lab capacity --cores 2 --seconds 3 --json",
		Args:    cobra.NoArgs,
	}
	var f capacityFlags
	c.Flags().IntVar(&f.cores, "cores", 1, "cores that the rig may use")
	c.Flags().Float64Var(&f.startRate, "from", 8000, "tasks a second to begin with")
	c.Flags().Float64Var(&f.maxRate, "most", maxCapacity, "tasks a second to end with")
	c.Flags().IntVar(&f.seconds, "seconds", 3, "how long each rate is held")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print one JSON object")
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
			err := printf(c.OutOrStdout(), "%8.0f a second: %d of %d satisfied, late %.2f ms, "+
				"p50 %.2f ms, p99 %.2f ms, %.1f us of CPU a task\n",
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

// cpuMicrosecondsPerRequest spreads seconds of processor time over the requests of a run.
func cpuMicrosecondsPerRequest(seconds float64, r *result.Result) float64 {
	return seconds * 1e6 / float64(max(r.Requests, 1))
}

// ownCPU is the processor time that this process has used.
func ownCPU() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("processor time of this process: %w", err)
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
