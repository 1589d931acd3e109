package estimates

import (
	"bytes"
	"encoding/json"
	"testing"

	"fawnglade/internal/ewma"
	"fawnglade/internal/golden"
)

// TestGoldenJSON holds what one process tells the next, and what a state directory keeps, to the names of earlier builds.
func TestGoldenJSON(t *testing.T) {
	all := All{
		Common: Common{Pods: map[int]*ewma.Pair{1: {A: 1, B: 2, N: 3}, 2: {A: 4}}, Fleet: ewma.Pair{A: 5, B: 6, N: 7}, Way: map[int]float64{0: 8.5, -1: 9}, MeanOf: 10, High: 11},
		Categories: []Category{{Typical: 12, Spread: 13, Fares: 0.14, Asked: 15, Due: 0.16, Taken: 17, Away: 18, Met: 19},
			{Typical: 20, Spread: 21, Fares: 0.22, Asked: 23, Due: 0.24}},
		Servers: map[uint32]Server{7: {Figures{Load: 25, Reported: 26, Drift: 27, Own: ewma.Pair{A: 28, B: 29, N: 30}, High: 31, Known: true, Heard: true}, 32},
			8: {Started: 33}},
	}
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "learned.json", text)
	var read All
	if err := json.Unmarshal(text, &read); err != nil || !read.Sound(2) {
		t.Errorf("read as %+v, %v", read, err)
	}
	if again, err := json.Marshal(read); err != nil || !bytes.Equal(again, text) {
		t.Errorf("read and written again it is %s, %v", again, err)
	}
}
