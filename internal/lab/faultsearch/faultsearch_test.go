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

// scoreByFaults scores a scenario by its faults: the loss grows with the fraction of silent endpoints and their
// duration, is small if any endpoint is slow, and 0 for all other faults.
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

// forEachSequentially is a ForEach that calls do sequentially.
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
		if find := state.Finds[i]; len(find.Faults) != 1 || find.Faults[0].Kind != kind || find.Faults[0].Zone != "" || find.Faults[0].Each != 0 || find.Loss < 0.1 {
			t.Errorf("find %d: want it reduced to the single fault %s, got %+v", i, kind, find)
		}
	}
	if len(state.Finds) != 3 || includesKinds(state.Finds[2], state.Finds[0]) || includesKinds(state.Finds[2], state.Finds[1]) {
		t.Errorf("got finds %+v, want three with separate causes", state.Finds)
	}
	s, err := scenario.Read(filepath.Join(dir, "calm-found-1.toml"))
	if err != nil {
		t.Fatal(err)
	}
	score, err := withoutViolations(t.Context(), s, s.Seed)
	if err != nil || score.Loss != state.Finds[0].Loss {
		t.Errorf("the scenario file of the find: got loss %.3f, want %.3f; error: %v", score.Loss, state.Finds[0].Loss, err)
	}
}

func TestViolationsComeBeforeAnyLoss(t *testing.T) {
	state, err := Run(t.Context(), options(t, t.TempDir(), scoreByFaults))
	if err != nil {
		t.Fatal(err)
	}
	if find := state.Finds[0]; find.Violations == 0 || len(find.Faults) != 1 || find.Faults[0].Kind != "cut-node" {
		t.Errorf("got worst find %+v, want a violation reduced to one cut-node fault", find)
	}
}

// A search that is interrupted repeatedly and resumed finds the same as an uninterrupted one.
func TestSearchResumesAfterAnyInterruption(t *testing.T) {
	undisturbed := t.TempDir()
	if _, err := Run(t.Context(), options(t, undisturbed, scoreByFaults)); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	errEnded := errors.New("ended")
	for maxRuns, interruptions := 70, 0; ; interruptions++ {
		remaining := maxRuns
		_, err := Run(t.Context(), options(t, dir, func(ctx context.Context, s *scenario.Scenario, seed uint64) (Score, error) {
			if remaining--; remaining < 0 {
				return Score{}, errEnded
			}
			return scoreByFaults(ctx, s, seed)
		}))
		if err == nil {
			if interruptions < 2 {
				t.Fatalf("got %d interruptions, want at least 2", interruptions)
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
		t.Errorf("the interrupted search differs from the uninterrupted one:\ngot  %+v\nwant %+v", got, want)
	}
	o := options(t, dir, scoreByFaults)
	o.Seed = 5
	if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "another directory") {
		t.Errorf("a search with another seed in the same directory: got error %v, want one that asks for another directory", err)
	}
}
