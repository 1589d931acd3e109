package faultsearch

import (
	"context"
	"reflect"
	"slices"

	"fawnglade/internal/lab/scenario"
)

// simplifications of a fault, each tried in turn.
var simplifications = []func(*scenario.Fault){
	func(f *scenario.Fault) { f.Each = 0 },
	func(f *scenario.Fault) { f.Zone = "" },
	func(f *scenario.Fault) { f.For /= 2 },
	func(f *scenario.Fault) { f.For /= 2 },
	func(f *scenario.Fault) { f.Share /= 2 },
	func(f *scenario.Fault) { f.Share /= 2 },
}

// reduction is a candidate on its way to the faults that matter.
type reduction struct {
	*Options
	candidate Candidate
	minLoss   float64 // that a simpler candidate has to keep
	runs      int
}

// reduce removes what does not matter: whole faults, then parts of their duration and of their targets. It returns the
// reduced candidate and how many runs were played.
func (o *Options) reduce(ctx context.Context, c Candidate) (Candidate, int, error) {
	r := &reduction{Options: o, candidate: c, minLoss: c.Loss * keptLossFactor}
	if c.Violations > 0 {
		r.minLoss = violationLoss
	}
	if err := r.removeFaults(ctx); err != nil {
		return r.candidate, r.runs, err
	}
	err := r.simplifyFaults(ctx)
	return r.candidate, r.runs, err
}

// try plays the candidate with other faults, and takes them over if it still loses enough.
func (r *reduction) try(ctx context.Context, faults []scenario.Fault) (taken bool, err error) {
	simpler := []Candidate{{Seed: r.candidate.Seed, Faults: faults}}
	r.runs++
	if err := r.runAll(ctx, simpler); err != nil {
		return false, err
	}
	if simpler[0].Loss < r.minLoss {
		return false, nil
	}
	r.candidate = simpler[0]
	return true, nil
}

func (r *reduction) removeFaults(ctx context.Context) error {
	for i := 0; i < len(r.candidate.Faults) && len(r.candidate.Faults) > 1; {
		removed, err := r.try(ctx, slices.Delete(slices.Clone(r.candidate.Faults), i, i+1))
		if err != nil {
			return err
		}
		if !removed {
			i++
		}
	}
	return nil
}

func (r *reduction) simplifyFaults(ctx context.Context) error {
	for i := range r.candidate.Faults {
		for _, simplify := range simplifications {
			faults := slices.Clone(r.candidate.Faults)
			before, after := r.candidate.Faults[i], &faults[i]
			simplify(after)
			vanished := after.For == 0 && before.For > 0
			if vanished || reflect.DeepEqual(*after, before) {
				continue
			}
			if _, err := r.try(ctx, faults); err != nil {
				return err
			}
		}
	}
	return nil
}
