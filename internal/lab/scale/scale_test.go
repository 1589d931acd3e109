package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"image/png"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func points(f func(x float64) float64, sizes ...float64) (out []Point) {
	for _, s := range sizes {
		out = append(out, Point{s, f(s)})
	}
	return out
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(math.Abs(a), math.Abs(b)) }

func TestFitRecoversExactLine(t *testing.T) {
	p := points(func(x float64) float64 { return 1000 + 5*x }, 10, 100, 1000, 10000)
	f := fitLine(p)
	if !almostEqual(f.Slope, 5) || !almostEqual(f.Intercept, 1000) || f.Residual > 1e-9 || f.BreaksBeyond != 0 {
		t.Errorf("got fit %+v, want 1000 + 5 x without a break", f)
	}
	if v, source := f.valueAt(p, 100000); !almostEqual(v, 501000) || source != "line" {
		t.Errorf("at 100,000: got %v by %s, want 501000 by line", v, source)
	}
	if v, source := f.valueAt(p, 1000); v != 6000 || source != "measured" {
		t.Errorf("at 1,000: got %v by %s, want 6000 measured", v, source)
	}
	if v, source := f.valueAt(p, 550); !almostEqual(v, 3750) || source != "measured" {
		t.Errorf("at 550, between two sizes: got %v by %s, want 3750 measured", v, source)
	}
}

// TestFitWeighsRelativeErrors guards against a fit that follows the large sizes alone, with large relative errors at
// the small ones.
func TestFitWeighsRelativeErrors(t *testing.T) {
	p := points(func(x float64) float64 { return 100 + x }, 10, 100, 1000, 10000)
	p[3].Value *= 1.1
	if f := fitLine(p); f.Residual > 0.06 || f.BreaksBeyond != 0 {
		t.Errorf("got fit %+v, want a residual of at most 6%% and no break", f)
	}
}

func TestFitDetectsBreak(t *testing.T) {
	for name, c := range map[string]struct {
		value  func(x float64) float64
		breaks float64
		power  float64
	}{
		"a step in slope": {func(x float64) float64 { return 1 + 0.1*x + 10*math.Max(0, x-1000) }, 1000, 0},
		"a square":        {func(x float64) float64 { return x * x }, 20, 2},
		"held":            {func(x float64) float64 { return 3 + x }, 0, 0},
	} {
		p := points(c.value, 10, 20, 100, 1000, 5000, 20000)
		f := fitLine(p)
		if f.BreaksBeyond != c.breaks || c.power > 0 && math.Abs(f.Power-c.power) > 0.01 {
			t.Errorf("%s: got a break beyond %v with power %.2f, want %v and %v", name, f.BreaksBeyond, f.Power, c.breaks, c.power)
		}
		v, source := f.valueAt(p, 200000)
		if want := c.value(200000); c.breaks > 0 && (source != "power" || v < want/3 || v > want*3) {
			t.Errorf("%s: at 200,000: got %v by %s, want about %v by power", name, v, source, want)
		}
	}
}

// TestSourceNamesNodeMaximum guards against values extrapolated beyond the largest size that the node supports without
// a remark in their source.
func TestSourceNamesNodeMaximum(t *testing.T) {
	p := points(func(x float64) float64 { return x }, 10, 20, 50, 100)
	for cap, want := range map[float64]string{0: "line", 2000: "line", 500: "line, but nothing beyond 500"} {
		if s := (Slope{Points: p, DesignSize: 1000, NodeMax: cap}).withFit(); s.Source != want || !almostEqual(s.DesignValue, 1000) {
			t.Errorf("node maximum %v: got %v by %q, want 1000 by %q", cap, s.DesignValue, s.Source, want)
		}
	}
}

func TestFitIsNotExtrapolatedBelowZero(t *testing.T) {
	p := points(func(x float64) float64 { return 10 - x/100 }, 10, 50, 100, 200)
	f := fitLine(p)
	if v, source := f.valueAt(p, 1e6); v != 8 || source != "last size" {
		t.Errorf("got %v by %s, want the value 8 of the last size", v, source)
	}
	if v, source := (&Fit{}).valueAt(nil, 5); v != 0 || source != "not measured" {
		t.Errorf("without points: got %v by %s, want 0 and not measured", v, source)
	}
}

func TestProbeCheckRejectsSizes(t *testing.T) {
	m := Machine{MemoryBytes: 10e9}
	p := Probe{Name: "x", SizeUnit: "servers", MinSize: 10, MaxSize: 1e6, Need: func(n float64) Need { return Need{Bytes: 1e6 * n, Processes: int(n) / 20} }}
	for _, c := range []struct {
		sizes []float64
		want  string
	}{
		{[]float64{10, 100, 1000, 2000}, ""},
		{[]float64{10, 100, 1000, 5001}, "x: expected sizes that take at most half of the machine's memory, 5.0 GB, got 5,001 servers, which take some 5.0 GB"},
		{[]float64{10, 100, 1000, 4020}, "x: expected sizes of at most 200 processes, got 4,020 servers, which are 201"},
		{[]float64{5, 100, 1000, 2000}, "x: expected sizes from 10 to 1,000,000 servers, got 5"},
		{[]float64{10, 100, 1000, 1000001}, "x: expected sizes from 10 to 1,000,000 servers, got 1,000,001"},
		{[]float64{10, 100, 1000}, "x: expected 4 sizes at least, in order, the last 10 times the first, got 10 100 1,000"},
		{[]float64{100, 200, 300, 999}, "x: expected 4 sizes at least, in order, the last 10 times the first, got 100 200 300 999"},
		{[]float64{100, 50, 500, 1000}, "x: expected 4 sizes at least, in order, the last 10 times the first, got 100 50 500 1,000"},
		{[]float64{math.NaN(), 50, 500, 1000}, "x: expected sizes from 10 to 1,000,000 servers, got NaN"},
	} {
		err := p.Check(c.sizes, m)
		if got := errText(err); got != c.want {
			t.Errorf("sizes %v: got error %q, want %q", c.sizes, got, c.want)
		}
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// TestRunRejectsOptionsBeforeMeasuring guards against measurements before a later probe's sizes or an unknown name are
// rejected.
func TestRunRejectsOptionsBeforeMeasuring(t *testing.T) {
	var log bytes.Buffer
	_, err := Run(t.Context(), Options{Sizes: []float64{1200, 4000, 12000, 1e9}, Machine: Machine{MemoryBytes: 16e9}, Env: Env{Log: &log}, Design: DefaultDesign, Limits: DefaultLimits})
	if err == nil || strings.Contains(err.Error(), "\n") || log.Len() > 0 {
		t.Errorf("got error %v and log %q, want an error of one line and no log", err, log.String())
	}
	_, err = Run(t.Context(), Options{Only: []string{"decisions", "decision"}, Machine: Machine{MemoryBytes: 16e9}})
	if err == nil || !strings.HasPrefix(err.Error(), "--only: expected some of decisions, ") || !strings.HasSuffix(err.Error(), `got "decision"`) {
		t.Errorf("unknown probe: got error %v, want one that names the probes and \"decision\"", err)
	}
}

// TestProbesAcceptTheirDefaultSizes checks that the default sizes of each probe fit on a machine with 24 GB, and that
// names are unique and figures complete.
func TestProbesAcceptTheirDefaultSizes(t *testing.T) {
	m := Machine{MemoryBytes: 24e9}
	seen := map[string]bool{}
	for _, p := range Probes() {
		for _, sizes := range [][]float64{p.Sizes, p.QuickSizes} {
			if err := p.Check(sizes, m); err != nil {
				t.Error(err)
			}
		}
		if seen[p.Name] || p.DesignSize(&DefaultDesign) <= 0 || len(p.Figures) == 0 {
			t.Errorf("probe %s: want a unique name, a design size above 0 and at least one figure", p.Name)
		}
		seen[p.Name] = true
		for _, f := range p.Figures {
			if seen[p.Name+"."+f.Name] || f.Description == "" || f.Unit == "" || f.Role == "" || f.Method == "" {
				t.Errorf("figure %s.%s: want a unique name, a description, a unit, a role and a method", p.Name, f.Name)
			}
			seen[p.Name+"."+f.Name] = true
			if f.Limit != nil && !(f.Limit(&DefaultDesign, &DefaultLimits) > 0) {
				t.Errorf("figure %s.%s: want a limit above 0", p.Name, f.Name)
			}
		}
	}
}

func runQuick(t *testing.T, names ...string) *Result {
	t.Helper()
	r, err := Run(t.Context(), Options{
		Only: names, Env: Env{Quick: true, Dir: t.TempDir()}, Command: "fawnglade-lab scale --quick", Time: time.Now(), Design: DefaultDesign,
		Limits: DefaultLimits, Machine: Machine{Cores: 1, MemoryBytes: 16e9, Go: "go"},
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestQuickRun runs all probes that need no node process, and checks the figures, the table, the plot and the JSON.
func TestQuickRun(t *testing.T) {
	r := runQuick(t, "decisions", "tenants", "classes", "services", "members", "disk", "endpoints", "routes", "subscribers", "inforce", "hearsay")
	for _, s := range r.Slopes {
		if len(s.Points) != 4 {
			t.Errorf("%s: got %d points, want 4; notes %v", s.Name, len(s.Points), s.Notes)
		}
		for _, p := range s.Points {
			if math.IsNaN(p.Value) || math.IsInf(p.Value, 0) {
				t.Errorf("%s: got %v at size %v, want a finite value", s.Name, p.Value, p.Size)
			}
		}
		if s.Limit > 0 && !almostEqual(s.LimitFactor, s.DesignValue/s.Limit) {
			t.Errorf("%s: design value %v, limit %v: got factor %v", s.Name, s.DesignValue, s.Limit, s.LimitFactor)
		}
	}
	// On any machine, one more endpoint, tenant or service takes more memory.
	for _, name := range []string{"decisions.memory", "tenants.memory", "services.memory", "disk.bytes"} {
		if f := slopeByName(t, r, name).Fit; f.Slope < 20 || f.Slope > 100e3 {
			t.Errorf("%s: got a slope of %v bytes, want 20 to 100e3", name, f.Slope)
		}
	}

	var table bytes.Buffer
	if err := Print(&table, r); err != nil {
		t.Fatal(err)
	}
	for _, s := range r.Slopes {
		if !strings.Contains(table.String(), "\n"+s.Name+" ") {
			t.Errorf("the table lacks %s", s.Name)
		}
	}
	path := filepath.Join(t.TempDir(), "slopes.png")
	if err := Plot(path, r); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if picture, err := png.Decode(bytes.NewReader(text)); err != nil || picture.Bounds().Dx() < 800 {
		t.Errorf("plot: got error %v, want a PNG at least 800 pixels wide", err)
	}
	checkJSONKeys(t, r)
}

func slopeByName(t *testing.T, r *Result, name string) *Slope {
	t.Helper()
	for i := range r.Slopes {
		if r.Slopes[i].Name == name {
			return &r.Slopes[i]
		}
	}
	t.Fatalf("the result lacks the slope %s", name)
	return nil
}

// checkJSONKeys checks the keys of a result's JSON, on which the documentation and other tools depend.
func checkJSONKeys(t *testing.T, r *Result) {
	t.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var raw struct {
		Day, Command string
		Machine      map[string]any
		Design       map[string]float64
		Limits       map[string]float64
		Slopes       []map[string]any
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		t.Fatal(err)
	}
	if raw.Design["servers"] != 120_000 || raw.Design["nodes"] != 5300 || raw.Limits["bytes_s"] != 22e3 || raw.Limits["cores"] != 0.027 || raw.Command == "" {
		t.Errorf("got design %v, limits %v, command %q; want the default design and limits, and a command", raw.Design, raw.Limits, raw.Command)
	}
	if _, err := time.Parse(time.DateOnly, raw.Day); err != nil {
		t.Error(err)
	}
	for _, s := range raw.Slopes {
		for _, key := range []string{"name", "what", "role", "unit", "size_of", "method", "points", "fit", "design_size", "how", "command", "day"} {
			if s[key] == nil {
				t.Errorf("slope %v lacks the key %s", s["name"], key)
			}
		}
		for _, key := range []string{"slope", "intercept", "residual"} {
			if s["fit"].(map[string]any)[key] == nil {
				t.Errorf("the fit of slope %v lacks the key %s", s["name"], key)
			}
		}
	}
}

func TestJoin(t *testing.T) {
	newResult := func(command string, limit float64, p ...Point) *Result {
		return &Result{Command: command, Slopes: []Slope{Slope{Name: "a.b", Points: p, DesignSize: 1000, Limit: limit, Command: command}.withFit()}}
	}
	r := Join(Join(nil, newResult("one", 50, Point{1, 1}, Point{10, 10}, Point{20, 21})), newResult("two", 100, Point{20, 20}, Point{50, 50}))
	s := slopeByName(t, r, "a.b")
	if len(s.Points) != 4 || s.Points[2] != (Point{20, 20}) || !almostEqual(s.Fit.Slope, 1) || !almostEqual(s.DesignValue, 1000) || !almostEqual(s.LimitFactor, 10) || s.Command != "one; two" {
		t.Errorf("got %+v, want 4 points with the later value at size 20, slope 1, 1000 at the design size and both commands", s)
	}
	r.Slopes[0].Name = "a.c"
	if got := len(Join(r, newResult("three", 1, Point{1, 1})).Slopes); got != 2 {
		t.Errorf("got %d slopes, want 2", got)
	}
}

func TestReadDesign(t *testing.T) {
	path := filepath.Join(t.TempDir(), "design.toml")
	read := func(text string) error {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d, l := DefaultDesign, DefaultLimits
		return ReadDesign(path, &d, &l)
	}
	d, l := DefaultDesign, DefaultLimits
	if err := os.WriteFile(path, []byte("[design]\nservers = 5\n[limits]\nbytes = 7.0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := ReadDesign(path, &d, &l); err != nil || d.Endpoints != 5 || l.MemoryBytes != 7 || d.Nodes != DefaultDesign.Nodes || l.Cores != DefaultLimits.Cores {
		t.Errorf("got error %v, design %+v, limits %+v; want 5 endpoints, 7 bytes and defaults otherwise", err, d, l)
	}
	err := read("[design]\nservers = 0\nnodes = -1\n[limits]\ncores = nan\n")
	for _, want := range []string{"design.servers: expected a number above 0, found 0", "design.nodes: expected a number above 0, found -1", "limits.cores"} {
		if !strings.Contains(errText(err), path+": "+want) {
			t.Errorf("invalid figures: got error %v, want one with %q", err, want)
		}
	}
	err = read("[design]\nservants = 1\nmodes = 2\n")
	for _, want := range []string{"servants", "modes"} {
		if !strings.Contains(errText(err), want) {
			t.Errorf("unknown keys: got error %v, want one with %q", err, want)
		}
	}
}

// TestDocumentedDesignMatchesDefault checks that the example in the documentation has the default design and limits,
// and that the page names all probes.
func TestDocumentedDesignMatchesDefault(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operate/scale.md")
	if err != nil {
		t.Fatal(err)
	}
	_, example, _ := strings.Cut(string(page), "## Other figures to design for")
	path := filepath.Join(t.TempDir(), "design.toml")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(example, "\n    ", "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	var d Design
	var l Limits
	if err := ReadDesign(path, &d, &l); err != nil || d != DefaultDesign || l != DefaultLimits {
		t.Errorf("documented example: got error %v, design %+v, limits %+v; want the defaults", err, d, l)
	}
	for _, p := range Probes() {
		if !strings.Contains(string(page), "`"+p.Name+"`") {
			t.Errorf("the page does not name the probe %s", p.Name)
		}
	}
}

// TestRunRecordsNotesForFailedSizes checks that sizes that cannot be measured get a note, and that an interrupted run
// returns its partial result.
func TestRunRecordsNotesForFailedSizes(t *testing.T) {
	r := runQuick(t, "process", "hollow") // no node program is configured
	for _, s := range r.Slopes {
		if len(s.Points) != 0 || s.Source != "not measured" || s.LimitFactor != 0 || len(s.Notes) != 4 || !strings.Contains(s.Notes[0], "no node program found") {
			t.Errorf("got %+v, want no points and 4 notes that no node program was found", s)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	r, err := Run(ctx, Options{Only: []string{"disk"}, Env: Env{Quick: true, Dir: t.TempDir()}, Design: DefaultDesign, Limits: DefaultLimits, Machine: Machine{MemoryBytes: 16e9}})
	if err == nil || r == nil || len(r.Slopes) == 0 || !strings.Contains(strings.Join(r.Slopes[0].Notes, " "), "the run was ended") {
		t.Errorf("interrupted run: got error %v, result %+v; want an error and a result with notes", err, r)
	}
}

func TestProcessorTimeGrowsWithWork(t *testing.T) {
	sum := 0.0
	took := cpuTimeOf(func() {
		for i := range 20_000_000 {
			sum += float64(i)
		}
	})
	if idle := cpuTimeOf(func() { time.Sleep(50 * time.Millisecond) }); took <= 0 || idle > 0.045 {
		t.Errorf("got %v s of CPU time for work and %v s for sleep, want above 0 and at most 0.045 (sum %v)", took, idle, sum)
	}
	if memory, err := readResident(0); err != nil || memory.now < 1e6 || memory.peak < memory.now {
		t.Errorf("got error %v, memory %+v, want at least 1e6 bytes and a peak not below them", err, memory)
	}
}

// Guards against a start from disk that is measured before the node has written anything but its store's header.
func TestStateIsStoredOnceABatchIsWritten(t *testing.T) {
	header, first, grown := storedState{bytes: 20}, storedState{9049, 100, 1}, storedState{9124, 100, 2}
	for name, c := range map[string]struct {
		before, now storedState
		want        bool
	}{
		"header alone":           {header, header, false},
		"first batch":            {header, first, false},
		"first batch, no more":   {first, first, true},
		"another batch":          {first, grown, false},
		"another batch, no more": {grown, grown, true},
	} {
		if got := c.now.isSettled(c.before); got != c.want {
			t.Errorf("%s: got stored %t, want %t", name, got, c.want)
		}
	}
}
