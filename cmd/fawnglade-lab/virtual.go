package main

import (
	"context"
	"fmt"
	"runtime"
	"strings"

	"fawnglade/internal/lab/baseline"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/simulation"

	"golang.org/x/sync/errgroup"
)

// moduleName is the name of the project's own decider.
const moduleName = nodeProgram

// deciderByName returns the constructor of the project's own decider or of a baseline.
func deciderByName(name string) (simulation.NewDecider, error) {
	if name == "" || name == moduleName {
		return simulation.NewBalancer, nil
	}
	if _, known := baseline.Descriptions[name]; !known {
		return nil, fmt.Errorf("--by %s: expected %s or one of %s", name, moduleName, strings.Join(baseline.Names(), ", "))
	}
	return baseline.New(name), nil
}

// virtualRun is one run of a scenario in virtual time.
type virtualRun struct {
	scenario    *scenario.Scenario
	seed        uint64
	deciderName string // name of the decider
}

// runVirtual runs a scenario in virtual time in the calling goroutine.
func runVirtual(ctx context.Context, run virtualRun) (*result.Result, error) {
	decider, err := deciderByName(run.deciderName)
	if err != nil {
		return nil, err
	}
	trace, err := simulation.Run(ctx, simulation.Options{Scenario: run.scenario, Seed: run.seed, NewDecider: decider})
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d, %s: %w", run.scenario.Name, run.seed, run.deciderName, err)
	}
	return result.FromTrace(run.scenario, trace), nil
}

// runAllVirtual executes runs on all cores, and returns their results in the order of the runs.
func runAllVirtual(ctx context.Context, runs []virtualRun) ([]*result.Result, error) {
	results := make([]*result.Result, len(runs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, run := range runs {
		group.Go(func() (err error) {
			results[i], err = runVirtual(ctx, run)
			return err
		})
	}
	return results, group.Wait()
}

// forEachInParallel calls do for each index, with as many concurrent calls as cores, and stops at the first error.
func forEachInParallel(ctx context.Context, n int, do func(i int) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range n {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return do(i)
		})
	}
	return group.Wait()
}
