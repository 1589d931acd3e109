package emulator

// Measures how late the emulator itself runs. On an overloaded machine a run is void, as late responses are then not
// the nodes' fault.

import (
	"slices"
	"sync"
	"time"
)

const (
	lagTick = 2 * time.Millisecond
	lagSlot = int64(100 * time.Millisecond)
	// A run is void if in more than one of voidShare slots, the emulator woke up or sent a request later than voidLag.
	voidLag   = int64(30 * time.Millisecond)
	voidShare = 20
)

// lagMonitor records the worst lag of the emulator in each time slot.
type lagMonitor struct {
	now func() int64

	mu    sync.Mutex
	slots []int64 // worst lag in nanoseconds, by slot of lagSlot
}

// run measures the lag of timers until done is closed.
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

// record records that something that was due between from and to happened late nanoseconds too late.
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

// allowanceAt returns by how much time limits are extended at a time: twice the worst lag within half a second of it,
// because nodes on the same machine are delayed too.
func (m *lagMonitor) allowanceAt(at int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	worst := int64(0)
	for i := max(at/lagSlot-5, 0); i <= at/lagSlot+5 && i < int64(len(m.slots)); i++ {
		worst = max(worst, m.slots[i])
	}
	return 2 * worst
}

// isVoid reports whether the machine was too busy for the run to count, and the lag in all but the worst twentieth of
// the slots.
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
