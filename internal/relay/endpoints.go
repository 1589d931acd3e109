package relay

import (
	"errors"
	"maps"
	"slices"

	"fawnglade/internal/distribution"
)

// endpointRecords are the endpoint records of an origin, by key. An endpoint is removed only if discovery removes it.
type endpointRecords map[string]distribution.Record

// watchEvent is one line of a watch of the endpoint list.
type watchEvent struct {
	records  []distribution.Record
	complete bool // records are the complete list
	// first says that this is the first response to a request for the complete list. If complete is not set as well,
	// some of its entries could not be decoded; the endpoints that are not in records then stay unchanged.
	first bool
}

// apply applies an event to an origin. The error describes records that the origin rejected.
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
