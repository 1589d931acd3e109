package simulation

// What each kind of fault does in virtual time. Bad clients do nothing here: what a node does with bytes shows on
// sockets.

import (
	"math"
	"slices"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
)

const (
	frontStopDelay = int64(300 * time.Millisecond) // connections still come to a node that stops
	stopAcceptTime = int64(450 * time.Millisecond) // and are accepted
	minSpeedFactor = 0.001
	catchUpTime    = int64(200 * time.Millisecond) // for the backlog of a node that was paused
)

// startFault starts a fault, and has it end in time.
func (d *Simulation) startFault(f *workload.Fault) {
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
		d.afterFault(f, func() { s.setDown(false) })
	case "discovery-slow":
		s.slowdown = f.Factor
		d.afterFault(f, func() { s.slowdown = 1 })
	case "discovery-move":
		s.move()
	case "lists-late":
		s.extraChangeDelay = int64(f.Wait)
		d.afterFault(f, func() { s.extraChangeDelay = 0 })
	case "wait":
		key := d.waitKey(f)
		d.slotWaits[key] = int64(f.Wait)
		d.afterFault(f, func() { delete(d.slotWaits, key) })
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

// waitKey is the class that a wait strikes, or the tenant as a negative number.
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

// slotWait is for how long attempts of an operation wait in their slots by a fault.
func (d *Simulation) slotWait(t *workload.Operation) int64 {
	if len(d.slotWaits) == 0 {
		return 0
	}
	return max(d.slotWaits[t.Class], d.slotWaits[-1-t.Tenant])
}

func (d *Simulation) faultNode(f *workload.Fault, n *node) {
	if f.Kind == "clock" {
		n.adjustClock(int64(f.Wait), f.Factor)
		d.afterFault(f, func() { n.adjustClock(0, 1) })
		return
	}
	if !n.alive {
		return
	}
	switch f.Kind {
	case "kill":
		d.history.Excuse(n.processRecord, invariant.Interval{From: d.now, To: invariant.Never})
		n.kill()
		d.restartAfterFault(f, n)
	case "stop":
		d.stopNode(f, n)
	case "freeze":
		n.pausedUntil = d.now + int64(f.For)
		d.history.Excuse(n.processRecord, invariant.Interval{From: d.now, To: n.pausedUntil + catchUpTime})
	case "cut-node":
		for _, m := range d.endpoints {
			if f.Zone == "" || m.spec.Zone == f.Zone {
				m.cutOff(n.index)
				d.afterFault(f, func() { m.reconnect(n.index) })
			}
		}
	}
}

// afterFault runs when a fault that begins now ends, if it does.
func (d *Simulation) afterFault(f *workload.Fault, do func()) {
	if f.For > 0 {
		d.after(int64(f.For), do)
	}
}

// restartAfterFault starts a node again, whose process has just ended.
func (d *Simulation) restartAfterFault(f *workload.Fault, n *node) {
	d.afterFault(f, d.restartFunc(n))
}

// restarter starts a node again unless that has happened.
func (d *Simulation) restartFunc(n *node) func() {
	process := n.processRecord
	return func() {
		if n.processRecord == process && !n.alive {
			n.start()
			d.after(startDelay, n.becomeReady)
		}
	}
}

// stopNode has a node shut down gracefully: it accepts for a while, and ends once all requests have their responses.
func (d *Simulation) stopNode(f *workload.Fault, n *node) {
	process := n.processRecord
	n.stopping = true
	if n.membership != nil {
		n.membership.Leave()
	}
	d.after(frontStopDelay, func() {
		if n.processRecord == process {
			n.admitted = false
		}
	})
	var endWhenIdle func()
	endWhenIdle = func() {
		if n.processRecord != process || !n.alive {
			return
		}
		if slices.ContainsFunc(n.pendingOrder, func(x *pendingRequest) bool { return !x.answered }) {
			d.after(int64(10*time.Millisecond), endWhenIdle)
			return
		}
		d.after(sendDelay, func() {
			if n.processRecord == process {
				n.kill()
				d.restartAfterFault(f, n)
			}
		})
	}
	d.after(stopAcceptTime, endWhenIdle)
}

// losePower ends nodes, endpoints and discovery at one moment; each is back after a time of its own.
func (d *Simulation) losePower(f *workload.Fault) {
	notice := int64(d.scenario.Discovery.ChangeDelay)
	if f.Zone == "" && len(f.Nodes) == len(d.nodes) {
		d.discovery.setDown(true)
		if f.DiscoveryBack > 0 {
			d.after(int64(f.DiscoveryBack), func() { d.discovery.setDown(false) })
		}
	}
	for i, target := range f.Nodes {
		n := d.nodes[target]
		if !n.alive {
			continue
		}
		d.history.Excuse(n.processRecord, invariant.Interval{From: d.now, To: invariant.Never})
		n.kill()
		if f.NodesBack > 0 {
			d.after(f.RestoreDelay(f.NodesBack, f.Seed, i), d.restartFunc(n))
		}
	}
	for i, target := range f.Targets {
		m := d.endpoints[target]
		m.die()
		d.discovery.set(m, model.Removed, notice)
		if f.EndpointsBack > 0 {
			d.after(f.RestoreDelay(f.EndpointsBack, f.Seed+1, i), func() { d.restartEndpoint(m, notice) })
		}
	}
}

func (d *Simulation) faultEndpoint(f *workload.Fault, m *endpoint) {
	switch f.Kind {
	case "slow", "pause", "crowd":
		d.slowEndpoint(f, m)
	case "cut":
		m.cutOff(allNodes)
		d.afterFault(f, func() { m.reconnect(allNodes) })
	case "die", "restart-servers", "replace":
		d.endEndpoint(f, m)
	case "unlisted", "drain":
		d.withdrawEndpoint(f, m)
	default:
		d.misbehave(f, m)
	}
}

// slowEndpoint takes capacity from an endpoint.
func (d *Simulation) slowEndpoint(f *workload.Fault, m *endpoint) {
	switch f.Kind {
	case "slow":
		d.setSpeed(m, math.Max(f.Factor, minSpeedFactor))
		d.afterFault(f, func() { d.setSpeed(m, 1) })
	case "pause":
		m.model.Pause(d.now, d.now+int64(f.For))
		m.scheduleWake()
	case "crowd":
		concurrency, queue, incarnation := m.model.Concurrency, m.model.QueueLimit, m.incarnation
		m.model.Concurrency = max(1, int(float64(concurrency)*f.Factor))
		m.model.QueueLimit = int(float64(queue) * f.Factor)
		d.afterFault(f, func() {
			if m.incarnation == incarnation {
				m.model.Concurrency, m.model.QueueLimit = concurrency, queue
			}
		})
	}
}

func (d *Simulation) setSpeed(m *endpoint, factor float64) {
	m.model.SetSpeedFactor(d.now, factor)
	m.nextWake = model.Never
	m.scheduleWake()
}

// misbehave has an endpoint answer wrongly, or not at all.
func (d *Simulation) misbehave(f *workload.Fault, m *endpoint) {
	incarnation := m.incarnation
	// change sets a fault, and removes it in time, unless a new incarnation has done so.
	change := func(begin, end func(*endpointFaults)) {
		begin(&m.faults)
		d.afterFault(f, func() {
			if m.incarnation == incarnation {
				end(&m.faults)
			}
		})
	}
	switch f.Kind {
	case "silent":
		change(func(e *endpointFaults) { e.unresponsive = true }, func(e *endpointFaults) { e.unresponsive = false })
	case "fail":
		change(func(e *endpointFaults) { e.fail = f.AttemptShare }, func(e *endpointFaults) { e.fail = 0 })
	case "turn-away":
		change(func(e *endpointFaults) { e.reject = f.AttemptShare }, func(e *endpointFaults) { e.reject = 0 })
	case "reset":
		change(func(e *endpointFaults) { e.reset = f.AttemptShare }, func(e *endpointFaults) { e.reset = 0 })
	case "spoil":
		change(
			func(e *endpointFaults) { e.corrupt, e.corruptShare = f.How, f.AttemptShare },
			func(e *endpointFaults) { e.corrupt = "" },
		)
	}
}

// endEndpoint ends an endpoint's process, which comes back or is replaced.
func (d *Simulation) endEndpoint(f *workload.Fault, m *endpoint) {
	notice := int64(d.scenario.Discovery.ChangeDelay)
	m.die()
	switch f.Kind {
	case "die":
		if f.How != "unnoticed" {
			d.discovery.set(m, model.Removed, notice)
		}
		d.afterFault(f, func() { d.restartEndpoint(m, notice) })
	case "restart-servers":
		d.restartEndpoint(m, notice)
	case "replace":
		d.discovery.set(m, model.Removed, notice)
		spec := m.spec
		spec.Seed += 1 << 32
		spec.Index, spec.Name = len(d.endpoints), spec.Name+"r"
		d.discovery.set(d.addEndpoint(spec, true), model.Up, notice)
	}
}

// withdrawEndpoint takes an endpoint off the list, or has it drain.
func (d *Simulation) withdrawEndpoint(f *workload.Fault, m *endpoint) {
	notice := int64(d.scenario.Discovery.ChangeDelay)
	if f.Kind == "unlisted" {
		d.discovery.set(m, model.Removed, notice)
		d.afterFault(f, func() { d.discovery.set(m, model.Up, notice) })
		return
	}
	m.draining = true
	d.discovery.set(m, model.Draining, notice)
	d.afterFault(f, func() {
		if f.How == "gone" {
			d.discovery.set(m, model.Removed, 0)
			m.die()
			return
		}
		m.draining = false
		d.discovery.set(m, model.Up, notice)
	})
}

// revive starts an endpoint anew, in slow start.
func (d *Simulation) restartEndpoint(m *endpoint, notice int64) {
	if m.up {
		return
	}
	m.start(true)
	d.discovery.set(m, model.Up, notice)
}
