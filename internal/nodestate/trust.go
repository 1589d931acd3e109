package nodestate

import (
	"cmp"
	"math"
	"slices"
)

// Rules for what of the persisted state is used after a start:
//
//   - A persisted drain or removal applies from the first request on, whatever its age. It ends when a list that is
//     newer than the state has the endpoint as active, or when any list has it as active with a later start time. A
//     list is newer if its version is higher than that of the state, or if any endpoint on it started later than the
//     last time that was recorded in the state (ApplyDrains).
//   - An endpoint that was active counts as just started, because the cause of this node's crash may have crashed the
//     endpoint too. The next list has its real start time (Recover).
//   - The weight of estimates is halved for each HalfLifeNs of their age (Recover).
//   - If the clock is behind the last recorded time, all ages are unknown and estimates are not used (Recover).
//   - If other nodes have reported a later start of this node than the state has, the state is an outdated copy, and
//     lists override all of it (ReportLaterStart).

const (
	// HalfLifeNs is the age in nanoseconds at which the weight of estimates is half.
	HalfLifeNs = int64(30e9)

	minEstimatesWeight = 0.05 // below it, estimates are not used
)

// Recovered is the part of the persisted state that may be used after a start.
type Recovered struct {
	Endpoints       []Endpoint // active and draining ones, sorted by name
	Estimates       []byte     // nil: none
	EstimatesWeight float64    // 0 to 1, by their age
	NotTrusted      []string   // what is not used, and why; the admin API serves these texts, so they must not change
}

// Recover returns what may be used after a start at now.
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

// ReportLaterStart handles a start of this node that other nodes have reported, in Unix milliseconds of this node's
// clock. It returns true when a report shows for the first time that the state is an outdated copy.
func (s *State) ReportLaterStart(startMs uint64) bool {
	if s.outdatedCopy || s.beforeStart.Clock == 0 || startMs <= uint64(s.beforeStart.Clock/1e6) {
		return false
	}
	s.outdatedCopy = true
	return true
}

// IsOutdatedCopy reports whether the state that was loaded is an outdated copy: other nodes have reported a later start
// of this node than the state has.
func (s *State) IsOutdatedCopy() bool { return s.outdatedCopy }

// ApplyDrains returns entries of a list of discovery with the persisted drains and removals that override it.
func (s *State) ApplyDrains(entries []Endpoint, version int64) []Endpoint {
	startedLater := func(entry Endpoint) bool { return entry.StartedNs > s.beforeStart.Clock }
	if s.outdatedCopy || slices.ContainsFunc(entries, startedLater) {
		return entries
	}
	return s.ApplyDrainsToGossiped(entries, version)
}

// ApplyDrainsToGossiped is ApplyDrains for a list of another node. Such a list is newer only if its version is higher:
// its start times may have been estimated by that node.
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

// overridesListed reports whether e is a drain or removal from before this start that overrides an entry of an older
// list.
func (e *Endpoint) overridesListed(listed *Endpoint) bool {
	withdrawn := e.State != Active
	fromBeforeStart := !e.listedSinceStart
	listedActive := listed.State == Active
	restarted := listed.StartedNs > e.StartedNs
	return withdrawn && fromBeforeStart && listedActive && !restarted
}
