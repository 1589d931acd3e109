package simulation

import (
	"fmt"
	"strconv"

	"fawnglade/internal/endpointgossip"
	"fawnglade/internal/lab/model"
	"fawnglade/policy"
)

// listGossip is the endpoint list by gossip of one process: the node's own code over simulated membership.
type listGossip struct {
	exchange    *endpointgossip.Exchange
	confirmedAt int64 // when the watch was last up
}

func (n *node) startListGossip(seed uint64, list []model.ListEntry) {
	n.listGossip = nil
	if !n.sim.scenario.Nodes.ListGossip {
		return
	}
	lines, _ := n.sim.gossipEntries(list)
	n.listGossip = &listGossip{
		exchange: endpointgossip.New(seed, n.membership, n.clock(), n.sim.discovery.list.Version(), lines, false),
	}
}

func (d *Simulation) gossipEntries(list []model.ListEntry) (lines []endpointgossip.Endpoint, gone []string) {
	for _, l := range list {
		m := d.endpoints[l.Endpoint]
		name := fmt.Sprint(l.Endpoint)
		if l.State == model.Removed {
			gone = append(gone, name)
			continue
		}
		lines = append(lines, endpointgossip.Endpoint{
			Name: name, Zone: m.spec.Zone, Pod: m.spec.Pod, Weight: 1, Draining: l.State == model.Draining,
			StartedNs: l.StartedAt,
		})
	}
	return lines, gone
}

// applyGossipEntries gives the decisions entries of others, or the node's own list again.
func (n *node) applyGossipEntries(lines []endpointgossip.Endpoint, whole bool) {
	if lines == nil {
		return
	}
	list := make([]policy.EndpointInfo, 0, len(lines))
	for _, l := range lines {
		endpoint, err := strconv.Atoi(l.Name)
		if err != nil {
			n.sim.err = fmt.Errorf("node %d: an entry of no endpoint: %w", n.index, err)
			return
		}
		health := model.Up
		if l.Draining {
			health = model.Draining
		}
		list = append(list, n.sim.discovery.entries([]model.ListEntry{{
			Endpoint: endpoint, State: health, StartedAt: l.StartedNs,
		}})...)
	}
	n.post(func() {
		n.decider.EndpointsUpdated(policy.Time(n.clock()), list, whole)
		for _, l := range list {
			if l.State != policy.StateActive && !n.settings.Policy.RemovedMayServe {
				n.CloseIdle(l.ID)
			}
		}
	})
}

// tick lets the core ask. A watch confirms the list at every moment at which its link is open.
func (h *listGossip) tick(n *node) {
	if h == nil {
		return
	}
	word := int64(0)
	if w := n.watch; w != nil && w.record != nil {
		if n.sim.links.Open(n.sim.now, discoveryEnd, n.linkEnd()) {
			h.confirmedAt = n.clock()
		}
		word = h.confirmedAt
	}
	n.applyGossipEntries(h.exchange.Tick(n.clock(), word), true)
}

func (h *listGossip) receive(n *node, from int, load []byte) {
	if h != nil {
		n.applyGossipEntries(h.exchange.Receive(n.clock(), from, load), false)
	}
}

// listed takes an update of the watch, and tells whether the node was given the complete list anew.
func (h *listGossip) watchUpdated(n *node, version int64, entries []model.ListEntry, whole bool) bool {
	if h == nil {
		return false
	}
	lines, gone := n.sim.gossipEntries(entries)
	all := h.exchange.WatchUpdated(n.clock(), version, lines, gone, whole)
	n.applyGossipEntries(all, true)
	return all != nil
}
