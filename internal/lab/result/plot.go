package result

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// curveColors is a palette that is distinguishable with the common forms of color blindness.
var curveColors = []color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{230, 159, 0, 255},
	{86, 180, 233, 255},
	{90, 90, 90, 255},
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
	bandAlpha  = 36 // of 255

	bandTop        = 1.05 // times the highest value
	axisTop        = 1.25 // times the highest value: leaves space for the legend
	minBandDivisor = 400  // run length over minimum width of a fault band, so that short faults stay visible
	curveLine      = 1.4  // points
)

// draw draws a chart as SVG, with the faults as bands behind the curves.
func (r *Result) draw(c chart) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "seconds", c.unit
	p.X.Min, p.X.Max, p.Y.Min = 0, math.Max(r.LengthS, 1), 0
	top := highest(c.curves)
	if err := r.addFaultBands(p, top); err != nil {
		return "", err
	}
	p.Add(plotter.NewGrid())
	for i, line := range c.curves {
		if err := addCurve(p, i, line); err != nil {
			return "", err
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	p.Y.Max = top * axisTop
	return svg(p)
}

// highest returns the highest value of all curves, or 1 if there is none above 0.
func highest(curves []curve) float64 {
	top := 0.0
	for _, c := range curves {
		for _, v := range c.y {
			top = math.Max(top, v)
		}
	}
	if top == 0 {
		return 1
	}
	return top
}

func (r *Result) addFaultBands(p *plot.Plot, top float64) error {
	for i, f := range r.Faults {
		to := math.Min(math.Max(f.ToS, f.FromS+r.LengthS/minBandDivisor), r.LengthS)
		height := top * bandTop
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.FromS, Y: 0}, {X: to, Y: 0}, {X: to, Y: height}, {X: f.FromS, Y: height}})
		if err != nil {
			return err
		}
		c := curveColors[i%len(curveColors)]
		band.Color = color.NRGBA{c.R, c.G, c.B, bandAlpha}
		band.Width = 0
		p.Add(band)
		p.Legend.Add(fmt.Sprintf("%s (%.1f s)", f.Kind, f.FromS), band)
	}
	return nil
}

// addCurve adds a curve in the color of its index. Curves are dashed once all colors are in use.
func addCurve(p *plot.Plot, index int, c curve) error {
	if len(c.x) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(c.x))
	for i := range c.x {
		points[i] = plotter.XY{X: c.x[i], Y: c.y[i]}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = curveColors[index%len(curveColors)]
	line.Width = vg.Points(curveLine)
	if index >= len(curveColors) {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
	}
	p.Add(line)
	if c.name != "" {
		p.Legend.Add(c.name, line)
	}
	return nil
}

// svg renders a plot as an SVG element for an HTML page, without the XML declaration.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if at := strings.Index(text, "<svg"); at > 0 {
		text = text[at:]
	}
	return template.HTML(text), nil
}
