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

// TestClocksAMinuteOff has clocks a minute apart, one of which is set back by two minutes before its node starts anew.
func TestClocksAMinuteOff(t *testing.T) {
	f := NewVirtual(6, 1)
	f.ClockOffsets[1], f.ClockOffsets[2] = 60e9, -60e9
	var start uint64
	err := inOrder(startAll(f),
		do(func() { start = f.Views()[1].Incarnation; f.Kill(1); f.ClockOffsets[1] = -60e9; f.Step() }),
		func() error { return f.Start(1) },
		until(f, meet, "the new start goes before the old, though its clock is behind", func(views []*members.View) bool {
			for _, v := range views {
				if v == nil || v.Members[1].State != "up" || v.Members[1].Incarnation <= start {
					return false
				}
			}
			return true
		}),
		hold(f, calm, "nobody is taken for silent", neverFailed(Numbers(0, 6), Numbers(0, 6))))
	if err != nil {
		t.Error(err)
	}
}

// TestThousandsAgree starts a large fleet at once, cuts it into halves, and mends it.
func TestThousandsAgree(t *testing.T) {
	const n = 120
	f := NewVirtual(n, 2)
	a, b := Numbers(0, n/2), Numbers(n/2, n)
	err := inOrder(startAll(f),
		do(func() { f.AddFaults(cut(a, b, false)) }),
		until(f, notice, "two views", func(views []*members.View) bool { return Agree(a, sides(a))(views) && Agree(b, sides(b))(views) }),
		do(f.ClearFaults),
		until(f, rejoin, "one view", Agree(Numbers(0, n), Each("up"))))
	if err != nil {
		t.Error(err)
	}
}

func TestTheSameFleetIsTheSameTwice(t *testing.T) {
	play := func() string {
		f := NewVirtual(20, 3)
		if err := startAll(f)(); err != nil {
			t.Fatal(err)
		}
		f.AddFaults(drop(20, 2))
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

// TestOthersVouch has one node hear another no more, though all others do: nobody suspects anybody, as the others are asked first.
func TestOthersVouch(t *testing.T) {
	f := NewVirtual(6, 1)
	if err := startAll(f)(); err != nil {
		t.Fatal(err)
	}
	f.AddFaults(cut([]int{0}, []int{1}, true))
	f.Run(60 * f.Round)
	for i, c := range f.Counts() {
		if c.Suspicions != 0 {
			t.Errorf("n%d raised %d doubts", i, c.Suspicions)
		}
	}
}
