package fleet

// Measurements of membership: how long until all nodes know of a death, how often nodes that are up are suspected, and the
// messages that this costs. A node counts as knowing only what it has reported itself.

import (
	"fmt"
	"time"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// Figures of one fleet at one loss.
type Figures struct {
	Nodes             int       `json:"nodes"`
	Loss              float64   `json:"loss"`
	Burst             int       `json:"burst"`
	WatchedS          float64   `json:"watched_s"`   // of all nodes well, with the loss
	SuspicionsPerHour float64   `json:"doubts_h"`    // raised against well nodes, by the whole fleet in an hour
	FailuresPerHour   float64   `json:"silences_h"`  // that came of them
	SentPerS          float64   `json:"sent_s"`      // datagrams a node a second, over that time
	BytesPerS         float64   `json:"bytes_s"`     // of those
	MaxSentPerS       float64   `json:"most_sent_s"` // of the node that sent most
	DeathKnownS       []float64 `json:"death_known_s"`
	DeathPeriods      []int64   `json:"death_rounds"` // of the slowest node
}

// timed is a fleet with a clock.
type measurable interface {
	Fleet
	Now() int64
	// Counts of every node that runs, and what it believes of one.
	Counters() []*members.Counters
	AllReport(of int, state members.State) (all bool)
}

// Now is the time since the fleet was made, nanoseconds.
func (p *Processes) Now() int64 { return int64(time.Since(p.startedAt)) }

// Counts implements measurable.
func (p *Processes) Counters() []*members.Counters {
	out := make([]*members.Counters, len(p.nodes))
	for i, v := range p.Views() {
		if v != nil {
			out[i] = &v.Counters
		}
	}
	return out
}

// AllReport implements measurable.
func (p *Processes) AllReport(of int, state members.State) bool {
	for i, v := range p.Views() {
		if i != of && (v == nil || v.Members[of].State != state.String()) {
			return false
		}
	}
	return true
}

// Counts implements measurable.
func (v *Virtual) Counters() []*members.Counters {
	out := make([]*members.Counters, len(v.nodes))
	for i, s := range v.nodes {
		if s.membership != nil {
			c := s.membership.Counters()
			out[i] = &c
		}
	}
	return out
}

// AllReport implements measurable.
func (v *Virtual) AllReport(of int, state members.State) bool {
	for i, s := range v.nodes {
		if i != of && (s.membership == nil || s.membership.StateOf(of) != state) {
			return false
		}
	}
	return true
}

// Measure starts a fleet, watches it for a time with a loss, and kills nodes one after another. rounds bounds each wait.
func Measure(f measurable, loss float64, burst int, watch time.Duration, deaths int, rounds int64) (*Figures, error) {
	out := &Figures{Nodes: f.Len(), Loss: loss, Burst: burst}
	for i := range f.Len() {
		if err := f.Start(i); err != nil {
			return nil, err
		}
	}
	all := func(node int, state members.State, what string) (steps int64, err error) {
		for ; !f.AllReport(node, state); steps++ {
			if steps > 5*rounds {
				return steps, fmt.Errorf("%d nodes, loss %.2f: n%d not %s for all within %d rounds", f.Len(), loss, node, what, rounds)
			}
			f.Step()
		}
		return steps, nil
	}
	for i := range f.Len() {
		if _, err := all(i, members.Alive, "up"); err != nil {
			return nil, err
		}
	}
	everybody := NodeEnds(NodeRange(0, f.Len()))
	if loss > 0 {
		f.AddFaults(netfault.Fault{Kind: netfault.Drop, From: everybody, To: everybody, Share: loss, Burst: burst, Seed: 11})
	}
	before, from := f.Counters(), f.Now()
	for f.Now() < from+int64(watch) {
		f.Step()
	}
	long := float64(f.Now()-from) / 1e9
	out.WatchedS = long
	for i, c := range f.Counters() {
		if c == nil || before[i] == nil {
			continue
		}
		out.SuspicionsPerHour += float64(c.Suspicions-before[i].Suspicions) / long * 3600
		out.FailuresPerHour += float64(c.Failures-before[i].Failures) / long * 3600
		sent := float64(c.Sent-before[i].Sent) / long
		out.SentPerS += sent / float64(f.Len())
		out.BytesPerS += float64(c.SentBytes-before[i].SentBytes) / long / float64(f.Len())
		out.MaxSentPerS = max(out.MaxSentPerS, sent)
	}
	for n := range deaths {
		victim := (1 + 7*n) % f.Len()
		f.Kill(victim)
		killed := f.Now()
		steps, err := all(victim, members.Dead, "silent")
		if err != nil {
			return nil, err
		}
		out.DeathKnownS = append(out.DeathKnownS, float64(f.Now()-killed)/1e9)
		out.DeathPeriods = append(out.DeathPeriods, (steps+4)/5)
		if err := f.Start(victim); err != nil {
			return nil, err
		}
		if _, err := all(victim, members.Alive, "up again"); err != nil {
			return nil, err
		}
	}
	return out, nil
}
