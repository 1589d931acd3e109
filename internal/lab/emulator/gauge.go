package emulator

// This file owns the measure of how late the rig itself runs. It must never be steered by what it measures: a machine
// that is short of time makes a day void, not a node guilty.

import (
	"slices"
	"sync"
	"time"
)

const (
	gaugeTick = 2 * time.Millisecond
	gaugeSlot = int64(100 * time.Millisecond)
	// A day is void when the rig overslept by this much in more than one slot of twenty, or sent tasks this late.
	voidLate = int64(30 * time.Millisecond)
	voidPart = 20
)

type gauge struct {
	now func() int64

	mu    sync.Mutex
	slots []int64
}

// run measures until done.
func (g *gauge) run(done <-chan struct{}) {
	last := g.now()
	for {
		select {
		case <-done:
			return
		case <-time.After(gaugeTick):
		}
		now := g.now()
		g.note(last, now, now-last-int64(gaugeTick))
		last = now
	}
}

// note enters how late something was that was due in a span.
func (g *gauge) note(from, to, late int64) {
	if late <= 0 || from < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := from / gaugeSlot; i <= to/gaugeSlot; i++ {
		for int64(len(g.slots)) <= i {
			g.slots = append(g.slots, 0)
		}
		g.slots[i] = max(g.slots[i], late)
	}
}

// late is the worst within half a second of a moment, twice over, as a node on the same machine suffers the same.
func (g *gauge) late(at int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	worst := int64(0)
	for i := max(at/gaugeSlot-5, 0); i <= at/gaugeSlot+5 && i < int64(len(g.slots)); i++ {
		worst = max(worst, g.slots[i])
	}
	return 2 * worst
}

// void tells whether the machine was too busy for the day to mean anything.
func (g *gauge) void() (bool, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sorted := slices.Sorted(slices.Values(g.slots))
	if len(sorted) == 0 {
		return false, 0
	}
	high := sorted[len(sorted)-1-len(sorted)/voidPart]
	return high > voidLate, high
}
