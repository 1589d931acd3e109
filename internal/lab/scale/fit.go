package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// maxDeviation is the relative deviation from a line up to which a point counts as on the line.
const maxDeviation = 0.25

// Lower bounds of divisors and of arguments of logarithms.
const (
	minSquare = 1e-24
	minValue  = 1e-12
)

// Fit is a line fitted to measured points by least squares of relative errors: each point has the weight 1/value^2, so
// that small sizes count as much as large ones. Values are in the unit of the figure.
type Fit struct {
	Slope        float64 `json:"slope"` // increase of the value per unit of size
	Intercept    float64 `json:"intercept"`
	Residual     float64 `json:"residual"`                // root mean square of the relative errors
	BreaksBeyond float64 `json:"breaks_beyond,omitempty"` // largest size up to which all points are within maxDeviation of a line; 0: all points are
	Power        float64 `json:"power,omitempty"`         // if the line breaks: exponent of the power law through the last two points
	Level        float64 `json:"level,omitempty"`         // if the line breaks: value of that power law at size 1
}

// regression is a weighted regression line with the relative errors of the points.
type regression struct {
	slope, intercept float64
	residual, worst  float64 // root mean square and maximum of the relative errors
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

// fitLine fits a line and determines where it breaks. With fewer than two points it returns the zero Fit.
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
	// Only the last two points: earlier ones would mix growth before the break with growth after it.
	var logSizes, logValues []float64
	for _, p := range points[len(points)-2:] {
		logSizes = append(logSizes, math.Log(p.Size))
		logValues = append(logValues, math.Log(math.Max(p.Value, minValue)))
	}
	logLevel, power := stat.LinearRegression(logSizes, logValues, nil, false)
	fit.Level, fit.Power = math.Exp(logLevel), power
	return fit
}

// pointsOnLine returns the number of leading points that are on one line, at least two. It is called if not all points
// are on one line.
func pointsOnLine(points []Point) int {
	for n := 3; n < len(points); n++ {
		if regress(points[:n]).worst > maxDeviation {
			return n - 1
		}
	}
	return max(2, len(points)-1)
}

// valueAt returns the value at a size and its source: measured at this size or interpolated between two sizes;
// extrapolated by the line or, if the line breaks, by the power law of the last two points; or the value of the last
// point, if the line falls below zero.
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
