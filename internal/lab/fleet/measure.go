package fleet

// Measurements of membership: the time until all nodes report a failure, how often nodes that are up are suspected, and
// the number of datagrams. A node counts as having detected a failure only once it reports that itself.

import (
	"fmt"
	"time"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// Figures are the measurements of one fleet at one loss rate.
type Figures struct {
	Nodes             int       `json:"nodes"`
	Loss              float64   `json:"loss"`
	Burst             int       `json:"burst"`
	WatchedS          float64   `json:"watched_s"`   // time with all nodes up and the loss
	SuspicionsPerHour float64   `json:"doubts_h"`    // of nodes that were up, by the whole fleet per hour
	FailuresPerHour   float64   `json:"silences_h"`  // wrong failures among these
	SentPerS          float64   `json:"sent_s"`      // datagrams per node and second
	BytesPerS         float64   `json:"bytes_s"`     // of these datagrams
	MaxSentPerS       float64   `json:"most_sent_s"` // datagrams per second of the node that sent most
	DeathKnownS       []float64 `json:"death_known_s"`
	DeathPeriods      []int64   `json:"death_rounds"` // until the slowest node reported the failure
}

// measurable is a fleet with a clock and counters.
type measurable interface {
	Fleet
	Now() int64
	// Counters returns the counters of each node; nil for a node that does not run.
	Counters() []*members.Counters
	// AllReport reports whether all other nodes have a node in a state.
	AllReport(node int, state members.State) (all bool)
}

// Now returns the time since the fleet was created, nanoseconds.
func (p *Processes) Now() int64 { return int64(time.Since(p.startedAt)) }

// Counters implements measurable.
func (p *Processes) Counters() []*members.Counters {
	counters := make([]*members.Counters, len(p.nodes))
	for i, v := range p.Views() {
		if v != nil {
			counters[i] = &v.Counters
		}
	}
	return counters
}

// AllReport implements measurable.
func (p *Processes) AllReport(node int, state members.State) bool {
	for i, v := range p.Views() {
		if i != node && (v == nil || v.Members[node].State != state.String()) {
			return false
		}
	}
	return true
}

// Counters implements measurable.
func (v *Virtual) Counters() []*members.Counters {
	counters := make([]*members.Counters, len(v.nodes))
	for i, s := range v.nodes {
		if s.membership != nil {
			c := s.membership.Counters()
			counters[i] = &c
		}
	}
	return counters
}

// AllReport implements measurable.
func (v *Virtual) AllReport(node int, state members.State) bool {
	for i, s := range v.nodes {
		if i != node && (s.membership == nil || s.membership.StateOf(node) != state) {
			return false
		}
	}
	return true
}

// Measure starts a fleet, observes it for a time with a loss rate, and kills nodes one after another. periods limits
// each wait.
func Measure(f measurable, loss float64, burst int, watch time.Duration, deaths int, periods int64) (*Figures, error) {
	figures := &Figures{Nodes: f.Len(), Loss: loss, Burst: burst}
	for i := range f.Len() {
		if err := f.Start(i); err != nil {
			return nil, err
		}
	}
	waitForAll := func(node int, state members.State, condition string) (steps int64, err error) {
		for ; !f.AllReport(node, state); steps++ {
			if steps > 5*periods {
				return steps, fmt.Errorf("%d nodes, loss %.2f: not all nodes reported n%d as %s within %d protocol periods", f.Len(), loss, node, condition, periods)
			}
			f.Step()
		}
		return steps, nil
	}
	for i := range f.Len() {
		if _, err := waitForAll(i, members.Alive, "up"); err != nil {
			return nil, err
		}
	}
	allNodes := NodeEnds(NodeRange(0, f.Len()))
	if loss > 0 {
		f.AddFaults(netfault.Fault{Kind: netfault.Drop, From: allNodes, To: allNodes, Share: loss, Burst: burst, Seed: 11})
	}
	before, from := f.Counters(), f.Now()
	for f.Now() < from+int64(watch) {
		f.Step()
	}
	watchedS := float64(f.Now()-from) / 1e9
	figures.WatchedS = watchedS
	for i, c := range f.Counters() {
		if c == nil || before[i] == nil {
			continue
		}
		figures.SuspicionsPerHour += float64(c.Suspicions-before[i].Suspicions) / watchedS * 3600
		figures.FailuresPerHour += float64(c.Failures-before[i].Failures) / watchedS * 3600
		sent := float64(c.Sent-before[i].Sent) / watchedS
		figures.SentPerS += sent / float64(f.Len())
		figures.BytesPerS += float64(c.SentBytes-before[i].SentBytes) / watchedS / float64(f.Len())
		figures.MaxSentPerS = max(figures.MaxSentPerS, sent)
	}
	for n := range deaths {
		victim := (1 + 7*n) % f.Len()
		f.Kill(victim)
		killed := f.Now()
		steps, err := waitForAll(victim, members.Dead, "silent")
		if err != nil {
			return nil, err
		}
		figures.DeathKnownS = append(figures.DeathKnownS, float64(f.Now()-killed)/1e9)
		figures.DeathPeriods = append(figures.DeathPeriods, (steps+4)/5)
		if err := f.Start(victim); err != nil {
			return nil, err
		}
		if _, err := waitForAll(victim, members.Alive, "up again"); err != nil {
			return nil, err
		}
	}
	return figures, nil
}
