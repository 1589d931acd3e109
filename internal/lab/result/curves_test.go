package result

import (
	"math"
	"testing"

	"fawnglade/internal/lab/trace"
)

func TestInFlightSpreadBySecond(t *testing.T) {
	r := &Result{Loads: []trace.LoadSample{
		{At: 0.1e9, InFlight: []int{4, 4, 4, 4}}, {At: 0.6e9, InFlight: []int{0, 0, 0, 16}}, // same second: an even sample, then one with all requests at one endpoint
		{At: 2.2e9, InFlight: []int{0, 0, 0, 0}}, // skipped: nothing in flight
		{At: 3.2e9, InFlight: []int{2, 2, 2, 2}},
	}}
	got, want := r.inFlightSpread(""), []float64{1, 0}
	if len(got.y) != 2 || math.Abs(got.y[0]-want[0]) > 1e-9 || got.y[1] != 0 || got.x[0] != 0.5 || got.x[1] != 3.5 {
		t.Errorf("got spread %v at seconds %v, want %v at 0.5 and 3.5", got.y, got.x, want)
	}
}
