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
	sim              *Simulation
	list             *model.EndpointList
	everListed       []int // endpoints listed at any time, in order of their first listing
	wasListed        map[int]bool
	initial          []model.ListEntry
	down             bool
	outage           *invariant.Outage
	slowdown         float64
	extraChangeDelay int64
	busyUntil        int64 // with calls in turn
	queuedCalls      int
	watches          []*watch
}

// watch is one node's watch of the list, from its first call.
type watch struct {
	node          *node
	processRecord *invariant.Process
	record        *invariant.Watch
	version       int64
	startedAt     int64
	scheduled     bool // a delivery is scheduled
	closed        bool
	calls         int  // made for it
	unanswered    int  // of those
	blocked       bool // an update could not pass a cut link
}

func newDiscovery(d *Simulation) *discovery {
	return &discovery{sim: d, list: model.NewEndpointList(40), wasListed: map[int]bool{}, slowdown: 1}
}

// set changes the list after a delay.
func (s *discovery) set(m *endpoint, h model.State, notice int64) {
	entry := model.ListEntry{Endpoint: m.spec.Index, State: h, StartedAt: m.startedAt}
	do := func() {
		s.list.Set(entry)
		if !s.wasListed[entry.Endpoint] {
			s.wasListed[entry.Endpoint] = true
			s.everListed = append(s.everListed, entry.Endpoint)
		}
		s.sim.history.RecordListChange(invariant.ListChange{
			Endpoint: entry.Endpoint, State: h, At: s.sim.now, StartedAt: entry.StartedAt,
		})
		for _, w := range s.watches {
			w.schedule()
		}
	}
	if notice += s.extraChangeDelay; notice <= 0 {
		do()
		return
	}
	s.sim.after(notice, do)
}

// entries converts a list for the decisions.
func (s *discovery) entries(list []model.ListEntry) []policy.EndpointInfo {
	out := make([]policy.EndpointInfo, 0, len(list))
	for _, l := range list {
		m := s.sim.endpoints[l.Endpoint]
		zone := -1
		for z, name := range s.sim.scenario.Network.Zones {
			if name == m.spec.Zone {
				zone = z
			}
		}
		out = append(out, policy.EndpointInfo{
			ID: m.id, Zone: zone, Pod: m.spec.Pod, Weight: 1, StartedAt: policy.Time(l.StartedAt),
			State: [...]policy.EndpointState{
				model.Up: policy.StateActive, model.Draining: policy.StateDraining, model.Removed: policy.StateRemoved,
			}[l.State],
		})
	}
	return out
}

// recordEntries records what is written to a node.
func (s *discovery) recordEntries(n *node, list []model.ListEntry, whole bool) {
	told := make([]invariant.ListEntry, 0, len(list))
	listed := map[int]bool{}
	for _, l := range list {
		told = append(told, invariant.ListEntry{
			Node: n.index, Incarnation: n.processRecord.Incarnation, Endpoint: l.Endpoint, State: l.State,
			StartedAt: l.StartedAt, At: s.sim.now,
		})
		listed[l.Endpoint] = true
	}
	if whole {
		for _, endpoint := range s.everListed {
			if !listed[endpoint] {
				told = append(told, invariant.ListEntry{
					Node: n.index, Incarnation: n.processRecord.Incarnation, Endpoint: endpoint, State: model.Removed,
					At: s.sim.now,
				})
			}
		}
	}
	s.sim.history.RecordEntries(told...)
}

// startWatch begins a watch; a node has one at a time.
func (n *node) startWatch() {
	if n.watch == nil {
		n.watch = &watch{node: n, processRecord: n.processRecord, version: n.version}
		n.watch.call()
	}
}

// call makes one call for a watch. One that waits is kept, and others are made beside it as the node does: each costs
// discovery a turn, whether or not it is closed before.
func (w *watch) call() {
	n := w.node
	d := n.sim
	d.count(func(t *trace.FleetActivity) { t.ListCalls++ })
	end := n.linkEnd()
	if blocked, refused := d.cannotConnect(end, discoveryEnd); blocked {
		after := int64(discoveryConnectTimeout)
		if refused {
			after = refusalTime
		}
		d.after(after, func() { w.callEnded(0) })
		return
	}
	if d.discovery.down || d.discovery.queuedCalls >= maxQueuedCalls { // as on sockets it takes no turn
		d.after(refusalTime, func() { w.callEnded(0) })
		return
	}
	w.queueCall()
	w.scheduleNextCall()
}

// queueCall has discovery handle a call when its turn comes.
func (w *watch) queueCall() {
	n := w.node
	d := n.sim
	s, end := d.discovery, n.linkEnd()
	w.calls++
	w.unanswered++
	s.queuedCalls++
	came := d.now
	begin := max(d.now, s.busyUntil)
	cost := s.callCost(w.version)
	timeout := int64(d.scenario.Discovery.CallTimeout)
	if begin-came+cost > timeout {
		cost = 0 // it fails when its turn has come
	}
	s.busyUntil = begin + cost
	d.at(s.busyUntil+d.linkDelay(end, discoveryEnd)+d.linkDelay(discoveryEnd, end), func() {
		s.queuedCalls--
		if w.closed || w.record != nil || n.processRecord != w.processRecord || !n.alive {
			return
		}
		if s.down || begin-came+cost > timeout || cost == 0 && begin > came {
			w.callEnded(1)
			return
		}
		w.open()
	})
}

// callCost is the time that a call for changes after a version takes.
func (s *discovery) callCost(version int64) int64 {
	entries := len(s.list.Complete())
	if version > 0 {
		changed, _ := s.list.ChangesAfter(version)
		entries = len(changed)
	}
	c := &s.sim.scenario.Discovery
	return int64(s.slowdown * float64(int64(c.CallTime)+int64(c.EntryTime)*int64(entries)))
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
	n.sim.after(gap, func() {
		if w.record == nil && !w.closed && n.processRecord == w.processRecord && n.alive {
			w.call()
		}
	})
}

// callEnded takes the end of a call without an answer; the watch has failed once none is open.
func (w *watch) callEnded(out int) {
	if w.unanswered -= out; w.unanswered == 0 && w.record == nil {
		w.fail()
	}
}

// fail ends the watch and notifies the node.
func (w *watch) fail() {
	if w.closed {
		return
	}
	n := w.node
	d := n.sim
	if w.record == nil {
		d.history.RecordWatch(&invariant.Watch{
			Node: n.index, Incarnation: w.processRecord.Incarnation, From: d.now, To: d.now, Failed: true,
		})
	}
	w.close()
	if n.processRecord != w.processRecord || !n.alive {
		return
	}
	if n.settings.Policy.MustPollList {
		n.post(func() { n.decider.WatchFailed(policy.Time(n.clock())) })
		n.failedCalls++
		last := n.failedCalls
		d.after(callRetryInterval, func() {
			// else the decisions have asked sooner, and that failed too
			if n.alive && n.processRecord == w.processRecord && n.failedCalls == last {
				n.startWatch()
			}
		})
		return
	}
	// Where lists are pushed the node calls by itself.
	wait := n.callBackoff
	n.callBackoff = min(2*n.callBackoff, int64(maxCallBackoff))
	d.after(wait, func() {
		if n.alive && n.processRecord == w.processRecord {
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
	d := w.node.sim
	w.record = &invariant.Watch{
		Node: w.node.index, Incarnation: w.processRecord.Incarnation, From: d.now, To: invariant.Never,
	}
	d.history.RecordWatch(w.record)
	w.startedAt = d.now
	w.node.callBackoff = int64(firstCallBackoff)
	d.discovery.watches = append(d.discovery.watches, w)
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
	n, s := w.node, w.node.sim.discovery
	entries, whole := s.list.ChangesAfter(w.version)
	first := w.version == 0
	if !first && s.list.Version() == w.version {
		return
	}
	w.version = s.list.Version()
	n.version = w.version
	s.recordEntries(n, entries, whole)
	if !n.hasList {
		if n.hasList = true; n.running {
			n.becomeReady()
		}
	}
	if n.listGossip.watchUpdated(n, w.version, entries, whole) {
		return
	}
	list := s.entries(entries)
	n.post(func() {
		n.decider.EndpointsUpdated(policy.Time(n.clock()), list, whole)
		for _, l := range list {
			if l.State != policy.StateActive && !n.settings.Policy.RemovedMayServe {
				n.CloseIdle(l.ID)
			}
		}
	})
}

// setDown makes discovery fail its calls and end its watches, or work again.
func (s *discovery) setDown(down bool) {
	if s.down == down {
		return
	}
	if s.down = down; !down {
		s.outage.To = s.sim.now
		return
	}
	s.busyUntil = s.sim.now
	for _, n := range s.sim.nodes {
		if w := n.watch; w != nil && w.record == nil && w.unanswered > 0 {
			w.fail() // its connection is reset
		}
	}
	s.outage = &invariant.Outage{Node: -1, Interval: invariant.Interval{From: s.sim.now}}
	s.sim.history.RecordOutage(s.outage)
	for _, w := range append([]*watch(nil), s.watches...) {
		w.fail()
	}
}

// move has every node leave its watch for another address, where it asks for the complete list.
func (s *discovery) move() {
	for _, n := range s.sim.nodes {
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
