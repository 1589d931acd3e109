package node

import (
	"encoding/json"
	"slices"

	"fawnglade/internal/nodestate"
	"fawnglade/policy"

	"go.uber.org/zap"
)

// Uses of the persisted state: the endpoint list and the estimates at the start, and later the drains, which an older
// list must not end. Package nodestate decides what is trusted.

// endpoints returns the persisted list without removed endpoints. Active ones count as just started.
func (p *persistence) endpoints() []endpointEntry {
	if p == nil {
		return nil
	}
	return p.node.entriesFromPersisted(p.recovered.Endpoints)
}

// version returns the highest list version that was persisted before this start; 0: there is none.
func (p *persistence) version() int64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Version()
}

// isOlderThan reports whether the persisted list is older than a list of the given version.
func (p *persistence) isOlderThan(version int64) bool { return p == nil || version > p.version() }

// addFromOlderList adds to the persisted endpoints those that only an older list contains, unless they were removed
// since.
func (p *persistence) addFromOlderList(persisted, older []endpointEntry, version int64) []endpointEntry {
	known := map[string]bool{}
	for _, e := range persisted {
		known[e.name] = true
	}
	all := slices.Clone(persisted)
	for _, e := range p.applyDrains(older, version) {
		if !known[e.name] && e.State != policy.StateRemoved {
			all = append(all, e)
		}
	}
	return all
}

// restoreEstimates gives the persisted estimates to the balancer, weighted by their age.
func (p *persistence) restoreEstimates() {
	if p == nil || p.recovered.Estimates == nil {
		return
	}
	snapshot, err := p.node.decodeEstimates(p.recovered.Estimates)
	if err != nil {
		p.node.log.Warn("ignoring the persisted estimates", zap.Error(err))
		return
	}
	snapshot.Decay(p.recovered.EstimatesWeight)
	loop := p.node.loop
	loop.handle(nil, func() { loop.balancer.Inherit(snapshot) })
}

// recordList applies the persisted drains to entries of the list, and persists the result.
func (p *persistence) recordList(entries []endpointEntry, version int64, complete bool) []endpointEntry {
	if p == nil {
		return entries
	}
	now := p.node.clock.nanos()
	updated := p.update(entries, func(endpoints []nodestate.Endpoint) []nodestate.Endpoint {
		endpoints = p.state.ApplyDrains(endpoints, version)
		p.state.RecordList(now, endpoints, version, complete)
		return endpoints
	})
	p.wakeWriter()
	return updated
}

// applyDrains applies the persisted drains to entries of a list that was not received by gossip.
func (p *persistence) applyDrains(entries []endpointEntry, version int64) []endpointEntry {
	return p.update(entries, func(endpoints []nodestate.Endpoint) []nodestate.Endpoint {
		return p.state.ApplyDrains(endpoints, version)
	})
}

// applyDrainsToGossiped applies the persisted drains to a list received by gossip.
func (p *persistence) applyDrainsToGossiped(entries []endpointEntry, version int64) []endpointEntry {
	if p == nil {
		return entries
	}
	return p.update(entries, func(endpoints []nodestate.Endpoint) []nodestate.Endpoint {
		return p.state.ApplyDrainsToGossiped(endpoints, version)
	})
}

// update returns the entries with the states that the function apply returns for them. It calls apply with the lock
// held.
func (p *persistence) update(
	entries []endpointEntry, apply func([]nodestate.Endpoint) []nodestate.Endpoint,
) []endpointEntry {
	endpoints := p.node.persistedEndpoints(entries)
	p.mu.Lock()
	applied := apply(endpoints)
	p.mu.Unlock()
	updated := slices.Clone(entries)
	for i := range updated {
		if applied[i].State != endpoints[i].State {
			updated[i].State = endpointState(applied[i].State)
		}
	}
	return updated
}

// laterStartReported handles the latest start of this node that other nodes have seen. If it is later than all
// persisted starts, the state directory is an outdated copy.
func (p *persistence) laterStartReported(startMs uint64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	olderCopy := p.state.ReportLaterStart(startMs)
	p.mu.Unlock()
	if olderCopy {
		p.node.log.Warn("state directory is an outdated copy: other nodes have seen a later start of this node; lists override the persisted state")
	}
}

// memberStarts returns the persisted starts of other nodes by name, in milliseconds of their clocks.
func (p *persistence) memberStarts() map[string]uint64 {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.MemberStartsMs()
}

// persistenceStatus is the admin API's response about the persisted state.
type persistenceStatus struct {
	Epoch       uint64   `json:"epoch"`
	Endpoints   int      `json:"servers"`
	OlderCopy   bool     `json:"older_copy"`
	NotTrusted  []string `json:"not_trusted,omitempty"`
	Written     int64    `json:"batches_written"`
	Failed      int64    `json:"batches_failed"`
	WriteTimeS  float64  `json:"write_under_way_s"`
	LastFailure string   `json:"broken,omitempty"`
}

func (p *persistence) statusJSON() string {
	p.mu.Lock()
	status := persistenceStatus{
		Epoch:      p.state.Epoch(),
		Endpoints:  p.state.EndpointCount(),
		OlderCopy:  p.state.IsOutdatedCopy(),
		NotTrusted: p.recovered.NotTrusted,
		Written:    p.writtenBatches.Load(),
		Failed:     p.failedBatches.Load(),
	}
	p.mu.Unlock()
	if started := p.writeStarted.Load(); started > 0 {
		status.WriteTimeS = float64(p.node.clock.nanos()-started) / float64(second)
	}
	if failure := p.lastError.Load(); failure != nil {
		status.LastFailure = *failure
	}
	text, err := json.Marshal(status)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

var persistedStates = map[policy.EndpointState]nodestate.EndpointState{
	policy.StateActive:   nodestate.Active,
	policy.StateDraining: nodestate.Draining,
	policy.StateRemoved:  nodestate.Removed,
}

func endpointState(persisted nodestate.EndpointState) policy.EndpointState {
	switch persisted {
	case nodestate.Draining:
		return policy.StateDraining
	case nodestate.Removed:
		return policy.StateRemoved
	default:
		return policy.StateActive
	}
}

func (n *Node) persistedEndpoints(entries []endpointEntry) []nodestate.Endpoint {
	endpoints := make([]nodestate.Endpoint, len(entries))
	for i, e := range entries {
		endpoints[i] = nodestate.Endpoint{
			Name:      e.name,
			Address:   e.address,
			Zone:      e.zone(n.settings.Zones),
			Pod:       e.Pod,
			Weight:    e.Weight,
			StartedNs: int64(e.StartedAt),
			State:     persistedStates[e.State],
		}
	}
	return endpoints
}

func (n *Node) entriesFromPersisted(endpoints []nodestate.Endpoint) []endpointEntry {
	entries := make([]endpointEntry, len(endpoints))
	for i, persisted := range endpoints {
		entries[i] = endpointEntry{
			name:    persisted.Name,
			address: persisted.Address,
			EndpointInfo: policy.EndpointInfo{
				ID:        endpointID(persisted.Name),
				Zone:      zoneIndex(persisted.Zone, n.settings.Zones),
				Pod:       persisted.Pod,
				Weight:    persisted.Weight,
				StartedAt: policy.Time(persisted.StartedNs),
				State:     endpointState(persisted.State),
			},
		}
	}
	return entries
}
