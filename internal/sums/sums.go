// Package sums owns a list of numbers of which one can be changed, and the place found at which the sum passes a
// value, in time that grows with the logarithm of their count (Fenwick, "A new data structure for cumulative frequency
// tables", 1994). It must never know what the numbers stand for.
package sums

// Sums holds numbers of at least 0. The zero value holds none.
type Sums struct {
	values, tree []float64
	top          int // the largest power of two that is no more than the count
}

// Reset makes it hold n zeros.
func (s *Sums) Reset(n int) {
	s.values = append(s.values[:0], make([]float64, n)...)
	s.tree = append(s.tree[:0], make([]float64, n+1)...)
	for s.top = 1; s.top*2 <= n; s.top *= 2 {
	}
}

// At returns a number.
func (s *Sums) At(i int) float64 { return s.values[i] }

// Set changes a number. Sums keep the error of each change, a part of 2^-53 of the largest number there was, until the
// next Reset.
func (s *Sums) Set(i int, v float64) {
	by := v - s.values[i]
	if s.values[i] = v; by == 0 {
		return
	}
	for i++; i < len(s.tree); i += i & -i {
		s.tree[i] += by
	}
}

// Total is the sum of all.
func (s *Sums) Total() (sum float64) {
	for i := len(s.tree) - 1; i > 0; i &= i - 1 {
		sum += s.tree[i]
	}
	return sum
}

// Find returns the first place up to which the numbers sum to more than x; the count if there is none.
func (s *Sums) Find(x float64) int {
	at := 0
	for bit := s.top; bit > 0; bit /= 2 {
		if next := at + bit; next < len(s.tree) && s.tree[next] <= x {
			at, x = next, x-s.tree[next]
		}
	}
	return at
}
