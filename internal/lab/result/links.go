package result

// This file owns what is said of ways and beliefs: who could reach whom, what nodes believed of one another against what ran. It
// must never take a node that did not say for one that was right.

import (
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fmt"
	"io"
	"strings"
)

// Views is what nodes believed of one another over a day.
type Views struct {
	AgreeFromS float64 `json:"agree_from_s"` // from then on all that run know which run; -1: not at the end
	Wrong      []int   `json:"wrong_by_1s"`  // beliefs of a node up that does not run, or the other way round
	Unknown    []int   `json:"unknown_by_1s"`
}

// viewsOf sets beliefs against what ran at the same moment.
func viewsOf(beliefs []trace.MembershipView, runs []trace.RunningNodes) *Views {
	if len(runs) == 0 {
		return nil
	}
	v := &Views{AgreeFromS: -1}
	next := 0
	for _, r := range runs {
		wrong, unknown, said := 0, 0, 0
		for ; next < len(beliefs) && beliefs[next].At <= r.At; next++ {
			b := &beliefs[next]
			said++
			if !b.Known {
				unknown++
			}
			for k := range min(len(b.States), len(r.States)) {
				if (b.States[k] == 'U') != (r.States[k] == 'U') {
					wrong++
				}
			}
		}
		v.Wrong, v.Unknown = append(v.Wrong, wrong), append(v.Unknown, unknown)
		switch {
		case wrong > 0 || said == 0:
			v.AgreeFromS = -1
		case v.AgreeFromS < 0:
			v.AgreeFromS = float64(r.At) / 1e9
		}
	}
	return v
}

// reachLines puts who could reach whom into lines, a line for each stretch of seconds that are alike.
func reachLines(reach []netfault.Reach) []string {
	var out []string
	text := func(r netfault.Reach) string {
		parts := strings.Join(r.Parts, " | ")
		if len(r.Parts) > 12 {
			parts = fmt.Sprintf("%d parts, the first %s", len(r.Parts), r.Parts[0])
		}
		for _, w := range append(append([]string(nil), r.OneWay...), r.Faults...) {
			parts += "; " + w
		}
		return parts
	}
	for i := 0; i < len(reach); {
		j := i
		for j+1 < len(reach) && text(reach[j+1]) == text(reach[i]) {
			j++
		}
		out = append(out, fmt.Sprintf("%d to %d s: %s", i, j+1, text(reach[i])))
		i = j + 1
	}
	return out
}

// printWays writes both for a terminal.
func (r *Result) printLinks(w io.Writer) {
	for _, line := range reachLines(r.Reach) {
		fmt.Fprintf(w, "reach %s\n", line)
	}
	if v := r.Views; v != nil {
		wrong, unknown := 0, 0
		for i := range v.Wrong {
			wrong, unknown = wrong+v.Wrong[i], unknown+v.Unknown[i]
		}
		from := "not at the end"
		if v.AgreeFromS >= 0 {
			from = fmt.Sprintf("from %.0f s on", v.AgreeFromS)
		}
		fmt.Fprintf(w, "who is there: all agree %s; %d beliefs wrong, %d views that say unknown, over %d samples\n", from, wrong, unknown, len(v.Wrong))
	}
}
