package endpointgossip

import (
	"maps"
	"slices"
)

// minActiveDivisor limits the endpoints that a list can remove without requiredWitnesses: at least one in
// minActiveDivisor of the active endpoints must stay active.
const minActiveDivisor = 2

// accept merges a completely transferred list into the current one, by the rules in the package comment. It returns the
// endpoints to use, or nil if nothing changes.
func (e *Exchange) accept(t *transfer) []Endpoint {
	endpoints := t.endpoints()
	received := newList(t.head.Version, endpoints, t.head.confirmedAt(), t.head.Restored)
	if received.digest != t.head.Digest || len(endpoints) > MaxEndpoints { // the pages are of different lists
		e.counters.Invalid++
		e.transfer = nil
		return nil
	}
	current := e.currentList()
	next, absent := mergeLists(current, received)
	if removesMajority(current.endpointsOrNil(), next.endpointsOrNil()) && len(t.witnesses) < requiredWitnesses {
		if !t.unconfirmed {
			t.unconfirmed = true
			e.counters.Unconfirmed++
		}
		return nil // the transfer stays, for another witness
	}
	e.transfer = nil
	if current != nil && next.matches(current.version, current.digest) {
		current.confirm(received.confirmedAt, received.restored)
		return nil
	}
	e.current, e.usesGossipedList = next, true
	e.counters.Accepted++
	endpointsToUse := slices.Concat(next.endpoints, absent)
	if e.age(next) > FreshForNs {
		e.markNewAsJustStarted(endpointsToUse, current.endpointsOrNil())
	}
	return endpointsToUse
}

// mergeLists returns the list that results from receiving a list, and, if that replaces the current one, the endpoints
// that are only on the current one, as draining.
func mergeLists(current, received *list) (next *list, absent []Endpoint) {
	if current == nil {
		return received, nil
	}
	if received.version > current.version && (current.restored || !received.restored) {
		return received, absentAsDraining(current.endpoints, received.endpoints)
	}
	a, b := current, received
	if b.restored { // start times are taken from the second list
		a, b = b, a
	}
	merged := mergeCautiously(a.endpoints, b.endpoints, a.restored && !b.restored)
	confirmedAt := max(a.confirmedAt, b.confirmedAt)
	return newList(max(a.version, b.version), merged, confirmedAt, a.restored && b.restored), nil
}

func removesMajority(current, next []Endpoint) bool {
	return countActive(next)*minActiveDivisor < countActive(current)
}

// markNewAsJustStarted sets the start time of endpoints that are not known to now, and that of known endpoints to the
// known one if that is later.
func (e *Exchange) markNewAsJustStarted(endpoints, knownEndpoints []Endpoint) {
	startedNs := map[string]int64{}
	for _, endpoint := range knownEndpoints {
		startedNs[endpoint.Name] = endpoint.StartedNs
	}
	for i := range endpoints {
		if started, ok := startedNs[endpoints[i].Name]; ok {
			endpoints[i].StartedNs = max(endpoints[i].StartedNs, started)
		} else {
			endpoints[i].StartedNs = e.now
		}
	}
}

// mergeCautiously merges two lists endpoint by endpoint. useSecondStarts: only the start times of the second are
// trusted.
func mergeCautiously(first, second []Endpoint, useSecondStarts bool) []Endpoint {
	merged := map[string]Endpoint{}
	for _, endpoint := range first {
		merged[endpoint.Name] = endpoint
	}
	for _, endpoint := range second {
		if other, known := merged[endpoint.Name]; known {
			endpoint = endpoint.mergeWith(other, useSecondStarts)
		}
		merged[endpoint.Name] = endpoint
	}
	return slices.Collect(maps.Values(merged))
}

// mergeWith returns the more cautious combination of two entries for an endpoint. Where neither value is more cautious,
// the choice is arbitrary but the same at all nodes. keepStart: the start time of e is kept.
func (e Endpoint) mergeWith(other Endpoint, keepStart bool) Endpoint {
	e.Draining = e.Draining || other.Draining
	if !keepStart {
		e.StartedNs = max(e.StartedNs, other.StartedNs)
	}
	e.Address = max(e.Address, other.Address)
	e.Zone = max(e.Zone, other.Zone)
	e.Pod = max(e.Pod, other.Pod)
	e.Weight = min(e.Weight, other.Weight)
	return e
}

// absentAsDraining returns the endpoints of a list that are not on a newer one, as draining.
func absentAsDraining(older, newer []Endpoint) (absent []Endpoint) {
	listed := map[string]bool{}
	for _, endpoint := range newer {
		listed[endpoint.Name] = true
	}
	for _, endpoint := range older {
		if !listed[endpoint.Name] {
			endpoint.Draining = true
			absent = append(absent, endpoint)
		}
	}
	return absent
}
