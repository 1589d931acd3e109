package members

import "github.com/cespare/xxhash/v2"

// Summary is how many nodes there are and how well this one reaches them.
type Summary struct {
	Reliable         bool    `json:"known"`         // false: the numbers are no basis for any conclusion
	Reason           string  `json:"why,omitempty"` // why Known is false
	Nodes            int     `json:"nodes"`         // configured, this one included
	Alive            int     `json:"up"`            // this one included
	Suspect          int     `json:"doubted"`
	Dead             int     `json:"silent"`
	Left             int     `json:"left"`
	Unknown          int     `json:"never_seen"`
	ProbeSuccessRate float64 `json:"heard"`  // fraction of the last probes, 32 at most, that were answered
	AgeNs            int64   `json:"age_ns"` // since the newest of these ended
}

// Member is what is known of one node.
type Member struct {
	Name              string `json:"name"`
	State             string `json:"state"`
	StartMs           uint64 `json:"start_ms"` // of its own clock
	Incarnation       uint64 `json:"incarnation"`
	StateAgeNs        int64  `json:"since_ns"`
	LastReceivedAgeNs int64  `json:"heard_ns"` // since its last datagram; -1: none has come
	NameConflict      bool   `json:"twice,omitempty"`
	LocalOnly         bool   `json:"own,omitempty"` // judged while this node reached no other
}

// View is all that one node knows.
type View struct {
	Name         string   `json:"name"`
	StartMs      uint64   `json:"start_ms"`
	Incarnation  uint64   `json:"incarnation"`
	Periods      int64    `json:"rounds"`
	HealthScore  int64    `json:"strain"` // 0 (healthy) to 8
	NameConflict bool     `json:"twice,omitempty"`
	Summary      Summary  `json:"figure"`
	Members      []Member `json:"members"`
	Counters     Counters `json:"counts"`
}

// Summary returns the summary at a time.
func (m *Members) Summary(now int64) Summary {
	s := Summary{Nodes: len(m.peers) + 1, Alive: 1, AgeNs: now - m.lastProbeAt}
	for i := range m.peers {
		switch m.peers[i].state {
		case Alive:
			s.Alive++
		case Suspect:
			s.Suspect++
		case Dead:
			s.Dead++
		case Left:
			s.Left++
		default:
			s.Unknown++
		}
	}
	s.ProbeSuccessRate = m.probeSuccessRate()
	s.Reason = m.unreliableReason(now)
	s.Reliable = s.Reason == ""
	return s
}

func (m *Members) probeSuccessRate() float64 {
	if len(m.probeResults) == 0 {
		return 0
	}
	answered := 0
	for _, ok := range m.probeResults {
		if ok {
			answered++
		}
	}
	return float64(answered) / float64(len(m.probeResults))
}

// unreliable is why the view is no basis for any conclusion; empty if it is one.
func (m *Members) unreliableReason(now int64) string {
	switch {
	case m.NameConflict():
		return "another process has this name"
	case now-m.lastCallAt > m.config.ProtocolPeriodNs || m.stalledRecently():
		return "this node has just stood still"
	case len(m.probeResults) < min(isolationProbes, len(m.peers)):
		return "too few probes since the start"
	case m.isIsolated() && len(m.peers) > 0:
		return "this node hears nobody"
	}
	return ""
}

// KnownStartsMs are the known starts of other nodes, in milliseconds of their clocks, by name.
func (m *Members) KnownStartsMs() map[string]uint64 {
	starts := map[string]uint64{}
	for i := range m.peers {
		p := &m.peers[i]
		if start := max(p.startMs, p.priorStartMs); start > 0 {
			starts[m.config.Nodes[p.nodeIndex]] = start
		}
	}
	return starts
}

// LatestKnownStartMs is the latest start of an earlier run of this node that others know, in milliseconds of its clock;
// 0: none.
func (m *Members) LatestKnownStartMs() uint64 { return m.latestKnownStartMs }

// Rounds is how many rounds have passed since the start.
func (m *Members) Periods() int64 { return m.tick / TicksPerPeriod }

// States are the states of all nodes by their index; this node's own is Alive.
func (m *Members) States() []State {
	states := make([]State, len(m.config.Nodes))
	for i := range states {
		states[i] = Alive
	}
	for i := range m.peers {
		states[m.peers[i].nodeIndex] = m.peers[i].state
	}
	return states
}

// StateOf is the state of a node by its index; this node's own is Alive.
func (m *Members) StateOf(node int) State {
	if i := m.find(xxhash.Sum64String(m.config.Nodes[node])); i >= 0 {
		return m.peers[i].state
	}
	return Alive
}

// HealthScore is 0 (healthy) to 8: how far this node takes its own trouble for the cause of what it sees.
func (m *Members) HealthScore() int64 { return m.healthScore }

// Counters returns the counters.
func (m *Members) Counters() Counters { return m.counters }

// View returns the view at a time, with the nodes in the order of Config.Nodes.
func (m *Members) View(now int64) View {
	v := View{
		Name:         m.config.Name,
		StartMs:      m.startMs,
		Incarnation:  m.incarnation,
		Periods:      m.Periods(),
		HealthScore:  m.healthScore,
		NameConflict: m.NameConflict(),
		Summary:      m.Summary(now),
		Members:      make([]Member, len(m.config.Nodes)),
		Counters:     m.counters,
	}
	for i, name := range m.config.Nodes { // overwritten for all but this node
		v.Members[i] = Member{Name: name, State: Alive.String(), StartMs: m.startMs, Incarnation: m.incarnation}
	}
	for i := range m.peers {
		v.Members[m.peers[i].nodeIndex] = m.memberOf(now, &m.peers[i])
	}
	return v
}

func (m *Members) memberOf(now int64, p *peer) Member {
	member := Member{
		Name:              m.config.Nodes[p.nodeIndex],
		State:             p.state.String(),
		StartMs:           p.startMs,
		Incarnation:       p.incarnation,
		StateAgeNs:        now - p.stateSince,
		LastReceivedAgeNs: -1,
		NameConflict:      p.conflicts >= conflictThreshold,
		LocalOnly:         p.localOnly,
	}
	if p.lastReceivedAt != 0 {
		member.LastReceivedAgeNs = now - p.lastReceivedAt
	}
	return member
}
