package scale

// This file owns how slopes are shown: a table, and a picture with the limits drawn in. It must never leave out a slope that was asked
// for, nor show a figure without how it was come by.

import (
	"errors"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// short writes a number in three figures, with k, M or G for large ones.
func short(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1e9:
		return strconv.FormatFloat(v/1e9, 'g', 3, 64) + "G"
	case a >= 999.5e3:
		return strconv.FormatFloat(v/1e6, 'g', 3, 64) + "M"
	case a >= 9999.5:
		return strconv.FormatFloat(v/1e3, 'g', 3, 64) + "k"
	case a >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// Print writes the table: what was measured at each size, the fit, and the figure at the design size beside its limit.
func Print(w io.Writer, r *Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "figure\tunit\tsizes: measured\tslope\tintercept\tresidual\tline holds to\tat design\tby\tlimit\tfactor\t")
	for _, s := range r.Slopes {
		var points []string
		for _, p := range s.Points {
			points = append(points, short(p.Size)+": "+short(p.Value))
		}
		holds, limit, factor := "all sizes", "", ""
		if s.Fit.Breaks > 0 {
			holds = fmt.Sprintf("%s (then ^%.2f)", short(s.Fit.Breaks), s.Fit.Power)
		}
		if s.Limit > 0 {
			limit, factor = short(s.Limit), short(s.Factor)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s at %s %s\t%s\t%s\t%s\t\n", s.Name, s.Unit, strings.Join(points, " "), short(s.Fit.Slope), short(s.Fit.Intercept),
			100*s.Fit.Residual, holds, short(s.At), short(s.Design), s.SizeOf, s.How, limit, factor)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	told := map[string]bool{}
	for _, s := range r.Slopes {
		for _, note := range append([]string{s.Missing}, s.Notes...) {
			probe, _, _ := strings.Cut(s.Name, ".")
			if text := probe + ": " + note; note != "" && !told[text] {
				told[text] = true
				_, _ = fmt.Fprintln(w, text)
			}
		}
	}
	_, err := fmt.Fprintf(w, "Measured on %s, %d cores, %.0f GB, %s: %s\n", r.Day, r.Machine.Cores, r.Machine.MemoryBytes/1e9, r.Machine.Go, r.Command)
	return err
}

const (
	columns  = 5
	panelX   = 9 * vg.Centimeter
	panelY   = 7 * vg.Centimeter
	leastLog = 1e-9
	dots     = 60 // an inch: a picture of fifty panels stays under a megabyte
)

// Plot leaves a picture with a panel for each slope that has points and a limit, or for all with points where none has one: both axes by
// powers of ten, the figure at the design size as a ring, the limit as a red line. The table has the others.
func Plot(path string, r *Result) (err error) {
	var panels []*plot.Plot
	limited := slices.ContainsFunc(r.Slopes, func(s Slope) bool { return s.Limit > 0 && len(s.Points) > 0 })
	for _, s := range r.Slopes {
		if len(s.Points) == 0 || limited && s.Limit == 0 {
			continue
		}
		p, err := panel(&s)
		if err != nil {
			return err
		}
		panels = append(panels, p)
	}
	if len(panels) == 0 {
		return errors.New("--plot: expected at least one slope with a point, got none")
	}
	rows := (len(panels) + columns - 1) / columns
	wide := min(columns, len(panels))
	image := vgimg.NewWith(vgimg.UseWH(panelX*vg.Length(wide), panelY*vg.Length(rows)), vgimg.UseDPI(dots))
	tiles := draw.Tiles{
		Rows: rows, Cols: wide, PadX: vg.Millimeter * 3, PadY: vg.Millimeter * 4, PadTop: vg.Millimeter, PadBottom: vg.Millimeter,
		PadLeft: vg.Millimeter, PadRight: vg.Millimeter * 4,
	}
	page := draw.New(image)
	for i, p := range panels {
		p.Draw(tiles.At(page, i%columns, i/columns))
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	_, err = vgimg.PngCanvas{Canvas: image}.WriteTo(f)
	return err
}

func panel(s *Slope) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Name+": "+short(s.At)+" at "+short(s.Design), s.SizeOf, s.Unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	least, most := s.Points[0].Size, max(s.Design, s.Points[len(s.Points)-1].Size)
	var pts, fit plotter.XYs
	for _, one := range s.Points {
		pts = append(pts, plotter.XY{X: one.Size, Y: max(one.Value, leastLog)})
	}
	out := most
	if s.Fit.Breaks > 0 { // a line that is broken is not drawn out
		out = s.Points[len(s.Points)-1].Size
	}
	for x := least; x <= out*1.001; x *= math.Pow(most/least, 1.0/40) {
		if y := s.Fit.Intercept + s.Fit.Slope*x; y > 0 && len(s.Points) > 1 {
			fit = append(fit, plotter.XY{X: x, Y: y})
		}
		if most <= least {
			break
		}
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return nil, err
	}
	dots.Shape, dots.Color = draw.CircleGlyph{}, plotutil.Color(2)
	p.Add(plotter.NewGrid(), dots)
	if len(fit) > 1 {
		l, err := plotter.NewLine(fit)
		if err != nil {
			return nil, err
		}
		l.Color = plotutil.Color(2)
		p.Add(l)
	}
	at, err := plotter.NewScatter(plotter.XYs{{X: s.Design, Y: max(s.At, leastLog)}})
	if err != nil {
		return nil, err
	}
	at.Shape, at.Radius = draw.RingGlyph{}, vg.Points(5)
	p.Add(at)
	if s.Limit > 0 {
		l, err := plotter.NewLine(plotter.XYs{{X: least, Y: s.Limit}, {X: most, Y: s.Limit}})
		if err != nil {
			return nil, err
		}
		l.Color, l.Width, l.Dashes = color.RGBA{R: 200, A: 255}, vg.Points(1.5), []vg.Length{vg.Points(5), vg.Points(3)}
		p.Add(l)
		p.Legend.Add("limit "+short(s.Limit), l)
		p.Legend.YOffs = vg.Points(3)
	}
	p.Y.Min, p.Y.Max = p.Y.Min/2, p.Y.Max*2 // so that nothing lies on the edge, and one height has two sides
	if p.X.Min >= p.X.Max {
		p.X.Max = 2 * p.X.Min
	}
	return p, nil
}
