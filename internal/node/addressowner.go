package node

// Endpoints that share an address. A new process may come up at the address of one that has gone before the list says
// that the old one has gone. Requests for the old endpoint would reach the new one, so the old one counts as draining.

import (
	"slices"

	"fawnglade/policy"
)

// addressOwners knows which endpoint each address belongs to, and which endpoints have lost it to that one. It is owned
// by the event loop.
type addressOwners struct {
	owners     map[string]policy.EndpointID
	superseded map[string][]policy.EndpointID
}

func newAddressOwners() addressOwners {
	return addressOwners{owners: map[string]policy.EndpointID{}, superseded: map[string][]policy.EndpointID{}}
}

// claim records that an endpoint has an address, and no longer the one that it had before.
func (a *addressOwners) claim(id policy.EndpointID, before, address string) {
	a.release(id, before)
	a.owners[address] = id
}

// release records that an endpoint no longer has an address. It returns those that had lost the address to it.
func (a *addressOwners) release(id policy.EndpointID, address string) (superseded []policy.EndpointID) {
	if owner, owned := a.owners[address]; !owned || owner != id {
		return nil
	}
	superseded = a.superseded[address]
	delete(a.owners, address)
	delete(a.superseded, address)
	return superseded
}

// supersede records that an endpoint has lost an address to its owner.
func (a *addressOwners) supersede(id policy.EndpointID, address string) {
	if !slices.Contains(a.superseded[address], id) {
		a.superseded[address] = append(a.superseded[address], id)
	}
}

// supersededEntries returns the entries of a list update with the endpoints that have lost their address as draining. An
// address belongs to the endpoint that started last. Endpoints that started at the same time share it, as one process may
// serve for several.
func (l *eventLoop) supersededEntries(entries []endpointEntry) []endpointEntry {
	result := make([]endpointEntry, 0, len(entries))
	updated := make(map[policy.EndpointID]endpointEntry, len(entries))
	for _, e := range entries {
		before := l.endpoints[e.ID].address
		owner, owned := l.addresses.owners[e.address]
		ownerEntry := l.latestEntry(owner, updated)
		switch {
		case e.State == policy.StateRemoved:
			result = append(result, l.restoredEntries(l.addresses.release(e.ID, before))...)
		case !owned || owner == e.ID:
			l.addresses.claim(e.ID, before, e.address)
		case e.StartedAt < ownerEntry.StartedAt:
			l.addresses.supersede(e.ID, e.address)
			e.State = policy.StateDraining
		case e.StartedAt > ownerEntry.StartedAt:
			superseded := l.addresses.release(owner, e.address)
			l.addresses.claim(e.ID, before, e.address)
			l.addresses.superseded[e.address] = superseded
			l.addresses.supersede(owner, e.address)
			ownerEntry.State = policy.StateDraining
			result = append(result, ownerEntry)
		}
		updated[e.ID] = e
		result = append(result, e)
	}
	return result
}

// restoredEntries returns the entries of endpoints as last listed.
func (l *eventLoop) restoredEntries(ids []policy.EndpointID) []endpointEntry {
	var restored []endpointEntry
	for _, id := range ids {
		if e, listed := l.node.overrides.listedEntry(l.endpoints[id].name); listed {
			restored = append(restored, e)
		}
	}
	return restored
}

// latestEntry returns an endpoint's entry of this update, else the one before.
func (l *eventLoop) latestEntry(id policy.EndpointID, updated map[policy.EndpointID]endpointEntry) endpointEntry {
	if e, found := updated[id]; found {
		return e
	}
	known := l.endpoints[id]
	return endpointEntry{EndpointInfo: known.EndpointInfo, name: known.name, address: known.address}
}
