package scale

// This file owns the line through measured points, and where it stops being one. It must never draw a line out
// beyond a break.

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Off is how far, of its own value, a point may lie off the line before the line counts as broken.
const Off = 0.25

// Fit is a least-squares line of relative errors: each point weighs by one over its value squared, so that the small sizes count as
// the large ones do. Values are in the figure's unit, Slope in that for one more of what the size counts.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"`                // root mean square of the points' distances from the line, each over the point's value
	Breaks    float64 `json:"breaks_beyond,omitempty"` // the last size at which a line through all up to it is within Off everywhere; 0: it holds
	Power     float64 `json:"power,omitempty"`         // beyond a break: the exponent with which the last two points grow
	Level     float64 `json:"level,omitempty"`         // and the value at size 1 that goes with it
}

func line(points []Point) (slope, intercept, residual, worst float64) {
	var x, y, w []float64
	for _, p := range points {
		x, y, w = append(x, p.Size), append(y, p.Value), append(w, 1/math.Max(p.Value*p.Value, 1e-24))
	}
	intercept, slope = stat.LinearRegression(x, y, w, false)
	sum := 0.0
	for _, p := range points {
		d := math.Abs(intercept+slope*p.Size-p.Value) / math.Max(math.Abs(p.Value), 1e-12)
		sum, worst = sum+d*d, math.Max(worst, d)
	}
	return slope, intercept, math.Sqrt(sum / float64(len(points))), worst
}

// FitOf draws the line. With fewer than two points there is none.
func FitOf(points []Point) (f Fit) {
	if len(points) < 2 {
		return f
	}
	var worst float64
	f.Slope, f.Intercept, f.Residual, worst = line(points)
	if worst <= Off {
		return f
	}
	// Where does it break? Three points at least make a line that can be off.
	held := 2
	for n := 3; n < len(points); n++ {
		if _, _, _, worst := line(points[:n]); worst > Off {
			break
		}
		held = n
	}
	f.Breaks = points[held-1].Size
	last := points[len(points)-2:] // an earlier one would mix what was before the break with what is behind it
	var x, y []float64
	for _, p := range last {
		x, y = append(x, math.Log(p.Size)), append(y, math.Log(math.Max(p.Value, 1e-12)))
	}
	level, power := stat.LinearRegression(x, y, nil, false)
	f.Level, f.Power = math.Exp(level), power
	return f
}

// at is the value at a size, and how it was come by: measured there or between two sizes, by the line, where that is broken by the
// power with which the last two points grow, and where it falls below nothing the last point's own.
func (f *Fit) at(points []Point, size float64) (float64, string) {
	if len(points) == 0 {
		return 0, "not measured"
	}
	for i, p := range points {
		if p.Size == size {
			return p.Value, "measured"
		}
		if i > 0 && points[i-1].Size < size && size < p.Size {
			part := (size - points[i-1].Size) / (p.Size - points[i-1].Size)
			return points[i-1].Value + part*(p.Value-points[i-1].Value), "measured"
		}
	}
	switch {
	case len(points) < 2:
		return points[0].Value, "one point"
	case f.Breaks > 0:
		return f.Level * math.Pow(size, f.Power), "power"
	}
	if v := f.Intercept + f.Slope*size; v > 0 {
		return v, "line"
	}
	return points[len(points)-1].Value, "last size" // it falls or stands, and noise would take it below nothing
}
