package endpointgossip

import (
	"maps"
	"slices"
)

// minActiveDivisor: a list may leave one in so many of the usable endpoints without further witnesses.
const minActiveDivisor = 2

// accept takes a gathered list into use, by the order between lists in the package comment. It returns the endpoints to
// use; nil: nothing changes.
func (e *Exchange) accept(t *transfer) []Endpoint {
	endpoints := t.endpoints()
	received := newList(t.head.Version, endpoints, t.head.confirmedAt(), t.head.Restored)
	if received.digest != t.head.Digest || len(endpoints) > MaxEndpoints { // pages of different lists
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
		return nil // the gathering stays, for another witness
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

// combine is the list after a gathered one, and the endpoints that are only on the current one, if there is one.
func mergeLists(current, received *list) (next *list, absent []Endpoint) {
	if current == nil {
		return received, nil
	}
	if received.version > current.version && (current.restored || !received.restored) {
		return received, absentAsDraining(current.endpoints, received.endpoints)
	}
	a, b := current, received
	if b.restored { // starts are taken from the second
		a, b = b, a
	}
	merged := mergeCautiously(a.endpoints, b.endpoints, a.restored && !b.restored)
	confirmedAt := max(a.confirmedAt, b.confirmedAt)
	return newList(max(a.version, b.version), merged, confirmedAt, a.restored && b.restored), nil
}

func removesMajority(current, next []Endpoint) bool {
	return countActive(next)*minActiveDivisor < countActive(current)
}

// markNewAsJustStarted counts endpoints that are new in a list as just started, and others as started no earlier than
// known.
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

// mergeCautiously merges two lists endpoint by endpoint. startsOfSecond: only the second is known to have right starts.
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

// mergeWith is the more cautious of two entries for an endpoint. Where neither is more cautious any choice will do that
// is the same at all nodes.
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

// absentAsDraining are the endpoints of a list that a newer one lacks, as draining.
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
