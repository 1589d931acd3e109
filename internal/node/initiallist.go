package node

import (
	"fawnglade/internal/endpointlist"
	"fawnglade/policy"

	"go.uber.org/zap"
)

// Chooses the endpoint list that a node starts from: the predecessor's at a hot restart, otherwise the newer of the
// configured and the persisted list. From a configured list that is older, only endpoints missing from the persisted
// list are added. The watch requests the complete list unless the node starts from the configured one.

// listUpdate is a complete endpoint list, or the changes of one.
type listUpdate struct {
	entries  []endpointEntry
	version  int64
	complete bool // contains all endpoints
}

// initialList is the list that a node starts from.
type initialList struct {
	entries      []endpointEntry
	version      int64
	watchResumes bool // the watch requests only changes after the version
}

func (n *Node) chooseInitialList() initialList {
	if n.inherited != nil {
		if list, ok := n.predecessorList(); ok {
			return list
		}
	}
	persisted := initialList{entries: n.persistence.endpoints(), version: n.persistence.version()}
	n.overrides.addKnownNames(endpointNames(persisted.entries)...)
	if len(n.config.KnownList) == 0 {
		return persisted
	}
	configured, err := n.parseList(n.config.KnownList)
	if err != nil {
		n.log.Warn("ignoring the invalid endpoint list of the configuration", zap.Error(err))
		return persisted
	}
	if len(persisted.entries) > 0 && !n.persistence.isOlderThan(configured.version) {
		persisted.entries = n.persistence.addFromOlderList(persisted.entries, configured.entries, configured.version)
		return persisted
	}
	entries := n.persistence.recordList(configured.entries, configured.version, configured.complete)
	if n.relays != nil { // the choice of the source needs a complete list of discovery
		return initialList{entries: entries, version: configured.version}
	}
	n.endpointWatch.version = configured.version
	return initialList{entries, configured.version, true}
}

// predecessorList returns the predecessor's list, if it is valid.
func (n *Node) predecessorList() (initialList, bool) {
	n.overrides.addKnownNames(n.inherited.KnownNames...)
	update, err := n.parseList(n.inherited.Endpoints)
	if err != nil {
		n.counters.add(hotRestartsIgnored)
		n.log.Warn("ignoring the invalid endpoint list of the predecessor", zap.Error(err))
		return initialList{}, false
	}
	return initialList{entries: update.entries, version: update.version}, true
}

// merge returns the list after an update.
func (l *initialList) merge(update listUpdate) []endpointEntry {
	updated := map[string]bool{}
	merged := make([]endpointEntry, 0, len(update.entries))
	for _, e := range update.entries {
		updated[e.name] = true
		if e.State != policy.StateRemoved {
			merged = append(merged, e)
		}
	}
	if update.complete {
		return merged
	}
	for _, e := range l.entries {
		if !updated[e.name] {
			merged = append(merged, e)
		}
	}
	return merged
}

// readList reads an update with a function of package endpointlist. Invalid entries are skipped and logged.
func (n *Node) readList(
	read func(begin func(), take func(endpointlist.Entry) error) (endpointlist.Update, error),
) (listUpdate, error) {
	var entries []endpointEntry
	update, err := read(func() { entries = nil }, func(in endpointlist.Entry) error {
		e, err := newEndpointEntry(in, n.settings.Zones)
		if err == nil {
			entries = append(entries, e)
		}
		return err
	})
	if err != nil {
		return listUpdate{}, err
	}
	if update.Skipped > 0 {
		n.counters[listEntriesSkipped].Add(int64(update.Skipped))
		n.log.Warn("skipped invalid entries of the endpoint list", zap.Int("entries", update.Skipped),
			zap.NamedError("first error", update.FirstErr))
	}
	return listUpdate{entries, update.Version, update.Complete}, nil
}

// parseList parses a list, or the changes of one.
func (n *Node) parseList(text []byte) (listUpdate, error) {
	return n.readList(func(begin func(), take func(endpointlist.Entry) error) (endpointlist.Update, error) {
		return endpointlist.Parse(text, n.listLimits, begin, take)
	})
}
