package soak

import (
	"reflect"
	"testing"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/trace"
)

func TestDrawCaseIsDeterministicAndValid(t *testing.T) {
	healthy := 0
	for seed := range uint64(200) {
		drawn, err := DrawCase(seed)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		again, err := DrawCase(seed)
		if err != nil || !reflect.DeepEqual(drawn, again) {
			t.Errorf("seed %d: two calls of DrawCase returned different cases (error %v)", seed, err)
		}
		if drawn.Healthy {
			healthy++
		}
	}
	if healthy < 50 || healthy > 150 {
		t.Errorf("got %d of 200 cases with healthy endpoints, want 50 to 150", healthy)
	}
}

func TestProblemsReportsEachFailure(t *testing.T) {
	for name, c := range map[string]struct {
		healthy bool
		run     result.Result
		want    int
	}{
		"held":                 {true, result.Result{}, 0},
		"invariant violated":   {false, result.Result{Violations: make([]invariant.Violation, 1)}, 1},
		"node ended by itself": {false, result.Result{Nodes: []trace.NodeUsage{{Crashes: 1}}}, 1},
		"rejected, healthy":    {true, result.Result{Tally: result.Tally{Rejected: 1}}, 1},
		"failed, healthy":      {true, result.Result{Tally: result.Tally{Failed: 1}}, 1},
		"lost, healthy":        {true, result.Result{Tally: result.Tally{Lost: 1}}, 1},
		"rejected, unhealthy":  {false, result.Result{Tally: result.Tally{Rejected: 1}}, 0},
	} {
		drawn := &Case{Healthy: c.healthy}
		if got := drawn.Problems(&c.run); len(got) != c.want {
			t.Errorf("%s: got problems %q, want %d of them", name, got, c.want)
		}
	}
}
