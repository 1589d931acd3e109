package endpointsource

const (
	// RelayStartupWaitNs is the time, in nanoseconds, after its start during which a node waits for relays and doesn't
	// watch discovery.
	RelayStartupWaitNs = int64(1e9)
	// OverlayNs is the maximum time, in nanoseconds, for which the previous source's list is merged into the active
	// source's. It is bounded because the versions of a restarted discovery may never reach the previous ones.
	OverlayNs = int64(60e9)
)

// Selector holds the lists of both sources and selects the active source. It is not safe for concurrent use.
type Selector[V any] struct {
	staleAfterNs    int64
	startedAtNs     int64
	restoredVersion int64

	active  Source
	lists   [sourceCount]list[V]
	current map[string]Endpoint[V] // the list in use, without removed endpoints

	overlay        *list[V] // the list in use at the last switch, merged into the active source's; nil: none
	overlayUntilNs int64

	relaysWereFresh   bool
	takeoverVersion   int64 // version of discovery's list when relays became fresh
	relaysUnreachable bool

	Switches int64 // number of switches from one source to the other
}

// New returns a selector without a list. nowNs is the current time of the clock that all later calls use. Relays become
// stale when their list was last current staleAfterNs ago. restoredVersion is the version of the list that the node
// restored at its start, 0 for none. The node does not treat a list with no higher version as newer than the restored
// one. Since the version that relays report may briefly lag behind their list, the relays' list is returned once more
// as a complete one when its version first exceeds restoredVersion.
func New[V any](nowNs, staleAfterNs, restoredVersion int64) *Selector[V] {
	s := &Selector[V]{
		staleAfterNs:    staleAfterNs,
		startedAtNs:     nowNs,
		restoredVersion: restoredVersion,
		current:         map[string]Endpoint[V]{},
	}
	for i := range s.lists {
		s.lists[i].endpoints = map[string]Endpoint[V]{}
	}
	return s
}

// Active returns the active source.
func (s *Selector[V]) Active() Source { return s.active }

// WantsDiscovery reports whether the node should watch discovery now.
func (s *Selector[V]) WantsDiscovery(nowNs int64) bool {
	switch s.active {
	case SourceNone:
		return s.relaysUnreachable || nowNs-s.startedAtNs >= RelayStartupWaitNs
	case SourceDiscovery:
		return true
	}
	return !s.relaysFresh(nowNs)
}

func (s *Selector[V]) relaysFresh(nowNs int64) bool {
	relays := &s.lists[SourceRelays]
	return relays.complete && relays.connected && nowNs-relays.asOfNs < s.staleAfterNs
}

// RelayUpdate holds the changes that relays have sent, and their state.
type RelayUpdate[V any] struct {
	Changes   []Endpoint[V]
	Complete  bool  // relays have sent a complete list at least once
	Connected bool  // the origin's own watch of discovery is connected
	AsOfNs    int64 // when the relays' list was last known to be current
	Version   int64 // minimum version of discovery's list that the origin has; 0: unknown
}

// UpdateRelays applies an update from relays.
func (s *Selector[V]) UpdateRelays(nowNs int64, update RelayUpdate[V]) Update[V] {
	relays := &s.lists[SourceRelays]
	passedRestored := s.active == SourceRelays &&
		relays.version <= s.restoredVersion && update.Version > s.restoredVersion
	relays.complete = update.Complete
	relays.connected = update.Connected
	relays.version = update.Version
	s.relaysUnreachable = false
	if update.Connected {
		relays.asOfNs = update.AsOfNs
	}
	relays.apply(update.Changes)
	return s.reselect(nowNs, SourceRelays, names(update.Changes), passedRestored)
}

// RelaysUnreachable records that no relay could be reached.
func (s *Selector[V]) RelaysUnreachable(nowNs int64) Update[V] {
	s.lists[SourceRelays].connected = false
	s.relaysUnreachable = true
	return s.reselect(nowNs, SourceRelays, nil, false)
}

// UpdateDiscovery applies a watch event of discovery. complete says whether endpoints is the complete list.
func (s *Selector[V]) UpdateDiscovery(nowNs int64, endpoints []Endpoint[V], complete bool, version int64) Update[V] {
	discovery := &s.lists[SourceDiscovery]
	if complete {
		discovery.endpoints = make(map[string]Endpoint[V], len(endpoints))
		discovery.complete = true
	}
	discovery.version = version
	discovery.connected = true
	discovery.asOfNs = nowNs
	discovery.apply(endpoints)
	return s.reselect(nowNs, SourceDiscovery, names(endpoints), complete)
}

// SetDiscoveryConnected records whether the watch of discovery is connected. The watch counts as connected once its
// first byte was received.
func (s *Selector[V]) SetDiscoveryConnected(nowNs int64, connected bool) Update[V] {
	discovery := &s.lists[SourceDiscovery]
	discovery.connected = connected
	if connected {
		discovery.asOfNs = nowNs
	}
	return s.reselect(nowNs, SourceDiscovery, nil, false)
}

// Tick updates the list after time has passed: relays may have become stale, or the overlay may have expired.
func (s *Selector[V]) Tick(nowNs int64) Update[V] { return s.reselect(nowNs, SourceNone, nil, false) }

func names[V any](endpoints []Endpoint[V]) []string {
	out := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		out[i] = endpoint.Name
	}
	return out
}

// reselect selects the active source after an update of a source, and returns the resulting changes to the list in use.
// changedNames are the endpoints that the source has sent; complete: all endpoints may have changed.
func (s *Selector[V]) reselect(nowNs int64, from Source, changedNames []string, complete bool) Update[V] {
	fresh := s.relaysFresh(nowNs)
	if fresh && !s.relaysWereFresh {
		s.takeoverVersion = s.lists[SourceDiscovery].version
	}
	s.relaysWereFresh = fresh
	if next := s.nextActive(fresh); next != s.active {
		s.switchTo(nowNs, next)
		complete = true
	} else if from != s.active {
		changedNames, complete = nil, false
	}
	if s.active == SourceNone {
		return Update[V]{}
	}
	if s.overlay != nil && s.overlayExpired(nowNs) {
		s.overlay = nil
		complete = true
	}
	if complete {
		changedNames = s.allNames()
	} else if len(changedNames) == 0 {
		return Update[V]{}
	}
	return s.buildUpdate(changedNames, complete)
}

// nextActive returns the source that should be active, by the rules in the package comment.
func (s *Selector[V]) nextActive(relaysFresh bool) Source {
	relays, discovery := &s.lists[SourceRelays], &s.lists[SourceDiscovery]
	discoveryUsable := discovery.connected && discovery.complete
	relaysCaughtUp := relays.version > 0 && relays.version >= s.takeoverVersion
	switch {
	case s.active != SourceRelays && relaysFresh && (!discoveryUsable || relaysCaughtUp):
		return SourceRelays
	case s.active != SourceDiscovery && !relaysFresh && discoveryUsable:
		return SourceDiscovery
	}
	return s.active
}
