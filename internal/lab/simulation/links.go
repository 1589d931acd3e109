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
	discoveryConnectTimeout = time.Second             // of a node
	watchTimeout            = 3200 * time.Millisecond // of a node, for a silent watch
	viewInterval            = int64(time.Second)
	maxViews                = 64                     // nodes of a large fleet whose views are recorded
	retransmission          = 200 * time.Millisecond // of a lost piece of a stream
	messageSize             = 400                    // bytes of a request or response on a narrow link
)

var discoveryEnd = netfault.End{Kind: netfault.Discovery}

func (n *node) clientEnd() netfault.End { return netfault.End{Kind: netfault.Client, Index: n.zone} }

// fateOf is the fate of the next message on a link.
func (d *Simulation) fateOf(from, to netfault.End, size int) netfault.Fate {
	if len(d.links.Changes()) == 0 {
		return netfault.Fate{CorruptByte: -1}
	}
	way := [2]netfault.End{from, to}
	d.messageCounts[way]++
	return d.links.FateOf(d.now, from, to, d.messageCounts[way], size)
}

// linkDelay is by how much the next piece of a stream is delayed by faults.
func (d *Simulation) linkDelay(from, to netfault.End) int64 {
	v := d.fateOf(from, to, messageSize)
	if v.Lost {
		v.Delay += int64(retransmission)
	}
	if v.Rate > 0 {
		v.Delay += int64(messageSize / v.Rate * 1e9)
	}
	return v.Delay
}

// cannotConnect tells whether no new connection comes up between two ends, and whether it is refused.
func (d *Simulation) cannotConnect(a, b netfault.End) (barred, refused bool) {
	for _, way := range [][2]netfault.End{{a, b}, {b, a}} {
		if !d.links.Open(d.now, way[0], way[1]) {
			barred = true
			refused = refused || d.links.FateOf(d.now, way[0], way[1], 0, 0).Refused
		}
	}
	return barred, refused
}

// scheduleLinkResets has streams reset once a cut link is mended, as the proxies do on sockets; where a link refuses,
// at once. A watch that is silent for too long is given up by the node itself.
func (d *Simulation) scheduleLinkResets() {
	for i := range d.plan.Faults {
		way, ok := d.scenario.LinkFault(&d.plan.Faults[i].Fault)
		if !ok || way.Kind != netfault.Cut {
			continue
		}
		reset := func() {
			for _, a := range way.From {
				for _, b := range way.To {
					d.resetLink(a, b)
					d.resetLink(b, a)
				}
			}
		}
		d.at(way.End, reset)
		if way.Variant == "refused" {
			d.at(way.Begin, reset)
			continue
		}
		d.at(way.Begin+int64(watchTimeout), func() {
			for _, a := range append(append([]netfault.End(nil), way.From...), way.To...) {
				if a.Kind != netfault.Node {
					continue
				}
				if n := d.nodes[a.Index]; n.watch != nil && n.watch.record != nil &&
					!d.links.Open(d.now, discoveryEnd, a) {
					n.watch.fail()
				}
			}
		})
	}
}

func (d *Simulation) resetLink(from, to netfault.End) {
	if from.Kind != netfault.Node {
		return
	}
	n := d.nodes[from.Index]
	switch to.Kind {
	case netfault.Endpoint:
		m := d.endpoints[to.Index]
		m.epochs[n.index]++
		n.connectionsReset(m, true)
	case netfault.Discovery:
		if n.watch != nil && n.watch.blocked {
			n.watch.fail()
		}
	}
}

// startMembership begins the membership of a process.
func (n *node) startMembership(list []model.ListEntry) {
	d := n.sim
	if !d.scenario.Nodes.Membership {
		return
	}
	var names []string
	for i := range d.scenario.Nodes.Count {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	seed := d.plan.Seed*1000003 + uint64(n.index)*7919 + uint64(n.processRecord.Incarnation)
	view, err := members.New(members.Config{
		Name: names[n.index], Nodes: names, ProtocolPeriodNs: int64(d.scenario.Nodes.ProtocolPeriod), Seed: seed,
		RunID: uint32(seed*2654435761>>8) | 1, ReceivePayload: func(from int, load []byte) { n.listGossip.receive(n, from, load) },
	}, (*memberTransport)(n), n.clock())
	if err != nil {
		d.err = fmt.Errorf("node %d: %w", n.index, err)
		return
	}
	n.membership = view
	n.startListGossip(seed, list)
	beat := int64(d.scenario.Nodes.ProtocolPeriod) / 10
	var again func()
	again = func() {
		if n.membership != view {
			return
		}
		if n.pausedUntil > d.now { // of the ticks that it misses it makes up for one
			d.at(n.pausedUntil, again)
			return
		}
		view.Tick(n.clock())
		n.listGossip.tick(n)
		d.after(beat, again)
	}
	d.after(int64(seed%uint64(beat)), again)
}

// memberTransport carries the datagrams of membership.
type memberTransport node

func (s *memberTransport) Send(to int, datagram []byte) {
	n := (*node)(s)
	d := n.sim
	d.count(func(t *trace.FleetActivity) { t.Members++; t.MembershipBytes += len(datagram) })
	other := d.nodes[to]
	v := d.fateOf(n.linkEnd(), other.linkEnd(), len(datagram))
	if v.Lost {
		return
	}
	if v.CorruptByte >= 0 {
		datagram = append([]byte(nil), datagram...)
		datagram[v.CorruptByte] ^= 0x55
	}
	way := int64(d.scenario.Network.SameZone)
	if n.zone != other.zone {
		way = int64(d.scenario.Network.CrossZone)
	}
	if v.Rate > 0 {
		v.Delay += int64(float64(len(datagram)) / v.Rate * 1e9)
	}
	d.after(way+v.Delay, func() { other.receiveDatagram(datagram) })
	if v.DuplicateAfter > 0 {
		d.after(way+v.Delay+v.DuplicateAfter, func() { other.receiveDatagram(datagram) })
	}
}

func (n *node) receiveDatagram(datagram []byte) {
	d, view := n.sim, n.membership
	if view == nil {
		return
	}
	if n.pausedUntil > d.now {
		d.at(n.pausedUntil, func() {
			if n.membership == view {
				n.receiveDatagram(datagram)
			}
		})
		return
	}
	view.Receive(n.clock(), datagram)
}

// recordViews records the nodes' views of each other, and which of them run.
func (d *Simulation) recordViews() {
	runs := make([]byte, len(d.nodes))
	step := (len(d.nodes) + maxViews - 1) / maxViews
	for i, n := range d.nodes {
		if runs[i] = '-'; !n.alive || n.membership == nil || n.pausedUntil > d.now {
			continue
		}
		runs[i] = 'U'
		if i%step != 0 {
			continue
		}
		b := trace.MembershipView{
			At: d.now, Node: i, Reliable: n.membership.Summary(n.clock()).Reliable, HealthScore: n.membership.HealthScore(),
		}
		letters := make([]byte, len(d.nodes))
		for k, s := range n.membership.States() {
			letters[k] = trace.StateLetters[s]
		}
		b.States = string(letters)
		d.views = append(d.views, b)
	}
	d.running = append(d.running, trace.RunningNodes{At: d.now, States: string(runs)})
	if d.now < int64(d.scenario.Length) {
		d.after(viewInterval, d.recordViews)
	}
}
