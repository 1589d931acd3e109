package sweep

import (
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const heatMapColors = 64

// Plot writes a PNG for each figure to a directory: for one axis, a line with 95% confidence intervals for each
// decider; for two axes, a heat map of the first decider.
func Plot(dir string, axes []Axis, deciders []string, rows []Row) error {
	var problems []error
	for column, name := range Columns {
		path := filepath.Join(dir, name+".png")
		if len(axes) == 2 {
			problems = append(problems, plotHeatMap(path, axes, deciders[0], rows, column))
		} else {
			problems = append(problems, plotLines(path, axes[0], deciders, rows, column))
		}
	}
	return errors.Join(problems...)
}

// estimates are the points of one line with their error bars.
type estimates struct {
	plotter.XYs
	plotter.YErrors
}

func plotLines(path string, axis Axis, deciders []string, rows []Row, column int) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = Columns[column], axis.Key, Columns[column]
	for i, decider := range deciders {
		points := estimatesOf(axis, decider, rows, column)
		line, dots, err := plotter.NewLinePoints(points.XYs)
		if err != nil {
			return err
		}
		bars, err := plotter.NewYErrorBars(points)
		if err != nil {
			return err
		}
		color := plotutil.Color(i)
		line.Color, dots.Color, bars.Color = color, color, color
		p.Add(line, dots, bars)
		p.Legend.Add(decider, line)
	}
	p.Legend.Top = true
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}

// estimatesOf returns the estimates along an axis. Values without a finished run are omitted.
func estimatesOf(axis Axis, decider string, rows []Row, column int) estimates {
	var points estimates
	for i, value := range axis.Values {
		repeats := selectRows(rows, decider, value)
		if len(repeats) == 0 {
			continue
		}
		e := estimateOf(repeats, column)
		points.XYs = append(points.XYs, plotter.XY{X: axis.position(i), Y: e.mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{e.halfWidth, e.halfWidth})
	}
	return points
}

// position returns the x position of a value: the value itself if it is a number, else its index.
func (a Axis) position(index int) float64 {
	if v, err := strconv.ParseFloat(a.Values[index], 64); err == nil {
		return v
	}
	return float64(index)
}

// heatMap holds the mean of each cell of a grid with two axes. It implements plotter.GridXYZ.
type heatMap struct {
	axes  []Axis
	means [][]float64 // indexed by the first axis, then by the second
}

// Dims implements plotter.GridXYZ.
func (h heatMap) Dims() (columns, rows int) { return len(h.axes[0].Values), len(h.axes[1].Values) }

// X implements plotter.GridXYZ.
func (h heatMap) X(column int) float64 { return float64(column) }

// Y implements plotter.GridXYZ.
func (h heatMap) Y(row int) float64 { return float64(row) }

// Z implements plotter.GridXYZ.
func (h heatMap) Z(column, row int) float64 { return h.means[column][row] }

func plotHeatMap(path string, axes []Axis, decider string, rows []Row, column int) error {
	grid := heatMap{axes: axes}
	low, high := math.Inf(1), math.Inf(-1)
	for _, x := range axes[0].Values {
		var means []float64
		for _, y := range axes[1].Values {
			mean := estimateOf(selectRows(rows, decider, x, y), column).mean
			means = append(means, mean)
			low, high = math.Min(low, mean), math.Max(high, mean)
		}
		grid.means = append(grid.means, means)
	}
	if !(low < high) { // all equal or none: the color scale needs a nonempty range
		high = low + 1e-9
	}
	colors := moreland.SmoothBlueRed()
	colors.SetMin(low)
	colors.SetMax(high)
	cells := plotter.NewHeatMap(grid, colors.Palette(heatMapColors))
	cells.Min, cells.Max = low, high
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s of %s, %.3f (blue) to %.3f (red)", Columns[column], decider, low, high)
	p.X.Label.Text, p.Y.Label.Text = axes[0].Key, axes[1].Key
	p.NominalX(axes[0].Values...)
	p.NominalY(axes[1].Values...)
	p.Add(cells)
	return p.Save(14*vg.Centimeter, 12*vg.Centimeter, path)
}
