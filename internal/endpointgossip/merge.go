package endpointgossip

import (
	"maps"
	"slices"
)

// minActiveDivisor: a list may leave one in so many of the usable endpoints without further witnesses.
const minActiveDivisor = 2

// accept takes a gathered list into use, by the order between lists in the package comment. It returns the endpoints to
// use; nil: nothing changes.
func (e *Exchange) accept(g *transfer) []Endpoint {
	endpoints := g.endpoints()
	gathered := newList(g.head.Version, endpoints, g.head.confirmedAt(), g.head.Restored)
	if gathered.digest != g.head.Digest || len(endpoints) > MaxEndpoints { // pages of different lists
		e.counters.Invalid++
		e.transfer = nil
		return nil
	}
	current := e.currentList()
	next, absent := mergeLists(current, gathered)
	if removesMajority(current.endpointsOrNil(), next.endpointsOrNil()) && len(g.witnesses) < requiredWitnesses {
		if !g.unconfirmed {
			g.unconfirmed = true
			e.counters.Unconfirmed++
		}
		return nil // the gathering stays, for another witness
	}
	e.transfer = nil
	if current != nil && next.matches(current.version, current.digest) {
		current.confirm(gathered.confirmedAt, gathered.restored)
		return nil
	}
	e.current, e.usesGossipedList = next, true
	e.counters.Accepted++
	used := slices.Concat(next.endpoints, absent)
	if e.age(next) > FreshForNs {
		e.markNewAsJustStarted(used, current.endpointsOrNil())
	}
	return used
}

// combine is the list after a gathered one, and the endpoints that are only on the current one, if there is one.
func mergeLists(current, gathered *list) (next *list, absent []Endpoint) {
	if current == nil {
		return gathered, nil
	}
	if gathered.version > current.version && (current.restored || !gathered.restored) {
		return gathered, absentAsDraining(current.endpoints, gathered.endpoints)
	}
	a, b := current, gathered
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
func (e *Exchange) markNewAsJustStarted(used, known []Endpoint) {
	startedNs := map[string]int64{}
	for _, endpoint := range known {
		startedNs[endpoint.Name] = endpoint.StartedNs
	}
	for i := range used {
		if started, ok := startedNs[used[i].Name]; ok {
			used[i].StartedNs = max(used[i].StartedNs, started)
		} else {
			used[i].StartedNs = e.now
		}
	}
}

// mergeCautiously merges two lists endpoint by endpoint. startsOfSecond: only the second is known to have right starts.
func mergeCautiously(first, second []Endpoint, startsOfSecond bool) []Endpoint {
	merged := map[string]Endpoint{}
	for _, endpoint := range first {
		merged[endpoint.Name] = endpoint
	}
	for _, endpoint := range second {
		if other, known := merged[endpoint.Name]; known {
			endpoint = endpoint.mergeWith(other, startsOfSecond)
		}
		merged[endpoint.Name] = endpoint
	}
	return slices.Collect(maps.Values(merged))
}

// mergeWith is the more cautious of two entries for an endpoint. Where neither is more cautious any choice will do that
// is the same at all nodes.
func (p Endpoint) mergeWith(other Endpoint, ownStart bool) Endpoint {
	p.Draining = p.Draining || other.Draining
	if !ownStart {
		p.StartedNs = max(p.StartedNs, other.StartedNs)
	}
	p.Address = max(p.Address, other.Address)
	p.Zone = max(p.Zone, other.Zone)
	p.Pod = max(p.Pod, other.Pod)
	p.Weight = min(p.Weight, other.Weight)
	return p
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
