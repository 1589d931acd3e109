package scale

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
)

// formatCount formats a whole number with thousands separators, any other number with four significant digits.
func formatCount(v float64) string {
	if v != math.Trunc(v) {
		return strconv.FormatFloat(v, 'g', 4, 64)
	}
	text := strconv.FormatFloat(math.Abs(v), 'f', 0, 64)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	if v < 0 {
		text = "-" + text
	}
	return text
}

// formatShort formats a number with three significant digits, and with the suffix k, M or G if it is large.
func formatShort(v float64) string {
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

// Print writes a table with the measured values, the fit, the value at the design size and the limit of each slope,
// followed by the notes.
func Print(w io.Writer, r *Result) error {
	var rows, notes strings.Builder
	rows.WriteString("figure\tunit\tsizes: measured\tslope\tintercept\tresidual\tline holds to\tat design\tby\tlimit\tfactor\t\n")
	for i := range r.Slopes {
		rows.WriteString(r.Slopes[i].row())
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, note := range r.notes() {
		fmt.Fprintln(&notes, note)
	}
	fmt.Fprintf(&notes, "Measured on %s, %d cores, %.0f GB, %s: %s\n",
		r.Day, r.Machine.Cores, r.Machine.MemoryBytes/1e9, r.Machine.Go, r.Command)
	_, err := io.WriteString(w, notes.String())
	return err
}

func (s *Slope) row() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, formatShort(p.Size)+": "+formatShort(p.Value))
	}
	holds, limit, factor := "all sizes", "", ""
	if s.Fit.BreaksBeyond > 0 {
		holds = fmt.Sprintf("%s (then ^%.2f)", formatShort(s.Fit.BreaksBeyond), s.Fit.Power)
	}
	if s.Limit > 0 {
		limit, factor = formatShort(s.Limit), formatShort(s.LimitFactor)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s at %s %s\t%s\t%s\t%s\t\n",
		s.Name, s.Unit, strings.Join(points, " "), formatShort(s.Fit.Slope), formatShort(s.Fit.Intercept), 100*s.Fit.Residual, holds,
		formatShort(s.DesignValue), formatShort(s.DesignSize), s.SizeUnit, s.Source, limit, factor)
}

// notes returns the notes of all probes without duplicates: the slopes of one probe share their notes.
func (r *Result) notes() []string {
	var notes []string
	seen := map[string]bool{}
	for _, s := range r.Slopes {
		probe, _, _ := strings.Cut(s.Name, ".")
		for _, note := range append([]string{s.Substitute}, s.Notes...) {
			text := probe + ": " + note
			if note == "" || seen[text] {
				continue
			}
			seen[text] = true
			notes = append(notes, text)
		}
	}
	return notes
}
