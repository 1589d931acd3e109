package trace

import "fawnglade/internal/members"

// MembershipView is one node's view of the other nodes at one time.
type MembershipView struct {
	At          int64  `json:"at_ns"`
	Node        int    `json:"node"`
	Reliable    bool   `json:"known"`            // the node's summary counts as reliable
	States      string `json:"of"`               // one letter of StateLetters per node
	HealthScore int64  `json:"strain,omitempty"` // the node's local health score, 0 to 8
}

// StateLetters holds one letter for each state of package members, indexed by state.
const StateLetters = ".U?-L"

// RunningNodes records which nodes were running at one time.
type RunningNodes struct {
	At     int64  `json:"at_ns"`
	States string `json:"of"` // one letter per node: U if it was running, else -
}

// NewMembershipView converts a node's view to the short form of a trace.
func NewMembershipView(at int64, node int, v *members.View) MembershipView {
	letters := make([]byte, len(v.Members))
	for i, member := range v.Members {
		letters[i] = stateLetter(member.State)
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
