package ewma

import (
	"math"
	"testing"
)

func TestPair(t *testing.T) {
	var p Pair
	if first, second := p.Means(3, 4); first != 3 || second != 4 || p.MeanRatio() != 1 {
		t.Errorf("without observations: got means %v and %v, ratio %v; want the priors 3, 4 and 1", first, second, p.MeanRatio())
	}
	p.Add(5, 0, 10)
	if first, second := p.Means(1, 4); first != 3 || second != 2 || p.MeanRatio() != 3 {
		t.Errorf("after observing 5 and 0: got means %v and %v, ratio %v; want 3, 2 and 3, half way to the priors", first, second, p.MeanRatio())
	}
	for range 1000 {
		p.Add(7, 1, 10)
	}
	if math.Abs(p.Weight-10) > 1e-9 || math.Abs(p.FirstSum/p.Weight-7) > 1e-9 {
		t.Errorf("after 1000 observations of 7: got %+v, want a weight of 10 and a mean of 7", p)
	}
	if p.Decay(0.5); math.Abs(p.Weight-5) > 1e-9 || math.Abs(p.MeanRatio()-6) > 1e-9 {
		t.Errorf("after decay by half: got %+v, ratio %v; want a weight of 5 and a ratio of 6", p, p.MeanRatio())
	}
}
