package relay

import (
	"encoding/json"
	"fmt"
	"slices"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
)

// EndpointTable turns the records of a node's scopes back into hosts. A host that several scopes have is removed once none
// has it. It is not safe for concurrent use.
type EndpointTable struct {
	byName         map[string][]scopedEntry
	discovery      DiscoveryState
	discoveryKnown bool // the origin has sent it
}

type scopedEntry struct {
	scope string
	entry endpointlist.Entry
}

// EndpointChanges are the hosts that changes of records concern.
type EndpointChanges struct {
	Entries []endpointlist.Entry // in the changes' order; one that no scope has any more is "removed"
	Skipped int                  // records that could not be decoded; what was known of their hosts stays
	LastErr error                // of the last record skipped
}

func (h *EndpointChanges) skip(err error) {
	h.Skipped++
	h.LastErr = err
}

// NewEndpointTable returns a table without hosts.
func NewEndpointTable() *EndpointTable { return &EndpointTable{byName: map[string][]scopedEntry{}} }

// Discovery returns the state of the origin's watch of discovery; false: the origin has not sent it, so the hosts are
// no list yet.
func (h *EndpointTable) Discovery() (DiscoveryState, bool) { return h.discovery, h.discoveryKnown }

// Apply takes in changes of records. Records that are no endpoints are ignored.
func (h *EndpointTable) Apply(changes []distribution.Change) EndpointChanges {
	var out EndpointChanges
	for i := range changes {
		record := &changes[i].Record
		if record.Scope == ScopeOrigin && record.Key == KeyDiscovery && !record.Deleted {
			h.applyDiscovery(record, &out)
			continue
		}
		host, isHost := EndpointName(record.Key)
		switch {
		case !isHost:
		case record.Deleted:
			h.remove(host, record.Scope, &out)
		default:
			h.put(host, record, &out)
		}
	}
	return out
}

func (h *EndpointTable) applyDiscovery(record *distribution.Record, out *EndpointChanges) {
	var state DiscoveryState
	if err := json.Unmarshal(record.Body, &state); err != nil || state.Version <= 0 {
		out.skip(fmt.Errorf("scope %q, key %q: expected a version of the list, found %.80q",
			record.Scope, record.Key, record.Body))
		return
	}
	h.discovery = state
	h.discoveryKnown = true
}

func (h *EndpointTable) put(host string, record *distribution.Record, out *EndpointChanges) {
	var entry endpointlist.Entry
	if err := json.Unmarshal(record.Body, &entry); err != nil || entry.Name != host {
		out.skip(fmt.Errorf("scope %q, key %q: expected an endpoint of that name, found %.80q",
			record.Scope, record.Key, record.Body))
		return
	}
	entries := h.byName[host]
	if i := indexOfScope(entries, record.Scope); i < 0 {
		entries = append(entries, scopedEntry{record.Scope, entry})
	} else {
		entries[i].entry = entry
	}
	h.byName[host] = entries
	out.Entries = append(out.Entries, newestEntry(entries))
}

func (h *EndpointTable) remove(host, scope string, out *EndpointChanges) {
	entries := h.byName[host]
	i := indexOfScope(entries, scope)
	if i < 0 {
		return
	}
	entries = slices.Delete(entries, i, i+1)
	if len(entries) == 0 {
		delete(h.byName, host)
		out.Entries = append(out.Entries, endpointlist.Entry{Name: host, State: stateRemoved})
		return
	}
	h.byName[host] = entries
	out.Entries = append(out.Entries, newestEntry(entries))
}

func indexOfScope(entries []scopedEntry, scope string) int {
	return slices.IndexFunc(entries, func(e scopedEntry) bool { return e.scope == scope })
}

// newestEntry returns the entry that counts of a host in several scopes: the one with the latest start, of these the
// one of the first scope by name.
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
