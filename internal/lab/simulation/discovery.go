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
	mostCalls = 256
	listHead  = int64(3 * time.Second) // a call that waits so long has another beside it
	listGap   = int64(4 * time.Second) // and that another, twice; then ever later
	mostApart = int64(2 * time.Second) // between calls, whatever the decisions wait
	// Calls for one watch. The last of them lie days apart.
	mostBeside = 16
)

type discovery struct {
	day     *Day
	roster  *model.EndpointList
	ever    []int // servers listed at any time, in order of their first listing
	known   map[int]bool
	first   []model.ListEntry
	down    bool
	outage  *invariant.Outage
	slow    float64
	late    int64
	busy    int64 // it works until then
	waiting int
	watches []*watch
}

// watch is one node's following of the list.
type watch struct {
	node    *node
	life    *invariant.Process
	rec     *invariant.Watch
	version int64
	phase   int64
	due     bool // a delivery has been asked for
	over    bool
	calls   int  // made for it
	out     int  // and not answered yet
	held    bool // something was to come over a way that is cut
}

func newDiscovery(d *Day) *discovery {
	return &discovery{day: d, roster: model.NewEndpointList(40), known: map[int]bool{}, slow: 1}
}

// set changes the list after the notice that it takes.
func (s *discovery) set(m *machine, h model.State, notice int64) {
	entry := model.ListEntry{Endpoint: m.spec.Index, State: h, StartedAt: m.started}
	do := func() {
		s.roster.Set(entry)
		if !s.known[entry.Endpoint] {
			s.known[entry.Endpoint] = true
			s.ever = append(s.ever, entry.Endpoint)
		}
		s.day.ledger.RecordListChange(invariant.ListChange{Endpoint: entry.Endpoint, State: h, At: s.day.now, StartedAt: entry.StartedAt})
		for _, w := range s.watches {
			w.ask()
		}
	}
	if notice += s.late; notice <= 0 {
		do()
		return
	}
	s.day.in(notice, do)
}

// entries are a list as the decisions take it.
func (s *discovery) entries(list []model.ListEntry) []policy.EndpointInfo {
	out := make([]policy.EndpointInfo, 0, len(list))
	for _, l := range list {
		m := s.day.machines[l.Endpoint]
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
func (s *discovery) tell(n *node, list []model.ListEntry, whole bool) {
	told := make([]invariant.ListEntry, 0, len(list))
	listed := map[int]bool{}
	for _, l := range list {
		told = append(told, invariant.ListEntry{Node: n.index, Incarnation: n.life.Incarnation, Endpoint: l.Endpoint, State: l.State, StartedAt: l.StartedAt, At: s.day.now})
		listed[l.Endpoint] = true
	}
	if whole {
		for _, server := range s.ever {
			if !listed[server] {
				told = append(told, invariant.ListEntry{Node: n.index, Incarnation: n.life.Incarnation, Endpoint: server, State: model.Removed, At: s.day.now})
			}
		}
	}
	s.day.ledger.RecordEntries(told...)
}

// call asks for a watch; a node has one at a time.
func (n *node) call() {
	if n.watch == nil {
		n.watch = &watch{node: n, life: n.life, version: n.version}
		n.watch.open()
	}
}

// open makes one call for a watch. One that waits is kept, and others beside it at gaps as the node's: each costs discovery a turn, whether
// or not it is closed before that comes.
func (w *watch) open() {
	n := w.node
	d := n.day
	s := d.discovery
	d.count(func(t *trace.FleetActivity) { t.ListCalls++ })
	place := netfault.End{Index: n.index}
	if barred, refused := d.barred(place, discoveryEnd); barred {
		after := int64(listConnect)
		if refused {
			after = int64(time.Millisecond)
		}
		d.in(after, func() { w.ended(0) })
		return
	}
	came := d.now
	if s.down || s.waiting >= mostCalls { // as on sockets it takes no turn
		d.in(int64(time.Millisecond), func() { w.ended(0) })
		return
	}
	w.calls++
	w.out++
	s.waiting++
	begin := max(d.now, s.busy)
	lines := len(s.roster.Complete())
	if w.version > 0 {
		changed, _ := s.roster.ChangesAfter(w.version)
		lines = len(changed)
	}
	c := &d.scenario.Discovery
	cost := int64(s.slow * float64(int64(c.CallTime)+int64(c.EntryTime)*int64(lines)))
	if begin-came+cost > int64(c.CallTimeout) {
		cost = 0 // it fails when its turn has come
	}
	s.busy = begin + cost
	d.at(s.busy+d.held(place, discoveryEnd)+d.held(discoveryEnd, place), func() {
		s.waiting--
		if w.over || w.rec != nil || n.life != w.life || !n.alive {
			return
		}
		if s.down || begin-came+cost > int64(c.CallTimeout) || cost == 0 && begin > came {
			w.ended(1)
			return
		}
		w.follow()
	})
	gap := listHead
	if w.calls > 1 {
		gap = listGap << max(w.calls-3, 0)
	}
	if w.calls > mostBeside {
		return
	}
	d.in(gap, func() {
		if w.rec == nil && !w.over && n.life == w.life && n.alive {
			w.open()
		}
	})
}

// ended is the end of a call that was not answered, or that could not be made; the watch has failed once none is out.
func (w *watch) ended(out int) {
	if w.out -= out; w.out == 0 && w.rec == nil {
		w.failed()
	}
}

// failed ends a call, or a watch, and has the node know.
func (w *watch) failed() {
	if w.over {
		return
	}
	n := w.node
	d := n.day
	if w.rec == nil {
		d.ledger.RecordWatch(&invariant.Watch{Node: n.index, Incarnation: w.life.Incarnation, From: d.now, To: d.now, Failed: true})
	}
	w.end()
	if n.life != w.life || !n.alive {
		return
	}
	if n.set.Policy.MustPollList {
		n.enter(func() { n.decider.WatchFailed(policy.Time(n.clock())) })
		n.failures++
		last := n.failures
		d.in(mostApart, func() {
			if n.alive && n.life == w.life && n.failures == last { // else the decisions have asked sooner, and that failed too
				n.call()
			}
		})
		return
	}
	// Where nobody asks for calls the node makes them by itself.
	wait := n.wait
	n.wait = min(2*n.wait, int64(mostWait))
	d.in(wait, func() {
		if n.alive && n.life == w.life {
			n.call()
		}
	})
}

// end closes a watch.
func (w *watch) end() {
	w.over = true
	if w.rec != nil && w.rec.To == invariant.Never {
		w.rec.To = w.node.day.now
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
	w.rec = &invariant.Watch{Node: w.node.index, Incarnation: w.life.Incarnation, From: d.now, To: invariant.Never}
	d.ledger.RecordWatch(w.rec)
	w.phase = d.now
	w.node.wait = int64(firstWait)
	d.discovery.watches = append(d.discovery.watches, w)
	w.deliver()
}

// ask has what is new delivered when the watch next looks.
func (w *watch) ask() {
	if w.due || w.over {
		return
	}
	w.due = true
	period := int64(w.node.day.scenario.Discovery.UpdateInterval)
	since := w.node.day.now - w.phase
	w.node.day.at(w.phase+(since/period+1)*period, w.deliver)
}

func (w *watch) deliver() {
	if w.due = false; w.over {
		return
	}
	if !w.node.day.ways.Open(w.node.day.now, discoveryEnd, netfault.End{Index: w.node.index}) {
		w.held = true // what is new comes with the next watch
		return
	}
	n, s := w.node, w.node.day.discovery
	entries, whole := s.roster.ChangesAfter(w.version)
	first := w.version == 0
	if !first && s.roster.Version() == w.version {
		return
	}
	w.version = s.roster.Version()
	n.version = w.version
	s.tell(n, entries, whole)
	if !n.listed {
		if n.listed = true; n.up {
			n.admitted()
		}
	}
	if n.hearing.listed(n, w.version, entries, whole) {
		return
	}
	list := s.entries(entries)
	n.enter(func() {
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
	s.busy = s.day.now
	for _, n := range s.day.nodes {
		if w := n.watch; w != nil && w.rec == nil && w.out > 0 {
			w.failed() // its connection is reset
		}
	}
	s.outage = &invariant.Outage{Node: -1, Span: invariant.Span{From: s.day.now}}
	s.day.ledger.RecordOutage(s.outage)
	for _, w := range append([]*watch(nil), s.watches...) {
		w.failed()
	}
}

// move has every node leave its watch for another address, where it asks for the whole list.
func (s *discovery) move() {
	for _, n := range s.day.nodes {
		if !n.alive {
			continue
		}
		if n.watch != nil {
			n.watch.end()
		}
		n.version = 0
		n.call()
	}
}
