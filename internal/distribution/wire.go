package distribution

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// protocolVersion is the version of hellos and frames; a relay rejects any other version. Unknown fields are ignored.
const protocolVersion = 1

// hello is the first message of a subscriber.
type hello struct {
	Protocol  uint64          `cbor:"1,keyasint"`
	Session   uint64          `cbor:"2,keyasint"`
	EpochSeen uint64          `cbor:"3,keyasint,omitempty"` // the highest epoch that the subscriber has seen
	Epoch     uint64          `cbor:"4,keyasint,omitempty"` // Epoch and Through are the shared position
	Through   uint64          `cbor:"5,keyasint,omitempty"`
	Selectors []helloSelector `cbor:"6,keyasint"`
}

type helloSelector struct {
	_       struct{} `cbor:",toarray"`
	Scope   string
	Flags   uint8
	Epoch   uint64 // Epoch and Through are the selector's own position, if flagShared is not set
	Through uint64
}

// Flags of a helloSelector.
const (
	flagPrefix = 1 << iota // Scope is a prefix
	flagShared             // the selector's position is the shared position of the hello
)

// frame is a message from a relay. It lists the snapshots that begin, records, the snapshots that end and the position
// reached; a receiver applies them in this order. Selectors are identified by their index in the hello.
type frame struct {
	Session uint64        `cbor:"1,keyasint"` // the session of the hello
	Number  uint64        `cbor:"2,keyasint"` // sequence number of the frame within its session, from 1
	Epoch   uint64        `cbor:"3,keyasint,omitempty"`
	Begin   []uint32      `cbor:"4,keyasint,omitempty"`
	Groups  []recordGroup `cbor:"5,keyasint,omitempty"`
	End     []uint32      `cbor:"6,keyasint,omitempty"`
	Through uint64        `cbor:"7,keyasint,omitempty"` // the version of the position that End and All refer to
	All     bool          `cbor:"8,keyasint,omitempty"` // all selectors except those in Except have reached Through
	Except  []uint32      `cbor:"9,keyasint,omitempty"`
	Age     int64         `cbor:"10,keyasint,omitempty"` // nanoseconds since Through was the origin's newest version
}

// recordGroup holds records of one scope.
type recordGroup struct {
	_       struct{} `cbor:",toarray"`
	Scope   string
	Records []record
}

type record struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Flags   uint8 // the class in the lowest two bits, flagDeleted, flagKeyOnly
	Version uint64
	Body    []byte
}

// Flags of a record.
const (
	classMask   = 0x03
	flagDeleted = 0x10
	flagKeyOnly = 0x20 // sent without a body, as the subscriber holds the record
	knownFlags  = classMask | flagDeleted | flagKeyOnly
)

func (r *record) class() Class { return Class(r.Flags & classMask) }

func (r *record) valid() bool {
	return r.Key != "" && len(r.Key) <= MaxNameBytes && r.Flags&^knownFlags == 0 && r.class() < classCount &&
		r.Version != 0 && len(r.Body) <= MaxBodyBytes
}

// rawFrame is a frame whose records are not decoded yet, so that one invalid record doesn't invalidate the others.
type rawFrame struct {
	frame
	Groups []cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

type rawGroup struct {
	_       struct{} `cbor:",toarray"`
	Scope   string
	Records []cbor.RawMessage
}

const (
	maxRecordsBytes   = MaxFrameBytes - 2048 // size of the records in a frame; the rest is for its other fields
	maxSnapshotEvents = 256                  // entries in Begin, and in End
	maxExcept         = 32                   // entries in Except
)

var (
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 64 << 10, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode())
	encMode = must(cbor.CoreDetEncOptions().EncMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return v
}

func encode(v any) []byte {
	out, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // can't happen: the message types contain only encodable fields
	}
	return out
}

// decodeFrame decodes a frame. Records that can't be decoded are omitted; invalid is called with the scope of each of
// them, or with "" if the scope can't be decoded either. Errors wrap ErrBadFrame.
func decodeFrame(b []byte, invalid func(scope string)) (*frame, error) {
	if len(b) > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %w", ErrBadFrame, limitError("bytes", MaxFrameBytes, len(b)))
	}
	f := &frame{}
	if decMode.Unmarshal(b, f) == nil {
		return f, nil
	}
	raw := &rawFrame{}
	if err := decMode.Unmarshal(b, raw); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	*f = raw.frame
	f.Groups = nil
	for _, rawGroup := range raw.Groups {
		if group, ok := decodeGroup(rawGroup, invalid); ok {
			f.Groups = append(f.Groups, group)
		}
	}
	return f, nil
}

func decodeGroup(b cbor.RawMessage, invalid func(scope string)) (recordGroup, bool) {
	var raw rawGroup
	if decMode.Unmarshal(b, &raw) != nil {
		invalid("")
		return recordGroup{}, false
	}
	group := recordGroup{Scope: raw.Scope}
	for _, rawRecord := range raw.Records {
		var r record
		if decMode.Unmarshal(rawRecord, &r) != nil {
			invalid(raw.Scope)
			continue
		}
		group.Records = append(group.Records, r)
	}
	return group, true
}

// decodeHello decodes and validates a hello. Errors wrap ErrBadHello or ErrLimit.
func decodeHello(b []byte, l Limits) (*hello, error) {
	if len(b) > MaxHelloBytes {
		return nil, fmt.Errorf("%w: %w", ErrBadHello, limitError("bytes", MaxHelloBytes, len(b)))
	}
	h := &hello{}
	if err := decMode.Unmarshal(b, h); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadHello, err)
	}
	if h.Protocol != protocolVersion {
		return nil, fmt.Errorf("%w: protocol: expected %d, found %d", ErrBadHello, protocolVersion, h.Protocol)
	}
	if len(h.Selectors) > l.Selectors {
		return nil, limitError("selectors of a subscriber", l.Selectors, len(h.Selectors))
	}
	prefixes := 0
	for i, s := range h.Selectors {
		isPrefix := s.Flags&flagPrefix != 0
		if len(s.Scope) > MaxNameBytes || s.Scope == "" && !isPrefix {
			return nil, fmt.Errorf("%w: selector %d: expected a name of 1 to %d bytes, found %d",
				ErrBadHello, i, MaxNameBytes, len(s.Scope))
		}
		if isPrefix {
			prefixes++
		}
	}
	if prefixes > MaxPrefixes {
		return nil, limitError("prefixes of a subscriber", MaxPrefixes, prefixes)
	}
	return h, nil
}
