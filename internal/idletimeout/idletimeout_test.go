package idletimeout

import "testing"

const second = int64(1e9)

func TestLimitLoweredByConsecutiveDeadConnections(t *testing.T) {
	estimator := New()
	if estimator.RecordDead(10 * second) {
		t.Error("one dead connection: got a confirmation, want none")
	}
	estimator.RecordAlive(9 * second)
	if estimator.RecordDead(8 * second) {
		t.Error("a connection alive after 9 s of idle time between two dead ones: got a confirmation, want none")
	}
	estimator.RecordAlive(second)
	if !estimator.RecordDead(8 * second) {
		t.Error("two dead connections in a row: got no confirmation, want one")
	}
	if estimator.Confirm(8*second, true, 2*nodesPerConfirmation); estimator.Limit < 1e15 {
		t.Error("one of the two confirmations of the quorum: got a lower limit, want it unchanged")
	}
	if estimator.Confirm(8*second, true, 2*nodesPerConfirmation); estimator.Limit != 6*second {
		t.Errorf("after the quorum: got a limit of %d ns, want three quarters of 8 s", estimator.Limit)
	}
	for range 100 {
		estimator.Decay()
	}
	if estimator.Limit < 60*second {
		t.Errorf("100 s later: got a limit of %d ns, want at least 60 s", estimator.Limit)
	}
	if estimator.Reset(); estimator != (Estimator{Limit: New().Limit, lastDeadIdle: 8 * second, confirmations: estimator.confirmations}) {
		t.Errorf("after Reset: got %+v, want no limit and no dead connections in a row", estimator)
	}
	estimator.Decay() // must not overflow
	if estimator.Limit != New().Limit {
		t.Errorf("Decay without a limit: got a limit of %d, want it unchanged", estimator.Limit)
	}
}
