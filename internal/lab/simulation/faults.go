package simulation

// This file owns what each kind of fault does in virtual time, and when it ends. Who is hit and when is the plan's; it must never
// draw. Bad clients are not played: what a node does with bytes is for sockets to tell.

import (
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
	"math"
	"time"
)

const (
	frontLeaves = int64(300 * time.Millisecond) // connections go on coming to a node that was told to stop
	stillTaking = int64(450 * time.Millisecond) // it takes tasks for so long
	thawed      = int64(200 * time.Millisecond) // everything comes at once to a node that stood still
)

func (d *Day) begin(f *workload.Fault) {
	long := int64(f.For)
	ends := func(do func()) {
		if long > 0 {
			d.in(long, do)
		}
	}
	s := d.discovery
	if scenario.FaultKinds[f.Kind] == "ways" {
		return // each message goes by the schedule
	}
	switch f.Kind {
	case "power":
		d.power(f)
	case "state": // there are no disks here
	case "discovery-down":
		s.setDown(true)
		ends(func() { s.setDown(false) })
	case "discovery-slow":
		s.slow = f.Factor
		ends(func() { s.slow = 1 })
	case "discovery-move":
		s.move()
	case "lists-late":
		s.late = int64(f.Wait)
		ends(func() { s.late = 0 })
	case "wait":
		key := d.holdKey(f)
		d.holds[key] = int64(f.Wait)
		ends(func() { delete(d.holds, key) })
	case "bad-clients":
	case "kill", "stop", "freeze", "cut-node", "clock":
		for i, target := range f.Targets {
			d.in(int64(f.Each)*int64(i), func() { d.hitNode(f, d.nodes[target]) })
		}
	default:
		for i, target := range f.Targets {
			d.in(int64(f.Each)*int64(i), func() { d.hitServer(f, d.machines[target]) })
		}
	}
}

// holdKey is the category, or the customer as a negative number, that a wait strikes.
func (d *Day) holdKey(f *workload.Fault) int {
	for i := range d.scenario.Tenants {
		if f.Tenant != "" && d.scenario.Tenants[i].Name == f.Tenant {
			return -1 - i
		}
	}
	for i := range d.scenario.Classes {
		if d.scenario.Classes[i].Name == f.Class {
			return i
		}
	}
	return len(d.scenario.Classes)
}

func (d *Day) hold(t *workload.Operation) int64 {
	if len(d.holds) == 0 {
		return 0
	}
	return max(d.holds[t.Class], d.holds[-1-t.Tenant])
}

func (d *Day) hitNode(f *workload.Fault, n *node) {
	if f.Kind == "clock" {
		n.turnClock(int64(f.Wait), f.Factor)
		if long := int64(f.For); long > 0 {
			d.in(long, func() { n.turnClock(0, 1) })
		}
		return
	}
	if !n.alive {
		return
	}
	life := n.life
	back := func(ended int64) {
		if f.For > 0 {
			d.at(max(d.now+int64(f.For), ended), func() {
				if n.life == life && !n.alive {
					n.start()
					d.in(startsIn, n.admitted)
				}
			})
		}
	}
	switch f.Kind {
	case "kill":
		d.ledger.Excuse(n.life, invariant.Span{From: d.now, To: invariant.Never})
		n.end()
		back(d.now)
	case "stop":
		n.stopping = true
		if n.view != nil {
			n.view.Leave()
		}
		d.in(frontLeaves, func() {
			if n.life == life {
				n.in = false
			}
		})
		var settled func()
		settled = func() {
			if n.life != life || !n.alive {
				return
			}
			for _, x := range n.order {
				if !x.settled {
					d.in(int64(10*time.Millisecond), settled)
					return
				}
			}
			d.in(nodeOut, func() {
				if n.life == life {
					n.end()
					back(d.now)
				}
			})
		}
		d.in(stillTaking, settled)
	case "freeze":
		n.frozen = d.now + int64(f.For)
		d.ledger.Excuse(n.life, invariant.Span{From: d.now, To: n.frozen + thawed})
	case "cut-node":
		for _, m := range d.machines {
			if f.Zone == "" || m.spec.Zone == f.Zone {
				m.sever(n.index)
				if f.For > 0 {
					d.in(int64(f.For), func() { m.heal(n.index) })
				}
			}
		}
	}
}

// power takes nodes, servers and discovery away at one moment; each is back after a time of its own.
func (d *Day) power(f *workload.Fault) {
	notice := int64(d.scenario.Discovery.ChangeDelay)
	if f.Zone == "" && len(f.Fault.Nodes) == len(d.nodes) {
		d.discovery.setDown(true)
		if f.DiscoveryBack > 0 {
			d.in(int64(f.DiscoveryBack), func() { d.discovery.setDown(false) })
		}
	}
	for i, target := range f.Fault.Nodes {
		n := d.nodes[target]
		if !n.alive {
			continue
		}
		life := n.life
		d.ledger.Excuse(life, invariant.Span{From: d.now, To: invariant.Never})
		n.end()
		if f.NodesBack > 0 {
			d.in(f.RestoredAfter(f.NodesBack, f.Seed, i), func() {
				if n.life == life && !n.alive {
					n.start()
					d.in(startsIn, n.admitted)
				}
			})
		}
	}
	for i, target := range f.Targets {
		m := d.machines[target]
		m.stop()
		d.discovery.set(m, model.Removed, notice)
		if f.EndpointsBack > 0 {
			d.in(f.RestoredAfter(f.EndpointsBack, f.Seed+1, i), func() { d.revive(m, notice) })
		}
	}
}

func (d *Day) hitServer(f *workload.Fault, m *machine) {
	long, notice, life := int64(f.For), int64(d.scenario.Discovery.ChangeDelay), m.life
	// change sets a trouble, and takes it away again in time, unless a new life has done so.
	change := func(begin, end func(*trouble)) {
		begin(&m.trouble)
		if long > 0 {
			d.in(long, func() {
				if m.life == life {
					end(&m.trouble)
				}
			})
		}
	}
	switch f.Kind {
	case "slow":
		m.model.SetSpeedFactor(d.now, math.Max(f.Factor, 0.001))
		m.next = model.Never
		m.wake()
		if long > 0 {
			d.in(long, func() {
				m.model.SetSpeedFactor(d.now, 1)
				m.next = model.Never
				m.wake()
			})
		}
	case "pause":
		m.model.Pause(d.now, d.now+long)
		m.wake()
	case "silent":
		change(func(t *trouble) { t.silent = true }, func(t *trouble) { t.silent = false })
	case "fail":
		change(func(t *trouble) { t.fail = f.AttemptShare }, func(t *trouble) { t.fail = 0 })
	case "turn-away":
		change(func(t *trouble) { t.turn = f.AttemptShare }, func(t *trouble) { t.turn = 0 })
	case "reset":
		change(func(t *trouble) { t.reset = f.AttemptShare }, func(t *trouble) { t.reset = 0 })
	case "spoil":
		change(func(t *trouble) { t.spoil, t.spoilShare = f.How, f.AttemptShare }, func(t *trouble) { t.spoil = "" })
	case "crowd":
		places, waiting := m.model.Concurrency, m.model.QueueLimit
		m.model.Concurrency, m.model.QueueLimit = max(1, int(float64(places)*f.Factor)), int(float64(waiting)*f.Factor)
		if long > 0 {
			d.in(long, func() {
				if m.life == life {
					m.model.Concurrency, m.model.QueueLimit = places, waiting
				}
			})
		}
	case "cut":
		m.sever(-1)
		if long > 0 {
			d.in(long, func() { m.heal(-1) })
		}
	case "unlisted":
		d.discovery.set(m, model.Removed, notice)
		if long > 0 {
			d.in(long, func() { d.discovery.set(m, model.Up, notice) })
		}
	case "die":
		m.stop()
		if f.How != "unnoticed" {
			d.discovery.set(m, model.Removed, notice)
		}
		if long > 0 {
			d.in(long, func() { d.revive(m, notice) })
		}
	case "restart-servers":
		m.stop()
		d.revive(m, notice)
	case "replace":
		m.stop()
		d.discovery.set(m, model.Removed, notice)
		spec := m.spec
		spec.Seed += 1 << 32
		spec.Index, spec.Name = len(d.machines), spec.Name+"r"
		d.discovery.set(d.newMachine(spec, true), model.Up, notice)
	case "drain":
		m.draining = true
		d.discovery.set(m, model.Draining, notice)
		switch {
		case f.How == "gone" && long > 0:
			d.in(long, func() {
				d.discovery.set(m, model.Removed, 0)
				m.stop()
			})
		case f.How != "gone" && long > 0:
			d.in(long, func() {
				m.draining = false
				d.discovery.set(m, model.Up, notice)
			})
		}
	}
}

// revive starts a server anew, cold.
func (d *Day) revive(m *machine, notice int64) {
	if m.up {
		return
	}
	m.start(true)
	d.discovery.set(m, model.Up, notice)
}
