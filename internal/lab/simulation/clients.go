package simulation

import (
	"fmt"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
)

const lateResponseTime = int64(300 * time.Millisecond) // after a deadline, for late responses

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
	pickers        []workload.NodePicker // by zone; nil: in turn
	outcomes       []trace.Outcome
	unfinished     int
	lastFinishedAt int64
}

func newClients(d *Simulation) *clients {
	c := &clients{
		sim: d, outcomes: make([]trace.Outcome, len(d.plan.Operations)), unfinished: len(d.plan.Operations),
		byZone: make([][]*node, len(d.scenario.Network.Zones)), nextNode: make([]int, len(d.scenario.Network.Zones)),
	}
	parts := d.plan.NodeShares(d.scenario)
	for zone := range c.byZone {
		for _, n := range d.nodes {
			if n.zone == zone {
				c.byZone[zone] = append(c.byZone[zone], n)
			}
		}
		if len(c.byZone[zone]) == 0 {
			c.byZone[zone] = d.nodes
		}
		var indexes []int
		for _, n := range c.byZone[zone] {
			indexes = append(indexes, n.index)
		}
		c.pickers = append(c.pickers, workload.NewNodePicker(parts, indexes))
	}
	c.scheduleNext(0)
	return c
}

// scheduleNext schedules one operation after another, so that the heap holds few.
func (c *clients) scheduleNext(i int) {
	if i >= len(c.sim.plan.Operations) {
		return
	}
	t := &c.sim.plan.Operations[i]
	c.sim.at(t.Due+int64(c.sim.scenario.Network.Client), func() {
		c.sim.count(func(s *trace.FleetActivity) { s.Operations++ })
		category := &c.sim.scenario.Classes[t.Class]
		c.send(&clientRequest{
			operation: t,
			deadline:  t.Due + int64(float64(category.Deadline)*c.sim.scenario.Clients.RequestTimeoutShare),
			id:        c.sim.requestID(t.Index, 0),
			key:       fmt.Sprintf("%016x", t.Seed),
		})
		c.scheduleNext(i + 1)
	})
}

// send delivers a request to the next node that the front takes to be ready.
func (c *clients) send(t *clientRequest) {
	zone := c.byZone[t.operation.Zone]
	if choice := c.pickers[t.operation.Zone]; choice != nil {
		// the next one follows if that one is not ready
		c.nextNode[t.operation.Zone] = choice.Pick(t.operation, t.number) - 1
	}
	for range zone {
		c.nextNode[t.operation.Zone]++
		if n := zone[c.nextNode[t.operation.Zone]%len(zone)]; n.admitted {
			c.deliver(t, n)
			return
		}
	}
	for _, n := range c.sim.nodes {
		if n.admitted {
			c.deliver(t, n)
			return
		}
	}
	c.finishOrRetry(t, trace.Lost, true, 0)
}

// deliver gives a request to a node, unless the way there is cut.
func (c *clients) deliver(t *clientRequest, n *node) {
	d := c.sim
	if !n.alive {
		c.finishOrRetry(t, trace.Lost, true, 0)
		return
	}
	front, end := n.clientEnd(), n.linkEnd()
	blocked, refused := d.cannotConnect(front, end)
	switch {
	case refused:
		c.finishOrRetry(t, trace.Lost, true, 0)
		return
	case blocked && !d.links.Open(d.now, front, end):
		// The node never sees it, so it is not in the history either.
		d.at(c.giveUpTime(t), func() { c.finishOrRetry(t, trace.Failed, false, 0) })
		return
	}
	record := &invariant.Request{
		ID: t.id, Operation: t.operation.Index, Node: n.index, Incarnation: n.processRecord.Incarnation,
		Class: t.operation.Class, SentAt: d.now, Deadline: t.deadline,
	}
	d.history.RecordRequest(record)
	if delay := d.linkDelay(front, end); delay > 0 {
		record.SentAt += delay
		t.pending = &pendingRequest{node: n, incarnation: n.processRecord.Incarnation, request: t, record: record}
		d.after(delay, func() {
			if n.alive && n.processRecord.Incarnation == record.Incarnation && !t.finished {
				n.receive(t, record)
			}
		})
	} else {
		n.receive(t, record)
	}
	c.awaitResponse(t, n, record)
}

// giveUpTime is when a client gives up a request.
func (c *clients) giveUpTime(t *clientRequest) int64 {
	return t.deadline + int64(c.sim.scenario.Rules.AnswerGrace) + lateResponseTime
}

// awaitResponse ends a request that has no response in time, or whose client leaves before.
func (c *clients) awaitResponse(t *clientRequest, n *node, record *invariant.Request) {
	d := c.sim
	until := c.giveUpTime(t)
	leavesAt := int64(invariant.Never)
	if t.operation.CancelsAfter > 0 {
		leavesAt = t.operation.Due + t.operation.CancelsAfter
		if leavesAt < t.deadline {
			until = leavesAt
		}
	}
	d.at(until, func() {
		if t.finished {
			return
		}
		t.finished = true
		if until == leavesAt {
			record.CanceledAt = d.now
			c.finish(t, trace.Canceled, d.now)
		} else {
			c.finishOrRetry(t, trace.Failed, false, 0)
		}
		if n.alive && t.pending.incarnation == n.processRecord.Incarnation {
			n.clientGone(t.pending)
		}
	})
}

// answered takes a node's response.
func (c *clients) answered(x *pendingRequest, status int, advice int64) {
	t := x.request
	if t.finished {
		return
	}
	t.finished = true
	now := c.sim.now
	x.record.AnsweredAt, x.record.Status, x.record.RetryAfter = now, status, advice
	switch status {
	case 200:
		c.finish(t, trace.Succeeded, now+int64(c.sim.scenario.Network.Client))
	case 503:
		c.finishOrRetry(t, trace.Rejected, false, advice)
	default:
		c.finishOrRetry(t, trace.Failed, false, 0)
	}
}

// lost takes the end of a connection with its node.
func (c *clients) lost(x *pendingRequest) {
	if t := x.request; !t.finished {
		t.finished = true
		x.record.ClosedAt = c.sim.now
		c.finishOrRetry(t, trace.Lost, !x.node.admitted, 0)
	}
}

// finishOrRetry ends a request that did not succeed, and sends another where a client would.
func (c *clients) finishOrRetry(t *clientRequest, state trace.State, unreached bool, advice int64) {
	d := c.sim
	retry, ok := t.operation.NextRetry(d.scenario, t.number, d.now, state == trace.Rejected || unreached, advice)
	if !ok {
		c.finish(t, state, d.now)
		return
	}
	next := &clientRequest{
		operation: t.operation, number: t.number + 1, deadline: retry.Deadline, key: t.key,
		id: d.requestID(t.operation.Index, t.number+1),
	}
	d.after(retry.Wait, func() { c.send(next) })
}

// finish records the end of an operation.
func (c *clients) finish(t *clientRequest, state trace.State, at int64) {
	o := &c.outcomes[t.operation.Index]
	if o.State != trace.Pending {
		return
	}
	*o = trace.Outcome{State: state, Elapsed: at - t.operation.Due, Requests: t.number + 1}
	c.unfinished--
	c.lastFinishedAt = c.sim.now
}
