package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// maxDeviation from a line, of its own value, up to which a point is on it.
const maxDeviation = 0.25

// smallest values that are divided by, or taken the logarithm of.
const (
	minSquare = 1e-24
	minValue  = 1e-12
)

// Fit is a line through measured points by least squares of relative errors: each point has a weight of one over its
// value squared, so that small sizes count as much as large ones. Values are in the unit of the figure.
type Fit struct {
	Slope        float64 `json:"slope"` // for one more of the size
	Intercept    float64 `json:"intercept"`
	Residual     float64 `json:"residual"`                // root mean square of the relative errors
	BreaksBeyond float64 `json:"breaks_beyond,omitempty"` // last size up to which all points are within maxDeviation of a line; 0: it holds
	Power        float64 `json:"power,omitempty"`         // beyond a break: the exponent with which the last two points grow
	Level        float64 `json:"level,omitempty"`         // beyond a break: the value at size 1 by that exponent
}

// regression is a weighted line with the relative errors of its points.
type regression struct {
	slope, intercept float64
	residual, worst  float64 // root mean square, and largest
}

func regress(points []Point) regression {
	var sizes, values, weights []float64
	for _, p := range points {
		sizes = append(sizes, p.Size)
		values = append(values, p.Value)
		weights = append(weights, 1/math.Max(p.Value*p.Value, minSquare))
	}
	var r regression
	r.intercept, r.slope = stat.LinearRegression(sizes, values, weights, false)
	sum := 0.0
	for _, p := range points {
		deviation := math.Abs(r.intercept+r.slope*p.Size-p.Value) / math.Max(math.Abs(p.Value), minValue)
		sum += deviation * deviation
		r.worst = math.Max(r.worst, deviation)
	}
	r.residual = math.Sqrt(sum / float64(len(points)))
	return r
}

// fitLine fits a line, and finds where it breaks; with fewer than two points there is none.
func fitLine(points []Point) Fit {
	if len(points) < 2 {
		return Fit{}
	}
	line := regress(points)
	fit := Fit{Slope: line.slope, Intercept: line.intercept, Residual: line.residual}
	if line.worst <= maxDeviation {
		return fit
	}
	fit.BreaksBeyond = points[pointsOnLine(points)-1].Size
	// The last two alone: an earlier point would mix growth before the break with growth beyond it.
	var logSizes, logValues []float64
	for _, p := range points[len(points)-2:] {
		logSizes = append(logSizes, math.Log(p.Size))
		logValues = append(logValues, math.Log(math.Max(p.Value, minValue)))
	}
	logLevel, power := stat.LinearRegression(logSizes, logValues, nil, false)
	fit.Level, fit.Power = math.Exp(logLevel), power
	return fit
}

// pointsOnLine returns how many of the first points are on one line, two at least, where all of them are not.
func pointsOnLine(points []Point) int {
	for n := 3; n < len(points); n++ {
		if regress(points[:n]).worst > maxDeviation {
			return n - 1
		}
	}
	return max(2, len(points)-1)
}

// at returns the value at a size and its source: measured, there or between two sizes; by the line; where the line
// breaks, by the power with which the last two points grow; where the line falls below zero, the last point's own.
func (f *Fit) valueAt(points []Point, size float64) (value float64, source string) {
	if len(points) == 0 {
		return 0, "not measured"
	}
	for i, p := range points {
		if p.Size == size {
			return p.Value, "measured"
		}
		if i > 0 && points[i-1].Size < size && size < p.Size {
			previous := points[i-1]
			fraction := (size - previous.Size) / (p.Size - previous.Size)
			return previous.Value + fraction*(p.Value-previous.Value), "measured"
		}
	}
	switch {
	case len(points) < 2:
		return points[0].Value, "one point"
	case f.BreaksBeyond > 0:
		return f.Level * math.Pow(size, f.Power), "power"
	}
	if v := f.Intercept + f.Slope*size; v > 0 {
		return v, "line"
	}
	return points[len(points)-1].Value, "last size"
}
