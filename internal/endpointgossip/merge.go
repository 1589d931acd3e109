package endpointgossip

import (
	"maps"
	"slices"
)

// minUsableDivisor: a list may leave one in so many of the usable endpoints without further witnesses.
const minUsableDivisor = 2

// accept takes a gathered list into use, by the order between lists in the package comment. It returns the endpoints to
// use; nil: nothing changes.
func (e *Exchange) accept(g *gathering) []Endpoint {
	endpoints := g.endpoints()
	gathered := newList(g.head.Version, endpoints, g.head.confirmedAt(), g.head.Remembered)
	if gathered.digest != g.head.Digest || len(endpoints) > MaxEndpoints { // pages of different lists
		e.counters.Invalid++
		e.gathering = nil
		return nil
	}
	current := e.currentList()
	next, absent := combine(current, gathered)
	if removesMost(current.all(), next.all()) && len(g.witnesses) < requiredWitnesses {
		if !g.unconfirmed {
			g.unconfirmed = true
			e.counters.Unconfirmed++
		}
		return nil // the gathering stays, for another witness
	}
	e.gathering = nil
	if current != nil && next.is(current.version, current.digest) {
		current.confirm(gathered.confirmedAt, gathered.remembered)
		return nil
	}
	e.held, e.usesGossip = next, true
	e.counters.Accepted++
	used := slices.Concat(next.endpoints, absent)
	if e.age(next) > FreshForNs {
		e.markNewAsStarted(used, current.all())
	}
	return used
}

// combine is the list after a gathered one, and the endpoints that are only on the current one, if there is one.
func combine(current, gathered *list) (next *list, absent []Endpoint) {
	if current == nil {
		return gathered, nil
	}
	if gathered.version > current.version && (current.remembered || !gathered.remembered) {
		return gathered, drainingAbsent(current.endpoints, gathered.endpoints)
	}
	a, b := current, gathered
	if b.remembered { // starts are taken from the second
		a, b = b, a
	}
	merged := mergeCautious(a.endpoints, b.endpoints, a.remembered && !b.remembered)
	confirmedAt := max(a.confirmedAt, b.confirmedAt)
	return newList(max(a.version, b.version), merged, confirmedAt, a.remembered && b.remembered), nil
}

func removesMost(current, next []Endpoint) bool {
	return activeCount(next)*minUsableDivisor < activeCount(current)
}

// markNewAsStarted counts endpoints that are new in a list as just started, and others as started no earlier than
// known.
func (e *Exchange) markNewAsStarted(used, known []Endpoint) {
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

// mergeCautious merges two lists endpoint by endpoint. startsOfSecond: only the second is known to have right starts.
func mergeCautious(first, second []Endpoint, startsOfSecond bool) []Endpoint {
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

// drainingAbsent are the endpoints of a list that a newer one lacks, as draining.
func drainingAbsent(older, newer []Endpoint) (absent []Endpoint) {
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
