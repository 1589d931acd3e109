package main

// This file owns the playing of days in virtual time, and of many at once: what decides is called by name, and each day is one
// goroutine's from its beginning to its end.

import (
	"context"
	"fawnglade/internal/lab/baseline"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/simulation"
	"fmt"
	"runtime"
	"strings"

	"golang.org/x/sync/errgroup"
)

// moduleName is what the project's own decisions are called.
const moduleName = "fawnglade"

// makerOf finds what decides by its name.
func makerOf(name string) (simulation.NewDecider, error) {
	if name == "" || name == moduleName {
		return simulation.NewBalancer, nil
	}
	if _, known := baseline.Kinds[name]; !known {
		return nil, fmt.Errorf("--by %s: expected %s or one of %s", name, moduleName, strings.Join(baseline.Names(), ", "))
	}
	return baseline.New(name), nil
}

// virtual plays one day in virtual time.
func virtual(ctx context.Context, s *scenario.Scenario, seed uint64, by string) (*result.Result, error) {
	maker, err := makerOf(by)
	if err != nil {
		return nil, err
	}
	played, err := simulation.Run(ctx, simulation.Options{Scenario: s, Seed: seed, NewDecider: maker})
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d, %s: %w", s.Name, seed, by, err)
	}
	return result.Of(s, played), nil
}

// dayOf is one day of many.
type dayOf struct {
	scenario *scenario.Scenario
	seed     uint64
	by       string
}

// all plays days on as many cores as there are, and returns their results in the order asked for.
func all(ctx context.Context, days []dayOf) ([]*result.Result, error) {
	results := make([]*result.Result, len(days))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, d := range days {
		g.Go(func() (err error) {
			results[i], err = virtual(ctx, d.scenario, d.seed, d.by)
			return err
		})
	}
	return results, g.Wait()
}

// virtualPairs plays two deciders on the same seeds.
func virtualPairs(ctx context.Context, s *scenario.Scenario, pairs int, a, b string) (as, bs []*result.Result, err error) {
	var days []dayOf
	for i := range pairs {
		days = append(days, dayOf{s, s.Seed + uint64(i), a}, dayOf{s, s.Seed + uint64(i), b})
	}
	results, err := all(ctx, days)
	for i := 0; err == nil && i < len(results); i += 2 {
		as, bs = append(as, results[i]), append(bs, results[i+1])
	}
	return as, bs, err
}
