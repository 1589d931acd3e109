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
	secondCallDelay   = int64(3 * time.Second) // after the first call, until a second one is made in parallel
	laterCallDelay    = int64(4 * time.Second) // until the third and fourth call; doubled for each further one
	refusalTime       = int64(time.Millisecond)
	callRetryInterval = int64(2 * time.Second) // a node calls again after this time if its decisions have not
	// maxCalls is the number of calls for one watch after which no further ones are made. The last ones are hours
	// apart.
	maxCalls = 16
)

type discovery struct {
	sim              *Simulation
	list             *model.EndpointList
	everListed       []int // endpoints that have ever been listed, in the order of their first listing
	wasListed        map[int]bool
	initial          []model.ListEntry
	down             bool
	outage           *invariant.Outage
	slowdown         float64
	extraChangeDelay int64
	busyUntil        int64 // when all calls that are queued now are handled
	queuedCalls      int
	watches          []*watch
}

// watch is one node's watch of the list. It starts with the first call for it.
type watch struct {
	node          *node
	processRecord *invariant.Process
	record        *invariant.Watch
	version       int64
	startedAt     int64
	scheduled     bool // an update is scheduled
	closed        bool
	calls         int  // number of calls made for the watch
	unanswered    int  // number of those without an answer
	blocked       bool // an update was lost on a cut link
}

func newDiscovery(sim *Simulation) *discovery {
	return &discovery{sim: sim, list: model.NewEndpointList(40), wasListed: map[int]bool{}, slowdown: 1}
}

// set changes an endpoint's entry in the list after a delay.
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
	if delay += d.extraChangeDelay; delay <= 0 {
		do()
		return
	}
	d.sim.delay(delay, do)
}

// entries converts list entries to the form that the decisions use.
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

// recordEntries records in the history which entries are written to a node. A complete list also tells the node which
// endpoints are removed.
func (d *discovery) recordEntries(n *node, list []model.ListEntry, complete bool) {
	written := make([]invariant.ListEntry, 0, len(list))
	listed := map[int]bool{}
	for _, l := range list {
		written = append(written, invariant.ListEntry{
			Node: n.index, Incarnation: n.processRecord.Incarnation, Endpoint: l.Endpoint, State: l.State,
			StartedAt: l.StartedAt, At: d.sim.now,
		})
		listed[l.Endpoint] = true
	}
	if complete {
		for _, endpoint := range d.everListed {
			if !listed[endpoint] {
				written = append(written, invariant.ListEntry{
					Node: n.index, Incarnation: n.processRecord.Incarnation, Endpoint: endpoint, State: model.Removed,
					At: d.sim.now,
				})
			}
		}
	}
	d.sim.history.RecordEntries(written...)
}

// startWatch starts a watch, unless the node has one.
func (n *node) startWatch() {
	if n.watch == nil {
		n.watch = &watch{node: n, processRecord: n.processRecord, version: n.version}
		n.watch.call()
	}
}

// call makes one call for a watch. As in a real node, further calls are made while it is pending. Discovery spends the
// time of each call, even if the node has closed it by then.
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
	if sim.discovery.down || sim.discovery.queuedCalls >= maxQueuedCalls { // refused without being queued
		sim.delay(refusalTime, func() { w.callEnded(0) })
		return
	}
	w.queueCall()
	w.scheduleNextCall()
}

// queueCall schedules the handling of a call after the calls that are already queued.
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
		cost = 0 // the call fails once discovery gets to it
	}
	discovery.busyUntil = begin + cost
	sim.at(discovery.busyUntil+sim.linkDelay(end, discoveryEnd)+sim.linkDelay(discoveryEnd, end), func() {
		discovery.queuedCalls--
		if w.closed || w.record != nil || n.processRecord != w.processRecord || !n.alive {
			return
		}
		if discovery.down || begin-arrivedAt+cost > timeout || cost == 0 && begin > arrivedAt {
			w.callEnded(1)
			return
		}
		w.open()
	})
}

// callCost returns the time that discovery takes to handle a call for changes after a version, in nanoseconds.
func (d *discovery) callCost(version int64) int64 {
	entries := len(d.list.Complete())
	if version > 0 {
		changed, _ := d.list.ChangesAfter(version)
		entries = len(changed)
	}
	c := &d.sim.scenario.Discovery
	return int64(d.slowdown * float64(int64(c.CallTime)+int64(c.EntryTime)*int64(entries)))
}

// scheduleNextCall schedules another call in parallel to the pending ones, unless one of them is answered before.
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
		if w.record == nil && !w.closed && n.processRecord == w.processRecord && n.alive {
			w.call()
		}
	})
}

// callEnded handles a call that ended without an answer. The watch fails once no call is pending. queued is 1 if the
// call counts as unanswered, and 0 if it was refused before it was queued.
func (w *watch) callEnded(queued int) {
	if w.unanswered -= queued; w.unanswered == 0 && w.record == nil {
		w.fail()
	}
}

// fail closes the watch and notifies the node.
func (w *watch) fail() {
	if w.closed {
		return
	}
	n := w.node
	sim := n.sim
	if w.record == nil {
		sim.history.RecordWatch(&invariant.Watch{
			Node: n.index, Incarnation: w.processRecord.Incarnation, From: sim.now, To: sim.now, Failed: true,
		})
	}
	w.close()
	if n.processRecord != w.processRecord || !n.alive {
		return
	}
	if n.settings.Policy.MustPollList {
		n.post(func() { n.decider.WatchFailed(policy.Time(n.clock())) })
		n.failedCalls++
		failures := n.failedCalls
		sim.delay(callRetryInterval, func() {
			// Otherwise the decisions have requested a watch before, which has failed too.
			if n.alive && n.processRecord == w.processRecord && n.failedCalls == failures {
				n.startWatch()
			}
		})
		return
	}
	// If updates are pushed, the node itself calls again.
	wait := n.callBackoff
	n.callBackoff = min(2*n.callBackoff, int64(maxCallBackoff))
	sim.delay(wait, func() {
		if n.alive && n.processRecord == w.processRecord {
			n.startWatch()
		}
	})
}

// close closes the watch and records its end.
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
		Node: w.node.index, Incarnation: w.processRecord.Incarnation, From: sim.now, To: invariant.Never,
	}
	sim.history.RecordWatch(w.record)
	w.startedAt = sim.now
	w.node.callBackoff = int64(firstCallBackoff)
	sim.discovery.watches = append(sim.discovery.watches, w)
	w.deliver()
}

// schedule schedules an update for the end of the watch's current update interval.
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
		w.blocked = true // the node gets the changes with its next watch
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

// setDown starts or ends an outage, during which discovery fails all calls. Its start closes all watches.
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
			w.fail() // the connection of its call is reset
		}
	}
	d.outage = &invariant.Outage{Node: -1, Interval: invariant.Interval{From: d.sim.now}}
	d.sim.history.RecordOutage(d.outage)
	for _, w := range append([]*watch(nil), d.watches...) {
		w.fail()
	}
}

// move simulates a move of discovery to another address: each node closes its watch and starts a new one from the
// complete list.
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
