package relay

// This file owns how discovery's list becomes records: no I/O. It must never take a host away that discovery has not said is gone.

import (
	"errors"
	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fmt"
	"strings"
)

// KindEndpoint begins the keys of endpoints' records: endpoint/<host>.
const KindEndpoint = "endpoint"

const (
	healthDraining = "draining"
	healthRemoved  = "removed"
	healthUp       = "up"
)

// EndpointKey is the key of a host's record, HostOf the host of a key.
func EndpointKey(host string) string { return KindEndpoint + "/" + host }

// HostOf is the host that a record is of; false: it is no endpoint's.
func HostOf(key string) (string, bool) { return strings.CutPrefix(key, KindEndpoint+"/") }

// What an origin tells of itself: a scope that every node and relay follows, and the record of how far it hears discovery.
const (
	ScopeOrigin  = "origin"
	KeyDiscovery = "list/discovery"
)

// List is how far the origin hears discovery. It is changed after the endpoints that it speaks of, and goes out after them.
type DiscoveryState struct {
	Version   int64 `json:"seq"`    // of discovery's list, that the origin has at least
	Connected bool  `json:"stands"` // the origin's watch does
}

func (l DiscoveryState) body() []byte {
	return fmt.Appendf(nil, `{"seq":%d,"stands":%t}`, l.Version, l.Connected)
}

// endpoints are the hosts as the origin has them.
type endpointRecords struct {
	rule  *ScopeRule
	hosts map[string]distribution.Record
}

func newEndpointRecords(scope *ScopeRule) *endpointRecords {
	return &endpointRecords{rule: scope, hosts: map[string]distribution.Record{}}
}

// record is a host's record. One that goes needs no scope of its own.
func (e *endpointRecords) record(in endpointlist.Entry) (distribution.Record, error) {
	r := distribution.Record{Key: EndpointKey(in.Name), Class: distribution.ClassEndpoint}
	switch in.State {
	case healthUp:
	case healthDraining:
		r.Class = distribution.ClassWithdrawal
	case healthRemoved:
		r.Deleted = true
	default:
		return r, fmt.Errorf("health: expected up, draining or removed, got %q", in.State)
	}
	if in.Name == "" || len(r.Key) > distribution.MaxNameBytes {
		return r, fmt.Errorf("host: expected a name of up to %d bytes, got %d", distribution.MaxNameBytes-len(KindEndpoint)-1, len(in.Name))
	}
	if r.Deleted {
		return r, nil
	}
	if r.Scope = e.rule.scopeOf(in.Name, in.Zone); r.Scope == "" {
		return r, fmt.Errorf("host %q of site %q: expected a region and a service by origin.scope, got none", in.Name, in.Zone)
	}
	var err error
	r.Body, err = endpointlist.EncodeEntry(in)
	return r, err
}

// take has an origin go by a line of the list. The first line that answers a call for the whole list is the list, also where entries
// of it could not be read: these hosts stay as they were.
func (e *endpointRecords) apply(now int64, o *distribution.Origin, told []distribution.Record, whole, first bool) error {
	if !whole && !first {
		var errs []error
		for _, r := range told {
			errs = append(errs, e.put(now, o, r))
		}
		return errors.Join(errs...)
	}
	hosts := make(map[string]distribution.Record, len(told))
	if !whole {
		for key, r := range e.hosts {
			hosts[key] = r
		}
	}
	for _, r := range told {
		if delete(hosts, r.Key); !r.Deleted {
			hosts[r.Key] = r
		}
	}
	all := make([]distribution.Record, 0, len(hosts))
	for _, r := range hosts {
		all = append(all, r)
	}
	e.hosts = hosts
	_, err := o.Replace(now, KindEndpoint, all)
	return err
}

func (e *endpointRecords) put(now int64, o *distribution.Origin, r distribution.Record) error {
	had, held := e.hosts[r.Key]
	if held && (r.Deleted || had.Scope != r.Scope) {
		o.Remove(now, had.Scope, had.Key)
		delete(e.hosts, r.Key)
	}
	if r.Deleted {
		return nil
	}
	if _, err := o.Put(now, r.Scope, r.Key, r.Class, r.Body); err != nil {
		return err
	}
	e.hosts[r.Key] = r
	return nil
}
