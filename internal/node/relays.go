package node

// This file owns the shell of the list by relays' word. Who is followed and which teller's list holds is internal/subscription's. It must
// never have the loop go by a list but by the way that discovery's own takes.

import (
	"cmp"
	"fawnglade/internal/endpointlist"
	"fawnglade/internal/endpointsource"
	"fawnglade/internal/subscription"
	"fawnglade/policy"
)

// relaySubscription is nil where no relays are followed.
type relaySubscription = subscription.Subscription[endpointEntry]

func newRelaySubscription(n *Node) (*relaySubscription, error) {
	if n.config.features == nil || n.config.features.Distribution == nil {
		return nil, nil
	}
	set := n.config.features.Distribution
	n.endpointWatch.pause(true) // until there is no word of a relay
	return subscription.New(subscription.Config[endpointEntry]{
		Name: n.config.Name, Relays: set.Relays, Scopes: set.Scopes, StaleAfterNs: set.SilenceNs, RestoredVersion: n.persistence.version(),
		Clock: n.clock.nanos, Log: n.log, Recover: n.recoverPanic, Apply: n.applyList, WatchDiscovery: func(on bool) { n.endpointWatch.pause(!on) },
		Decode: func(in endpointlist.Entry) (endpointEntry, error) { return entryFrom(in, n.settings.Zones) },
		ToEndpoint: func(e endpointEntry) endpointsource.Endpoint[endpointEntry] {
			return endpointsource.Endpoint[endpointEntry]{Name: e.name, State: endpointsource.EndpointState(e.State), StartedAtNs: int64(e.StartedAt), Value: e}
		},
		WithState: func(e endpointEntry, s endpointsource.EndpointState) endpointEntry {
			e.State = policy.EndpointState(s)
			return e
		},
		DiscoveryConnected: func() bool { return n.endpointWatch.lastHeard.Load() != 0 },
		CountSkipped:       func(records int) { n.counters[listEntriesSkipped].Add(int64(records)) },
	})
}

// discoveryUpdated takes in a line of discovery's watch.
func (n *Node) discoveryUpdated(entries []endpointEntry, version int64, whole bool) {
	if n.relays == nil {
		n.applyList(entries, version, whole)
	} else {
		n.relays.UpdateDiscovery(entries, version, whole)
	}
}

// applyList has the loop go by a list, or by what has changed in it, whoever told it.
func (n *Node) applyList(entries []endpointEntry, version int64, whole bool) {
	entries = n.persistence.listed(entries, version, whole)
	if n.listGossip == nil {
		n.loop.postList(entries, whole)
	} else {
		n.listGossip.listed(entries, version, whole)
	}
	n.hasList.Store(true)
	n.endpointWatch.once.Do(func() { close(n.endpointWatch.firstHeard) })
}

// listConfirmedAt is when the list that holds was last known to be told; 0: it is not.
func (n *Node) listConfirmedAt() int64 {
	return cmp.Or(n.relays.RelaysHeardAt(), n.endpointWatch.lastHeard.Load())
}
