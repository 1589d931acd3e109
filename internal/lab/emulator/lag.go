package emulator

// How late the emulator itself runs: on a machine that is short of time a run is void, and no node at fault.

import (
	"slices"
	"sync"
	"time"
)

const (
	lagTick = 2 * time.Millisecond
	lagSlot = int64(100 * time.Millisecond)
	// A run is void if the emulator overslept by this much in more than one slot of twenty, or sent requests this late.
	voidLag   = int64(30 * time.Millisecond)
	voidShare = 20
)

type lagMonitor struct {
	now func() int64

	mu    sync.Mutex
	slots []int64
}

// run measures until done is closed.
func (g *lagMonitor) run(done <-chan struct{}) {
	last := g.now()
	for {
		select {
		case <-done:
			return
		case <-time.After(lagTick):
		}
		now := g.now()
		g.record(last, now, now-last-int64(lagTick))
		last = now
	}
}

// note records how late something was that was due in a span.
func (g *lagMonitor) record(from, to, late int64) {
	if late <= 0 || from < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := from / lagSlot; i <= to/lagSlot; i++ {
		for int64(len(g.slots)) <= i {
			g.slots = append(g.slots, 0)
		}
		g.slots[i] = max(g.slots[i], late)
	}
}

// allowanceAt is twice the worst lag within half a second of a moment, as a node on the same machine suffers the same.
func (g *lagMonitor) allowanceAt(at int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	worst := int64(0)
	for i := max(at/lagSlot-5, 0); i <= at/lagSlot+5 && i < int64(len(g.slots)); i++ {
		worst = max(worst, g.slots[i])
	}
	return 2 * worst
}

// void tells whether the machine was too busy for the run to mean anything.
func (g *lagMonitor) isVoid() (bool, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sorted := slices.Sorted(slices.Values(g.slots))
	if len(sorted) == 0 {
		return false, 0
	}
	high := sorted[len(sorted)-1-len(sorted)/voidShare]
	return high > voidLag, high
}
