// Package result derives the figures of one run of a scenario from its trace: what became of the requests, whether the
// scenario's expectations held, and how two runs compare. It prints them as text and as an HTML page with plots. Its
// JSON keeps the words of the scenario files; the tags map them to the field's terms.
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

// Verdict of a run.
type Verdict string

// The verdicts.
const (
	Held      Verdict = "held"
	FellShort Verdict = "fell short" // an expectation did not hold
	Void      Verdict = "void"       // the machine ran late: the figures prove nothing
)

// fileName of a result in its directory.
const fileName = "result.json"

// Result holds the figures of a run. Plan depends on the scenario and the seed alone; in a run on sockets all else
// depends on real time too.
type Result struct {
	Scenario string   `json:"scenario"`
	About    string   `json:"about,omitempty"`
	Verdict  Verdict  `json:"verdict"`
	Missed   []string `json:"missed,omitempty"` // expectations that did not hold, as text
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
	Oddities        map[string]int          `json:"odd,omitempty"`      // by description: how often
	GivenUp         map[string]int          `json:"given_up,omitempty"` // requests, by the node's reason: no evidence, but a cause to look for
	Faults          []FaultInterval         `json:"faults,omitempty"`
	SlowStart       *SlowStart              `json:"cold,omitempty"`
	Endpoints       []string                `json:"servers"`
	Loads           []trace.LoadSample      `json:"loads,omitempty"`
	Virtual         bool                    `json:"virtual,omitempty"`        // simulated, in virtual time
	Activity        []trace.FleetActivity   `json:"together_by_1s,omitempty"` // of all nodes together, by second
	Reach           []netfault.Reachability `json:"reach_by_1s,omitempty"`    // who could reach whom, by second
	Views           *Views                  `json:"views,omitempty"`
	MembershipViews []trace.MembershipView  `json:"beliefs,omitempty"`
	Running         []trace.RunningNodes    `json:"runs,omitempty"`
}

// Plan identifies what was drawn: equal for runs of one scenario with one seed.
type Plan struct {
	Seed     uint64 `json:"seed"`
	Hash     string `json:"plan"` // of all that was drawn
	Requests int    `json:"tasks"`
}

// Attempts counts what nodes sent to endpoints and the outcomes.
type Attempts struct {
	Sent          int `json:"sent"`
	Succeeded     int `json:"satisfied"`
	Rejected      int `json:"turned_away"`
	Errors        int `json:"errors"`
	Unanswered    int `json:"unanswered"`
	DoubleEffects int `json:"double_effects"` // of requests that are not idempotent; a node killed under way may leave some
}

// FaultInterval is when a fault was in effect, in seconds since the start of the run, and how many targets or links it hit.
type FaultInterval struct {
	Kind    string  `json:"kind"`
	FromS   float64 `json:"from_s"`
	ToS     float64 `json:"to_s"`
	Targets int     `json:"whom"`
}

// Write stores the result as result.json in a directory, which it creates if needed.
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

// Load reads the result that Write has stored in a directory.
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
