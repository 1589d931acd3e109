package members

// This file owns what the rest of the program is told. It must never turn what is not known into a number.

import "github.com/cespare/xxhash/v2"

// Figure is how many nodes there are and which part of them this one can hear. Where Known is false no number may be gone by,
// and Why says what is missing.
type Figure struct {
	Known   bool    `json:"known"`
	Why     string  `json:"why,omitempty"`
	Nodes   int     `json:"nodes"` // on the list, this one among them
	Up      int     `json:"up"`    // this one among them
	Doubted int     `json:"doubted"`
	Silent  int     `json:"silent"`
	Left    int     `json:"left"`
	Never   int     `json:"never_seen"`
	Heard   float64 `json:"heard"`  // part of the last probes, 32 at most, that were answered, directly or through others
	Age     int64   `json:"age_ns"` // since the newest of those ended
}

// Row is what is believed of one node.
type Row struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Start       uint64 `json:"start_ms"`    // by its own clock
	Incarnation uint64 `json:"incarnation"` // grows with each start, and each time that it takes back what is said of it
	Since       int64  `json:"since_ns"`    // age of the state
	Heard       int64  `json:"heard_ns"`    // since it was heard directly; -1: never
	Twice       bool   `json:"twice,omitempty"`
	Own         bool   `json:"own,omitempty"` // this node's sight alone, while it hears nobody
}

// View is all that one node believes.
type View struct {
	Name        string `json:"name"`
	Start       uint64 `json:"start_ms"`
	Incarnation uint64 `json:"incarnation"`
	Rounds      int64  `json:"rounds"` // that this node has been through
	Strain      int64  `json:"strain"` // 0 to 8: how far it takes its own trouble for the cause of what it sees
	Twice       bool   `json:"twice,omitempty"`
	Figure      Figure `json:"figure"`
	Members     []Row  `json:"members"`
	Counts      Counts `json:"counts"`
}

// Figure works out how many nodes there are, at a moment.
func (m *Members) Figure(now int64) Figure {
	f := Figure{Nodes: len(m.peers) + 1, Up: 1, Age: now - m.endedAt}
	for i := range m.peers {
		switch m.peers[i].state {
		case Up:
			f.Up++
		case Doubted:
			f.Doubted++
		case Silent:
			f.Silent++
		case Left:
			f.Left++
		default:
			f.Never++
		}
	}
	answered := 0
	for _, a := range m.ended {
		if a {
			answered++
		}
	}
	if len(m.ended) > 0 {
		f.Heard = float64(answered) / float64(len(m.ended))
	}
	switch {
	case m.Twice():
		f.Why = "another process has this name"
	case now-m.last > m.set.Round || m.beat < m.stood:
		f.Why = "this node has just stood still"
	case len(m.ended) < min(lately, len(m.peers)):
		f.Why = "too few probes since the start"
	case m.alone() && len(m.peers) > 0:
		f.Why = "this node hears nobody"
	default:
		f.Known = true
	}
	return f
}

// Twice tells whether another process goes by this node's name.
func (m *Members) Twice() bool { return m.bids >= twiceAfter || m.beat < m.yields }

// Starts are when the others started, in milliseconds of their clocks, as far as known, by name.
func (m *Members) Starts() map[string]uint64 {
	out := map[string]uint64{}
	for i := range m.peers {
		if p := &m.peers[i]; max(p.start, p.prior) > 0 {
			out[m.set.Peers[p.place]] = max(p.start, p.prior)
		}
	}
	return out
}

// Before is the latest start, in milliseconds of its clock, that others knew of a life of this node before this one; 0: of none.
func (m *Members) Before() uint64 { return m.before }

// Rounds that this node has been through.
func (m *Members) Rounds() int64 { return m.beat / beatsARound }

// States of all nodes by their place in the settings' list; Up for this node itself.
func (m *Members) States() []State {
	out := make([]State, len(m.set.Peers))
	for i := range out {
		out[i] = Up
	}
	for i := range m.peers {
		out[m.peers[i].place] = m.peers[i].state
	}
	return out
}

// StateOf a node by its place; Up for this node itself.
func (m *Members) StateOf(place int) State {
	if i := m.find(xxhash.Sum64String(m.set.Peers[place])); i >= 0 {
		return m.peers[i].state
	}
	return Up
}

// Strain is 0 to 8: how far this node takes its own trouble for the cause of what it sees.
func (m *Members) Strain() int64 { return m.strain }

// Counts since the start.
func (m *Members) Counts() Counts { return m.counts }

// View at a moment, in the order of the settings' list.
func (m *Members) View(now int64) View {
	v := View{
		Name: m.set.Name, Start: m.start, Incarnation: m.number, Rounds: m.Rounds(), Strain: m.strain, Twice: m.Twice(),
		Figure: m.Figure(now), Counts: m.counts,
	}
	byPlace := make([]int, len(m.set.Peers))
	for i := range byPlace {
		byPlace[i] = -1
	}
	for i := range m.peers {
		byPlace[m.peers[i].place] = i
	}
	for place, i := range byPlace {
		if i < 0 {
			v.Members = append(v.Members, Row{Name: m.set.Peers[place], State: Up.String(), Start: m.start, Incarnation: m.number})
			continue
		}
		p := &m.peers[i]
		r := Row{
			Name: m.set.Peers[place], State: p.state.String(), Start: p.start, Incarnation: p.number, Since: now - p.since, Heard: -1,
			Twice: p.doubled >= twiceAfter, Own: p.own,
		}
		if p.heard != 0 {
			r.Heard = now - p.heard
		}
		v.Members = append(v.Members, r)
	}
	return v
}
