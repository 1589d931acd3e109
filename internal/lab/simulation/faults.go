package simulation

// The effects of faults in virtual time. Bad clients have none here: the simulator has no bytes on connections, so only
// the emulator tests how nodes handle malformed requests.

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
	frontStopDelay = int64(300 * time.Millisecond) // the front still sends requests to a stopping node
	stopAcceptTime = int64(450 * time.Millisecond) // a stopping node still accepts requests
	minSpeedFactor = 0.001
	catchUpTime    = int64(200 * time.Millisecond) // for a node to work off its backlog after a pause
)

// startFault starts a fault and schedules its end.
func (sim *Simulation) startFault(f *workload.Fault) {
	discovery := sim.discovery
	if scenario.FaultTargets[f.Kind] == scenario.LinkTarget {
		return // the schedule of link faults applies to each message
	}
	switch f.Kind {
	case "power":
		sim.losePower(f)
	case "state": // nodes have no persisted state here
	case "discovery-down":
		discovery.setDown(true)
		sim.afterFault(f, func() { discovery.setDown(false) })
	case "discovery-slow":
		discovery.slowdown = f.Factor
		sim.afterFault(f, func() { discovery.slowdown = 1 })
	case "discovery-move":
		discovery.move()
	case "lists-late":
		discovery.extraChangeDelay = int64(f.Wait)
		sim.afterFault(f, func() { discovery.extraChangeDelay = 0 })
	case "wait":
		key := sim.waitKey(f)
		sim.slotWaits[key] = int64(f.Wait)
		sim.afterFault(f, func() { delete(sim.slotWaits, key) })
	case "bad-clients":
	case "kill", "stop", "freeze", "cut-node", "clock":
		for i, target := range f.Targets {
			sim.delay(int64(f.Each)*int64(i), func() { sim.faultNode(f, sim.nodes[target]) })
		}
	default:
		for i, target := range f.Targets {
			sim.delay(int64(f.Each)*int64(i), func() { sim.faultEndpoint(f, sim.endpoints[target]) })
		}
	}
}

// waitKey returns the key in slotWaits for a wait fault: the index of its class, or a negative number for its tenant.
func (sim *Simulation) waitKey(f *workload.Fault) int {
	for i := range sim.scenario.Tenants {
		if f.Tenant != "" && sim.scenario.Tenants[i].Name == f.Tenant {
			return -1 - i
		}
	}
	for i := range sim.scenario.Classes {
		if sim.scenario.Classes[i].Name == f.Class {
			return i
		}
	}
	return len(sim.scenario.Classes)
}

// slotWait returns how long attempts of an operation wait in their slots because of wait faults, in nanoseconds.
func (sim *Simulation) slotWait(o *workload.Operation) int64 {
	if len(sim.slotWaits) == 0 {
		return 0
	}
	return max(sim.slotWaits[o.Class], sim.slotWaits[-1-o.Tenant])
}

func (sim *Simulation) faultNode(f *workload.Fault, n *node) {
	if f.Kind == "clock" {
		n.adjustClock(int64(f.Wait), f.Factor)
		sim.afterFault(f, func() { n.adjustClock(0, 1) })
		return
	}
	if !n.alive {
		return
	}
	switch f.Kind {
	case "kill":
		sim.history.Excuse(n.processRecord, invariant.Interval{From: sim.now, To: invariant.Never})
		n.kill()
		sim.restartAfterFault(f, n)
	case "stop":
		sim.stopNode(f, n)
	case "freeze":
		n.pausedUntil = sim.now + int64(f.For)
		sim.history.Excuse(n.processRecord, invariant.Interval{From: sim.now, To: n.pausedUntil + catchUpTime})
	case "cut-node":
		for _, e := range sim.endpoints {
			if f.Zone == "" || e.spec.Zone == f.Zone {
				e.cutOff(n.index)
				sim.afterFault(f, func() { e.reconnect(n.index) })
			}
		}
	}
}

// afterFault schedules a function for the end of a fault that starts now, if the fault has an end.
func (sim *Simulation) afterFault(f *workload.Fault, do func()) {
	if f.For > 0 {
		sim.delay(int64(f.For), do)
	}
}

// restartAfterFault schedules the restart of a node, whose process has just ended, for the end of a fault.
func (sim *Simulation) restartAfterFault(f *workload.Fault, n *node) {
	sim.afterFault(f, sim.restartFunc(n))
}

// restartFunc returns a function that restarts a node, unless it has been restarted already.
func (sim *Simulation) restartFunc(n *node) func() {
	process := n.processRecord
	return func() {
		if n.processRecord == process && !n.alive {
			n.start()
			sim.delay(startDelay, n.becomeReady)
		}
	}
}

// stopNode shuts a node down gracefully: it accepts requests for a while, and ends once all requests have responses.
func (sim *Simulation) stopNode(f *workload.Fault, n *node) {
	process := n.processRecord
	n.stopping = true
	if n.membership != nil {
		n.membership.Leave()
	}
	sim.delay(frontStopDelay, func() {
		if n.processRecord == process {
			n.admitted = false
		}
	})
	var endWhenIdle func()
	endWhenIdle = func() {
		if n.processRecord != process || !n.alive {
			return
		}
		if slices.ContainsFunc(n.pendingOrder, func(p *pendingRequest) bool { return !p.answered }) {
			sim.delay(int64(10*time.Millisecond), endWhenIdle)
			return
		}
		sim.delay(sendDelay, func() {
			if n.processRecord == process {
				n.kill()
				sim.restartAfterFault(f, n)
			}
		})
	}
	sim.delay(stopAcceptTime, endWhenIdle)
}

// losePower ends the fault's nodes and endpoints, and discovery if all nodes are hit, at the same time. Each of them
// comes back after its own delay.
func (sim *Simulation) losePower(f *workload.Fault) {
	delay := int64(sim.scenario.Discovery.ChangeDelay)
	if f.Zone == "" && len(f.Nodes) == len(sim.nodes) {
		sim.discovery.setDown(true)
		if f.DiscoveryBack > 0 {
			sim.delay(int64(f.DiscoveryBack), func() { sim.discovery.setDown(false) })
		}
	}
	for i, target := range f.Nodes {
		n := sim.nodes[target]
		if !n.alive {
			continue
		}
		sim.history.Excuse(n.processRecord, invariant.Interval{From: sim.now, To: invariant.Never})
		n.kill()
		if f.NodesBack > 0 {
			sim.delay(f.RestoreDelay(f.NodesBack, f.Seed, i), sim.restartFunc(n))
		}
	}
	for i, target := range f.Targets {
		e := sim.endpoints[target]
		e.die()
		sim.discovery.set(e, model.Removed, delay)
		if f.EndpointsBack > 0 {
			sim.delay(f.RestoreDelay(f.EndpointsBack, f.Seed+1, i), func() { sim.restartEndpoint(e, delay) })
		}
	}
}

func (sim *Simulation) faultEndpoint(f *workload.Fault, e *endpoint) {
	switch f.Kind {
	case "slow", "pause", "crowd":
		sim.slowEndpoint(f, e)
	case "cut":
		e.cutOff(allNodes)
		sim.afterFault(f, func() { e.reconnect(allNodes) })
	case "die", "restart-servers", "replace":
		sim.endEndpoint(f, e)
	case "unlisted", "drain":
		sim.withdrawEndpoint(f, e)
	default:
		sim.misbehave(f, e)
	}
}

// slowEndpoint reduces the capacity of an endpoint.
func (sim *Simulation) slowEndpoint(f *workload.Fault, e *endpoint) {
	switch f.Kind {
	case "slow":
		sim.setSpeed(e, math.Max(f.Factor, minSpeedFactor))
		sim.afterFault(f, func() { sim.setSpeed(e, 1) })
	case "pause":
		e.model.Pause(sim.now, sim.now+int64(f.For))
		e.scheduleWake()
	case "crowd":
		concurrency, queue, incarnation := e.model.Concurrency, e.model.QueueLimit, e.incarnation
		e.model.Concurrency = max(1, int(float64(concurrency)*f.Factor))
		e.model.QueueLimit = int(float64(queue) * f.Factor)
		sim.afterFault(f, func() {
			if e.incarnation == incarnation {
				e.model.Concurrency, e.model.QueueLimit = concurrency, queue
			}
		})
	}
}

func (sim *Simulation) setSpeed(e *endpoint, factor float64) {
	e.model.SetSpeedFactor(sim.now, factor)
	e.nextWake = model.Never
	e.scheduleWake()
}

// misbehave makes an endpoint respond wrongly, or not at all.
func (sim *Simulation) misbehave(f *workload.Fault, e *endpoint) {
	incarnation := e.incarnation
	// change sets a fault now and removes it at its end. A new incarnation starts without faults.
	change := func(begin, end func(*endpointFaults)) {
		begin(&e.faults)
		sim.afterFault(f, func() {
			if e.incarnation == incarnation {
				end(&e.faults)
			}
		})
	}
	switch f.Kind {
	case "silent":
		change(func(faults *endpointFaults) { faults.unresponsive = true }, func(faults *endpointFaults) { faults.unresponsive = false })
	case "fail":
		change(func(faults *endpointFaults) { faults.fail = f.AttemptShare }, func(faults *endpointFaults) { faults.fail = 0 })
	case "turn-away":
		change(func(faults *endpointFaults) { faults.reject = f.AttemptShare }, func(faults *endpointFaults) { faults.reject = 0 })
	case "reset":
		change(func(faults *endpointFaults) { faults.reset = f.AttemptShare }, func(faults *endpointFaults) { faults.reset = 0 })
	case "spoil":
		change(
			func(faults *endpointFaults) { faults.corrupt, faults.corruptShare = f.How, f.AttemptShare },
			func(faults *endpointFaults) { faults.corrupt = "" },
		)
	}
}

// endEndpoint ends an endpoint, which is restarted or replaced later.
func (sim *Simulation) endEndpoint(f *workload.Fault, e *endpoint) {
	delay := int64(sim.scenario.Discovery.ChangeDelay)
	e.die()
	switch f.Kind {
	case "die":
		if f.How != "unnoticed" {
			sim.discovery.set(e, model.Removed, delay)
		}
		sim.afterFault(f, func() { sim.restartEndpoint(e, delay) })
	case "restart-servers":
		sim.restartEndpoint(e, delay)
	case "replace":
		sim.discovery.set(e, model.Removed, delay)
		spec := e.spec
		spec.Seed += 1 << 32
		spec.Index, spec.Name = len(sim.endpoints), spec.Name+"r"
		sim.discovery.set(sim.addEndpoint(spec, true), model.Up, delay)
	}
}

// withdrawEndpoint removes an endpoint from the list, or drains it.
func (sim *Simulation) withdrawEndpoint(f *workload.Fault, e *endpoint) {
	delay := int64(sim.scenario.Discovery.ChangeDelay)
	if f.Kind == "unlisted" {
		sim.discovery.set(e, model.Removed, delay)
		sim.afterFault(f, func() { sim.discovery.set(e, model.Up, delay) })
		return
	}
	e.draining = true
	sim.discovery.set(e, model.Draining, delay)
	sim.afterFault(f, func() {
		if f.How == "gone" {
			sim.discovery.set(e, model.Removed, 0)
			e.die()
			return
		}
		e.draining = false
		sim.discovery.set(e, model.Up, delay)
	})
}

// restartEndpoint starts an endpoint again, in slow start.
func (sim *Simulation) restartEndpoint(e *endpoint, delay int64) {
	if e.up {
		return
	}
	e.start(true)
	sim.discovery.set(e, model.Up, delay)
}
