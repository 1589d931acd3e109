package distsim

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Delays are seconds until something held for half, for 99 in 100 and for all of the nodes concerned; -1: it did not.
type Delays struct {
	P50 float64 `json:"half_s"`
	P99 float64 `json:"most_s"`
	All float64 `json:"all_s"`
}

// delaysOf computes those of a number of nodes from the delays of the nodes for which it held; it sorts them.
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

// String returns the three in seconds.
func (d Delays) String() string {
	return formatSeconds(d.P50) + " " + formatSeconds(d.P99) + " " + formatSeconds(d.All)
}

func formatSeconds(x float64) string {
	if x < 0 {
		return "never"
	}
	return fmt.Sprintf("%.3f", x)
}

// Phase is the verdict and the figures of one phase.
type Phase struct {
	Name                string      `json:"name"`
	Seconds             float64     `json:"seconds"`
	SettleSeconds       float64     `json:"settled_s"` // until the last node was right, after the phase
	Changes             int         `json:"changes"`
	Deliveries          int         `json:"deliveries"`
	Connects            int         `json:"connects"`   // of nodes to relays
	Failbacks           int         `json:"returned"`   // of them to a node's first choice, which it had left
	Leaves              LeaveCounts `json:"left"`       // of relays, by nodes
	Superseded          int         `json:"superseded"` // deliveries that a later change of the same record replaced
	Missing             int         `json:"missing"`    // deliveries that never came, and were not superseded
	Duplicates          int         `json:"doubled"`    // deliveries that came twice to one node
	Resurrected         int         `json:"revived"`    // records that came again in a version that is not newer than their removal
	WrongRemovals       int         `json:"taken"`      // removals of records that were present
	InvalidFrames       int         `json:"spoilt"`     // that a node refused
	WrongNodes          int         `json:"wrong"`      // whose records are not what is true, at the end
	Example             string      `json:"example,omitempty"`
	MedianChange        Delays      `json:"typical"`           // of the change in the middle
	WorstChange         Delays      `json:"worst"`             // of the worst change
	Complete            Delays      `json:"whole"`             // of nodes that start
	BytesPerSecond      float64     `json:"bytes_s"`           // of a node, both directions
	WorstBytesPerSecond float64     `json:"worst_10s_bytes_s"` // of the worst node, over worstWindow
	NodeCPU             float64     `json:"node_cpu_percent"`  // of a core, with the lab's own work
	NodeMB              float64     `json:"node_mb"`
	RelayCPU            float64     `json:"relay_cpu_percent"` // mean
	RelayWorstCPU       float64     `json:"relay_worst_cpu_percent"`
	RelayMB             float64     `json:"relay_worst_mb"`
	OriginCPU           float64     `json:"origin_cpu_percent"`
	OriginMB            float64     `json:"origin_mb"`
}

// LeaveCounts is how often nodes left a relay or did not reach one, by the reason.
type LeaveCounts struct {
	Silent  int `json:"silent"`
	Closed  int `json:"closed"` // ended, refused or reset
	Lagging int `json:"behind"`
	Invalid int `json:"spoilt"`
}

// Result of a run.
type Result struct {
	Day     string       `json:"day"` // YYYY-MM-DD
	Size    Size         `json:"size"`
	Seconds float64      `json:"seconds"`
	Cores   int          `json:"cores"`
	Load    LoadAverages `json:"load"` // of the machine: others may work on it
	Phases  []*Phase     `json:"acts"`
}

// LoadAverages are the machine's over a minute, as the run began and ended.
type LoadAverages struct {
	Begin float64 `json:"begin"`
	End   float64 `json:"end"`
}

// Targets that the table names; they are no part of the verdict.
const (
	targetPropagationS   = 5.0 // at an ordinary day's pace
	targetBytesPerSecond = 22_000.0
	targetCPUPercent     = 2.7 // of a core
	targetMB             = 128.0
)

// Holds tells whether all verdicts by numbers and versions held.
func (p *Phase) Holds() bool {
	return p.Missing == 0 && p.Duplicates == 0 && p.Resurrected == 0 && p.WrongRemovals == 0 && p.InvalidFrames == 0 && p.WrongNodes == 0
}

// Holds tells whether there are phases and all of them hold.
func (r *Result) Holds() bool {
	return len(r.Phases) > 0 && !slices.ContainsFunc(r.Phases, func(p *Phase) bool { return !p.Holds() })
}

const (
	headFormat = "%-44s %7s %8s %8s  %-22s %-22s %9s %9s %7s %7s %8s %8s %8s  %s"
	rowFormat  = "%-44s %7d %8d %8d  %-22s %-22s %9.0f %9.0f %7.3f %7.2f %8.1f %8.1f %8.0f  %s"
)

// row is the phase's line of the table.
func (p *Phase) row() string {
	median, worst := p.MedianChange.String(), p.WorstChange.String()
	if p.Complete.All != 0 {
		median, worst = p.Complete.String(), "(until whole)"
	}
	verdict := "held"
	if !p.Holds() {
		verdict = fmt.Sprintf("FELL: %d wrong, %d missing, %d doubled, %d revived, %d taken, %d frames spoilt; %s",
			p.WrongNodes, p.Missing, p.Duplicates, p.Resurrected, p.WrongRemovals, p.InvalidFrames, p.Example)
	}
	return fmt.Sprintf(rowFormat, p.Name, p.Changes, p.Deliveries, p.Connects, median, worst,
		p.BytesPerSecond, p.WorstBytesPerSecond, p.NodeCPU, p.NodeMB, p.RelayCPU, p.RelayWorstCPU, p.RelayMB, verdict)
}

// Table returns the result as text.
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
	fmt.Fprintf(&b, "\nplayed %s in %.0f s on %d cores; the machine's load was %.1f as it began and %.1f as it ended\n",
		r.Day, r.Seconds, r.Cores, r.Load.Begin, r.Load.End)
	fmt.Fprintf(&b, "aims: in force for all within %g s at a true day's pace; "+
		"%g bytes/s a node in the worst 10 s; %g%% of a core and %g MB a node\n",
		targetPropagationS, targetBytesPerSecond, targetCPUPercent, targetMB)
	return b.String()
}
