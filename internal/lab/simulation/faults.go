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
	frontNoticesStop = int64(300 * time.Millisecond) // connections go on coming to a node that was told to stop
	acceptsAfterStop = int64(450 * time.Millisecond) // it takes tasks for so long
	catchUpTime      = int64(200 * time.Millisecond) // everything comes at once to a node that stood still
)

func (d *Simulation) startFault(f *workload.Fault) {
	long := int64(f.For)
	ends := func(do func()) {
		if long > 0 {
			d.after(long, do)
		}
	}
	s := d.discovery
	if scenario.FaultTargets[f.Kind] == scenario.LinkTarget {
		return // each message goes by the schedule
	}
	switch f.Kind {
	case "power":
		d.losePower(f)
	case "state": // there are no disks here
	case "discovery-down":
		s.setDown(true)
		ends(func() { s.setDown(false) })
	case "discovery-slow":
		s.slowdown = f.Factor
		ends(func() { s.slowdown = 1 })
	case "discovery-move":
		s.move()
	case "lists-late":
		s.changeDelay = int64(f.Wait)
		ends(func() { s.changeDelay = 0 })
	case "wait":
		key := d.waitKey(f)
		d.waits[key] = int64(f.Wait)
		ends(func() { delete(d.waits, key) })
	case "bad-clients":
	case "kill", "stop", "freeze", "cut-node", "clock":
		for i, target := range f.Targets {
			d.after(int64(f.Each)*int64(i), func() { d.faultNode(f, d.nodes[target]) })
		}
	default:
		for i, target := range f.Targets {
			d.after(int64(f.Each)*int64(i), func() { d.faultEndpoint(f, d.endpoints[target]) })
		}
	}
}

// holdKey is the category, or the customer as a negative number, that a wait strikes.
func (d *Simulation) waitKey(f *workload.Fault) int {
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

func (d *Simulation) waitOf(t *workload.Operation) int64 {
	if len(d.waits) == 0 {
		return 0
	}
	return max(d.waits[t.Class], d.waits[-1-t.Tenant])
}

func (d *Simulation) faultNode(f *workload.Fault, n *node) {
	if f.Kind == "clock" {
		n.adjustClock(int64(f.Wait), f.Factor)
		if long := int64(f.For); long > 0 {
			d.after(long, func() { n.adjustClock(0, 1) })
		}
		return
	}
	if !n.alive {
		return
	}
	life := n.process
	back := func(ended int64) {
		if f.For > 0 {
			d.at(max(d.now+int64(f.For), ended), func() {
				if n.process == life && !n.alive {
					n.start()
					d.after(startDelay, n.becomeReady)
				}
			})
		}
	}
	switch f.Kind {
	case "kill":
		d.history.Excuse(n.process, invariant.Span{From: d.now, To: invariant.Never})
		n.kill()
		back(d.now)
	case "stop":
		n.stopping = true
		if n.membership != nil {
			n.membership.Leave()
		}
		d.after(frontNoticesStop, func() {
			if n.process == life {
				n.admitted = false
			}
		})
		var settled func()
		settled = func() {
			if n.process != life || !n.alive {
				return
			}
			for _, x := range n.order {
				if !x.answered {
					d.after(int64(10*time.Millisecond), settled)
					return
				}
			}
			d.after(sendDelay, func() {
				if n.process == life {
					n.kill()
					back(d.now)
				}
			})
		}
		d.after(acceptsAfterStop, settled)
	case "freeze":
		n.pausedUntil = d.now + int64(f.For)
		d.history.Excuse(n.process, invariant.Span{From: d.now, To: n.pausedUntil + catchUpTime})
	case "cut-node":
		for _, m := range d.endpoints {
			if f.Zone == "" || m.spec.Zone == f.Zone {
				m.cutOff(n.index)
				if f.For > 0 {
					d.after(int64(f.For), func() { m.reconnect(n.index) })
				}
			}
		}
	}
}

// power takes nodes, servers and discovery away at one moment; each is back after a time of its own.
func (d *Simulation) losePower(f *workload.Fault) {
	notice := int64(d.scenario.Discovery.ChangeDelay)
	if f.Zone == "" && len(f.Fault.Nodes) == len(d.nodes) {
		d.discovery.setDown(true)
		if f.DiscoveryBack > 0 {
			d.after(int64(f.DiscoveryBack), func() { d.discovery.setDown(false) })
		}
	}
	for i, target := range f.Fault.Nodes {
		n := d.nodes[target]
		if !n.alive {
			continue
		}
		life := n.process
		d.history.Excuse(life, invariant.Span{From: d.now, To: invariant.Never})
		n.kill()
		if f.NodesBack > 0 {
			d.after(f.RestoredAfter(f.NodesBack, f.Seed, i), func() {
				if n.process == life && !n.alive {
					n.start()
					d.after(startDelay, n.becomeReady)
				}
			})
		}
	}
	for i, target := range f.Targets {
		m := d.endpoints[target]
		m.die()
		d.discovery.set(m, model.Removed, notice)
		if f.EndpointsBack > 0 {
			d.after(f.RestoredAfter(f.EndpointsBack, f.Seed+1, i), func() { d.revive(m, notice) })
		}
	}
}

func (d *Simulation) faultEndpoint(f *workload.Fault, m *endpoint) {
	long, notice, life := int64(f.For), int64(d.scenario.Discovery.ChangeDelay), m.incarnation
	// change sets a trouble, and takes it away again in time, unless a new life has done so.
	change := func(begin, end func(*endpointFaults)) {
		begin(&m.faults)
		if long > 0 {
			d.after(long, func() {
				if m.incarnation == life {
					end(&m.faults)
				}
			})
		}
	}
	switch f.Kind {
	case "slow":
		m.model.SetSpeedFactor(d.now, math.Max(f.Factor, 0.001))
		m.nextWake = model.Never
		m.scheduleWake()
		if long > 0 {
			d.after(long, func() {
				m.model.SetSpeedFactor(d.now, 1)
				m.nextWake = model.Never
				m.scheduleWake()
			})
		}
	case "pause":
		m.model.Pause(d.now, d.now+long)
		m.scheduleWake()
	case "silent":
		change(func(t *endpointFaults) { t.silent = true }, func(t *endpointFaults) { t.silent = false })
	case "fail":
		change(func(t *endpointFaults) { t.fail = f.AttemptShare }, func(t *endpointFaults) { t.fail = 0 })
	case "turn-away":
		change(func(t *endpointFaults) { t.reject = f.AttemptShare }, func(t *endpointFaults) { t.reject = 0 })
	case "reset":
		change(func(t *endpointFaults) { t.reset = f.AttemptShare }, func(t *endpointFaults) { t.reset = 0 })
	case "spoil":
		change(func(t *endpointFaults) { t.corrupt, t.corruptShare = f.How, f.AttemptShare }, func(t *endpointFaults) { t.corrupt = "" })
	case "crowd":
		places, waiting := m.model.Concurrency, m.model.QueueLimit
		m.model.Concurrency, m.model.QueueLimit = max(1, int(float64(places)*f.Factor)), int(float64(waiting)*f.Factor)
		if long > 0 {
			d.after(long, func() {
				if m.incarnation == life {
					m.model.Concurrency, m.model.QueueLimit = places, waiting
				}
			})
		}
	case "cut":
		m.cutOff(-1)
		if long > 0 {
			d.after(long, func() { m.reconnect(-1) })
		}
	case "unlisted":
		d.discovery.set(m, model.Removed, notice)
		if long > 0 {
			d.after(long, func() { d.discovery.set(m, model.Up, notice) })
		}
	case "die":
		m.die()
		if f.How != "unnoticed" {
			d.discovery.set(m, model.Removed, notice)
		}
		if long > 0 {
			d.after(long, func() { d.revive(m, notice) })
		}
	case "restart-servers":
		m.die()
		d.revive(m, notice)
	case "replace":
		m.die()
		d.discovery.set(m, model.Removed, notice)
		spec := m.spec
		spec.Seed += 1 << 32
		spec.Index, spec.Name = len(d.endpoints), spec.Name+"r"
		d.discovery.set(d.addEndpoint(spec, true), model.Up, notice)
	case "drain":
		m.draining = true
		d.discovery.set(m, model.Draining, notice)
		switch {
		case f.How == "gone" && long > 0:
			d.after(long, func() {
				d.discovery.set(m, model.Removed, 0)
				m.die()
			})
		case f.How != "gone" && long > 0:
			d.after(long, func() {
				m.draining = false
				d.discovery.set(m, model.Up, notice)
			})
		}
	}
}

// revive starts a server anew, cold.
func (d *Simulation) revive(m *endpoint, notice int64) {
	if m.up {
		return
	}
	m.start(true)
	d.discovery.set(m, model.Up, notice)
}
