package model

// This file owns what discovery knows and what it has to tell whom: versions, whole lists and changes. It must never
// decide when to tell, nor put a list into words of a protocol.

import "slices"

// Health of a listed server.
type State int

const (
	Up State = iota
	Draining
	Removed
)

// Listed is one server as discovery lists it.
type ListEntry struct {
	Endpoint  int
	State     State
	StartedAt int64 // nanoseconds since the Unix epoch; 0 for long ago
}

type change struct {
	version int64
	ListEntry
}

// Roster is the list with its history. Versions only grow, also when discovery moves.
type EndpointList struct {
	version    int64
	current    map[int]ListEntry
	history    []change
	maxHistory int // changes kept; whoever is further behind gets the whole list
}

// NewRoster begins at a version with nobody listed.
func NewEndpointList(version int64) *EndpointList {
	return &EndpointList{version: version, current: map[int]ListEntry{}, maxHistory: 4096}
}

// Set changes one server's entry and returns the new version.
func (r *EndpointList) Set(l ListEntry) int64 {
	r.version++
	if l.State == Removed {
		delete(r.current, l.Endpoint)
	} else {
		r.current[l.Endpoint] = l
	}
	r.history = append(r.history, change{r.version, l})
	if len(r.history) > 2*r.maxHistory {
		r.history = slices.Clone(r.history[len(r.history)-r.maxHistory:])
	}
	return r.version
}

// Version is that of the newest change.
func (r *EndpointList) Version() int64 { return r.version }

// Whole is the whole list in order of server.
func (r *EndpointList) Complete() []ListEntry {
	out := make([]ListEntry, 0, len(r.current))
	for _, l := range r.current {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b ListEntry) int { return a.Endpoint - b.Endpoint })
	return out
}

// After is what has changed since a version, the newest state of each server only; whole if that cannot be told.
func (r *EndpointList) ChangesAfter(version int64) (entries []ListEntry, whole bool) {
	if version <= 0 || version > r.version || len(r.history) > 0 && version < r.history[0].version-1 ||
		len(r.history) == 0 && version != r.version {
		return r.Complete(), true
	}
	last := map[int]int{}
	for _, c := range r.history {
		if c.version <= version {
			continue
		}
		if at, again := last[c.Endpoint]; again {
			entries[at] = c.ListEntry
			continue
		}
		last[c.Endpoint] = len(entries)
		entries = append(entries, c.ListEntry)
	}
	return entries, false
}
