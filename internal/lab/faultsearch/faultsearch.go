// Package faultsearch searches for fault timelines under which the balancer's decisions lose most against a baseline,
// or violate an invariant. It draws timelines at random, mutates the worst of them over some rounds, and reduces the
// worst to the faults that matter. The caller runs the scenarios.
//
// Random draws come first, as the loss has no gradient between different kinds of fault. Within one kind it has, so the
// worst candidates are then mutated in small steps, in each round half as many and each twice as often (successive
// halving). At most maxSameKinds candidates with the same kinds of fault are kept, so that the finds have separate
// causes.
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

// Candidate is the base scenario with a seed and faults, and the outcome of its run.
type Candidate struct {
	Seed       uint64           `json:"seed"`
	Faults     []scenario.Fault `json:"faults"`
	Loss       float64          `json:"loss"` // as in Score, plus violationLoss if there are violations
	Violations int              `json:"rules_broken,omitempty"`
}

// Score is the outcome of one run.
type Score struct {
	Loss       float64 // lost fraction of the baseline's weight in time
	Violations int     // number of violated invariants
}

// Runner runs a scenario with a seed. It must be safe for concurrent use.
type Runner func(ctx context.Context, s *scenario.Scenario, seed uint64) (Score, error)

// Options configure a search.
type Options struct {
	Base  *scenario.Scenario
	Seed  uint64 // of all random draws
	Draws int    // number of random candidates in the first round
	Keep  int    // number of candidates that the second round mutates
	Dir   string // directory of the state file and the finds
	Run   Runner
	// ForEach calls do for 0 to n-1, possibly concurrently, and returns the error of one of the calls, if any.
	ForEach func(ctx context.Context, n int, do func(i int) error) error
	Log     func(string) // receives a line after each round; may be nil
}

const (
	violationLoss  = 2.0 // exceeds any loss of weight, so violations rank first
	maxFinds       = 3   // candidates reduced at the end
	poolFactor     = 4   // candidates kept per candidate to mutate
	maxSameKinds   = 2   // candidates in the pool with the same kinds of fault
	keptLossFactor = 0.8 // fraction of the loss that a reduced candidate has to keep
)

// seedStream separates the random draws of the search from other users of the seed.
const seedStream = 21

// Run runs a search, or resumes it from the state in the directory.
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
		// A candidate that includes all kinds of fault of an earlier find most likely has the same cause.
		if slices.ContainsFunc(state.Finds, func(find Candidate) bool { return includesKinds(c, find) }) {
			continue
		}
		if err := o.addFind(ctx, state, c); err != nil {
			return state, err
		}
	}
	return state, nil
}

// runRound runs the candidates of one round, and saves the state.
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
		o.Log(fmt.Sprintf("round %d: %d runs so far, largest loss %.3f", state.Round, state.Runs, state.Candidates[0].Loss))
	}
	return state.save(o.Dir)
}

// candidatesOf returns the candidates of the next round: random ones in the first round, later mutations of the worst,
// in each round of half as many and twice as many of each.
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

// runAll runs candidates, and sets their loss and violations.
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

// scenarioOf returns the base scenario with the faults of a candidate.
func (o *Options) scenarioOf(c Candidate) *scenario.Scenario {
	s := *o.Base
	s.Faults = c.Faults
	return &s
}

// addFind reduces a candidate, and saves it as a find.
func (o *Options) addFind(ctx context.Context, state *State, c Candidate) error {
	reduced, played, err := o.reduce(ctx, c)
	if err != nil {
		return err
	}
	state.Runs += played
	state.Finds = append(state.Finds, reduced)
	return errors.Join(state.save(o.Dir), o.writeFind(len(state.Finds), reduced))
}

// diversify returns at most limit candidates, with no more than maxSameKinds of the same kinds of fault. Candidates are
// sorted, the worst first.
func diversify(candidates []Candidate, limit int) []Candidate {
	count := map[string]int{}
	candidates = slices.DeleteFunc(candidates, func(c Candidate) bool {
		kinds := strings.Join(c.kinds(), " ")
		count[kinds]++
		return count[kinds] > maxSameKinds
	})
	return candidates[:min(len(candidates), limit)]
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

// includesKinds reports whether c has all kinds of fault that subset has.
func includesKinds(c, subset Candidate) bool {
	kinds := c.kinds()
	return !slices.ContainsFunc(subset.kinds(), func(kind string) bool { return !slices.Contains(kinds, kind) })
}
