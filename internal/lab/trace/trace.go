// Package trace holds the raw record of a run of a scenario, emulated in real time or simulated in virtual time, from
// which results are computed. It also derives node settings and the rule checker's limits from a scenario, for both.
package trace

import (
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
)

// State is the outcome of an operation for its client, over all its requests.
type State int

// States of an operation. A failed operation got an error, or no response in time. A lost one was at a node that was
// killed, or found no node. A canceled one was canceled by its client before a response.
const (
	Pending State = iota
	Succeeded
	Rejected
	Failed
	Lost
	Canceled
)

// StateNames holds the name of each state in results.
var StateNames = []string{"unsettled", "satisfied", "declined", "broken off", "lost", "left"}

// Outcome is the outcome of one operation.
type Outcome struct {
	State    State
	Elapsed  int64 // nanoseconds from the due time until the client had its response or gave up
	Requests int
}

// NodeUsage is the resource usage of a node over all its processes.
type NodeUsage struct {
	Node           int     `json:"node"`
	CPUSeconds     float64 `json:"cpu_s"`
	MaxMemoryMB    float64 `json:"memory_mb"`
	MaxDescriptors int     `json:"descriptors"`
	Starts         int     `json:"starts"`
	Crashes        int     `json:"crashes"`
	LastLogLine    string  `json:"last_log,omitempty"`
}

// LoadSample is the number of attempts in flight at each endpoint at one time.
type LoadSample struct {
	At       int64 `json:"At"` // nanoseconds
	InFlight []int `json:"Held"`
}

// BadClientCounts counts the clients that violated the protocol, by the node's reaction.
type BadClientCounts struct {
	Connected  int64 `json:"Came"`
	Unanswered int64 `json:"Unanswered"` // got neither an error response nor a closed connection
	Served     int64 `json:"Served"`
}

// FleetActivity counts the activity of all nodes together in one second, and the operations that arrived.
type FleetActivity struct {
	Operations      int `json:"tasks"`
	Attempts        int `json:"hand_offs"`
	Retries         int `json:"resends"` // attempts after a request's first, while none was in flight
	Hedged          int `json:"copies"`  // attempts after a request's first, while another was in flight
	Connections     int `json:"connections"`
	ListCalls       int `json:"calls"`
	HealthChecks    int `json:"probes"`
	Gossip          int `json:"news"` // messages
	Members         int `json:"members,omitempty"`
	MembershipBytes int `json:"member_bytes,omitempty"`
}

// Trace is the complete record of a run.
type Trace struct {
	Plan       *workload.Plan // its times are shifted by StartedAt, like those of History
	PlanHash   string         // of the plan before it was shifted
	StartedAt  int64          // start of the run in nanoseconds, on the clock of Plan and History
	Virtual    bool           // simulated in virtual time
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
	Anomalies  map[string]int // counts of anomalies that violate no rule, by description
	GivenUp    map[string]int // requests that nodes rejected or failed, by the reason that the nodes gave
	Void       bool           // the lab itself ran too late for the results to count
	Lag        time.Duration  // how late the lab ran at most, except in the worst twentieth of the time
	BadClients BadClientCounts
	Endpoints  []string // names, by index
	Elapsed    time.Duration
}

// Peaks are the peaks of load on endpoints in slow start: from all nodes, and from the nodes that knew of the start.
type Peaks struct{ All, Known []invariant.Peak }

// ReachOf returns which ends of links reach each other in the middle of each second of a run that starts at startedAt.
// It returns nil if no link has a fault.
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
