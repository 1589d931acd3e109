package faultsearch

import (
	"context"
	"encoding/json"
	"errors"
	"fawnglade/internal/lab/scenario"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func base(t *testing.T) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read("../../../lab/scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// costly loses by how much of the fleet is silent, for how long, and a little where any is slow; everything else is worth nothing.
func costly(_ context.Context, s *scenario.Scenario, _ uint64) (loss float64, broken int, err error) {
	for _, f := range s.Faults {
		if f.Kind == "silent" {
			loss = max(loss, f.Share*min(float64(f.For)/1e9, 2))
		}
		if f.Kind == "slow" {
			loss = max(loss, 0.15)
		}
		if f.Kind == "cut-node" && f.Share > 0.3 {
			broken = 1
		}
	}
	return loss, broken, nil
}

func one(ctx context.Context, n int, do func(int) error) error {
	for i := range n {
		if err := do(i); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func options(t *testing.T, dir string, play Play) Options {
	return Options{Base: base(t), Seed: 4, Draws: 60, Keep: 8, Dir: dir, Play: play, Each: one}
}

func TestAHuntFindsWhatLosesAndCutsItDown(t *testing.T) {
	dir := t.TempDir()
	noRules := func(ctx context.Context, s *scenario.Scenario, seed uint64) (float64, int, error) {
		loss, _, err := costly(ctx, s, seed)
		return loss, 0, err
	}
	st, err := Run(context.Background(), options(t, dir, noRules))
	if err != nil {
		t.Fatal(err)
	}
	for i, kind := range []string{"silent", "slow"} {
		if d := st.Shrunk[i]; len(d.Faults) != 1 || d.Faults[0].Kind != kind || d.Faults[0].Zone != "" || d.Faults[0].Each != 0 || d.Loss < 0.1 {
			t.Errorf("find %d is not cut down to %s, which matters: %+v", i, kind, d)
		}
	}
	if len(st.Shrunk) != 3 || includes(st.Shrunk[2], st.Shrunk[0]) || includes(st.Shrunk[2], st.Shrunk[1]) {
		t.Errorf("three finds are not three causes: %+v", st.Shrunk)
	}
	s, err := scenario.Read(filepath.Join(dir, "calm-found-1.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if loss, _, _ := noRules(nil, s, s.Seed); loss != st.Shrunk[0].Loss {
		t.Errorf("the kept file loses %.3f, the day lost %.3f", loss, st.Shrunk[0].Loss)
	}
}

func TestABrokenRuleComesBeforeAnyLoss(t *testing.T) {
	st, err := Run(context.Background(), options(t, t.TempDir(), costly))
	if err != nil {
		t.Fatal(err)
	}
	if d := st.Shrunk[0]; d.Broken == 0 || len(d.Faults) != 1 || d.Faults[0].Kind != "cut-node" {
		t.Errorf("the worst is %+v", d)
	}
}

// A hunt that is ended at any moment goes on and finds what an undisturbed one finds.
func TestAHuntThatIsEndedGoesOn(t *testing.T) {
	whole := t.TempDir()
	if _, err := Run(context.Background(), options(t, whole, costly)); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	enough := errors.New("ended")
	for most, runs := 70, 0; ; runs++ {
		left := most
		_, err := Run(context.Background(), options(t, dir, func(ctx context.Context, s *scenario.Scenario, seed uint64) (float64, int, error) {
			if left--; left < 0 {
				return 0, 0, enough
			}
			return costly(ctx, s, seed)
		}))
		if err == nil {
			if runs < 2 {
				t.Fatalf("ended %d times only", runs)
			}
			break
		}
		if !errors.Is(err, enough) {
			t.Fatal(err)
		}
	}
	read := func(dir string) (st State) {
		text, err := os.ReadFile(filepath.Join(dir, "hunt.json"))
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(text, &st); err != nil {
			t.Fatal(err)
		}
		return st
	}
	a, _ := json.Marshal(read(whole))
	b, _ := json.Marshal(read(dir))
	if string(a) != string(b) {
		t.Errorf("one that was ended found something else:\n%s\n%s", a, b)
	}
	o := options(t, dir, costly)
	o.Seed = 5
	if _, err := Run(context.Background(), o); err == nil || !strings.Contains(err.Error(), "another directory") {
		t.Errorf("another hunt in the same directory: %v", err)
	}
}
