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
	maxPageBytes    = MaxMessageBytes - 120 // of encoded endpoints, beside the rest of a message
	unknownAge      = int64(math.MaxInt64)
)

// Endpoint is one endpoint of a list.
type Endpoint struct {
	Name      string  `cbor:"1,keyasint"`
	Address   string  `cbor:"2,keyasint"`
	Zone      string  `cbor:"3,keyasint,omitempty"`
	Pod       int     `cbor:"4,keyasint,omitempty"`
	Weight    float64 `cbor:"5,keyasint,omitempty"`
	Draining  bool    `cbor:"6,keyasint,omitempty"`
	StartedNs int64   `cbor:"7,keyasint,omitempty"` // Unix nanoseconds; 0: long ago
}

func (p *Endpoint) valid() bool {
	return p.Name != "" && len(p.Name) <= maxNameBytes && len(p.Address) <= maxAddressBytes &&
		len(p.Zone) <= maxZoneBytes && p.Weight >= 0 && !math.IsInf(p.Weight, 0) && p.StartedNs >= 0
}

// list is a complete list.
type list struct {
	version     int64
	digest      uint64 // of all endpoints
	endpoints   []Endpoint
	pages       [][]Endpoint // the endpoints as they are sent
	confirmedAt int64        // when discovery is last known to have had it, nanoseconds; 0: not known
	restored    bool         // no watch is known to have sent it
}

// newList sorts the endpoints by name and divides them into pages.
func newList(version int64, endpoints []Endpoint, confirmedAt int64, remembered bool) *list {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	l := &list{version: version, endpoints: endpoints, confirmedAt: confirmedAt, restored: remembered}
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

// age is the time since the list was last confirmed.
func (e *Exchange) age(l *list) int64 {
	if l.confirmedAt == 0 {
		return unknownAge
	}
	return e.now - l.confirmedAt
}

// all are the endpoints of a list; none of no list.
func (l *list) endpointsOrNil() []Endpoint {
	if l == nil {
		return nil
	}
	return l.endpoints
}

// is reports whether a list is the one of a version and digest.
func (l *list) matches(version int64, digest uint64) bool {
	return l.version == version && l.digest == digest
}

// confirm takes in that another node has the same list.
func (l *list) confirm(confirmedAt int64, remembered bool) {
	l.confirmedAt = max(l.confirmedAt, confirmedAt)
	l.restored = l.restored && remembered
}

func countActive(endpoints []Endpoint) (n int) {
	for i := range endpoints {
		if !endpoints[i].Draining {
			n++
		}
	}
	return n
}
