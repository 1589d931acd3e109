// Package nodestate is what a node persists across restarts and crashes: the endpoint list, the estimates of the
// decisions and the starts of other nodes; trust.go has the rules of what is trusted after a start.
//
// The package has no I/O, clock or goroutine: it is given what a store held and the time, and returns what has to be
// written. A State is not safe for concurrent use. Times are Unix nanoseconds of the node's clock, unless their names
// say otherwise.
package nodestate

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxEndpoints is how many endpoints are kept; of more, those go first that were removed longest ago.
	MaxEndpoints = 8192

	maxNameBytes      = 256
	maxEstimatesBytes = 4 << 20
)

var errInvalidEndpoint = errors.New("invalid endpoint")

// EndpointState is the state of an endpoint on the list.
type EndpointState uint8

// The states.
const (
	Active EndpointState = iota
	Draining
	Removed // kept, as an older list may still have the endpoint
)

// Endpoint is one endpoint as the list last had it.
type Endpoint struct {
	Name      string        `cbor:"1,keyasint"`
	Address   string        `cbor:"2,keyasint"`
	Zone      string        `cbor:"3,keyasint"`
	Pod       int           `cbor:"4,keyasint"`
	Weight    float64       `cbor:"5,keyasint"`
	State     EndpointState `cbor:"6,keyasint"`
	StartedNs int64         `cbor:"7,keyasint"` // by the list; 0: long ago
	ListedAt  int64         `cbor:"8,keyasint"` // when the list had it so
	Version   int64         `cbor:"9,keyasint"` // of that list

	listedSinceStart bool // the list had it so after this start
}

func (e *Endpoint) valid() bool {
	return e.Name != "" && len(e.Name) <= maxNameBytes && e.State <= Removed &&
		e.Weight >= 0 && !math.IsInf(e.Weight, 0) && e.StartedNs >= 0 && e.ListedAt >= 0
}

// sameEntry reports whether a list has an endpoint unchanged.
func (e *Endpoint) sameEntry(listed *Endpoint) bool {
	return e.State == listed.State && e.StartedNs == listed.StartedNs && e.Address == listed.Address
}

// header is what is known of the state as a whole.
type header struct {
	Epoch   uint64 `cbor:"1,keyasint"` // number of starts with this state
	Clock   int64  `cbor:"2,keyasint"` // the latest time at which anything was recorded
	Version int64  `cbor:"3,keyasint"` // the highest of the list
}

// savedEstimates are the estimates of the decisions, encoded by these.
type savedEstimates struct {
	RecordedAt int64  `cbor:"1,keyasint"`
	Encoded    []byte `cbor:"2,keyasint"`
}

// State is the persisted state of one node.
type State struct {
	beforeStart  header // as found in the store
	outdatedCopy bool   // other nodes know a later start of this node

	current          header               // with what this process has recorded
	endpoints        map[string]*Endpoint // by name
	estimates        savedEstimates
	memberStarts     map[string]uint64 // of other nodes by name, milliseconds of their clocks
	changed          map[string]bool   // keys that have to be written
	unreadableValues int
}

// Load makes the state of what a store held: each is called with a function that takes one key and value after another.
// Values that can't be read are counted and ignored.
func Load(each func(take func(key string, value []byte))) *State {
	s := &State{endpoints: map[string]*Endpoint{}, changed: map[string]bool{}}
	each(func(key string, value []byte) {
		if err := s.decode(key, value); err != nil {
			s.unreadableValues++
		}
	})
	s.current = s.beforeStart
	return s
}

// UnreadableValues is how many values Load could not read.
func (s *State) UnreadableValues() int { return s.unreadableValues }

// Epoch is the number of this start of the node with this state, from 1; 0 before RecordStart.
func (s *State) Epoch() uint64 { return s.current.Epoch }

// LastClock is the latest time that was recorded before this start; 0: none.
func (s *State) LastClock() int64 { return s.beforeStart.Clock }

// Version is the highest version of the list before this start; 0: none.
func (s *State) Version() int64 { return s.beforeStart.Version }

// EndpointCount is how many endpoints are kept, removed ones included.
func (s *State) EndpointCount() int { return len(s.endpoints) }

// MemberStartsMs are the starts of other nodes by name, in milliseconds of their clocks. They are sent to these nodes,
// which so detect an older copy of their state.
func (s *State) MemberStartsMs() map[string]uint64 { return s.memberStarts }

// RecordStart records a start of the node.
func (s *State) RecordStart(now int64) {
	s.current.Epoch = s.beforeStart.Epoch + 1
	s.recordTime(now)
}

func (s *State) recordTime(now int64) {
	s.current.Clock = max(s.current.Clock, now)
	s.changed[keyHeader] = true
}

// RecordList records entries of the list at a version. complete: endpoints that are not among them were removed.
func (s *State) RecordList(now int64, entries []Endpoint, version int64, complete bool) {
	listed := map[string]bool{}
	for _, entry := range entries {
		if entry.valid() {
			listed[entry.Name] = true
			s.recordEntry(now, entry, version)
		}
	}
	if complete {
		s.recordRemovals(now, listed, version)
	}
	s.current.Version = max(s.current.Version, version)
	s.recordTime(now)
}

func (s *State) recordEntry(now int64, entry Endpoint, version int64) {
	known := s.endpoints[entry.Name]
	if known == nil && len(s.endpoints) >= MaxEndpoints && !s.dropOldestRemoved() {
		return
	}
	if known != nil && known.sameEntry(&entry) {
		known.Version = version // not written: what the store holds stays true
		return
	}
	entry.ListedAt, entry.Version = now, version
	entry.listedSinceStart = true // not derived from ListedAt, as the clock may have gone back
	s.endpoints[entry.Name] = &entry
	s.changed[endpointPrefix+entry.Name] = true
}

func (s *State) recordRemovals(now int64, listed map[string]bool, version int64) {
	for name, endpoint := range s.endpoints {
		if !listed[name] && endpoint.State != Removed {
			endpoint.State, endpoint.ListedAt, endpoint.Version, endpoint.listedSinceStart = Removed, now, version, true
			s.changed[endpointPrefix+name] = true
		}
	}
}

// dropOldestRemoved drops the endpoint that was removed longest ago, and reports whether there was one.
func (s *State) dropOldestRemoved() bool {
	var oldest *Endpoint
	for _, endpoint := range s.endpoints {
		if endpoint.State == Removed && (oldest == nil || endpoint.listedBefore(oldest)) {
			oldest = endpoint
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.endpoints, oldest.Name)
	s.changed[endpointPrefix+oldest.Name] = true
	return true
}

func (e *Endpoint) listedBefore(other *Endpoint) bool {
	return cmp.Or(cmp.Compare(e.ListedAt, other.ListedAt), cmp.Compare(e.Name, other.Name)) < 0
}

// RecordEstimates records the encoded estimates of the decisions; longer ones than 4 MiB are not kept.
func (s *State) RecordEstimates(now int64, text []byte) {
	if len(text) > maxEstimatesBytes {
		return
	}
	s.estimates = savedEstimates{now, text}
	s.changed[keyEstimates] = true
	s.recordTime(now)
}

// RecordMemberStarts records when other nodes started; see MemberStartsMs.
func (s *State) RecordMemberStarts(now int64, startsMs map[string]uint64) {
	if !maps.Equal(startsMs, s.memberStarts) {
		s.memberStarts = startsMs
		s.changed[keyMembers] = true
	}
	s.recordTime(now)
}

// MergeStored goes on with a store that was opened late and held some state: everything is written anew, the epochs go
// on, and endpoints that only the store has are kept.
func (s *State) MergeStored(found *State) {
	s.current.Epoch = max(s.current.Epoch, found.current.Epoch+1)
	for name, endpoint := range found.endpoints {
		if s.endpoints[name] == nil && len(s.endpoints) < MaxEndpoints {
			s.endpoints[name] = endpoint
		}
	}
	for name := range s.endpoints {
		s.changed[endpointPrefix+name] = true
	}
	if s.estimates.Encoded != nil {
		s.changed[keyEstimates] = true
	}
	s.changed[keyHeader] = true
}

// Change is one key that has to be written; a nil value removes it.
type Change struct {
	Key   string
	Value []byte
}

// Changes returns what has changed since the last call, sorted by key. If the write fails, MarkChanged returns them.
func (s *State) Changes() []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(s.changed)) {
		changes = append(changes, Change{key, s.encode(key)})
	}
	clear(s.changed)
	return changes
}

// MarkChanged has changes returned again, with the values of that time.
func (s *State) MarkChanged(changes []Change) {
	for _, change := range changes {
		s.changed[change.Key] = true
	}
}

// The keys of the store.
const (
	endpointPrefix = "server/"
	keyHeader      = "head"
	keyEstimates   = "learned"
	keyMembers     = "members"
)

// decode takes in one value of the store. Unknown keys are ignored.
func (s *State) decode(key string, value []byte) error {
	if name, ok := strings.CutPrefix(key, endpointPrefix); ok {
		return s.decodeEndpoint(name, value)
	}
	switch key {
	case keyHeader:
		return cbor.Unmarshal(value, &s.beforeStart)
	case keyEstimates:
		return cbor.Unmarshal(value, &s.estimates)
	case keyMembers:
		return cbor.Unmarshal(value, &s.memberStarts)
	}
	return nil
}

func (s *State) decodeEndpoint(name string, value []byte) error {
	endpoint := &Endpoint{}
	if err := cbor.Unmarshal(value, endpoint); err != nil {
		return err
	}
	if endpoint.Name != name || !endpoint.valid() {
		return errInvalidEndpoint
	}
	if len(s.endpoints) < MaxEndpoints {
		s.endpoints[name] = endpoint
	}
	return nil
}

// encode is the value of a key; nil: the key is to be removed.
func (s *State) encode(key string) []byte {
	var record any
	name, isEndpoint := strings.CutPrefix(key, endpointPrefix)
	switch {
	case isEndpoint && s.endpoints[name] == nil:
		return nil
	case isEndpoint:
		record = s.endpoints[name]
	case key == keyHeader:
		record = &s.current
	case key == keyMembers:
		record = s.memberStarts
	default:
		record = &s.estimates
	}
	value, err := cbor.Marshal(record)
	if err != nil {
		panic(err) // the types can always be encoded
	}
	return value
}
