package result

import (
	"fmt"
	"slices"
	"strings"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
)

// maxGroupsPrinted is how many groups of nodes that reach one another are named one by one.
const maxGroupsPrinted = 12

// Views compares, by sample, what nodes took to be the members with the nodes that ran.
type Views struct {
	AgreeFromS float64 `json:"agree_from_s"` // from then on all nodes know which of them run; -1: not at the end
	Wrong      []int   `json:"wrong_by_1s"`  // members taken to be up that do not run, or the other way round
	Unknown    []int   `json:"unknown_by_1s"`
}

// viewsOf compares the views of each sample with what ran at that moment; nil without samples. A sample in which no
// node gave its view is not one in which all agree.
func viewsOf(views []trace.MembershipView, running []trace.RunningNodes) *Views {
	if len(running) == 0 {
		return nil
	}
	summary := &Views{AgreeFromS: -1}
	next := 0
	for _, sample := range running {
		wrong, unknown, viewCount := 0, 0, 0
		for ; next < len(views) && views[next].At <= sample.At; next++ {
			view := &views[next]
			viewCount++
			if !view.Reliable {
				unknown++
			}
			wrong += countWrong(view, sample)
		}
		summary.Wrong = append(summary.Wrong, wrong)
		summary.Unknown = append(summary.Unknown, unknown)
		switch {
		case wrong > 0 || viewCount == 0:
			summary.AgreeFromS = -1
		case summary.AgreeFromS < 0:
			summary.AgreeFromS = float64(sample.At) / 1e9
		}
	}
	return summary
}

// countWrong counts the members that a view takes to be up and that do not run, or the other way round.
func countWrong(view *trace.MembershipView, sample trace.RunningNodes) int {
	const up = 'U'
	wrong := 0
	for i := range min(len(view.States), len(sample.States)) {
		if (view.States[i] == up) != (sample.States[i] == up) {
			wrong++
		}
	}
	return wrong
}

// reachLines describes who could reach whom, a line for each stretch of seconds that are alike.
func reachLines(reach []netfault.Reachability) []string {
	var lines []string
	for from := 0; from < len(reach); {
		text := reachText(reach[from])
		to := from + 1
		for to < len(reach) && reachText(reach[to]) == text {
			to++
		}
		lines = append(lines, fmt.Sprintf("%d to %d s: %s", from, to, text))
		from = to
	}
	return lines
}

func reachText(r netfault.Reachability) string {
	text := strings.Join(r.Partitions, " | ")
	if len(r.Partitions) > maxGroupsPrinted {
		text = fmt.Sprintf("%d parts, the first %s", len(r.Partitions), r.Partitions[0])
	}
	for _, detail := range slices.Concat(r.OneWay, r.Faults) {
		text += "; " + detail
	}
	return text
}

func (r *Result) printReachability(out *strings.Builder) {
	for _, line := range reachLines(r.Reach) {
		fmt.Fprintf(out, "reach %s\n", line)
	}
	if r.Views == nil {
		return
	}
	wrong, unknown := 0, 0
	for i := range r.Views.Wrong {
		wrong += r.Views.Wrong[i]
		unknown += r.Views.Unknown[i]
	}
	from := "not at the end"
	if r.Views.AgreeFromS >= 0 {
		from = fmt.Sprintf("from %.0f s on", r.Views.AgreeFromS)
	}
	fmt.Fprintf(out, "who is there: all agree %s; %d beliefs wrong, %d views that say unknown, over %d samples\n",
		from, wrong, unknown, len(r.Views.Wrong))
}
