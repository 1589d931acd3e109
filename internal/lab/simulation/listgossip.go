package simulation

import (
	"fmt"
	"strconv"

	"fawnglade/internal/endpointgossip"
	"fawnglade/internal/lab/model"
	"fawnglade/policy"
)

// listGossip is the endpoint list by gossip of one process. It runs the nodes' own exchange over simulated membership.
type listGossip struct {
	exchange    *endpointgossip.Exchange
	confirmedAt int64 // when the watch was last up, by the node's clock
}

func (n *node) startListGossip(seed uint64, list []model.ListEntry) {
	n.listGossip = nil
	if !n.sim.scenario.Nodes.ListGossip {
		return
	}
	entries, _ := n.sim.gossipEntries(list)
	n.listGossip = &listGossip{
		exchange: endpointgossip.New(seed, n.membership, n.clock(), n.sim.discovery.list.Version(), entries, false),
	}
}

func (sim *Simulation) gossipEntries(list []model.ListEntry) (entries []endpointgossip.Endpoint, removed []string) {
	for _, l := range list {
		e := sim.endpoints[l.Endpoint]
		name := fmt.Sprint(l.Endpoint)
		if l.State == model.Removed {
			removed = append(removed, name)
			continue
		}
		entries = append(entries, endpointgossip.Endpoint{
			Name: name, Zone: e.spec.Zone, Pod: e.spec.Pod, Weight: 1, Draining: l.State == model.Draining,
			StartedNs: l.StartedAt,
		})
	}
	return entries, removed
}

// applyGossipEntries passes entries that come from other nodes, or the node's own list again, to the decisions.
func (n *node) applyGossipEntries(entries []endpointgossip.Endpoint, complete bool) {
	if entries == nil {
		return
	}
	list := make([]policy.EndpointInfo, 0, len(entries))
	for _, l := range entries {
		endpoint, err := strconv.Atoi(l.Name)
		if err != nil {
			n.sim.err = fmt.Errorf("node %d: list by gossip: expected the number of an endpoint as name: %w", n.index, err)
			return
		}
		state := model.Up
		if l.Draining {
			state = model.Draining
		}
		list = append(list, n.sim.discovery.entries([]model.ListEntry{{
			Endpoint: endpoint, State: state, StartedAt: l.StartedNs,
		}})...)
	}
	n.post(func() {
		n.decider.EndpointsUpdated(policy.Time(n.clock()), list, complete)
		for _, l := range list {
			if l.State != policy.StateActive && !n.settings.Policy.RemovedMayServe {
				n.CloseIdle(l.ID)
			}
		}
	})
}

// tick runs the exchange's periodic work. While the node has a watch whose link is open, the list counts as confirmed.
func (g *listGossip) tick(n *node) {
	if g == nil {
		return
	}
	confirmedAt := int64(0)
	if w := n.watch; w != nil && w.record != nil {
		if n.sim.links.Open(n.sim.now, discoveryEnd, n.linkEnd()) {
			g.confirmedAt = n.clock()
		}
		confirmedAt = g.confirmedAt
	}
	n.applyGossipEntries(g.exchange.Tick(n.clock(), confirmedAt), true)
}

func (g *listGossip) receive(n *node, from int, payload []byte) {
	if g != nil {
		n.applyGossipEntries(g.exchange.Receive(n.clock(), from, payload), false)
	}
}

// watchUpdated passes an update of the watch to the exchange. It reports whether the decisions got the complete list
// instead, so that the update itself must not be applied.
func (g *listGossip) watchUpdated(n *node, version int64, entries []model.ListEntry, complete bool) bool {
	if g == nil {
		return false
	}
	changed, removed := n.sim.gossipEntries(entries)
	completeList := g.exchange.WatchUpdated(n.clock(), version, changed, removed, complete)
	n.applyGossipEntries(completeList, true)
	return completeList != nil
}
