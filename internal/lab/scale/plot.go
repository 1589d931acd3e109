package scale

import (
	"errors"
	"image/color"
	"math"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	plotColumns   = 5
	panelWidth    = 9 * vg.Centimeter
	panelHeight   = 7 * vg.Centimeter
	dotsPerInch   = 60   // keeps a plot of fifty panels under a megabyte
	minLogValue   = 1e-9 // smallest value on a logarithmic axis
	fitPlotPoints = 40   // points of a fitted line over the whole axis
)

// Plot writes a PNG with a panel for each slope that has points and a limit or, if no slope has a limit, for each slope
// that has points. Both axes are logarithmic; the value at the design size is a ring, the limit a red line.
func Plot(path string, r *Result) (err error) {
	panels, err := r.panels()
	if err != nil {
		return err
	}
	if len(panels) == 0 {
		return errors.New("--plot: expected at least one slope with a point, got none")
	}
	rows := (len(panels) + plotColumns - 1) / plotColumns
	columns := min(plotColumns, len(panels))
	image := vgimg.NewWith(vgimg.UseWH(panelWidth*vg.Length(columns), panelHeight*vg.Length(rows)), vgimg.UseDPI(dotsPerInch))
	tiles := draw.Tiles{
		Rows: rows, Cols: columns, PadX: vg.Millimeter * 3, PadY: vg.Millimeter * 4,
		PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadLeft: vg.Millimeter, PadRight: vg.Millimeter * 4,
	}
	page := draw.New(image)
	for i, p := range panels {
		p.Draw(tiles.At(page, i%plotColumns, i/plotColumns))
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	_, err = vgimg.PngCanvas{Canvas: image}.WriteTo(f)
	return err
}

func (r *Result) panels() ([]*plot.Plot, error) {
	anyLimit := slices.ContainsFunc(r.Slopes, func(s Slope) bool { return s.Limit > 0 && len(s.Points) > 0 })
	var panels []*plot.Plot
	for i := range r.Slopes {
		s := &r.Slopes[i]
		if len(s.Points) == 0 || anyLimit && s.Limit == 0 {
			continue
		}
		p, err := s.panel()
		if err != nil {
			return nil, err
		}
		panels = append(panels, p)
	}
	return panels, nil
}

// panel returns the plot of one slope, which must have points.
func (s *Slope) panel() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name + ": " + formatShort(s.DesignValue) + " at " + formatShort(s.DesignSize)
	p.X.Label.Text, p.Y.Label.Text = s.SizeUnit, s.Unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for _, add := range []func(*plot.Plot) error{s.addPoints, s.addFit, s.addDesignValue, s.addLimit} {
		if err := add(p); err != nil {
			return nil, err
		}
	}
	// Keep points off the edges, and give an axis with a single value a nonzero length.
	p.Y.Min /= 2
	p.Y.Max *= 2
	if p.X.Min >= p.X.Max {
		p.X.Max = 2 * p.X.Min
	}
	return p, nil
}

// minSize and maxSize return the ends of the axis of sizes.
func (s *Slope) minSize() float64 { return s.Points[0].Size }
func (s *Slope) maxSize() float64 { return max(s.DesignSize, s.Points[len(s.Points)-1].Size) }

func (s *Slope) addPoints(p *plot.Plot) error {
	var points plotter.XYs
	for _, point := range s.Points {
		points = append(points, plotter.XY{X: point.Size, Y: max(point.Value, minLogValue)})
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	dots.Shape, dots.Color = draw.CircleGlyph{}, plotutil.Color(2)
	p.Add(plotter.NewGrid(), dots)
	return nil
}

// addFit draws the fitted line. A line that breaks is not extrapolated.
func (s *Slope) addFit(p *plot.Plot) error {
	if len(s.Points) < 2 || s.maxSize() <= s.minSize() {
		return nil
	}
	end := s.maxSize()
	if s.Fit.BreaksBeyond > 0 {
		end = s.Points[len(s.Points)-1].Size
	}
	step := math.Pow(s.maxSize()/s.minSize(), 1.0/fitPlotPoints)
	var points plotter.XYs
	for x := s.minSize(); x <= end*1.001; x *= step {
		if y := s.Fit.Intercept + s.Fit.Slope*x; y > 0 {
			points = append(points, plotter.XY{X: x, Y: y})
		}
	}
	if len(points) < 2 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(2)
	p.Add(line)
	return nil
}

func (s *Slope) addDesignValue(p *plot.Plot) error {
	ring, err := plotter.NewScatter(plotter.XYs{{X: s.DesignSize, Y: max(s.DesignValue, minLogValue)}})
	if err != nil {
		return err
	}
	ring.Shape, ring.Radius = draw.RingGlyph{}, vg.Points(5)
	p.Add(ring)
	return nil
}

func (s *Slope) addLimit(p *plot.Plot) error {
	if s.Limit <= 0 {
		return nil
	}
	line, err := plotter.NewLine(plotter.XYs{{X: s.minSize(), Y: s.Limit}, {X: s.maxSize(), Y: s.Limit}})
	if err != nil {
		return err
	}
	line.Color, line.Width, line.Dashes = color.RGBA{R: 200, A: 255}, vg.Points(1.5), []vg.Length{vg.Points(5), vg.Points(3)}
	p.Add(line)
	p.Legend.Add("limit "+formatShort(s.Limit), line)
	p.Legend.YOffs = vg.Points(3)
	return nil
}
