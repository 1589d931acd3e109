// Package fleet owns fleets of nodes for tests and measurements: start some, break and mend the links between them, ask each what
// it believes, wait for a statement to hold. The same cases play in virtual time and with processes of the built program. A wait
// is bounded by rounds that the nodes themselves have been through, so that no verdict hangs on a slow machine; it must never
// be bounded by time alone.
package fleet

import (
	"fmt"
	"strings"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// Fleet is some nodes and the links between them. A node is named by its number.
type Fleet interface {
	Len() int
	// Start begins a node's process, or one more of its name where one runs already.
	Start(node int) error
	// Kill ends all processes of a node at once; Stop has it end in order; Freeze and Thaw hold it where it stands.
	Kill(node int)
	Stop(node int)
	Pause(node int)
	Resume(node int)
	// AddFaults puts faults on links until ClearFaults. Times of a fault are counted from now; End 0: until ClearFaults.
	AddFaults(faults ...netfault.Fault)
	ClearFaults()
	// Views asks every node what it believes; nil for one that does not say. The second process of a name is not asked.
	Views() []*members.View
	// Step lets something like a fifth of a round pass.
	Step()
	// Inject has a datagram come to a node as if from a wire.
	Inject(to int, datagram []byte)
	// Copied returns a datagram that once went from one node to another; nil if none did.
	CapturedDatagram(from, to int) []byte
}

// Until waits for a statement about all views to hold, and fails once every node that answers has been through so many rounds
// since the call, with the statement false to the end.
func WaitUntil(f Fleet, rounds int64, what string, holds func([]*members.View) bool) (took int64, err error) {
	first := make([]int64, f.Len())
	for i := range first {
		first[i] = -1
	}
	silent := 0
	for {
		views := f.Views()
		least := int64(-1)
		for i, v := range views {
			if v == nil {
				continue
			}
			if first[i] < 0 || v.Periods < first[i] { // a new process begins again
				first[i] = v.Periods
			}
			if passed := v.Periods - first[i]; least < 0 || passed < least {
				least = passed
			}
		}
		if holds(views) {
			return max(least, 0), nil
		}
		if silent++; least >= 0 {
			silent = 0
		}
		if least > rounds || silent > 2000 {
			return least, fmt.Errorf("%s: not so after %d rounds of every node:\n%s", what, least, FormatViews(views))
		}
		f.Step()
	}
}

// Hold watches a statement stay true while every node that answers goes through so many rounds.
func RequireDuring(f Fleet, rounds int64, what string, holds func([]*members.View) bool) error {
	broken := ""
	_, err := WaitUntil(f, rounds, what, func(views []*members.View) bool {
		if !holds(views) && broken == "" {
			broken = FormatViews(views)
		}
		return broken != ""
	})
	if err != nil { // it was never false
		return nil
	}
	return fmt.Errorf("%s: not so at a moment:\n%s", what, broken)
}

// letters of the states in a table of views.
var stateLetters = map[string]string{"never seen": ".", "up": "U", "doubted": "?", "silent": "-", "left": "L"}

// Table shows views beneath one another: a row for each node that believes, a letter for each that it believes of.
func FormatViews(views []*members.View) string {
	var b strings.Builder
	for i, v := range views {
		fmt.Fprintf(&b, "n%-3d ", i)
		if v == nil {
			b.WriteString("does not say\n")
			continue
		}
		for _, r := range v.Members {
			b.WriteString(stateLetters[r.State])
		}
		f := v.Summary
		fmt.Fprintf(&b, "  round %d, strain %d, known %v %s, heard %.2f\n", v.Periods, v.HealthScore, f.Reliable, f.Reason, f.ProbeSuccessRate)
	}
	return b.String()
}

// Agree tells whether every node of some that answers believes of each node what a function says; "" stands for anything.
func ViewsMatch(of []int, want func(node int) string) func([]*members.View) bool {
	return func(views []*members.View) bool {
		for _, i := range of {
			if views[i] == nil {
				return false
			}
			for k, r := range views[i].Members {
				if w := want(k); w != "" && r.State != w {
					return false
				}
			}
		}
		return true
	}
}

// Each is a state for all nodes.
func AllInState(state string) func(int) string { return func(int) string { return state } }

// Numbers are the numbers from a to before b.
func NodeRange(a, b int) []int {
	var out []int
	for i := a; i < b; i++ {
		out = append(out, i)
	}
	return out
}

// Ends names nodes as ends of links.
func NodeEnds(nodes []int) []netfault.End {
	out := make([]netfault.End, len(nodes))
	for i, n := range nodes {
		out[i] = netfault.End{Kind: netfault.Node, Index: n}
	}
	return out
}
