// Package endpointsource owns which of two tellers of one list a node goes by: relays, or discovery's own watch. It has no I/O, no clock and
// no goroutine: times are told, and the same calls give the same lists. It must never take a server off because the teller that took
// over knows less than the other did, nor bring back one that the other knew to drain or to be gone.
//
// The rule. Both tell the list by discovery's count of its versions; relays pass on the origin's. In force is
//
//   - at first, whoever tells a whole list first; discovery is not watched for the first StartWait, as relays may answer;
//   - then relays, while they are fresh: whole, heard within the silence, no older than that, and the origin's own watch stands;
//   - else discovery, from when its watch stands and it has told a whole list. Until then the list in force stays as it is.
//
// Relays take over from a watch that stands once they have come to the version that it had when they came to be fresh.
//
// A teller that takes over at a version as high as the other's counts as it is. At a lower one, or where its version is not known, the
// other's last list is laid over it, server by server: the later start holds; of one start, draining holds over up; a server that only
// the other names stays; one that only the new teller names counts if it started after the other's last word, or drains. That ends when
// the new teller has come to the other's version, or after OverFor: the count may begin anew with a discovery that did.
package endpointsource

import (
	"cmp"
	"slices"
)

const (
	// StartWait is for how long after the start relays alone are waited for, ns.
	RelayStartupWaitNs = int64(1e9)
	// OverFor is for how long the list of a teller that has gone is laid over another's, ns.
	OverlayNs = int64(60e9)
)

// State of a server. The later ones are the more withdrawn.
type EndpointState uint8

// The states.
const (
	StateUp EndpointState = iota
	StateDraining
	StateRemoved
)

// Server is one server as a teller words it. Value is not looked at.
type Endpoint[V any] struct {
	Name        string
	State       EndpointState
	StartedAtNs int64 // ns of Unix time; 0: long ago
	Value       V
}

// Teller is who tells the list.
type Source int

// The tellers.
const (
	SourceNone Source = iota
	SourceRelays
	SourceDiscovery
	sourceCount
)

func (t Source) String() string { return [...]string{"nobody", "relays", "discovery"}[t] }

// list is what a teller has told.
type list[V any] struct {
	endpoints map[string]Endpoint[V]
	complete  bool  // it told all there is, once
	version   int64 // 0: not known
	connected bool  // it tells what changes
	heardAtNs int64 // when it last said anything
}

// Told is what the node is to go by from now on.
type Update[V any] struct {
	Endpoints []Endpoint[V] // by name
	Complete  bool          // who is not among them is off the list
	Version   int64         // of the list
	Valid     bool          // there is something to go by; an empty whole list is
}

// Sources is one node's. One caller at a time.
type Selector[V any] struct {
	staleAfterNs      int64
	startedAtNs       int64
	active            Source
	lists             [sourceCount]list[V]
	current           map[string]Endpoint[V] // what the node goes by, without the gone
	overlay           *list[V]               // laid over the list in force
	overlayUntilNs    int64
	relaysWereFresh   bool
	takeoverVersion   int64 // discovery's version when relays came to be fresh
	relaysUnreachable bool  // no relay could be reached
	restoredVersion   int64 // the version that is remembered from before the start
	Switches          int64 // from one teller to the other
}

// New makes one. After silence, ns, without a word relays are not gone by any more. before is the version of the list that the node
// remembers from before its start: what is told at no higher one does not count against it, and relays' version may lag behind what
// they tell by a moment, so their list is told whole once more when they have come past it.
func New[V any](now, silence, before int64) *Selector[V] {
	s := &Selector[V]{staleAfterNs: silence, startedAtNs: now, restoredVersion: before, current: map[string]Endpoint[V]{}}
	for i := range s.lists {
		s.lists[i].endpoints = map[string]Endpoint[V]{}
	}
	return s
}

// By is who is in force.
func (s *Selector[V]) Active() Source { return s.active }

// Watch says whether discovery is to be watched.
func (s *Selector[V]) WantsDiscovery(now int64) bool {
	if s.active == SourceNone {
		return s.relaysUnreachable || now-s.startedAtNs >= RelayStartupWaitNs
	}
	return s.active == SourceDiscovery || !s.relaysFresh(now)
}

func (s *Selector[V]) relaysFresh(now int64) bool {
	r := &s.lists[SourceRelays]
	return r.complete && r.connected && now-r.heardAtNs < s.staleAfterNs
}

// RelaysTold takes in what relays have told. whole: they have told all there is, once; stands: the origin hears discovery itself; asOf:
// when what they tell was known to be so; version: discovery's, that the origin had, at least; 0: not known.
func (s *Selector[V]) UpdateRelays(now int64, changes []Endpoint[V], whole, stands bool, asOf, version int64) Update[V] {
	r := &s.lists[SourceRelays]
	past := r.version <= s.restoredVersion && version > s.restoredVersion && s.active == SourceRelays
	r.complete, r.connected, r.version = whole, stands, version
	if s.relaysUnreachable = false; stands {
		r.heardAtNs = asOf
	}
	r.apply(changes)
	return s.reselect(now, SourceRelays, names(changes), past)
}

// RelaysLost says that no relay could be reached.
func (s *Selector[V]) RelaysUnreachable(now int64) Update[V] {
	s.lists[SourceRelays].connected, s.relaysUnreachable = false, true
	return s.reselect(now, SourceRelays, nil, false)
}

// DiscoveryTold takes in a line of discovery's watch.
func (s *Selector[V]) UpdateDiscovery(now int64, servers []Endpoint[V], whole bool, version int64) Update[V] {
	d := &s.lists[SourceDiscovery]
	if whole {
		d.endpoints = make(map[string]Endpoint[V], len(servers))
	}
	d.complete, d.version, d.connected, d.heardAtNs = d.complete || whole, version, true, now
	d.apply(servers)
	return s.reselect(now, SourceDiscovery, names(servers), whole)
}

// DiscoveryStands says whether a watch of discovery stands, as it does from its first word on, whatever that is.
func (s *Selector[V]) SetDiscoveryConnected(now int64, stands bool) Update[V] {
	d := &s.lists[SourceDiscovery]
	if d.connected = stands; stands {
		d.heardAtNs = now
	}
	return s.reselect(now, SourceDiscovery, nil, false)
}

// Beat lets time pass.
func (s *Selector[V]) Tick(now int64) Update[V] { return s.reselect(now, SourceNone, nil, false) }

func (l *list[V]) apply(servers []Endpoint[V]) {
	for _, e := range servers {
		if e.State == StateRemoved {
			delete(l.endpoints, e.Name)
		} else {
			l.endpoints[e.Name] = e
		}
	}
}

func names[V any](servers []Endpoint[V]) []string {
	out := make([]string, len(servers))
	for i, e := range servers {
		out[i] = e.Name
	}
	return out
}

// tell says what the node is to go by, once a teller has told something of some servers, or of all.
func (s *Selector[V]) reselect(now int64, from Source, touched []string, all bool) Update[V] {
	fresh := s.relaysFresh(now)
	if fresh && !s.relaysWereFresh {
		s.takeoverVersion = s.lists[SourceDiscovery].version
	}
	s.relaysWereFresh = fresh
	if to := s.nextActive(fresh); to != s.active {
		s.switchTo(now, to)
		all = true
	} else if from != s.active {
		touched, all = nil, false
	}
	if s.active == SourceNone {
		return Update[V]{}
	}
	if s.overlay != nil && (s.lists[s.active].version >= s.overlay.version && s.overlay.version > 0 || now >= s.overlayUntilNs) {
		s.overlay, all = nil, true
	}
	if !all && len(touched) == 0 {
		return Update[V]{}
	}
	if all {
		touched = s.allNames()
	}
	return s.updateOf(touched, all)
}

// next is who is to be in force.
func (s *Selector[V]) nextActive(fresh bool) Source {
	r, d := &s.lists[SourceRelays], &s.lists[SourceDiscovery]
	listed := d.connected && d.complete
	switch {
	case s.active != SourceRelays && fresh && (!listed || r.version > 0 && r.version >= s.takeoverVersion):
		return SourceRelays
	case s.active != SourceDiscovery && !fresh && listed:
		return SourceDiscovery
	}
	return s.active
}

// move has another teller be in force. What was in force is laid over its list where that may be older.
func (s *Selector[V]) switchTo(now int64, to Source) {
	if s.active != SourceNone {
		s.Switches++
		was, is := &s.lists[s.active], &s.lists[to]
		version := was.version
		if s.overlay != nil { // what was in force was more than that teller's own list
			version = max(version, s.overlay.version)
		}
		s.overlay = nil
		if is.version == 0 || version == 0 || is.version < version {
			s.overlay, s.overlayUntilNs = &list[V]{endpoints: make(map[string]Endpoint[V], len(s.current)), version: version, heardAtNs: was.heardAtNs}, now+OverlayNs
			for name, e := range s.current {
				s.overlay.endpoints[name] = e
			}
		}
	}
	s.active = to
}

// everybody is all servers that the node goes by, or might.
func (s *Selector[V]) allNames() []string {
	all := make([]string, 0, len(s.current)+len(s.lists[s.active].endpoints))
	for name := range s.current {
		all = append(all, name)
	}
	for name := range s.lists[s.active].endpoints {
		all = append(all, name)
	}
	if s.overlay != nil {
		for name := range s.overlay.endpoints {
			all = append(all, name)
		}
	}
	return all
}

// differ is what has changed of some servers in what the node goes by; whole: told as a whole list.
func (s *Selector[V]) updateOf(touched []string, all bool) Update[V] {
	t := Update[V]{Version: s.lists[s.active].version, Complete: all, Valid: true}
	slices.Sort(touched)
	for _, name := range slices.Compact(touched) {
		e, there := s.resolve(name)
		if was, had := s.current[name]; !there {
			if had && !all {
				was.State = StateRemoved
				t.Endpoints = append(t.Endpoints, was)
			}
			delete(s.current, name)
			continue
		}
		s.current[name] = e
		t.Endpoints = append(t.Endpoints, e)
	}
	return t
}

// of is a server as the node is to see it.
func (s *Selector[V]) resolve(name string) (e Endpoint[V], there bool) {
	e, there = s.lists[s.active].endpoints[name]
	if s.overlay == nil {
		return e, there
	}
	was, had := s.overlay.endpoints[name]
	switch {
	case there && !had:
		return e, e.State != StateUp || e.StartedAtNs > s.overlay.heardAtNs
	case !there:
		return was, had
	}
	if order := cmp.Or(cmp.Compare(was.StartedAtNs, e.StartedAtNs), cmp.Compare(was.State, e.State)); order > 0 {
		return was, true
	}
	return e, true
}
