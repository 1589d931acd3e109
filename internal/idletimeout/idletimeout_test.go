package idletimeout

import "testing"

const second = int64(1e9)

func TestLimitLoweredByConsecutiveDeadConnections(t *testing.T) {
	estimator := New()
	if estimator.RecordDead(10 * second) {
		t.Error("one dead connection confirms")
	}
	estimator.RecordAlive(9 * second)
	if estimator.RecordDead(8 * second) {
		t.Error("one lived nine seconds between two that were dead after ten and eight")
	}
	estimator.RecordAlive(second)
	if !estimator.RecordDead(8 * second) {
		t.Error("two in a row do not confirm")
	}
	if estimator.Confirm(8*second, true, 2*nodesPerConfirmation); estimator.Limit < 1e15 {
		t.Error("one of two confirmations acts")
	}
	if estimator.Confirm(8*second, true, 2*nodesPerConfirmation); estimator.Limit != 6*second {
		t.Errorf("trusted for %d ns, expected three quarters of eight seconds", estimator.Limit)
	}
	for range 100 {
		estimator.Decay()
	}
	if estimator.Limit < 60*second {
		t.Errorf("100 s later trusted for %d ns", estimator.Limit)
	}
	if estimator.Reset(); estimator != (Estimator{Limit: New().Limit, lastDeadIdle: 8 * second, confirmations: estimator.confirmations}) {
		t.Errorf("restored to %+v", estimator)
	}
	estimator.Decay() // must not wrap around
	if estimator.Limit != New().Limit {
		t.Errorf("full trust decayed to %d", estimator.Limit)
	}
}
