package fleet

// The plot of measurements, which shows all Figures.

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes a plot of the time until all nodes report a failure, by the size of the fleet, with a line for each loss
// rate; lines of processes are dashed.
func Plot(path string, virtual, processes []*Figures) error {
	p := plot.New()
	p.Title.Text = "Time until all nodes report a failure (median; bars to the maximum)"
	p.X.Label.Text, p.Y.Label.Text = "nodes", "seconds"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Min = 0
	colors := map[float64]int{}
	for n, set := range [][]*Figures{virtual, processes} {
		byLoss := map[float64][]*Figures{}
		var losses []float64
		for _, f := range set {
			if byLoss[f.Loss] == nil {
				losses = append(losses, f.Loss)
			}
			byLoss[f.Loss] = append(byLoss[f.Loss], f)
		}
		for _, loss := range losses {
			if _, known := colors[loss]; !known {
				colors[loss] = len(colors)
			}
			var pts struct {
				plotter.XYs
				plotter.YErrors
			}
			slices.SortFunc(byLoss[loss], func(a, b *Figures) int { return cmp.Compare(a.Nodes, b.Nodes) })
			for _, f := range byLoss[loss] {
				known := slices.Sorted(slices.Values(f.DeathKnownS))
				if len(known) == 0 {
					continue
				}
				median := known[len(known)/2]
				pts.XYs = append(pts.XYs, plotter.XY{X: float64(f.Nodes), Y: median})
				pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{0, known[len(known)-1] - median})
			}
			line, dots, err := plotter.NewLinePoints(pts.XYs)
			if err != nil {
				return err
			}
			bars, err := plotter.NewYErrorBars(pts)
			if err != nil {
				return err
			}
			name := fmt.Sprintf("%.0f%% lost", 100*loss)
			if line.Color, dots.Color, bars.Color = plotutil.Color(colors[loss]), plotutil.Color(colors[loss]), plotutil.Color(colors[loss]); n == 1 {
				line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
				name += ", processes"
			}
			p.Add(line, dots, bars)
			p.Legend.Add(name, line)
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
