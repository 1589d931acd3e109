package simulation

import (
	"fmt"
	"time"

	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/members"
)

const (
	discoveryConnectTimeout = time.Second             // of nodes
	watchTimeout            = 3200 * time.Millisecond // without bytes on a watch, after which nodes close it
	viewInterval            = int64(time.Second)
	maxViews                = 64                     // largest number of nodes whose views are recorded
	retransmission          = 200 * time.Millisecond // delay of a lost segment of a stream
	messageSize             = 400                    // bytes of a request or response on a narrow link
)

var discoveryEnd = netfault.End{Kind: netfault.Discovery}

func (n *node) clientEnd() netfault.End { return netfault.End{Kind: netfault.Client, Index: n.zone} }

// fateOf returns the fate of the next message on a link.
func (sim *Simulation) fateOf(from, to netfault.End, size int) netfault.Fate {
	if len(sim.links.Changes()) == 0 {
		return netfault.Fate{CorruptByte: -1}
	}
	link := [2]netfault.End{from, to}
	sim.messageCounts[link]++
	return sim.links.FateOf(sim.now, from, to, sim.messageCounts[link], size)
}

// linkDelay returns the delay that faults add to the next message on a stream, in nanoseconds.
func (sim *Simulation) linkDelay(from, to netfault.End) int64 {
	fate := sim.fateOf(from, to, messageSize)
	if fate.Lost {
		fate.Delay += int64(retransmission)
	}
	if fate.Rate > 0 {
		fate.Delay += int64(messageSize / fate.Rate * 1e9)
	}
	return fate.Delay
}

// cannotConnect reports whether new connections between two ends fail, and whether they are refused at once.
func (sim *Simulation) cannotConnect(a, b netfault.End) (blocked, refused bool) {
	for _, direction := range [][2]netfault.End{{a, b}, {b, a}} {
		if !sim.links.Open(sim.now, direction[0], direction[1]) {
			blocked = true
			refused = refused || sim.links.FateOf(sim.now, direction[0], direction[1], 0, 0).Refused
		}
	}
	return blocked, refused
}

// scheduleLinkResets schedules the resets of streams on cut links: when the link is restored, as the emulator's proxies
// do, and for links that refuse connections also when they are cut. On other cut links, nodes close their watches after
// watchTimeout.
func (sim *Simulation) scheduleLinkResets() {
	for i := range sim.plan.Faults {
		fault, ok := sim.scenario.LinkFault(&sim.plan.Faults[i].Fault)
		if !ok || fault.Kind != netfault.Cut {
			continue
		}
		reset := func() {
			for _, a := range fault.From {
				for _, b := range fault.To {
					sim.resetLink(a, b)
					sim.resetLink(b, a)
				}
			}
		}
		sim.at(fault.End, reset)
		if fault.Variant == "refused" {
			sim.at(fault.Begin, reset)
			continue
		}
		sim.at(fault.Begin+int64(watchTimeout), func() {
			for _, a := range append(append([]netfault.End(nil), fault.From...), fault.To...) {
				if a.Kind != netfault.Node {
					continue
				}
				if n := sim.nodes[a.Index]; n.watch != nil && n.watch.record != nil &&
					!sim.links.Open(sim.now, discoveryEnd, a) {
					n.watch.fail()
				}
			}
		})
	}
}

func (sim *Simulation) resetLink(from, to netfault.End) {
	if from.Kind != netfault.Node {
		return
	}
	n := sim.nodes[from.Index]
	switch to.Kind {
	case netfault.Endpoint:
		e := sim.endpoints[to.Index]
		e.epochs[n.index]++
		n.connectionsReset(e, true)
	case netfault.Discovery:
		if n.watch != nil && n.watch.blocked {
			n.watch.fail()
		}
	}
}

// startMembership starts the membership protocol of a process.
func (n *node) startMembership(list []model.ListEntry) {
	sim := n.sim
	if !sim.scenario.Nodes.Membership {
		return
	}
	var names []string
	for i := range sim.scenario.Nodes.Count {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	seed := sim.plan.Seed*1000003 + uint64(n.index)*7919 + uint64(n.processRecord.Incarnation)
	membership, err := members.New(members.Config{
		Name: names[n.index], Nodes: names, ProtocolPeriodNs: int64(sim.scenario.Nodes.ProtocolPeriod), Seed: seed,
		RunID: uint32(seed*2654435761>>8) | 1, ReceivePayload: func(from int, payload []byte) { n.listGossip.receive(n, from, payload) },
	}, (*memberTransport)(n), n.clock())
	if err != nil {
		sim.err = fmt.Errorf("node %d: %w", n.index, err)
		return
	}
	n.membership = membership
	n.startListGossip(seed, list)
	tickInterval := int64(sim.scenario.Nodes.ProtocolPeriod) / 10
	var tick func()
	tick = func() {
		if n.membership != membership {
			return
		}
		if n.pausedUntil > sim.now { // after a pause, one tick replaces those that were missed
			sim.at(n.pausedUntil, tick)
			return
		}
		membership.Tick(n.clock())
		n.listGossip.tick(n)
		sim.delay(tickInterval, tick)
	}
	sim.delay(int64(seed%uint64(tickInterval)), tick)
}

// memberTransport sends the datagrams of the membership protocol.
type memberTransport node

func (s *memberTransport) Send(to int, datagram []byte) {
	n := (*node)(s)
	sim := n.sim
	sim.count(func(t *trace.FleetActivity) { t.Members++; t.MembershipBytes += len(datagram) })
	other := sim.nodes[to]
	fate := sim.fateOf(n.linkEnd(), other.linkEnd(), len(datagram))
	if fate.Lost {
		return
	}
	if fate.CorruptByte >= 0 {
		datagram = append([]byte(nil), datagram...)
		datagram[fate.CorruptByte] ^= 0x55
	}
	oneWay := int64(sim.scenario.Network.SameZone)
	if n.zone != other.zone {
		oneWay = int64(sim.scenario.Network.CrossZone)
	}
	if fate.Rate > 0 {
		fate.Delay += int64(float64(len(datagram)) / fate.Rate * 1e9)
	}
	sim.delay(oneWay+fate.Delay, func() { other.receiveDatagram(datagram) })
	if fate.DuplicateAfter > 0 {
		sim.delay(oneWay+fate.Delay+fate.DuplicateAfter, func() { other.receiveDatagram(datagram) })
	}
}

func (n *node) receiveDatagram(datagram []byte) {
	sim, membership := n.sim, n.membership
	if membership == nil {
		return
	}
	if n.pausedUntil > sim.now {
		sim.at(n.pausedUntil, func() {
			if n.membership == membership {
				n.receiveDatagram(datagram)
			}
		})
		return
	}
	membership.Receive(n.clock(), datagram)
}

// recordViews periodically records the nodes' membership views, and which nodes are running.
func (sim *Simulation) recordViews() {
	running := make([]byte, len(sim.nodes))
	step := (len(sim.nodes) + maxViews - 1) / maxViews
	for i, n := range sim.nodes {
		if running[i] = '-'; !n.alive || n.membership == nil || n.pausedUntil > sim.now {
			continue
		}
		running[i] = 'U'
		if i%step != 0 {
			continue
		}
		view := trace.MembershipView{
			At: sim.now, Node: i, Reliable: n.membership.Summary(n.clock()).Reliable, HealthScore: n.membership.HealthScore(),
		}
		letters := make([]byte, len(sim.nodes))
		for k, s := range n.membership.States() {
			letters[k] = trace.StateLetters[s]
		}
		view.States = string(letters)
		sim.views = append(sim.views, view)
	}
	sim.running = append(sim.running, trace.RunningNodes{At: sim.now, States: string(running)})
	if sim.now < int64(sim.scenario.Length) {
		sim.delay(viewInterval, sim.recordViews)
	}
}
