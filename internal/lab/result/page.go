package result

// This file owns the report's page: one file with its plots inside, for a browser without a network. It must never
// fetch anything, nor draw a figure that the result does not hold.

import (
	"bytes"
	"fawnglade/internal/lab/trace"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Colours that a person with any usual colour sight can tell apart.
var colours = []color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{230, 159, 0, 255},
	{86, 180, 233, 255},
	{90, 90, 90, 255},
}

const (
	maxEndpointsDrawn = 24
	minInFlight       = 0.1 // tasks at a server, on average, below which their spread is chance
	spreadTitle       = "Spread of the tasks held over the servers"
)

// line is one curve of a plot.
type line struct {
	name string
	x, y []float64
}

// figure draws curves with the faults as bands behind them.
func (r *Result) figure(title, unit string, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.X.Min, p.X.Max, p.Y.Min = 0, math.Max(r.LengthS, 1), 0
	top := 0.0
	for _, l := range lines {
		for _, v := range l.y {
			top = math.Max(top, v)
		}
	}
	if top == 0 {
		top = 1
	}
	for i, f := range r.Faults {
		to := math.Min(math.Max(f.ToS, f.FromS+r.LengthS/400), r.LengthS)
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.FromS, Y: 0}, {X: to, Y: 0}, {X: to, Y: top * 1.05}, {X: f.FromS, Y: top * 1.05}})
		if err != nil {
			return "", err
		}
		c := colours[i%len(colours)]
		band.Color, band.LineStyle.Width = color.NRGBA{c.R, c.G, c.B, 36}, 0
		p.Add(band)
		p.Legend.Add(fmt.Sprintf("%s (%.1f s)", f.Kind, f.FromS), band)
	}
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		points := make(plotter.XYs, len(l.x))
		for n := range l.x {
			points[n] = plotter.XY{X: l.x[n], Y: l.y[n]}
		}
		if len(points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		curve.Color, curve.Width = colours[i%len(colours)], vg.Points(1.4)
		if i >= len(colours) {
			curve.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		}
		p.Add(curve)
		if l.name != "" {
			p.Legend.Add(l.name, curve)
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	p.Y.Max = top * 1.25
	canvas := vgsvg.New(9*vg.Inch, 3*vg.Inch)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if at := strings.Index(text, "<svg"); at > 0 {
		text = text[at:] // the XML head has no place within a page
	}
	return template.HTML(text), nil
}

func (r *Result) bySecond(name string, of func(*Tally) float64) line {
	l := line{name: name}
	for i := range r.Seconds {
		l.x = append(l.x, float64(i)+0.5)
		l.y = append(l.y, of(&r.Seconds[i]))
	}
	return l
}

// together is one count of what all nodes did, by second.
func (r *Result) activity(name string, of func(*trace.FleetActivity) int) line {
	l := line{name: name}
	for i := range r.Activity {
		l.x, l.y = append(l.x, float64(i)+0.5), append(l.y, float64(of(&r.Activity[i])))
	}
	return l
}

// spread is how unevenly the servers were loaded: the deviation of the tasks that each held over their mean, by second. Where many
// nodes follow one report all at once, it rises and falls with the reports. Moments at which next to nothing was held tell nothing.
func (r *Result) spread(name string) line {
	l := line{name: name}
	sum, n, second := 0.0, 0.0, 0
	end := func() {
		if n > 0 {
			l.x, l.y = append(l.x, float64(second)+0.5), append(l.y, sum/n)
		}
		sum, n = 0, 0
	}
	for _, s := range r.Loads {
		if int(s.At/1e9) != second {
			end()
			second = int(s.At / 1e9)
		}
		held := make([]float64, len(s.InFlight))
		for i, h := range s.InFlight {
			held[i] = float64(h)
		}
		if mean, deviation := stat.MeanStdDev(held, nil); len(held) > 1 && mean > minInFlight {
			sum, n = sum+deviation/mean, n+1
		}
	}
	end()
	return l
}

// Beside writes one page on several results of a day, a curve for each under its name.
func WriteComparisonPage(w io.Writer, names []string, results []*Result) error {
	wanted := []struct {
		title, unit string
		of          func(*Result, string) line
	}{
		{"Earnings in time, part of what came in the second", "part", func(r *Result, name string) line {
			return r.bySecond(name, func(t *Tally) float64 { return t.WeightShare })
		}},
		{"Answer times of satisfied tasks, 99th percentile", "ms", func(r *Result, name string) line {
			return r.bySecond(name, func(t *Tally) float64 { return t.P99Ms })
		}},
		{spreadTitle, "deviation over mean", (*Result).spread},
		{"Connections opened by all nodes", "in the second", func(r *Result, name string) line {
			return r.activity(name, func(t *trace.FleetActivity) int { return t.Connections })
		}},
		{"Resends and second copies of all nodes", "in the second", func(r *Result, name string) line {
			return r.activity(name, func(t *trace.FleetActivity) int { return t.Retries + t.Hedged })
		}},
	}
	var plots []template.HTML
	for _, one := range wanted {
		var lines []line
		for i, r := range results {
			lines = append(lines, one.of(r, names[i]))
		}
		svg, err := results[0].figure(one.title, one.unit, lines)
		if err != nil {
			return fmt.Errorf("plot of %s: %w", one.title, err)
		}
		plots = append(plots, svg)
	}
	return besidePage.Execute(w, map[string]any{"Names": names, "Results": results, "Plots": plots})
}

// Page writes the report.
func (r *Result) WritePage(w io.Writer) error {
	states := func(name string, of func(*Tally) int) line {
		return r.bySecond(name, func(t *Tally) float64 { return float64(of(t)) })
	}
	var servers []line
	for i, name := range r.Endpoints {
		if i == maxEndpointsDrawn {
			break
		}
		at, held := inFlightAt(r.Loads, i)
		servers = append(servers, line{name, at, held})
	}
	if len(servers) > 8 {
		for i := range servers {
			servers[i].name = "" // the legend would hide the curves
		}
	}
	type plotted struct {
		title, unit string
		lines       []line
	}
	wanted := []plotted{
		{"Earnings in time, part of what came in the second", "part", []line{r.bySecond("", func(t *Tally) float64 { return t.WeightShare })}},
		{"Answer times of satisfied tasks, from when they were due", "ms", []line{
			r.bySecond("p50", func(t *Tally) float64 { return t.P50Ms }), r.bySecond("p90", func(t *Tally) float64 { return t.P90Ms }),
			r.bySecond("p99", func(t *Tally) float64 { return t.P99Ms }),
		}},
		{"Tasks by their end", "tasks due in the second", []line{
			states("satisfied", func(t *Tally) int { return t.Succeeded }), states("declined", func(t *Tally) int { return t.Rejected }),
			states("broken off", func(t *Tally) int { return t.Failed }), states("lost", func(t *Tally) int { return t.Lost }),
		}},
		{"Tasks held by each server", "tasks", servers},
	}
	if len(r.Loads) > 0 {
		wanted = append(wanted, plotted{spreadTitle, "deviation over mean", []line{r.spread("")}})
	}
	if len(r.Activity) > 0 {
		all := r.activity
		wanted = append(wanted, plotted{"What all nodes do together, beside the tasks", "in the second", []line{
			all("resends", func(t *trace.FleetActivity) int { return t.Retries }), all("copies", func(t *trace.FleetActivity) int { return t.Hedged }),
			all("connections", func(t *trace.FleetActivity) int { return t.Connections }), all("calls for the list", func(t *trace.FleetActivity) int { return t.ListCalls }),
			all("probes", func(t *trace.FleetActivity) int { return t.HealthChecks }), all("messages", func(t *trace.FleetActivity) int { return t.Gossip }),
		}})
	}
	if v := r.Views; v != nil {
		by := func(name string, of []int) line {
			l := line{name: name}
			for i, n := range of {
				l.x, l.y = append(l.x, float64(r.Running[i].At)/1e9), append(l.y, float64(n))
			}
			return l
		}
		wanted = append(wanted, plotted{"What nodes believe of one another", "in the sample", []line{by("wrong beliefs", v.Wrong), by("views that say unknown", v.Unknown)}})
	}
	var plots []template.HTML
	for _, one := range wanted {
		svg, err := r.figure(one.title, one.unit, one.lines)
		if err != nil {
			return fmt.Errorf("plot of %s: %w", one.title, err)
		}
		plots = append(plots, svg)
	}
	type row struct {
		Name string
		*Tally
	}
	var rows []row
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		rows = append(rows, row{name, r.Classes[name]})
	}
	rows = append(rows, row{"all", &r.Tally})
	return page.Execute(w, map[string]any{"R": r, "Rows": rows, "Plots": plots, "Reach": reachLines(r.Reach)})
}

var besidePage = template.Must(template.New("beside").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Side by side</title><style>
body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto;margin:.6em 0}
</style></head><body><h1>{{(index .Results 0).Scenario}}, side by side</h1>
<table><tr><th></th><th>tasks</th><th>satisfied</th><th>earnings in time</th><th>p50 ms</th><th>p99 ms</th><th>rules broken</th></tr>
{{range $i, $r := .Results}}<tr><td>{{index $.Names $i}}</td>{{with $r}}<td>{{.Operations}}</td><td>{{.Succeeded}}</td><td>{{printf "%.4f" .WeightShare}}</td><td>{{printf "%.1f" .P50Ms}}</td><td>{{printf "%.1f" .P99Ms}}</td><td>{{.ViolationCount}}</td>{{end}}</tr>
{{end}}</table>{{range .Plots}}{{.}}{{end}}</body></html>
`))

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.R.Scenario}}</title><style>
body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto;margin:.6em 0}.bad{color:#b00020}
</style></head><body>
<h1>{{.R.Scenario}}: {{.R.Verdict}}</h1><p>{{.R.About}}</p>
<p>Seed {{.R.Drawn.Seed}}, plan {{.R.Drawn.Plan}}, {{.R.LengthS}} s, {{len .R.Endpoints}} servers, {{len .R.Nodes}} nodes. The rig itself ran late by
{{printf "%.1f" .R.LagMs}} ms at most in all but a twentieth of the time.</p>
{{range .R.Missed}}<p class="bad">Not as expected: {{.}}</p>{{end}}
<table><tr><th></th><th>tasks</th><th>satisfied</th><th>declined</th><th>broken off</th><th>lost</th><th>left</th><th>earnings in time</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Operations}}</td><td>{{.Succeeded}}</td><td>{{.Rejected}}</td><td>{{.Failed}}</td><td>{{.Lost}}</td><td>{{.Canceled}}</td><td>{{printf "%.4f" .WeightShare}}</td><td>{{printf "%.1f" .P50Ms}}</td><td>{{printf "%.1f" .P99Ms}}</td><td>{{printf "%.1f" .P999Ms}}</td></tr>
{{end}}</table>
{{range .Plots}}{{.}}{{end}}
{{if .Reach}}<h2>Who could reach whom</h2><ul>{{range .Reach}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Rules broken: {{.R.ViolationCount}}</h2><ul>{{range .R.Violations}}<li class="bad">{{.}}</li>{{end}}</ul>
<h2>Hand-offs</h2><p>{{with .R.Attempts}}{{.Sent}} sent: {{.Succeeded}} satisfied, {{.Rejected}} turned away, {{.Errors}} errors, {{.Unanswered}} unanswered; double effects {{.DoubleEffects}}{{end}}</p>
<h2>Nodes</h2><table><tr><th>node</th><th>CPU s</th><th>MB at most</th><th>descriptors at most</th><th>starts</th><th>crashes</th></tr>
{{range .R.Nodes}}<tr><td>{{.Node}}</td><td>{{printf "%.2f" .CPUSeconds}}</td><td>{{printf "%.0f" .MaxMemoryMB}}</td><td>{{.MaxDescriptors}}</td><td>{{.Starts}}</td><td>{{.Crashes}}</td></tr>{{end}}</table>
{{if .R.Oddities}}<h2>Seen besides</h2><ul>{{range $what, $n := .R.Oddities}}<li>{{$what}}: {{$n}}</li>{{end}}</ul>{{end}}
</body></html>
`))
