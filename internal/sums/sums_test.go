package sums

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Against plain adding up, over counts of all kinds and changes in between.
func TestAgainstAddingUp(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{0, 1, 2, 3, 7, 8, 9, 100, 1000} {
		var s Sums
		s.Reset(n)
		plain := make([]float64, n)
		for range 3*n + 1 {
			if n > 0 {
				i := draw.IntN(n)
				plain[i] = math.Floor(draw.Float64() * 8) // whole, so that sums are exact; many zeros
				s.Set(i, plain[i])
			}
			total := 0.0
			for _, v := range plain {
				total += v
			}
			if s.Total() != total {
				t.Fatalf("%d: total %v, want %v", n, s.Total(), total)
			}
			x, sum, want := draw.Float64()*(total+1), 0.0, 0
			for want < n && sum+plain[want] <= x {
				sum += plain[want]
				want++
			}
			if got := s.Find(x); got != want {
				t.Fatalf("%d: %v is passed at %d, want %d of %v", n, x, got, want, plain)
			}
		}
	}
}
