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
func (g *listGossip) start(seed uint64, transport endpointgossip.Transport) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	initial := g.node.initialList
	endpoints, _ := g.toGossipEndpoints(initial.entries)
	now := g.node.clock.nanos()
	g.exchange = endpointgossip.New(seed, transport, now, initial.version, endpoints, initial.watchResumes)
}

// primaryListUpdated takes in an update of the list from discovery or relays and posts it. If the node went by a
// gossiped list, that list is posted completely.
func (g *listGossip) primaryListUpdated(update listUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exchange == nil { // the membership has not started yet: begin starts from this
		initial := &g.node.initialList
		*initial = initialList{initial.merge(update), update.version, true}
		g.node.loop.postEndpoints(update.entries, update.complete)
		return
	}
	endpoints, removed := g.toGossipEndpoints(update.entries)
	completeList := g.exchange.WatchUpdated(g.node.clock.nanos(), update.version, endpoints, removed, update.complete)
	if completeList != nil {
		g.node.loop.postEndpoints(g.toEntries(completeList), true)
		return
	}
	g.node.loop.postEndpoints(update.entries, update.complete)
}

// tick is called with each tick of the membership.
func (g *listGossip) tick() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if completeList := g.exchange.Tick(g.node.clock.nanos(), g.node.listConfirmedAt()); completeList != nil {
		g.node.loop.postEndpoints(g.toEntries(completeList), true)
	}
}

// receive takes in a message of another node.
func (g *listGossip) receive(from int, message []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	endpoints := g.exchange.Receive(g.node.clock.nanos(), from, message)
	if endpoints == nil {
		return
	}
	entries, view := g.toEntries(endpoints), g.exchange.View()
	g.node.loop.postEndpoints(g.node.persistence.applyDrainsToGossiped(entries, view.Version), false)
	g.node.hasList.Store(true)
	g.node.log.Info("endpoint list taken from another node",
		zap.Int("from", from), zap.Int("endpoints", len(entries)), zap.Any("list", view))
}

// viewJSON is the state of the exchange for the admin API; nil where there is none.
func (g *listGossip) viewJSON() json.RawMessage {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exchange == nil {
		return nil
	}
	text, err := json.Marshal(g.exchange.View())
	if err != nil {
		g.node.log.Error("state of the list exchange can't be encoded", zap.Error(err))
	}
	return text
}

// split converts entries, and separates the names of those that were removed.
func (g *listGossip) toGossipEndpoints(entries []endpointEntry) (endpoints []endpointgossip.Endpoint, removed []string) {
	for _, e := range entries {
		if e.State == policy.StateRemoved {
			removed = append(removed, e.name)
			continue
		}
		endpoints = append(endpoints, endpointgossip.Endpoint{
			Name:      e.name,
			Address:   e.address,
			Zone:      e.zone(g.node.settings.Zones),
			Pod:       e.Pod,
			Weight:    e.Weight,
			Draining:  e.State == policy.StateDraining,
			StartedNs: int64(e.StartedAt),
		})
	}
	return endpoints, removed
}

// entries converts endpoints; an active one without a valid address is left out.
func (g *listGossip) toEntries(endpoints []endpointgossip.Endpoint) (toEntries []endpointEntry) {
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
				Zone:      zoneIndex(gossiped.Zone, g.node.settings.Zones),
				Pod:       gossiped.Pod,
				Weight:    gossiped.Weight,
				StartedAt: policy.Time(gossiped.StartedNs),
				State:     state,
			},
		})
	}
	return toEntries
}
