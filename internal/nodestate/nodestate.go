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
type EndpointState uint8

// The states that are kept.
const (
	Active EndpointState = iota
	Draining
	Removed // off the list: kept as long as an older list may still tell of it
)

// Server is one server as this node last knew it.
type Endpoint struct {
	Name      string        `cbor:"1,keyasint"`
	Address   string        `cbor:"2,keyasint"`
	Zone      string        `cbor:"3,keyasint"`
	Pod       int           `cbor:"4,keyasint"`
	Weight    float64       `cbor:"5,keyasint"`
	State     EndpointState `cbor:"6,keyasint"`
	StartedNs int64         `cbor:"7,keyasint"` // Unix nanoseconds by the list; 0: long ago
	ListedAt  int64         `cbor:"8,keyasint"` // when, by this node's clock
	Version   int64         `cbor:"9,keyasint"` // of the list that told

	sinceStart bool // told in this life
}

// Change is one key to be written; nil removes it.
type Change struct {
	Key   string
	Value []byte
}

const (
	endpointPrefix = "server/"
	keyHead        = "head"
	keyEstimates   = "learned"
	keyMembers     = "members"

	// MostServers are kept; what was removed longest ago goes first.
	MaxEndpoints = 8192
	// HalfLife is after how long what was learned counts for half, nanoseconds.
	HalfLifeNs         = int64(30e9)
	minEstimatesWeight = 0.05
	maxNameBytes       = 256
	maxEstimatesBytes  = 4 << 20
)

// head is what is known of the memory itself.
type header struct {
	Epoch   uint64 `cbor:"1,keyasint"` // starts of this node on this directory
	Clock   int64  `cbor:"2,keyasint"` // the latest moment at which anything was noted
	Version int64  `cbor:"3,keyasint"` // the highest of the list
}

type savedEstimates struct {
	At   int64  `cbor:"1,keyasint"`
	Text []byte `cbor:"2,keyasint"`
}

// Memory of one node.
type State struct {
	// As it was found, before this start.
	found        header
	estimates    savedEstimates
	memberStarts map[string]uint64 // when other nodes started, milliseconds of their clocks
	olderCopy    bool              // others knew a later start of this node

	// As it stands.
	head       header
	endpoints  map[string]*Endpoint
	changed    map[string]bool // keys to be written
	unreadable int
}

// Read takes in what a store held. Values that can't be read are passed over and counted.
func Load(each func(func(key string, value []byte))) *State {
	m := &State{endpoints: map[string]*Endpoint{}, changed: map[string]bool{}}
	each(func(key string, value []byte) {
		var err error
		switch name, isServer := strings.CutPrefix(key, endpointPrefix); {
		case isServer:
			s := &Endpoint{}
			if err = cbor.Unmarshal(value, s); err == nil && (s.Name != name || !s.valid()) {
				err = fmt.Errorf("a server that makes no sense")
			}
			if err == nil && len(m.endpoints) < MaxEndpoints {
				m.endpoints[name] = s
			}
		case key == keyHead:
			err = cbor.Unmarshal(value, &m.found)
		case key == keyEstimates:
			err = cbor.Unmarshal(value, &m.estimates)
		case key == keyMembers:
			err = cbor.Unmarshal(value, &m.memberStarts)
		}
		if err != nil {
			m.unreadable++
		}
	})
	m.head = m.found
	return m
}

func (s *Endpoint) valid() bool {
	return s.Name != "" && len(s.Name) <= maxNameBytes && s.State <= Removed && s.Weight >= 0 && !math.IsInf(s.Weight, 0) && s.StartedNs >= 0 && s.ListedAt >= 0
}

// Bad is how many values could not be read.
func (m *State) UnreadableValues() int { return m.unreadable }

// Epoch is which start of this node on this directory this is, from 1; 0 before Begin.
func (m *State) Epoch() uint64 { return m.head.Epoch }

// LastClock is the last moment that the memory knew before this start, Unix nanoseconds; 0: none.
func (m *State) LastClock() int64 { return m.found.Clock }

// Version is the highest of the list that was known before this start.
func (m *State) Version() int64 { return m.found.Version }

// Begin notes a start.
func (m *State) RecordStart(now int64) {
	m.head.Epoch = m.found.Epoch + 1
	m.recordTime(now)
}

func (m *State) recordTime(now int64) {
	m.head.Clock = max(m.head.Clock, now)
	m.changed[keyHead] = true
}

// Trusted is what a start may go by.
type Recovered struct {
	Endpoints       []Endpoint // by name; those that drain among them
	Estimates       []byte     // nil: nothing
	EstimatesWeight float64    // what of it counts, by its age
	NotTrusted      []string   // what was not trusted, and why
}

// Trust says what a start at a moment may go by.
func (m *State) Recover(now int64) Recovered {
	var t Recovered
	backward := m.found.Clock > now
	if backward {
		t.NotTrusted = append(t.NotTrusted, "the clock is behind the memory: no age is known")
	}
	for _, s := range m.endpoints {
		if s.State == Removed {
			continue
		}
		one := *s
		if one.State == Active {
			one.StartedNs = now
		}
		t.Endpoints = append(t.Endpoints, one)
	}
	slices.SortFunc(t.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	age := now - m.estimates.At
	switch part := math.Exp2(-float64(max(age, 0)) / float64(HalfLifeNs)); {
	case m.estimates.Text == nil:
	case backward || age < 0:
		t.NotTrusted = append(t.NotTrusted, "what was learned is of an unknown age")
	case part < minEstimatesWeight:
		t.NotTrusted = append(t.NotTrusted, "what was learned is too old")
	default:
		t.Estimates, t.EstimatesWeight = m.estimates.Text, part
	}
	return t
}

// Older notes that others knew a start of this node, in milliseconds of its clock, that came after all that this memory knows; it
// tells whether that is new.
func (m *State) ReportLaterStart(start uint64) bool {
	if m.olderCopy || m.found.Clock == 0 || start <= uint64(m.found.Clock/1e6) {
		return false
	}
	m.olderCopy = true
	return true
}

// IsOlder tells whether the memory was found to be an older copy.
func (m *State) IsOlderCopy() bool { return m.olderCopy }

// Over lays what is remembered over lines of the list before they count: a drain holds against an older list.
func (m *State) ApplyDrains(lines []Endpoint, version int64) []Endpoint {
	newer := m.olderCopy
	for i := range lines {
		newer = newer || lines[i].StartedNs > m.found.Clock
	}
	if newer {
		return lines
	}
	return m.ApplyDrainsToGossiped(lines, version)
}

// OverOthers lays what is remembered over a list that another node has told. Its version alone makes it newer: a start in it may be
// that node's guess.
func (m *State) ApplyDrainsToGossiped(lines []Endpoint, version int64) []Endpoint {
	if version > m.found.Version || m.found.Clock == 0 {
		return lines
	}
	out := slices.Clone(lines)
	for i := range out {
		was := m.endpoints[out[i].Name]
		if was == nil || was.State == Active || out[i].State != Active || out[i].StartedNs > was.StartedNs || was.sinceStart {
			continue
		}
		out[i].State = was.State
	}
	return out
}

// Listed notes what the list told, as it told it. whole: who is not in it is off the list.
func (m *State) RecordList(now int64, lines []Endpoint, version int64, whole bool) {
	told := map[string]bool{}
	for _, s := range lines {
		if !s.valid() {
			continue
		}
		told[s.Name] = true
		was := m.endpoints[s.Name]
		if was == nil && len(m.endpoints) >= MaxEndpoints && !m.dropOldestRemoved() {
			continue
		}
		if was != nil && was.State == s.State && was.StartedNs == s.StartedNs && was.Address == s.Address {
			was.Version = version // in memory alone; what is written of it stays true
			continue
		}
		s.ListedAt, s.Version, s.sinceStart = now, version, true // not by Told: the clock may have gone back since
		m.endpoints[s.Name] = &s
		m.changed[endpointPrefix+s.Name] = true
	}
	for name, s := range m.endpoints {
		if whole && !told[name] && s.State != Removed {
			s.State, s.ListedAt, s.Version, s.sinceStart = Removed, now, version, true
			m.changed[endpointPrefix+name] = true
		}
	}
	if version > m.head.Version {
		m.head.Version = version
	}
	m.recordTime(now)
}

// dropOne forgets the server that was removed longest ago; false if none was.
func (m *State) dropOldestRemoved() bool {
	var oldest *Endpoint
	for _, s := range m.endpoints {
		if s.State == Removed && (oldest == nil || cmp.Or(cmp.Compare(s.ListedAt, oldest.ListedAt), cmp.Compare(s.Name, oldest.Name)) < 0) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.endpoints, oldest.Name)
	m.changed[endpointPrefix+oldest.Name] = true
	return true
}

// Learned notes what the decisions have learned.
func (m *State) RecordEstimates(now int64, text []byte) {
	if len(text) > maxEstimatesBytes {
		return
	}
	m.estimates = savedEstimates{now, text}
	m.changed[keyEstimates] = true
	m.recordTime(now)
}

// Members notes when other nodes started; Starts tells it.
func (m *State) RecordMemberStarts(now int64, starts map[string]uint64) {
	if !maps.Equal(starts, m.memberStarts) {
		m.memberStarts = starts
		m.changed[keyMembers] = true
	}
	m.recordTime(now)
}

// Starts is when other nodes started, in milliseconds of their clocks; they are told it, so that they see an older copy of theirs.
func (m *State) MemberStartsMs() map[string]uint64 { return m.memberStarts }

// Changes returns what is to be written since the last call, in order of keys. A write that fails is asked for again with Again.
func (m *State) Changes() []Change {
	var out []Change
	for key := range m.changed {
		out = append(out, Change{key, m.encode(key)})
	}
	clear(m.changed)
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Again has changes written once more, as they stand by then.
func (m *State) MarkChanged(changes []Change) {
	for _, c := range changes {
		m.changed[c.Key] = true
	}
}

// Follow goes on with a store that was opened late, and found to hold something: all that stands is written anew, the count of
// starts goes on, and what the store alone knows of servers stays.
func (m *State) MergeFound(found *State) {
	m.head.Epoch = max(m.head.Epoch, found.head.Epoch+1)
	for name, s := range found.endpoints {
		if m.endpoints[name] == nil && len(m.endpoints) < MaxEndpoints {
			m.endpoints[name] = s
		}
	}
	for name := range m.endpoints {
		m.changed[endpointPrefix+name] = true
	}
	if m.estimates.Text != nil {
		m.changed[keyEstimates] = true
	}
	m.changed[keyHead] = true
}

func (m *State) encode(key string) []byte {
	var of any
	switch name, isServer := strings.CutPrefix(key, endpointPrefix); {
	case isServer:
		s := m.endpoints[name]
		if s == nil {
			return nil
		}
		of = s
	case key == keyHead:
		of = &m.head
	case key == keyMembers:
		of = m.memberStarts
	default:
		of = &m.estimates
	}
	value, err := cbor.Marshal(of)
	if err != nil {
		panic(err) // plain numbers and names
	}
	return value
}

// Servers is how many are remembered, those removed among them.
func (m *State) EndpointCount() int { return len(m.endpoints) }
