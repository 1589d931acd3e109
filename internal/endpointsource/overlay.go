package endpointsource

import (
	"cmp"
	"maps"
	"slices"
)

// switchTo makes another source active. Where its list may be older than the one in use, the latter becomes the
// overlay.
func (s *Selector[V]) switchTo(nowNs int64, next Source) {
	previous := s.active
	s.active = next
	if previous == SourceNone {
		return
	}
	s.Switches++
	previousVersion := s.lists[previous].version
	if s.overlay != nil { // the list in use held more than the previous source's own
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

// overlayExpired reports whether the active source has caught up with the overlay, or had its time to do so.
func (s *Selector[V]) overlayExpired(nowNs int64) bool {
	caughtUp := s.overlay.version > 0 && s.lists[s.active].version >= s.overlay.version
	return caughtUp || nowNs >= s.overlayUntilNs
}

// allNames returns the names of all endpoints that are in use or may be, with duplicates and in any order.
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

// buildUpdate resolves the named endpoints, brings current up to date and returns the update.
func (s *Selector[V]) buildUpdate(touched []string, complete bool) Update[V] {
	update := Update[V]{Version: s.lists[s.active].version, Complete: complete, Changed: true}
	slices.Sort(touched)
	for _, name := range slices.Compact(touched) {
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

// resolve returns an endpoint as the node is to use it; false: not at all. With an overlay, endpoint by endpoint:
//
//   - of two starts the later one counts; of one start, draining counts over up;
//   - an endpoint that only the overlay has stays;
//   - one that only the active source has counts if it drains, or started after the previous source was last heard.
//     Otherwise the previous source may have removed it.
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
