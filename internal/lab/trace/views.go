package trace

import "fawnglade/internal/members"

// MembershipView is how one node saw the other nodes at a moment.
type MembershipView struct {
	At          int64  `json:"at_ns"`
	Node        int    `json:"node"`
	Reliable    bool   `json:"known"`            // it says how many nodes there are
	States      string `json:"of"`               // a letter of StateLetters for each node
	HealthScore int64  `json:"strain,omitempty"` // its local health score, 0 to 8
}

// StateLetters has a letter for each state of package members, by the state's number.
const StateLetters = ".U?-L"

// RunningNodes tells which nodes ran at a moment.
type RunningNodes struct {
	At     int64  `json:"at_ns"`
	States string `json:"of"` // a letter for each node: U, or - for one that did not run
}

// NewMembershipView shortens the view of a node.
func NewMembershipView(at int64, node int, v *members.View) MembershipView {
	letters := make([]byte, len(v.Members))
	for i, row := range v.Members {
		letters[i] = stateLetter(row.State)
	}
	return MembershipView{At: at, Node: node, Reliable: v.Summary.Reliable, States: string(letters), HealthScore: v.HealthScore}
}

func stateLetter(state string) byte {
	for s := members.Unknown; s <= members.Left; s++ {
		if s.String() == state {
			return StateLetters[s]
		}
	}
	return StateLetters[members.Unknown]
}
