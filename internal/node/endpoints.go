package node

import (
	"cmp"
	"slices"

	"fawnglade/policy"
)

// Applies the endpoint list to the balancer and the connection pools: in chunks, with the operators' overrides applied.
// Idle connections to endpoints that no longer get requests are closed.

const (
	// minListChunkEntries is the minimum number of entries per event. Each event costs a pass over all endpoints, so a
	// long list is split into at most maxListChunks.
	minListChunkEntries = 512
	maxListChunks       = 32
	// maxRetainedRemoved is the number of known endpoints, active ones included, beyond which removed endpoints are not
	// retained even where they may still serve.
	maxRetainedRemoved = 8192
)

// knownEndpoint is the most recent list entry of an endpoint.
type knownEndpoint struct {
	name, address string
	policy.EndpointInfo
}

// postEndpoints posts a list, or the changes of one, to the event loop in chunks, so that requests are handled in
// between. Endpoints missing from a complete list are removed last, after all entries of that list have been applied.
func (l *eventLoop) postEndpoints(entries []endpointEntry, complete bool) {
	size := max(minListChunkEntries, len(entries)/maxListChunks)
	for slice := range slices.Chunk(entries, size) {
		l.post(func() { l.endpointsUpdated(slice, false) })
	}
	if complete {
		l.post(func() { l.removeAbsent(entries) })
	} else if len(entries) == 0 { // the balancer still counts it as an update
		l.post(func() { l.endpointsUpdated(nil, false) })
	}
}

// removeAbsent removes the known endpoints that are missing from a complete list.
func (l *eventLoop) removeAbsent(entries []endpointEntry) {
	listed := make(map[policy.EndpointID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	var absent []endpointEntry
	for id, known := range l.endpoints {
		if !listed[id] {
			removed := policy.EndpointInfo{ID: id, State: policy.StateRemoved}
			absent = append(absent, endpointEntry{EndpointInfo: removed, name: known.name, address: known.address})
		}
	}
	slices.SortFunc(absent, func(a, b endpointEntry) int { return cmp.Compare(a.ID, b.ID) })
	l.endpointsUpdated(absent, false)
}

// endpointsUpdated applies a complete list, or the changes of one.
func (l *eventLoop) endpointsUpdated(entries []endpointEntry, complete bool) {
	l.node.overrides.addKnownNames(endpointNames(entries)...)
	l.updateEndpoints(l.node.overrides.apply(entries, complete), complete)
}

// overridesChanged applies the overrides that changed since they were last applied.
func (l *eventLoop) overridesChanged() { l.updateEndpoints(l.node.overrides.changedEntries(), false) }

func endpointNames(entries []endpointEntry) []string {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.name
	}
	return names
}

// updateEndpoints updates the connection pools and the balancer with entries that already have the overrides applied.
func (l *eventLoop) updateEndpoints(entries []endpointEntry, complete bool) {
	list := make([]policy.EndpointInfo, 0, len(entries))
	for _, e := range l.supersededEntries(entries) {
		old, known := l.endpoints[e.ID]
		if known && e.State == policy.StateRemoved { // a removal only carries the ID: keep zone, pod and start time
			e.EndpointInfo = old.EndpointInfo
			e.State = policy.StateRemoved
		}
		list = append(list, e.EndpointInfo)
		if e.State == policy.StateRemoved && l.retainsRemoved() {
			continue
		}
		l.updateAddress(old, e)
	}
	l.handle(nil, func() { l.balancer.EndpointsUpdated(l.now, list, complete) })
}

// retainsRemoved reports whether a removed endpoint stays known and keeps its connections because it may still get
// requests.
func (l *eventLoop) retainsRemoved() bool {
	return l.node.settings.Policy.RemovedMayServe && len(l.endpoints) <= maxRetainedRemoved
}

// updateAddress records an entry. It closes the idle connections of an endpoint that has a new address, was restarted
// or is no longer active.
func (l *eventLoop) updateAddress(old knownEndpoint, e endpointEntry) {
	l.recordEndpointState(old, e)
	active := e.State == policy.StateActive
	l.node.upstreams.setAddress(e.ID, e.address, active)
	if old.address != "" && (old.address != e.address || !active || e.StartedAt > old.StartedAt) {
		go l.node.upstreams.closeIdle(upstreamTarget{e.ID, old.address})
	}
	if e.State == policy.StateRemoved {
		delete(l.endpoints, e.ID)
	} else if e.address != "" {
		l.endpoints[e.ID] = knownEndpoint{e.name, e.address, e.EndpointInfo}
	}
}
