// Package trace owns what a day leaves behind, whoever played it: sockets in real time or a world in virtual time. It must
// never play anything, nor work anything out.
package trace

import (
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
	"fawnglade/internal/members"
	"slices"
	"time"
)

// State is what became of a task for its client, over all its tries.
type State int

const (
	Pending State = iota
	Succeeded
	Rejected
	Failed   // failed, or no answer when its time was up
	Lost     // went down with a node that was killed, or found none
	Canceled // its client went first
)

// StateNames in the order of the states.
var StateNames = []string{"unsettled", "satisfied", "declined", "broken off", "lost", "left"}

// Outcome is one task's end.
type Outcome struct {
	State    State
	Elapsed  int64 // from when it was due to when the client had its answer, or gave up
	Requests int
}

// NodeFigures is what a node used.
type NodeUsage struct {
	Node           int     `json:"node"`
	CPUSeconds     float64 `json:"cpu_s"`
	MaxMemoryMB    float64 `json:"memory_mb"`
	MaxDescriptors int     `json:"descriptors"`
	Starts         int     `json:"starts"`
	Crashes        int     `json:"crashes"`
	LastLogLine    string  `json:"last_log,omitempty"`
}

// LoadSample is what the servers held at a moment.
type LoadSample struct {
	At       int64 `json:"At"`
	InFlight []int `json:"Held"` // by endpoint
}

// BadFigures tell how bad clients were met.
type BadClientCounts struct {
	Came       int64 `json:"Came"`
	Unanswered int64 `json:"Unanswered"`
	Served     int64 `json:"Served"`
}

// Together counts what all nodes did together in one second of the day, beside the tasks that came.
type FleetActivity struct {
	Operations   int `json:"tasks"`
	Attempts     int `json:"hand_offs"`
	Retries      int `json:"resends"` // hand-offs of a task after its first, when none was out
	Hedged       int `json:"copies"`  // and while one was out
	Connections  int `json:"connections"`
	ListCalls    int `json:"calls"` // for the list
	HealthChecks int `json:"probes"`
	Gossip       int `json:"news"`              // messages between nodes
	Members      int `json:"members,omitempty"` // datagrams of who is there, and their bytes
	MemberBytes  int `json:"member_bytes,omitempty"`
}

// Belief is what one node believed of the others at a moment.
type MembershipView struct {
	At     int64  `json:"at_ns"`
	Node   int    `json:"node"`
	Known  bool   `json:"known"`            // it says how many there are
	States string `json:"of"`               // by node: . never seen, U up, ? doubted, - silent, L left
	Strain int64  `json:"strain,omitempty"` // 0 to 8
}

// Letters of what is believed of a node, by the state's number.
const StateLetters = ".U?-L"

// Runs is which nodes ran at a moment, as a letter each: U, or - for one that did not.
type RunningNodes struct {
	At     int64  `json:"at_ns"`
	States string `json:"of"`
}

// Record is a day before anything is worked out from it.
type Trace struct {
	Plan       *workload.Plan // its times shifted by Base, as those of the ledger are
	PlanHash   string         // of the plan as drawn
	StartedAt  int64
	Virtual    bool
	Outcomes   []Outcome
	History    *invariant.History
	Violations []invariant.Violation
	Peaks      [2][]invariant.Peak // of servers while they were cold: of all that came, and of what came from nodes that knew
	Nodes      []NodeUsage
	Loads      []LoadSample
	Activity   []FleetActivity  // by second
	Reach      []netfault.Reach // by second, where ways are troubled
	Views      []MembershipView
	Running    []RunningNodes
	Oddities   map[string]int
	Void       bool
	Lag        time.Duration // in all but the worst twentieth of the time no later than this
	BadClients BadClientCounts
	Endpoints  []string
	Elapsed    time.Duration
}

// ReachOf is who could reach whom at the middle of each second of a day that begins at a moment; nothing where no way is troubled.
func ReachOf(s *scenario.Scenario, ways *netfault.Schedule, base int64) (out []netfault.Reach) {
	if len(ways.Changes()) == 0 {
		return nil
	}
	for second := int64(0); second < (int64(s.Length)+1e9-1)/1e9; second++ {
		out = append(out, ways.ReachAt(base+second*1e9+5e8, s.Nodes.Count))
	}
	return out
}

// Categories are a scenario's as the judge knows them.
func Classes(s *scenario.Scenario) []invariant.Class {
	var out []invariant.Class
	for i := range s.Classes {
		repeat, group := IdempotencyOf(&s.Classes[i])
		out = append(out, invariant.Class{Name: s.Classes[i].Name, Idempotency: repeat, DedupGroup: group, DedupWindow: int64(s.Classes[i].DedupWindow)})
	}
	return out
}

// RepeatOf is what running a category's tasks twice does, and which servers drop a repeat.
func IdempotencyOf(c *scenario.Class) (invariant.Idempotency, invariant.DedupGroup) {
	repeat := map[string]invariant.Idempotency{"rerunnable": invariant.Idempotent, "ticketed": invariant.IdempotentByKey, "exclusive": invariant.NonIdempotent}
	group := map[string]invariant.DedupGroup{"fleet": invariant.DedupFleet, "zone": invariant.DedupZone, "pod": invariant.DedupPod}
	return repeat[c.Idempotency], group[c.DedupGroup]
}

// The standing test's terms that hold whatever a day's settings allow.
const (
	knownWithin      = int64(6 * time.Second)
	cancelGrace      = int64(100 * time.Millisecond)
	readyWithin      = int64(10 * time.Second)
	readyWithinAtEnd = int64(6 * time.Second)
)

// RulesOf is what the nodes of a day are held to, with what each time limit is longer by: a slack, how late the rig ran, and what
// the day's ways held up. The day begins at base.
func RulesOf(s *scenario.Scenario, ways *netfault.Schedule, base, slack int64, late func(int64) int64) invariant.Rules {
	r := &s.Rules
	within := int64(0)
	if s.Discovery.MustPoll {
		within = int64(r.PollWithin)
	}
	rules := invariant.Rules{
		StopSending: int64(r.StopSending), PollWithin: within, AnswerGrace: int64(r.AnswerGrace),
		KnownWithin: knownWithin, CancelGrace: cancelGrace, ReadyWithin: readyWithin, ReadyWithinAtEnd: readyWithinAtEnd, End: base + int64(s.Length),
		MayHedge: r.MayHedge, ListGossip: s.Nodes.ListGossip, Slack: slack, Lag: late,
	}
	if len(ways.Changes()) == 0 {
		return rules
	}
	rules.Lag = func(at int64) int64 {
		by := ways.Allowance(at, netfault.Client, netfault.Node)
		if late != nil {
			by += late(at)
		}
		return by
	}
	rules.LinkDelay = func(at int64) int64 {
		return ways.Allowance(at, netfault.Node, netfault.Endpoint) + ways.Allowance(at, netfault.Node, netfault.Discovery)
	}
	return rules
}

// BeliefOf puts a view into a line.
func ViewOf(at int64, node int, v *members.View) MembershipView {
	b := MembershipView{At: at, Node: node, Known: v.Summary.Known, Strain: v.HealthScore}
	letters := make([]byte, len(v.Members))
	for i, r := range v.Members {
		letters[i] = '.'
		for s := members.Unknown; s <= members.Left; s++ {
			if s.String() == r.State {
				letters[i] = StateLetters[s]
			}
		}
	}
	b.States = string(letters)
	return b
}

// Excuse tells the ledger of cuts between clients and nodes, as what is said over them reaches nobody, and of those between nodes and
// discovery, over which nothing can be learned.
func ExcuseCutLinks(s *scenario.Scenario, p *workload.Plan, l *invariant.History) {
	for i := range p.Faults {
		way, ok := s.LinkFault(&p.Faults[i].Fault)
		if !ok || way.Kind != netfault.Cut {
			continue
		}
		of := func(k netfault.EndKind) (out []int) {
			for _, e := range append(append([]netfault.End(nil), way.From...), way.To...) {
				if e.Kind == k {
					out = append(out, e.Index)
				}
			}
			return out
		}
		if len(of(netfault.Discovery)) > 0 {
			for _, node := range of(netfault.Node) {
				l.Outages = append(l.Outages, &invariant.Outage{Node: node, Span: invariant.Span{From: way.Begin, To: way.End}})
			}
		}
		if len(of(netfault.Client)) == 0 {
			continue
		}
		for _, life := range l.Processes {
			if slices.Contains(of(netfault.Node), life.Node) {
				life.Excused = append(life.Excused, invariant.Span{From: way.Begin, To: way.End + int64(time.Second)})
			}
		}
	}
}
