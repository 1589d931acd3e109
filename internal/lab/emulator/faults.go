package emulator

// What each kind of fault does on sockets.

import (
	"fmt"
	"math"
	"syscall"
	"time"

	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
)

// frontStopDelay is how long connections still come to a node that stops.
const frontStopDelay = 300 * time.Millisecond

// startFaults starts faults as they are due.
func (d *Emulation) startFaults() error {
	for i := range d.plan.Faults {
		f := &d.plan.Faults[i]
		if !d.sleepUntil(int64(f.At)) {
			return nil
		}
		if err := d.startFault(f); err != nil {
			return fmt.Errorf("fault %d, %s: %w", f.Index, f.Kind, err)
		}
	}
	return nil
}

// startFault starts one fault, and has it end in time.
func (d *Emulation) startFault(f *workload.Fault) error {
	long := time.Duration(f.For)
	ends := func(do func()) {
		if long > 0 {
			d.after(long, do)
		}
	}
	if scenario.FaultTargets[f.Kind] == scenario.LinkTarget {
		return nil // the relays go by the schedule
	}
	switch f.Kind {
	case "power":
		d.losePower(f)
		return nil
	case "discovery-down":
		d.discovery.setDown(true)
		ends(func() { d.discovery.setDown(false) })
		return nil
	case "discovery-slow":
		set := func(v float64) {
			d.discovery.mu.Lock()
			defer d.discovery.mu.Unlock()
			d.discovery.slowdown = v
		}
		set(f.Factor)
		ends(func() { set(1) })
		return nil
	case "discovery-move":
		if err := d.discovery.move(); err != nil {
			return err
		}
		for _, n := range d.nodes {
			if err := n.reload(); err != nil {
				return err
			}
		}
		return nil
	case "lists-late":
		set := func(wait time.Duration) {
			d.discovery.mu.Lock()
			defer d.discovery.mu.Unlock()
			d.discovery.extraChangeDelay = wait
		}
		set(time.Duration(f.Wait))
		ends(func() { set(0) })
		return nil
	case "wait":
		set := func(by int64) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.slotWaits[waitKey(d.scenario, &f.Fault)] = by
		}
		set(int64(f.Wait))
		ends(func() { set(0) })
		return nil
	case "bad-clients":
		return nil // drawn ahead, each with its moment
	case "kill", "stop", "freeze", "cut-node", "state":
		for i, target := range f.Targets {
			d.after(time.Duration(f.Each)*time.Duration(i), func() { d.faultNode(f, d.nodes[target]) })
		}
		return nil
	}
	for i, target := range f.Targets {
		d.after(time.Duration(f.Each)*time.Duration(i), func() { d.faultEndpoint(f, d.endpointAt(target)) })
	}
	return nil
}

func (d *Emulation) faultNode(f *workload.Fault, n *node) {
	switch f.Kind {
	case "state":
		d.recordError(n.stateFault(f.How))
		return
	case "kill":
		n.kill()
	case "stop":
		if f.How == scenario.StopAmidSignals {
			n.signalSeries()
		}
		n.end(syscall.SIGTERM, false)
		d.after(frontStopDelay, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.admitted = false
		})
	case "freeze":
		n.pause(time.Duration(f.For))
		return
	case "cut-node":
		// Cut off from the endpoints of a zone, or from all. What is in flight it can still answer.
		for _, m := range d.endpoints() {
			if f.Zone == "" || m.spec.Zone == f.Zone {
				door := m.listeners[n.index]
				d.recordError(door.cutOff())
				if f.For > 0 {
					d.after(time.Duration(f.For), func() { d.recordError(door.reconnect()) })
				}
			}
		}
		return
	}
	if f.For > 0 {
		d.restartNodeLater(n, time.Duration(f.For))
	}
}

// losePower ends nodes, endpoints and discovery at one moment; each is back after a time of its own.
func (d *Emulation) losePower(f *workload.Fault) {
	whole := f.Zone == "" && len(f.Nodes) == d.scenario.Nodes.Count
	if whole {
		d.discovery.setDown(true)
		if f.DiscoveryBack > 0 {
			d.after(time.Duration(f.DiscoveryBack), func() { d.discovery.setDown(false) })
		}
	}
	for i, target := range f.Nodes {
		d.nodes[target].kill()
		if f.NodesBack > 0 {
			d.restartNodeLater(d.nodes[target], time.Duration(f.RestoreDelay(f.NodesBack, f.Seed, i)))
		}
	}
	for i, target := range f.Targets {
		m := d.endpointAt(target)
		m.stop()
		d.setListed(m, model.Removed, time.Duration(d.scenario.Discovery.ChangeDelay))
		if f.EndpointsBack > 0 {
			d.after(
				time.Duration(f.RestoreDelay(f.EndpointsBack, f.Seed+1, i)),
				func() { d.restartEndpoint(m, time.Duration(d.scenario.Discovery.ChangeDelay)) },
			)
		}
	}
}

// restartNodeLater starts a node again after a time.
func (d *Emulation) restartNodeLater(n *node, after time.Duration) {
	n.mu.Lock()
	p := n.handle
	n.mu.Unlock()
	// It restarts under its name and address, once the old process has ended.
	d.group.Go(func() error {
		select {
		case <-d.done:
			return nil
		case <-time.After(after):
		}
		select {
		case <-d.done:
			return nil
		case <-p.Done():
		}
		return n.start()
	})
}

// changeFaults sets a fault of an endpoint, and removes it in time, unless a new incarnation has done so.
func (d *Emulation) changeFaults(f *workload.Fault, m *endpoint, begin, end func(*endpointFaults)) {
	m.mu.Lock()
	life := m.incarnation
	begin(&m.faults)
	m.mu.Unlock()
	if f.For > 0 {
		d.after(time.Duration(f.For), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.incarnation == life {
				end(&m.faults)
			}
		})
	}
}

func (d *Emulation) faultEndpoint(f *workload.Fault, m *endpoint) {
	long, notice := time.Duration(f.For), time.Duration(d.scenario.Discovery.ChangeDelay)
	switch f.Kind {
	case "slow":
		m.mu.Lock()
		m.model.SetSpeedFactor(d.now(), math.Max(f.Factor, 0.001))
		m.mu.Unlock()
		m.wake()
		if long > 0 {
			d.after(long, func() {
				m.mu.Lock()
				m.model.SetSpeedFactor(d.now(), 1)
				m.mu.Unlock()
				m.wake()
			})
		}
	case "pause":
		m.mu.Lock()
		m.model.Pause(d.now(), d.now()+int64(f.For))
		m.mu.Unlock()
		m.wake()
	case "silent":
		d.changeFaults(f, m, func(t *endpointFaults) { t.unresponsive = true }, func(t *endpointFaults) { t.unresponsive = false })
	case "fail":
		d.changeFaults(
			f, m, func(t *endpointFaults) { t.fail = f.AttemptShare }, func(t *endpointFaults) { t.fail = 0 },
		)
	case "turn-away":
		d.changeFaults(
			f, m, func(t *endpointFaults) { t.reject = f.AttemptShare }, func(t *endpointFaults) { t.reject = 0 },
		)
	case "reset":
		d.changeFaults(
			f, m, func(t *endpointFaults) { t.reset = f.AttemptShare }, func(t *endpointFaults) { t.reset = 0 },
		)
	case "spoil":
		d.changeFaults(
			f, m, func(t *endpointFaults) { t.corrupt, t.corruptShare = f.How, f.AttemptShare },
			func(t *endpointFaults) { t.corrupt = "" },
		)
	case "crowd":
		m.mu.Lock()
		places, waiting := m.model.Concurrency, m.model.QueueLimit
		m.model.Concurrency, m.model.QueueLimit = max(1, int(float64(places)*f.Factor)), int(float64(waiting)*f.Factor)
		m.mu.Unlock()
		if long > 0 {
			d.after(long, func() {
				m.mu.Lock()
				m.model.Concurrency, m.model.QueueLimit = places, waiting
				m.mu.Unlock()
			})
		}
	case "cut":
		for _, door := range m.listeners {
			d.recordError(door.cutOff())
		}
		if long > 0 {
			d.after(long, func() {
				for _, door := range m.listeners {
					d.recordError(door.reconnect())
				}
			})
		}
	case "unlisted":
		d.setListed(m, model.Removed, notice)
		if long > 0 {
			d.after(long, func() { d.setListed(m, model.Up, notice) })
		}
	case "die":
		m.stop()
		if f.How != "unnoticed" {
			d.setListed(m, model.Removed, notice)
		}
		d.restartEndpointLater(f, m, notice)
	case "restart-servers":
		m.stop()
		d.restartEndpoint(m, notice)
	case "replace":
		d.replace(m, notice)
	case "drain":
		m.mu.Lock()
		m.draining = true
		m.mu.Unlock()
		d.setListed(m, model.Draining, notice)
		if f.How == "gone" {
			if long > 0 {
				d.after(long, func() {
					d.setListed(m, model.Removed, 0)
					m.stop()
				})
			}
			return
		}
		if long > 0 {
			d.after(long, func() {
				m.mu.Lock()
				m.draining = false
				m.mu.Unlock()
				d.setListed(m, model.Up, notice)
			})
		}
	}
}

func (d *Emulation) restartEndpointLater(f *workload.Fault, m *endpoint, notice time.Duration) {
	if f.For > 0 {
		d.after(time.Duration(f.For), func() { d.restartEndpoint(m, notice) })
	}
}

// revive starts an endpoint anew, in slow start.
func (d *Emulation) restartEndpoint(m *endpoint, notice time.Duration) {
	if err := m.start(true); err != nil {
		d.recordError(err)
		return
	}
	m.wake()
	d.setListed(m, model.Up, notice)
}

// replace puts a new endpoint, in slow start and under a new name, at the address of one that has ended.
func (d *Emulation) replace(old *endpoint, notice time.Duration) {
	old.stop()
	d.setListed(old, model.Removed, notice)
	var addresses []string
	for _, door := range old.listeners {
		addresses = append(addresses, door.address)
	}
	spec := old.spec
	spec.Seed += 1 << 32
	d.recordError(d.addEndpoint(spec, spec.Name+"r", addresses, notice))
}

// waitKey is the class that a wait strikes, or the tenant as a negative number.
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

// slotWait is for how long an attempt waits in its slot.
func (d *Emulation) slotWait(category, customer int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.slotWaits[category], d.slotWaits[-1-customer])
}
