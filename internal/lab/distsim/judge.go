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
type Times struct {
	Half float64 `json:"half_s"`
	Most float64 `json:"most_s"` // 99%
	All  float64 `json:"all_s"`
}

// Act is what one act gave.
type Act struct {
	Name       string  `json:"name"`
	Seconds    float64 `json:"seconds"`
	Settled    float64 `json:"settled_s"` // until the last node was right, after the act
	Changes    int     `json:"changes"`
	Deliveries int     `json:"deliveries"`
	Connects   int     `json:"connects"`   // of nodes to relays, with those that begin
	Returned   int     `json:"returned"`   // of them to a node\'s first choice, which it had left
	Left       Left    `json:"left"`       // by nodes, and why; or not reached
	Superseded int     `json:"superseded"` // deliveries that a later change of the same record took the place of
	Missing    int     `json:"missing"`    // deliveries that never came, and nothing in their place
	Doubled    int     `json:"doubled"`    // told twice to one life of a node
	Revived    int     `json:"revived"`    // told again in a version that is not newer than the record's end
	Taken      int     `json:"taken"`      // told to be gone while they were there
	Spoilt     int     `json:"spoilt"`     // frames that a node refused
	Wrong      int     `json:"wrong"`      // nodes whose records are not the origin's, at the end
	Example    string  `json:"example,omitempty"`
	Typical    Times   `json:"typical"` // in force, of the change in the middle
	Worst      Times   `json:"worst"`   // of the worst change
	Whole      Times   `json:"whole"`   // of nodes that start
	Bytes      float64 `json:"bytes_s"` // a node a second, both directions
	Worst10    float64 `json:"worst_10s_bytes_s"`
	NodeCPU    float64 `json:"node_cpu_percent"` // of a core, with the lab's own work
	NodeMB     float64 `json:"node_mb"`
	RelayCPU   float64 `json:"relay_cpu_percent"` // mean
	RelayWorst float64 `json:"relay_worst_cpu_percent"`
	RelayMB    float64 `json:"relay_worst_mb"`
	OriginCPU  float64 `json:"origin_cpu_percent"`
	OriginMB   float64 `json:"origin_mb"`
}

// Left is how often nodes left a relay, or did not reach one.
type Left struct {
	Silent int `json:"silent"`
	Closed int `json:"closed"` // ended, refused or reset
	Behind int `json:"behind"`
	Spoilt int `json:"spoilt"`
}

// Result of a run.
type Result struct {
	Day     string  `json:"day"`
	Size    Size    `json:"size"`
	Seconds float64 `json:"seconds"`
	Cores   int     `json:"cores"`
	Load    Loads   `json:"load"` // of the machine over a minute, as the run began and ended: others may work on it
	Acts    []*Act  `json:"acts"`
}

// Loads are the machine's.
type Loads struct {
	Begin float64 `json:"begin"`
	End   float64 `json:"end"`
}

// The aims of the operators' letter.
const (
	aimInForce = 5.0 // s, at a true day's pace
	aimBytes   = 22_000.0
	aimCPU     = 2.7 // % of a core
	aimMB      = 128.0
)

// Held tells whether all verdicts by numbers and versions held.
func (a *Act) Held() bool {
	return a.Missing == 0 && a.Doubled == 0 && a.Revived == 0 && a.Taken == 0 && a.Spoilt == 0 && a.Wrong == 0
}

// Held tells whether all acts did.
func (r *Result) Held() bool {
	return len(r.Acts) > 0 && !slices.ContainsFunc(r.Acts, func(a *Act) bool { return !a.Held() })
}

// timesOf a number of those concerned.
func timesOf(all []float64, of int) (t Times) {
	slices.Sort(all)
	at := func(part float64) float64 {
		if k := int(math.Ceil(part*float64(of))) - 1; k >= 0 && k < len(all) {
			return math.Round(all[k]*1e4) / 1e4
		}
		return -1
	}
	return Times{at(0.5), at(0.99), at(1)}
}

// settle waits until all nodes have what is true, and no longer than the size says.
func (r *Run) settle(ctx context.Context, a *Act) {
	left := r.nodes.all
	for end := time.Now().Add(r.size.Settle); ; {
		var wrong atomic.Int64
		bad := make([]bool, len(left))
		var example atomic.Pointer[string]
		at := map[*hollow]int{}
		for i, h := range left {
			at[h] = i
		}
		each(left, func(h *hollow) {
			if why := r.wrongWith(h); why != "" {
				bad[at[h]] = true
				wrong.Add(1)
				example.Store(&why)
			}
		})
		var still []*hollow
		for i, h := range left {
			if bad[i] {
				still = append(still, h)
			}
		}
		if left = still; len(left) == 0 {
			return
		}
		if time.Now().After(end) || wait(ctx, lookAt) != nil {
			a.Wrong, a.Example = len(left), *example.Load()
			return
		}
	}
}

// wrongWith compares a node's records with what is true; "": nothing.
func (r *Run) wrongWith(h *hollow) (why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	want := 0
	for _, s := range h.scopes {
		want += r.world.there[s]
	}
	have, scope, mine := 0, "", false
	var in map[string]*held
	h.sub.Each(func(c distribution.Record) {
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
		case is == nil || is.gone:
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
func (r *Run) harvest(a *Act, first int) {
	a.Changes = len(r.sent) - first
	ends := map[dead]int{}
	for n := first; n < len(r.what); n++ {
		if c := r.what[n]; c.Gone {
			ends[dead{c.Scope, c.Key}] = n
		}
	}
	times := make([][]float64, a.Changes)
	seen := map[int32]bool{}
	for _, h := range r.nodes.all {
		h.mu.Lock()
		for _, e := range h.ended {
			if n, ok := ends[e.dead]; ok {
				h.came = append(h.came, told{int32(n), e.at})
			}
			if is := r.world.scopes[e.scope][e.key]; is != nil && !is.gone {
				a.Taken++ // a host that went never comes back under its name, so it was there all the time
				if a.Example == "" {
					a.Example = fmt.Sprintf("node %d was told that %s of %s is gone", h.index, e.key, e.scope)
				}
			}
		}
		clear(seen)
		for _, t := range h.came {
			if int(t.n) < first {
				continue
			}
			if seen[t.n] {
				a.Doubled++
				continue
			}
			seen[t.n] = true
			times[int(t.n)-first] = append(times[int(t.n)-first], float64(int64(t.at)*1000-r.sent[t.n])/1e9)
		}
		a.Revived += h.revived
		a.Spoilt += h.spoilt
		h.revived, h.spoilt, h.came, h.ended = 0, 0, nil, nil
		h.mu.Unlock()
	}
	var all []Times
	for k, some := range times {
		n := first + k
		of := r.count[r.what[n].Scope]
		if of == 0 {
			continue // nobody follows that scope
		}
		a.Deliveries += len(some)
		if len(some) < of {
			if _, later := r.world.then[n]; later {
				a.Superseded += of - len(some)
				of = len(some)
			} else {
				a.Missing += of - len(some)
			}
		}
		if of > 0 {
			all = append(all, timesOf(some, of))
		}
	}
	if len(all) == 0 {
		return
	}
	pick := func(one func(Times) float64) (typical, worst float64) {
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
	a.Typical.Half, a.Worst.Half = pick(func(t Times) float64 { return t.Half })
	a.Typical.Most, a.Worst.Most = pick(func(t Times) float64 { return t.Most })
	a.Typical.All, a.Worst.All = pick(func(t Times) float64 { return t.All })
}

// traffic enters the bytes of the nodes: the mean, and those of the worst node in its worst ten seconds, which may have begun before.
func (r *Run) traffic(a *Act, bytes int64) {
	a.Bytes = float64(bytes) / a.Seconds / float64(len(r.nodes.all))
	for _, h := range r.nodes.all {
		for i := 1; i < len(h.marks); i++ {
			a.Worst10 = max(a.Worst10, float64(h.marks[i]-h.marks[max(0, i-worstOf)])/worstOf)
		}
	}
}

// cost enters what the processes took.
func (r *Run) cost(a *Act, before costs) {
	part := func(pid int) float64 {
		was, ok := before.cpu[pid]
		if !ok {
			was = 0 // it began in this act
		}
		return 100 * float64(cpuOf(pid)-was) / 1e9 / a.Seconds
	}
	pid := r.procs.origin.Process.Pid
	a.OriginCPU, a.OriginMB = part(pid), float64(memoryOf(pid))/(1<<20)
	running := r.procs.running()
	for _, p := range running {
		cpu := part(p.proc.PID())
		a.RelayCPU += cpu / float64(len(running))
		a.RelayWorst = max(a.RelayWorst, cpu)
		a.RelayMB = max(a.RelayMB, float64(memoryOf(p.proc.PID()))/(1<<20))
	}
}

func seconds(x float64) string {
	if x < 0 {
		return "never"
	}
	return fmt.Sprintf("%.3f", x)
}

const (
	head  = "%-44s %7s %8s %8s  %-22s %-22s %9s %9s %7s %7s %8s %8s %8s  %s"
	entry = "%-44s %7d %8d %8d  %-22s %-22s %9.0f %9.0f %7.3f %7.2f %8.1f %8.1f %8.0f  %s"
)

func (t Times) text() string { return seconds(t.Half) + " " + seconds(t.Most) + " " + seconds(t.All) }

func (a *Act) line() string {
	typical, worst := a.Typical.text(), a.Worst.text()
	if a.Whole.All != 0 {
		typical, worst = a.Whole.text(), "(until whole)"
	}
	verdict := "held"
	if !a.Held() {
		verdict = fmt.Sprintf("FELL: %d wrong, %d missing, %d doubled, %d revived, %d taken, %d frames spoilt; %s", a.Wrong, a.Missing, a.Doubled, a.Revived, a.Taken, a.Spoilt, a.Example)
	}
	return fmt.Sprintf(entry, a.Name, a.Changes, a.Deliveries, a.Connects, typical, worst, a.Bytes, a.Worst10, a.NodeCPU, a.NodeMB, a.RelayCPU, a.RelayWorst, a.RelayMB, verdict)
}

// Table is the result for a person.
func (r *Result) Table() string {
	var b strings.Builder
	s := r.Size
	fmt.Fprintf(&b, "%d hollow nodes in %d regions, %d zones; an origin, %d upper and %d lower relays; seed %d\n", s.Nodes, s.Regions, s.Zones, s.Upper, s.Lower, s.Seed)
	fmt.Fprintf(&b, "%d endpoints in %d services (%d scopes), %d routes, %d tenants; a node follows %d services of its region and the configuration of %d: %d records\n\n",
		s.Endpoints, s.Services, s.Services*s.Regions, s.Routes, s.Tenants, s.Take, s.Shared, s.perNode())
	fmt.Fprintf(&b, head+"\n", "", "", "", "", "in force: 50% 99% 100%", "", "bytes/s", "worst", "node", "node", "relay", "worst", "relay", "")
	fmt.Fprintf(&b, head+"\n", "act", "changes", "told", "connects", "the middle change, s", "the worst change, s", "a node", "10 s", "% core", "MB", "% core", "% core", "MB", "by versions")
	for _, a := range r.Acts {
		fmt.Fprintln(&b, a.line())
	}
	fmt.Fprintf(&b, "\nplayed %s in %.0f s on %d cores; the machine's load was %.1f as it began and %.1f as it ended\n", r.Day, r.Seconds, r.Cores, r.Load.Begin, r.Load.End)
	fmt.Fprintf(&b, "aims: in force for all within %g s at a true day's pace; %g bytes/s a node in the worst 10 s; %g%% of a core and %g MB a node\n", aimInForce, aimBytes, aimCPU, aimMB)
	return b.String()
}
