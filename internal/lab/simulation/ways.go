package simulation

// This file owns what the day's ways do to messages in virtual time, and the nodes' view of one another: the same core as in the
// node, its datagrams over the same schedule as on sockets. It must never decide what befalls a message, or what a node believes.

import (
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/members"
	"fmt"
	"time"
)

const (
	listConnect   = time.Second             // a node waits no longer for a connection to discovery
	listSilence   = 3200 * time.Millisecond // nor for a watch on which nothing comes
	believedEvery = int64(time.Second)
	mostBelieving = 64                     // nodes of a large fleet whose beliefs are kept
	sentAgain     = 200 * time.Millisecond // a stream's piece that was lost
	messageSize   = 400                    // bytes of a task, or of an answer, on a narrow way
)

var discoveryEnd = netfault.End{Kind: netfault.Discovery}

func (n *node) front() netfault.End { return netfault.End{Kind: netfault.Client, Index: n.zone} }

// pass is what befalls the next message of a way.
func (d *Day) pass(from, to netfault.End, size int) netfault.Fate {
	if len(d.ways.Changes()) == 0 {
		return netfault.Fate{CorruptByte: -1}
	}
	way := [2]netfault.End{from, to}
	d.numbers[way]++
	return d.ways.FateOf(d.now, from, to, d.numbers[way], size)
}

// held is by how much later a stream's piece comes than on a sound way.
func (d *Day) held(from, to netfault.End) int64 {
	v := d.pass(from, to, messageSize)
	if v.Lost {
		v.Delay += int64(sentAgain)
	}
	if v.Rate > 0 {
		v.Delay += int64(messageSize / v.Rate * 1e9)
	}
	return v.Delay
}

// barred tells whether no new connection comes up between two ends, and whether the one that asks is told so.
func (d *Day) barred(a, b netfault.End) (barred, refused bool) {
	for _, way := range [][2]netfault.End{{a, b}, {b, a}} {
		if !d.ways.Open(d.now, way[0], way[1]) {
			barred = true
			refused = refused || d.ways.FateOf(d.now, way[0], way[1], 0, 0).Refused
		}
	}
	return barred, refused
}

// mendWays has what was held up on a stream reset once its way is mended, as the relays do on sockets; where a way refuses, at once.
// A watch that is silent for too long is given up by the node itself.
func (d *Day) mendWays() {
	for i := range d.plan.Faults {
		way, ok := d.scenario.LinkFault(&d.plan.Faults[i].Fault)
		if !ok || way.Kind != netfault.Cut {
			continue
		}
		reset := func() {
			for _, a := range way.From {
				for _, b := range way.To {
					d.resetWay(a, b)
					d.resetWay(b, a)
				}
			}
		}
		d.at(way.End, reset)
		if way.Variant == "refused" {
			d.at(way.Begin, reset)
			continue
		}
		d.at(way.Begin+int64(listSilence), func() {
			for _, a := range append(append([]netfault.End(nil), way.From...), way.To...) {
				if a.Kind != netfault.Node {
					continue
				}
				if n := d.nodes[a.Index]; n.watch != nil && n.watch.rec != nil && !d.ways.Open(d.now, discoveryEnd, a) {
					n.watch.failed()
				}
			}
		})
	}
}

func (d *Day) resetWay(from, to netfault.End) {
	if from.Kind != netfault.Node {
		return
	}
	n := d.nodes[from.Index]
	switch to.Kind {
	case netfault.Endpoint:
		m := d.machines[to.Index]
		m.epochs[n.index]++
		n.serverGone(m, true)
	case netfault.Discovery:
		if n.watch != nil && n.watch.held {
			n.watch.failed()
		}
	}
}

// join begins a life's view of the others.
func (n *node) join(list []model.ListEntry) {
	d := n.day
	if !d.scenario.Nodes.Membership {
		return
	}
	var names []string
	for i := range d.scenario.Nodes.Count {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	seed := d.plan.Seed*1000003 + uint64(n.index)*7919 + uint64(n.life.Incarnation)
	view, err := members.New(members.Config{
		Name: names[n.index], Nodes: names, RoundNs: int64(d.scenario.Nodes.ProtocolPeriod), Seed: seed,
		RunID: uint32(seed*2654435761>>8) | 1, ReceivePayload: func(from int, load []byte) { n.hearing.take(n, from, load) },
	}, (*datagrams)(n), n.clock())
	if err != nil {
		d.problem = fmt.Errorf("node %d: %w", n.index, err)
		return
	}
	n.view = view
	n.listen(seed, list)
	beat := int64(d.scenario.Nodes.ProtocolPeriod) / 10
	var again func()
	again = func() {
		if n.view != view {
			return
		}
		if n.frozen > d.now { // of the beats that it misses it makes up for one
			d.at(n.frozen, again)
			return
		}
		view.Tick(n.clock())
		n.hearing.beat(n)
		d.in(beat, again)
	}
	d.in(int64(seed%uint64(beat)), again)
}

// datagrams carries what a view sends.
type datagrams node

func (s *datagrams) Send(to int, datagram []byte) {
	n := (*node)(s)
	d := n.day
	d.count(func(t *trace.FleetActivity) { t.Members++; t.MemberBytes += len(datagram) })
	v := d.pass(netfault.End{Index: n.index}, netfault.End{Index: to}, len(datagram))
	if v.Lost {
		return
	}
	if v.CorruptByte >= 0 {
		datagram = append([]byte(nil), datagram...)
		datagram[v.CorruptByte] ^= 0x55
	}
	other := d.nodes[to]
	way := int64(d.scenario.Network.SameZone)
	if n.zone != other.zone {
		way = int64(d.scenario.Network.CrossZone)
	}
	if v.Rate > 0 {
		v.Delay += int64(float64(len(datagram)) / v.Rate * 1e9)
	}
	d.in(way+v.Delay, func() { other.heard(datagram) })
	if v.DuplicateAfter > 0 {
		d.in(way+v.Delay+v.DuplicateAfter, func() { other.heard(datagram) })
	}
}

func (n *node) heard(datagram []byte) {
	d, view := n.day, n.view
	if view == nil {
		return
	}
	if n.frozen > d.now {
		d.at(n.frozen, func() {
			if n.view == view {
				n.heard(datagram)
			}
		})
		return
	}
	view.Receive(n.clock(), datagram)
}

// believe keeps what nodes believe, and which of them run.
func (d *Day) believe() {
	runs := make([]byte, len(d.nodes))
	step := (len(d.nodes) + mostBelieving - 1) / mostBelieving
	for i, n := range d.nodes {
		if runs[i] = '-'; !n.alive || n.view == nil || n.frozen > d.now {
			continue
		}
		runs[i] = 'U'
		if i%step != 0 {
			continue
		}
		b := trace.MembershipView{At: d.now, Node: i, Known: n.view.Summary(n.clock()).Known, Strain: n.view.HealthScore()}
		letters := make([]byte, len(d.nodes))
		for k, s := range n.view.States() {
			letters[k] = trace.StateLetters[s]
		}
		b.States = string(letters)
		d.beliefs = append(d.beliefs, b)
	}
	d.runs = append(d.runs, trace.RunningNodes{At: d.now, States: string(runs)})
	if d.now < int64(d.scenario.Length) {
		d.in(believedEvery, d.believe)
	}
}
