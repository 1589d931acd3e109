package distsim

// This file owns the verdicts and the figures of an act: every node's records against the truth, every change against those who
// follow it. It must never count a record as right by its version alone: the bytes are compared.

import (
	"context"
	"fawnglade/internal/distribution"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Times are seconds until something held for half, for 99 in 100 and for all of those concerned; -1: it did not.
type Delays struct {
	Half float64 `json:"half_s"`
	P99  float64 `json:"most_s"` // 99%
	All  float64 `json:"all_s"`
}

// Act is what one act gave.
type Phase struct {
	Name                string      `json:"name"`
	Seconds             float64     `json:"seconds"`
	SettleSeconds       float64     `json:"settled_s"` // until the last node was right, after the act
	Changes             int         `json:"changes"`
	Deliveries          int         `json:"deliveries"`
	Connects            int         `json:"connects"`   // of nodes to relays, with those that begin
	Failbacks           int         `json:"returned"`   // of them to a node\'s first choice, which it had left
	Leaves              LeaveCounts `json:"left"`       // by nodes, and why; or not reached
	Superseded          int         `json:"superseded"` // deliveries that a later change of the same record took the place of
	Missing             int         `json:"missing"`    // deliveries that never came, and nothing in their place
	Duplicates          int         `json:"doubled"`    // told twice to one life of a node
	Revived             int         `json:"revived"`    // told again in a version that is not newer than the record's end
	WrongRemovals       int         `json:"taken"`      // told to be gone while they were there
	InvalidFrames       int         `json:"spoilt"`     // frames that a node refused
	WrongNodes          int         `json:"wrong"`      // nodes whose records are not the origin's, at the end
	Example             string      `json:"example,omitempty"`
	MedianChange        Delays      `json:"typical"` // in force, of the change in the middle
	WorstChange         Delays      `json:"worst"`   // of the worst change
	Complete            Delays      `json:"whole"`   // of nodes that start
	BytesPerSecond      float64     `json:"bytes_s"` // a node a second, both directions
	WorstBytesPerSecond float64     `json:"worst_10s_bytes_s"`
	NodeCPU             float64     `json:"node_cpu_percent"` // of a core, with the lab's own work
	NodeMB              float64     `json:"node_mb"`
	RelayCPU            float64     `json:"relay_cpu_percent"` // mean
	RelayWorstCPU       float64     `json:"relay_worst_cpu_percent"`
	RelayMB             float64     `json:"relay_worst_mb"`
	OriginCPU           float64     `json:"origin_cpu_percent"`
	OriginMB            float64     `json:"origin_mb"`
}

// Left is how often nodes left a relay, or did not reach one.
type LeaveCounts struct {
	Silent  int `json:"silent"`
	Closed  int `json:"closed"` // ended, refused or reset
	Lagging int `json:"behind"`
	Invalid int `json:"spoilt"`
}

// Result of a run.
type Result struct {
	Day     string       `json:"day"`
	Size    Size         `json:"size"`
	Seconds float64      `json:"seconds"`
	Cores   int          `json:"cores"`
	Load    LoadAverages `json:"load"` // of the machine over a minute, as the run began and ended: others may work on it
	Phases  []*Phase     `json:"acts"`
}

// Loads are the machine's.
type LoadAverages struct {
	Begin float64 `json:"begin"`
	End   float64 `json:"end"`
}

// The aims of the operators' letter.
const (
	targetPropagationS   = 5.0 // s, at a true day's pace
	targetBytesPerSecond = 22_000.0
	targetCPUPercent     = 2.7 // % of a core
	targetMB             = 128.0
)

// Held tells whether all verdicts by numbers and versions held.
func (a *Phase) Holds() bool {
	return a.Missing == 0 && a.Duplicates == 0 && a.Revived == 0 && a.WrongRemovals == 0 && a.InvalidFrames == 0 && a.WrongNodes == 0
}

// Held tells whether all acts did.
func (r *Result) Holds() bool {
	return len(r.Phases) > 0 && !slices.ContainsFunc(r.Phases, func(a *Phase) bool { return !a.Holds() })
}

// timesOf a number of those concerned.
func delaysOf(all []float64, of int) (t Delays) {
	slices.Sort(all)
	at := func(part float64) float64 {
		if k := int(math.Ceil(part*float64(of))) - 1; k >= 0 && k < len(all) {
			return math.Round(all[k]*1e4) / 1e4
		}
		return -1
	}
	return Delays{at(0.5), at(0.99), at(1)}
}

// settle waits until all nodes have what is true, and no longer than the size says.
func (r *run) settle(ctx context.Context, a *Phase) {
	left := r.nodes.all
	for end := time.Now().Add(r.size.SettleTimeout); ; {
		var wrong atomic.Int64
		bad := make([]bool, len(left))
		var example atomic.Pointer[string]
		at := map[*hollowNode]int{}
		for i, h := range left {
			at[h] = i
		}
		forEachNode(left, func(h *hollowNode) {
			if why := r.difference(h); why != "" {
				bad[at[h]] = true
				wrong.Add(1)
				example.Store(&why)
			}
		})
		var still []*hollowNode
		for i, h := range left {
			if bad[i] {
				still = append(still, h)
			}
		}
		if left = still; len(left) == 0 {
			return
		}
		if time.Now().After(end) || wait(ctx, settlePoll) != nil {
			a.WrongNodes, a.Example = len(left), *example.Load()
			return
		}
	}
}

// wrongWith compares a node's records with what is true; "": nothing.
func (r *run) difference(h *hollowNode) (why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	want := 0
	for _, s := range h.scopes {
		want += r.world.present[s]
	}
	have, scope, mine := 0, "", false
	var in map[string]*truthRecord
	h.subscriber.Each(func(c distribution.Record) {
		if c.Deleted {
			return
		}
		have++
		if c.Scope != scope { // they come scope by scope
			scope, in = c.Scope, r.world.scopes[c.Scope]
			_, mine = slices.BinarySearch(h.scopes, c.Scope)
		}
		is := in[c.Key]
		switch {
		case why != "":
		case !mine:
			why = fmt.Sprintf("node %d has %s of %s, which it does not follow", h.index, c.Key, c.Scope)
		case is == nil || is.removed:
			why = fmt.Sprintf("node %d has %s of %s, which is gone", h.index, c.Key, c.Scope)
		case is.body != string(c.Body):
			why = fmt.Sprintf("node %d has %s of %s as %s, and it is %s", h.index, c.Key, c.Scope, c.Body, is.body)
		}
	})
	if why == "" && have != want {
		why = fmt.Sprintf("node %d has %d records of %d", h.index, have, want)
	}
	return why
}

// harvest enters what came to whom, and when.
func (r *run) addDeliveries(a *Phase, first int) {
	a.Changes = len(r.sentAt) - first
	ends := map[recordKey]int{}
	for n := first; n < len(r.changes); n++ {
		if c := r.changes[n]; c.Removed {
			ends[recordKey{c.Scope, c.Key}] = n
		}
	}
	times := make([][]float64, a.Changes)
	seen := map[int32]bool{}
	for _, h := range r.nodes.all {
		h.mu.Lock()
		for _, e := range h.removals {
			if n, ok := ends[e.recordKey]; ok {
				h.deliveries = append(h.deliveries, delivery{int32(n), e.atUs})
			}
			if is := r.world.scopes[e.scope][e.key]; is != nil && !is.removed {
				a.WrongRemovals++ // a host that went never comes back under its name, so it was there all the time
				if a.Example == "" {
					a.Example = fmt.Sprintf("node %d was told that %s of %s is gone", h.index, e.key, e.scope)
				}
			}
		}
		clear(seen)
		for _, t := range h.deliveries {
			if int(t.change) < first {
				continue
			}
			if seen[t.change] {
				a.Duplicates++
				continue
			}
			seen[t.change] = true
			times[int(t.change)-first] = append(times[int(t.change)-first], float64(int64(t.atUs)*1000-r.sentAt[t.change])/1e9)
		}
		a.Revived += h.revived
		a.InvalidFrames += h.invalidFrames
		h.revived, h.invalidFrames, h.deliveries, h.removals = 0, 0, nil, nil
		h.mu.Unlock()
	}
	var all []Delays
	for k, some := range times {
		n := first + k
		of := r.followers[r.changes[n].Scope]
		if of == 0 {
			continue // nobody follows that scope
		}
		a.Deliveries += len(some)
		if len(some) < of {
			if _, later := r.world.successor[n]; later {
				a.Superseded += of - len(some)
				of = len(some)
			} else {
				a.Missing += of - len(some)
			}
		}
		if of > 0 {
			all = append(all, delaysOf(some, of))
		}
	}
	if len(all) == 0 {
		return
	}
	pick := func(one func(Delays) float64) (typical, worst float64) {
		var v []float64
		for _, t := range all {
			if x := one(t); x < 0 {
				v = append(v, math.Inf(1))
			} else {
				v = append(v, x)
			}
		}
		slices.Sort(v)
		told := func(x float64) float64 {
			if math.IsInf(x, 1) {
				return -1
			}
			return x
		}
		return told(v[len(v)/2]), told(v[len(v)-1])
	}
	a.MedianChange.Half, a.WorstChange.Half = pick(func(t Delays) float64 { return t.Half })
	a.MedianChange.P99, a.WorstChange.P99 = pick(func(t Delays) float64 { return t.P99 })
	a.MedianChange.All, a.WorstChange.All = pick(func(t Delays) float64 { return t.All })
}

// traffic enters the bytes of the nodes: the mean, and those of the worst node in its worst ten seconds, which may have begun before.
func (r *run) addTraffic(a *Phase, bytes int64) {
	a.BytesPerSecond = float64(bytes) / a.Seconds / float64(len(r.nodes.all))
	for _, h := range r.nodes.all {
		for i := 1; i < len(h.marks); i++ {
			a.WorstBytesPerSecond = max(a.WorstBytesPerSecond, float64(h.marks[i]-h.marks[max(0, i-worstWindow)])/worstWindow)
		}
	}
}

// cost enters what the processes took.
func (r *run) addCosts(a *Phase, before usage) {
	part := func(pid int) float64 {
		was, ok := before.cpu[pid]
		if !ok {
			was = 0 // it began in this act
		}
		return 100 * float64(processorTime(pid)-was) / 1e9 / a.Seconds
	}
	pid := r.processes.origin.Process.Pid
	a.OriginCPU, a.OriginMB = part(pid), float64(residentMemory(pid))/(1<<20)
	running := r.processes.running()
	for _, p := range running {
		cpu := part(p.process.PID())
		a.RelayCPU += cpu / float64(len(running))
		a.RelayWorstCPU = max(a.RelayWorstCPU, cpu)
		a.RelayMB = max(a.RelayMB, float64(residentMemory(p.process.PID()))/(1<<20))
	}
}

func formatSeconds(x float64) string {
	if x < 0 {
		return "never"
	}
	return fmt.Sprintf("%.3f", x)
}

const (
	headFormat = "%-44s %7s %8s %8s  %-22s %-22s %9s %9s %7s %7s %8s %8s %8s  %s"
	rowFormat  = "%-44s %7d %8d %8d  %-22s %-22s %9.0f %9.0f %7.3f %7.2f %8.1f %8.1f %8.0f  %s"
)

func (t Delays) String() string {
	return formatSeconds(t.Half) + " " + formatSeconds(t.P99) + " " + formatSeconds(t.All)
}

func (a *Phase) row() string {
	typical, worst := a.MedianChange.String(), a.WorstChange.String()
	if a.Complete.All != 0 {
		typical, worst = a.Complete.String(), "(until whole)"
	}
	verdict := "held"
	if !a.Holds() {
		verdict = fmt.Sprintf("FELL: %d wrong, %d missing, %d doubled, %d revived, %d taken, %d frames spoilt; %s", a.WrongNodes, a.Missing, a.Duplicates, a.Revived, a.WrongRemovals, a.InvalidFrames, a.Example)
	}
	return fmt.Sprintf(rowFormat, a.Name, a.Changes, a.Deliveries, a.Connects, typical, worst, a.BytesPerSecond, a.WorstBytesPerSecond, a.NodeCPU, a.NodeMB, a.RelayCPU, a.RelayWorstCPU, a.RelayMB, verdict)
}

// Table is the result for a person.
func (r *Result) Table() string {
	var b strings.Builder
	s := r.Size
	fmt.Fprintf(&b, "%d hollow nodes in %d regions, %d zones; an origin, %d upper and %d lower relays; seed %d\n", s.Nodes, s.Regions, s.Zones, s.UpperRelays, s.LowerRelays, s.Seed)
	fmt.Fprintf(&b, "%d endpoints in %d services (%d scopes), %d routes, %d tenants; a node follows %d services of its region and the configuration of %d: %d records\n\n",
		s.Endpoints, s.Services, s.Services*s.Regions, s.Routes, s.Tenants, s.ServicesPerNode, s.SharedServices, s.recordsPerNode())
	fmt.Fprintf(&b, headFormat+"\n", "", "", "", "", "in force: 50% 99% 100%", "", "bytes/s", "worst", "node", "node", "relay", "worst", "relay", "")
	fmt.Fprintf(&b, headFormat+"\n", "act", "changes", "told", "connects", "the middle change, s", "the worst change, s", "a node", "10 s", "% core", "MB", "% core", "% core", "MB", "by versions")
	for _, a := range r.Phases {
		fmt.Fprintln(&b, a.row())
	}
	fmt.Fprintf(&b, "\nplayed %s in %.0f s on %d cores; the machine's load was %.1f as it began and %.1f as it ended\n", r.Day, r.Seconds, r.Cores, r.Load.Begin, r.Load.End)
	fmt.Fprintf(&b, "aims: in force for all within %g s at a true day's pace; %g bytes/s a node in the worst 10 s; %g%% of a core and %g MB a node\n", targetPropagationS, targetBytesPerSecond, targetCPUPercent, targetMB)
	return b.String()
}
