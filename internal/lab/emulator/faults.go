package emulator

// This file owns what each kind of fault does, and when it ends. Who is hit and when is the plan's; it must never draw.

import (
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
	"fmt"
	"math"
	"syscall"
	"time"
)

// frontLeaves is how long connections go on coming to a node that was told to stop.
const frontLeaves = 300 * time.Millisecond

// timeline begins faults as they are due.
func (d *Day) timeline() error {
	for i := range d.plan.Faults {
		f := &d.plan.Faults[i]
		if !d.sleepUntil(int64(f.At)) {
			return nil
		}
		if err := d.begin(f); err != nil {
			return fmt.Errorf("fault %d, %s: %w", f.Index, f.Kind, err)
		}
	}
	return nil
}

// begin starts one fault, and has its end come in time.
func (d *Day) begin(f *workload.Fault) error {
	long := time.Duration(f.For)
	ends := func(do func()) {
		if long > 0 {
			d.later(long, do)
		}
	}
	if scenario.FaultTargets[f.Kind] == scenario.LinkTarget {
		return nil // the relays go by the schedule
	}
	switch f.Kind {
	case "power":
		d.power(f)
		return nil
	case "discovery-down":
		d.discovery.setDown(true)
		ends(func() { d.discovery.setDown(false) })
		return nil
	case "discovery-slow":
		set := func(v float64) {
			d.discovery.mu.Lock()
			defer d.discovery.mu.Unlock()
			d.discovery.slow = v
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
			d.discovery.late = wait
		}
		set(time.Duration(f.Wait))
		ends(func() { set(0) })
		return nil
	case "wait":
		set := func(by int64) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.holds[holdKey(d.scenario, &f.Fault)] = by
		}
		set(int64(f.Wait))
		ends(func() { set(0) })
		return nil
	case "bad-clients":
		return nil // drawn ahead, each with its moment
	case "kill", "stop", "freeze", "cut-node", "state":
		for i, target := range f.Targets {
			d.later(time.Duration(f.Each)*time.Duration(i), func() { d.hitNode(f, d.nodes[target]) })
		}
		return nil
	}
	for i, target := range f.Targets {
		d.later(time.Duration(f.Each)*time.Duration(i), func() { d.hitServer(f, d.machineAt(target)) })
	}
	return nil
}

func (d *Day) hitNode(f *workload.Fault, n *node) {
	switch f.Kind {
	case "state":
		d.report(n.stateFault(f.How))
		return
	case "kill":
		n.kill()
	case "stop":
		n.end(syscall.SIGTERM, false)
		d.later(frontLeaves, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.in = false
		})
	case "freeze":
		n.hold(time.Duration(f.For))
		return
	case "cut-node":
		// Cut off from the servers of a zone, or from all. What it holds it can still answer for.
		for _, m := range d.machines() {
			if f.Zone == "" || m.spec.Zone == f.Zone {
				door := m.doors[n.index]
				d.report(door.sever())
				if f.For > 0 {
					d.later(time.Duration(f.For), func() { d.report(door.heal()) })
				}
			}
		}
		return
	}
	if f.For > 0 {
		d.comesBack(n, time.Duration(f.For))
	}
}

// power takes nodes, servers and discovery away at one moment; each is back after a time of its own.
func (d *Day) power(f *workload.Fault) {
	whole := f.Zone == "" && len(f.Fault.Nodes) == d.scenario.Nodes.Count
	if whole {
		d.discovery.setDown(true)
		if f.DiscoveryBack > 0 {
			d.later(time.Duration(f.DiscoveryBack), func() { d.discovery.setDown(false) })
		}
	}
	for i, target := range f.Fault.Nodes {
		d.nodes[target].kill()
		if f.NodesBack > 0 {
			d.comesBack(d.nodes[target], time.Duration(f.RestoredAfter(f.NodesBack, f.Seed, i)))
		}
	}
	for i, target := range f.Targets {
		m := d.machineAt(target)
		m.stop()
		d.list(m, model.Removed, time.Duration(d.scenario.Discovery.ChangeDelay))
		if f.EndpointsBack > 0 {
			d.later(time.Duration(f.RestoredAfter(f.EndpointsBack, f.Seed+1, i)), func() { d.revive(m, time.Duration(d.scenario.Discovery.ChangeDelay)) })
		}
	}
}

// comesBack starts a node again after a time.
func (d *Day) comesBack(n *node, after time.Duration) {
	n.mu.Lock()
	p := n.proc
	n.mu.Unlock()
	// It comes back under its name and address, once the old process has ended.
	d.group.Go(func() error {
		select {
		case <-d.over:
			return nil
		case <-time.After(after):
		}
		select {
		case <-d.over:
			return nil
		case <-p.Done():
		}
		return n.start()
	})
}

// change sets a trouble of a server, and takes it away again in time, unless a new life has done so.
func (d *Day) change(f *workload.Fault, m *machine, begin, end func(*trouble)) {
	m.mu.Lock()
	life := m.life
	begin(&m.trouble)
	m.mu.Unlock()
	if f.For > 0 {
		d.later(time.Duration(f.For), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.life == life {
				end(&m.trouble)
			}
		})
	}
}

func (d *Day) hitServer(f *workload.Fault, m *machine) {
	long, notice := time.Duration(f.For), time.Duration(d.scenario.Discovery.ChangeDelay)
	switch f.Kind {
	case "slow":
		m.mu.Lock()
		m.model.SetSpeedFactor(d.now(), math.Max(f.Factor, 0.001))
		m.mu.Unlock()
		m.wake()
		if long > 0 {
			d.later(long, func() {
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
		d.change(f, m, func(t *trouble) { t.silent = true }, func(t *trouble) { t.silent = false })
	case "fail":
		d.change(f, m, func(t *trouble) { t.fail = f.AttemptShare }, func(t *trouble) { t.fail = 0 })
	case "turn-away":
		d.change(f, m, func(t *trouble) { t.turn = f.AttemptShare }, func(t *trouble) { t.turn = 0 })
	case "reset":
		d.change(f, m, func(t *trouble) { t.reset = f.AttemptShare }, func(t *trouble) { t.reset = 0 })
	case "spoil":
		d.change(f, m, func(t *trouble) { t.spoil, t.spoilShare = f.How, f.AttemptShare }, func(t *trouble) { t.spoil = "" })
	case "crowd":
		m.mu.Lock()
		places, waiting := m.model.Concurrency, m.model.QueueLimit
		m.model.Concurrency, m.model.QueueLimit = max(1, int(float64(places)*f.Factor)), int(float64(waiting)*f.Factor)
		m.mu.Unlock()
		if long > 0 {
			d.later(long, func() {
				m.mu.Lock()
				m.model.Concurrency, m.model.QueueLimit = places, waiting
				m.mu.Unlock()
			})
		}
	case "cut":
		for _, door := range m.doors {
			d.report(door.sever())
		}
		if long > 0 {
			d.later(long, func() {
				for _, door := range m.doors {
					d.report(door.heal())
				}
			})
		}
	case "unlisted":
		d.list(m, model.Removed, notice)
		if long > 0 {
			d.later(long, func() { d.list(m, model.Up, notice) })
		}
	case "die":
		m.stop()
		if f.How != "unnoticed" {
			d.list(m, model.Removed, notice)
		}
		d.comeBack(f, m, notice)
	case "restart-servers":
		m.stop()
		d.revive(m, notice)
	case "replace":
		d.replace(m, notice)
	case "drain":
		m.mu.Lock()
		m.draining = true
		m.mu.Unlock()
		d.list(m, model.Draining, notice)
		if f.How == "gone" {
			if long > 0 {
				d.later(long, func() {
					d.list(m, model.Removed, 0)
					m.stop()
				})
			}
			return
		}
		if long > 0 {
			d.later(long, func() {
				m.mu.Lock()
				m.draining = false
				m.mu.Unlock()
				d.list(m, model.Up, notice)
			})
		}
	}
}

func (d *Day) comeBack(f *workload.Fault, m *machine, notice time.Duration) {
	if f.For > 0 {
		d.later(time.Duration(f.For), func() { d.revive(m, notice) })
	}
}

// revive starts a server anew, cold.
func (d *Day) revive(m *machine, notice time.Duration) {
	if err := m.start(true); err != nil {
		d.report(err)
		return
	}
	m.wake()
	d.list(m, model.Up, notice)
}

// replace puts a new machine, cold and under a new name, at the address of one that has gone.
func (d *Day) replace(old *machine, notice time.Duration) {
	old.stop()
	d.list(old, model.Removed, notice)
	var addresses []string
	for _, door := range old.doors {
		addresses = append(addresses, door.address)
	}
	spec := old.spec
	spec.Seed += 1 << 32
	d.report(d.addMachine(spec, spec.Name+"r", addresses, notice))
}

// holdKey is the category, or the customer as a negative number, that a wait strikes.
func holdKey(s *scenario.Scenario, f *scenario.Fault) int {
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

// hold is for how long a task waits in its place.
func (d *Day) hold(category, customer int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.holds[category], d.holds[-1-customer])
}
