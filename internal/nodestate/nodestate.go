// Package nodestate owns what a node keeps between its lives, and what of it is trusted at the next start. It has no I/O, no clock and
// no goroutine: it is handed what a store held and the time, and says what is to be written. It must never make a thing younger than
// it is, take a word of before for one of a later start, or put a server back that was told to drain.
//
// The rules of trust, each a line of Trust or Over:
//
//   - A drain holds from the first request, however old, until the list says "up" after it, or the server's start is later. A list is
//     after it if its version is higher, or if it tells of any start later than the last moment of this memory.
//   - A server that was up is taken for one that has just started: the power that went here may have gone there too. The list says
//     otherwise as soon as it comes.
//   - What was learned counts for half with each HalfLife of its age; what is learned of one start of a server says nothing of the next.
//   - Where the clock is behind the last moment of this memory every age is unknown, and nothing learned counts.
//   - Where others knew a later start of this node than this memory does, it is an older copy: the list goes before all it says.
package nodestate

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// State of a server as the list last told.
type State uint8

// The states that are kept.
const (
	Up State = iota
	Draining
	Removed // off the list: kept as long as an older list may still tell of it
)

// Server is one server as this node last knew it.
type Server struct {
	Name    string  `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
	Zone    string  `cbor:"3,keyasint"`
	Pod     int     `cbor:"4,keyasint"`
	Weight  float64 `cbor:"5,keyasint"`
	State   State   `cbor:"6,keyasint"`
	Started int64   `cbor:"7,keyasint"` // Unix nanoseconds by the list; 0: long ago
	Told    int64   `cbor:"8,keyasint"` // when, by this node's clock
	Version int64   `cbor:"9,keyasint"` // of the list that told

	fresh bool // told in this life
}

// Change is one key to be written; nil removes it.
type Change struct {
	Key   string
	Value []byte
}

const (
	serverPrefix = "server/"
	keyHead      = "head"
	keyLearned   = "learned"
	keyMembers   = "members"

	// MostServers are kept; what was removed longest ago goes first.
	MostServers = 8192
	// HalfLife is after how long what was learned counts for half, nanoseconds.
	HalfLife  = int64(30e9)
	leastPart = 0.05
	mostName  = 256
	mostSaved = 4 << 20
)

// head is what is known of the memory itself.
type head struct {
	Epoch   uint64 `cbor:"1,keyasint"` // starts of this node on this directory
	Clock   int64  `cbor:"2,keyasint"` // the latest moment at which anything was noted
	Version int64  `cbor:"3,keyasint"` // the highest of the list
}

type saved struct {
	At   int64  `cbor:"1,keyasint"`
	Text []byte `cbor:"2,keyasint"`
}

// Memory of one node.
type Memory struct {
	// As it was found, before this start.
	before  head
	learned saved
	members map[string]uint64 // when other nodes started, milliseconds of their clocks
	older   bool              // others knew a later start of this node

	// As it stands.
	head    head
	servers map[string]*Server
	changed map[string]bool // keys to be written
	bad     int
}

// Read takes in what a store held. Values that can't be read are passed over and counted.
func Read(each func(func(key string, value []byte))) *Memory {
	m := &Memory{servers: map[string]*Server{}, changed: map[string]bool{}}
	each(func(key string, value []byte) {
		var err error
		switch name, isServer := strings.CutPrefix(key, serverPrefix); {
		case isServer:
			s := &Server{}
			if err = cbor.Unmarshal(value, s); err == nil && (s.Name != name || !s.sound()) {
				err = fmt.Errorf("a server that makes no sense")
			}
			if err == nil && len(m.servers) < MostServers {
				m.servers[name] = s
			}
		case key == keyHead:
			err = cbor.Unmarshal(value, &m.before)
		case key == keyLearned:
			err = cbor.Unmarshal(value, &m.learned)
		case key == keyMembers:
			err = cbor.Unmarshal(value, &m.members)
		}
		if err != nil {
			m.bad++
		}
	})
	m.head = m.before
	return m
}

func (s *Server) sound() bool {
	return s.Name != "" && len(s.Name) <= mostName && s.State <= Removed && s.Weight >= 0 && !math.IsInf(s.Weight, 0) && s.Started >= 0 && s.Told >= 0
}

// Bad is how many values could not be read.
func (m *Memory) Bad() int { return m.bad }

// Epoch is which start of this node on this directory this is, from 1; 0 before Begin.
func (m *Memory) Epoch() uint64 { return m.head.Epoch }

// LastClock is the last moment that the memory knew before this start, Unix nanoseconds; 0: none.
func (m *Memory) LastClock() int64 { return m.before.Clock }

// Version is the highest of the list that was known before this start.
func (m *Memory) Version() int64 { return m.before.Version }

// Begin notes a start.
func (m *Memory) Begin(now int64) {
	m.head.Epoch = m.before.Epoch + 1
	m.note(now)
}

func (m *Memory) note(now int64) {
	m.head.Clock = max(m.head.Clock, now)
	m.changed[keyHead] = true
}

// Trusted is what a start may go by.
type Trusted struct {
	Servers []Server // by name; those that drain among them
	Learned []byte   // nil: nothing
	Part    float64  // what of it counts, by its age
	Notes   []string // what was not trusted, and why
}

// Trust says what a start at a moment may go by.
func (m *Memory) Trust(now int64) Trusted {
	var t Trusted
	backward := m.before.Clock > now
	if backward {
		t.Notes = append(t.Notes, "the clock is behind the memory: no age is known")
	}
	for _, s := range m.servers {
		if s.State == Removed {
			continue
		}
		one := *s
		if one.State == Up {
			one.Started = now
		}
		t.Servers = append(t.Servers, one)
	}
	slices.SortFunc(t.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	age := now - m.learned.At
	switch part := math.Exp2(-float64(max(age, 0)) / float64(HalfLife)); {
	case m.learned.Text == nil:
	case backward || age < 0:
		t.Notes = append(t.Notes, "what was learned is of an unknown age")
	case part < leastPart:
		t.Notes = append(t.Notes, "what was learned is too old")
	default:
		t.Learned, t.Part = m.learned.Text, part
	}
	return t
}

// Older notes that others knew a start of this node, in milliseconds of its clock, that came after all that this memory knows; it
// tells whether that is new.
func (m *Memory) Older(start uint64) bool {
	if m.older || m.before.Clock == 0 || start <= uint64(m.before.Clock/1e6) {
		return false
	}
	m.older = true
	return true
}

// IsOlder tells whether the memory was found to be an older copy.
func (m *Memory) IsOlder() bool { return m.older }

// Over lays what is remembered over lines of the list before they count: a drain holds against an older list.
func (m *Memory) Over(lines []Server, version int64) []Server {
	newer := m.older
	for i := range lines {
		newer = newer || lines[i].Started > m.before.Clock
	}
	if newer {
		return lines
	}
	return m.OverOthers(lines, version)
}

// OverOthers lays what is remembered over a list that another node has told. Its version alone makes it newer: a start in it may be
// that node's guess.
func (m *Memory) OverOthers(lines []Server, version int64) []Server {
	if version > m.before.Version || m.before.Clock == 0 {
		return lines
	}
	out := slices.Clone(lines)
	for i := range out {
		was := m.servers[out[i].Name]
		if was == nil || was.State == Up || out[i].State != Up || out[i].Started > was.Started || was.fresh {
			continue
		}
		out[i].State = was.State
	}
	return out
}

// Listed notes what the list told, as it told it. whole: who is not in it is off the list.
func (m *Memory) Listed(now int64, lines []Server, version int64, whole bool) {
	told := map[string]bool{}
	for _, s := range lines {
		if !s.sound() {
			continue
		}
		told[s.Name] = true
		was := m.servers[s.Name]
		if was == nil && len(m.servers) >= MostServers && !m.dropOne() {
			continue
		}
		if was != nil && was.State == s.State && was.Started == s.Started && was.Address == s.Address {
			was.Version = version // in memory alone; what is written of it stays true
			continue
		}
		s.Told, s.Version, s.fresh = now, version, true // not by Told: the clock may have gone back since
		m.servers[s.Name] = &s
		m.changed[serverPrefix+s.Name] = true
	}
	for name, s := range m.servers {
		if whole && !told[name] && s.State != Removed {
			s.State, s.Told, s.Version, s.fresh = Removed, now, version, true
			m.changed[serverPrefix+name] = true
		}
	}
	if version > m.head.Version {
		m.head.Version = version
	}
	m.note(now)
}

// dropOne forgets the server that was removed longest ago; false if none was.
func (m *Memory) dropOne() bool {
	var oldest *Server
	for _, s := range m.servers {
		if s.State == Removed && (oldest == nil || cmp.Or(cmp.Compare(s.Told, oldest.Told), cmp.Compare(s.Name, oldest.Name)) < 0) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.servers, oldest.Name)
	m.changed[serverPrefix+oldest.Name] = true
	return true
}

// Learned notes what the decisions have learned.
func (m *Memory) Learned(now int64, text []byte) {
	if len(text) > mostSaved {
		return
	}
	m.learned = saved{now, text}
	m.changed[keyLearned] = true
	m.note(now)
}

// Members notes when other nodes started; Starts tells it.
func (m *Memory) Members(now int64, starts map[string]uint64) {
	if !maps.Equal(starts, m.members) {
		m.members = starts
		m.changed[keyMembers] = true
	}
	m.note(now)
}

// Starts is when other nodes started, in milliseconds of their clocks; they are told it, so that they see an older copy of theirs.
func (m *Memory) Starts() map[string]uint64 { return m.members }

// Changes returns what is to be written since the last call, in order of keys. A write that fails is asked for again with Again.
func (m *Memory) Changes() []Change {
	var out []Change
	for key := range m.changed {
		out = append(out, Change{key, m.value(key)})
	}
	clear(m.changed)
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Again has changes written once more, as they stand by then.
func (m *Memory) Again(changes []Change) {
	for _, c := range changes {
		m.changed[c.Key] = true
	}
}

// Follow goes on with a store that was opened late, and found to hold something: all that stands is written anew, the count of
// starts goes on, and what the store alone knows of servers stays.
func (m *Memory) Follow(found *Memory) {
	m.head.Epoch = max(m.head.Epoch, found.head.Epoch+1)
	for name, s := range found.servers {
		if m.servers[name] == nil && len(m.servers) < MostServers {
			m.servers[name] = s
		}
	}
	for name := range m.servers {
		m.changed[serverPrefix+name] = true
	}
	if m.learned.Text != nil {
		m.changed[keyLearned] = true
	}
	m.changed[keyHead] = true
}

func (m *Memory) value(key string) []byte {
	var of any
	switch name, isServer := strings.CutPrefix(key, serverPrefix); {
	case isServer:
		s := m.servers[name]
		if s == nil {
			return nil
		}
		of = s
	case key == keyHead:
		of = &m.head
	case key == keyMembers:
		of = m.members
	default:
		of = &m.learned
	}
	value, err := cbor.Marshal(of)
	if err != nil {
		panic(err) // plain numbers and names
	}
	return value
}

// Servers is how many are remembered, those removed among them.
func (m *Memory) Servers() int { return len(m.servers) }
