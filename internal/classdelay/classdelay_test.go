package classdelay

import (
	"math"
	"testing"
)

const second = int64(1e9)

func book(customers int) *Tracker {
	b := New(2, customers)
	b.AddObjective(second)
	b.AddObjective(second / 2)
	return b
}

// play lets every class and tenant have an answer each tenth of a second for so long, late by what late says.
func play(b *Tracker, from, to int64, late func(category, customer int) float64) {
	for now := from; now < to; now += second / 10 {
		for category := range b.sorts[0] {
			for customer := range b.sorts[1] {
				b.Of(category, customer).Observe(now, now-second/20, 1e7+late(category, customer), 1e7)
			}
		}
	}
}

func TestWhoseLagItIs(t *testing.T) {
	for name, c := range map[string]struct {
		late func(category, customer int) float64
		want func(category, customer int) float64
	}{
		"all":      {func(int, int) float64 { return 1e9 }, func(int, int) float64 { return 0 }},
		"category": {func(c, _ int) float64 { return 1e9 * float64(c) }, func(c, _ int) float64 { return 1e9 * float64(c) }},
		"customer": {func(_, u int) float64 { return 1e9 * float64(u/2) }, func(_, u int) float64 { return 1e9 * float64(u/2) }},
		"little":   {func(c, _ int) float64 { return 1e7 * float64(c) }, func(int, int) float64 { return 0 }},
	} {
		b := book(3)
		play(b, second, 4*second, c.late)
		for category := range 2 {
			for customer := range 3 {
				if got, want := b.Of(category, customer).Delay(4*second), c.want(category, customer); math.Abs(got-want) > 1e7 {
					t.Errorf("%s: category %d of customer %d waits %.0f ms, expected %.0f", name, category, customer, got/1e6, want/1e6)
				}
			}
		}
	}
}

func TestHeavyTasksInAJamDoNotWait(t *testing.T) {
	b := book(1)
	for now := second; now < 4*second; now += second / 10 {
		b.Of(0, 0).Observe(now, now, 2e8, 2e7)
		b.Of(1, 0).Observe(now, now, 8e8, 8e7)
	}
	if w := b.Of(1, 0).Delay(4 * second); w > 0 {
		t.Errorf("all take ten times their work, and the heavy wait %.0f ms", w/1e6)
	}
}

func TestALagEndsWithOneAnswerAndIsHeldByThoseGivenUp(t *testing.T) {
	b := book(1)
	play(b, second, 4*second, func(c, _ int) float64 { return 2e9 * float64(c) })
	slow, quick := b.Of(1, 0), b.Of(0, 0)
	now := 20 * second // nobody was answered for long
	if slow.Delay(now) > 0 {
		t.Error("set against answers of sixteen seconds ago")
	}
	for range kept {
		quick.CountGivenUp()
	}
	if slow.Delay(now) == 0 {
		t.Error("others are given up, and their last answers do not count")
	}
	if slow.CountInFlight(now, 1); slow.MayTry(now, 1) || !quick.MayTry(now, 1) {
		t.Error("one is out of what waits")
	}
	slow.CountInFlight(now+second, -1)
	if now += second; !slow.MayTry(now, 1) || slow.MayTry(now+2*second, 0.25) || !slow.MayTry(now+4*second, 0.25) {
		t.Error("a try took a second, and a quarter of the time may be spent on them")
	}
	if slow.Observe(now, now-second, 1e7, 1e7); slow.Delay(now) != 0 {
		t.Error("an answer in time leaves the lag as it was")
	}
}

func TestOverdueHandOffsCountUntilTheyAreAnswered(t *testing.T) {
	b := book(1)
	play(b, second, 2*second, func(int, int) float64 { return 0 })
	slow := b.Of(1, 0)
	for n := range int64(kept) {
		slow.Observe(2*second+n, n, math.Inf(1), 1e7)
	}
	if w := slow.Delay(2*second + kept); !math.IsInf(w, 1) {
		t.Errorf("three overdue and none answered: waits %g", w)
	}
	if slow.Observe(3*second, 1, 31e7, 1e7); slow.Delay(3*second) != 3e8 {
		t.Errorf("one of them late by 300 ms: waits %g", slow.Delay(3*second))
	}
}
