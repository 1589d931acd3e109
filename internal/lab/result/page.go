package result

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"fawnglade/internal/lab/trace"
)

const (
	maxEndpointsDrawn = 24
	maxCurvesNamed    = 8 // the legend of more curves would cover them
)

const (
	inTimeTitle = "Earnings in time, as a fraction of each second's requests"
	spreadTitle = "Spread of requests in flight over the servers"
)

// chart is one plot on a page.
type chart struct {
	title  string
	unit   string // of the vertical axis
	curves []curve
}

// drawAll draws charts, each with the faults of the run as bands.
func (r *Result) drawAll(charts []chart) ([]template.HTML, error) {
	var plots []template.HTML
	for _, c := range charts {
		svg, err := r.draw(c)
		if err != nil {
			return nil, fmt.Errorf("plot of %s: %w", c.title, err)
		}
		plots = append(plots, svg)
	}
	return plots, nil
}

// sideBySideCharts are the charts of WriteSideBySide, each with a curve for every result.
var sideBySideCharts = []struct {
	title, unit string
	curve       func(r *Result, name string) curve
}{
	{inTimeTitle, "part", func(r *Result, name string) curve {
		return r.tallyBySecond(name, func(t *Tally) float64 { return t.FractionInTime })
	}},
	{"Latency of satisfied tasks, 99th percentile", "ms", func(r *Result, name string) curve {
		return r.tallyBySecond(name, func(t *Tally) float64 { return t.P99 })
	}},
	{spreadTitle, "deviation over mean", (*Result).inFlightSpread},
	{"Connections opened by all nodes", "in the second", func(r *Result, name string) curve {
		return r.activityBySecond(name, func(a *trace.FleetActivity) int { return a.Connections })
	}},
	{"Retries and hedged requests of all nodes", "in the second", func(r *Result, name string) curve {
		return r.activityBySecond(name, func(a *trace.FleetActivity) int { return a.Retries + a.Hedged })
	}},
}

// WriteSideBySide writes an HTML page that compares results of one scenario, at least one, with a named curve for each.
// The faults that are drawn are those of the first result.
func WriteSideBySide(w io.Writer, names []string, results []*Result) error {
	var charts []chart
	for _, spec := range sideBySideCharts {
		c := chart{title: spec.title, unit: spec.unit}
		for i, r := range results {
			c.curves = append(c.curves, spec.curve(r, names[i]))
		}
		charts = append(charts, c)
	}
	plots, err := results[0].drawAll(charts)
	if err != nil {
		return err
	}
	return sideBySideTemplate.Execute(w, sideBySideData{names, results, plots})
}

// WritePage writes the report as a self-contained HTML page.
func (r *Result) WritePage(w io.Writer) error {
	plots, err := r.drawAll(r.charts())
	if err != nil {
		return err
	}
	var rows []tallyRow
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		rows = append(rows, tallyRow{name, r.Classes[name]})
	}
	rows = append(rows, tallyRow{"all", &r.Tally})
	return pageTemplate.Execute(w, pageData{r, rows, plots, reachLines(r.Reach)})
}

func (r *Result) charts() []chart {
	count := func(name string, value func(*Tally) int) curve {
		return r.tallyBySecond(name, func(t *Tally) float64 { return float64(value(t)) })
	}
	charts := []chart{
		{inTimeTitle, "part", []curve{
			r.tallyBySecond("", func(t *Tally) float64 { return t.FractionInTime }),
		}},
		{"Latency of satisfied tasks, from their due time", "ms", []curve{
			r.tallyBySecond("p50", func(t *Tally) float64 { return t.P50 }),
			r.tallyBySecond("p90", func(t *Tally) float64 { return t.P90 }),
			r.tallyBySecond("p99", func(t *Tally) float64 { return t.P99 }),
		}},
		{"Tasks by outcome", "tasks due in the second", []curve{
			count("satisfied", func(t *Tally) int { return t.Succeeded }),
			count("declined", func(t *Tally) int { return t.Rejected }),
			count("broken off", func(t *Tally) int { return t.Failed }),
			count("lost", func(t *Tally) int { return t.Lost }),
		}},
		{"Tasks in flight at each server", "tasks", r.inFlightByEndpoint()},
	}
	if len(r.Loads) > 0 {
		charts = append(charts, chart{spreadTitle, "deviation over mean", []curve{r.inFlightSpread("")}})
	}
	if len(r.Activity) > 0 {
		charts = append(charts, r.activityChart())
	}
	if r.Views != nil {
		charts = append(charts, chart{"Membership views of the nodes", "in the sample", []curve{
			r.viewsBySample("wrong member states", r.Views.Wrong),
			r.viewsBySample("unreliable views", r.Views.Unknown),
		}})
	}
	return charts
}

func (r *Result) activityChart() chart {
	return chart{"Activity of all nodes besides first attempts", "in the second", []curve{
		r.activityBySecond("resends", func(a *trace.FleetActivity) int { return a.Retries }),
		r.activityBySecond("copies", func(a *trace.FleetActivity) int { return a.Hedged }),
		r.activityBySecond("connections", func(a *trace.FleetActivity) int { return a.Connections }),
		r.activityBySecond("endpoint list calls", func(a *trace.FleetActivity) int { return a.ListCalls }),
		r.activityBySecond("probes", func(a *trace.FleetActivity) int { return a.HealthChecks }),
		r.activityBySecond("messages", func(a *trace.FleetActivity) int { return a.Gossip }),
	}}
}

// inFlightByEndpoint returns a curve for each of the first maxEndpointsDrawn endpoints.
func (r *Result) inFlightByEndpoint() []curve {
	var curves []curve
	for i, name := range r.Endpoints[:min(len(r.Endpoints), maxEndpointsDrawn)] {
		curves = append(curves, inFlightOf(r.Loads, i, name))
	}
	if len(curves) > maxCurvesNamed {
		for i := range curves {
			curves[i].name = ""
		}
	}
	return curves
}

// sideBySideData is the data of sideBySideTemplate.
type sideBySideData struct {
	Names   []string
	Results []*Result
	Plots   []template.HTML
}

var sideBySideTemplate = template.Must(template.New("beside").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Side by side</title><style>
body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto;margin:.6em 0}
</style></head><body><h1>{{(index .Results 0).Scenario}}, side by side</h1>
<table><tr><th></th><th>tasks</th><th>satisfied</th><th>earnings in time</th><th>p50 ms</th><th>p99 ms</th><th>rules broken</th></tr>
{{range $i, $r := .Results}}<tr><td>{{index $.Names $i}}</td>{{with $r}}<td>{{.Requests}}</td><td>{{.Succeeded}}</td><td>{{printf "%.4f" .FractionInTime}}</td><td>{{printf "%.1f" .P50}}</td><td>{{printf "%.1f" .P99}}</td><td>{{.ViolationCount}}</td>{{end}}</tr>
{{end}}</table>{{range .Plots}}{{.}}{{end}}</body></html>
`))

// tallyRow is a row of the table of requests.
type tallyRow struct {
	Name string
	*Tally
}

// pageData is the data of pageTemplate.
type pageData struct {
	Result *Result
	Rows   []tallyRow
	Plots  []template.HTML
	Reach  []string
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Result.Scenario}}</title><style>
body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto;margin:.6em 0}.bad{color:#b00020}
</style></head><body>
<h1>{{.Result.Scenario}}: {{.Result.Verdict}}</h1><p>{{.Result.About}}</p>
<p>Seed {{.Result.Plan.Seed}}, plan {{.Result.Plan.Hash}}, {{.Result.LengthS}} s, {{len .Result.Endpoints}} servers, {{len .Result.Nodes}} nodes. The rig itself ran late by
{{printf "%.1f" .Result.LateMs}} ms at most in all but a twentieth of the time.</p>
{{range .Result.Missed}}<p class="bad">Not as expected: {{.}}</p>{{end}}
<table><tr><th></th><th>tasks</th><th>satisfied</th><th>declined</th><th>broken off</th><th>lost</th><th>left</th><th>earnings in time</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Requests}}</td><td>{{.Succeeded}}</td><td>{{.Rejected}}</td><td>{{.Failed}}</td><td>{{.Lost}}</td><td>{{.Canceled}}</td><td>{{printf "%.4f" .FractionInTime}}</td><td>{{printf "%.1f" .P50}}</td><td>{{printf "%.1f" .P99}}</td><td>{{printf "%.1f" .P999}}</td></tr>
{{end}}</table>
{{range .Plots}}{{.}}{{end}}
{{if .Reach}}<h2>Who could reach whom</h2><ul>{{range .Reach}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Rules broken: {{.Result.ViolationCount}}</h2><ul>{{range .Result.Violations}}<li class="bad">{{.}}</li>{{end}}</ul>
<h2>Hand-offs</h2><p>{{with .Result.Attempts}}{{.Sent}} sent: {{.Succeeded}} satisfied, {{.Rejected}} turned away, {{.Errors}} errors, {{.Unanswered}} unanswered; double effects {{.DoubleEffects}}{{end}}</p>
<h2>Nodes</h2><table><tr><th>node</th><th>CPU s</th><th>MB at most</th><th>descriptors at most</th><th>starts</th><th>crashes</th></tr>
{{range .Result.Nodes}}<tr><td>{{.Node}}</td><td>{{printf "%.2f" .CPUSeconds}}</td><td>{{printf "%.0f" .MaxMemoryMB}}</td><td>{{.MaxDescriptors}}</td><td>{{.Starts}}</td><td>{{.Crashes}}</td></tr>{{end}}</table>
{{if .Result.GivenUp}}<h2>Given up, by the nodes' reasons</h2><ul>{{range $reason, $n := .Result.GivenUp}}<li>{{$reason}}: {{$n}}</li>{{end}}</ul>{{end}}
{{if .Result.Oddities}}<h2>Seen besides</h2><ul>{{range $what, $n := .Result.Oddities}}<li>{{$what}}: {{$n}}</li>{{end}}</ul>{{end}}
</body></html>
`))
