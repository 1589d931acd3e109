package relay

// This file owns how records become hosts again at a node: no I/O. It must never take a host off that another scope still has.

import (
	"encoding/json"
	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fmt"
	"slices"
)

// Hosts is what a node's scopes say of hosts, and of how far the origin hears discovery.
type HostTable struct {
	byName         map[string][]scopedEntry
	discovery      DiscoveryState
	discoveryKnown bool // the origin says how far
}

type scopedEntry struct {
	scope string
	entry endpointlist.Entry
}

// NewHosts makes one that knows of none.
func NewHostTable() *HostTable { return &HostTable{byName: map[string][]scopedEntry{}} }

// List is how far the origin hears discovery; false: it has not said, so nothing of it is a list.
func (h *HostTable) Discovery() (DiscoveryState, bool) { return h.discovery, h.discoveryKnown }

// Take tells the hosts that are other than they were; one that no scope has any more is "removed". Records that are no endpoints are
// somebody else's. Those that make no sense are passed over, and the error names the last of them.
func (h *HostTable) Apply(changes []distribution.Change) (told []endpointlist.Entry, passed int, err error) {
	for _, c := range changes {
		if c.Scope == ScopeOrigin && c.Key == KeyDiscovery && !c.Deleted {
			var list DiscoveryState
			if wrong := json.Unmarshal(c.Body, &list); wrong != nil || list.Version <= 0 {
				passed, err = passed+1, fmt.Errorf("scope %q, key %q: expected a version of the list, found %.80q", c.Scope, c.Key, c.Body)
				continue
			}
			h.discovery, h.discoveryKnown = list, true
			continue
		}
		host, is := HostOf(c.Key)
		if !is {
			continue
		}
		all := h.byName[host]
		at := slices.IndexFunc(all, func(s scopedEntry) bool { return s.scope == c.Scope })
		if c.Deleted {
			if at < 0 {
				continue
			}
			if all = slices.Delete(all, at, at+1); len(all) > 0 {
				h.byName[host] = all
				told = append(told, newestEntry(all))
				continue
			}
			delete(h.byName, host)
			told = append(told, endpointlist.Entry{Name: host, State: healthRemoved})
			continue
		}
		var e endpointlist.Entry
		if wrong := decodeEntry(c.Body, &e); wrong != nil || e.Name != host {
			passed, err = passed+1, fmt.Errorf("scope %q, key %q: expected an endpoint of that name, found %.80q", c.Scope, c.Key, c.Body)
			continue // what was known of it stays
		}
		if at < 0 {
			all = append(all, scopedEntry{c.Scope, e})
		} else {
			all[at].entry = e
		}
		h.byName[host] = all
		told = append(told, newestEntry(all))
	}
	return told, passed, err
}

func decodeEntry(body []byte, e *endpointlist.Entry) error {
	*e = endpointlist.Entry{}
	return json.Unmarshal(body, e)
}

// best is the entry that counts of a host that several scopes have: the latest start's, the first scope's of these.
func newestEntry(all []scopedEntry) endpointlist.Entry {
	at := all[0]
	for _, s := range all[1:] {
		if s.entry.StartedMs > at.entry.StartedMs || s.entry.StartedMs == at.entry.StartedMs && s.scope < at.scope {
			at = s
		}
	}
	return at.entry
}
