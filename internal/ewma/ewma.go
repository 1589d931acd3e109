// Package ewma keeps exponentially weighted moving averages of values that are observed two at a time, with a prior for
// what has not been observed.
package ewma

// Pair sums up observations of two values, in whatever units the caller gives them. The zero value has none. The JSON
// names are those of earlier builds.
type Pair struct {
	FirstSum  float64 `json:"A"`
	SecondSum float64 `json:"B"`
	Weight    float64 `json:"N"` // decayed count of the observations in the sums
}

// Add takes in one observation. Earlier ones decay so that Weight is at most maxWeight, the window of the average.
func (p *Pair) Add(first, second, maxWeight float64) {
	p.Decay(min(1, (maxWeight-1)/max(p.Weight, 1)))
	p.FirstSum += first
	p.SecondSum += second
	p.Weight++
}

// Decay multiplies the weight of all observations by a part from 0 to 1.
func (p *Pair) Decay(part float64) {
	p.FirstSum *= part
	p.SecondSum *= part
	p.Weight *= part
}

// Means returns the mean of each value; the priors count as one observation.
func (p *Pair) Means(firstPrior, secondPrior float64) (first, second float64) {
	return (p.FirstSum + firstPrior) / (p.Weight + 1), (p.SecondSum + secondPrior) / (p.Weight + 1)
}

// Level returns the mean of the first value, a ratio, with a prior of 1.
func (p *Pair) MeanRatio() float64 { return (p.FirstSum + 1) / (p.Weight + 1) }
