package emulator

// The effects of faults on sockets.

import (
	"fmt"
	"math"
	"syscall"
	"time"

	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
)

// frontStopDelay is how long the front still sends requests to a node that stops.
const frontStopDelay = 300 * time.Millisecond

// startFaults starts the faults when they are due.
func (run *Emulation) startFaults() error {
	for i := range run.plan.Faults {
		f := &run.plan.Faults[i]
		if !run.sleepUntil(int64(f.At)) {
			return nil
		}
		if err := run.startFault(f); err != nil {
			return fmt.Errorf("fault %d, %s: %w", f.Index, f.Kind, err)
		}
	}
	return nil
}

// startFault starts a fault and schedules its end.
func (run *Emulation) startFault(f *workload.Fault) error {
	duration := time.Duration(f.For)
	afterFault := func(do func()) {
		if duration > 0 {
			run.after(duration, do)
		}
	}
	if scenario.FaultTargets[f.Kind] == scenario.LinkTarget {
		return nil // the proxies apply the schedule of link faults
	}
	switch f.Kind {
	case "power":
		run.losePower(f)
		return nil
	case "discovery-down":
		run.discovery.setDown(true)
		afterFault(func() { run.discovery.setDown(false) })
		return nil
	case "discovery-slow":
		set := func(v float64) {
			run.discovery.mu.Lock()
			defer run.discovery.mu.Unlock()
			run.discovery.slowdown = v
		}
		set(f.Factor)
		afterFault(func() { set(1) })
		return nil
	case "discovery-move":
		if err := run.discovery.move(); err != nil {
			return err
		}
		for _, n := range run.nodes {
			if err := n.reload(); err != nil {
				return err
			}
		}
		return nil
	case "lists-late":
		set := func(wait time.Duration) {
			run.discovery.mu.Lock()
			defer run.discovery.mu.Unlock()
			run.discovery.extraChangeDelay = wait
		}
		set(time.Duration(f.Wait))
		afterFault(func() { set(0) })
		return nil
	case "wait":
		set := func(by int64) {
			run.mu.Lock()
			defer run.mu.Unlock()
			run.slotWaits[waitKey(run.scenario, &f.Fault)] = by
		}
		set(int64(f.Wait))
		afterFault(func() { set(0) })
		return nil
	case "bad-clients":
		return nil // the plan has each bad client with its due time
	case "kill", "stop", "freeze", "cut-node", "state":
		for i, target := range f.Targets {
			run.after(time.Duration(f.Each)*time.Duration(i), func() { run.faultNode(f, run.nodes[target]) })
		}
		return nil
	}
	for i, target := range f.Targets {
		run.after(time.Duration(f.Each)*time.Duration(i), func() { run.faultEndpoint(f, run.endpointAt(target)) })
	}
	return nil
}

func (run *Emulation) faultNode(f *workload.Fault, n *node) {
	switch f.Kind {
	case "state":
		run.recordError(n.stateFault(f.How))
		return
	case "kill":
		n.kill()
	case "stop":
		if f.How == scenario.StopAmidSignals {
			n.signalSeries()
		}
		n.end(syscall.SIGTERM, false)
		run.after(frontStopDelay, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.admitted = false
		})
	case "freeze":
		n.pause(time.Duration(f.For))
		return
	case "cut-node":
		// The node loses its links to the endpoints of a zone, or to all, but not those to clients.
		for _, e := range run.endpoints() {
			if f.Zone == "" || e.spec.Zone == f.Zone {
				l := e.listeners[n.index]
				run.recordError(l.cutOff())
				if f.For > 0 {
					run.after(time.Duration(f.For), func() { run.recordError(l.reconnect()) })
				}
			}
		}
		return
	}
	if f.For > 0 {
		run.restartNodeLater(n, time.Duration(f.For))
	}
}

// losePower ends the fault's nodes and endpoints, and discovery if all nodes are hit, at the same time. Each of them
// comes back after its own delay.
func (run *Emulation) losePower(f *workload.Fault) {
	everything := f.Zone == "" && len(f.Nodes) == run.scenario.Nodes.Count
	if everything {
		run.discovery.setDown(true)
		if f.DiscoveryBack > 0 {
			run.after(time.Duration(f.DiscoveryBack), func() { run.discovery.setDown(false) })
		}
	}
	for i, target := range f.Nodes {
		run.nodes[target].kill()
		if f.NodesBack > 0 {
			run.restartNodeLater(run.nodes[target], time.Duration(f.RestoreDelay(f.NodesBack, f.Seed, i)))
		}
	}
	for i, target := range f.Targets {
		e := run.endpointAt(target)
		e.stop()
		run.setListed(e, model.Removed, time.Duration(run.scenario.Discovery.ChangeDelay))
		if f.EndpointsBack > 0 {
			run.after(
				time.Duration(f.RestoreDelay(f.EndpointsBack, f.Seed+1, i)),
				func() { run.restartEndpoint(e, time.Duration(run.scenario.Discovery.ChangeDelay)) },
			)
		}
	}
}

// restartNodeLater starts a node again after a delay.
func (run *Emulation) restartNodeLater(n *node, after time.Duration) {
	n.mu.Lock()
	process := n.handle
	n.mu.Unlock()
	// The new process has the same name and address, so the old one must have ended.
	run.group.Go(func() error {
		select {
		case <-run.done:
			return nil
		case <-time.After(after):
		}
		select {
		case <-run.done:
			return nil
		case <-process.Done():
		}
		return n.start()
	})
}

// changeFaults sets a fault of an endpoint now and removes it at its end. A new incarnation starts without faults.
func (run *Emulation) changeFaults(f *workload.Fault, e *endpoint, begin, end func(*endpointFaults)) {
	e.mu.Lock()
	incarnation := e.incarnation
	begin(&e.faults)
	e.mu.Unlock()
	if f.For > 0 {
		run.after(time.Duration(f.For), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.incarnation == incarnation {
				end(&e.faults)
			}
		})
	}
}

func (run *Emulation) faultEndpoint(f *workload.Fault, e *endpoint) {
	duration, delay := time.Duration(f.For), time.Duration(run.scenario.Discovery.ChangeDelay)
	switch f.Kind {
	case "slow":
		e.mu.Lock()
		e.model.SetSpeedFactor(run.now(), math.Max(f.Factor, 0.001))
		e.mu.Unlock()
		e.wake()
		if duration > 0 {
			run.after(duration, func() {
				e.mu.Lock()
				e.model.SetSpeedFactor(run.now(), 1)
				e.mu.Unlock()
				e.wake()
			})
		}
	case "pause":
		e.mu.Lock()
		e.model.Pause(run.now(), run.now()+int64(f.For))
		e.mu.Unlock()
		e.wake()
	case "silent":
		run.changeFaults(f, e, func(t *endpointFaults) { t.unresponsive = true }, func(t *endpointFaults) { t.unresponsive = false })
	case "fail":
		run.changeFaults(
			f, e, func(t *endpointFaults) { t.fail = f.AttemptShare }, func(t *endpointFaults) { t.fail = 0 },
		)
	case "turn-away":
		run.changeFaults(
			f, e, func(t *endpointFaults) { t.reject = f.AttemptShare }, func(t *endpointFaults) { t.reject = 0 },
		)
	case "reset":
		run.changeFaults(
			f, e, func(t *endpointFaults) { t.reset = f.AttemptShare }, func(t *endpointFaults) { t.reset = 0 },
		)
	case "spoil":
		run.changeFaults(
			f, e, func(t *endpointFaults) { t.corrupt, t.corruptShare = f.How, f.AttemptShare },
			func(t *endpointFaults) { t.corrupt = "" },
		)
	case "crowd":
		e.mu.Lock()
		concurrency, queueLimit := e.model.Concurrency, e.model.QueueLimit
		e.model.Concurrency, e.model.QueueLimit = max(1, int(float64(concurrency)*f.Factor)), int(float64(queueLimit)*f.Factor)
		e.mu.Unlock()
		if duration > 0 {
			run.after(duration, func() {
				e.mu.Lock()
				e.model.Concurrency, e.model.QueueLimit = concurrency, queueLimit
				e.mu.Unlock()
			})
		}
	case "cut":
		for _, l := range e.listeners {
			run.recordError(l.cutOff())
		}
		if duration > 0 {
			run.after(duration, func() {
				for _, l := range e.listeners {
					run.recordError(l.reconnect())
				}
			})
		}
	case "unlisted":
		run.setListed(e, model.Removed, delay)
		if duration > 0 {
			run.after(duration, func() { run.setListed(e, model.Up, delay) })
		}
	case "die":
		e.stop()
		if f.How != "unnoticed" {
			run.setListed(e, model.Removed, delay)
		}
		run.restartEndpointLater(f, e, delay)
	case "restart-servers":
		e.stop()
		run.restartEndpoint(e, delay)
	case "replace":
		run.replace(e, delay)
	case "drain":
		e.mu.Lock()
		e.draining = true
		e.mu.Unlock()
		run.setListed(e, model.Draining, delay)
		if f.How == "gone" {
			if duration > 0 {
				run.after(duration, func() {
					run.setListed(e, model.Removed, 0)
					e.stop()
				})
			}
			return
		}
		if duration > 0 {
			run.after(duration, func() {
				e.mu.Lock()
				e.draining = false
				e.mu.Unlock()
				run.setListed(e, model.Up, delay)
			})
		}
	}
}

func (run *Emulation) restartEndpointLater(f *workload.Fault, e *endpoint, delay time.Duration) {
	if f.For > 0 {
		run.after(time.Duration(f.For), func() { run.restartEndpoint(e, delay) })
	}
}

// restartEndpoint starts an endpoint again, in slow start.
func (run *Emulation) restartEndpoint(e *endpoint, delay time.Duration) {
	if err := e.start(true); err != nil {
		run.recordError(err)
		return
	}
	e.wake()
	run.setListed(e, model.Up, delay)
}

// replace ends an endpoint and starts a new one with another name at the same addresses, in slow start.
func (run *Emulation) replace(old *endpoint, delay time.Duration) {
	old.stop()
	run.setListed(old, model.Removed, delay)
	var addresses []string
	for _, l := range old.listeners {
		addresses = append(addresses, l.address)
	}
	spec := old.spec
	spec.Seed += 1 << 32
	run.recordError(run.addEndpoint(spec, spec.Name+"r", addresses, delay))
}

// waitKey returns the key in slotWaits for a wait fault: the index of its class, or a negative number for its tenant.
func waitKey(s *scenario.Scenario, f *scenario.Fault) int {
	for i := range s.Tenants {
		if f.Tenant != "" && s.Tenants[i].Name == f.Tenant {
			return -1 - i
		}
	}
	for i := range s.Classes {
		if s.Classes[i].Name == f.Class {
			return i
		}
	}
	return len(s.Classes)
}

// slotWait returns how long an attempt waits in its slot because of wait faults, in nanoseconds.
func (run *Emulation) slotWait(class, tenant int) int64 {
	run.mu.Lock()
	defer run.mu.Unlock()
	return max(run.slotWaits[class], run.slotWaits[-1-tenant])
}
