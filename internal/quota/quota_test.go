package quota

import "testing"

func TestShares(t *testing.T) {
	s := New([]float64{0.25, 0.75})
	within := [2]int{}
	for i := range 4000 {
		customer := i % 2 // each asks for half
		if !s.Exceeded(customer, false) {
			within[customer]++
		}
	}
	if within[0] < 990 || within[0] > 1010 || within[1] < 1990 {
		t.Errorf("%v of 2,000 each within shares of a quarter and three quarters, want 1,000 and all", within)
	}
	before := s.left[0]
	for range 100 {
		s.Exceeded(0, true)
	}
	if s.left[0] != before || s.Exceeded(7, false) {
		t.Error("what is asked for again counts, or a customer without a share is beyond it")
	}
}
