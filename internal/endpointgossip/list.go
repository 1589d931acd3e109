package endpointgossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxNameBytes    = 256
	maxAddressBytes = 64
	maxZoneBytes    = 64
	maxPageBytes    = MaxMessageBytes - 120 // of encoded endpoints; the rest of a message takes less than 120 bytes
	unknownAge      = int64(math.MaxInt64)
)

// Endpoint is an endpoint on a list.
type Endpoint struct {
	Name      string  `cbor:"1,keyasint"`
	Address   string  `cbor:"2,keyasint"`
	Zone      string  `cbor:"3,keyasint,omitempty"`
	Pod       int     `cbor:"4,keyasint,omitempty"`
	Weight    float64 `cbor:"5,keyasint,omitempty"`
	Draining  bool    `cbor:"6,keyasint,omitempty"`
	StartedNs int64   `cbor:"7,keyasint,omitempty"` // Unix nanoseconds; 0: long ago
}

func (e *Endpoint) valid() bool {
	return e.Name != "" && len(e.Name) <= maxNameBytes && len(e.Address) <= maxAddressBytes &&
		len(e.Zone) <= maxZoneBytes && e.Weight >= 0 && !math.IsInf(e.Weight, 0) && e.StartedNs >= 0
}

// list is a complete endpoint list.
type list struct {
	version     int64
	digest      uint64 // hash of all encoded endpoints
	endpoints   []Endpoint
	pages       [][]Endpoint // the endpoints, split so that each page fits into a message
	confirmedAt int64        // when a watch last confirmed the list, nanoseconds; 0: not known
	restored    bool         // known only from persisted state or configuration
}

// newList returns a list of the endpoints, which it sorts by name and splits into pages.
func newList(version int64, endpoints []Endpoint, confirmedAt int64, restored bool) *list {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	l := &list{version: version, endpoints: endpoints, confirmedAt: confirmedAt, restored: restored}
	hash := xxhash.New()
	var page []Endpoint
	pageBytes := 0
	for i := range endpoints {
		encoded := encode(&endpoints[i])
		_, _ = hash.Write(encoded) // never fails
		pageBytes += len(encoded)
		if pageBytes > maxPageBytes && len(page) > 0 {
			l.pages = append(l.pages, page)
			page, pageBytes = nil, len(encoded)
		}
		page = append(page, endpoints[i])
	}
	l.pages = append(l.pages, page)
	l.digest = hash.Sum64()
	return l
}

// age returns the time since the list was last confirmed, or unknownAge.
func (e *Exchange) age(l *list) int64 {
	if l.confirmedAt == 0 {
		return unknownAge
	}
	return e.now - l.confirmedAt
}

// endpointsOrNil returns the endpoints of the list, or nil for a nil list.
func (l *list) endpointsOrNil() []Endpoint {
	if l == nil {
		return nil
	}
	return l.endpoints
}

// matches reports whether the list has the given version and digest.
func (l *list) matches(version int64, digest uint64) bool {
	return l.version == version && l.digest == digest
}

// confirm records that another node has the same list: when it was confirmed there, and whether it is restored there.
func (l *list) confirm(confirmedAt int64, restored bool) {
	l.confirmedAt = max(l.confirmedAt, confirmedAt)
	l.restored = l.restored && restored
}

func countActive(endpoints []Endpoint) (n int) {
	for i := range endpoints {
		if !endpoints[i].Draining {
			n++
		}
	}
	return n
}
