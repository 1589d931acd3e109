// Package faultsearch searches for fault timelines under which the decisions lose most against a baseline, or violate
// an invariant. It draws timelines at random, changes the worst of them over some rounds, and reduces the worst to the
// faults that matter. The caller plays the runs.
//
// Random draws come first: faults are of many separate kinds, and the loss has no slope between them. The worst
// candidates are then changed a little at a time, in each round half as many and each twice as often (successive
// halving), as the loss does have a slope within one kind of fault. Of candidates with the same kinds of fault few
// stay, so that the finds have separate causes.
package faultsearch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"

	"fawnglade/internal/lab/scenario"
)

// Candidate is a run that was tried: the base scenario with this seed and these faults.
type Candidate struct {
	Seed       uint64           `json:"seed"`
	Faults     []scenario.Fault `json:"faults"`
	Loss       float64          `json:"loss"` // of weight in time against the baseline, as a fraction; violationLoss is added for violations
	Violations int              `json:"rules_broken,omitempty"`
}

// Score is the outcome of one run.
type Score struct {
	Loss       float64 // of weight in time against the baseline, as a fraction
	Violations int     // of invariants
}

// Play plays a scenario with a seed. It may be called from many goroutines at once.
type Runner func(ctx context.Context, s *scenario.Scenario, seed uint64) (Score, error)

// Options of a search.
type Options struct {
	Base  *scenario.Scenario
	Seed  uint64 // of all that is drawn
	Draws int    // random candidates of the first round
	Keep  int    // of them are changed further
	Dir   string // for the state and for the finds
	Run   Runner
	// ForEach calls do for 0 to n-1, perhaps at once, and returns an error of one of them.
	ForEach func(ctx context.Context, n int, do func(i int) error) error
	Log     func(string) // takes a line after each round; may be nil
}

const (
	violationLoss  = 2.0 // above any loss of weight: violations come first
	maxFinds       = 3   // candidates that are reduced at the end
	poolFactor     = 4   // candidates that stay for the next round, for each that is changed further
	maxSameKinds   = 2   // candidates in the pool with the same kinds of fault
	keptLossFactor = 0.8 // of the loss that a reduced candidate has to keep
)

// seedStream separates the random draws of the search from other users of the seed.
const seedStream = 21

// Run searches, or resumes a search whose state is in the directory.
func Run(ctx context.Context, o Options) (*State, error) {
	state, err := loadState(o)
	if err != nil {
		return nil, err
	}
	for rounds := 1 + bits.Len(uint(o.Keep)); state.Round < rounds; {
		if err := o.runRound(ctx, state); err != nil {
			return state, err
		}
	}
	for _, c := range state.Candidates {
		if len(state.Finds) == maxFinds {
			break
		}
		// A candidate with all kinds of fault of an earlier find most likely loses by the same cause.
		if slices.ContainsFunc(state.Finds, func(find Candidate) bool { return includesKinds(c, find) }) {
			continue
		}
		if err := o.addFind(ctx, state, c); err != nil {
			return state, err
		}
	}
	return state, nil
}

// runRound plays the candidates of one round, and stores the state.
func (o *Options) runRound(ctx context.Context, state *State) error {
	candidates := o.candidatesOf(state)
	if err := o.runAll(ctx, candidates); err != nil {
		return err
	}
	state.Runs += len(candidates)
	state.Candidates = append(state.Candidates, candidates...)
	slices.SortStableFunc(state.Candidates, func(a, b Candidate) int { return cmp.Compare(b.Loss, a.Loss) })
	state.Candidates = diversify(state.Candidates, max(o.Keep*poolFactor, maxFinds))
	state.Round++
	if o.Log != nil {
		o.Log(fmt.Sprintf("round %d: %d days played, the worst loses %.3f", state.Round, state.Runs, state.Candidates[0].Loss))
	}
	return state.save(o.Dir)
}

// candidatesOf draws the candidates of the next round: at random in the first, then changes of the worst, in each round
// half as many and each changed twice as often.
func (o *Options) candidatesOf(state *State) []Candidate {
	random := rand.New(rand.NewPCG(o.Seed, seedStream+uint64(state.Round)))
	var candidates []Candidate
	if state.Round == 0 {
		for range o.Draws {
			candidates = append(candidates, o.drawCandidate(random))
		}
		return candidates
	}
	parents := max(o.Keep>>(state.Round-1), 1)
	changes := 2 << (state.Round - 1)
	for _, parent := range state.Candidates[:min(parents, len(state.Candidates))] {
		for range changes {
			candidates = append(candidates, o.change(random, parent))
		}
	}
	return candidates
}

// play plays candidates, and enters their loss and violations.
func (o *Options) runAll(ctx context.Context, candidates []Candidate) error {
	return o.ForEach(ctx, len(candidates), func(i int) error {
		c := &candidates[i]
		score, err := o.Run(ctx, o.scenarioOf(*c), c.Seed)
		if err != nil {
			return err
		}
		c.Loss = score.Loss
		c.Violations = score.Violations
		if score.Violations > 0 {
			c.Loss += violationLoss
		}
		return nil
	})
}

// scenarioOf is the base with the faults of a candidate.
func (o *Options) scenarioOf(c Candidate) *scenario.Scenario {
	s := *o.Base
	s.Faults = c.Faults
	return &s
}

// addFind reduces a candidate, and stores it as a find.
func (o *Options) addFind(ctx context.Context, state *State, c Candidate) error {
	reduced, played, err := o.reduce(ctx, c)
	if err != nil {
		return err
	}
	state.Runs += played
	state.Finds = append(state.Finds, reduced)
	return errors.Join(state.save(o.Dir), o.writeFind(len(state.Finds), reduced))
}

// diversify keeps the worst candidates, given the worst first, and no more than maxSameKinds with the same kinds of
// fault.
func diversify(candidates []Candidate, most int) []Candidate {
	count := map[string]int{}
	candidates = slices.DeleteFunc(candidates, func(c Candidate) bool {
		kinds := strings.Join(c.kinds(), " ")
		count[kinds]++
		return count[kinds] > maxSameKinds
	})
	return candidates[:min(len(candidates), most)]
}

// kinds returns the kinds of the candidate's faults, sorted, each once.
func (c *Candidate) kinds() []string {
	var kinds []string
	for _, f := range c.Faults {
		kinds = append(kinds, f.Kind)
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}

// includesKinds tells whether c has all kinds of fault that part has.
func includesKinds(c, part Candidate) bool {
	kinds := c.kinds()
	return !slices.ContainsFunc(part.kinds(), func(kind string) bool { return !slices.Contains(kinds, kind) })
}
