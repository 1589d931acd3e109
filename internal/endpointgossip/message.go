package endpointgossip

import "github.com/fxamacker/cbor/v2"

type kind uint8

const (
	requestKind kind = 1 + iota
	responseKind
)

const (
	maxPages = 1024
	headOnly = -1 // value of Page in a response without endpoints
)

// message is a request or a response, encoded in CBOR with integer keys. Unknown fields are ignored, so that later
// versions can add fields; a key is never reused.
type message struct {
	Kind        kind       `cbor:"1,keyasint"`
	Version     int64      `cbor:"2,keyasint"`
	Digest      uint64     `cbor:"3,keyasint"`
	WantPages   []int      `cbor:"4,keyasint,omitempty"`
	Pages       int        `cbor:"5,keyasint,omitempty"` // number of pages of the responder's list
	Page        int        `cbor:"6,keyasint,omitempty"` // number of the page in Endpoints, or headOnly
	Endpoints   []Endpoint `cbor:"7,keyasint,omitempty"`
	AgeNs       int64      `cbor:"8,keyasint,omitempty"` // since the list was last confirmed
	WatchUp     bool       `cbor:"9,keyasint,omitempty"` // the responder's own watch is up
	Restored    bool       `cbor:"10,keyasint,omitempty"`
	RequestedAt int64      `cbor:"11,keyasint"` // when the request was sent, by the requesting node's clock
}

// confirmedAt returns when the list was confirmed, by the clock of the requesting node; 0: not known.
func (m *message) confirmedAt() int64 {
	if m.AgeNs >= m.RequestedAt {
		return 0
	}
	return m.RequestedAt - m.AgeNs
}

func (m *message) valid() bool {
	if m.Version < 0 || m.AgeNs < 0 || m.RequestedAt < 0 || len(m.WantPages) > maxPagesPerRequest {
		return false
	}
	for _, page := range m.WantPages {
		if page < 0 || page >= maxPages {
			return false
		}
	}
	for i := range m.Endpoints {
		if !m.Endpoints[i].valid() {
			return false
		}
	}
	switch m.Kind {
	case requestKind:
		return true
	case responseKind:
		return m.Pages >= 1 && m.Pages <= maxPages && m.Page >= headOnly && m.Page < m.Pages
	}
	return false
}

var (
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 64, MaxMapPairs: 16, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode())
	encMode = must(cbor.CoreDetEncOptions().EncMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return v
}

func encode(v any) []byte {
	encoded, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // the types can always be encoded
	}
	return encoded
}

func decode(encoded []byte) (m message, ok bool) {
	ok = len(encoded) < MaxMessageBytes && decMode.Unmarshal(encoded, &m) == nil && m.valid()
	return m, ok
}
