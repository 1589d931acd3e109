package fleet

import (
	"fmt"
	"testing"

	"fawnglade/internal/members"
)

func TestCasesInVirtualTime(t *testing.T) {
	for _, c := range Cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 5; seed++ {
				if err := c.Run(NewVirtual(c.Nodes, seed)); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// TestStartOrderWithClockOffsets has clocks a minute apart, one of which is set back by two minutes before its node starts anew.
func TestStartOrderWithClockOffsets(t *testing.T) {
	f := NewVirtual(6, 1)
	f.ClockOffsets[1], f.ClockOffsets[2] = 60e9, -60e9
	var start uint64
	err := runSteps(startAll(f),
		actionStep(func() { start = f.Views()[1].Incarnation; f.Kill(1); f.ClockOffsets[1] = -60e9; f.Step() }),
		func() error { return f.Start(1) },
		waitStep(f, startupPeriods, "the new start goes before the old, though its clock is behind", func(views []*members.View) bool {
			for _, v := range views {
				if v == nil || v.Members[1].State != "up" || v.Members[1].Incarnation <= start {
					return false
				}
			}
			return true
		}),
		holdStep(f, stablePeriods, "nobody is taken for silent", noneFailed(NodeRange(0, 6), NodeRange(0, 6))))
	if err != nil {
		t.Error(err)
	}
}

// TestLargeFleetPartitionsAndMerges starts a large fleet at once, cuts it into halves, and mends it.
func TestLargeFleetPartitionsAndMerges(t *testing.T) {
	const n = 120
	f := NewVirtual(n, 2)
	a, b := NodeRange(0, n/2), NodeRange(n/2, n)
	err := runSteps(startAll(f),
		actionStep(func() { f.AddFaults(cutFault(a, b, false)) }),
		waitStep(f, detectionPeriods, "two views", func(views []*members.View) bool {
			return ViewsMatch(a, onlyUp(a))(views) && ViewsMatch(b, onlyUp(b))(views)
		}),
		actionStep(f.ClearFaults),
		waitStep(f, mergePeriods, "one view", ViewsMatch(NodeRange(0, n), AllInState("up"))))
	if err != nil {
		t.Error(err)
	}
}

func TestVirtualFleetIsDeterministic(t *testing.T) {
	play := func() string {
		f := NewVirtual(20, 3)
		if err := startAll(f)(); err != nil {
			t.Fatal(err)
		}
		f.AddFaults(dropFault(20, 2))
		f.Run(20e9)
		out := ""
		for _, v := range f.Views() {
			out += fmt.Sprintf("%+v\n", *v)
		}
		return out
	}
	first, second := play(), play()
	if first != second {
		t.Error("two plays of one fleet differ")
	}
}

// TestIndirectProbesPreventSuspicion has one node hear another no more, though all others do: nobody suspects anybody, as the others are asked first.
func TestIndirectProbesPreventSuspicion(t *testing.T) {
	f := NewVirtual(6, 1)
	if err := startAll(f)(); err != nil {
		t.Fatal(err)
	}
	f.AddFaults(cutFault([]int{0}, []int{1}, true))
	f.Run(60 * f.ProtocolPeriodNs)
	for i, c := range f.Counters() {
		if c.Suspicions != 0 {
			t.Errorf("n%d raised %d doubts", i, c.Suspicions)
		}
	}
}
