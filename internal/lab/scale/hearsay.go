package scale

// This file owns what a whole list by gossip costs: one node without discovery asks nodes that have it. Virtual time, nothing
// lost. It must never help the one that asks to what its own code would not take.

import (
	"context"
	"fawnglade/internal/endpointgossip"
	"fmt"
)

const (
	tellers     = 4
	beatNs      = 50 * ms // ten in a round of 0.5 s
	hearsayLong = 400     // ticks: 20 s
)

// mail carries loads between nodes of one list, to be opened at the next beat.
type mail struct{ boxes [][]letter }

type letter struct {
	from int
	load []byte
}

type way struct {
	mail *mail
	self int
}

func (w way) SendPayload(to int, load []byte) {
	w.mail.boxes[to] = append(w.mail.boxes[to], letter{w.self, load})
}

func (w way) Reachable() (out []int) {
	for i := range w.mail.boxes {
		if i != w.self {
			out = append(out, i)
		}
	}
	return out
}

func hearsayProbe() Probe {
	return Probe{
		Name: "hearsay", Size: "servers", Sizes: []float64{512, 1200, 4096, 8000, 12000, 28000}, Quick: []float64{10, 40, 100, 200}, Least: 2,
		At: func(d *Design) float64 { return d.Servers }, Cap: endpointgossip.MaxEndpoints,
		Need: func(n float64) Need { return Need{Bytes: 6 * 500 * n} },
		Figures: []Figure{
			{Name: "taken", What: "a node that starts without discovery: until it goes by others' whole list", Unit: "s", Role: "node", Method: "virtual time, nothing lost", Limit: limitReady},
			{Name: "bytes", What: "heard until then", Unit: "bytes", Role: "node", Method: "bytes of loads"},
			{Name: "worst", What: "heard in the worst second", Unit: "bytes/s", Role: "node", Method: "bytes of loads", Limit: limitNetwork},
			{Name: "cpu", What: "of all five nodes until then", Unit: "s", Role: "node", Method: processor},
			{Name: "memory", What: "of a node that has the list", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
		},
		Measure: func(_ context.Context, _ *Env, size float64) (v map[string]float64, note string, err error) {
			v = map[string]float64{}
			now := int64(1_700_000_000e9)
			m := &mail{boxes: make([][]letter, tellers+1)}
			lines := make([]endpointgossip.Endpoint, int(size))
			for i := range lines {
				lines[i] = endpointgossip.Endpoint{
					Name: fmt.Sprintf("srv-%06d.eu1", i), Address: fmt.Sprintf("10.%d.%d.%d:8443", i>>16&255, i>>8&255, i&255),
					Zone: fmt.Sprintf("z%02d", i%31), Pod: i / 40, Weight: 1,
				}
			}
			var nodes []*endpointgossip.Exchange
			before := inUse()
			for i := range tellers {
				h := endpointgossip.New(uint64(i), way{m, i}, now, 0, nil, false)
				h.WatchUpdated(now, 1, lines, nil, true)
				h.View() // makes the list that it answers with
				nodes = append(nodes, h)
			}
			v["memory"] = (inUse() - before) / tellers
			nodes = append(nodes, endpointgossip.New(tellers, way{m, tellers}, now, 0, nil, false))
			var seconds []float64
			v["cpu"] = spent(func() {
				for beat := range hearsayLong {
					now += beatNs
					if beat%20 == 0 {
						seconds = append(seconds, 0)
					}
					for i, h := range nodes {
						box := m.boxes[i]
						m.boxes[i] = nil
						for _, l := range box {
							if i == tellers {
								seconds[len(seconds)-1] += float64(len(l.load))
							}
							if got := h.Receive(now, l.from, l.load); got != nil && i == tellers {
								v["taken"] = float64(beat+1) * float64(beatNs) / 1e9
							}
						}
						if v["taken"] > 0 {
							return
						}
						word := now
						if i == tellers {
							word = 0
						}
						h.Tick(now, word)
					}
				}
			})
			for _, b := range seconds {
				v["bytes"] += b
				v["worst"] = max(v["worst"], b)
			}
			if v["taken"] == 0 {
				c := nodes[tellers].View().Counters
				note = fmt.Sprintf("never taken within 20 s, in which it heard %s bytes: %d loads asked for, %d passed over as making no sense; a list has %s servers at most",
					short(v["bytes"]), c.Requests, c.Invalid, count(endpointgossip.MaxEndpoints))
				v = map[string]float64{"memory": v["memory"]}
			}
			return v, note, nil
		},
	}
}
