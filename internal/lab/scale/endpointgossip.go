package scale

import (
	"context"
	"fmt"

	"fawnglade/internal/endpointgossip"
)

// Probe of the endpoint list by gossip: a node without discovery requests the list from nodes that have it. The probe
// runs in virtual time without message loss, with the node's own limits on sizes and rates.

const (
	informedNodes  = 4                // nodes with a list from discovery
	gossipTick     = 50 * millisecond // ten per protocol period of 0.5 s
	ticksPerSecond = int(second / gossipTick)
	maxGossipTicks = 20 * ticksPerSecond
	gossipStart    = int64(1_700_000_000e9) // Unix nanoseconds
)

// mailbox holds payloads until the next tick of their receiver.
type mailbox struct {
	payloads [][]payload // by receiver
}

type payload struct {
	from int
	data []byte
}

// gossipLink connects one node to the others. It implements endpointgossip.Transport.
type gossipLink struct {
	mailbox *mailbox
	self    int
}

// SendPayload implements endpointgossip.Transport.
func (l gossipLink) SendPayload(to int, data []byte) {
	l.mailbox.payloads[to] = append(l.mailbox.payloads[to], payload{l.self, data})
}

// Reachable implements endpointgossip.Transport.
func (l gossipLink) Reachable() []int {
	var others []int
	for i := range l.mailbox.payloads {
		if i != l.self {
			others = append(others, i)
		}
	}
	return others
}

func endpointGossipProbe() Probe {
	return Probe{
		Name: "hearsay", SizeUnit: "servers", MinSize: 2, NodeMax: endpointgossip.MaxEndpoints,
		Sizes: []float64{512, 1200, 4096, 8000, 12000, 28000}, QuickSizes: []float64{10, 40, 100, 200},
		DesignSize: func(d *Design) float64 { return d.Endpoints },
		Need:       func(n float64) Need { return Need{Bytes: 6 * 500 * n} },
		Figures: []Figure{
			{
				Name: "taken", Description: "a node that starts without discovery: until it goes by others' whole list",
				Unit: "s", Role: "node", Method: "virtual time, nothing lost", Limit: limitReady,
			},
			{Name: "bytes", Description: "heard until then", Unit: "bytes", Role: "node", Method: "bytes of loads"},
			{
				Name: "worst", Description: "heard in the worst second",
				Unit: "bytes/s", Role: "node", Method: "bytes of loads", Limit: limitNetwork,
			},
			{
				Name: "cpu", Description: "of all five nodes until then",
				Unit: "s", Role: "node", Method: methodProcessor,
			},
			{
				Name: "memory", Description: "of a node that has the list",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
		},
		Measure: measureEndpointGossip,
	}
}

// gossipGroup is a group of informed nodes and, as the last one, a node without discovery.
type gossipGroup struct {
	now       int64
	mailbox   *mailbox
	exchanges []*endpointgossip.Exchange
	bytes     []float64 // received by the last node, by second
}

func measureEndpointGossip(_ context.Context, _ *Env, size float64) (Measurement, error) {
	g := &gossipGroup{now: gossipStart, mailbox: &mailbox{payloads: make([][]payload, informedNodes+1)}}
	list := gossipEndpoints(int(size))
	v := Values{}
	before := heapInUse()
	g.addInformed(list)
	v["memory"] = (heapInUse() - before) / informedNodes
	g.exchanges = append(g.exchanges, endpointgossip.New(informedNodes, gossipLink{g.mailbox, informedNodes}, g.now, 0, nil, false))
	var ticks int
	v["cpu"] = cpuTimeOf(func() { ticks = g.runUntilListAccepted() })
	for _, bytes := range g.bytes {
		v["bytes"] += bytes
		v["worst"] = max(v["worst"], bytes)
	}
	if ticks > 0 {
		v["taken"] = float64(ticks) * float64(gossipTick) / 1e9
		return Measurement{Values: v}, nil
	}
	counters := g.exchanges[informedNodes].View().Counters
	note := fmt.Sprintf("never taken within 20 s, in which it heard %s bytes: %d loads asked for, %d passed over as making no sense; "+
		"a list has %s servers at most",
		formatShort(v["bytes"]), counters.Requests, counters.Invalid, formatCount(endpointgossip.MaxEndpoints))
	return Measurement{Values: Values{"memory": v["memory"]}, Note: note}, nil
}

func gossipEndpoints(n int) []endpointgossip.Endpoint {
	list := make([]endpointgossip.Endpoint, n)
	for i := range list {
		list[i] = endpointgossip.Endpoint{
			Name: endpointName(i), Address: endpointAddress(i), Zone: zoneName(i), Pod: i / podSize, Weight: 1,
		}
	}
	return list
}

// addInformed adds the informed nodes, which have the list and are ready to send it.
func (g *gossipGroup) addInformed(list []endpointgossip.Endpoint) {
	for i := range informedNodes {
		exchange := endpointgossip.New(uint64(i), gossipLink{g.mailbox, i}, g.now, 0, nil, false)
		exchange.WatchUpdated(g.now, 1, list, nil, true)
		exchange.View()
		g.exchanges = append(g.exchanges, exchange)
	}
}

// runUntilListAccepted advances time until the last node has accepted a list, and returns the number of ticks; 0: it
// did not within maxGossipTicks.
func (g *gossipGroup) runUntilListAccepted() int {
	for ticks := range maxGossipTicks {
		g.now += gossipTick
		if ticks%ticksPerSecond == 0 {
			g.bytes = append(g.bytes, 0)
		}
		for i, exchange := range g.exchanges {
			if g.receive(i) {
				return ticks + 1
			}
			watchReceivedAt := g.now
			if i == informedNodes {
				watchReceivedAt = 0
			}
			exchange.Tick(g.now, watchReceivedAt)
		}
	}
	return 0
}

// receive delivers the payloads of a node. It reports whether the node is the last one and has accepted a list.
func (g *gossipGroup) receive(node int) (accepted bool) {
	payloads := g.mailbox.payloads[node]
	g.mailbox.payloads[node] = nil
	for _, p := range payloads {
		if node == informedNodes {
			g.bytes[len(g.bytes)-1] += float64(len(p.data))
		}
		list := g.exchanges[node].Receive(g.now, p.from, p.data)
		if list != nil && node == informedNodes {
			accepted = true
		}
	}
	return accepted
}
