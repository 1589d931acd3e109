package node

import (
	"cmp"
	"slices"

	"fawnglade/policy"
)

// How the endpoint list enters the decisions: in slices, with the operators' overrides applied, and with connections
// to endpoints that are no longer used closed.
const (
	// minListChunkEntries is how many entries at least are taken in by one event. Each event costs a pass over all endpoints,
	// so a long list comes in at most maxListChunks of them.
	minListChunkEntries = 512
	maxListChunks       = 32
	// maxRetainedRemoved bounds the endpoints that stay known after their removal, where they may still serve.
	maxRetainedRemoved = 8192
)

// knownEndpoint is the last entry of the list for an endpoint.
type knownEndpoint struct {
	name, address string
	policy.EndpointInfo
}

// postEndpoints enters a list, or the changes of one, in slices, so that requests are handled in between. The
// endpoints that a complete list lacks are removed last: until then no endpoint is removed that is on it.
func (l *eventLoop) postEndpoints(entries []endpointEntry, complete bool) {
	size := max(minListChunkEntries, len(entries)/maxListChunks)
	for slice := range slices.Chunk(entries, size) {
		l.post(func() { l.endpointsUpdated(slice, false) })
	}
	if complete {
		l.post(func() { l.removeAbsent(entries) })
	} else if len(entries) == 0 { // the decisions count it as an update all the same
		l.post(func() { l.endpointsUpdated(nil, false) })
	}
}

// removeAbsent removes the endpoints that are not on a complete list.
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

// endpointsUpdated takes in the list, if it is complete, or what has changed in it.
func (l *eventLoop) endpointsUpdated(entries []endpointEntry, complete bool) {
	l.node.overrides.addKnownNames(endpointNames(entries)...)
	l.updateEndpoints(l.node.overrides.apply(entries, complete), complete)
}

// overridesChanged takes in the endpoints that operators have disabled or enabled.
func (l *eventLoop) overridesChanged() { l.updateEndpoints(l.node.overrides.changedEntries(), false) }

func endpointNames(entries []endpointEntry) []string {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.name
	}
	return names
}

// updateEndpoints hands entries, with the overrides applied, to the connection pools and the decisions.
func (l *eventLoop) updateEndpoints(entries []endpointEntry, complete bool) {
	list := make([]policy.EndpointInfo, 0, len(entries))
	for _, e := range entries {
		old, known := l.endpoints[e.ID]
		if known && e.State == policy.StateRemoved { // a removal says nothing else: zone, pod and start stay
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

// retainsRemoved reports whether a removed endpoint stays known with its connections, as it may still be sent to.
func (l *eventLoop) retainsRemoved() bool {
	return l.node.settings.Policy.RemovedMayServe && len(l.endpoints) <= maxRetainedRemoved
}

// updateAddress notes an entry. Idle connections are closed if the endpoint has moved, was restarted or is no longer
// active.
func (l *eventLoop) updateAddress(old knownEndpoint, e endpointEntry) {
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
