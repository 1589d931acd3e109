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
		t.Errorf("got rise per send %g for a rise of 0.4 over 4 sends, want 0.1", ep.RisePerSend)
	}
	ep.sendsSinceReport = 4
	if ep.updateLoad(2, 0.5); ep.RisePerSend != 0 {
		t.Errorf("got rise per send %g for a falling load, want 0", ep.RisePerSend)
	}
	if ep.updateLoad(3, 0.9); ep.RisePerSend != 0 {
		t.Errorf("got rise per send %g for a rise without sends, want 0", ep.RisePerSend)
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
		"report without service time": {
			Settings{ReportsUtilization: true, ReportsServiceTime: true}, LoadReport{0.5, 3, -1}, 0.5, true,
		},
		"report without utilization": {Settings{ReportsUtilization: true}, LoadReport{-1, 3, 40}, 4, true},
		"empty report":               {Settings{}, LoadReport{-1, -1, -1}, 0, false},
	} {
		if got, reported := test.settings.loadOf(&test.report); reported != test.reported || reported && got != test.want {
			t.Errorf("%s: got load %g, reported %t, want %g, %t", name, got, reported, test.want, test.reported)
		}
	}
}
