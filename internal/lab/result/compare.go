package result

// This file owns the comparison of two builds on the same seeds. It must never mix pairs, nor count one whose machine
// ran late.

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is a paired one, with the interval that holds its mean with 95% where differences are normal.
type Difference struct {
	Name  string    `json:"name"`
	A     []float64 `json:"a"`
	B     []float64 `json:"b"`
	MeanA float64   `json:"mean_a"`
	MeanB float64   `json:"mean_b"`
	Mean  float64   `json:"b_less_a"`
	Low   *float64  `json:"low"` // null with fewer than two pairs
	High  *float64  `json:"high"`
}

// Comparison of two builds.
type Comparison struct {
	Scenario    string       `json:"scenario"`
	NameA       string       `json:"name_a"`
	NameB       string       `json:"name_b"`
	Pairs       int          `json:"pairs"`
	Void        int          `json:"void"` // pairs left out, as the machine ran late
	ViolationsA int          `json:"rules_broken_a"`
	ViolationsB int          `json:"rules_broken_b"`
	Differences []Difference `json:"differences"`
}

// Paired works out how B differs from A. The same seed must stand at the same place of both.
func Paired(scenario, nameA, nameB string, a, b []*Result) (*Comparison, error) {
	if len(a) != len(b) {
		return nil, fmt.Errorf("expected as many days of one as of the other, got %d and %d", len(a), len(b))
	}
	c := &Comparison{Scenario: scenario, NameA: nameA, NameB: nameB}
	var goodA, goodB []*Result
	for i := range a {
		if a[i].Drawn != b[i].Drawn {
			return nil, fmt.Errorf("pair %d is not of one plan: %v and %v", i, a[i].Drawn, b[i].Drawn)
		}
		c.ViolationsA += a[i].ViolationCount
		c.ViolationsB += b[i].ViolationCount
		if a[i].Verdict == Void || b[i].Verdict == Void {
			c.Void++
			continue
		}
		goodA, goodB = append(goodA, a[i]), append(goodB, b[i])
	}
	c.Pairs = len(goodA)
	for _, one := range []struct {
		name string
		of   func(*Result) float64
	}{
		{"earnings_in_time", func(r *Result) float64 { return r.WeightShare }},
		{"worst_10s", func(r *Result) float64 { return r.Worst(10) }},
		{"worst_category", func(r *Result) float64 { return r.WorstClass() }},
		{"satisfied", func(r *Result) float64 { return float64(r.Succeeded) }},
		{"declined", func(r *Result) float64 { return float64(r.Rejected) }},
		{"broken_off", func(r *Result) float64 { return float64(r.Failed) }},
		{"p50_ms", func(r *Result) float64 { return r.P50Ms }},
		{"p99_ms", func(r *Result) float64 { return r.P99Ms }},
		{"hand_offs", func(r *Result) float64 { return float64(r.Attempts.Sent) }},
		{"cpu_s", func(r *Result) float64 {
			sum := 0.0
			for _, n := range r.Nodes {
				sum += n.CPUSeconds
			}
			return sum
		}},
	} {
		d := Difference{Name: one.name}
		var diffs []float64
		for i := range goodA {
			x, y := one.of(goodA[i]), one.of(goodB[i])
			d.A, d.B, diffs = append(d.A, x), append(d.B, y), append(diffs, y-x)
		}
		if len(diffs) > 0 {
			d.MeanA, d.MeanB, d.Mean = stat.Mean(d.A, nil), stat.Mean(d.B, nil), stat.Mean(diffs, nil)
		}
		if n := float64(len(diffs)); n > 1 {
			half := stat.StdDev(diffs, nil) / math.Sqrt(n) * distuv.StudentsT{Nu: n - 1, Sigma: 1}.Quantile(0.975)
			low, high := d.Mean-half, d.Mean+half
			d.Low, d.High = &low, &high
		}
		c.Differences = append(c.Differences, d)
	}
	return c, nil
}

// Print writes the comparison as a table.
func (c *Comparison) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: A %s, B %s, %d pairs, %d left out as the machine ran late\n", c.Scenario, c.NameA, c.NameB, c.Pairs, c.Void)
	fmt.Fprintf(w, "%18s %12s %12s %12s   %s\n", "", "A", "B", "B less A", "95% interval")
	for _, d := range c.Differences {
		interval := "-"
		if d.Low != nil {
			interval = fmt.Sprintf("%.4f to %.4f", *d.Low, *d.High)
		}
		fmt.Fprintf(w, "%18s %12.4f %12.4f %12.4f   %s\n", d.Name, d.MeanA, d.MeanB, d.Mean, interval)
	}
	fmt.Fprintf(w, "rules broken: A %d, B %d\n", c.ViolationsA, c.ViolationsB)
}
