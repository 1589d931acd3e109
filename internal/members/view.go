package members

// This file owns what the rest of the program is told. It must never turn what is not known into a number.

import "github.com/cespare/xxhash/v2"

// Figure is how many nodes there are and which part of them this one can hear. Where Known is false no number may be gone by,
// and Why says what is missing.
type Summary struct {
	Known        bool    `json:"known"`
	Reason       string  `json:"why,omitempty"`
	Nodes        int     `json:"nodes"` // on the list, this one among them
	Alive        int     `json:"up"`    // this one among them
	Suspect      int     `json:"doubted"`
	Dead         int     `json:"silent"`
	Left         int     `json:"left"`
	Unknown      int     `json:"never_seen"`
	ProbeSuccess float64 `json:"heard"`  // part of the last probes, 32 at most, that were answered, directly or through others
	AgeNs        int64   `json:"age_ns"` // since the newest of those ended
}

// Row is what is believed of one node.
type Member struct {
	Name         string `json:"name"`
	State        string `json:"state"`
	StartMs      uint64 `json:"start_ms"`    // by its own clock
	Incarnation  uint64 `json:"incarnation"` // grows with each start, and each time that it takes back what is said of it
	StateAgeNs   int64  `json:"since_ns"`    // age of the state
	LastHeardNs  int64  `json:"heard_ns"`    // since it was heard directly; -1: never
	NameConflict bool   `json:"twice,omitempty"`
	OwnViewOnly  bool   `json:"own,omitempty"` // this node's sight alone, while it hears nobody
}

// View is all that one node believes.
type View struct {
	Name         string   `json:"name"`
	StartMs      uint64   `json:"start_ms"`
	Incarnation  uint64   `json:"incarnation"`
	Rounds       int64    `json:"rounds"` // that this node has been through
	HealthScore  int64    `json:"strain"` // 0 to 8: how far it takes its own trouble for the cause of what it sees
	NameConflict bool     `json:"twice,omitempty"`
	Summary      Summary  `json:"figure"`
	Members      []Member `json:"members"`
	Counters     Counters `json:"counts"`
}

// Figure works out how many nodes there are, at a moment.
func (m *Members) Summary(now int64) Summary {
	f := Summary{Nodes: len(m.peers) + 1, Alive: 1, AgeNs: now - m.lastProbeAt}
	for i := range m.peers {
		switch m.peers[i].state {
		case Alive:
			f.Alive++
		case Suspect:
			f.Suspect++
		case Dead:
			f.Dead++
		case Left:
			f.Left++
		default:
			f.Unknown++
		}
	}
	answered := 0
	for _, a := range m.probeResults {
		if a {
			answered++
		}
	}
	if len(m.probeResults) > 0 {
		f.ProbeSuccess = float64(answered) / float64(len(m.probeResults))
	}
	switch {
	case m.NameConflict():
		f.Reason = "another process has this name"
	case now-m.lastCallAt > m.config.RoundNs || m.tick < m.stalledUntil:
		f.Reason = "this node has just stood still"
	case len(m.probeResults) < min(recentProbes, len(m.peers)):
		f.Reason = "too few probes since the start"
	case m.isIsolated() && len(m.peers) > 0:
		f.Reason = "this node hears nobody"
	default:
		f.Known = true
	}
	return f
}

// Twice tells whether another process goes by this node's name.
func (m *Members) NameConflict() bool {
	return m.rivalBids >= conflictThreshold || m.tick < m.quietUntil
}

// Starts are when the others started, in milliseconds of their clocks, as far as known, by name.
func (m *Members) StartsMs() map[string]uint64 {
	out := map[string]uint64{}
	for i := range m.peers {
		if p := &m.peers[i]; max(p.startMs, p.priorStartMs) > 0 {
			out[m.config.Nodes[p.place]] = max(p.startMs, p.priorStartMs)
		}
	}
	return out
}

// Before is the latest start, in milliseconds of its clock, that others knew of a life of this node before this one; 0: of none.
func (m *Members) LatestKnownStartMs() uint64 { return m.latestKnownStartMs }

// Rounds that this node has been through.
func (m *Members) Rounds() int64 { return m.tick / ticksPerRound }

// States of all nodes by their place in the settings' list; Up for this node itself.
func (m *Members) States() []State {
	out := make([]State, len(m.config.Nodes))
	for i := range out {
		out[i] = Alive
	}
	for i := range m.peers {
		out[m.peers[i].place] = m.peers[i].state
	}
	return out
}

// StateOf a node by its place; Up for this node itself.
func (m *Members) StateOf(place int) State {
	if i := m.find(xxhash.Sum64String(m.config.Nodes[place])); i >= 0 {
		return m.peers[i].state
	}
	return Alive
}

// Strain is 0 to 8: how far this node takes its own trouble for the cause of what it sees.
func (m *Members) HealthScore() int64 { return m.healthScore }

// Counts since the start.
func (m *Members) Counters() Counters { return m.counters }

// View at a moment, in the order of the settings' list.
func (m *Members) View(now int64) View {
	v := View{
		Name: m.config.Name, StartMs: m.startMs, Incarnation: m.incarnation, Rounds: m.Rounds(), HealthScore: m.healthScore, NameConflict: m.NameConflict(),
		Summary: m.Summary(now), Counters: m.counters,
	}
	byPlace := make([]int, len(m.config.Nodes))
	for i := range byPlace {
		byPlace[i] = -1
	}
	for i := range m.peers {
		byPlace[m.peers[i].place] = i
	}
	for place, i := range byPlace {
		if i < 0 {
			v.Members = append(v.Members, Member{Name: m.config.Nodes[place], State: Alive.String(), StartMs: m.startMs, Incarnation: m.incarnation})
			continue
		}
		p := &m.peers[i]
		r := Member{
			Name: m.config.Nodes[place], State: p.state.String(), StartMs: p.startMs, Incarnation: p.incarnation, StateAgeNs: now - p.stateSince, LastHeardNs: -1,
			NameConflict: p.conflicts >= conflictThreshold, OwnViewOnly: p.ownViewOnly,
		}
		if p.heardAt != 0 {
			r.LastHeardNs = now - p.heardAt
		}
		v.Members = append(v.Members, r)
	}
	return v
}
