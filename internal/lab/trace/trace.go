// Package trace holds what a run of a scenario leaves behind, on sockets in real time or in virtual time, before any
// figure is worked out from it; and what both give a node and the rule checker to start from.
package trace

import (
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
)

// State is what became of an operation for its client, over all its requests.
type State int

// The states. An operation that failed had an error, or no response in its time; one that was lost went down with a
// node that was killed, or found none; one that was canceled was given up by its client first.
const (
	Pending State = iota
	Succeeded
	Rejected
	Failed
	Lost
	Canceled
)

// StateNames has the word for each state in results.
var StateNames = []string{"unsettled", "satisfied", "declined", "broken off", "lost", "left"}

// Outcome is how one operation ended.
type Outcome struct {
	State    State
	Elapsed  int64 // nanoseconds from when it was due until the client had its response, or gave up
	Requests int
}

// NodeUsage is what a node used.
type NodeUsage struct {
	Node           int     `json:"node"`
	CPUSeconds     float64 `json:"cpu_s"`
	MaxMemoryMB    float64 `json:"memory_mb"`
	MaxDescriptors int     `json:"descriptors"`
	Starts         int     `json:"starts"`
	Crashes        int     `json:"crashes"`
	LastLogLine    string  `json:"last_log,omitempty"`
}

// LoadSample is how many attempts each endpoint had at a moment.
type LoadSample struct {
	At       int64 `json:"At"` // nanoseconds
	InFlight []int `json:"Held"`
}

// BadClientCounts counts the clients that violated the protocol, by how a node met them.
type BadClientCounts struct {
	Connected  int64 `json:"Came"`
	Unanswered int64 `json:"Unanswered"` // got neither an error nor a close
	Served     int64 `json:"Served"`
}

// FleetActivity counts what all nodes together did in one second, beside the operations that came.
type FleetActivity struct {
	Operations      int `json:"tasks"`
	Attempts        int `json:"hand_offs"`
	Retries         int `json:"resends"` // attempts of a request after its first, with none in flight
	Hedged          int `json:"copies"`  // and with one in flight
	Connections     int `json:"connections"`
	ListCalls       int `json:"calls"`
	HealthChecks    int `json:"probes"`
	Gossip          int `json:"news"` // messages
	Members         int `json:"members,omitempty"`
	MembershipBytes int `json:"member_bytes,omitempty"`
}

// Trace is all that a run leaves behind.
type Trace struct {
	Plan       *workload.Plan // its times are shifted by StartedAt, as those of the history are
	PlanHash   string         // of the plan as drawn
	StartedAt  int64          // the beginning of the run on the clock of all times, nanoseconds
	Virtual    bool           // run in virtual time
	Outcomes   []Outcome      // by operation
	History    *invariant.History
	Violations []invariant.Violation
	Peaks      Peaks
	Nodes      []NodeUsage
	Loads      []LoadSample
	Activity   []FleetActivity         // by second
	Reach      []netfault.Reachability // by second, where links have faults
	Views      []MembershipView
	Running    []RunningNodes
	Anomalies  map[string]int // violations of the protocol that are no rule's, by what was seen
	GivenUp    map[string]int // requests that nodes gave up, by reason, as they say themselves
	Void       bool           // the lab itself ran too late for a verdict
	Lag        time.Duration  // of the lab, in all but the worst twentieth of the time
	BadClients BadClientCounts
	Endpoints  []string // names
	Elapsed    time.Duration
}

// Peaks are the worst moments of endpoints in slow start: of all load, and of load from nodes that knew of the start.
type Peaks struct{ All, Known []invariant.Peak }

// ReachOf tells which parts reach each other in the middle of each second of a run that begins at a moment; nil where no
// link has a fault.
func ReachOf(s *scenario.Scenario, faults *netfault.Schedule, startedAt int64) (reach []netfault.Reachability) {
	if len(faults.Changes()) == 0 {
		return nil
	}
	const second = int64(time.Second)
	for n := range (int64(s.Length) + second - 1) / second {
		reach = append(reach, faults.ReachabilityAt(startedAt+n*second+second/2, s.Nodes.Count))
	}
	return reach
}
