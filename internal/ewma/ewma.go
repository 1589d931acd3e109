// Package ewma keeps exponentially weighted moving averages of two values that are observed together. A prior stands in
// while there are few observations.
package ewma

// Pair sums observations of two values, in the caller's units. The zero value has no observations. The JSON names are
// kept from earlier builds.
type Pair struct {
	FirstSum  float64 `json:"A"`
	SecondSum float64 `json:"B"`
	Weight    float64 `json:"N"` // decayed count of the observations in the sums
}

// Add adds one observation. Earlier ones decay so that Weight is at most maxWeight, the window of the average.
func (p *Pair) Add(first, second, maxWeight float64) {
	p.Decay(min(1, (maxWeight-1)/max(p.Weight, 1)))
	p.FirstSum += first
	p.SecondSum += second
	p.Weight++
}

// Decay multiplies the weight of all observations by a fraction from 0 to 1.
func (p *Pair) Decay(fraction float64) {
	p.FirstSum *= fraction
	p.SecondSum *= fraction
	p.Weight *= fraction
}

// Means returns the mean of each value, where the priors count as one observation.
func (p *Pair) Means(firstPrior, secondPrior float64) (first, second float64) {
	return (p.FirstSum + firstPrior) / (p.Weight + 1), (p.SecondSum + secondPrior) / (p.Weight + 1)
}

// MeanRatio returns the mean of the first value, a ratio, with a prior of 1.
func (p *Pair) MeanRatio() float64 { return (p.FirstSum + 1) / (p.Weight + 1) }
