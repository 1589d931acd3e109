package node

// This file owns the shell of the list by gossip: what the core is told of the node's own watch, and what it has the loop go
// by. What is asked and taken is internal/endpointgossip's. It must never hold up the watch for an answer, nor let a list of others come
// after one of discovery's that the node has already heard.

import (
	"encoding/json"
	"fawnglade/internal/endpointgossip"
	"fawnglade/policy"
	"net/netip"
	"sync"

	"go.uber.org/zap"
)

// listGossip is nil where nodes do not ask one another.
type listGossip struct {
	node *Node
	mu   sync.Mutex // what is told and what it has the loop do stay in one order
	core *endpointgossip.Hearsay
}

func newListGossip(n *Node) *listGossip {
	if n.members == nil || !n.members.set.List {
		return nil
	}
	return &listGossip{node: n}
}

// begin makes the core, once the view is there that carries its loads.
func (s *listGossip) begin(seed uint64, way endpointgossip.Way) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.node.initialList
	lines, _ := s.lines(first.entries)
	s.core = endpointgossip.New(seed, way, s.node.clock.nanos(), first.version, lines, first.watchResumes)
}

func (s *listGossip) lines(entries []endpointEntry) (lines []endpointgossip.Line, gone []string) {
	for _, e := range entries {
		if e.State == policy.StateRemoved {
			gone = append(gone, e.name)
			continue
		}
		lines = append(lines, endpointgossip.Line{
			Name: e.name, Address: e.address, Zone: e.zone(s.node.settings.Zones), Pod: e.Pod, Weight: e.Weight,
			Draining: e.State == policy.StateDraining, Started: int64(e.StartedAt),
		})
	}
	return lines, gone
}

func (s *listGossip) entries(lines []endpointgossip.Line) (out []endpointEntry) {
	for _, l := range lines {
		e := endpointEntry{name: l.Name, address: l.Address, EndpointInfo: policy.EndpointInfo{
			ID: endpointID(l.Name), Zone: zoneIndex(l.Zone, s.node.settings.Zones),
			Pod: l.Pod, Weight: l.Weight, StartedAt: policy.Time(l.Started), State: policy.StateActive,
		}}
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
func (s *listGossip) listed(entries []endpointEntry, version int64, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, gone := s.lines(entries)
	if s.core == nil { // the view is not there yet: it begins with this
		first := &s.node.initialList
		*first = initialList{first.merge(entries, whole), version, true}
		s.node.loop.postEndpoints(entries, whole)
		return
	}
	if all := s.core.Listed(s.node.clock.nanos(), version, lines, gone, whole); all != nil {
		entries, whole = s.entries(all), true
	}
	s.node.loop.postEndpoints(entries, whole)
}

// tick lets the core ask.
func (s *listGossip) tick() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if all := s.core.Beat(s.node.clock.nanos(), s.node.listConfirmedAt()); all != nil {
		s.node.loop.postEndpoints(s.entries(all), true)
	}
}

// receive takes in a load of another node.
func (s *listGossip) receive(from int, load []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.core.Heard(s.node.clock.nanos(), from, load)
	if lines == nil {
		return
	}
	entries, view := s.entries(lines), s.core.View()
	s.node.loop.postEndpoints(s.node.persistence.applyToGossiped(entries, view.Version), false)
	s.node.hasList.Store(true)
	s.node.log.Info("the list by others' word", zap.Int("from", from), zap.Int("servers", len(entries)), zap.Any("list", view))
}

// viewJSON tells how it stands, for who asks.
func (s *listGossip) viewJSON() json.RawMessage {
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

// initialList is the list that a node begins with, and what its watch goes on from.
type initialList struct {
	entries      []endpointEntry
	version      int64
	watchResumes bool // the watch asks for what came after it
}

// merge lays lines of the watch over it.
func (f *initialList) merge(entries []endpointEntry, whole bool) []endpointEntry {
	told := map[string]bool{}
	out := make([]endpointEntry, 0, len(entries))
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
