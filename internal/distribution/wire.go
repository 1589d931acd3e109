package distribution

// This file owns the form of what travels. It must never hand on what it can't read, nor let one spoilt record spoil a frame.

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// protocol is the form of hellos and frames; a relay refuses another. Fields that a later form adds are passed over.
const protocolVersion = 1

// hello is what a subscriber begins with.
type hello struct {
	Protocol  uint64          `cbor:"1,keyasint"`
	Session   uint64          `cbor:"2,keyasint"`
	EpochSeen uint64          `cbor:"3,keyasint,omitempty"` // the highest epoch heard of
	Epoch     uint64          `cbor:"4,keyasint,omitempty"` // position of those that follow
	Through   uint64          `cbor:"5,keyasint,omitempty"`
	Selectors []helloSelector `cbor:"6,keyasint"`
}

type helloSelector struct {
	_       struct{} `cbor:",toarray"`
	Scope   string
	Flags   uint8
	Epoch   uint64 // its own position, where it does not follow
	Through uint64
}

const (
	flagPrefix = 1 << iota // the scope is a prefix
	flagShared             // its position is the hello's
)

// frame is what a relay sends: what begins anew, records, what of it is whole, and up to where all is told, in this order.
type frame struct {
	Session uint64        `cbor:"1,keyasint"` // as in the hello
	Number  uint64        `cbor:"2,keyasint"` // of the frame in its session, from 1
	Epoch   uint64        `cbor:"3,keyasint,omitempty"`
	Begin   []uint32      `cbor:"4,keyasint,omitempty"` // selectors, by their place in the hello
	Groups  []recordGroup `cbor:"5,keyasint,omitempty"`
	End     []uint32      `cbor:"6,keyasint,omitempty"`
	Through uint64        `cbor:"7,keyasint,omitempty"` // what End and All say, they say up to here
	All     bool          `cbor:"8,keyasint,omitempty"` // all selectors have been told all, but for
	Except  []uint32      `cbor:"9,keyasint,omitempty"`
	Age     int64         `cbor:"10,keyasint,omitempty"` // nanoseconds since Through was known to be the origin's newest
}

// group are records of one scope.
type recordGroup struct {
	_       struct{} `cbor:",toarray"`
	Scope   string
	Records []record
}

type record struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Flags   uint8 // the class, and the two below
	Version uint64
	Body    []byte
}

const (
	flagDeleted = 0x10
	flagKeyOnly = 0x20 // the subscriber holds it: no body
	knownFlags  = 0x33
)

// The same frame with records not yet looked at, for one with a spoilt record in it.
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
	maxRecordsBytes   = MaxFrameBytes - 2048 // for records; the rest is for the head, Begin, End and Except
	maxSnapshotEvents = 256                  // Begin and End in a frame
	maxExcept         = 32
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
		panic(err) // fixed options
	}
	return v
}

func encode(v any) []byte {
	out, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // plain values
	}
	return out
}

// decodeFrame reads a frame. Records that can't be read are left out; spoilt is called with the scope of each, "" where not
// even that can be read.
func decodeFrame(b []byte, spoilt func(scope string)) (*frame, error) {
	if len(b) > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %w", ErrBadFrame, limitError("bytes", MaxFrameBytes, len(b)))
	}
	f := &frame{}
	if decMode.Unmarshal(b, f) == nil {
		return f, nil
	}
	loose := &rawFrame{}
	if err := decMode.Unmarshal(b, loose); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	*f = loose.frame
	f.Groups = nil
	for _, raw := range loose.Groups {
		var g rawGroup
		if decMode.Unmarshal(raw, &g) != nil {
			spoilt("")
			continue
		}
		whole := recordGroup{Scope: g.Scope}
		for _, raw := range g.Records {
			var r record
			if decMode.Unmarshal(raw, &r) != nil {
				spoilt(g.Scope)
				continue
			}
			whole.Records = append(whole.Records, r)
		}
		f.Groups = append(f.Groups, whole)
	}
	return f, nil
}

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
		if len(s.Scope) > MaxNameBytes || s.Scope == "" && s.Flags&flagPrefix == 0 {
			return nil, fmt.Errorf("%w: selector %d: a name of 1 to %d bytes expected, found %d", ErrBadHello, i, MaxNameBytes, len(s.Scope))
		}
		if s.Flags&flagPrefix != 0 {
			prefixes++
		}
	}
	if prefixes > MaxPrefixes {
		return nil, limitError("prefixes of a subscriber", MaxPrefixes, prefixes)
	}
	return h, nil
}
