package relay

import (
	"encoding/json"
	"fmt"
	"slices"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
)

// EndpointTable converts the records of a node's scopes back into endpoints. An endpoint with records in several scopes
// is removed once none of them has it. An EndpointTable is not safe for concurrent use.
type EndpointTable struct {
	byName         map[string][]scopedEntry
	discovery      DiscoveryState
	discoveryKnown bool // the origin has sent the state of discovery
}

type scopedEntry struct {
	scope string
	entry endpointlist.Entry
}

// EndpointChanges are the changes of endpoints that follow from changes of records.
type EndpointChanges struct {
	Entries []endpointlist.Entry // in the order of the changes; State is "removed" if no scope has the endpoint
	Skipped int                  // records that could not be decoded; their endpoints stay unchanged
	LastErr error                // error of the last record skipped
}

func (h *EndpointChanges) skip(err error) {
	h.Skipped++
	h.LastErr = err
}

// NewEndpointTable returns a table without endpoints.
func NewEndpointTable() *EndpointTable { return &EndpointTable{byName: map[string][]scopedEntry{}} }

// Discovery returns the state of the origin's watch of discovery. It returns false if the origin has not sent it yet;
// until then the endpoints are not a complete list.
func (h *EndpointTable) Discovery() (DiscoveryState, bool) { return h.discovery, h.discoveryKnown }

// Apply applies changes of records. It ignores records of other kinds than endpoints and the state of discovery.
func (h *EndpointTable) Apply(changes []distribution.Change) EndpointChanges {
	var out EndpointChanges
	for i := range changes {
		record := &changes[i].Record
		if record.Scope == ScopeOrigin && record.Key == KeyDiscovery && !record.Deleted {
			h.applyDiscovery(record, &out)
			continue
		}
		name, isEndpoint := EndpointName(record.Key)
		switch {
		case !isEndpoint:
		case record.Deleted:
			h.remove(name, record.Scope, &out)
		default:
			h.put(name, record, &out)
		}
	}
	return out
}

func (h *EndpointTable) applyDiscovery(record *distribution.Record, out *EndpointChanges) {
	var state DiscoveryState
	if err := json.Unmarshal(record.Body, &state); err != nil || state.Version <= 0 {
		out.skip(fmt.Errorf("scope %q, key %q: expected discovery state with a version above 0, found %.80q",
			record.Scope, record.Key, record.Body))
		return
	}
	h.discovery = state
	h.discoveryKnown = true
}

func (h *EndpointTable) put(name string, record *distribution.Record, out *EndpointChanges) {
	var entry endpointlist.Entry
	if err := json.Unmarshal(record.Body, &entry); err != nil || entry.Name != name {
		out.skip(fmt.Errorf("scope %q, key %q: expected an endpoint of that name, found %.80q",
			record.Scope, record.Key, record.Body))
		return
	}
	entries := h.byName[name]
	if i := indexOfScope(entries, record.Scope); i < 0 {
		entries = append(entries, scopedEntry{record.Scope, entry})
	} else {
		entries[i].entry = entry
	}
	h.byName[name] = entries
	out.Entries = append(out.Entries, newestEntry(entries))
}

func (h *EndpointTable) remove(name, scope string, out *EndpointChanges) {
	entries := h.byName[name]
	i := indexOfScope(entries, scope)
	if i < 0 {
		return
	}
	entries = slices.Delete(entries, i, i+1)
	if len(entries) == 0 {
		delete(h.byName, name)
		out.Entries = append(out.Entries, endpointlist.Entry{Name: name, State: stateRemoved})
		return
	}
	h.byName[name] = entries
	out.Entries = append(out.Entries, newestEntry(entries))
}

func indexOfScope(entries []scopedEntry, scope string) int {
	return slices.IndexFunc(entries, func(e scopedEntry) bool { return e.scope == scope })
}

// newestEntry returns the effective entry of an endpoint with records in several scopes: the one with the latest start
// time or, among equals, the one whose scope sorts first by name.
func newestEntry(entries []scopedEntry) endpointlist.Entry {
	newest := entries[0]
	for _, e := range entries[1:] {
		newer := e.entry.StartedMs > newest.entry.StartedMs
		tie := e.entry.StartedMs == newest.entry.StartedMs
		if newer || tie && e.scope < newest.scope {
			newest = e
		}
	}
	return newest.entry
}
