package model

import "slices"

// State of an endpoint on the list.
type State int

// The states.
const (
	Up State = iota
	Draining
	Removed
)

// ListEntry is one endpoint as discovery lists it.
type ListEntry struct {
	Endpoint  int
	State     State
	StartedAt int64 // nanoseconds since the Unix epoch; 0: long ago
}

type change struct {
	version int64
	ListEntry
}

// maxHistory is how many changes a list keeps; whoever is further behind gets the complete list.
const maxHistory = 4096

// EndpointList is discovery's list with its history. Versions only grow, also when discovery moves.
type EndpointList struct {
	version int64
	current map[int]ListEntry
	history []change
}

// NewEndpointList returns an empty list at a version.
func NewEndpointList(version int64) *EndpointList {
	return &EndpointList{version: version, current: map[int]ListEntry{}}
}

// Set changes one endpoint's entry and returns the new version.
func (l *EndpointList) Set(e ListEntry) int64 {
	l.version++
	if e.State == Removed {
		delete(l.current, e.Endpoint)
	} else {
		l.current[e.Endpoint] = e
	}
	l.history = append(l.history, change{l.version, e})
	if len(l.history) > 2*maxHistory {
		l.history = slices.Clone(l.history[len(l.history)-maxHistory:])
	}
	return l.version
}

// Version returns the version of the newest change.
func (l *EndpointList) Version() int64 { return l.version }

// Complete returns all entries in the order of endpoints.
func (l *EndpointList) Complete() []ListEntry {
	entries := make([]ListEntry, 0, len(l.current))
	for _, e := range l.current {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b ListEntry) int { return a.Endpoint - b.Endpoint })
	return entries
}

// ChangesAfter returns what has changed since a version, the newest entry of each endpoint only; the complete list if
// that is not known.
func (l *EndpointList) ChangesAfter(version int64) (entries []ListEntry, complete bool) {
	if !l.reachesBackTo(version) {
		return l.Complete(), true
	}
	place := map[int]int{}
	for _, c := range l.history {
		if c.version <= version {
			continue
		}
		if at, again := place[c.Endpoint]; again {
			entries[at] = c.ListEntry
			continue
		}
		place[c.Endpoint] = len(entries)
		entries = append(entries, c.ListEntry)
	}
	return entries, false
}

// knows tells whether the history reaches back to a version.
func (l *EndpointList) reachesBackTo(version int64) bool {
	switch {
	case version <= 0 || version > l.version:
		return false
	case len(l.history) == 0:
		return version == l.version
	}
	return version >= l.history[0].version-1
}
