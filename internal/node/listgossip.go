package node

import (
	"encoding/json"
	"net/netip"
	"sync"

	"fawnglade/internal/endpointgossip"
	"fawnglade/policy"

	"go.uber.org/zap"
)

// listGossip connects package endpointgossip, which decides which lists of other nodes count, to the membership that
// carries its messages and to the loop. An update of the node's own watch is never held up, and no gossiped list is
// posted after a newer one of the watch. It is nil where nodes do not exchange lists.
type listGossip struct {
	node     *Node
	mu       sync.Mutex // keeps updates and what the loop is posted for them in one order
	exchange *endpointgossip.Exchange
}

func newListGossip(n *Node) *listGossip {
	if n.members == nil || !n.members.config.ShareEndpointList {
		return nil
	}
	return &listGossip{node: n}
}

// begin starts the exchange over the membership, from the node's initial list.
func (s *listGossip) startExchange(seed uint64, transport endpointgossip.Transport) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	initial := s.node.initialList
	endpoints, _ := s.toGossipEndpoints(initial.entries)
	now := s.node.clock.nanos()
	s.exchange = endpointgossip.New(seed, transport, now, initial.version, endpoints, initial.watchResumes)
}

// primaryListUpdated takes in an update of the list from discovery or relays and posts it. If the node went by a
// gossiped list, that list is posted completely.
func (s *listGossip) primaryListUpdated(update listUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchange == nil { // the membership has not started yet: begin starts from this
		initial := &s.node.initialList
		*initial = initialList{initial.merge(update), update.version, true}
		s.node.loop.postEndpoints(update.entries, update.complete)
		return
	}
	endpoints, removed := s.toGossipEndpoints(update.entries)
	all := s.exchange.WatchUpdated(s.node.clock.nanos(), update.version, endpoints, removed, update.complete)
	if all != nil {
		s.node.loop.postEndpoints(s.toEntries(all), true)
		return
	}
	s.node.loop.postEndpoints(update.entries, update.complete)
}

// tick is called with each tick of the membership.
func (s *listGossip) tick() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if all := s.exchange.Tick(s.node.clock.nanos(), s.node.listConfirmedAt()); all != nil {
		s.node.loop.postEndpoints(s.toEntries(all), true)
	}
}

// receive takes in a message of another node.
func (s *listGossip) receive(from int, message []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints := s.exchange.Receive(s.node.clock.nanos(), from, message)
	if endpoints == nil {
		return
	}
	entries, view := s.toEntries(endpoints), s.exchange.View()
	s.node.loop.postEndpoints(s.node.persistence.applyDrainsToGossiped(entries, view.Version), false)
	s.node.hasList.Store(true)
	s.node.log.Info("endpoint list taken from another node",
		zap.Int("from", from), zap.Int("endpoints", len(entries)), zap.Any("list", view))
}

// viewJSON is the state of the exchange for the admin API; nil where there is none.
func (s *listGossip) viewJSON() json.RawMessage {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchange == nil {
		return nil
	}
	text, err := json.Marshal(s.exchange.View())
	if err != nil {
		s.node.log.Error("state of the list exchange can't be encoded", zap.Error(err))
	}
	return text
}

// split converts entries, and separates the names of those that were removed.
func (s *listGossip) toGossipEndpoints(entries []endpointEntry) (endpoints []endpointgossip.Endpoint, removed []string) {
	for _, e := range entries {
		if e.State == policy.StateRemoved {
			removed = append(removed, e.name)
			continue
		}
		endpoints = append(endpoints, endpointgossip.Endpoint{
			Name:      e.name,
			Address:   e.address,
			Zone:      e.zone(s.node.settings.Zones),
			Pod:       e.Pod,
			Weight:    e.Weight,
			Draining:  e.State == policy.StateDraining,
			StartedNs: int64(e.StartedAt),
		})
	}
	return endpoints, removed
}

// entries converts endpoints; an active one without a valid address is left out.
func (s *listGossip) toEntries(endpoints []endpointgossip.Endpoint) (toEntries []endpointEntry) {
	for _, gossiped := range endpoints {
		state := policy.StateActive
		if gossiped.Draining {
			state = policy.StateDraining
		} else if _, err := netip.ParseAddrPort(gossiped.Address); err != nil {
			continue
		}
		toEntries = append(toEntries, endpointEntry{
			name:    gossiped.Name,
			address: gossiped.Address,
			EndpointInfo: policy.EndpointInfo{
				ID:        endpointID(gossiped.Name),
				Zone:      zoneIndex(gossiped.Zone, s.node.settings.Zones),
				Pod:       gossiped.Pod,
				Weight:    gossiped.Weight,
				StartedAt: policy.Time(gossiped.StartedNs),
				State:     state,
			},
		})
	}
	return toEntries
}
