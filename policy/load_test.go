package policy

import (
	"math"
	"testing"
)

func TestRisePerSendIsTheLastRiseOverItsSends(t *testing.T) {
	s := &endpoint{}
	s.takeReport(0, 0.2)
	s.sendsSinceReport = 4
	s.takeReport(1, 0.6)
	if math.Abs(s.RisePerSend-0.1) > 1e-9 {
		t.Errorf("a rise of 0.4 over 4 hand-offs gives a drift of %g", s.RisePerSend)
	}
	s.sendsSinceReport = 4
	if s.takeReport(2, 0.5); s.RisePerSend != 0 {
		t.Errorf("a falling load gives a drift of %g", s.RisePerSend)
	}
	if s.takeReport(3, 0.9); s.RisePerSend != 0 {
		t.Errorf("a rise over no hand-offs gives a drift of %g", s.RisePerSend)
	}
}
