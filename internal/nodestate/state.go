// Package nodestate defines the state that a node persists across restarts and crashes: the endpoint list, the
// estimates of the policy and the start times of other nodes. trust.go has the rules for what is trusted after a start.
//
// The package has no I/O, clock or goroutine: the caller passes the content of a store and the time, and writes the
// changes that are returned. A State is not safe for concurrent use. Times are Unix nanoseconds of the node's clock,
// unless their names say otherwise.
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
	// MaxEndpoints is the maximum number of endpoints that are kept. Beyond it, the endpoints that were removed longest
	// ago are dropped first.
	MaxEndpoints = 8192

	maxNameBytes      = 256
	maxEstimatesBytes = 4 << 20
)

var errInvalidEndpoint = errors.New("invalid endpoint record")

// EndpointState is the state of an endpoint on the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	Active EndpointState = iota
	Draining
	Removed // kept because an older list may still have the endpoint
)

// Endpoint is an endpoint with the last state that was recorded from a list.
type Endpoint struct {
	Name      string        `cbor:"1,keyasint"`
	Address   string        `cbor:"2,keyasint"`
	Zone      string        `cbor:"3,keyasint"`
	Pod       int           `cbor:"4,keyasint"`
	Weight    float64       `cbor:"5,keyasint"`
	State     EndpointState `cbor:"6,keyasint"`
	StartedNs int64         `cbor:"7,keyasint"` // start time on the list; 0: long ago
	ListedAt  int64         `cbor:"8,keyasint"` // when this state was recorded
	Version   int64         `cbor:"9,keyasint"` // version of the list

	listedSinceStart bool // recorded since this start of the node
}

func (e *Endpoint) valid() bool {
	return e.Name != "" && len(e.Name) <= maxNameBytes && e.State <= Removed &&
		e.Weight >= 0 && !math.IsInf(e.Weight, 0) && e.StartedNs >= 0 && e.ListedAt >= 0
}

// sameEntry reports whether the entry of a list has the same state, start time and address.
func (e *Endpoint) sameEntry(listed *Endpoint) bool {
	return e.State == listed.State && e.StartedNs == listed.StartedNs && e.Address == listed.Address
}

// header has the metadata of the state.
type header struct {
	Epoch   uint64 `cbor:"1,keyasint"` // number of starts of the node with this state
	Clock   int64  `cbor:"2,keyasint"` // latest time at which anything was recorded
	Version int64  `cbor:"3,keyasint"` // highest list version that was recorded
}

// savedEstimates are the estimates of the policy, which also encodes them.
type savedEstimates struct {
	RecordedAt int64  `cbor:"1,keyasint"`
	Encoded    []byte `cbor:"2,keyasint"`
}

// State is the persisted state of one node.
type State struct {
	beforeStart  header // as loaded from the store
	outdatedCopy bool   // see IsOutdatedCopy

	current          header               // including what this process has recorded
	endpoints        map[string]*Endpoint // by name
	estimates        savedEstimates
	memberStarts     map[string]uint64 // see MemberStartsMs
	changed          map[string]bool   // keys to be written or removed
	unreadableValues int
}

// Load returns the state in a store. forEach must call add for each key and value of the store. Values that can't be
// decoded are counted and ignored.
func Load(forEach func(add func(key string, value []byte))) *State {
	s := &State{endpoints: map[string]*Endpoint{}, changed: map[string]bool{}}
	forEach(func(key string, value []byte) {
		if err := s.decode(key, value); err != nil {
			s.unreadableValues++
		}
	})
	s.current = s.beforeStart
	return s
}

// UnreadableValues returns the number of values that Load could not decode.
func (s *State) UnreadableValues() int { return s.unreadableValues }

// Epoch returns the number of this start of the node with this state, beginning with 1; 0 before RecordStart.
func (s *State) Epoch() uint64 { return s.current.Epoch }

// LastClock returns the latest time that was recorded before this start; 0: none.
func (s *State) LastClock() int64 { return s.beforeStart.Clock }

// Version returns the highest list version that was recorded before this start; 0: none.
func (s *State) Version() int64 { return s.beforeStart.Version }

// EndpointCount returns the number of endpoints in the state, including removed ones.
func (s *State) EndpointCount() int { return len(s.endpoints) }

// MemberStartsMs returns the start times of other nodes by name, in Unix milliseconds of their clocks. They are sent to
// these nodes, so that a node can detect that its persisted state is an outdated copy.
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

// RecordList records entries of a list with a version. complete: endpoints that are not in entries were removed.
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
		known.Version = version // not persisted: the stored record stays valid
		return
	}
	entry.ListedAt, entry.Version = now, version
	entry.listedSinceStart = true // not derived from ListedAt, because the clock may have gone back
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

// dropOldestRemoved drops the endpoint that was removed longest ago. It reports whether there was one.
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

// RecordEstimates records the encoded estimates of the policy. It ignores estimates longer than 4 MiB.
func (s *State) RecordEstimates(now int64, text []byte) {
	if len(text) > maxEstimatesBytes {
		return
	}
	s.estimates = savedEstimates{now, text}
	s.changed[keyEstimates] = true
	s.recordTime(now)
}

// RecordMemberStarts records the start times of other nodes; see MemberStartsMs.
func (s *State) RecordMemberStarts(now int64, startsMs map[string]uint64) {
	if !maps.Equal(startsMs, s.memberStarts) {
		s.memberStarts = startsMs
		s.changed[keyMembers] = true
	}
	s.recordTime(now)
}

// MergeStored merges the state of a store that could only be opened after the start: endpoints that are only in the
// store are kept, the epoch continues that of the store, and everything is marked to be written again.
func (s *State) MergeStored(stored *State) {
	s.current.Epoch = max(s.current.Epoch, stored.current.Epoch+1)
	for name, endpoint := range stored.endpoints {
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

// Change is a key to be written to the store; a nil value removes the key.
type Change struct {
	Key   string
	Value []byte
}

// Changes returns the changes since the last call, sorted by key. If they can't be written, the caller must pass them
// to MarkChanged.
func (s *State) Changes() []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(s.changed)) {
		changes = append(changes, Change{key, s.encode(key)})
	}
	clear(s.changed)
	return changes
}

// MarkChanged marks the keys of changes as changed, so that Changes returns them again with their then current values.
func (s *State) MarkChanged(changes []Change) {
	for _, change := range changes {
		s.changed[change.Key] = true
	}
}

// Keys in the store.
const (
	endpointPrefix = "server/"
	keyHeader      = "head"
	keyEstimates   = "learned"
	keyMembers     = "members"
)

// decode decodes a value of the store into the state. Unknown keys are ignored.
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

// encode returns the value of a key; nil: the key is to be removed.
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
