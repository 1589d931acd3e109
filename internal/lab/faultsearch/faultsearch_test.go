package faultsearch

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"fawnglade/internal/lab/scenario"
)

func readBase(t *testing.T) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read("../../../lab/scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// costly loses by the part of the fleet that is silent and for how long, a little where any is slow, and by nothing
// else.
func scoreByFaults(_ context.Context, s *scenario.Scenario, _ uint64) (Score, error) {
	var score Score
	for _, f := range s.Faults {
		if f.Kind == "silent" {
			score.Loss = max(score.Loss, f.Share*min(float64(f.For)/1e9, 2))
		}
		if f.Kind == "slow" {
			score.Loss = max(score.Loss, 0.15)
		}
		if f.Kind == "cut-node" && f.Share > 0.3 {
			score.Violations = 1
		}
	}
	return score, nil
}

// forEachSequentially is a ForEach without concurrency.
func forEachSequentially(ctx context.Context, n int, do func(int) error) error {
	for i := range n {
		if err := do(i); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func options(t *testing.T, dir string, play Runner) Options {
	return Options{Base: readBase(t), Seed: 4, Draws: 60, Keep: 8, Dir: dir, Run: play, ForEach: forEachSequentially}
}

func TestSearchFindsAndReducesCostlyFaults(t *testing.T) {
	dir := t.TempDir()
	withoutViolations := func(ctx context.Context, s *scenario.Scenario, seed uint64) (Score, error) {
		score, err := scoreByFaults(ctx, s, seed)
		return Score{Loss: score.Loss}, err
	}
	state, err := Run(t.Context(), options(t, dir, withoutViolations))
	if err != nil {
		t.Fatal(err)
	}
	for i, kind := range []string{"silent", "slow"} {
		if d := state.Finds[i]; len(d.Faults) != 1 || d.Faults[0].Kind != kind || d.Faults[0].Zone != "" || d.Faults[0].Each != 0 || d.Loss < 0.1 {
			t.Errorf("find %d is not reduced to %s, which matters: %+v", i, kind, d)
		}
	}
	if len(state.Finds) != 3 || includesKinds(state.Finds[2], state.Finds[0]) || includesKinds(state.Finds[2], state.Finds[1]) {
		t.Errorf("the three finds do not have three causes: %+v", state.Finds)
	}
	s, err := scenario.Read(filepath.Join(dir, "calm-found-1.toml"))
	if err != nil {
		t.Fatal(err)
	}
	score, err := withoutViolations(t.Context(), s, s.Seed)
	if err != nil || score.Loss != state.Finds[0].Loss {
		t.Errorf("the stored file loses %.3f, the candidate lost %.3f, %v", score.Loss, state.Finds[0].Loss, err)
	}
}

func TestViolationsComeBeforeAnyLoss(t *testing.T) {
	state, err := Run(t.Context(), options(t, t.TempDir(), scoreByFaults))
	if err != nil {
		t.Fatal(err)
	}
	if d := state.Finds[0]; d.Violations == 0 || len(d.Faults) != 1 || d.Faults[0].Kind != "cut-node" {
		t.Errorf("the worst is %+v", d)
	}
}

// A search that is ended at any moment is resumed, and finds what an undisturbed one finds.
func TestSearchResumesAfterAnyInterruption(t *testing.T) {
	undisturbed := t.TempDir()
	if _, err := Run(t.Context(), options(t, undisturbed, scoreByFaults)); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	errEnded := errors.New("ended")
	for most, runs := 70, 0; ; runs++ {
		left := most
		_, err := Run(t.Context(), options(t, dir, func(ctx context.Context, s *scenario.Scenario, seed uint64) (Score, error) {
			if left--; left < 0 {
				return Score{}, errEnded
			}
			return scoreByFaults(ctx, s, seed)
		}))
		if err == nil {
			if runs < 2 {
				t.Fatalf("ended %d times only", runs)
			}
			break
		}
		if !errors.Is(err, errEnded) {
			t.Fatal(err)
		}
	}
	read := func(dir string) State {
		t.Helper()
		text, err := os.ReadFile(filepath.Join(dir, "hunt.json"))
		if err != nil {
			t.Fatal(err)
		}
		var state State
		if err := json.Unmarshal(text, &state); err != nil {
			t.Fatal(err)
		}
		return state
	}
	if got, want := read(dir), read(undisturbed); !reflect.DeepEqual(got, want) {
		t.Errorf("one that was ended found something else:\n%+v\n%+v", got, want)
	}
	o := options(t, dir, scoreByFaults)
	o.Seed = 5
	if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "another directory") {
		t.Errorf("another search in the same directory: %v", err)
	}
}
