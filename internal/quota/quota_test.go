package quota

import "testing"

func TestQuotaExceeded(t *testing.T) {
	quotas := New([]float64{0.25, 0.75})
	within := [2]int{}
	for i := range 4000 {
		tenant := i % 2 // each asks for half
		if !quotas.Exceeded(tenant, false) {
			within[tenant]++
		}
	}
	if within[0] < 990 || within[0] > 1010 || within[1] < 1990 {
		t.Errorf("%v of 2,000 each within shares of a quarter and three quarters, want 1,000 and all", within)
	}
	before := quotas.available[0]
	for range 100 {
		quotas.Exceeded(0, true)
	}
	if quotas.available[0] != before || quotas.Exceeded(7, false) {
		t.Error("what is asked for again counts, or a tenant without a share is beyond it")
	}
}
