package idletimeout

import "testing"

const second = int64(1e9)

func TestTrustFallsWithTwoSignsInARow(t *testing.T) {
	trust := Whole()
	if trust.Died(10 * second) {
		t.Error("one sign is believed")
	}
	trust.Lived(9 * second)
	if trust.Died(8 * second) {
		t.Error("one lived nine seconds between two that were dead after ten and eight")
	}
	trust.Lived(second)
	if !trust.Died(8 * second) {
		t.Error("two in a row are not believed")
	}
	if trust.Believe(8*second, true, 2*signers); trust.For < 1e15 {
		t.Error("one of two voices acts")
	}
	if trust.Believe(8*second, true, 2*signers); trust.For != 6*second {
		t.Errorf("trusted for %d ns, expected three quarters of eight seconds", trust.For)
	}
	for range 100 {
		trust.Age()
	}
	if trust.For < 60*second {
		t.Errorf("100 s later trusted for %d ns", trust.For)
	}
	if trust.Restore(); trust != (Trust{For: Whole().For, last: 8 * second, said: trust.said}) {
		t.Errorf("restored to %+v", trust)
	}
	trust.Age() // must not wrap around
	if trust.For != Whole().For {
		t.Errorf("whole trust aged to %d", trust.For)
	}
}
