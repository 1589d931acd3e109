package simulation

import (
	"fmt"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
)

const lateResponseTime = int64(300 * time.Millisecond) // how long after a deadline clients still wait for a response

// clientRequest is one request of a client for its operation.
type clientRequest struct {
	operation *workload.Operation
	number    int
	deadline  int64
	key       string
	id        string
	pending   *pendingRequest
	finished  bool
}

type clients struct {
	sim            *Simulation
	byZone         [][]*node
	nextNode       []int
	pickers        []workload.NodePicker // by zone; nil: nodes are used in turn
	outcomes       []trace.Outcome
	unfinished     int
	lastFinishedAt int64
}

func newClients(sim *Simulation) *clients {
	c := &clients{
		sim: sim, outcomes: make([]trace.Outcome, len(sim.plan.Operations)), unfinished: len(sim.plan.Operations),
		byZone: make([][]*node, len(sim.scenario.Network.Zones)), nextNode: make([]int, len(sim.scenario.Network.Zones)),
	}
	shares := sim.plan.NodeShares(sim.scenario)
	for zone := range c.byZone {
		for _, n := range sim.nodes {
			if n.zone == zone {
				c.byZone[zone] = append(c.byZone[zone], n)
			}
		}
		if len(c.byZone[zone]) == 0 {
			c.byZone[zone] = sim.nodes
		}
		var indexes []int
		for _, n := range c.byZone[zone] {
			indexes = append(indexes, n.index)
		}
		c.pickers = append(c.pickers, workload.NewNodePicker(shares, indexes))
	}
	c.scheduleNext(0)
	return c
}

// scheduleNext schedules operation i, which schedules the next one when it is due. So the event queue holds only one
// operation that is not due yet.
func (c *clients) scheduleNext(i int) {
	if i >= len(c.sim.plan.Operations) {
		return
	}
	o := &c.sim.plan.Operations[i]
	c.sim.at(o.Due+int64(c.sim.scenario.Network.Client), func() {
		c.sim.count(func(s *trace.FleetActivity) { s.Operations++ })
		class := &c.sim.scenario.Classes[o.Class]
		c.send(&clientRequest{
			operation: o,
			deadline:  o.Due + int64(float64(class.Deadline)*c.sim.scenario.Clients.RequestTimeoutShare),
			id:        c.sim.requestID(o.Index, 0),
			key:       fmt.Sprintf("%016x", o.Seed),
		})
		c.scheduleNext(i + 1)
	})
}

// send delivers a request to the next node that the front considers ready, preferably in the client's zone.
func (c *clients) send(request *clientRequest) {
	zone := c.byZone[request.operation.Zone]
	if picker := c.pickers[request.operation.Zone]; picker != nil {
		// if that node is not ready, the next one is tried
		c.nextNode[request.operation.Zone] = picker.Pick(request.operation, request.number) - 1
	}
	for range zone {
		c.nextNode[request.operation.Zone]++
		if n := zone[c.nextNode[request.operation.Zone]%len(zone)]; n.admitted {
			c.deliver(request, n)
			return
		}
	}
	for _, n := range c.sim.nodes {
		if n.admitted {
			c.deliver(request, n)
			return
		}
	}
	c.finishOrRetry(request, trace.Lost, true, 0)
}

// deliver delivers a request to a node, unless the link between them is cut.
func (c *clients) deliver(request *clientRequest, n *node) {
	sim := c.sim
	if !n.alive {
		c.finishOrRetry(request, trace.Lost, true, 0)
		return
	}
	front, end := n.clientEnd(), n.linkEnd()
	blocked, refused := sim.cannotConnect(front, end)
	switch {
	case refused:
		c.finishOrRetry(request, trace.Lost, true, 0)
		return
	case blocked && !sim.links.Open(sim.now, front, end):
		// The request never reaches the node, so it is not recorded in the history.
		sim.at(c.giveUpTime(request), func() { c.finishOrRetry(request, trace.Failed, false, 0) })
		return
	}
	record := &invariant.Request{
		ID: request.id, Operation: request.operation.Index, Node: n.index, Incarnation: n.processRecord.Incarnation,
		Class: request.operation.Class, SentAt: sim.now, Deadline: request.deadline,
	}
	sim.history.RecordRequest(record)
	if delay := sim.linkDelay(front, end); delay > 0 {
		record.SentAt += delay
		request.pending = &pendingRequest{node: n, incarnation: n.processRecord.Incarnation, request: request, record: record}
		sim.delay(delay, func() {
			if n.alive && n.processRecord.Incarnation == record.Incarnation && !request.finished {
				n.receive(request, record)
			}
		})
	} else {
		n.receive(request, record)
	}
	c.awaitResponse(request, n, record)
}

// giveUpTime returns when a client stops waiting for the response to a request.
func (c *clients) giveUpTime(request *clientRequest) int64 {
	return request.deadline + int64(c.sim.scenario.Rules.AnswerGrace) + lateResponseTime
}

// awaitResponse ends a request that gets no response in time, or that its client cancels before.
func (c *clients) awaitResponse(request *clientRequest, n *node, record *invariant.Request) {
	sim := c.sim
	until := c.giveUpTime(request)
	cancelAt := int64(invariant.Never)
	if request.operation.CancelsAfter > 0 {
		cancelAt = request.operation.Due + request.operation.CancelsAfter
		if cancelAt < request.deadline {
			until = cancelAt
		}
	}
	sim.at(until, func() {
		if request.finished {
			return
		}
		request.finished = true
		if until == cancelAt {
			record.CanceledAt = sim.now
			c.finish(request, trace.Canceled, sim.now)
		} else {
			c.finishOrRetry(request, trace.Failed, false, 0)
		}
		if n.alive && request.pending.incarnation == n.processRecord.Incarnation {
			n.clientGone(request.pending)
		}
	})
}

// answered handles a node's response to a request.
func (c *clients) answered(p *pendingRequest, status int, retryAfter int64) {
	request := p.request
	if request.finished {
		return
	}
	request.finished = true
	now := c.sim.now
	p.record.AnsweredAt, p.record.Status, p.record.RetryAfter = now, status, retryAfter
	switch status {
	case 200:
		c.finish(request, trace.Succeeded, now+int64(c.sim.scenario.Network.Client))
	case 503:
		c.finishOrRetry(request, trace.Rejected, false, retryAfter)
	default:
		c.finishOrRetry(request, trace.Failed, false, 0)
	}
}

// lost handles a connection that ended because its node did.
func (c *clients) lost(p *pendingRequest) {
	if request := p.request; !request.finished {
		request.finished = true
		p.record.ClosedAt = c.sim.now
		c.finishOrRetry(request, trace.Lost, !p.node.admitted, 0)
	}
}

// finishOrRetry handles a request that has not succeeded: it sends a further one if the client retries, else it
// finishes the operation. unreached means that the node cannot have received the request.
func (c *clients) finishOrRetry(request *clientRequest, state trace.State, unreached bool, retryAfter int64) {
	sim := c.sim
	retry, ok := request.operation.NextRetry(sim.scenario, request.number, sim.now, state == trace.Rejected || unreached, retryAfter)
	if !ok {
		c.finish(request, state, sim.now)
		return
	}
	next := &clientRequest{
		operation: request.operation, number: request.number + 1, deadline: retry.Deadline, key: request.key,
		id: sim.requestID(request.operation.Index, request.number+1),
	}
	sim.delay(retry.Wait, func() { c.send(next) })
}

// finish records the outcome of an operation.
func (c *clients) finish(request *clientRequest, state trace.State, at int64) {
	o := &c.outcomes[request.operation.Index]
	if o.State != trace.Pending {
		return
	}
	*o = trace.Outcome{State: state, Elapsed: at - request.operation.Due, Requests: request.number + 1}
	c.unfinished--
	c.lastFinishedAt = c.sim.now
}
