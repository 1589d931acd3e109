package simulation

// This file owns a node in virtual time: the decisions' Host, its connections, timers and tasks, and the delays that were
// measured on sockets. It must never decide anything: what it does by itself is what the real node does by itself.

import (
	"encoding/json"
	"fawnglade/internal/gossip"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/members"
	"fawnglade/internal/settings"
	"fawnglade/policy"
	"fmt"
	"time"
)

type reportOf struct{ policy.LoadReport }

// Utilised sets the one figure whose name is also a setting's.
func (r *reportOf) Utilised(v float64) { r.LoadReport.Utilization = v }

var noReport = reportOf{policy.LoadReport{Utilization: -1, QueueLength: -1, ServiceTime: -1}}

// exchange is one try of a task at a node.
type exchange struct {
	node     *node
	life     int
	try      *try
	rec      *invariant.Request
	handOffs []*handOff
	open     int
	settled  bool
}

type node struct {
	day     *Day
	index   int
	zone    int
	skew    int64   // of its clock
	rate    float64 // of its clock, and since when
	since   int64
	step    int64 // of the system's clock, that the next start will see
	set     settings.Settings
	decider Decider
	figures trace.NodeUsage

	life     *invariant.Process
	alive    bool
	in       bool // the front sends to it
	listed   bool // it has a list
	up       bool // its process answers the front
	stopping bool
	frozen   int64 // stands still until then
	busy     int64 // its processor is at work until then
	cost     int64
	tasks    map[policy.RequestID]*exchange
	order    []*exchange // in the order they came
	idle     map[*machine][]*conn
	inbox    gossip.Inbox
	wokenIn  int64 // the second of the day that woken counts in
	woken    int
	watch    *watch
	version  int64
	failures int   // of calls for the list
	wait     int64 // until it calls for the list by itself again
	view     *members.Members
	hearing  *hearing
}

func newNode(d *Day, index int) (*node, error) {
	n := &node{day: d, index: index, rate: 1, zone: index % len(d.scenario.Network.Zones), figures: trace.NodeUsage{Node: index}}
	if zones := d.scenario.Nodes.Zones; len(zones) > 0 {
		for z, name := range d.scenario.Network.Zones {
			if name == zones[index] {
				n.zone = z
			}
		}
	}
	if skew := int64(d.scenario.Nodes.ClockSkew); skew > 0 {
		n.skew = int64((2*d.draw.Float64() - 1) * float64(skew))
	}
	if n.cost = eventCost; d.scenario.Nodes.Cores > 0 && d.scenario.Nodes.Cores < 1 {
		n.cost = int64(float64(eventCost) / d.scenario.Nodes.Cores)
	}
	text, err := json.Marshal(trace.NodeSettings(d.scenario, index, n.zone))
	if err != nil {
		return nil, err
	}
	if n.set, err = settings.FromJSON(text); err != nil {
		return nil, fmt.Errorf("node %d: %w", index, err)
	}
	return n, nil
}

func (n *node) clock() int64 {
	now := epoch(n.day.now) + n.skew
	if n.rate != 1 {
		now += int64(float64(n.day.now-n.since) * (n.rate - 1))
	}
	return now
}

// moment is when the node's clock will tell a time.
func (n *node) moment(local int64) int64 {
	if n.rate == 1 {
		return local - epochNs - n.skew
	}
	return n.since + int64(float64(local-epochNs-n.skew-n.since)/n.rate)
}

// turnClock changes the system's clock under a node. A step shows with its next start, as it goes by the time since this one.
func (n *node) turnClock(step int64, rate float64) {
	n.skew = n.clock() - epoch(n.day.now)
	n.since, n.rate = n.day.now, rate
	n.step += step
}

// start begins a life.
func (n *node) start() {
	number := 1
	if n.life != nil {
		number = n.life.Incarnation + 1
	}
	d := n.day
	n.life = &invariant.Process{Node: n.index, Incarnation: number, StartedAt: d.now}
	d.ledger.RecordProcess(n.life)
	n.figures.Starts++
	n.skew, n.step = n.skew+n.step, 0
	n.alive, n.stopping, n.frozen, n.busy, n.version, n.wait, n.watch = true, false, 0, 0, 0, int64(firstWait), nil
	n.tasks, n.order, n.idle = map[policy.RequestID]*exchange{}, nil, map[*machine][]*conn{}
	n.decider = d.maker(n.index, n.set.Policy, d.plan.Seed*1000003+uint64(n.index)*7919+uint64(number), n, d)
	list := d.discovery.roster.Complete()
	n.up, n.listed = false, number == 1 || !d.scenario.Nodes.NoList
	if stale := d.scenario.Nodes.StaleList && number > 1; stale {
		list = d.discovery.first
	} else if !n.listed {
		list = nil
	} else {
		d.discovery.tell(n, list, true)
	}
	n.enter(func() { n.decider.EndpointsUpdated(policy.Time(n.clock()), d.discovery.entries(list), true) })
	if !n.set.Policy.MustPollList {
		n.call()
	}
	n.join(list)
}

// admitted has the front take the node in once its process says that it is ready, which it is when it runs and has a list.
func (n *node) admitted() {
	n.up = n.alive
	if n.in = n.alive && n.listed; n.in {
		n.life.ReadyAt = n.day.now
	}
}

// enter has something handled by the loop, in turn: each event takes the processor for a moment.
func (n *node) enter(do func()) {
	life := n.life
	start := max(n.day.now, n.busy, n.frozen)
	n.busy = start + n.cost
	n.day.at(start, func() {
		if !n.alive || n.life != life {
			return
		}
		if n.frozen > n.day.now { // held since it was queued
			n.enter(do)
			return
		}
		n.figures.CPUSeconds += float64(n.cost) / 1e9
		do()
	})
}

// end is the end of the process: what it holds is lost to its clients.
func (n *node) end() {
	if !n.alive {
		return
	}
	d := n.day
	n.alive, n.in = false, n.in && !n.stopping
	n.life.EndedAt = d.now
	n.view = nil
	for _, x := range n.order {
		if !x.settled {
			x.settled = true
			d.clients.lost(x)
		}
		for _, h := range x.handOffs {
			if !h.ended {
				h.ended = true
				n.close(h.conn)
				h.givenUp()
			}
		}
	}
	for _, m := range d.machines {
		for _, k := range n.idle[m] {
			n.close(k)
		}
	}
	if n.watch != nil {
		n.watch.end()
	}
	life := n.life
	d.in(int64(d.scenario.Nodes.DeathNotice), func() {
		if n.life == life && !n.alive {
			n.in = false
		}
	})
}

// arrived takes in a task whose last byte has come.
func (n *node) arrived(t *try, rec *invariant.Request) {
	x := &exchange{node: n, life: n.life.Incarnation, try: t, rec: rec}
	n.order = append(n.order, x)
	if len(n.order) > 1024 && len(n.order) > 4*len(n.tasks) {
		kept := n.order[:0]
		for _, old := range n.order {
			if !old.settled || old.open > 0 {
				kept = append(kept, old)
			}
		}
		n.order = kept
	}
	t.x = x
	n.day.in(nodeIn, func() {
		n.enter(func() {
			if x.settled {
				return
			}
			task := t.task
			id := policy.RequestID(t.id)
			n.tasks[id] = x
			p := policy.Request{
				ID: id, Class: task.Class, Tenant: max(task.Tenant, 0), Deadline: policy.Time(n.clock() + t.hard - n.day.now), ClientRetry: t.n > 0,
				CostHint: time.Duration(task.CostHint),
			}
			if task.Key >= 0 && n.set.Policy.KeyAffinity {
				p.Key = fmt.Sprint("k", task.Key)
			}
			n.decider.RequestArrived(policy.Time(n.clock()), p)
		})
	})
}

// withdrawn is the client's going.
func (n *node) withdrawn(x *exchange) {
	n.enter(func() {
		id := policy.RequestID(x.try.id)
		if x.settled {
			return
		}
		x.settled = true
		if n.tasks[id] == x {
			n.decider.ClientGone(policy.Time(n.clock()), id)
			n.release(x)
		}
	})
}

func (n *node) release(x *exchange) {
	if id := policy.RequestID(x.try.id); x.settled && x.open == 0 && n.tasks[id] == x {
		delete(n.tasks, id)
	}
}

// settle gives the task its answer.
func (n *node) settle(x *exchange, status int, advice int64) {
	if x.settled {
		return
	}
	x.settled = true
	n.release(x)
	life := n.life
	n.day.in(nodeOut+n.day.held(netfault.End{Index: n.index}, n.front()), func() {
		if n.alive && n.life == life && !n.day.ways.Open(n.day.now, netfault.End{Index: n.index}, n.front()) {
			return // the client hears nothing
		}
		if n.alive && n.life == life {
			n.day.clients.answered(x, status, advice)
		} else {
			n.day.clients.lost(x)
		}
	})
}

// handOffEnds takes the end of a hand-off; each has exactly one.
func (n *node) handOffEnds(h *handOff, o policy.Outcome, report policy.LoadReport, keep bool) {
	if h.ended {
		return
	}
	h.ended = true
	if keep && o != policy.OutcomeConnectFailed && o != policy.OutcomeNotSent && !h.conn.over {
		n.keep(h.conn)
	} else {
		n.close(h.conn)
	}
	if h.x.life != n.life.Incarnation || !n.alive {
		return
	}
	at, fresh := n.clock(), h.fresh
	n.day.in(nodeIn/2, func() {
		n.enter(func() {
			x := h.x
			x.open--
			if o == policy.OutcomeSucceeded {
				n.settle(x, 200, 0)
			}
			n.decider.AttemptEnded(policy.Time(n.clock()), policy.AttemptResult{
				Request: policy.RequestID(x.try.id), Attempt: h.number, Endpoint: h.m.id, Outcome: o,
				Elapsed: time.Duration(max(at-h.sentAt, 0)), RequestDone: x.settled, NewConnection: fresh, Report: report,
			})
			n.release(x)
		})
	})
}

// keep has a connection stand ready. It is closed before the server would.
func (n *node) keep(k *conn) {
	if k.closed || !n.alive {
		return
	}
	k.idleSince = n.day.now
	n.idle[k.m] = append(n.idle[k.m], k)
	since := k.idleSince
	n.day.in(int64(n.set.IdleTimeout)*3/4, func() {
		if k.closed || k.idleSince != since {
			return
		}
		list := n.idle[k.m]
		for i, one := range list {
			if one == k {
				n.idle[k.m] = append(list[:i:i], list[i+1:]...)
				n.close(k)
				return
			}
		}
	})
}

func (n *node) close(k *conn) {
	if k == nil || k.closed {
		return
	}
	k.closed = true
	if k.m.life == k.life && k.m.up {
		k.m.conns--
	}
}

// connect takes the connection that was used last, or opens one.
func (n *node) connect(m *machine) *conn {
	for list := n.idle[m]; len(list) > 0; list = n.idle[m] {
		k := list[len(list)-1]
		n.idle[m] = list[:len(list)-1]
		if m.usable(k) || m.cut(n.index) && k.life == m.life && m.up {
			k.idleSince = 0
			return k
		}
		n.close(k)
	}
	if barred, _ := n.day.barred(netfault.End{Index: n.index}, m.place()); barred || !m.up || m.cut(n.index) {
		return nil
	}
	n.day.count(func(t *trace.FleetActivity) { t.Connections++ })
	k := &conn{m: m, node: n.index, life: m.life, epoch: m.epochFor(n.index), fresh: true, over: m.crowded()}
	m.conns++
	return k
}

// serverGone ends what stands open to a server: its process has ended, or what was open to a machine cut off is reset.
func (n *node) serverGone(m *machine, healed bool) {
	if n.tasks == nil {
		return
	}
	for _, x := range n.order {
		for _, h := range x.handOffs {
			if h.m != m || h.ended || h.conn == nil || m.cut(n.index) && !healed {
				continue
			}
			h.rec.ClosedAt = min(h.rec.ClosedAt, n.day.now)
			if h.done = true; n.alive {
				n.handOffEnds(h, policy.OutcomeReset, noReport.LoadReport, false)
			}
		}
	}
}

// HandOff and what follows make the node the decisions' Host.
func (n *node) Send(id policy.RequestID, server policy.EndpointID, timeOut time.Duration) {
	x, d := n.tasks[id], n.day
	if x == nil {
		return
	}
	m := d.byID[server]
	h := &handOff{x: x, number: len(x.handOffs), m: m, sentAt: n.clock()}
	h.limit = min(d.now+int64(max(timeOut, 0)), x.try.hard)
	x.handOffs = append(x.handOffs, h)
	x.open++
	d.count(func(t *trace.FleetActivity) {
		switch t.Attempts++; {
		case h.number > 0 && x.open > 1:
			t.Hedged++
		case h.number > 0:
			t.Retries++
		}
	})
	if m == nil || x.settled {
		n.day.in(0, func() { n.handOffEnds(h, policy.OutcomeNotSent, noReport.LoadReport, false) })
		return
	}
	h.life, h.way = m.life, m.oneWay(n)
	if h.conn = n.connect(m); h.conn == nil {
		after := int64(50 * time.Microsecond)
		if m.up {
			after = int64(n.set.ConnectTimeout) // nothing answers
		}
		if _, refused := d.barred(netfault.End{Index: n.index}, m.place()); refused {
			after = int64(50 * time.Microsecond)
		}
		d.in(min(after, max(h.limit-d.now, 0)), func() { n.handOffEnds(h, policy.OutcomeConnectFailed, noReport.LoadReport, false) })
		return
	}
	h.rec = &invariant.Attempt{Request: x.try.id, Node: n.index, Endpoint: m.spec.Index, Incarnation: m.life, Zone: m.spec.Zone, Pod: m.spec.Pod, FirstByteAt: d.now}
	d.ledger.RecordAttempt(h.rec)
	h.rec.LastByteAt = d.now
	d.at(h.limit, func() {
		if !h.ended {
			n.handOffEnds(h, policy.OutcomeTimedOut, noReport.LoadReport, false)
			h.givenUp()
		}
	})
	if m.cut(n.index) || !d.ways.Open(d.now, netfault.End{Index: n.index}, m.place()) {
		return // it never arrives; the node cannot know
	}
	wait := h.way + d.held(netfault.End{Index: n.index}, m.place())
	if h.fresh = h.conn.fresh; h.fresh {
		wait += int64(m.fleet.ConnectionWait) + 2*h.way
	}
	d.in(wait, h.arrive)
}

func (n *node) Cancel(id policy.RequestID, number int) {
	x := n.tasks[id]
	if x == nil || number >= len(x.handOffs) || x.handOffs[number].ended {
		return
	}
	h := x.handOffs[number]
	if h.rec == nil {
		n.handOffEnds(h, policy.OutcomeNotSent, noReport.LoadReport, false)
		return
	}
	n.handOffEnds(h, policy.OutcomeCanceled, noReport.LoadReport, false)
	h.givenUp()
}

func (n *node) Reject(id policy.RequestID, comeBackIn time.Duration) {
	if x := n.tasks[id]; x != nil {
		n.settle(x, 503, int64(comeBackIn))
	}
}

func (n *node) Fail(id policy.RequestID) {
	if x := n.tasks[id]; x != nil {
		n.settle(x, 502, 0)
	}
}

// WakeAt sets a timer. Guards against an instance that asks to be woken at one instant for ever: the day would never end.
func (n *node) SetTimer(at policy.Time, cookie uint64) {
	d := n.day
	when := n.moment(int64(at))
	if second := d.now / 1e9; n.wokenIn != second {
		n.wokenIn, n.woken = second, 0
	}
	if when = max(when, d.now); when == d.now {
		n.woken++
	}
	if n.woken > mostAtOnce {
		if d.problem == nil {
			d.problem = fmt.Errorf("node %d asks at %.3f s of the day to be woken at once, over and over", n.index, float64(d.now)/1e9)
		}
		return
	}
	life := n.life
	d.at(when, func() {
		if n.alive && n.life == life {
			n.enter(func() { n.decider.TimerFired(policy.Time(n.clock()), cookie) })
		}
	})
}

func (n *node) WatchEndpoints() { n.call() }

func (n *node) CloseIdle(server policy.EndpointID) {
	if m := n.day.byID[server]; m != nil {
		for _, k := range n.idle[m] {
			n.close(k)
		}
		delete(n.idle, m)
	}
}

// Probe asks a server for its load beside its tasks.
func (n *node) CheckHealth(server policy.EndpointID) {
	m, d := n.day.byID[server], n.day
	d.count(func(t *trace.FleetActivity) { t.HealthChecks++ })
	if m == nil || !m.up || m.cut(n.index) || m.trouble.silent || !d.ways.Open(d.now, netfault.End{Index: n.index}, m.place()) || !d.ways.Open(d.now, m.place(), netfault.End{Index: n.index}) {
		d.in(int64(n.set.ConnectTimeout), func() {
			n.enter(func() {
				n.decider.HealthChecked(policy.Time(n.clock()), server, policy.OutcomeTimedOut, noReport.LoadReport)
			})
		})
		return
	}
	way := m.oneWay(n)
	d.in(way, func() {
		if !m.up {
			return
		}
		m.model.Charge(d.now, int64(m.fleet.HealthCheckWork))
		m.wake()
		report := m.report()
		d.in(way, func() {
			n.enter(func() { n.decider.HealthChecked(policy.Time(n.clock()), server, policy.OutcomeSucceeded, report) })
		})
	})
}

// Tell sends news to every other node, late, and now and then to nobody.
func (n *node) Gossip(what policy.GossipMessage) {
	d := n.day
	message := gossip.Encode(what, n.clock())
	for _, other := range d.nodes {
		if other == n || !other.alive || d.draw.Float64() < newsLost {
			continue
		}
		d.count(func(t *trace.FleetActivity) { t.Gossip++ })
		way := d.pass(netfault.End{Index: n.index}, netfault.End{Index: other.index}, len(message))
		if way.Lost || way.CorruptByte >= 0 {
			continue
		}
		d.in(way.Delay+int64(d.scenario.Network.CrossZone)+int64(d.draw.Float64()*float64(newsLate)), func() {
			other.enter(func() {
				if told, err := other.inbox.Open(n.index, message, other.clock()); err == nil {
					other.decider.GossipReceived(policy.Time(other.clock()), told)
				}
			})
		})
	}
}

const (
	newsLost  = 0.02
	newsLate  = 5 * time.Millisecond
	firstWait = 200 * time.Millisecond
	mostWait  = 3 * time.Second
)

var (
	_ policy.Effects = (*node)(nil)
	_                = model.Never
)
