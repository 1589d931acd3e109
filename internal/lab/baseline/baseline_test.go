package baseline

import (
	"testing"

	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/simulation"
	"fawnglade/internal/lab/trace"
)

// Guards against comparisons with a baseline that violates invariants, which would mean nothing. Without faults, each
// baseline has to serve nearly all requests.
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
				t.Errorf("%s on %s: got violation %v, want none", kind, name, r.Violations[0])
			}
			succeeded := 0
			for _, o := range r.Outcomes {
				if o.State == trace.Succeeded {
					succeeded++
				}
			}
			if name == "calm" && succeeded < len(r.Outcomes)*98/100 {
				t.Errorf("%s without faults: got %d of %d requests served, want at least 98 in 100", kind, succeeded, len(r.Outcomes))
			}
		}
	}
}

// If endpoints are unequal and some are slow, policies that use their state answer more requests in time than random
// choice.
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
		t.Errorf("got requests in time %v, want more for each policy than for random", inTime)
	}
}
