package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

// Each of ten endpoints must have the highest score for about a tenth of the keys, and scores must not change between
// builds.
func TestScoreIsEvenAndStable(t *testing.T) {
	firstCounts := map[uint32]int{}
	for i := range 10000 {
		key := HashKey(fmt.Sprint("key", i))
		best := uint32(0)
		for id := range uint32(10) {
			if Score(key, id) > Score(key, best) {
				best = id
			}
		}
		firstCounts[best]++
	}
	for id := range uint32(10) {
		if firstCounts[id] < 850 || firstCounts[id] > 1150 {
			t.Errorf("endpoint %d: got the highest score for %d of 10,000 keys, want about 1,000", id, firstCounts[id])
		}
	}
	if got := Score(HashKey("k"), 7); got != 9491779577457108501 {
		t.Errorf("got score %d, want the one of earlier builds, as nodes of two builds would disagree", got)
	}
}

func TestTopReturnsHighestScores(t *testing.T) {
	scores := []uint64{5, 0, 9, 2, 7, 0, 9, 1}
	identity := func(r uint64) uint64 { return r }
	for n, want := range [][]uint64{{3}, {3, 9}, {3, 9, 9}, {3, 9, 9, 7}, {3, 9, 9, 7, 5}, {3, 9, 9, 7, 5, 2}, {3, 9, 9, 7, 5, 2, 1}, {3, 9, 9, 7, 5, 2, 1}} {
		if got := Top([]uint64{3}, scores, n, identity); !slices.Equal(got, want) {
			t.Errorf("Top with n=%d: got %v, want %v", n, got, want)
		}
	}
}
