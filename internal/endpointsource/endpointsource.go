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
	StartWait = int64(1e9)
	// OverFor is for how long the list of a teller that has gone is laid over another's, ns.
	OverFor = int64(60e9)
)

// State of a server. The later ones are the more withdrawn.
type State uint8

// The states.
const (
	Up State = iota
	Draining
	Gone
)

// Server is one server as a teller words it. Value is not looked at.
type Server[V any] struct {
	Name    string
	State   State
	Started int64 // ns of Unix time; 0: long ago
	Value   V
}

// Teller is who tells the list.
type Teller int

// The tellers.
const (
	Nobody Teller = iota
	Relays
	Discovery
	tellers
)

func (t Teller) String() string { return [...]string{"nobody", "relays", "discovery"}[t] }

// list is what a teller has told.
type list[V any] struct {
	servers map[string]Server[V]
	whole   bool  // it told all there is, once
	version int64 // 0: not known
	stands  bool  // it tells what changes
	word    int64 // when it last said anything
}

// Told is what the node is to go by from now on.
type Told[V any] struct {
	Servers []Server[V] // by name
	Whole   bool        // who is not among them is off the list
	Version int64       // of the list
	Any     bool        // there is something to go by; an empty whole list is
}

// Sources is one node's. One caller at a time.
type Sources[V any] struct {
	silence int64
	began   int64
	by      Teller
	lists   [tellers]list[V]
	force   map[string]Server[V] // what the node goes by, without the gone
	over    *list[V]             // laid over the list in force
	overEnd int64
	fresh   bool
	target  int64 // discovery's version when relays came to be fresh
	lost    bool  // no relay could be reached
	before  int64 // the version that is remembered from before the start
	Moves   int64 // from one teller to the other
}

// New makes one. After silence, ns, without a word relays are not gone by any more. before is the version of the list that the node
// remembers from before its start: what is told at no higher one does not count against it, and relays' version may lag behind what
// they tell by a moment, so their list is told whole once more when they have come past it.
func New[V any](now, silence, before int64) *Sources[V] {
	s := &Sources[V]{silence: silence, began: now, before: before, force: map[string]Server[V]{}}
	for i := range s.lists {
		s.lists[i].servers = map[string]Server[V]{}
	}
	return s
}

// By is who is in force.
func (s *Sources[V]) By() Teller { return s.by }

// Watch says whether discovery is to be watched.
func (s *Sources[V]) Watch(now int64) bool {
	if s.by == Nobody {
		return s.lost || now-s.began >= StartWait
	}
	return s.by == Discovery || !s.isFresh(now)
}

func (s *Sources[V]) isFresh(now int64) bool {
	r := &s.lists[Relays]
	return r.whole && r.stands && now-r.word < s.silence
}

// RelaysTold takes in what relays have told. whole: they have told all there is, once; stands: the origin hears discovery itself; asOf:
// when what they tell was known to be so; version: discovery's, that the origin had, at least; 0: not known.
func (s *Sources[V]) RelaysTold(now int64, changes []Server[V], whole, stands bool, asOf, version int64) Told[V] {
	r := &s.lists[Relays]
	past := r.version <= s.before && version > s.before && s.by == Relays
	r.whole, r.stands, r.version = whole, stands, version
	if s.lost = false; stands {
		r.word = asOf
	}
	r.take(changes)
	return s.tell(now, Relays, names(changes), past)
}

// RelaysLost says that no relay could be reached.
func (s *Sources[V]) RelaysLost(now int64) Told[V] {
	s.lists[Relays].stands, s.lost = false, true
	return s.tell(now, Relays, nil, false)
}

// DiscoveryTold takes in a line of discovery's watch.
func (s *Sources[V]) DiscoveryTold(now int64, servers []Server[V], whole bool, version int64) Told[V] {
	d := &s.lists[Discovery]
	if whole {
		d.servers = make(map[string]Server[V], len(servers))
	}
	d.whole, d.version, d.stands, d.word = d.whole || whole, version, true, now
	d.take(servers)
	return s.tell(now, Discovery, names(servers), whole)
}

// DiscoveryStands says whether a watch of discovery stands, as it does from its first word on, whatever that is.
func (s *Sources[V]) DiscoveryStands(now int64, stands bool) Told[V] {
	d := &s.lists[Discovery]
	if d.stands = stands; stands {
		d.word = now
	}
	return s.tell(now, Discovery, nil, false)
}

// Beat lets time pass.
func (s *Sources[V]) Beat(now int64) Told[V] { return s.tell(now, Nobody, nil, false) }

func (l *list[V]) take(servers []Server[V]) {
	for _, e := range servers {
		if e.State == Gone {
			delete(l.servers, e.Name)
		} else {
			l.servers[e.Name] = e
		}
	}
}

func names[V any](servers []Server[V]) []string {
	out := make([]string, len(servers))
	for i, e := range servers {
		out[i] = e.Name
	}
	return out
}

// tell says what the node is to go by, once a teller has told something of some servers, or of all.
func (s *Sources[V]) tell(now int64, from Teller, touched []string, all bool) Told[V] {
	fresh := s.isFresh(now)
	if fresh && !s.fresh {
		s.target = s.lists[Discovery].version
	}
	s.fresh = fresh
	if to := s.next(fresh); to != s.by {
		s.move(now, to)
		all = true
	} else if from != s.by {
		touched, all = nil, false
	}
	if s.by == Nobody {
		return Told[V]{}
	}
	if s.over != nil && (s.lists[s.by].version >= s.over.version && s.over.version > 0 || now >= s.overEnd) {
		s.over, all = nil, true
	}
	if !all && len(touched) == 0 {
		return Told[V]{}
	}
	if all {
		touched = s.everybody()
	}
	return s.differ(touched, all)
}

// next is who is to be in force.
func (s *Sources[V]) next(fresh bool) Teller {
	r, d := &s.lists[Relays], &s.lists[Discovery]
	listed := d.stands && d.whole
	switch {
	case s.by != Relays && fresh && (!listed || r.version > 0 && r.version >= s.target):
		return Relays
	case s.by != Discovery && !fresh && listed:
		return Discovery
	}
	return s.by
}

// move has another teller be in force. What was in force is laid over its list where that may be older.
func (s *Sources[V]) move(now int64, to Teller) {
	if s.by != Nobody {
		s.Moves++
		was, is := &s.lists[s.by], &s.lists[to]
		version := was.version
		if s.over != nil { // what was in force was more than that teller's own list
			version = max(version, s.over.version)
		}
		s.over = nil
		if is.version == 0 || version == 0 || is.version < version {
			s.over, s.overEnd = &list[V]{servers: make(map[string]Server[V], len(s.force)), version: version, word: was.word}, now+OverFor
			for name, e := range s.force {
				s.over.servers[name] = e
			}
		}
	}
	s.by = to
}

// everybody is all servers that the node goes by, or might.
func (s *Sources[V]) everybody() []string {
	all := make([]string, 0, len(s.force)+len(s.lists[s.by].servers))
	for name := range s.force {
		all = append(all, name)
	}
	for name := range s.lists[s.by].servers {
		all = append(all, name)
	}
	if s.over != nil {
		for name := range s.over.servers {
			all = append(all, name)
		}
	}
	return all
}

// differ is what has changed of some servers in what the node goes by; whole: told as a whole list.
func (s *Sources[V]) differ(touched []string, all bool) Told[V] {
	t := Told[V]{Version: s.lists[s.by].version, Whole: all, Any: true}
	slices.Sort(touched)
	for _, name := range slices.Compact(touched) {
		e, there := s.of(name)
		if was, had := s.force[name]; !there {
			if had && !all {
				was.State = Gone
				t.Servers = append(t.Servers, was)
			}
			delete(s.force, name)
			continue
		}
		s.force[name] = e
		t.Servers = append(t.Servers, e)
	}
	return t
}

// of is a server as the node is to see it.
func (s *Sources[V]) of(name string) (e Server[V], there bool) {
	e, there = s.lists[s.by].servers[name]
	if s.over == nil {
		return e, there
	}
	was, had := s.over.servers[name]
	switch {
	case there && !had:
		return e, e.State != Up || e.Started > s.over.word
	case !there:
		return was, had
	}
	if order := cmp.Or(cmp.Compare(was.Started, e.Started), cmp.Compare(was.State, e.State)); order > 0 {
		return was, true
	}
	return e, true
}
