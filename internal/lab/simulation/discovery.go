package simulation

// This file owns discovery and the nodes' following of it: calls that are worked through in turn, watches, going down and moving.
// What it lists and since when is the roster's; it must never tell a node what the roster does not hold.

import (
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fawnglade/policy"
	"time"
)

const (
	maxQueuedCalls  = 256
	secondCallAfter = int64(3 * time.Second) // a call that waits so long has another beside it
	laterCallGap    = int64(4 * time.Second) // and that another, twice; then ever later
	maxCallGap      = int64(2 * time.Second) // between calls, whatever the decisions wait
	// Calls for one watch. The last of them lie days apart.
	maxCalls = 16
)

type discovery struct {
	day         *Simulation
	list        *model.EndpointList
	everListed  []int // servers listed at any time, in order of their first listing
	known       map[int]bool
	initial     []model.ListEntry
	down        bool
	outage      *invariant.Outage
	slowdown    float64
	changeDelay int64
	busyUntil   int64 // it works until then
	queuedCalls int
	watches     []*watch
}

// watch is one node's following of the list.
type watch struct {
	node       *node
	process    *invariant.Process
	record     *invariant.Watch
	version    int64
	startedAt  int64
	scheduled  bool // a delivery has been asked for
	closed     bool
	calls      int  // made for it
	unanswered int  // and not answered yet
	blocked    bool // something was to come over a way that is cut
}

func newDiscovery(d *Simulation) *discovery {
	return &discovery{day: d, list: model.NewEndpointList(40), known: map[int]bool{}, slowdown: 1}
}

// set changes the list after the notice that it takes.
func (s *discovery) set(m *endpoint, h model.State, notice int64) {
	entry := model.ListEntry{Endpoint: m.spec.Index, State: h, StartedAt: m.startedAt}
	do := func() {
		s.list.Set(entry)
		if !s.known[entry.Endpoint] {
			s.known[entry.Endpoint] = true
			s.everListed = append(s.everListed, entry.Endpoint)
		}
		s.day.history.RecordListChange(invariant.ListChange{Endpoint: entry.Endpoint, State: h, At: s.day.now, StartedAt: entry.StartedAt})
		for _, w := range s.watches {
			w.schedule()
		}
	}
	if notice += s.changeDelay; notice <= 0 {
		do()
		return
	}
	s.day.after(notice, do)
}

// entries are a list as the decisions take it.
func (s *discovery) entries(list []model.ListEntry) []policy.EndpointInfo {
	out := make([]policy.EndpointInfo, 0, len(list))
	for _, l := range list {
		m := s.day.endpoints[l.Endpoint]
		zone := -1
		for z, name := range s.day.scenario.Network.Zones {
			if name == m.spec.Zone {
				zone = z
			}
		}
		out = append(out, policy.EndpointInfo{
			ID: m.id, Zone: zone, Pod: m.spec.Pod, Weight: 1, StartedAt: policy.Time(l.StartedAt),
			State: [...]policy.EndpointState{model.Up: policy.StateActive, model.Draining: policy.StateDraining, model.Removed: policy.StateRemoved}[l.State],
		})
	}
	return out
}

// tell notes what a node is told.
func (s *discovery) recordEntries(n *node, list []model.ListEntry, whole bool) {
	told := make([]invariant.ListEntry, 0, len(list))
	listed := map[int]bool{}
	for _, l := range list {
		told = append(told, invariant.ListEntry{Node: n.index, Incarnation: n.process.Incarnation, Endpoint: l.Endpoint, State: l.State, StartedAt: l.StartedAt, At: s.day.now})
		listed[l.Endpoint] = true
	}
	if whole {
		for _, server := range s.everListed {
			if !listed[server] {
				told = append(told, invariant.ListEntry{Node: n.index, Incarnation: n.process.Incarnation, Endpoint: server, State: model.Removed, At: s.day.now})
			}
		}
	}
	s.day.history.RecordEntries(told...)
}

// call asks for a watch; a node has one at a time.
func (n *node) startWatch() {
	if n.watch == nil {
		n.watch = &watch{node: n, process: n.process, version: n.version}
		n.watch.call()
	}
}

// open makes one call for a watch. One that waits is kept, and others beside it at gaps as the node's: each costs discovery a turn, whether
// or not it is closed before that comes.
func (w *watch) call() {
	n := w.node
	d := n.day
	s := d.discovery
	d.count(func(t *trace.FleetActivity) { t.ListCalls++ })
	place := netfault.End{Index: n.index}
	if barred, refused := d.cannotConnect(place, discoveryEnd); barred {
		after := int64(discoveryConnectTimeout)
		if refused {
			after = int64(time.Millisecond)
		}
		d.after(after, func() { w.callEnded(0) })
		return
	}
	came := d.now
	if s.down || s.queuedCalls >= maxQueuedCalls { // as on sockets it takes no turn
		d.after(int64(time.Millisecond), func() { w.callEnded(0) })
		return
	}
	w.calls++
	w.unanswered++
	s.queuedCalls++
	begin := max(d.now, s.busyUntil)
	lines := len(s.list.Complete())
	if w.version > 0 {
		changed, _ := s.list.ChangesAfter(w.version)
		lines = len(changed)
	}
	c := &d.scenario.Discovery
	cost := int64(s.slowdown * float64(int64(c.CallTime)+int64(c.EntryTime)*int64(lines)))
	if begin-came+cost > int64(c.CallTimeout) {
		cost = 0 // it fails when its turn has come
	}
	s.busyUntil = begin + cost
	d.at(s.busyUntil+d.linkDelay(place, discoveryEnd)+d.linkDelay(discoveryEnd, place), func() {
		s.queuedCalls--
		if w.closed || w.record != nil || n.process != w.process || !n.alive {
			return
		}
		if s.down || begin-came+cost > int64(c.CallTimeout) || cost == 0 && begin > came {
			w.callEnded(1)
			return
		}
		w.follow()
	})
	gap := secondCallAfter
	if w.calls > 1 {
		gap = laterCallGap << max(w.calls-3, 0)
	}
	if w.calls > maxCalls {
		return
	}
	d.after(gap, func() {
		if w.record == nil && !w.closed && n.process == w.process && n.alive {
			w.call()
		}
	})
}

// ended is the end of a call that was not answered, or that could not be made; the watch has failed once none is out.
func (w *watch) callEnded(out int) {
	if w.unanswered -= out; w.unanswered == 0 && w.record == nil {
		w.fail()
	}
}

// failed ends a call, or a watch, and has the node know.
func (w *watch) fail() {
	if w.closed {
		return
	}
	n := w.node
	d := n.day
	if w.record == nil {
		d.history.RecordWatch(&invariant.Watch{Node: n.index, Incarnation: w.process.Incarnation, From: d.now, To: d.now, Failed: true})
	}
	w.close()
	if n.process != w.process || !n.alive {
		return
	}
	if n.set.Policy.MustPollList {
		n.post(func() { n.decider.WatchFailed(policy.Time(n.clock())) })
		n.failedCalls++
		last := n.failedCalls
		d.after(maxCallGap, func() {
			if n.alive && n.process == w.process && n.failedCalls == last { // else the decisions have asked sooner, and that failed too
				n.startWatch()
			}
		})
		return
	}
	// Where nobody asks for calls the node makes them by itself.
	wait := n.callBackoff
	n.callBackoff = min(2*n.callBackoff, int64(maxCallBackoff))
	d.after(wait, func() {
		if n.alive && n.process == w.process {
			n.startWatch()
		}
	})
}

// end closes a watch.
func (w *watch) close() {
	w.closed = true
	if w.record != nil && w.record.To == invariant.Never {
		w.record.To = w.node.day.now
	}
	if w.node.watch == w {
		w.node.watch = nil
	}
	list := w.node.day.discovery.watches
	for i, one := range list {
		if one == w {
			w.node.day.discovery.watches = append(list[:i:i], list[i+1:]...)
			break
		}
	}
}

func (w *watch) follow() {
	d := w.node.day
	w.record = &invariant.Watch{Node: w.node.index, Incarnation: w.process.Incarnation, From: d.now, To: invariant.Never}
	d.history.RecordWatch(w.record)
	w.startedAt = d.now
	w.node.callBackoff = int64(firstCallBackoff)
	d.discovery.watches = append(d.discovery.watches, w)
	w.deliver()
}

// ask has what is new delivered when the watch next looks.
func (w *watch) schedule() {
	if w.scheduled || w.closed {
		return
	}
	w.scheduled = true
	period := int64(w.node.day.scenario.Discovery.UpdateInterval)
	since := w.node.day.now - w.startedAt
	w.node.day.at(w.startedAt+(since/period+1)*period, w.deliver)
}

func (w *watch) deliver() {
	if w.scheduled = false; w.closed {
		return
	}
	if !w.node.day.links.Open(w.node.day.now, discoveryEnd, netfault.End{Index: w.node.index}) {
		w.blocked = true // what is new comes with the next watch
		return
	}
	n, s := w.node, w.node.day.discovery
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
	if n.listGossip.listed(n, w.version, entries, whole) {
		return
	}
	list := s.entries(entries)
	n.post(func() {
		n.decider.EndpointsUpdated(policy.Time(n.clock()), list, whole)
		for _, l := range list {
			if l.State != policy.StateActive && !n.set.Policy.RemovedMayServe {
				n.CloseIdle(l.ID)
			}
		}
	})
}

// setDown makes discovery go down: calls fail, watches end. Or brings it back.
func (s *discovery) setDown(down bool) {
	if s.down == down {
		return
	}
	if s.down = down; !down {
		s.outage.To = s.day.now
		return
	}
	s.busyUntil = s.day.now
	for _, n := range s.day.nodes {
		if w := n.watch; w != nil && w.record == nil && w.unanswered > 0 {
			w.fail() // its connection is reset
		}
	}
	s.outage = &invariant.Outage{Node: -1, Span: invariant.Span{From: s.day.now}}
	s.day.history.RecordOutage(s.outage)
	for _, w := range append([]*watch(nil), s.watches...) {
		w.fail()
	}
}

// move has every node leave its watch for another address, where it asks for the whole list.
func (s *discovery) move() {
	for _, n := range s.day.nodes {
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
