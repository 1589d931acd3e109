package result

import (
	"fmt"
	"io"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is the difference of one figure between two builds, over pairs of runs. Low and High bound the 95%
// confidence interval of MeanDifference, assuming normally distributed differences; nil with fewer than two pairs.
type Difference struct {
	Name           string    `json:"name"`
	A              []float64 `json:"a"`
	B              []float64 `json:"b"`
	MeanA          float64   `json:"mean_a"`
	MeanB          float64   `json:"mean_b"`
	MeanDifference float64   `json:"b_less_a"`
	Low            *float64  `json:"low"`
	High           *float64  `json:"high"`
}

// Comparison compares two builds over pairs of runs; both runs of a pair have the same seed.
type Comparison struct {
	Scenario    string       `json:"scenario"`
	NameA       string       `json:"name_a"`
	NameB       string       `json:"name_b"`
	Pairs       int          `json:"pairs"`
	VoidPairs   int          `json:"void"` // excluded because the lab lagged in at least one of the two runs
	ViolationsA int          `json:"rules_broken_a"`
	ViolationsB int          `json:"rules_broken_b"`
	Differences []Difference `json:"differences"`
}

// comparedFigures are the figures of a Comparison, in its order.
var comparedFigures = []struct {
	name  string
	value func(*Result) float64
}{
	{"earnings_in_time", func(r *Result) float64 { return r.FractionInTime }},
	{"worst_10s", func(r *Result) float64 { return r.WorstWindow(10) }},
	{"worst_category", (*Result).WorstClass},
	{"satisfied", func(r *Result) float64 { return float64(r.Succeeded) }},
	{"declined", func(r *Result) float64 { return float64(r.Rejected) }},
	{"broken_off", func(r *Result) float64 { return float64(r.Failed) }},
	{"p50_ms", func(r *Result) float64 { return r.P50 }},
	{"p99_ms", func(r *Result) float64 { return r.P99 }},
	{"hand_offs", func(r *Result) float64 { return float64(r.Attempts.Sent) }},
	{"cpu_s", (*Result).cpuSeconds},
}

func (r *Result) cpuSeconds() float64 {
	sum := 0.0
	for _, n := range r.Nodes {
		sum += n.CPUSeconds
	}
	return sum
}

// Compare computes how build B differs from build A. Results at the same index form a pair and must have the same plan;
// otherwise it returns an error. Pairs with a void run are counted and excluded from the differences.
func Compare(scenario, nameA, nameB string, a, b []*Result) (*Comparison, error) {
	if len(a) != len(b) {
		return nil, fmt.Errorf("expected the same number of runs of both builds, got %d and %d", len(a), len(b))
	}
	c := &Comparison{Scenario: scenario, NameA: nameA, NameB: nameB}
	var validA, validB []*Result
	for i := range a {
		if a[i].Plan != b[i].Plan {
			return nil, fmt.Errorf("pair %d: expected runs of the same plan, got %v and %v", i, a[i].Plan, b[i].Plan)
		}
		c.ViolationsA += a[i].ViolationCount
		c.ViolationsB += b[i].ViolationCount
		if a[i].Verdict == Void || b[i].Verdict == Void {
			c.VoidPairs++
			continue
		}
		validA = append(validA, a[i])
		validB = append(validB, b[i])
	}
	c.Pairs = len(validA)
	for _, figure := range comparedFigures {
		c.Differences = append(c.Differences, differenceOf(figure.name, figure.value, validA, validB))
	}
	return c, nil
}

func differenceOf(name string, value func(*Result) float64, a, b []*Result) Difference {
	d := Difference{Name: name}
	var differences []float64
	for i := range a {
		valueA, valueB := value(a[i]), value(b[i])
		d.A = append(d.A, valueA)
		d.B = append(d.B, valueB)
		differences = append(differences, valueB-valueA)
	}
	if len(differences) == 0 {
		return d
	}
	d.MeanA = stat.Mean(d.A, nil)
	d.MeanB = stat.Mean(d.B, nil)
	d.MeanDifference = stat.Mean(differences, nil)
	if n := float64(len(differences)); n > 1 {
		halfWidth := stat.StdDev(differences, nil) / math.Sqrt(n) * distuv.StudentsT{Nu: n - 1, Sigma: 1}.Quantile(0.975)
		low, high := d.MeanDifference-halfWidth, d.MeanDifference+halfWidth
		d.Low, d.High = &low, &high
	}
	return d
}

// Print writes the comparison as a table.
func (c *Comparison) Print(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: A %s, B %s, %d pairs, %d excluded because the lab lagged\n",
		c.Scenario, c.NameA, c.NameB, c.Pairs, c.VoidPairs)
	fmt.Fprintf(&out, "%18s %12s %12s %12s   %s\n", "", "A", "B", "B less A", "95% interval")
	for _, d := range c.Differences {
		interval := "-"
		if d.Low != nil {
			interval = fmt.Sprintf("%.4f to %.4f", *d.Low, *d.High)
		}
		fmt.Fprintf(&out, "%18s %12.4f %12.4f %12.4f   %s\n", d.Name, d.MeanA, d.MeanB, d.MeanDifference, interval)
	}
	fmt.Fprintf(&out, "rules broken: A %d, B %d\n", c.ViolationsA, c.ViolationsB)
	_, err := io.WriteString(w, out.String())
	return err
}
