package scale

import (
	"cmp"
	"slices"
	"strings"
)

// Point is one measured value.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope holds one figure for all sizes, with its fit and its value at the design size.
type Slope struct {
	Name        string   `json:"name"` // probe.figure
	Description string   `json:"what"`
	Role        string   `json:"role"`
	Unit        string   `json:"unit"`
	SizeUnit    string   `json:"size_of"`
	Method      string   `json:"method"`
	Substitute  string   `json:"missing,omitempty"`
	Points      []Point  `json:"points"`
	Notes       []string `json:"notes,omitempty"` // reasons for sizes that could not be measured
	Fit         Fit      `json:"fit"`
	NodeMax     float64  `json:"cap,omitempty"` // largest size that the node's code supports; 0: no limit
	DesignSize  float64  `json:"design_size"`
	DesignValue float64  `json:"at_design"`
	Source      string   `json:"how"` // of DesignValue, as returned by Fit.valueAt; names NodeMax if the design size exceeds it
	Limit       float64  `json:"limit,omitempty"`
	LimitFactor float64  `json:"factor,omitempty"` // DesignValue / Limit
	Command     string   `json:"command"`
	Day         string   `json:"day"` // YYYY-MM-DD
}

// Result holds all figures of a run.
type Result struct {
	Day     string  `json:"day"` // YYYY-MM-DD
	Command string  `json:"command"`
	Machine Machine `json:"machine"`
	Quick   bool    `json:"quick,omitempty"`
	Design  Design  `json:"design"`
	Limits  Limits  `json:"limits"`
	Slopes  []Slope `json:"slopes"`
}

// withFit returns the slope with its fit and its value at the design size computed from the points.
func (s Slope) withFit() Slope {
	s.Fit = fitLine(s.Points)
	s.LimitFactor = 0
	s.DesignValue, s.Source = s.Fit.valueAt(s.Points, s.DesignSize)
	if s.NodeMax > 0 && s.DesignSize > s.NodeMax {
		s.Source += ", but nothing beyond " + formatCount(s.NodeMax)
	}
	if s.Limit > 0 && len(s.Points) > 0 {
		s.LimitFactor = s.DesignValue / s.Limit
	}
	return s
}

// Join merges a later result into an earlier one, which may be nil. Slopes with the same name get the points of both;
// for a size in both, the later point. The design and the limits are those of the later result.
func Join(earlier, later *Result) *Result {
	if earlier == nil {
		return later
	}
	joined := *later
	joined.Slopes = slices.Clone(earlier.Slopes)
	for _, s := range later.Slopes {
		i := slices.IndexFunc(joined.Slopes, func(old Slope) bool { return old.Name == s.Name })
		if i < 0 {
			joined.Slopes = append(joined.Slopes, s)
			continue
		}
		joined.Slopes[i] = joinSlopes(joined.Slopes[i], s)
	}
	if !strings.Contains(earlier.Command, later.Command) {
		joined.Command = earlier.Command + "; " + later.Command
	}
	return &joined
}

func joinSlopes(earlier, later Slope) Slope {
	points := slices.Clone(later.Points)
	for _, p := range earlier.Points {
		if !slices.ContainsFunc(later.Points, func(q Point) bool { return q.Size == p.Size }) {
			points = append(points, p)
		}
	}
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	if len(points) > len(later.Points) && earlier.Command != later.Command {
		later.Command = earlier.Command + "; " + later.Command
	}
	for _, note := range earlier.Notes {
		if !slices.Contains(later.Notes, note) {
			later.Notes = append(later.Notes, note)
		}
	}
	later.Points = points
	return later.withFit()
}
