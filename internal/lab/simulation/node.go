package simulation

import (
	"encoding/json"
	"fmt"
	"time"

	"fawnglade/internal/gossip"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/members"
	"fawnglade/internal/settings"
	"fawnglade/policy"
)

var noReport = policy.LoadReport{Utilization: -1, QueueLength: -1, ServiceTime: -1}

// pendingRequest is one request at a node.
type pendingRequest struct {
	node        *node
	incarnation int
	request     *clientRequest
	record      *invariant.Request
	attempts    []*attempt
	inFlight    int
	answered    bool
}

type node struct {
	sim         *Simulation
	index       int
	zone        int
	clockOffset int64   // from true time
	clockRate   float64 // of its clock, since rateSince
	rateSince   int64
	clockStep   int64 // of the system's clock, which the next process sees
	settings    settings.Settings
	decider     Decider
	usage       trace.NodeUsage

	processRecord   *invariant.Process
	alive           bool
	admitted        bool // the front sends to it
	hasList         bool // it has an endpoint list
	running         bool // its process answers the front
	stopping        bool
	pausedUntil     int64 // paused until then
	busyUntil       int64 // its processor works until then
	eventCost       int64
	requests        map[policy.RequestID]*pendingRequest
	pendingOrder    []*pendingRequest // in order of arrival
	idle            map[*endpoint][]*connection
	inbox           gossip.Inbox
	timerSecond     int64 // the second that immediateTimers counts in
	immediateTimers int
	watch           *watch
	version         int64
	failedCalls     int   // of calls for the list
	callBackoff     int64 // until it calls for the list by itself
	membership      *members.Members
	listGossip      *listGossip
}

// end is the node's end of links.
func (n *node) linkEnd() netfault.End { return netfault.End{Kind: netfault.Node, Index: n.index} }

func newNode(d *Simulation, index int) (*node, error) {
	n := &node{
		sim: d, index: index, clockRate: 1, zone: index % len(d.scenario.Network.Zones),
		usage: trace.NodeUsage{Node: index},
	}
	if zones := d.scenario.Nodes.Zones; len(zones) > 0 {
		for z, name := range d.scenario.Network.Zones {
			if name == zones[index] {
				n.zone = z
			}
		}
	}
	if skew := int64(d.scenario.Nodes.ClockSkew); skew > 0 {
		n.clockOffset = int64((2*d.random.Float64() - 1) * float64(skew))
	}
	if n.eventCost = eventCost; d.scenario.Nodes.Cores > 0 && d.scenario.Nodes.Cores < 1 {
		n.eventCost = int64(float64(eventCost) / d.scenario.Nodes.Cores)
	}
	text, err := json.Marshal(trace.NodeSettings(d.scenario, index, n.zone))
	if err != nil {
		return nil, err
	}
	if n.settings, err = settings.FromJSON(text); err != nil {
		return nil, fmt.Errorf("node %d: %w", index, err)
	}
	return n, nil
}

// clock is the time by the node's clock, Unix nanoseconds.
func (n *node) clock() int64 {
	now := epoch(n.sim.now) + n.clockOffset
	if n.clockRate != 1 {
		now += int64(float64(n.sim.now-n.rateSince) * (n.clockRate - 1))
	}
	return now
}

// virtualTime is when the node's clock will show a time.
func (n *node) virtualTime(local int64) int64 {
	if n.clockRate == 1 {
		return local - epochNs - n.clockOffset
	}
	return n.rateSince + int64(float64(local-epochNs-n.clockOffset-n.rateSince)/n.clockRate)
}

// adjustClock changes the system's clock under a node. Its process goes by the monotonic clock, so a step shows at its
// next start.
func (n *node) adjustClock(step int64, rate float64) {
	n.clockOffset = n.clock() - epoch(n.sim.now)
	n.rateSince, n.clockRate = n.sim.now, rate
	n.clockStep += step
}

// start begins a process.
func (n *node) start() {
	number := 1
	if n.processRecord != nil {
		number = n.processRecord.Incarnation + 1
	}
	d := n.sim
	n.processRecord = &invariant.Process{Node: n.index, Incarnation: number, StartedAt: d.now}
	d.history.RecordProcess(n.processRecord)
	n.usage.Starts++
	n.clockOffset, n.clockStep = n.clockOffset+n.clockStep, 0
	n.alive, n.stopping = true, false
	n.pausedUntil, n.busyUntil = 0, 0
	n.version, n.watch = 0, nil
	n.callBackoff = int64(firstCallBackoff)
	n.requests, n.pendingOrder, n.idle = map[policy.RequestID]*pendingRequest{}, nil, map[*endpoint][]*connection{}
	n.decider = d.newDecider(n.index, n.settings.Policy, d.plan.Seed*1000003+uint64(n.index)*7919+uint64(number), n, d)
	list := d.discovery.list.Complete()
	n.running, n.hasList = false, number == 1 || !d.scenario.Nodes.NoList
	if stale := d.scenario.Nodes.StaleList && number > 1; stale {
		list = d.discovery.initial
	} else if !n.hasList {
		list = nil
	} else {
		d.discovery.recordEntries(n, list, true)
	}
	n.post(func() { n.decider.EndpointsUpdated(policy.Time(n.clock()), d.discovery.entries(list), true) })
	if !n.settings.Policy.MustPollList {
		n.startWatch()
	}
	n.startMembership(list)
}

// becomeReady has the front send to the node if its process is ready: it runs and has a list.
func (n *node) becomeReady() {
	n.running = n.alive
	if n.admitted = n.alive && n.hasList; n.admitted {
		n.processRecord.ReadyAt = n.sim.now
	}
}

// post queues an event for the event loop; each takes the processor for eventCost.
func (n *node) post(do func()) {
	life := n.processRecord
	start := max(n.sim.now, n.busyUntil, n.pausedUntil)
	n.busyUntil = start + n.eventCost
	n.sim.at(start, func() {
		if !n.alive || n.processRecord != life {
			return
		}
		if n.pausedUntil > n.sim.now { // paused since it was queued
			n.post(do)
			return
		}
		n.usage.CPUSeconds += float64(n.eventCost) / 1e9
		do()
	})
}

// kill ends the process; its requests are lost to their clients.
func (n *node) kill() {
	if !n.alive {
		return
	}
	d := n.sim
	n.alive, n.admitted = false, n.admitted && !n.stopping
	n.processRecord.EndedAt = d.now
	n.membership = nil
	for _, x := range n.pendingOrder {
		if !x.answered {
			x.answered = true
			d.clients.lost(x)
		}
		for _, h := range x.attempts {
			if !h.ended {
				h.ended = true
				n.closeConnection(h.connection)
				h.notifyCanceled()
			}
		}
	}
	for _, m := range d.endpoints {
		for _, k := range n.idle[m] {
			n.closeConnection(k)
		}
	}
	if n.watch != nil {
		n.watch.close()
	}
	life := n.processRecord
	d.after(int64(d.scenario.Nodes.DeathNotice), func() {
		if n.processRecord == life && !n.alive {
			n.admitted = false
		}
	})
}

// receive takes a request whose last byte has come.
func (n *node) receive(t *clientRequest, rec *invariant.Request) {
	x := &pendingRequest{node: n, incarnation: n.processRecord.Incarnation, request: t, record: rec}
	n.pendingOrder = append(n.pendingOrder, x)
	if len(n.pendingOrder) > 1024 && len(n.pendingOrder) > 4*len(n.requests) {
		kept := n.pendingOrder[:0]
		for _, old := range n.pendingOrder {
			if !old.answered || old.inFlight > 0 {
				kept = append(kept, old)
			}
		}
		n.pendingOrder = kept
	}
	t.pending = x
	n.sim.after(receiveDelay, func() {
		n.post(func() {
			if x.answered {
				return
			}
			o := t.operation
			id := policy.RequestID(t.id)
			n.requests[id] = x
			p := policy.Request{
				ID: id, Class: o.Class, Tenant: max(o.Tenant, 0),
				Deadline: policy.Time(n.clock() + t.deadline - n.sim.now), ClientRetry: t.number > 0,
				CostHint: time.Duration(o.CostHint),
			}
			if o.Key >= 0 && n.settings.Policy.KeyAffinity {
				p.Key = fmt.Sprint("k", o.Key)
			}
			n.decider.RequestArrived(policy.Time(n.clock()), p)
		})
	})
}

// clientGone takes the leaving of a client.
func (n *node) clientGone(x *pendingRequest) {
	n.post(func() {
		id := policy.RequestID(x.request.id)
		if x.answered {
			return
		}
		x.answered = true
		if n.requests[id] == x {
			n.decider.ClientGone(policy.Time(n.clock()), id)
			n.release(x)
		}
	})
}

func (n *node) release(x *pendingRequest) {
	if id := policy.RequestID(x.request.id); x.answered && x.inFlight == 0 && n.requests[id] == x {
		delete(n.requests, id)
	}
}

// respond gives a request its one response.
func (n *node) respond(x *pendingRequest, status int, advice int64) {
	if x.answered {
		return
	}
	x.answered = true
	n.release(x)
	life := n.processRecord
	n.sim.after(sendDelay+n.sim.linkDelay(n.linkEnd(), n.clientEnd()), func() {
		if n.alive && n.processRecord == life && !n.sim.links.Open(n.sim.now, n.linkEnd(), n.clientEnd()) {
			return // the client receives nothing
		}
		if n.alive && n.processRecord == life {
			n.sim.clients.answered(x, status, advice)
		} else {
			n.sim.clients.lost(x)
		}
	})
}

// attemptEnded takes the result of an attempt; each has exactly one.
func (n *node) attemptEnded(h *attempt, o policy.Outcome, report policy.LoadReport, keep bool) {
	if h.ended {
		return
	}
	h.ended = true
	if keep && o != policy.OutcomeConnectFailed && o != policy.OutcomeNotSent && !h.connection.overLimit {
		n.putIdle(h.connection)
	} else {
		n.closeConnection(h.connection)
	}
	if h.pending.incarnation != n.processRecord.Incarnation || !n.alive {
		return
	}
	at, fresh := n.clock(), h.newConnection
	n.sim.after(receiveDelay/2, func() {
		n.post(func() {
			x := h.pending
			x.inFlight--
			if o == policy.OutcomeSucceeded {
				n.respond(x, 200, 0)
			}
			n.decider.AttemptEnded(policy.Time(n.clock()), policy.AttemptResult{
				Request: policy.RequestID(x.request.id), Attempt: h.number, Endpoint: h.endpoint.id, Outcome: o,
				Elapsed: time.Duration(max(at-h.sentAt, 0)), RequestDone: x.answered, NewConnection: fresh,
				Report: report,
			})
			n.release(x)
		})
	})
}

// putIdle keeps a connection for reuse. It is closed before the endpoint would.
func (n *node) putIdle(k *connection) {
	if k.closed || !n.alive {
		return
	}
	k.idleSince = n.sim.now
	n.idle[k.endpoint] = append(n.idle[k.endpoint], k)
	since := k.idleSince
	n.sim.after(int64(n.settings.IdleTimeout)*3/4, func() {
		if k.closed || k.idleSince != since {
			return
		}
		list := n.idle[k.endpoint]
		for i, one := range list {
			if one == k {
				n.idle[k.endpoint] = append(list[:i:i], list[i+1:]...)
				n.closeConnection(k)
				return
			}
		}
	})
}

func (n *node) closeConnection(k *connection) {
	if k == nil || k.closed {
		return
	}
	k.closed = true
	if k.endpoint.incarnation == k.incarnation && k.endpoint.up {
		k.endpoint.connections--
	}
}

// acquire takes the connection that was used last, or opens one; nil if it cannot.
func (n *node) acquire(m *endpoint) *connection {
	for list := n.idle[m]; len(list) > 0; list = n.idle[m] {
		k := list[len(list)-1]
		n.idle[m] = list[:len(list)-1]
		if m.usable(k) || m.isCutFrom(n.index) && k.incarnation == m.incarnation && m.up {
			k.idleSince = 0
			return k
		}
		n.closeConnection(k)
	}
	if barred, _ := n.sim.cannotConnect(n.linkEnd(), m.linkEnd()); barred || !m.up || m.isCutFrom(n.index) {
		return nil
	}
	n.sim.count(func(t *trace.FleetActivity) { t.Connections++ })
	k := &connection{
		endpoint: m, node: n.index, incarnation: m.incarnation, epoch: m.epochFor(n.index), isNew: true,
		overLimit: m.isFull(),
	}
	m.connections++
	return k
}

// connectionsReset ends what is open to an endpoint: its process has ended, or it was cut off and is back.
func (n *node) connectionsReset(m *endpoint, healed bool) {
	if n.requests == nil {
		return
	}
	for _, x := range n.pendingOrder {
		for _, h := range x.attempts {
			if h.endpoint != m || h.ended || h.connection == nil || m.isCutFrom(n.index) && !healed {
				continue
			}
			h.record.ClosedAt = min(h.record.ClosedAt, n.sim.now)
			if h.answered = true; n.alive {
				n.attemptEnded(h, policy.OutcomeReset, noReport, false)
			}
		}
	}
}

// Send implements policy.Effects, with the methods below.
func (n *node) Send(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	x, d := n.requests[id], n.sim
	if x == nil {
		return
	}
	m := d.byID[endpoint]
	h := &attempt{pending: x, number: len(x.attempts), endpoint: m, sentAt: n.clock()}
	h.deadline = min(d.now+int64(max(timeout, 0)), x.request.deadline)
	x.attempts = append(x.attempts, h)
	x.inFlight++
	d.count(func(t *trace.FleetActivity) {
		t.Attempts++
		switch {
		case h.number > 0 && x.inFlight > 1:
			t.Hedged++
		case h.number > 0:
			t.Retries++
		}
	})
	if m == nil || x.answered {
		d.after(0, func() { n.attemptEnded(h, policy.OutcomeNotSent, noReport, false) })
		return
	}
	h.incarnation, h.oneWay = m.incarnation, m.delayTo(n)
	h.connection = n.acquire(m)
	if h.connection == nil {
		n.failToConnect(h)
		return
	}
	n.write(h)
}

// failToConnect ends an attempt without a connection: at once where it is refused, else after the timeout.
func (n *node) failToConnect(h *attempt) {
	d := n.sim
	after := refusedAfter
	if _, refused := d.cannotConnect(n.linkEnd(), h.endpoint.linkEnd()); h.endpoint.up && !refused {
		after = int64(n.settings.ConnectTimeout)
	}
	after = min(after, max(h.deadline-d.now, 0))
	d.after(after, func() { n.attemptEnded(h, policy.OutcomeConnectFailed, noReport, false) })
}

// write sends an attempt over its connection.
func (n *node) write(h *attempt) {
	d, m := n.sim, h.endpoint
	h.record = &invariant.Attempt{
		Request: h.pending.request.id, Node: n.index, Endpoint: m.spec.Index, Incarnation: m.incarnation,
		Zone: m.spec.Zone, Pod: m.spec.Pod, FirstByteAt: d.now,
	}
	d.history.RecordAttempt(h.record)
	h.record.LastByteAt = d.now
	d.at(h.deadline, func() {
		if !h.ended {
			n.attemptEnded(h, policy.OutcomeTimedOut, noReport, false)
			h.notifyCanceled()
		}
	})
	if m.isCutFrom(n.index) || !d.links.Open(d.now, n.linkEnd(), m.linkEnd()) {
		return // it never arrives; the node cannot know
	}
	delay := h.oneWay + d.linkDelay(n.linkEnd(), m.linkEnd())
	h.newConnection = h.connection.isNew
	if h.newConnection {
		delay += int64(m.fleet.ConnectionWait) + 2*h.oneWay
	}
	d.after(delay, h.arrive)
}

func (n *node) Cancel(id policy.RequestID, number int) {
	x := n.requests[id]
	if x == nil || number >= len(x.attempts) || x.attempts[number].ended {
		return
	}
	h := x.attempts[number]
	if h.record == nil {
		n.attemptEnded(h, policy.OutcomeNotSent, noReport, false)
		return
	}
	n.attemptEnded(h, policy.OutcomeCanceled, noReport, false)
	h.notifyCanceled()
}

func (n *node) Reject(id policy.RequestID, comeBackIn time.Duration, reason policy.Reason) {
	if x := n.requests[id]; x != nil {
		n.sim.givenUp[reason.String()]++
		n.respond(x, 503, int64(comeBackIn))
	}
}

func (n *node) Fail(id policy.RequestID, reason policy.Reason) {
	if x := n.requests[id]; x != nil {
		n.sim.givenUp[reason.String()]++
		n.respond(x, 502, 0)
	}
}

// SetTimer sets a timer. Guards against a decider that sets timers for one moment for ever: the run would never end.
func (n *node) SetTimer(at policy.Time, cookie uint64) {
	d := n.sim
	when := n.virtualTime(int64(at))
	if second := d.now / 1e9; n.timerSecond != second {
		n.timerSecond, n.immediateTimers = second, 0
	}
	if when = max(when, d.now); when == d.now {
		n.immediateTimers++
	}
	if n.immediateTimers > maxImmediateTimers {
		if d.err == nil {
			d.err = fmt.Errorf(
				"node %d asks at %.3f s of the day to be woken at once, over and over", n.index, float64(d.now)/1e9,
			)
		}
		return
	}
	life := n.processRecord
	d.at(when, func() {
		if n.alive && n.processRecord == life {
			n.post(func() { n.decider.TimerFired(policy.Time(n.clock()), cookie) })
		}
	})
}

func (n *node) WatchEndpoints() { n.startWatch() }

func (n *node) CloseIdle(id policy.EndpointID) {
	if m := n.sim.byID[id]; m != nil {
		for _, k := range n.idle[m] {
			n.closeConnection(k)
		}
		delete(n.idle, m)
	}
}

// CheckHealth asks an endpoint for its load.
func (n *node) CheckHealth(id policy.EndpointID) {
	m, d := n.sim.byID[id], n.sim
	d.count(func(t *trace.FleetActivity) { t.HealthChecks++ })
	if m == nil || !m.up || m.isCutFrom(n.index) || m.faults.unresponsive || !d.links.Open(d.now, n.linkEnd(), m.linkEnd()) ||
		!d.links.Open(d.now, m.linkEnd(), n.linkEnd()) {
		d.after(int64(n.settings.ConnectTimeout), func() {
			n.post(func() {
				n.decider.HealthChecked(policy.Time(n.clock()), id, policy.OutcomeTimedOut, noReport)
			})
		})
		return
	}
	way := m.delayTo(n)
	d.after(way, func() {
		if !m.up {
			return
		}
		m.model.Charge(d.now, int64(m.fleet.HealthCheckWork))
		m.scheduleWake()
		report := m.report()
		d.after(way, func() {
			n.post(func() { n.decider.HealthChecked(policy.Time(n.clock()), id, policy.OutcomeSucceeded, report) })
		})
	})
}

// Gossip sends a message to every other node, late, and with some loss.
func (n *node) Gossip(what policy.GossipMessage) {
	d := n.sim
	message := gossip.Encode(what, n.clock())
	for _, other := range d.nodes {
		if other == n || !other.alive || d.random.Float64() < gossipLoss {
			continue
		}
		d.count(func(t *trace.FleetActivity) { t.Gossip++ })
		way := d.fateOf(n.linkEnd(), netfault.End{Index: other.index}, len(message))
		if way.Lost || way.CorruptByte >= 0 {
			continue
		}
		d.after(way.Delay+int64(d.scenario.Network.CrossZone)+int64(d.random.Float64()*float64(gossipDelay)), func() {
			other.post(func() {
				if told, err := other.inbox.Open(n.index, message, other.clock()); err == nil {
					other.decider.GossipReceived(policy.Time(other.clock()), told)
				}
			})
		})
	}
}

const (
	gossipLoss       = 0.02
	gossipDelay      = 5 * time.Millisecond
	firstCallBackoff = 200 * time.Millisecond
	maxCallBackoff   = 3 * time.Second
)

// refusedAfter is how long a refused connection takes.
const refusedAfter = int64(50 * time.Microsecond)

var _ policy.Effects = (*node)(nil)
