// Package fleet runs fleets of nodes for tests and measurements: it starts nodes, injects faults on the links between
// them, reads their membership views and waits for conditions on these. The same cases run in virtual time and with
// processes of the built program. Waits are bounded by the protocol periods that the nodes themselves have counted,
// never by time alone, so that results do not depend on the speed of the machine.
package fleet

import (
	"fmt"
	"strings"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// Fleet is a set of nodes and the links between them. Nodes are identified by index.
type Fleet interface {
	Len() int
	// Start starts a process of a node, or another of the same name if one runs already.
	Start(node int) error
	// Kill kills all processes of a node, Stop shuts them down gracefully, Pause suspends them and Resume continues
	// them.
	Kill(node int)
	Stop(node int)
	Pause(node int)
	Resume(node int)
	// AddFaults replaces the faults on links. Their times are relative to now; End 0: until ClearFaults.
	AddFaults(faults ...netfault.Fault)
	ClearFaults()
	// Views returns the membership view of each node; nil for a node that does not respond. It does not query the
	// second process of a name.
	Views() []*members.View
	// Step lets about a fifth of a protocol period pass.
	Step()
	// Inject delivers a datagram to a node as if from the network.
	Inject(to int, datagram []byte)
	// CapturedDatagram returns a datagram that one node sent to another; nil if there is none.
	CapturedDatagram(from, to int) []byte
}

// WaitUntil waits until holds is true of all views. It fails once every node that responds has gone through more than
// the given number of protocol periods since the call. condition describes holds in the error; took is in protocol
// periods.
func WaitUntil(f Fleet, periods int64, condition string, holds func([]*members.View) bool) (took int64, err error) {
	firstPeriods := make([]int64, f.Len())
	for i := range firstPeriods {
		firstPeriods[i] = -1
	}
	unanswered := 0
	for {
		views := f.Views()
		minPassed := int64(-1)
		for i, v := range views {
			if v == nil {
				continue
			}
			if firstPeriods[i] < 0 || v.Periods < firstPeriods[i] { // a new process counts from 0
				firstPeriods[i] = v.Periods
			}
			if passed := v.Periods - firstPeriods[i]; minPassed < 0 || passed < minPassed {
				minPassed = passed
			}
		}
		if holds(views) {
			return max(minPassed, 0), nil
		}
		if unanswered++; minPassed >= 0 {
			unanswered = 0
		}
		if minPassed > periods || unanswered > 2000 {
			return minPassed, fmt.Errorf("condition %q does not hold after %d protocol periods of every node:\n%s", condition, minPassed, FormatViews(views))
		}
		f.Step()
	}
}

// RequireDuring checks that holds stays true while every node that responds goes through the given number of protocol
// periods.
func RequireDuring(f Fleet, periods int64, condition string, holds func([]*members.View) bool) error {
	violated := ""
	_, err := WaitUntil(f, periods, condition, func(views []*members.View) bool {
		if !holds(views) && violated == "" {
			violated = FormatViews(views)
		}
		return violated != ""
	})
	if err != nil { // the wait for a violation ran out, so the condition always held
		return nil
	}
	return fmt.Errorf("condition %q was violated with these views:\n%s", condition, violated)
}

// stateLetters are the letters of the member states in FormatViews.
var stateLetters = map[string]string{"never seen": ".", "up": "U", "doubted": "?", "silent": "-", "left": "L"}

// FormatViews formats views as a table with a row for each node and a letter for the state of each member in its view.
func FormatViews(views []*members.View) string {
	var b strings.Builder
	for i, v := range views {
		fmt.Fprintf(&b, "n%-3d ", i)
		if v == nil {
			b.WriteString("no response\n")
			continue
		}
		for _, member := range v.Members {
			b.WriteString(stateLetters[member.State])
		}
		summary := v.Summary
		fmt.Fprintf(&b, "  protocol period %d, health score %d, reliable %v %s, probe success rate %.2f\n", v.Periods, v.HealthScore, summary.Reliable, summary.Reason, summary.ProbeSuccessRate)
	}
	return b.String()
}

// ViewsMatch returns a condition that all given nodes respond, and that the state of each member in their views is the
// wanted one; "" matches any state.
func ViewsMatch(nodes []int, want func(node int) string) func([]*members.View) bool {
	return func(views []*members.View) bool {
		for _, i := range nodes {
			if views[i] == nil {
				return false
			}
			for k, member := range views[i].Members {
				if state := want(k); state != "" && member.State != state {
					return false
				}
			}
		}
		return true
	}
}

// AllInState returns a function for ViewsMatch that wants the same state of all nodes.
func AllInState(state string) func(int) string { return func(int) string { return state } }

// NodeRange returns the node indexes from a to b-1.
func NodeRange(a, b int) []int {
	var nodes []int
	for i := a; i < b; i++ {
		nodes = append(nodes, i)
	}
	return nodes
}

// NodeEnds returns the link ends of nodes.
func NodeEnds(nodes []int) []netfault.End {
	ends := make([]netfault.End, len(nodes))
	for i, n := range nodes {
		ends[i] = netfault.End{Kind: netfault.Node, Index: n}
	}
	return ends
}
