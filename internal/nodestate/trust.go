package nodestate

import (
	"cmp"
	"math"
	"slices"
)

// What survives a crash, and who trusts it:
//
//   - A drain holds from the first request, however old, until the list has the endpoint as active after it, or with a
//     later start. A list comes after the drain if its version is higher than that of the state, or if any endpoint on
//     it started later than the last time that the state knows (ApplyDrains).
//   - An endpoint that was active counts as just started: what crashed this node may have crashed it too. The next list
//     says when it did start (Recover).
//   - Estimates count for half with each HalfLifeNs of their age (Recover).
//   - If the clock is behind the last time that the state knows, all ages are unknown and no estimates count.
//   - If other nodes know a later start of this node than the state does, the state is an older copy, and the list
//     overrides all of it (ReportLaterStart).

const (
	// HalfLifeNs is the age in nanoseconds at which estimates count for half.
	HalfLifeNs = int64(30e9)

	minEstimatesWeight = 0.05 // below it estimates are not used
)

// Recovered is what a start may use.
type Recovered struct {
	Endpoints       []Endpoint // by name, draining ones included
	Estimates       []byte     // nil: none
	EstimatesWeight float64    // 0 to 1, by their age
	NotTrusted      []string   // what is not used, and why; the admin API shows these texts, so they stay
}

// Recover returns what a start at a time may use.
func (s *State) Recover(now int64) Recovered {
	var r Recovered
	clockBehind := s.beforeStart.Clock > now
	if clockBehind {
		r.NotTrusted = append(r.NotTrusted, "the clock is behind the memory: no age is known")
	}
	for _, endpoint := range s.endpoints {
		if endpoint.State == Removed {
			continue
		}
		recovered := *endpoint
		if recovered.State == Active {
			recovered.StartedNs = now
		}
		r.Endpoints = append(r.Endpoints, recovered)
	}
	slices.SortFunc(r.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	s.recoverEstimates(&r, now, clockBehind)
	return r
}

func (s *State) recoverEstimates(r *Recovered, now int64, clockBehind bool) {
	if s.estimates.Encoded == nil {
		return
	}
	age := now - s.estimates.RecordedAt
	if clockBehind || age < 0 {
		r.NotTrusted = append(r.NotTrusted, "what was learned is of an unknown age")
		return
	}
	weight := math.Exp2(-float64(age) / float64(HalfLifeNs))
	if weight < minEstimatesWeight {
		r.NotTrusted = append(r.NotTrusted, "what was learned is too old")
		return
	}
	r.Estimates, r.EstimatesWeight = s.estimates.Encoded, weight
}

// ReportLaterStart takes in a start of this node that others know, in milliseconds of its clock. It reports whether
// that shows, for the first time, that the state is an older copy.
func (s *State) ReportLaterStart(startMs uint64) bool {
	if s.outdatedCopy || s.beforeStart.Clock == 0 || startMs <= uint64(s.beforeStart.Clock/1e6) {
		return false
	}
	s.outdatedCopy = true
	return true
}

// IsOutdatedCopy reports whether the state was found to be an older copy.
func (s *State) IsOutdatedCopy() bool { return s.outdatedCopy }

// ApplyDrains returns entries of a list of discovery with the drains and removals that hold against it.
func (s *State) ApplyDrains(entries []Endpoint, version int64) []Endpoint {
	startedLater := func(entry Endpoint) bool { return entry.StartedNs > s.beforeStart.Clock }
	if s.outdatedCopy || slices.ContainsFunc(entries, startedLater) {
		return entries
	}
	return s.ApplyDrainsToGossiped(entries, version)
}

// ApplyDrainsToGossiped is ApplyDrains for a list of another node. It is newer by its version alone: a start on it may
// be that node's guess.
func (s *State) ApplyDrainsToGossiped(entries []Endpoint, version int64) []Endpoint {
	if version > s.beforeStart.Version || s.beforeStart.Clock == 0 {
		return entries
	}
	applied := slices.Clone(entries)
	for i := range applied {
		if known := s.endpoints[applied[i].Name]; known != nil && known.overridesListed(&applied[i]) {
			applied[i].State = known.State
		}
	}
	return applied
}

// overridesListed reports whether a drain or removal from before this start holds against an entry of an older list.
func (e *Endpoint) overridesListed(listed *Endpoint) bool {
	withdrawn := e.State != Active
	fromBeforeStart := !e.listedSinceStart
	listedActive := listed.State == Active
	restarted := listed.StartedNs > e.StartedNs
	return withdrawn && fromBeforeStart && listedActive && !restarted
}
