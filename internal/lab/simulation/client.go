package simulation

// This file owns the clients and the front: tasks come when they are due, to the nodes that the front believes in, and are sent
// again as clients do. It must never hold a task back because an earlier one has not come back.

import (
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
	"fmt"
	"time"
)

const lateResponseTime = int64(300 * time.Millisecond) // after a hard limit, for answers that come too late

// try is one message of a client to one node; a task may take several.
type clientRequest struct {
	operation *workload.Operation
	n         int
	deadline  int64
	key       string
	id        string
	pending   *pendingRequest
	finished  bool
}

type clients struct {
	day            *Simulation
	byZone         [][]*node
	nextNode       []int
	pickers        []workload.NodePicker // by zone; nil: in turn
	outcomes       []trace.Outcome
	unfinished     int
	lastFinishedAt int64
}

func newClients(d *Simulation) *clients {
	c := &clients{
		day: d, outcomes: make([]trace.Outcome, len(d.plan.Operations)), unfinished: len(d.plan.Operations),
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

// next has one task come after another, so that the heap holds few.
func (c *clients) scheduleNext(i int) {
	if i >= len(c.day.plan.Operations) {
		return
	}
	t := &c.day.plan.Operations[i]
	c.day.at(t.Due+int64(c.day.scenario.Network.Client), func() {
		c.day.count(func(s *trace.FleetActivity) { s.Operations++ })
		category := &c.day.scenario.Classes[t.Class]
		c.send(&clientRequest{
			operation: t, deadline: t.Due + int64(float64(category.Deadline)*c.day.scenario.Clients.RequestTimeoutShare), id: c.day.requestID(t.Index, 0),
			key: fmt.Sprintf("%016x", t.Seed),
		})
		c.scheduleNext(i + 1)
	})
}

// send gives a try to the next node that the front believes in.
func (c *clients) send(t *clientRequest) {
	zone := c.byZone[t.operation.Zone]
	if choice := c.pickers[t.operation.Zone]; choice != nil {
		c.nextNode[t.operation.Zone] = choice.Pick(t.operation, t.n) - 1 // who is next, if that one is not in
	}
	for range zone {
		c.nextNode[t.operation.Zone]++
		if n := zone[c.nextNode[t.operation.Zone]%len(zone)]; n.admitted {
			c.deliver(t, n)
			return
		}
	}
	for _, n := range c.day.nodes {
		if n.admitted {
			c.deliver(t, n)
			return
		}
	}
	c.finishOrRetry(t, trace.Lost, true, 0)
}

func (c *clients) deliver(t *clientRequest, n *node) {
	d := c.day
	if !n.alive {
		c.finishOrRetry(t, trace.Lost, true, 0)
		return
	}
	rec := &invariant.Request{ID: t.id, Operation: t.operation.Index, Node: n.index, Incarnation: n.process.Incarnation, Class: t.operation.Class, SentAt: d.now, Deadline: t.deadline}
	front, place := n.front(), netfault.End{Index: n.index}
	if barred, refused := d.cannotConnect(front, place); refused {
		c.finishOrRetry(t, trace.Lost, true, 0)
		return
	} else if barred && !d.links.Open(d.now, front, place) {
		// The node never sees it, so the ledger does not either.
		d.at(t.deadline+int64(d.scenario.Rules.AnswerGrace)+lateResponseTime, func() { c.finishOrRetry(t, trace.Failed, false, 0) })
		return
	}
	d.history.RecordRequest(rec)
	if late := d.linkDelay(front, place); late > 0 {
		rec.SentAt += late
		t.pending = &pendingRequest{node: n, incarnation: n.process.Incarnation, request: t, record: rec}
		d.after(late, func() {
			if n.alive && n.process.Incarnation == rec.Incarnation && !t.finished {
				n.receive(t, rec)
			}
		})
	} else {
		n.receive(t, rec)
	}
	until := t.deadline + int64(d.scenario.Rules.AnswerGrace) + lateResponseTime
	leaves := int64(invariant.Never)
	if t.operation.LeavesAfter > 0 {
		if leaves = t.operation.Due + t.operation.LeavesAfter; leaves < t.deadline {
			until = leaves
		}
	}
	d.at(until, func() {
		if t.finished {
			return
		}
		t.finished = true
		if until == leaves {
			rec.CanceledAt = d.now
			c.finish(t, trace.Canceled, d.now)
		} else {
			c.finishOrRetry(t, trace.Failed, false, 0)
		}
		if n.alive && t.pending.incarnation == n.process.Incarnation {
			n.clientGone(t.pending)
		}
	})
}

// answered takes a node's answer.
func (c *clients) answered(x *pendingRequest, status int, advice int64) {
	t := x.request
	if t.finished {
		return
	}
	t.finished = true
	now := c.day.now
	x.record.AnsweredAt, x.record.Status, x.record.RetryAfter = now, status, advice
	switch status {
	case 200:
		c.finish(t, trace.Succeeded, now+int64(c.day.scenario.Network.Client))
	case 503:
		c.finishOrRetry(t, trace.Rejected, false, advice)
	default:
		c.finishOrRetry(t, trace.Failed, false, 0)
	}
}

// lost is a connection that ended with its node.
func (c *clients) lost(x *pendingRequest) {
	if t := x.request; !t.finished {
		t.finished = true
		x.record.ClosedAt = c.day.now
		c.finishOrRetry(t, trace.Lost, !x.node.admitted, 0)
	}
}

// after ends a try that did not satisfy, and sends the task again where a client would.
func (c *clients) finishOrRetry(t *clientRequest, state trace.State, unreached bool, advice int64) {
	d := c.day
	retry, ok := t.operation.NextRetry(d.scenario, t.n, d.now, state == trace.Rejected || unreached, advice)
	if !ok {
		c.finish(t, state, d.now)
		return
	}
	next := &clientRequest{
		operation: t.operation, n: t.n + 1, deadline: retry.Deadline, key: t.key, id: d.requestID(t.operation.Index, t.n+1),
	}
	d.after(retry.Wait, func() { c.send(next) })
}

// settle writes a task's end down.
func (c *clients) finish(t *clientRequest, state trace.State, at int64) {
	o := &c.outcomes[t.operation.Index]
	if o.State != trace.Pending {
		return
	}
	*o = trace.Outcome{State: state, Elapsed: at - t.operation.Due, Requests: t.n + 1}
	c.unfinished--
	c.lastFinishedAt = c.day.now
}
