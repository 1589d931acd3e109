package model

// This file owns what discovery knows and what it has to tell whom: versions, whole lists and changes. It must never
// decide when to tell, nor put a list into words of a protocol.

import "slices"

// Health of a listed server.
type Health int

const (
	Up Health = iota
	Draining
	Removed
)

// Listed is one server as discovery lists it.
type Listed struct {
	Server  int
	Health  Health
	Started int64 // nanoseconds since the Unix epoch; 0 for long ago
}

type change struct {
	version int64
	Listed
}

// Roster is the list with its history. Versions only grow, also when discovery moves.
type Roster struct {
	version int64
	now     map[int]Listed
	history []change
	most    int // changes kept; whoever is further behind gets the whole list
}

// NewRoster begins at a version with nobody listed.
func NewRoster(version int64) *Roster {
	return &Roster{version: version, now: map[int]Listed{}, most: 4096}
}

// Set changes one server's entry and returns the new version.
func (r *Roster) Set(l Listed) int64 {
	r.version++
	if l.Health == Removed {
		delete(r.now, l.Server)
	} else {
		r.now[l.Server] = l
	}
	r.history = append(r.history, change{r.version, l})
	if len(r.history) > 2*r.most {
		r.history = slices.Clone(r.history[len(r.history)-r.most:])
	}
	return r.version
}

// Version is that of the newest change.
func (r *Roster) Version() int64 { return r.version }

// Whole is the whole list in order of server.
func (r *Roster) Whole() []Listed {
	out := make([]Listed, 0, len(r.now))
	for _, l := range r.now {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Listed) int { return a.Server - b.Server })
	return out
}

// After is what has changed since a version, the newest state of each server only; whole if that cannot be told.
func (r *Roster) After(version int64) (entries []Listed, whole bool) {
	if version <= 0 || version > r.version || len(r.history) > 0 && version < r.history[0].version-1 ||
		len(r.history) == 0 && version != r.version {
		return r.Whole(), true
	}
	last := map[int]int{}
	for _, c := range r.history {
		if c.version <= version {
			continue
		}
		if at, again := last[c.Server]; again {
			entries[at] = c.Listed
			continue
		}
		last[c.Server] = len(entries)
		entries = append(entries, c.Listed)
	}
	return entries, false
}
