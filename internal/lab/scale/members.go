package scale

// This file owns what it costs nodes to know of one another, in virtual time: the members' own code, many times in this process, and a
// network that loses some. It must never count as known what a node does not hold itself.

import (
	"context"
	"fawnglade/internal/lab/fleet"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
	"fmt"
	"runtime"
)

const (
	lost        = 0.05
	second      = int64(1e9)
	mostMembers = 4096 // internal/members takes no more
	upWithin    = 300 * second
	deathWithin = 200 * second
	quietWithin = 600 * second
	// shortDatagram is longer, in bytes, than datagrams are on the mean in which next to nothing is told.
	shortDatagram = 100
	watchMembers  = 20 * second
	countEvery    = 100 * ms
	virtual       = "virtual time, 5% of datagrams lost"
)

// holding is how many nodes hold one in a state; all but itself.
func holding(v *fleet.Virtual, of int, state members.State) (n int) {
	for i := range v.Len() {
		if m := v.Members(i); i != of && m != nil && m.StateOf(of) == state {
			n++
		}
	}
	return n
}

func allUp(v *fleet.Virtual) bool {
	for i := range v.Len() {
		for _, s := range v.Members(i).States() {
			if s != members.Alive {
				return false
			}
		}
	}
	return true
}

func membersProbe() Probe {
	return Probe{
		Name: "members", Size: "nodes", Sizes: []float64{100, 200, 400, 1000}, Quick: []float64{4, 8, 20, 40}, Least: 3, Most: mostMembers,
		At: func(d *Design) float64 { return d.Nodes }, Cap: mostMembers,
		Need: func(n float64) Need { return Need{Bytes: 400*n*n + 20e6} },
		Figures: []Figure{
			{Name: "memory", What: "memory of one node's view", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "cpu", What: "one node's view, nothing happening", Unit: "% of a core", Role: "node", Method: processor + ", the virtual network's too", Limit: limitCores},
			{Name: "bytes", What: "sent, and as much heard, a node", Unit: "bytes/s", Role: "node", Method: virtual, Limit: limitNetwork},
			{Name: "datagrams", What: "sent a node", Unit: "1/s", Role: "node", Method: virtual},
			{Name: "up", What: "all nodes start at once: until each knows all", Unit: "s", Role: "node", Method: virtual, Limit: limitReady},
			{Name: "told", What: "until the start is no longer told, and the fleet is at rest", Unit: "s", Role: "node", Method: virtual},
			{Name: "busy50", What: "a node dies while the start is still told: until half of the others hold it silent", Unit: "s", Role: "node", Method: virtual},
			{Name: "busy90", What: "until 90 in 100 do", Unit: "s", Role: "node", Method: virtual},
			{Name: "busy99", What: "until 99 in 100 do", Unit: "s", Role: "node", Method: virtual, Limit: limitInForce},
			{Name: "busy100", What: "until all do", Unit: "s", Role: "node", Method: virtual, Limit: limitInForce},
			{Name: "death50", What: "a node dies, the fleet at rest: until half of the others hold it silent", Unit: "s", Role: "node", Method: virtual},
			{Name: "death90", What: "until 90 in 100 do", Unit: "s", Role: "node", Method: virtual},
			{Name: "death99", What: "until 99 in 100 do", Unit: "s", Role: "node", Method: virtual, Limit: limitInForce},
			{Name: "death100", What: "until all do", Unit: "s", Role: "node", Method: virtual, Limit: limitInForce},
		},
		Measure: func(ctx context.Context, e *Env, size float64) (map[string]float64, string, error) {
			n, values := int(size), map[string]float64{}
			before := inUse()
			v := fleet.NewVirtual(n, 1)
			for i := range n {
				if err := v.Start(i); err != nil {
					return values, "", err
				}
			}
			everybody := fleet.Ends(fleet.Numbers(0, n))
			v.AddFaults(netfault.Fault{Kind: netfault.Drop, From: everybody, To: everybody, Share: lost, Burst: 1, Seed: 11})
			began := v.Now()
			for !allUp(v) {
				if v.Now()-began > upWithin {
					return values, fmt.Sprintf("not all knew all within %d s", upWithin/second), nil
				}
				if err := ctx.Err(); err != nil {
					return values, "", err
				}
				v.Run(second / 2)
			}
			values["up"] = float64(v.Now()-began) / 1e9
			e.say("  all up after %.1f s", values["up"])
			// While the start is still being told, and once it is not.
			note, err := death(ctx, e, v, 1, "busy", values)
			if err != nil || note != "" {
				return values, note, err
			}
			for bytes, sent := 1.0, 0.0; bytes > shortDatagram*sent; {
				if v.Now()-began > quietWithin {
					return values, fmt.Sprintf("still telling of the start after %d s, so nothing was measured of a fleet at rest", quietWithin/second), nil
				}
				if err := ctx.Err(); err != nil {
					return values, "", err
				}
				sent, bytes = traffic(v, 5*second)
			}
			values["told"] = float64(v.Now()-began) / 1e9
			e.say("  told after %.1f s", values["told"])
			values["memory"] = (inUse() - before) / size
			watch := watchMembers
			if e.Quick {
				watch /= 4
			}
			var sent, bytes float64
			values["cpu"] = 100 * spent(func() { sent, bytes = traffic(v, watch) }) / size / (float64(watch) / 1e9)
			values["datagrams"], values["bytes"] = sent/size/(float64(watch)/1e9), bytes/size/(float64(watch)/1e9)
			note, err = death(ctx, e, v, 2, "death", values)
			runtime.KeepAlive(v)
			return values, note, err
		},
	}
}

// traffic lets time pass, and returns the datagrams and bytes that were sent meanwhile by all.
func traffic(v *fleet.Virtual, long int64) (sent, bytes float64) {
	for _, sign := range []float64{-1, 1} {
		for i := range v.Len() {
			if m := v.Members(i); m != nil {
				c := m.Counters()
				sent, bytes = sent+sign*float64(c.Sent), bytes+sign*float64(c.SentBytes)
			}
		}
		if sign < 0 {
			v.Run(long)
		}
	}
	return sent, bytes
}

// death kills a node, and notes after how long 50, 90, 99 and 100 in 100 of the others hold it silent.
func death(ctx context.Context, e *Env, v *fleet.Virtual, victim int, name string, values map[string]float64) (note string, err error) {
	v.Kill(victim)
	killed, others := v.Now(), 0.0
	for i := range v.Len() {
		if v.Members(i) != nil {
			others++
		}
	}
	for parts := []int{50, 90, 99, 100}; len(parts) > 0; {
		if v.Now()-killed > deathWithin {
			return fmt.Sprintf("%s%d: %d of %.0f held it silent after %d s", name, parts[0], holding(v, victim, members.Dead), others, deathWithin/second), nil
		}
		if err := ctx.Err(); err != nil {
			return "", err
		}
		v.Run(countEvery)
		for have := float64(holding(v, victim, members.Dead)); len(parts) > 0 && have >= float64(parts[0])/100*others; parts = parts[1:] {
			values[fmt.Sprint(name, parts[0])] = float64(v.Now()-killed) / 1e9
			e.say("  %s: %d in 100 know after %.1f s", name, parts[0], values[fmt.Sprint(name, parts[0])])
		}
	}
	return "", nil
}
