package quota

import "testing"

func TestQuotaExceeded(t *testing.T) {
	quotas := New([]float64{0.25, 0.75})
	withinQuota := [2]int{}
	for i := range 4000 {
		tenant := i % 2 // each tenant sends half of the requests
		if !quotas.Exceeded(tenant, false) {
			withinQuota[tenant]++
		}
	}
	if withinQuota[0] < 990 || withinQuota[0] > 1010 || withinQuota[1] < 1990 {
		t.Errorf("shares of 0.25 and 0.75, 2,000 requests each: got %v within quota, want about 1,000 and all", withinQuota)
	}
	before := quotas.available[0]
	for range 100 {
		quotas.Exceeded(0, true)
	}
	if quotas.available[0] != before || quotas.Exceeded(7, false) {
		t.Error("want retries not to be counted, and a tenant without a share never to exceed its quota")
	}
}
