package result

import (
	"fmt"
	"slices"
	"strings"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
)

// maxGroupsPrinted is the number of partitions up to which all are listed.
const maxGroupsPrinted = 12

// Views compares, for each sample, the membership views of the nodes with the nodes that ran.
type Views struct {
	AgreeFromS float64 `json:"agree_from_s"` // since when all views are correct until the end; -1: not at the end
	Wrong      []int   `json:"wrong_by_1s"`  // member states per sample: down but seen as up, or up but not seen as up
	Unknown    []int   `json:"unknown_by_1s"`
}

// viewsOf compares the views of each sample with the nodes that ran at its time; it returns nil without samples. A
// sample without any view does not count as agreement.
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

// countWrong counts the members that a view reports as up although they do not run, or does not report as up although
// they do.
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

// reachLines describes which nodes could reach one another, in one line for each run of identical seconds.
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
		text = fmt.Sprintf("%d partitions, the first %s", len(r.Partitions), r.Partitions[0])
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
	from := "not by the end"
	if r.Views.AgreeFromS >= 0 {
		from = fmt.Sprintf("from %.0f s on", r.Views.AgreeFromS)
	}
	fmt.Fprintf(out, "membership: all nodes agree %s; %d wrong member states, %d unreliable views, in %d samples\n",
		from, wrong, unknown, len(r.Views.Wrong))
}
