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

const listenOn = int64(300 * time.Millisecond) // after a hard limit, for answers that come too late

// try is one message of a client to one node; a task may take several.
type try struct {
	task   *workload.Operation
	n      int
	hard   int64
	ticket string
	id     string
	x      *exchange
	over   bool
}

type clients struct {
	day      *Day
	byZone   [][]*node
	turn     []int
	choice   []workload.NodePicker // by zone; nil: in turn
	outcomes []trace.Outcome
	left     int
	leftAt   int64
}

func newClients(d *Day) *clients {
	c := &clients{
		day: d, outcomes: make([]trace.Outcome, len(d.plan.Operations)), left: len(d.plan.Operations),
		byZone: make([][]*node, len(d.scenario.Network.Zones)), turn: make([]int, len(d.scenario.Network.Zones)),
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
		c.choice = append(c.choice, workload.NewNodePicker(parts, indexes))
	}
	c.next(0)
	return c
}

// next has one task come after another, so that the heap holds few.
func (c *clients) next(i int) {
	if i >= len(c.day.plan.Operations) {
		return
	}
	t := &c.day.plan.Operations[i]
	c.day.at(t.Due+int64(c.day.scenario.Network.Client), func() {
		c.day.count(func(s *trace.FleetActivity) { s.Operations++ })
		category := &c.day.scenario.Classes[t.Class]
		c.send(&try{
			task: t, hard: t.Due + int64(float64(category.Deadline)*c.day.scenario.Clients.RequestTimeoutShare), id: c.day.idOf(t.Index, 0),
			ticket: fmt.Sprintf("%016x", t.Seed),
		})
		c.next(i + 1)
	})
}

// send gives a try to the next node that the front believes in.
func (c *clients) send(t *try) {
	zone := c.byZone[t.task.Zone]
	if choice := c.choice[t.task.Zone]; choice != nil {
		c.turn[t.task.Zone] = choice.Pick(t.task, t.n) - 1 // who is next, if that one is not in
	}
	for range zone {
		c.turn[t.task.Zone]++
		if n := zone[c.turn[t.task.Zone]%len(zone)]; n.in {
			c.give(t, n)
			return
		}
	}
	for _, n := range c.day.nodes {
		if n.in {
			c.give(t, n)
			return
		}
	}
	c.after(t, trace.Lost, true, 0)
}

func (c *clients) give(t *try, n *node) {
	d := c.day
	if !n.alive {
		c.after(t, trace.Lost, true, 0)
		return
	}
	rec := &invariant.Request{ID: t.id, Operation: t.task.Index, Node: n.index, Incarnation: n.life.Incarnation, Class: t.task.Class, SentAt: d.now, Deadline: t.hard}
	front, place := n.front(), netfault.End{Index: n.index}
	if barred, refused := d.barred(front, place); refused {
		c.after(t, trace.Lost, true, 0)
		return
	} else if barred && !d.ways.Open(d.now, front, place) {
		// The node never sees it, so the ledger does not either.
		d.at(t.hard+int64(d.scenario.Rules.AnswerGrace)+listenOn, func() { c.after(t, trace.Failed, false, 0) })
		return
	}
	d.ledger.RecordRequest(rec)
	if late := d.held(front, place); late > 0 {
		rec.SentAt += late
		t.x = &exchange{node: n, life: n.life.Incarnation, try: t, rec: rec}
		d.in(late, func() {
			if n.alive && n.life.Incarnation == rec.Incarnation && !t.over {
				n.arrived(t, rec)
			}
		})
	} else {
		n.arrived(t, rec)
	}
	until := t.hard + int64(d.scenario.Rules.AnswerGrace) + listenOn
	leaves := int64(invariant.Never)
	if t.task.LeavesAfter > 0 {
		if leaves = t.task.Due + t.task.LeavesAfter; leaves < t.hard {
			until = leaves
		}
	}
	d.at(until, func() {
		if t.over {
			return
		}
		t.over = true
		if until == leaves {
			rec.CanceledAt = d.now
			c.settle(t, trace.Canceled, d.now)
		} else {
			c.after(t, trace.Failed, false, 0)
		}
		if n.alive && t.x.life == n.life.Incarnation {
			n.withdrawn(t.x)
		}
	})
}

// answered takes a node's answer.
func (c *clients) answered(x *exchange, status int, advice int64) {
	t := x.try
	if t.over {
		return
	}
	t.over = true
	now := c.day.now
	x.rec.AnsweredAt, x.rec.Status, x.rec.RetryAfter = now, status, advice
	switch status {
	case 200:
		c.settle(t, trace.Succeeded, now+int64(c.day.scenario.Network.Client))
	case 503:
		c.after(t, trace.Rejected, false, advice)
	default:
		c.after(t, trace.Failed, false, 0)
	}
}

// lost is a connection that ended with its node.
func (c *clients) lost(x *exchange) {
	if t := x.try; !t.over {
		t.over = true
		x.rec.ClosedAt = c.day.now
		c.after(t, trace.Lost, !x.node.in, 0)
	}
}

// after ends a try that did not satisfy, and sends the task again where a client would.
func (c *clients) after(t *try, state trace.State, unreached bool, advice int64) {
	d := c.day
	s := d.scenario
	category := &s.Classes[t.task.Class]
	may := state == trace.Rejected || unreached || category.Idempotency == "rerunnable"
	if category.Idempotency == "ticketed" && category.DedupGroup == "fleet" && d.now < t.task.Due+int64(category.DedupWindow) {
		may = true
	}
	wait := int64(s.Clients.Backoff) << t.n
	if advice > 0 && t.task.HonorsRetryAfter {
		wait = max(wait, advice)
	}
	last := t.task.Due + int64(category.Deadline)
	if !may || t.n >= s.Clients.Retries || d.now+wait >= last {
		c.settle(t, state, d.now)
		return
	}
	next := &try{task: t.task, n: t.n + 1, ticket: t.ticket, id: d.idOf(t.task.Index, t.n+1)}
	next.hard = min(last, d.now+wait+int64(float64(category.Deadline)*s.Clients.RequestTimeoutShare))
	d.in(wait, func() { c.send(next) })
}

// settle writes a task's end down.
func (c *clients) settle(t *try, state trace.State, at int64) {
	o := &c.outcomes[t.task.Index]
	if o.State != trace.Pending {
		return
	}
	*o = trace.Outcome{State: state, Elapsed: at - t.task.Due, Requests: t.n + 1}
	c.left--
	c.leftAt = c.day.now
}
