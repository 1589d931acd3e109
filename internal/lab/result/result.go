// Package result computes the figures of one run of a scenario from its trace: the outcomes of the requests, whether
// the scenario's expectations held, and how two runs compare. It prints them as text and as an HTML page with plots.
// The JSON uses the vocabulary of the scenario files, to which the struct tags map the field names.
package result

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
)

// Verdict states whether a run met the expectations of its scenario.
type Verdict string

// Verdicts of a run.
const (
	Held      Verdict = "held"
	FellShort Verdict = "fell short" // an expectation did not hold
	Void      Verdict = "void"       // the lab itself lagged, so the figures are not valid
)

// fileName is the name of a result's file in its directory.
const fileName = "result.json"

// Result holds the figures of a run. Plan depends only on the scenario and the seed; in a run on sockets everything
// else also depends on real time.
type Result struct {
	Scenario string   `json:"scenario"`
	About    string   `json:"about,omitempty"`
	Verdict  Verdict  `json:"verdict"`
	Missed   []string `json:"missed,omitempty"` // one message for each expectation that did not hold
	Plan     Plan     `json:"drawn"`
	LengthS  float64  `json:"length_s"`
	LateMs   float64  `json:"late_ms"` // lag of the lab itself, its 95th percentile

	Tally                                // of all requests
	ViolationCount int                   `json:"rules_broken"`
	RecoveryS      float64               `json:"back_s,omitempty"` // from the last power loss until service recovered; -1: not by the end; 0: no power loss
	Violations     []invariant.Violation `json:"breaks,omitempty"`

	Classes     map[string]*Tally `json:"by_category"`
	Tenants     map[string]*Tally `json:"by_customer,omitempty"`
	FiveSeconds []Tally           `json:"by_5s"`
	Seconds     []Tally           `json:"by_1s"`

	Attempts        Attempts                `json:"hand_offs"`
	Nodes           []trace.NodeUsage       `json:"nodes"`
	BadClients      trace.BadClientCounts   `json:"bad_clients"`
	Oddities        map[string]int          `json:"odd,omitempty"`      // occurrences by description
	GivenUp         map[string]int          `json:"given_up,omitempty"` // requests by the reason that the node gave; a hint for diagnosis, not used in the verdict
	Faults          []FaultInterval         `json:"faults,omitempty"`
	SlowStart       *SlowStart              `json:"cold,omitempty"`
	Endpoints       []string                `json:"servers"`
	Loads           []trace.LoadSample      `json:"loads,omitempty"`
	Virtual         bool                    `json:"virtual,omitempty"`        // simulated, in virtual time
	Activity        []trace.FleetActivity   `json:"together_by_1s,omitempty"` // sums over all nodes, by second
	Reach           []netfault.Reachability `json:"reach_by_1s,omitempty"`    // which nodes could reach one another, by second
	Views           *Views                  `json:"views,omitempty"`
	MembershipViews []trace.MembershipView  `json:"beliefs,omitempty"`
	Running         []trace.RunningNodes    `json:"runs,omitempty"`
}

// Plan identifies the drawn operations and faults. It is equal for all runs of a scenario with the same seed.
type Plan struct {
	Seed     uint64 `json:"seed"`
	Hash     string `json:"plan"` // of everything that was drawn
	Requests int    `json:"tasks"`
}

// Attempts counts the attempts that nodes sent to endpoints, by outcome.
type Attempts struct {
	Sent          int `json:"sent"`
	Succeeded     int `json:"satisfied"`
	Rejected      int `json:"turned_away"`
	Errors        int `json:"errors"`
	Unanswered    int `json:"unanswered"`
	DoubleEffects int `json:"double_effects"` // non-idempotent requests executed twice; can occur if a node is killed during a request
}

// FaultInterval is the time for which a fault was in effect, in seconds since the start of the run, with the number of
// its targets or links.
type FaultInterval struct {
	Kind    string  `json:"kind"`
	FromS   float64 `json:"from_s"`
	ToS     float64 `json:"to_s"`
	Targets int     `json:"whom"`
}

// Write writes the result to result.json in a directory, which it creates if needed.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, fileName), append(text, '\n'), 0o644)
}

// Load reads the result that Write stored in a directory.
func Load(dir string) (*Result, error) {
	text, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return r, nil
}
