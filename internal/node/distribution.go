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

// relayed is nil where no relays are followed.
type relayed = subscription.Following[entry]

func newRelayed(n *Node) (*relayed, error) {
	if n.config.features == nil || n.config.features.Distribution == nil {
		return nil, nil
	}
	set := n.config.features.Distribution
	n.discovery.pause(true) // until there is no word of a relay
	return subscription.New(subscription.Settings[entry]{Name: n.config.Name, Relays: set.Relays, Scopes: set.Scopes, Silence: set.SilenceNs, Before: n.state.version(),
		Clock: n.clock.now, Log: n.log, Caught: n.caught, Tell: n.goBy, Watch: func(on bool) { n.discovery.pause(!on) },
		Entry: func(in endpointlist.Entry) (entry, error) { return entryOf(in, n.settings.Zones) },
		Of: func(e entry) endpointsource.Server[entry] {
			return endpointsource.Server[entry]{Name: e.name, State: endpointsource.State(e.State), Started: e.StartedAt, Value: e}
		},
		As:     func(e entry, s endpointsource.State) entry { e.State = policy.EndpointState(s); return e },
		Stands: func() bool { return n.discovery.word.Load() != 0 },
		Passed: func(records int) { n.counters[listLinesPassedOver].Add(int64(records)) }})
}

// told takes in a line of discovery's watch.
func (n *Node) told(entries []entry, version int64, whole bool) {
	if n.relayed == nil {
		n.goBy(entries, version, whole)
	} else {
		n.relayed.Discovery(entries, version, whole)
	}
}

// goBy has the loop go by a list, or by what has changed in it, whoever told it.
func (n *Node) goBy(entries []entry, version int64, whole bool) {
	entries = n.state.listed(entries, version, whole)
	if n.hearing == nil {
		n.loop.enterList(entries, whole)
	} else {
		n.hearing.listed(entries, version, whole)
	}
	n.listed.Store(true)
	n.discovery.once.Do(func() { close(n.discovery.heard) })
}

// listWord is when the list that holds was last known to be told; 0: it is not.
func (n *Node) listWord() int64 { return cmp.Or(n.relayed.Word(), n.discovery.word.Load()) }
