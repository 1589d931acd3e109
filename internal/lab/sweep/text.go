package sweep

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// estimate is a mean with half the width of its 95% confidence interval; halfWidth is 0 for a single value.
type estimate struct {
	mean, halfWidth float64
}

// estimateOf estimates the mean of one column over rows that differ only in their seeds.
func estimateOf(rows []Row, column int) estimate {
	var values []float64
	for _, r := range rows {
		values = append(values, r.Figures[column])
	}
	e := estimate{mean: stat.Mean(values, nil)}
	if len(values) < 2 {
		return e
	}
	n := float64(len(values))
	e.halfWidth = stat.StdDev(values, nil) / math.Sqrt(n) * distuv.StudentsT{Nu: n - 1, Sigma: 1}.Quantile(0.975)
	return e
}

// selectRows returns the rows of one decider with the given values, one for each seed.
func selectRows(rows []Row, decider string, values ...string) []Row {
	var selected []Row
	for _, r := range rows {
		if r.Decider == decider && slices.Equal(r.Values, values) {
			selected = append(selected, r)
		}
	}
	return selected
}

// Print writes a table with the means over the seeds and their confidence intervals.
func Print(w io.Writer, axes []Axis, rows []Row) error {
	var text strings.Builder
	for _, a := range axes {
		fmt.Fprintf(&text, "%s\t", a.Key)
	}
	fmt.Fprintf(&text, "by\tdays\t%s\t\n", strings.Join(Columns, "\t"))
	printed := map[string]bool{}
	for _, r := range rows {
		key := strings.Join(append(slices.Clone(r.Values), r.Decider), "\t")
		if printed[key] {
			continue
		}
		printed[key] = true
		repeats := selectRows(rows, r.Decider, r.Values...)
		fmt.Fprintf(&text, "%s\t%d", key, len(repeats))
		for column := range Columns {
			e := estimateOf(repeats, column)
			fmt.Fprintf(&text, "\t%.3f +- %.3f", e.mean, e.halfWidth)
		}
		text.WriteString("\t\n")
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}
