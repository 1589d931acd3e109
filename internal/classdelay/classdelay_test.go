package classdelay

import (
	"math"
	"testing"
)

const second = int64(1e9)

func newTracker(tenants int) *Tracker {
	tracker := New(2, tenants)
	tracker.AddObjective(second)
	tracker.AddObjective(second / 2)
	return tracker
}

// observeEveryGroup lets every class and tenant have an answer each tenth of a second for so long, late by what late says.
func observeEveryGroup(tracker *Tracker, from, to int64, late func(class, tenant int) float64) {
	for now := from; now < to; now += second / 10 {
		for class := range tracker.groups[0] {
			for tenant := range tracker.groups[1] {
				tracker.GroupsOf(class, tenant).Observe(now, now-second/20, 1e7+late(class, tenant), 1e7)
			}
		}
	}
}

func TestDelayAttributedToClassOrTenant(t *testing.T) {
	for name, c := range map[string]struct {
		late func(class, tenant int) float64
		want func(class, tenant int) float64
	}{
		"all": {func(int, int) float64 { return 1e9 }, func(int, int) float64 { return 0 }},
		"class": {
			func(c, _ int) float64 { return 1e9 * float64(c) }, func(c, _ int) float64 { return 1e9 * float64(c) },
		},
		"tenant": {
			func(_, u int) float64 { return 1e9 * float64(u/2) }, func(_, u int) float64 { return 1e9 * float64(u/2) },
		},
		"little": {func(c, _ int) float64 { return 1e7 * float64(c) }, func(int, int) float64 { return 0 }},
	} {
		tracker := newTracker(3)
		observeEveryGroup(tracker, second, 4*second, c.late)
		for class := range 2 {
			for tenant := range 3 {
				if got, want := tracker.GroupsOf(class, tenant).Delay(4*second), c.want(class, tenant); math.Abs(got-want) > 1e7 {
					t.Errorf(
						"%s: class %d of tenant %d waits %.0f ms, expected %.0f", name, class, tenant, got/1e6,
						want/1e6,
					)
				}
			}
		}
	}
}

func TestNoDelayForHeavyRequestsUnderOverload(t *testing.T) {
	tracker := newTracker(1)
	for now := second; now < 4*second; now += second / 10 {
		tracker.GroupsOf(0, 0).Observe(now, now, 2e8, 2e7)
		tracker.GroupsOf(1, 0).Observe(now, now, 8e8, 8e7)
	}
	if w := tracker.GroupsOf(1, 0).Delay(4 * second); w > 0 {
		t.Errorf("all take ten times their work, and the heavy wait %.0f ms", w/1e6)
	}
}

func TestDelayLifecycle(t *testing.T) {
	tracker := newTracker(1)
	observeEveryGroup(tracker, second, 4*second, func(c, _ int) float64 { return 2e9 * float64(c) })
	slow, quick := tracker.GroupsOf(1, 0), tracker.GroupsOf(0, 0)
	now := 20 * second // nobody was answered for long
	if slow.Delay(now) > 0 {
		t.Error("set against answers of sixteen seconds ago")
	}
	for range samplesKept {
		quick.CountGivenUp()
	}
	if slow.Delay(now) == 0 {
		t.Error("others are given up, and their last answers do not count")
	}
	if slow.AddInFlight(now, 1); slow.AllowsTrial(now, 1) || !quick.AllowsTrial(now, 1) {
		t.Error("one is out of what waits")
	}
	slow.AddInFlight(now+second, -1)
	if now += second; !slow.AllowsTrial(now, 1) || slow.AllowsTrial(now+2*second, 0.25) || !slow.AllowsTrial(now+4*second, 0.25) {
		t.Error("a try took a second, and a quarter of the time may be spent on them")
	}
	if slow.Observe(now, now-second, 1e7, 1e7); slow.Delay(now) != 0 {
		t.Error("an answer in time leaves the delay as it was")
	}
}

func TestOverdueAttemptsAreInfinitelyLate(t *testing.T) {
	tracker := newTracker(1)
	observeEveryGroup(tracker, second, 2*second, func(int, int) float64 { return 0 })
	slow := tracker.GroupsOf(1, 0)
	for n := range int64(samplesKept) {
		slow.Observe(2*second+n, n, math.Inf(1), 1e7)
	}
	if w := slow.Delay(2*second + samplesKept); !math.IsInf(w, 1) {
		t.Errorf("three overdue and none answered: waits %g", w)
	}
	if slow.Observe(3*second, 1, 31e7, 1e7); slow.Delay(3*second) != 3e8 {
		t.Errorf("one of them late by 300 ms: waits %g", slow.Delay(3*second))
	}
}
