package estimates

import (
	"encoding/json"
	"math"
	"testing"

	"fawnglade/internal/ewma"
)

func some() All {
	return All{Common: Common{Pods: map[int]*ewma.Pair{1: {A: 1, N: 1}}, Way: map[int]float64{0: 3}, MeanOf: 5, High: 2},
		Categories: []Category{{Typical: 4, Spread: 2, Fares: 1, Due: 1}},
		Servers:    map[uint32]Server{7: {Figures{Load: 1, Own: ewma.Pair{A: 2, N: 2}, Known: true}, 9}}}
}

// What comes from another process is whole, or is not taken at all.
func TestSound(t *testing.T) {
	text, err := json.Marshal(some())
	if err != nil {
		t.Fatal(err)
	}
	var all All
	if err := json.Unmarshal(text, &all); err != nil || !all.Sound(1) || all.Servers[7] != some().Servers[7] || *all.Pods[1] != *some().Pods[1] {
		t.Errorf("%v, came back as %+v", err, all)
	}
	for name, spoil := range map[string]func(*All){
		"another count of categories": func(a *All) { a.Categories = append(a.Categories, a.Categories[0]) },
		"no ways":                     func(a *All) { a.Way = nil },
		"a pod that is nothing":       func(a *All) { a.Pods[2] = nil },
		"a load below 0":              func(a *All) { a.Servers[7] = Server{Figures{Load: -1}, 9} },
		"a cost without bound":        func(a *All) { a.MeanOf = math.Inf(1) },
		"a spread that is no number":  func(a *All) { a.Categories[0].Spread = math.NaN() },
		"a way below 0":               func(a *All) { a.Way[0] = -1 },
		"a fleet that is no number":   func(a *All) { a.Fleet.A = math.NaN() },
	} {
		a := some()
		if spoil(&a); a.Sound(1) {
			t.Errorf("%s is taken for sound", name)
		}
	}
}
