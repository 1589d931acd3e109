package distsim

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Delays holds the seconds until a condition was met by 50%, 99% and 100% of the nodes concerned; -1: it was not met.
type Delays struct {
	P50 float64 `json:"half_s"`
	P99 float64 `json:"most_s"`
	All float64 `json:"all_s"`
}

// delaysOf computes the Delays of a number of nodes from the delays of the nodes that met the condition. It sorts the
// given slice.
func delaysOf(delays []float64, nodes int) Delays {
	slices.Sort(delays)
	at := func(fraction float64) float64 {
		i := int(math.Ceil(fraction*float64(nodes))) - 1
		if i < 0 || i >= len(delays) {
			return -1
		}
		return math.Round(delays[i]*1e4) / 1e4
	}
	return Delays{at(0.5), at(0.99), at(1)}
}

// String returns the three delays in seconds.
func (d Delays) String() string {
	return formatSeconds(d.P50) + " " + formatSeconds(d.P99) + " " + formatSeconds(d.All)
}

func formatSeconds(x float64) string {
	if x < 0 {
		return "never"
	}
	return fmt.Sprintf("%.3f", x)
}

// Phase holds the verdict and the figures of one phase.
type Phase struct {
	Name                string      `json:"name"`
	Seconds             float64     `json:"seconds"`
	SettleSeconds       float64     `json:"settled_s"` // from the end of the phase until all nodes had the expected records
	Changes             int         `json:"changes"`
	Deliveries          int         `json:"deliveries"`
	Connects            int         `json:"connects"`   // connections from nodes to relays
	Failbacks           int         `json:"returned"`   // connections back to a node's preferred relay, which it had left
	Leaves              LeaveCounts `json:"left"`       // times that nodes left a relay
	Superseded          int         `json:"superseded"` // deliveries omitted because a later change of the same record replaced them
	Missing             int         `json:"missing"`    // deliveries that never arrived and were not superseded
	Duplicates          int         `json:"doubled"`    // repeated deliveries of a change to a node
	Resurrected         int         `json:"revived"`    // records received again in a version not newer than their removal
	WrongRemovals       int         `json:"taken"`      // removals received of records that still exist
	InvalidFrames       int         `json:"spoilt"`     // frames that nodes rejected
	WrongNodes          int         `json:"wrong"`      // nodes without the expected records at the end
	Example             string      `json:"example,omitempty"`
	MedianChange        Delays      `json:"typical"`           // median of all changes
	WorstChange         Delays      `json:"worst"`             // maximum of all changes
	Complete            Delays      `json:"whole"`             // until starting nodes were complete
	BytesPerSecond      float64     `json:"bytes_s"`           // mean of all nodes, both directions
	WorstBytesPerSecond float64     `json:"worst_10s_bytes_s"` // highest of any node over worstWindow
	NodeCPU             float64     `json:"node_cpu_percent"`  // of a core, including the lab's own work
	NodeMB              float64     `json:"node_mb"`
	RelayCPU            float64     `json:"relay_cpu_percent"` // mean of all relays
	RelayWorstCPU       float64     `json:"relay_worst_cpu_percent"`
	RelayMB             float64     `json:"relay_worst_mb"`
	OriginCPU           float64     `json:"origin_cpu_percent"`
	OriginMB            float64     `json:"origin_mb"`
}

// LeaveCounts counts by reason how often nodes left a relay or failed to connect to one.
type LeaveCounts struct {
	Silent  int `json:"silent"`
	Closed  int `json:"closed"` // connection closed, refused or reset
	Lagging int `json:"behind"`
	Invalid int `json:"spoilt"`
}

// Result holds the figures of a run.
type Result struct {
	Day     string       `json:"day"` // YYYY-MM-DD
	Size    Size         `json:"size"`
	Seconds float64      `json:"seconds"`
	Cores   int          `json:"cores"`
	Load    LoadAverages `json:"load"` // of the machine, which other processes may use too
	Phases  []*Phase     `json:"acts"`
}

// LoadAverages holds the machine's one-minute load averages at the begin and the end of a run.
type LoadAverages struct {
	Begin float64 `json:"begin"`
	End   float64 `json:"end"`
}

// Targets that the table shows. They do not affect the verdict.
const (
	targetPropagationS   = 5.0 // at an ordinary day's change rate
	targetBytesPerSecond = 22_000.0
	targetCPUPercent     = 2.7 // of a core
	targetMB             = 128.0
)

// Holds reports whether all nodes had the expected records and received every change exactly once.
func (p *Phase) Holds() bool {
	return p.Missing == 0 && p.Duplicates == 0 && p.Resurrected == 0 && p.WrongRemovals == 0 && p.InvalidFrames == 0 && p.WrongNodes == 0
}

// Holds reports whether there is at least one phase and all phases hold.
func (r *Result) Holds() bool {
	return len(r.Phases) > 0 && !slices.ContainsFunc(r.Phases, func(p *Phase) bool { return !p.Holds() })
}

const (
	headFormat = "%-44s %7s %8s %8s  %-22s %-22s %9s %9s %7s %7s %8s %8s %8s  %s"
	rowFormat  = "%-44s %7d %8d %8d  %-22s %-22s %9.0f %9.0f %7.3f %7.2f %8.1f %8.1f %8.0f  %s"
)

// row returns the phase's row of the table.
func (p *Phase) row() string {
	median, worst := p.MedianChange.String(), p.WorstChange.String()
	if p.Complete.All != 0 {
		median, worst = p.Complete.String(), "(until whole)"
	}
	verdict := "held"
	if !p.Holds() {
		verdict = fmt.Sprintf("FAILED: %d wrong nodes, %d missing, %d duplicate, %d resurrected, %d wrong removals, %d invalid frames; %s",
			p.WrongNodes, p.Missing, p.Duplicates, p.Resurrected, p.WrongRemovals, p.InvalidFrames, p.Example)
	}
	return fmt.Sprintf(rowFormat, p.Name, p.Changes, p.Deliveries, p.Connects, median, worst,
		p.BytesPerSecond, p.WorstBytesPerSecond, p.NodeCPU, p.NodeMB, p.RelayCPU, p.RelayWorstCPU, p.RelayMB, verdict)
}

// Table returns the result as a text table.
func (r *Result) Table() string {
	var b strings.Builder
	s := r.Size
	fmt.Fprintf(&b, "%d hollow nodes in %d regions, %d zones; an origin, %d upper and %d lower relays; seed %d\n",
		s.Nodes, s.Regions, s.Zones, s.UpperRelays, s.LowerRelays, s.Seed)
	fmt.Fprintf(&b, "%d endpoints in %d services (%d scopes), %d routes, %d tenants; "+
		"a node follows %d services of its region and the configuration of %d: %d records\n\n",
		s.Endpoints, s.Services, s.Services*s.Regions, s.Routes, s.Tenants, s.ServicesPerNode, s.SharedServices, s.recordsPerNode())
	fmt.Fprintf(&b, headFormat+"\n", "", "", "", "", "in force: 50% 99% 100%", "",
		"bytes/s", "worst", "node", "node", "relay", "worst", "relay", "")
	fmt.Fprintf(&b, headFormat+"\n", "act", "changes", "told", "connects", "the middle change, s", "the worst change, s",
		"a node", "10 s", "% core", "MB", "% core", "% core", "MB", "by versions")
	for _, p := range r.Phases {
		fmt.Fprintln(&b, p.row())
	}
	fmt.Fprintf(&b, "\nrun on %s in %.0f s on %d cores; load average of the machine %.1f at the begin and %.1f at the end\n",
		r.Day, r.Seconds, r.Cores, r.Load.Begin, r.Load.End)
	fmt.Fprintf(&b, "targets: in force at all nodes within %g s at an ordinary day's change rate; "+
		"%g bytes/s per node in the worst 10 s; %g%% of a core and %g MB per node\n",
		targetPropagationS, targetBytesPerSecond, targetCPUPercent, targetMB)
	return b.String()
}
