package ewma

import (
	"math"
	"testing"
)

func TestPair(t *testing.T) {
	var p Pair
	if a, b := p.Means(3, 4); a != 3 || b != 4 || p.MeanRatio() != 1 {
		t.Errorf("nothing seen: %v %v %v, want the prior", a, b, p.MeanRatio())
	}
	p.Add(5, 0, 10)
	if a, b := p.Means(1, 4); a != 3 || b != 2 || p.MeanRatio() != 3 {
		t.Errorf("one sighting of 5 and 0: %v %v %v, want half way to the prior", a, b, p.MeanRatio())
	}
	for range 1000 {
		p.Add(7, 1, 10)
	}
	if math.Abs(p.Weight-10) > 1e-9 || math.Abs(p.FirstSum/p.Weight-7) > 1e-9 {
		t.Errorf("%+v, want a weight of ten and a mean of 7", p)
	}
	if p.Decay(0.5); math.Abs(p.Weight-5) > 1e-9 || math.Abs(p.MeanRatio()-6) > 1e-9 {
		t.Errorf("%+v at half, level %v", p, p.MeanRatio())
	}
}
