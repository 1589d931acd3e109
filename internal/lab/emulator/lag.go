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
func (m *lagMonitor) run(done <-chan struct{}) {
	last := m.now()
	for {
		select {
		case <-done:
			return
		case <-time.After(lagTick):
		}
		now := m.now()
		m.record(last, now, now-last-int64(lagTick))
		last = now
	}
}

// note records how late something was that was due in a span.
func (m *lagMonitor) record(from, to, late int64) {
	if late <= 0 || from < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := from / lagSlot; i <= to/lagSlot; i++ {
		for int64(len(m.slots)) <= i {
			m.slots = append(m.slots, 0)
		}
		m.slots[i] = max(m.slots[i], late)
	}
}

// allowanceAt is twice the worst lag within half a second of a moment, as a node on the same machine suffers the same.
func (m *lagMonitor) allowanceAt(at int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	worst := int64(0)
	for i := max(at/lagSlot-5, 0); i <= at/lagSlot+5 && i < int64(len(m.slots)); i++ {
		worst = max(worst, m.slots[i])
	}
	return 2 * worst
}

// void tells whether the machine was too busy for the run to mean anything.
func (m *lagMonitor) isVoid() (bool, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sorted := slices.Sorted(slices.Values(m.slots))
	if len(sorted) == 0 {
		return false, 0
	}
	highLag := sorted[len(sorted)-1-len(sorted)/voidShare]
	return highLag > voidLag, highLag
}
