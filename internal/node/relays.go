package node

import (
	"cmp"

	"fawnglade/internal/endpointlist"
	"fawnglade/internal/endpointsource"
	"fawnglade/internal/subscription"
	"fawnglade/policy"
)

// Chooses the source of the endpoint list: discovery's watch, or relays if the features file names some. Package
// subscription decides which relay is followed and which list is in force; every list is applied by applyList.

// relaySubscription is the subscription to the relays. It is nil where the node follows none.
type relaySubscription = subscription.Subscription[endpointEntry]

func newRelaySubscription(n *Node) (*relaySubscription, error) {
	if n.config.features == nil || n.config.features.Distribution == nil {
		return nil, nil
	}
	config := n.config.features.Distribution
	n.endpointWatch.pause(true) // resumed when the relays are silent
	return subscription.New(subscription.Config[endpointEntry]{
		Name:               n.config.Name,
		Relays:             config.Relays,
		Scopes:             config.Scopes,
		StaleAfterNs:       config.RelayTimeoutNs,
		RestoredVersion:    n.persistence.version(),
		Clock:              n.clock.nanos,
		Log:                n.log,
		Recover:            n.recoverPanic,
		Apply:              n.applyList,
		WatchDiscovery:     func(on bool) { n.endpointWatch.pause(!on) },
		Decode:             func(in endpointlist.Entry) (endpointEntry, error) { return newEndpointEntry(in, n.settings.Zones) },
		ToEndpoint:         sourceEndpoint,
		WithState:          withSourceState,
		DiscoveryConnected: func() bool { return n.endpointWatch.lastReceivedAt.Load() != 0 },
		CountSkipped:       func(records int) { n.counters[listEntriesSkipped].Add(int64(records)) },
	})
}

func sourceEndpoint(e endpointEntry) endpointsource.Endpoint[endpointEntry] {
	return endpointsource.Endpoint[endpointEntry]{
		Name:        e.name,
		State:       sourceState(e.State),
		StartedAtNs: int64(e.StartedAt),
		Value:       e,
	}
}

func withSourceState(e endpointEntry, state endpointsource.EndpointState) endpointEntry {
	e.State = stateFromSource(state)
	return e
}

func sourceState(state policy.EndpointState) endpointsource.EndpointState {
	switch state {
	case policy.StateDraining:
		return endpointsource.StateDraining
	case policy.StateRemoved:
		return endpointsource.StateRemoved
	default:
		return endpointsource.StateUp
	}
}

func stateFromSource(state endpointsource.EndpointState) policy.EndpointState {
	switch state {
	case endpointsource.StateDraining:
		return policy.StateDraining
	case endpointsource.StateRemoved:
		return policy.StateRemoved
	default:
		return policy.StateActive
	}
}

// discoveryUpdated handles an update of discovery's watch.
func (n *Node) discoveryUpdated(entries []endpointEntry, version int64, complete bool) {
	if n.relays == nil {
		n.applyList(entries, version, complete)
	} else {
		n.relays.UpdateDiscovery(entries, version, complete)
	}
}

// applyList persists a complete list, or the changes of one, and posts it to the event loop.
func (n *Node) applyList(entries []endpointEntry, version int64, complete bool) {
	entries = n.persistence.recordList(entries, version, complete)
	if n.listGossip == nil {
		n.loop.postEndpoints(entries, complete)
	} else {
		n.listGossip.primaryListUpdated(listUpdate{entries, version, complete})
	}
	n.hasList.Store(true)
	n.endpointWatch.firstList.settle(firstListReceived)
}

// listConfirmedAt returns when the list was last known to be current, in Unix nanoseconds; 0: it is not known to be.
func (n *Node) listConfirmedAt() int64 {
	return cmp.Or(n.relays.RelaysLastReceivedAt(), n.endpointWatch.lastReceivedAt.Load())
}
