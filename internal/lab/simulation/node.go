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

// pendingRequest is a request at a node.
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
	clockOffset int64   // of the node's clock from true time, nanoseconds
	clockRate   float64 // of the node's clock relative to true time, since rateSince
	rateSince   int64
	clockStep   int64 // of the system clock; takes effect in the next process
	settings    settings.Settings
	decider     Decider
	usage       trace.NodeUsage

	processRecord   *invariant.Process
	alive           bool
	admitted        bool // the front sends requests to the node
	hasList         bool // the node has an endpoint list
	running         bool // the process has finished its startup
	stopping        bool
	pausedUntil     int64
	busyUntil       int64 // when the processor has handled all posted events
	eventCost       int64
	requests        map[policy.RequestID]*pendingRequest
	pendingOrder    []*pendingRequest // in the order of arrival
	idle            map[*endpoint][]*connection
	inbox           gossip.Inbox
	timerSecond     int64 // the second in which immediateTimers are counted
	immediateTimers int
	watch           *watch
	version         int64
	failedCalls     int   // number of failed watches
	callBackoff     int64 // until the node starts the next watch on its own, if updates are pushed
	membership      *members.Members
	listGossip      *listGossip
}

// linkEnd returns the node as an end of links.
func (n *node) linkEnd() netfault.End { return netfault.End{Kind: netfault.Node, Index: n.index} }

func newNode(sim *Simulation, index int) (*node, error) {
	n := &node{
		sim: sim, index: index, clockRate: 1, zone: index % len(sim.scenario.Network.Zones),
		usage: trace.NodeUsage{Node: index},
	}
	if zones := sim.scenario.Nodes.Zones; len(zones) > 0 {
		for z, name := range sim.scenario.Network.Zones {
			if name == zones[index] {
				n.zone = z
			}
		}
	}
	if skew := int64(sim.scenario.Nodes.ClockSkew); skew > 0 {
		n.clockOffset = int64((2*sim.random.Float64() - 1) * float64(skew))
	}
	if n.eventCost = eventCost; sim.scenario.Nodes.Cores > 0 && sim.scenario.Nodes.Cores < 1 {
		n.eventCost = int64(float64(eventCost) / sim.scenario.Nodes.Cores)
	}
	text, err := json.Marshal(trace.NodeSettings(sim.scenario, index, n.zone))
	if err != nil {
		return nil, err
	}
	if n.settings, err = settings.FromJSON(text); err != nil {
		return nil, fmt.Errorf("node %d: %w", index, err)
	}
	return n, nil
}

// clock returns the time of the node's clock in Unix nanoseconds.
func (n *node) clock() int64 {
	now := epoch(n.sim.now) + n.clockOffset
	if n.clockRate != 1 {
		now += int64(float64(n.sim.now-n.rateSince) * (n.clockRate - 1))
	}
	return now
}

// virtualTime returns the virtual time at which the node's clock shows a local time.
func (n *node) virtualTime(local int64) int64 {
	if n.clockRate == 1 {
		return local - epochNs - n.clockOffset
	}
	return n.rateSince + int64(float64(local-epochNs-n.clockOffset-n.rateSince)/n.clockRate)
}

// adjustClock changes a node's system clock. Processes use the monotonic clock, so a step takes effect at the next
// start.
func (n *node) adjustClock(step int64, rate float64) {
	n.clockOffset = n.clock() - epoch(n.sim.now)
	n.rateSince, n.clockRate = n.sim.now, rate
	n.clockStep += step
}

// start starts a process of the node.
func (n *node) start() {
	incarnation := 1
	if n.processRecord != nil {
		incarnation = n.processRecord.Incarnation + 1
	}
	sim := n.sim
	n.processRecord = &invariant.Process{Node: n.index, Incarnation: incarnation, StartedAt: sim.now}
	sim.history.RecordProcess(n.processRecord)
	n.usage.Starts++
	n.clockOffset, n.clockStep = n.clockOffset+n.clockStep, 0
	n.alive, n.stopping = true, false
	n.pausedUntil, n.busyUntil = 0, 0
	n.version, n.watch = 0, nil
	n.callBackoff = int64(firstCallBackoff)
	n.requests, n.pendingOrder, n.idle = map[policy.RequestID]*pendingRequest{}, nil, map[*endpoint][]*connection{}
	n.decider = sim.newDecider(n.index, n.settings.Policy, sim.plan.Seed*1000003+uint64(n.index)*7919+uint64(incarnation), n, sim)
	list := sim.discovery.list.Complete()
	n.running, n.hasList = false, incarnation == 1 || !sim.scenario.Nodes.NoList
	if stale := sim.scenario.Nodes.StaleList && incarnation > 1; stale {
		list = sim.discovery.initial
	} else if !n.hasList {
		list = nil
	} else {
		sim.discovery.recordEntries(n, list, true)
	}
	n.post(func() { n.decider.EndpointsUpdated(policy.Time(n.clock()), sim.discovery.entries(list), true) })
	if !n.settings.Policy.MustPollList {
		n.startWatch()
	}
	n.startMembership(list)
}

// becomeReady admits the node to the front if its process is ready, that is alive and with an endpoint list.
func (n *node) becomeReady() {
	n.running = n.alive
	if n.admitted = n.alive && n.hasList; n.admitted {
		n.processRecord.ReadyAt = n.sim.now
	}
}

// post queues an event for the node's event loop. Each event occupies the processor for eventCost.
func (n *node) post(action func()) {
	record := n.processRecord
	start := max(n.sim.now, n.busyUntil, n.pausedUntil)
	n.busyUntil = start + n.eventCost
	n.sim.at(start, func() {
		if !n.alive || n.processRecord != record {
			return
		}
		if n.pausedUntil > n.sim.now { // paused after the event was queued
			n.post(action)
			return
		}
		n.usage.CPUSeconds += float64(n.eventCost) / 1e9
		action()
	})
}

// kill ends the process. Its requests are lost.
func (n *node) kill() {
	if !n.alive {
		return
	}
	sim := n.sim
	n.alive, n.admitted = false, n.admitted && !n.stopping
	n.processRecord.EndedAt = sim.now
	n.membership = nil
	for _, p := range n.pendingOrder {
		if !p.answered {
			p.answered = true
			sim.clients.lost(p)
		}
		for _, a := range p.attempts {
			if !a.ended {
				a.ended = true
				n.closeConnection(a.connection)
				a.notifyCanceled()
			}
		}
	}
	for _, e := range sim.endpoints {
		for _, c := range n.idle[e] {
			n.closeConnection(c)
		}
	}
	if n.watch != nil {
		n.watch.close()
	}
	record := n.processRecord
	sim.delay(int64(sim.scenario.Nodes.DeathNotice), func() {
		if n.processRecord == record && !n.alive {
			n.admitted = false
		}
	})
}

// receive handles a request whose last byte has arrived.
func (n *node) receive(request *clientRequest, rec *invariant.Request) {
	p := &pendingRequest{node: n, incarnation: n.processRecord.Incarnation, request: request, record: rec}
	n.pendingOrder = append(n.pendingOrder, p)
	if len(n.pendingOrder) > 1024 && len(n.pendingOrder) > 4*len(n.requests) {
		kept := n.pendingOrder[:0]
		for _, old := range n.pendingOrder {
			if !old.answered || old.inFlight > 0 {
				kept = append(kept, old)
			}
		}
		n.pendingOrder = kept
	}
	request.pending = p
	n.sim.delay(receiveDelay, func() {
		n.post(func() {
			if p.answered {
				return
			}
			o := request.operation
			id := policy.RequestID(request.id)
			n.requests[id] = p
			policyRequest := policy.Request{
				ID: id, Class: o.Class, Tenant: max(o.Tenant, 0),
				Deadline: policy.Time(n.clock() + request.deadline - n.sim.now), ClientRetry: request.number > 0,
				CostHint: time.Duration(o.CostHint),
			}
			if o.Key >= 0 && n.settings.Policy.KeyAffinity {
				policyRequest.Key = fmt.Sprint("k", o.Key)
			}
			n.decider.RequestArrived(policy.Time(n.clock()), policyRequest)
		})
	})
}

// clientGone handles a client that has closed its connection before the response.
func (n *node) clientGone(p *pendingRequest) {
	n.post(func() {
		id := policy.RequestID(p.request.id)
		if p.answered {
			return
		}
		p.answered = true
		if n.requests[id] == p {
			n.decider.ClientGone(policy.Time(n.clock()), id)
			n.release(p)
		}
	})
}

func (n *node) release(p *pendingRequest) {
	if id := policy.RequestID(p.request.id); p.answered && p.inFlight == 0 && n.requests[id] == p {
		delete(n.requests, id)
	}
}

// respond sends the response to a request, unless it has been answered.
func (n *node) respond(p *pendingRequest, status int, retryAfter int64) {
	if p.answered {
		return
	}
	p.answered = true
	n.release(p)
	record := n.processRecord
	n.sim.delay(sendDelay+n.sim.linkDelay(n.linkEnd(), n.clientEnd()), func() {
		if n.alive && n.processRecord == record && !n.sim.links.Open(n.sim.now, n.linkEnd(), n.clientEnd()) {
			return // the response is lost on the link
		}
		if n.alive && n.processRecord == record {
			n.sim.clients.answered(p, status, retryAfter)
		} else {
			n.sim.clients.lost(p)
		}
	})
}

// attemptEnded handles the result of an attempt. Results after the first are ignored. keep means that the connection
// can be reused.
func (n *node) attemptEnded(a *attempt, o policy.Outcome, report policy.LoadReport, keep bool) {
	if a.ended {
		return
	}
	a.ended = true
	if keep && o != policy.OutcomeConnectFailed && o != policy.OutcomeNotSent && !a.connection.overLimit {
		n.putIdle(a.connection)
	} else {
		n.closeConnection(a.connection)
	}
	if a.pending.incarnation != n.processRecord.Incarnation || !n.alive {
		return
	}
	at, fresh := n.clock(), a.newConnection
	n.sim.delay(receiveDelay/2, func() {
		n.post(func() {
			p := a.pending
			p.inFlight--
			if o == policy.OutcomeSucceeded {
				n.respond(p, 200, 0)
			}
			n.decider.AttemptEnded(policy.Time(n.clock()), policy.AttemptResult{
				Request: policy.RequestID(p.request.id), Attempt: a.number, Endpoint: a.endpoint.id, Outcome: o,
				Elapsed: time.Duration(max(at-a.sentAt, 0)), RequestDone: p.answered, NewConnection: fresh,
				Report: report,
			})
			n.release(p)
		})
	})
}

// putIdle keeps a connection for reuse. It closes the connection after 3/4 of the idle timeout, before the endpoint
// would.
func (n *node) putIdle(c *connection) {
	if c.closed || !n.alive {
		return
	}
	c.idleSince = n.sim.now
	n.idle[c.endpoint] = append(n.idle[c.endpoint], c)
	since := c.idleSince
	n.sim.delay(int64(n.settings.IdleTimeout)*3/4, func() {
		if c.closed || c.idleSince != since {
			return
		}
		list := n.idle[c.endpoint]
		for i, one := range list {
			if one == c {
				n.idle[c.endpoint] = append(list[:i:i], list[i+1:]...)
				n.closeConnection(c)
				return
			}
		}
	})
}

func (n *node) closeConnection(c *connection) {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	if c.endpoint.incarnation == c.incarnation && c.endpoint.up {
		c.endpoint.connections--
	}
}

// acquire returns the most recently used idle connection, or opens a connection. It returns nil if it cannot connect.
func (n *node) acquire(e *endpoint) *connection {
	for list := n.idle[e]; len(list) > 0; list = n.idle[e] {
		c := list[len(list)-1]
		n.idle[e] = list[:len(list)-1]
		if e.usable(c) || e.isCutFrom(n.index) && c.incarnation == e.incarnation && e.up {
			c.idleSince = 0
			return c
		}
		n.closeConnection(c)
	}
	if blocked, _ := n.sim.cannotConnect(n.linkEnd(), e.linkEnd()); blocked || !e.up || e.isCutFrom(n.index) {
		return nil
	}
	n.sim.count(func(t *trace.FleetActivity) { t.Connections++ })
	c := &connection{
		endpoint: e, node: n.index, incarnation: e.incarnation, epoch: e.epochFor(n.index), isNew: true,
		overLimit: e.isFull(),
	}
	e.connections++
	return c
}

// connectionsReset ends the attempts on open connections to an endpoint that has ended, or that was cut off and is
// reachable again (healed).
func (n *node) connectionsReset(e *endpoint, healed bool) {
	if n.requests == nil {
		return
	}
	for _, p := range n.pendingOrder {
		for _, a := range p.attempts {
			if a.endpoint != e || a.ended || a.connection == nil || e.isCutFrom(n.index) && !healed {
				continue
			}
			a.record.ClosedAt = min(a.record.ClosedAt, n.sim.now)
			if a.answered = true; n.alive {
				n.attemptEnded(a, policy.OutcomeReset, noReport, false)
			}
		}
	}
}

// Send implements policy.Effects, together with the methods below.
func (n *node) Send(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	p, sim := n.requests[id], n.sim
	if p == nil {
		return
	}
	e := sim.byID[endpoint]
	a := &attempt{pending: p, number: len(p.attempts), endpoint: e, sentAt: n.clock()}
	a.deadline = min(sim.now+int64(max(timeout, 0)), p.request.deadline)
	p.attempts = append(p.attempts, a)
	p.inFlight++
	sim.count(func(t *trace.FleetActivity) {
		t.Attempts++
		switch {
		case a.number > 0 && p.inFlight > 1:
			t.Hedged++
		case a.number > 0:
			t.Retries++
		}
	})
	if e == nil || p.answered {
		sim.delay(0, func() { n.attemptEnded(a, policy.OutcomeNotSent, noReport, false) })
		return
	}
	a.incarnation, a.oneWay = e.incarnation, e.delayTo(n)
	a.connection = n.acquire(e)
	if a.connection == nil {
		n.failToConnect(a)
		return
	}
	n.write(a)
}

// failToConnect ends an attempt without a connection: at once if the connection is refused, else after the timeout.
func (n *node) failToConnect(a *attempt) {
	sim := n.sim
	after := refusedAfter
	if _, refused := sim.cannotConnect(n.linkEnd(), a.endpoint.linkEnd()); a.endpoint.up && !refused {
		after = int64(n.settings.ConnectTimeout)
	}
	after = min(after, max(a.deadline-sim.now, 0))
	sim.delay(after, func() { n.attemptEnded(a, policy.OutcomeConnectFailed, noReport, false) })
}

// write sends an attempt over its connection.
func (n *node) write(a *attempt) {
	sim, e := n.sim, a.endpoint
	a.record = &invariant.Attempt{
		Request: a.pending.request.id, Node: n.index, Endpoint: e.spec.Index, Incarnation: e.incarnation,
		Zone: e.spec.Zone, Pod: e.spec.Pod, FirstByteAt: sim.now,
	}
	sim.history.RecordAttempt(a.record)
	a.record.LastByteAt = sim.now
	sim.at(a.deadline, func() {
		if !a.ended {
			n.attemptEnded(a, policy.OutcomeTimedOut, noReport, false)
			a.notifyCanceled()
		}
	})
	if e.isCutFrom(n.index) || !sim.links.Open(sim.now, n.linkEnd(), e.linkEnd()) {
		return // the attempt never arrives; the node only sees its timeout
	}
	delay := a.oneWay + sim.linkDelay(n.linkEnd(), e.linkEnd())
	a.newConnection = a.connection.isNew
	if a.newConnection {
		delay += int64(e.fleet.ConnectionWait) + 2*a.oneWay
	}
	sim.delay(delay, a.arrive)
}

func (n *node) Cancel(id policy.RequestID, incarnation int) {
	p := n.requests[id]
	if p == nil || incarnation >= len(p.attempts) || p.attempts[incarnation].ended {
		return
	}
	a := p.attempts[incarnation]
	if a.record == nil {
		n.attemptEnded(a, policy.OutcomeNotSent, noReport, false)
		return
	}
	n.attemptEnded(a, policy.OutcomeCanceled, noReport, false)
	a.notifyCanceled()
}

func (n *node) Reject(id policy.RequestID, retryAfter time.Duration, reason policy.Reason) {
	if p := n.requests[id]; p != nil {
		n.sim.givenUp[reason.String()]++
		n.respond(p, 503, int64(retryAfter))
	}
}

func (n *node) Fail(id policy.RequestID, reason policy.Reason) {
	if p := n.requests[id]; p != nil {
		n.sim.givenUp[reason.String()]++
		n.respond(p, 502, 0)
	}
}

// SetTimer sets a timer. It aborts the run if a decider keeps setting timers that are due immediately, because virtual
// time would never advance.
func (n *node) SetTimer(at policy.Time, cookie uint64) {
	sim := n.sim
	when := n.virtualTime(int64(at))
	if second := sim.now / 1e9; n.timerSecond != second {
		n.timerSecond, n.immediateTimers = second, 0
	}
	if when = max(when, sim.now); when == sim.now {
		n.immediateTimers++
	}
	if n.immediateTimers > maxImmediateTimers {
		if sim.err == nil {
			sim.err = fmt.Errorf(
				"node %d at %.3f s of the run: aborted, because too many timers in one second were due immediately", n.index, float64(sim.now)/1e9,
			)
		}
		return
	}
	record := n.processRecord
	sim.at(when, func() {
		if n.alive && n.processRecord == record {
			n.post(func() { n.decider.TimerFired(policy.Time(n.clock()), cookie) })
		}
	})
}

func (n *node) WatchEndpoints() { n.startWatch() }

func (n *node) CloseIdle(id policy.EndpointID) {
	if e := n.sim.byID[id]; e != nil {
		for _, c := range n.idle[e] {
			n.closeConnection(c)
		}
		delete(n.idle, e)
	}
}

// CheckHealth sends a health check to an endpoint; its response contains a load report.
func (n *node) CheckHealth(id policy.EndpointID) {
	e, sim := n.sim.byID[id], n.sim
	sim.count(func(t *trace.FleetActivity) { t.HealthChecks++ })
	if e == nil || !e.up || e.isCutFrom(n.index) || e.faults.unresponsive || !sim.links.Open(sim.now, n.linkEnd(), e.linkEnd()) ||
		!sim.links.Open(sim.now, e.linkEnd(), n.linkEnd()) {
		sim.delay(int64(n.settings.ConnectTimeout), func() {
			n.post(func() {
				n.decider.HealthChecked(policy.Time(n.clock()), id, policy.OutcomeTimedOut, noReport)
			})
		})
		return
	}
	oneWay := e.delayTo(n)
	sim.delay(oneWay, func() {
		if !e.up {
			return
		}
		e.model.Charge(sim.now, int64(e.fleet.HealthCheckWork))
		e.scheduleWake()
		report := e.report()
		sim.delay(oneWay, func() {
			n.post(func() { n.decider.HealthChecked(policy.Time(n.clock()), id, policy.OutcomeSucceeded, report) })
		})
	})
}

// Gossip sends a message to every other node, with random delay and loss.
func (n *node) Gossip(message policy.GossipMessage) {
	sim := n.sim
	encoded := gossip.Encode(message, n.clock())
	for _, other := range sim.nodes {
		if other == n || !other.alive || sim.random.Float64() < gossipLoss {
			continue
		}
		sim.count(func(t *trace.FleetActivity) { t.Gossip++ })
		fate := sim.fateOf(n.linkEnd(), netfault.End{Index: other.index}, len(encoded))
		if fate.Lost || fate.CorruptByte >= 0 {
			continue
		}
		sim.delay(fate.Delay+int64(sim.scenario.Network.CrossZone)+int64(sim.random.Float64()*float64(gossipDelay)), func() {
			other.post(func() {
				if received, err := other.inbox.Open(n.index, encoded, other.clock()); err == nil {
					other.decider.GossipReceived(policy.Time(other.clock()), received)
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

// refusedAfter is the time after which a connection is refused, in nanoseconds.
const refusedAfter = int64(50 * time.Microsecond)

var _ policy.Effects = (*node)(nil)
