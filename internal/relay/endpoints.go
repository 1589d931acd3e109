package relay

import (
	"errors"
	"maps"
	"slices"

	"fawnglade/internal/distribution"
)

// endpointRecords are the records of hosts as an origin has them, by key. A host is removed only if discovery says so.
type endpointRecords map[string]distribution.Record

// watchEvent is what a line of discovery's list says of hosts.
type watchEvent struct {
	records  []distribution.Record
	complete bool // it is the complete list
	// first says that it is the first answer to a request for the complete list. It is that also where entries of it
	// could not be read: these hosts stay as they were.
	first bool
}

// apply brings an origin up to an event. The error describes records that the origin refused.
func (h endpointRecords) apply(now int64, origin *distribution.Origin, event watchEvent) error {
	if event.complete || event.first {
		return h.replace(now, origin, event)
	}
	var errs []error
	for _, record := range event.records {
		errs = append(errs, h.put(now, origin, record))
	}
	return errors.Join(errs...)
}

func (h endpointRecords) replace(now int64, origin *distribution.Origin, event watchEvent) error {
	if event.complete {
		clear(h)
	}
	for _, record := range event.records {
		if record.Deleted {
			delete(h, record.Key)
		} else {
			h[record.Key] = record
		}
	}
	_, err := origin.Replace(now, KindEndpoint, slices.Collect(maps.Values(h)))
	return err
}

func (h endpointRecords) put(now int64, origin *distribution.Origin, record distribution.Record) error {
	previous, held := h[record.Key]
	if held && (record.Deleted || previous.Scope != record.Scope) {
		origin.Remove(now, previous.Scope, previous.Key)
		delete(h, record.Key)
	}
	if record.Deleted {
		return nil
	}
	if _, err := origin.Put(now, record.Scope, record.Key, record.Class, record.Body); err != nil {
		return err
	}
	h[record.Key] = record
	return nil
}
