package simulation

// This file owns the list by others' word in virtual time: the same core as in the node, its loads carried by the members' view. It
// must never tell a node what no load has brought.

import (
	"fawnglade/internal/endpointgossip"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/policy"
	"fmt"
)

// hearing is one life's part in it.
type listGossip struct {
	core        *endpointgossip.Exchange
	confirmedAt int64 // when the watch last could say something
}

func (n *node) startListGossip(seed uint64, list []model.ListEntry) {
	n.listGossip = nil
	if !n.day.scenario.Nodes.ListGossip {
		return
	}
	lines, _ := n.day.linesOf(list)
	n.listGossip = &listGossip{core: endpointgossip.New(seed, n.membership, n.clock(), n.day.discovery.list.Version(), lines, false)}
}

func (d *Simulation) linesOf(list []model.ListEntry) (lines []endpointgossip.Endpoint, gone []string) {
	for _, l := range list {
		m := d.endpoints[l.Endpoint]
		name := fmt.Sprint(l.Endpoint)
		if l.State == model.Removed {
			gone = append(gone, name)
			continue
		}
		lines = append(lines, endpointgossip.Endpoint{Name: name, Zone: m.spec.Zone, Pod: m.spec.Pod, Weight: 1, Draining: l.State == model.Draining, StartedNs: l.StartedAt})
	}
	return lines, gone
}

// goBy takes lines of others, or the node's own list again, to the decisions.
func (n *node) applyLines(lines []endpointgossip.Endpoint, whole bool) {
	if lines == nil {
		return
	}
	list := make([]policy.EndpointInfo, 0, len(lines))
	for _, l := range lines {
		var server int
		fmt.Sscan(l.Name, &server)
		health := model.Up
		if l.Draining {
			health = model.Draining
		}
		list = append(list, n.day.discovery.entries([]model.ListEntry{{Endpoint: server, State: health, StartedAt: l.StartedNs}})...)
	}
	n.post(func() {
		n.decider.EndpointsUpdated(policy.Time(n.clock()), list, whole)
		for _, l := range list {
			if l.State != policy.StateActive && !n.set.Policy.RemovedMayServe {
				n.CloseIdle(l.ID)
			}
		}
	})
}

// beat lets the core ask; a watch says something at every moment at which its way is sound.
func (h *listGossip) tick(n *node) {
	if h == nil {
		return
	}
	word := int64(0)
	if w := n.watch; w != nil && w.record != nil {
		if n.day.links.Open(n.day.now, discoveryEnd, netfault.End{Index: n.index}) {
			h.confirmedAt = n.clock()
		}
		word = h.confirmedAt
	}
	n.applyLines(h.core.Tick(n.clock(), word), true)
}

func (h *listGossip) receive(n *node, from int, load []byte) {
	if h != nil {
		n.applyLines(h.core.Receive(n.clock(), from, load), false)
	}
}

// listed takes what the watch tells, and tells whether the node goes by all of the list anew.
func (h *listGossip) listed(n *node, version int64, entries []model.ListEntry, whole bool) bool {
	if h == nil {
		return false
	}
	lines, gone := n.day.linesOf(entries)
	all := h.core.WatchUpdated(n.clock(), version, lines, gone, whole)
	n.applyLines(all, true)
	return all != nil
}
