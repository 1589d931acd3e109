// Package ewma owns sums of what was seen that lose weight as they age, with a prior for what they lack. It must
// never know what they are of.
package ewma

// Pair sums up two figures that come together. The zero value has seen nothing.
type Pair struct {
	A      float64 `json:"A"` // the sum of the first figure
	B      float64 `json:"B"` // and of the second
	Weight float64 `json:"N"` // the weight of what they hold
}

// Add takes in one sighting. Those before it fade so that the weight stays at most.
func (p *Pair) Add(a, b, most float64) {
	p.Decay(min(1, (most-1)/max(p.Weight, 1)))
	p.A, p.B, p.Weight = p.A+a, p.B+b, p.Weight+1
}

// Decay leaves a part of all that was seen.
func (p *Pair) Decay(part float64) { p.A, p.B, p.Weight = p.A*part, p.B*part, p.Weight*part }

// Means is the mean of each figure, with a prior that counts as one sighting.
func (p *Pair) Means(a, b float64) (float64, float64) {
	return (p.A + a) / (p.Weight + 1), (p.B + b) / (p.Weight + 1)
}

// Level is the mean of the first figure over a prior of 1.
func (p *Pair) Level() float64 { return (p.A + 1) / (p.Weight + 1) }
