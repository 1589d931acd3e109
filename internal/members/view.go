package members

import "github.com/cespare/xxhash/v2"

// Summary counts nodes by state and shows how well this node reaches the others.
type Summary struct {
	Reliable         bool    `json:"known"`         // false: no conclusion may be drawn from the counts
	Reason           string  `json:"why,omitempty"` // why Reliable is false
	Nodes            int     `json:"nodes"`         // configured nodes, including this one
	Alive            int     `json:"up"`            // including this one
	Suspect          int     `json:"doubted"`
	Dead             int     `json:"silent"`
	Left             int     `json:"left"`
	Unknown          int     `json:"never_seen"`
	ProbeSuccessRate float64 `json:"heard"`  // fraction of the last probes, at most 32, that were answered
	AgeNs            int64   `json:"age_ns"` // since the last probe was completed
}

// Member is the state of a node in the view.
type Member struct {
	Name              string `json:"name"`
	State             string `json:"state"`
	StartMs           uint64 `json:"start_ms"` // Unix milliseconds by the node's own clock
	Incarnation       uint64 `json:"incarnation"`
	StateAgeNs        int64  `json:"since_ns"`
	LastReceivedAgeNs int64  `json:"heard_ns"` // since its last datagram arrived; -1: none has arrived
	NameConflict      bool   `json:"twice,omitempty"`
	LocalOnly         bool   `json:"own,omitempty"` // the state was set while the observing node was isolated
}

// View is a node's complete membership view, as served by the admin API.
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

// Summary returns the summary at now, in Unix nanoseconds.
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

// unreliableReason returns why no conclusion may be drawn from the view; empty: the view is reliable. The admin API
// serves these texts, so they must not change.
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

// KnownStartsMs returns the known start times of other nodes by name, in Unix milliseconds of their clocks.
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

// LatestKnownStartMs returns the latest start of an earlier run of this node that other nodes have reported, in Unix
// milliseconds of this node's clock; 0: none.
func (m *Members) LatestKnownStartMs() uint64 { return m.latestKnownStartMs }

// Periods returns the number of protocol periods since the start.
func (m *Members) Periods() int64 { return m.tick / TicksPerPeriod }

// States returns the states of all nodes by their index in Config.Nodes. This node's own state is Alive.
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

// StateOf returns the state of the node with an index in Config.Nodes. This node's own state is Alive.
func (m *Members) StateOf(node int) State {
	if i := m.find(xxhash.Sum64String(m.config.Nodes[node])); i >= 0 {
		return m.peers[i].state
	}
	return Alive
}

// HealthScore returns the local health score: 0 (healthy) to 8 (this node is likely to be the cause of failed probes).
func (m *Members) HealthScore() int64 { return m.healthScore }

// Counters returns the counters.
func (m *Members) Counters() Counters { return m.counters }

// View returns the view at now, in Unix nanoseconds, with the nodes in the order of Config.Nodes.
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
	for i, name := range m.config.Nodes { // this node's own entry; the loop below overwrites all others
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
