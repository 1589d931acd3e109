package endpointsource

import (
	"cmp"
	"maps"
	"slices"
)

// switchTo makes another source active. If its list may be older than the list in use, the list in use becomes the
// overlay.
func (s *Selector[V]) switchTo(nowNs int64, next Source) {
	previous := s.active
	s.active = next
	if previous == SourceNone {
		return
	}
	s.Switches++
	previousVersion := s.lists[previous].version
	if s.overlay != nil { // the list in use may be newer than the previous source's list
		previousVersion = max(previousVersion, s.overlay.version)
	}
	s.overlay = nil
	nextVersion := s.lists[next].version
	if nextVersion == 0 || previousVersion == 0 || nextVersion < previousVersion {
		s.overlay = &list[V]{
			endpoints: maps.Clone(s.current),
			version:   previousVersion,
			asOfNs:    s.lists[previous].asOfNs,
		}
		s.overlayUntilNs = nowNs + OverlayNs
	}
}

// overlayExpired reports whether the active source has caught up with the overlay's version, or OverlayNs have passed.
func (s *Selector[V]) overlayExpired(nowNs int64) bool {
	caughtUp := s.overlay.version > 0 && s.lists[s.active].version >= s.overlay.version
	return caughtUp || nowNs >= s.overlayUntilNs
}

// allNames returns the names of all endpoints in the current list, the active source's list and the overlay, in any
// order and possibly with duplicates.
func (s *Selector[V]) allNames() []string {
	active := s.lists[s.active].endpoints
	all := make([]string, 0, len(s.current)+len(active))
	all = slices.AppendSeq(all, maps.Keys(s.current))
	all = slices.AppendSeq(all, maps.Keys(active))
	if s.overlay != nil {
		all = slices.AppendSeq(all, maps.Keys(s.overlay.endpoints))
	}
	return all
}

// buildUpdate resolves the named endpoints, updates current with them and returns the changes.
func (s *Selector[V]) buildUpdate(changedNames []string, complete bool) Update[V] {
	update := Update[V]{Version: s.lists[s.active].version, Complete: complete, Changed: true}
	slices.Sort(changedNames)
	for _, name := range slices.Compact(changedNames) {
		endpoint, exists := s.resolve(name)
		if exists {
			s.current[name] = endpoint
			update.Endpoints = append(update.Endpoints, endpoint)
			continue
		}
		removed, wasCurrent := s.current[name]
		if wasCurrent && !complete {
			removed.State = StateRemoved
			update.Endpoints = append(update.Endpoints, removed)
		}
		delete(s.current, name)
	}
	return update
}

// resolve returns an endpoint as the node must use it, or false if the endpoint is not in use. With an overlay, it
// decides by these rules:
//
//   - if both lists have the endpoint, the later start wins; for the same start, draining wins over up;
//   - an endpoint that only the overlay has stays in use;
//   - an endpoint that only the active source has is used if it is not up, or started after the overlay was last
//     current. Otherwise the previous source may have removed it.
func (s *Selector[V]) resolve(name string) (Endpoint[V], bool) {
	endpoint, exists := s.lists[s.active].endpoints[name]
	if s.overlay == nil {
		return endpoint, exists
	}
	previous, inOverlay := s.overlay.endpoints[name]
	if !exists {
		return previous, inOverlay
	}
	if !inOverlay {
		return endpoint, endpoint.State != StateUp || endpoint.StartedAtNs > s.overlay.asOfNs
	}
	order := cmp.Or(
		cmp.Compare(previous.StartedAtNs, endpoint.StartedAtNs),
		cmp.Compare(previous.State, endpoint.State),
	)
	if order > 0 {
		return previous, true
	}
	return endpoint, true
}
