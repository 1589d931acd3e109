package rank

import (
	"fmt"
	"testing"
)

// The first of ten servers is each one for a tenth of the keys, and never changes.
func TestOf(t *testing.T) {
	first := map[uint32]int{}
	for i := range 10000 {
		key := Key(fmt.Sprint("key", i))
		best := uint32(0)
		for s := range uint32(10) {
			if Of(key, s) > Of(key, best) {
				best = s
			}
		}
		first[best]++
	}
	for s := range uint32(10) {
		if first[s] < 850 || first[s] > 1150 {
			t.Errorf("server %d is first for %d of 10,000 keys, want about 1,000", s, first[s])
		}
	}
	if got := Of(Key("k"), 7); got != 9491779577457108501 {
		t.Errorf("rank %d has changed: nodes of two builds would disagree", got)
	}
}
