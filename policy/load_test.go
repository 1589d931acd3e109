package policy

import (
	"math"
	"testing"
)

func TestRisePerSend(t *testing.T) {
	s := &endpoint{}
	s.updateLoad(0, 0.2)
	s.sendsSinceReport = 4
	s.updateLoad(1, 0.6)
	if math.Abs(s.RisePerSend-0.1) > 1e-9 {
		t.Errorf("a rise of 0.4 over 4 attempts gives a rise per send of %g", s.RisePerSend)
	}
	s.sendsSinceReport = 4
	if s.updateLoad(2, 0.5); s.RisePerSend != 0 {
		t.Errorf("a falling load gives a rise per send of %g", s.RisePerSend)
	}
	if s.updateLoad(3, 0.9); s.RisePerSend != 0 {
		t.Errorf("a rise over no attempts gives a rise per send of %g", s.RisePerSend)
	}
}

func TestLoadOf(t *testing.T) {
	full := LoadReport{Utilization: 0.5, QueueLength: 3, ServiceTime: 40}
	for name, c := range map[string]struct {
		settings Settings
		report   LoadReport
		want     float64
		reported bool
	}{
		"queue":                        {Settings{}, full, 4, true},
		"utilization":                  {Settings{ReportsUtilization: true}, full, 0.5, true},
		"utilization and service time": {Settings{ReportsUtilization: true, ReportsServiceTime: true}, full, 20, true},
		"no service time in it": {
			Settings{ReportsUtilization: true, ReportsServiceTime: true}, LoadReport{0.5, 3, -1}, 0.5, true,
		},
		"no utilization in it": {Settings{ReportsUtilization: true}, LoadReport{-1, 3, 40}, 4, true},
		"nothing in it":        {Settings{}, LoadReport{-1, -1, -1}, 0, false},
	} {
		if got, reported := c.settings.loadOf(&c.report); reported != c.reported || reported && got != c.want {
			t.Errorf("%s: load %g, reported %t, expected %g, %t", name, got, reported, c.want, c.reported)
		}
	}
}
