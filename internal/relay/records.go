package relay

import (
	"fmt"
	"strings"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
)

// KindEndpoint is the kind of endpoint records, whose keys are endpoint/<name>.
const KindEndpoint = "endpoint"

// States of an endpoint in the list of discovery.
const (
	stateDraining = "draining"
	stateRemoved  = "removed"
	stateUp       = "up"
)

// EndpointKey returns the key of an endpoint's record.
func EndpointKey(name string) string { return KindEndpoint + "/" + name }

// EndpointName returns the endpoint's name in the key of an endpoint record, or false if the key has another kind.
func EndpointName(key string) (string, bool) { return strings.CutPrefix(key, KindEndpoint+"/") }

const (
	// ScopeOrigin is the scope of the records that an origin publishes about itself. Every node and relay follows it.
	ScopeOrigin = "origin"
	// KeyDiscovery is the key in ScopeOrigin of the record with the state of the origin's watch of discovery.
	KeyDiscovery = "list/discovery"
)

// DiscoveryState is the state of an origin's watch of discovery. The origin publishes it after the endpoints of its
// version, so that subscribers receive it after them.
type DiscoveryState struct {
	Version   int64 `json:"seq"`    // the origin has the list of discovery at this version or a later one
	Connected bool  `json:"stands"` // the origin's watch is connected
}

func (s DiscoveryState) body() []byte {
	return fmt.Appendf(nil, `{"seq":%d,"stands":%t}`, s.Version, s.Connected)
}

// newEndpointRecord returns the record of an endpoint. The record of a removed endpoint has no scope.
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
		return r, fmt.Errorf("host: expected a name of 1 to %d bytes, got %d",
			distribution.MaxNameBytes-len(KindEndpoint)-1, len(entry.Name))
	}
	if r.Deleted {
		return r, nil
	}
	r.Scope = rule.scopeOf(entry.Name, entry.Zone)
	if r.Scope == "" {
		return r, fmt.Errorf("host %q of site %q: expected a region and a service from origin.scope, got none",
			entry.Name, entry.Zone)
	}
	var err error
	r.Body, err = endpointlist.EncodeEntry(entry)
	return r, err
}
