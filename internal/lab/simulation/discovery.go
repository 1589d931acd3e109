package simulation

import (
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/trace"
	"fawnglade/policy"
)

const (
	maxQueuedCalls    = 256
	secondCallDelay   = int64(3 * time.Second) // a second call is made beside one that waits so long
	laterCallDelay    = int64(4 * time.Second) // and so long later a third and fourth; then ever later
	refusalTime       = int64(time.Millisecond)
	callRetryInterval = int64(2 * time.Second) // whatever the decisions wait
	// maxCalls for one watch; the last of them are days apart.
	maxCalls = 16
)

type discovery struct {
	sim         *Simulation
	list        *model.EndpointList
	everListed  []int // endpoints listed at any time, in order of their first listing
	wasListed   map[int]bool
	initial     []model.ListEntry
	down        bool
	outage      *invariant.Outage
	slowdown    float64
	changeDelay int64
	busyUntil   int64 // with calls in turn
	queuedCalls int
	watches     []*watch
}

// watch is one node's watch of the list, from its first call.
type watch struct {
	node       *node
	process    *invariant.Process
	record     *invariant.Watch
	version    int64
	startedAt  int64
	scheduled  bool // a delivery is scheduled
	closed     bool
	calls      int  // made for it
	unanswered int  // of those
	blocked    bool // an update could not pass a cut link
}

func newDiscovery(sim *Simulation) *discovery {
	return &discovery{sim: sim, list: model.NewEndpointList(40), wasListed: map[int]bool{}, slowdown: 1}
}

// set changes the list after a delay.
func (d *discovery) set(e *endpoint, state model.State, delay int64) {
	entry := model.ListEntry{Endpoint: e.spec.Index, State: state, StartedAt: e.startedAt}
	do := func() {
		d.list.Set(entry)
		if !d.wasListed[entry.Endpoint] {
			d.wasListed[entry.Endpoint] = true
			d.everListed = append(d.everListed, entry.Endpoint)
		}
		d.sim.history.RecordListChange(invariant.ListChange{
			Endpoint: entry.Endpoint, State: state, At: d.sim.now, StartedAt: entry.StartedAt,
		})
		for _, w := range d.watches {
			w.schedule()
		}
	}
	if delay += d.changeDelay; delay <= 0 {
		do()
		return
	}
	d.sim.delay(delay, do)
}

// entries converts a list for the decisions.
func (d *discovery) entries(list []model.ListEntry) []policy.EndpointInfo {
	entries := make([]policy.EndpointInfo, 0, len(list))
	for _, l := range list {
		e := d.sim.endpoints[l.Endpoint]
		zone := -1
		for z, name := range d.sim.scenario.Network.Zones {
			if name == e.spec.Zone {
				zone = z
			}
		}
		entries = append(entries, policy.EndpointInfo{
			ID: e.id, Zone: zone, Pod: e.spec.Pod, Weight: 1, StartedAt: policy.Time(l.StartedAt),
			State: [...]policy.EndpointState{
				model.Up: policy.StateActive, model.Draining: policy.StateDraining, model.Removed: policy.StateRemoved,
			}[l.State],
		})
	}
	return entries
}

// recordEntries records what is written to a node.
func (d *discovery) recordEntries(n *node, list []model.ListEntry, complete bool) {
	written := make([]invariant.ListEntry, 0, len(list))
	listed := map[int]bool{}
	for _, l := range list {
		written = append(written, invariant.ListEntry{
			Node: n.index, Incarnation: n.record.Incarnation, Endpoint: l.Endpoint, State: l.State,
			StartedAt: l.StartedAt, At: d.sim.now,
		})
		listed[l.Endpoint] = true
	}
	if complete {
		for _, endpoint := range d.everListed {
			if !listed[endpoint] {
				written = append(written, invariant.ListEntry{
					Node: n.index, Incarnation: n.record.Incarnation, Endpoint: endpoint, State: model.Removed,
					At: d.sim.now,
				})
			}
		}
	}
	d.sim.history.RecordEntries(written...)
}

// startWatch begins a watch; a node has one at a time.
func (n *node) startWatch() {
	if n.watch == nil {
		n.watch = &watch{node: n, process: n.record, version: n.version}
		n.watch.call()
	}
}

// call makes one call for a watch. One that waits is kept, and others are made beside it as the node does: each costs
// discovery a turn, whether or not it is closed before.
func (w *watch) call() {
	n := w.node
	sim := n.sim
	sim.count(func(t *trace.FleetActivity) { t.ListCalls++ })
	end := n.linkEnd()
	if blocked, refused := sim.cannotConnect(end, discoveryEnd); blocked {
		after := int64(discoveryConnectTimeout)
		if refused {
			after = refusalTime
		}
		sim.delay(after, func() { w.callEnded(0) })
		return
	}
	if sim.discovery.down || sim.discovery.queuedCalls >= maxQueuedCalls { // as on sockets it takes no turn
		sim.delay(refusalTime, func() { w.callEnded(0) })
		return
	}
	w.queueCall()
	w.scheduleNextCall()
}

// queueCall has discovery handle a call when its turn comes.
func (w *watch) queueCall() {
	n := w.node
	sim := n.sim
	discovery, end := sim.discovery, n.linkEnd()
	w.calls++
	w.unanswered++
	discovery.queuedCalls++
	arrivedAt := sim.now
	begin := max(sim.now, discovery.busyUntil)
	cost := discovery.callCost(w.version)
	timeout := int64(sim.scenario.Discovery.CallTimeout)
	if begin-arrivedAt+cost > timeout {
		cost = 0 // it fails when its turn has come
	}
	discovery.busyUntil = begin + cost
	sim.at(discovery.busyUntil+sim.linkDelay(end, discoveryEnd)+sim.linkDelay(discoveryEnd, end), func() {
		discovery.queuedCalls--
		if w.closed || w.record != nil || n.record != w.process || !n.alive {
			return
		}
		if discovery.down || begin-arrivedAt+cost > timeout || cost == 0 && begin > arrivedAt {
			w.callEnded(1)
			return
		}
		w.open()
	})
}

// callCost is the time that a call for changes after a version takes.
func (d *discovery) callCost(version int64) int64 {
	entries := len(d.list.Complete())
	if version > 0 {
		changed, _ := d.list.ChangesAfter(version)
		entries = len(changed)
	}
	c := &d.sim.scenario.Discovery
	return int64(d.slowdown * float64(int64(c.CallTime)+int64(c.EntryTime)*int64(entries)))
}

// scheduleNextCall makes another call beside the ones that wait, unless one is answered before.
func (w *watch) scheduleNextCall() {
	if w.calls > maxCalls {
		return
	}
	gap := secondCallDelay
	if w.calls > 1 {
		gap = laterCallDelay << max(w.calls-3, 0)
	}
	n := w.node
	n.sim.delay(gap, func() {
		if w.record == nil && !w.closed && n.record == w.process && n.alive {
			w.call()
		}
	})
}

// callEnded takes the end of a call without an answer; the watch has failed once none is open.
func (w *watch) callEnded(queued int) {
	if w.unanswered -= queued; w.unanswered == 0 && w.record == nil {
		w.fail()
	}
}

// fail ends the watch and notifies the node.
func (w *watch) fail() {
	if w.closed {
		return
	}
	n := w.node
	sim := n.sim
	if w.record == nil {
		sim.history.RecordWatch(&invariant.Watch{
			Node: n.index, Incarnation: w.process.Incarnation, From: sim.now, To: sim.now, Failed: true,
		})
	}
	w.close()
	if n.record != w.process || !n.alive {
		return
	}
	if n.settings.Policy.MustPollList {
		n.post(func() { n.decider.WatchFailed(policy.Time(n.clock())) })
		n.failedCalls++
		failures := n.failedCalls
		sim.delay(callRetryInterval, func() {
			// else the decisions have asked sooner, and that failed too
			if n.alive && n.record == w.process && n.failedCalls == failures {
				n.startWatch()
			}
		})
		return
	}
	// Where lists are pushed the node calls by itself.
	wait := n.callBackoff
	n.callBackoff = min(2*n.callBackoff, int64(maxCallBackoff))
	sim.delay(wait, func() {
		if n.alive && n.record == w.process {
			n.startWatch()
		}
	})
}

// close ends a watch.
func (w *watch) close() {
	w.closed = true
	if w.record != nil && w.record.To == invariant.Never {
		w.record.To = w.node.sim.now
	}
	if w.node.watch == w {
		w.node.watch = nil
	}
	list := w.node.sim.discovery.watches
	for i, one := range list {
		if one == w {
			w.node.sim.discovery.watches = append(list[:i:i], list[i+1:]...)
			break
		}
	}
}

func (w *watch) open() {
	sim := w.node.sim
	w.record = &invariant.Watch{
		Node: w.node.index, Incarnation: w.process.Incarnation, From: sim.now, To: invariant.Never,
	}
	sim.history.RecordWatch(w.record)
	w.startedAt = sim.now
	w.node.callBackoff = int64(firstCallBackoff)
	sim.discovery.watches = append(sim.discovery.watches, w)
	w.deliver()
}

// schedule has changes delivered at the watch's next interval.
func (w *watch) schedule() {
	if w.scheduled || w.closed {
		return
	}
	w.scheduled = true
	period := int64(w.node.sim.scenario.Discovery.UpdateInterval)
	since := w.node.sim.now - w.startedAt
	w.node.sim.at(w.startedAt+(since/period+1)*period, w.deliver)
}

func (w *watch) deliver() {
	if w.scheduled = false; w.closed {
		return
	}
	if !w.node.sim.links.Open(w.node.sim.now, discoveryEnd, w.node.linkEnd()) {
		w.blocked = true // changes come with the next watch
		return
	}
	n, discovery := w.node, w.node.sim.discovery
	entries, complete := discovery.list.ChangesAfter(w.version)
	first := w.version == 0
	if !first && discovery.list.Version() == w.version {
		return
	}
	w.version = discovery.list.Version()
	n.version = w.version
	discovery.recordEntries(n, entries, complete)
	if !n.hasList {
		if n.hasList = true; n.running {
			n.becomeReady()
		}
	}
	if n.listGossip.watchUpdated(n, w.version, entries, complete) {
		return
	}
	list := discovery.entries(entries)
	n.post(func() {
		n.decider.EndpointsUpdated(policy.Time(n.clock()), list, complete)
		for _, l := range list {
			if l.State != policy.StateActive && !n.settings.Policy.RemovedMayServe {
				n.CloseIdle(l.ID)
			}
		}
	})
}

// setDown makes discovery fail its calls and end its watches, or work again.
func (d *discovery) setDown(down bool) {
	if d.down == down {
		return
	}
	if d.down = down; !down {
		d.outage.To = d.sim.now
		return
	}
	d.busyUntil = d.sim.now
	for _, n := range d.sim.nodes {
		if w := n.watch; w != nil && w.record == nil && w.unanswered > 0 {
			w.fail() // its connection is reset
		}
	}
	d.outage = &invariant.Outage{Node: -1, Span: invariant.Span{From: d.sim.now}}
	d.sim.history.RecordOutage(d.outage)
	for _, w := range append([]*watch(nil), d.watches...) {
		w.fail()
	}
}

// move has every node leave its watch for another address, where it asks for the complete list.
func (d *discovery) move() {
	for _, n := range d.sim.nodes {
		if !n.alive {
			continue
		}
		if n.watch != nil {
			n.watch.close()
		}
		n.version = 0
		n.startWatch()
	}
}
