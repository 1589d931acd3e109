package node

import (
	"fawnglade/internal/endpointlist"
	"fawnglade/policy"

	"go.uber.org/zap"
)

// Which endpoint list the node starts from: the predecessor's at a hot restart, else the newer of the configuration's
// and the persisted one. Of an older list in the configuration only endpoints are added that the persisted one lacks.
// The watch asks for the complete list, unless the node starts from the configuration's.

// listUpdate is an endpoint list, or what has changed in one.
type listUpdate struct {
	entries  []endpointEntry
	version  int64
	complete bool // names all endpoints
}

// initialList is the list that a node starts from, and that its watch goes on from.
type initialList struct {
	entries      []endpointEntry
	version      int64
	watchResumes bool // the watch asks for what came after the version
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
		n.log.Warn("endpoint list of the configuration ignored", zap.Error(err))
		return persisted
	}
	if len(persisted.entries) > 0 && !n.persistence.isOlderThan(configured.version) {
		persisted.entries = n.persistence.addFromOlderList(persisted.entries, configured.entries, configured.version)
		return persisted
	}
	n.endpointWatch.version = configured.version
	entries := n.persistence.recordList(configured.entries, configured.version, configured.complete)
	return initialList{entries, configured.version, true}
}

// predecessorList is the list that the predecessor has handed over, if it can be read.
func (n *Node) predecessorList() (initialList, bool) {
	n.overrides.addKnownNames(n.inherited.KnownNames...)
	update, err := n.parseList(n.inherited.Endpoints)
	if err != nil {
		n.counters.add(hotRestartsIgnored)
		n.log.Warn("endpoint list of the predecessor ignored", zap.Error(err))
		return initialList{}, false
	}
	return initialList{entries: update.entries, version: update.version}, true
}

// merge is the list after an update.
func (f *initialList) merge(update listUpdate) []endpointEntry {
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
	for _, e := range f.entries {
		if !updated[e.name] {
			merged = append(merged, e)
		}
	}
	return merged
}

// readList reads an update with a function of package endpointlist. Invalid entries are skipped; the others count.
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
		n.log.Warn("entries of the endpoint list skipped", zap.Int("entries", update.Skipped),
			zap.NamedError("first error", update.FirstErr))
	}
	return listUpdate{entries, update.Version, update.Complete}, nil
}

// parseList reads a list from a text.
func (n *Node) parseList(text []byte) (listUpdate, error) {
	return n.readList(func(begin func(), take func(endpointlist.Entry) error) (endpointlist.Update, error) {
		return endpointlist.Parse(text, n.listLimits, begin, take)
	})
}
