package idletimeout

import "testing"

const second = int64(1e9)

func TestTrustFallsWithTwoSignsInARow(t *testing.T) {
	trust := New()
	if trust.Died(10 * second) {
		t.Error("one sign is believed")
	}
	trust.Survived(9 * second)
	if trust.Died(8 * second) {
		t.Error("one lived nine seconds between two that were dead after ten and eight")
	}
	trust.Survived(second)
	if !trust.Died(8 * second) {
		t.Error("two in a row are not believed")
	}
	if trust.Confirm(8*second, true, 2*signers); trust.Limit < 1e15 {
		t.Error("one of two voices acts")
	}
	if trust.Confirm(8*second, true, 2*signers); trust.Limit != 6*second {
		t.Errorf("trusted for %d ns, expected three quarters of eight seconds", trust.Limit)
	}
	for range 100 {
		trust.Decay()
	}
	if trust.Limit < 60*second {
		t.Errorf("100 s later trusted for %d ns", trust.Limit)
	}
	if trust.Reset(); trust != (Estimator{Limit: New().Limit, last: 8 * second, said: trust.said}) {
		t.Errorf("restored to %+v", trust)
	}
	trust.Decay() // must not wrap around
	if trust.Limit != New().Limit {
		t.Errorf("whole trust aged to %d", trust.Limit)
	}
}
