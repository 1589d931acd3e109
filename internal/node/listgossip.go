package node

import (
	"encoding/json"
	"net/netip"
	"sync"

	"fawnglade/internal/endpointgossip"
	"fawnglade/policy"

	"go.uber.org/zap"
)

// listGossip connects package endpointgossip, which decides which lists of other nodes are used, with the membership
// that carries its messages and with the event loop. Updates of the node's own watch are never delayed, and no gossiped
// list is posted after a newer list of the watch. It is nil where nodes do not exchange lists.
type listGossip struct {
	node     *Node
	mu       sync.Mutex // ensures that lists are posted to the event loop in the order of the updates
	exchange *endpointgossip.Exchange
}

func newListGossip(n *Node) *listGossip {
	if n.members == nil || !n.members.config.ShareEndpointList {
		return nil
	}
	return &listGossip{node: n}
}

// startExchange starts the exchange over the membership, with the node's initial list.
func (g *listGossip) startExchange(seed uint64, transport endpointgossip.Transport) {
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

// primaryListUpdated applies an update from discovery or relays and posts it. If a gossiped list was in use until now,
// the complete list is posted.
func (g *listGossip) primaryListUpdated(update listUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exchange == nil { // the membership has not started yet; startExchange will use this list
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

// tick is called on each tick of the membership.
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

// receive handles a message from another node.
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
	g.node.log.Info("using the endpoint list of another node",
		zap.Int("from", from), zap.Int("endpoints", len(entries)), zap.Any("list", view))
}

// viewJSON returns the state of the exchange for the admin API; nil where there is no exchange.
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
		g.node.log.Error("encoding the state of the endpoint list exchange failed", zap.Error(err))
	}
	return text
}

// toGossipEndpoints converts entries, and returns the names of removed ones separately.
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

// toEntries converts endpoints and omits active ones without a valid address.
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
