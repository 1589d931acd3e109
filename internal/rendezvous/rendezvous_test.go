package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

// The first of ten endpoints is each one for a tenth of the keys, and never changes.
func TestScoreIsEvenAndStable(t *testing.T) {
	first := map[uint32]int{}
	for i := range 10000 {
		key := HashKey(fmt.Sprint("key", i))
		best := uint32(0)
		for s := range uint32(10) {
			if Score(key, s) > Score(key, best) {
				best = s
			}
		}
		first[best]++
	}
	for s := range uint32(10) {
		if first[s] < 850 || first[s] > 1150 {
			t.Errorf("endpoint %d is first for %d of 10,000 keys, want about 1,000", s, first[s])
		}
	}
	if got := Score(HashKey("k"), 7); got != 9491779577457108501 {
		t.Errorf("rank %d has changed: nodes of two builds would disagree", got)
	}
}

func TestTopReturnsHighestScores(t *testing.T) {
	all := []uint64{5, 0, 9, 2, 7, 0, 9, 1}
	same := func(r uint64) uint64 { return r }
	for n, want := range [][]uint64{{3}, {3, 9}, {3, 9, 9}, {3, 9, 9, 7}, {3, 9, 9, 7, 5}, {3, 9, 9, 7, 5, 2}, {3, 9, 9, 7, 5, 2, 1}, {3, 9, 9, 7, 5, 2, 1}} {
		if got := Top([]uint64{3}, all, n, same); !slices.Equal(got, want) {
			t.Errorf("the first %d: %v, expected %v", n, got, want)
		}
	}
}
