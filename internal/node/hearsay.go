package node

// This file owns the shell of the list by others' word: what the core is told of the node's own watch, and what it has the loop go
// by. What is asked and taken is internal/endpointgossip's. It must never hold up the watch for an answer, nor let a list of others come
// after one of discovery's that the node has already heard.

import (
	"encoding/json"
	"net/netip"
	"sync"

	"go.uber.org/zap"

	"fawnglade/internal/endpointgossip"
	"fawnglade/policy"
)

// hearing is nil where nodes do not ask one another.
type hearing struct {
	node *Node
	mu   sync.Mutex // what is told and what it has the loop do stay in one order
	core *endpointgossip.Hearsay
}

func newHearing(n *Node) *hearing {
	if n.members == nil || !n.members.set.List {
		return nil
	}
	return &hearing{node: n}
}

// begin makes the core, once the view is there that carries its loads.
func (s *hearing) begin(seed uint64, way endpointgossip.Way) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.node.first
	lines, _ := s.lines(first.entries)
	s.core = endpointgossip.New(seed, way, s.node.clock.now(), first.version, lines, first.base)
}

func (s *hearing) lines(entries []entry) (lines []endpointgossip.Line, gone []string) {
	for _, e := range entries {
		if e.State == policy.StateRemoved {
			gone = append(gone, e.name)
			continue
		}
		lines = append(lines, endpointgossip.Line{Name: e.name, Address: e.address, Zone: e.zone(s.node.settings.Zones), Pod: e.Pod, Weight: e.Weight,
			Draining: e.State == policy.StateDraining, Started: e.StartedAt})
	}
	return lines, gone
}

func (s *hearing) entries(lines []endpointgossip.Line) (out []entry) {
	for _, l := range lines {
		e := entry{name: l.Name, address: l.Address, EndpointInfo: policy.EndpointInfo{ID: serverID(l.Name), Zone: zoneOf(l.Zone, s.node.settings.Zones),
			Pod: l.Pod, Weight: l.Weight, StartedAt: l.Started, State: policy.StateActive}}
		if _, err := netip.ParseAddrPort(l.Address); l.Draining {
			e.State = policy.StateDraining
		} else if err != nil {
			continue
		}
		out = append(out, e)
	}
	return out
}

// listed has the loop go by what the node's own watch has told.
func (s *hearing) listed(entries []entry, version int64, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, gone := s.lines(entries)
	if s.core == nil { // the view is not there yet: it begins with this
		first := &s.node.first
		*first = firstList{first.over(entries, whole), version, true}
		s.node.loop.enterList(entries, whole)
		return
	}
	if all := s.core.Listed(s.node.clock.now(), version, lines, gone, whole); all != nil {
		entries, whole = s.entries(all), true
	}
	s.node.loop.enterList(entries, whole)
}

// beat lets the core ask.
func (s *hearing) beat() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if all := s.core.Beat(s.node.clock.now(), s.node.listWord()); all != nil {
		s.node.loop.enterList(s.entries(all), true)
	}
}

// take takes in a load of another node.
func (s *hearing) take(from int, load []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.core.Heard(s.node.clock.now(), from, load)
	if lines == nil {
		return
	}
	entries, view := s.entries(lines), s.core.View()
	s.node.loop.enterList(s.node.state.overOthers(entries, view.Version), false)
	s.node.listed.Store(true)
	s.node.log.Info("the list by others' word", zap.Int("from", from), zap.Int("servers", len(entries)), zap.Any("list", view))
}

// text tells how it stands, for who asks.
func (s *hearing) text() json.RawMessage {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return nil
	}
	text, err := json.Marshal(s.core.View())
	if err != nil {
		s.node.log.Error("view of the list", zap.Error(err))
	}
	return text
}

// firstList is the list that a node begins with, and what its watch goes on from.
type firstList struct {
	entries []entry
	version int64
	base    bool // the watch asks for what came after it
}

// over lays lines of the watch over it.
func (f *firstList) over(entries []entry, whole bool) []entry {
	told := map[string]bool{}
	out := make([]entry, 0, len(entries))
	for _, e := range entries {
		if told[e.name] = true; e.State != policy.StateRemoved {
			out = append(out, e)
		}
	}
	for _, e := range f.entries {
		if !whole && !told[e.name] {
			out = append(out, e)
		}
	}
	return out
}
