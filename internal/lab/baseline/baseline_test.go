package baseline

import (
	"context"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/simulation"
	"fawnglade/internal/lab/trace"
	"testing"
)

// Every baseline has to keep the rules, or comparing with it says nothing, and to serve a calm day.
func TestBaselinesKeepTheRules(t *testing.T) {
	for _, day := range []string{"calm", "drained", "nodes-killed", "replaced"} {
		s, err := scenario.Read("../../../lab/scenarios/" + day + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		for _, kind := range Names() {
			r, err := simulation.Run(context.Background(), simulation.Options{Scenario: s, Seed: 3, NewDecider: New(kind)})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Violations) > 0 {
				t.Errorf("%s on %s: %v", kind, day, r.Violations[0])
			}
			satisfied := 0
			for _, o := range r.Outcomes {
				if o.State == trace.Succeeded {
					satisfied++
				}
			}
			if day == "calm" && satisfied < len(r.Outcomes)*98/100 {
				t.Errorf("%s satisfied %d of %d on a calm day", kind, satisfied, len(r.Outcomes))
			}
		}
	}
}

// One that sees the true state has to keep more than one that draws blindly, where servers are unequal and some are slow.
func TestSeeingIsWorthSomething(t *testing.T) {
	s, err := scenario.Read("../../../lab/scenarios/slow.toml")
	if err != nil {
		t.Fatal(err)
	}
	inTime := map[string]int{}
	for _, kind := range []string{"all-seeing", "late-seeing", "hot-cold", "random"} {
		r, err := simulation.Run(context.Background(), simulation.Options{Scenario: s, Seed: 3, NewDecider: New(kind)})
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
