package model

import "slices"

// State is the state of an endpoint in the list.
type State int

// States of a listed endpoint. A removed endpoint appears in updates only.
const (
	Up State = iota
	Draining
	Removed
)

// ListEntry is one endpoint in discovery's list.
type ListEntry struct {
	Endpoint  int
	State     State
	StartedAt int64 // nanoseconds since the Unix epoch; 0: long ago
}

type change struct {
	version int64
	ListEntry
}

// maxHistory is the number of changes that a list keeps; a watch that is further behind gets the complete list.
const maxHistory = 4096

// EndpointList is discovery's list with its history of changes. Its version never decreases, not even when discovery
// moves to another address.
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

// ChangesAfter returns the newest entry of each endpoint that has changed since a version. It returns the complete list
// if the history does not reach back to that version.
func (l *EndpointList) ChangesAfter(version int64) (entries []ListEntry, complete bool) {
	if !l.reachesBackTo(version) {
		return l.Complete(), true
	}
	index := map[int]int{}
	for _, c := range l.history {
		if c.version <= version {
			continue
		}
		if at, listed := index[c.Endpoint]; listed {
			entries[at] = c.ListEntry
			continue
		}
		index[c.Endpoint] = len(entries)
		entries = append(entries, c.ListEntry)
	}
	return entries, false
}

// reachesBackTo reports whether the history holds all changes after a version.
func (l *EndpointList) reachesBackTo(version int64) bool {
	switch {
	case version <= 0 || version > l.version:
		return false
	case len(l.history) == 0:
		return version == l.version
	}
	return version >= l.history[0].version-1
}
