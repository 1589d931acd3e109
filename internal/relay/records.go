package relay

import (
	"fmt"
	"strings"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
)

// KindEndpoint begins the keys of endpoints' records: endpoint/<host>.
const KindEndpoint = "endpoint"

// States of a host in discovery's list.
const (
	stateDraining = "draining"
	stateRemoved  = "removed"
	stateUp       = "up"
)

// EndpointKey returns the key of a host's record.
func EndpointKey(host string) string { return KindEndpoint + "/" + host }

// EndpointName returns the host that a record's key names; false: it is no endpoint's.
func EndpointName(key string) (string, bool) { return strings.CutPrefix(key, KindEndpoint+"/") }

const (
	// ScopeOrigin is the scope of an origin's records about itself. Every node and relay follows it.
	ScopeOrigin = "origin"
	// KeyDiscovery is the key in ScopeOrigin of the state of the origin's watch of discovery.
	KeyDiscovery = "list/discovery"
)

// DiscoveryState is the state of an origin's watch of discovery. It is changed after the endpoints of its version,
// and sent after them.
type DiscoveryState struct {
	Version   int64 `json:"seq"`    // of discovery's list, that the origin has at least
	Connected bool  `json:"stands"` // the origin's watch is connected
}

func (s DiscoveryState) body() []byte {
	return fmt.Appendf(nil, `{"seq":%d,"stands":%t}`, s.Version, s.Connected)
}

// newEndpointRecord returns a host's record. One that is removed needs no scope.
func newEndpointRecord(rule *ScopeRule, entry endpointlist.Entry) (distribution.Record, error) {
	r := distribution.Record{Key: EndpointKey(entry.Name), Class: distribution.ClassEndpoint}
	switch entry.State {
	case stateUp:
	case stateDraining:
		r.Class = distribution.ClassWithdrawal
	case stateRemoved:
		r.Deleted = true
	default:
		return r, fmt.Errorf("health: expected up, draining or removed, got %q", entry.State)
	}
	if entry.Name == "" || len(r.Key) > distribution.MaxNameBytes {
		return r, fmt.Errorf("host: expected a name of up to %d bytes, got %d",
			distribution.MaxNameBytes-len(KindEndpoint)-1, len(entry.Name))
	}
	if r.Deleted {
		return r, nil
	}
	r.Scope = rule.scopeOf(entry.Name, entry.Zone)
	if r.Scope == "" {
		return r, fmt.Errorf("host %q of site %q: expected a region and a service by origin.scope, got none",
			entry.Name, entry.Zone)
	}
	var err error
	r.Body, err = endpointlist.EncodeEntry(entry)
	return r, err
}
