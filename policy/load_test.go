package policy

import (
	"math"
	"testing"
)

func TestRisePerSend(t *testing.T) {
	ep := &endpoint{}
	ep.updateLoad(0, 0.2)
	ep.sendsSinceReport = 4
	ep.updateLoad(1, 0.6)
	if math.Abs(ep.RisePerSend-0.1) > 1e-9 {
		t.Errorf("a rise of 0.4 over 4 attempts gives a rise per send of %g", ep.RisePerSend)
	}
	ep.sendsSinceReport = 4
	if ep.updateLoad(2, 0.5); ep.RisePerSend != 0 {
		t.Errorf("a falling load gives a rise per send of %g", ep.RisePerSend)
	}
	if ep.updateLoad(3, 0.9); ep.RisePerSend != 0 {
		t.Errorf("a rise over no attempts gives a rise per send of %g", ep.RisePerSend)
	}
}

func TestLoadOf(t *testing.T) {
	allValues := LoadReport{Utilization: 0.5, QueueLength: 3, ServiceTime: 40}
	for name, test := range map[string]struct {
		settings Settings
		report   LoadReport
		want     float64
		reported bool
	}{
		"queue":                        {Settings{}, allValues, 4, true},
		"utilization":                  {Settings{ReportsUtilization: true}, allValues, 0.5, true},
		"utilization and service time": {Settings{ReportsUtilization: true, ReportsServiceTime: true}, allValues, 20, true},
		"no service time in it": {
			Settings{ReportsUtilization: true, ReportsServiceTime: true}, LoadReport{0.5, 3, -1}, 0.5, true,
		},
		"no utilization in it": {Settings{ReportsUtilization: true}, LoadReport{-1, 3, 40}, 4, true},
		"nothing in it":        {Settings{}, LoadReport{-1, -1, -1}, 0, false},
	} {
		if got, reported := test.settings.loadOf(&test.report); reported != test.reported || reported && got != test.want {
			t.Errorf("%s: load %g, reported %t, expected %g, %t", name, got, reported, test.want, test.reported)
		}
	}
}
