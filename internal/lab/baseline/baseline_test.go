package baseline

import (
	"testing"

	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/simulation"
	"fawnglade/internal/lab/trace"
)

// A comparison with a baseline that violates invariants says nothing; in a calm run each has to serve nearly all
// requests.
func TestBaselinesKeepInvariants(t *testing.T) {
	for _, name := range []string{"calm", "drained", "nodes-killed", "replaced"} {
		s, err := scenario.Read("../../../lab/scenarios/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		for _, kind := range Names() {
			r, err := simulation.Run(t.Context(), simulation.Options{Scenario: s, Seed: 3, NewDecider: New(kind)})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Violations) > 0 {
				t.Errorf("%s on %s: %v", kind, name, r.Violations[0])
			}
			succeeded := 0
			for _, o := range r.Outcomes {
				if o.State == trace.Succeeded {
					succeeded++
				}
			}
			if name == "calm" && succeeded < len(r.Outcomes)*98/100 {
				t.Errorf("%s served %d of %d in a calm run", kind, succeeded, len(r.Outcomes))
			}
		}
	}
}

// Where endpoints are unequal and some are slow, a policy that knows their state has to do better than a random choice.
func TestKnownStateBeatsRandomChoice(t *testing.T) {
	s, err := scenario.Read("../../../lab/scenarios/slow.toml")
	if err != nil {
		t.Fatal(err)
	}
	inTime := map[string]int{}
	for _, kind := range []string{"all-seeing", "late-seeing", "hot-cold", "random"} {
		r, err := simulation.Run(t.Context(), simulation.Options{Scenario: s, Seed: 3, NewDecider: New(kind)})
		if err != nil {
			t.Fatal(err)
		}
		for i, o := range r.Outcomes {
			if o.State == trace.Succeeded && o.Elapsed <= int64(s.Classes[r.Plan.Operations[i].Class].LatencyObjective) {
				inTime[kind]++
			}
		}
	}
	if inTime["all-seeing"] <= inTime["random"] || inTime["late-seeing"] <= inTime["random"] || inTime["hot-cold"] <= inTime["random"] {
		t.Errorf("in time: %v", inTime)
	}
}
