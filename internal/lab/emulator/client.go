package emulator

// This file owns the clients and the front: tasks go out when they are due whether or not earlier ones have come back,
// over connections that are kept, to the nodes that the front believes in. Times count from the moment a task was due.
// It must never wait for an answer before it sends what is due next.

import (
	"cmp"
	"container/heap"
	"errors"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	listenOn = 300 * time.Millisecond // after a hard limit, for answers that come too late
	connect  = time.Second            // of a client to a node
)

// try is one message of a client to one node; a task may take several.
type try struct {
	task     *workload.Operation
	n        int
	due      int64 // when this try is due
	hard     int64
	ticket   string
	id       string
	rec      *invariant.Request
	sentOnce bool // has been written to a connection that turned out to be closed
	crossed  int64
}

type clients struct {
	day      *Day
	pools    []*pool
	byZone   [][]*pool
	turn     []int
	choice   []workload.NodePicker // by zone; nil: in turn
	outcomes []trace.Outcome

	mu    sync.Mutex
	again retries
	wake  chan struct{}
	left  int
}

// retries is a heap by due time.
type retries []*try

func (h retries) Len() int           { return len(h) }
func (h retries) Less(i, j int) bool { return h[i].due < h[j].due }
func (h retries) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *retries) Push(x any)        { *h = append(*h, x.(*try)) }
func (h *retries) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// pool holds the connections of the clients to one node.
type pool struct {
	side *clients
	node *node
	way  string // where the clients reach the node, if not at its own address

	mu     sync.Mutex
	idle   []*rider
	open   int
	queue  []*try
	all    map[*rider]struct{}
	closed bool
}

// rider is one connection of a client.
type rider struct {
	pool *pool
	conn net.Conn
	in   *reader
	work chan *try
	last *invariant.Request // the try whose answer came last, while nothing has been written behind it
	text []byte
}

func newClients(d *Day) (*clients, error) {
	c := &clients{
		day: d, outcomes: make([]trace.Outcome, len(d.plan.Operations)), wake: make(chan struct{}, 1),
		left: len(d.plan.Operations), byZone: make([][]*pool, len(d.scenario.Network.Zones)), turn: make([]int, len(d.scenario.Network.Zones)),
	}
	for _, n := range d.nodes {
		p := &pool{side: c, node: n, all: map[*rider]struct{}{}}
		var err error
		if p.way, err = d.between.stream(netfault.End{Kind: netfault.Client, Index: n.zone}, netfault.End{Kind: netfault.Node, Index: n.index}, func() string { return n.address }); err != nil {
			return nil, err
		}
		if p.way == n.address {
			p.way = "" // as it may change until the day begins
		}
		c.pools = append(c.pools, p)
	}
	parts := d.plan.NodeShares(d.scenario)
	for zone := range c.byZone {
		for _, p := range c.pools {
			if p.node.zone == zone {
				c.byZone[zone] = append(c.byZone[zone], p)
			}
		}
		if len(c.byZone[zone]) == 0 {
			c.byZone[zone] = c.pools
		}
		var indexes []int
		for _, p := range c.byZone[zone] {
			indexes = append(indexes, p.node.index)
		}
		c.choice = append(c.choice, workload.NewNodePicker(parts, indexes))
	}
	return c, nil
}

// run sends out what is due.
func (c *clients) run() {
	tasks, next := c.day.plan.Operations, 0
	delay := int64(c.day.scenario.Network.Client)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := c.day.now()
		for next < len(tasks) && tasks[next].Due+delay <= now {
			t := &tasks[next]
			c.day.gauge.note(t.Due+delay, t.Due+delay, now-t.Due-delay)
			c.send(c.first(t))
			next++
		}
		wait := int64(time.Second)
		if next < len(tasks) {
			wait = tasks[next].Due + delay - now
		}
		c.mu.Lock()
		var due []*try
		for len(c.again) > 0 && c.again[0].due <= now {
			due = append(due, heap.Pop(&c.again).(*try))
		}
		if len(c.again) > 0 {
			wait = min(wait, c.again[0].due-now)
		}
		c.mu.Unlock()
		for _, t := range due {
			c.send(t)
		}
		timer.Reset(time.Duration(max(wait, 0)))
		select {
		case <-c.day.over:
			return
		case <-c.wake:
		case <-timer.C:
		}
	}
}

func (c *clients) first(t *workload.Operation) *try {
	category := &c.day.scenario.Classes[t.Class]
	share := c.day.scenario.Clients.RequestTimeoutShare
	return &try{
		task: t, due: t.Due, hard: t.Due + int64(float64(category.Deadline)*share), id: c.day.idOf(t.Index, 0),
		ticket: fmt.Sprintf("%016x%016x", c.day.plan.Seed, t.Seed),
	}
}

// send gives a try to a connection of the next node that the front believes in.
func (c *clients) send(t *try) {
	t.rec = nil
	zone := c.byZone[t.task.Zone]
	if choice := c.choice[t.task.Zone]; choice != nil {
		c.turn[t.task.Zone] = choice.Pick(t.task, t.n) - 1 // who is next, if that one is not in
	}
	for range zone {
		c.turn[t.task.Zone]++
		if p := zone[c.turn[t.task.Zone]%len(zone)]; p.node.takes() {
			p.give(t)
			return
		}
	}
	for _, p := range c.pools { // no node of its zone is in
		if p.node.takes() {
			p.give(t)
			return
		}
	}
	c.after(t, trace.Lost, true, 0)
}

func (p *pool) give(t *try) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		r := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		r.work <- t
		return
	}
	if p.open >= p.side.day.scenario.Clients.MaxConnections {
		p.queue = append(p.queue, t)
		p.mu.Unlock()
		return
	}
	p.open++
	p.mu.Unlock()
	p.side.day.group.Go(func() error { p.ride(t); return nil })
}

// ride opens a connection and uses it until it ends or the day does.
func (p *pool) ride(t *try) {
	r := &rider{pool: p, work: make(chan *try, 1)}
	defer r.end()
	for {
		if t == nil {
			if t = r.rest(); t == nil {
				return
			}
		}
		goesOn, again := r.do(t)
		if t = nil; again != nil {
			t = again
			continue
		}
		if !goesOn {
			// The connection has ended; whoever waits for one gets a new one in its place.
			r.close()
			p.mu.Lock()
			if len(p.queue) == 0 {
				p.mu.Unlock()
				return
			}
			t, p.queue = p.queue[0], p.queue[1:]
			p.mu.Unlock()
		}
	}
}

func (r *rider) end() {
	r.close()
	r.pool.mu.Lock()
	r.pool.open--
	r.pool.mu.Unlock()
}

func (r *rider) close() {
	if r.conn != nil {
		r.look()
		r.conn.Close()
		r.pool.mu.Lock()
		delete(r.pool.all, r)
		r.conn, r.in = nil, nil // the day's end asks for it as well
		r.pool.mu.Unlock()
	}
}

// rest waits for the next try.
func (r *rider) rest() *try {
	p := r.pool
	p.mu.Lock()
	if len(p.queue) > 0 {
		t := p.queue[0]
		p.queue = p.queue[1:]
		p.mu.Unlock()
		return t
	}
	p.idle = append(p.idle, r)
	p.mu.Unlock()
	select {
	case t := <-r.work:
		return t
	case <-p.side.day.over:
		return nil
	}
}

// look notices what stands on a connection though nothing was asked for, and whether it has ended. One that brought
// more than it should is of no further use: the next answer could not be told from what stands there.
func (r *rider) look() (ended bool) {
	r.conn.SetReadDeadline(time.Time{})
	more, ended := standing(r.conn)
	if (more || r.in.pending() > 0) && r.last != nil {
		rec, now := r.last, r.pool.side.day.now()
		r.pool.side.day.ledger.Update(func() { rec.ExtraAt = min(rec.ExtraAt, now) })
		r.last = nil
	}
	return ended || more || r.in.pending() > 0
}

// do takes one try to its end. It tells whether the connection goes on, and whether the try is to be sent again on a
// new one, as the node had closed this one before it was read.
func (r *rider) do(t *try) (goesOn bool, again *try) {
	d := r.pool.side.day
	reused := r.conn != nil
	if reused && r.look() {
		r.close()
		reused = false
	}
	if r.conn == nil {
		c, err := net.DialTimeout("tcp", cmp.Or(r.pool.way, r.pool.node.address), connect)
		if err != nil {
			r.pool.side.after(t, trace.Lost, true, 0)
			return false, nil
		}
		r.pool.mu.Lock()
		r.conn, r.in, r.last = c, newReader(c, d.now), nil
		r.pool.all[r] = struct{}{}
		r.pool.mu.Unlock()
	}
	delay := int64(d.scenario.Network.Client)
	r.text = tryText(r.text[:0], d.scenario, t.task, t.id, t.ticket, t.n, t.hard-d.now()+delay)
	life := r.pool.node.lifeNow()
	if _, err := r.conn.Write(r.text); err != nil {
		if reused && !t.sentOnce {
			r.close()
			t.sentOnce = true
			return true, t
		}
		r.pool.side.after(t, trace.Lost, true, 0)
		return false, nil
	}
	r.last = nil // what comes from here on is this try's answer, also where nobody waits for it any more
	now := d.now()
	rec := &invariant.Request{
		ID: t.id, Operation: t.task.Index, Node: r.pool.node.index, Incarnation: life, Class: t.task.Class, SentAt: now, Deadline: t.hard,
		ResentAfter: t.crossed,
	}
	d.ledger.RecordRequest(rec)
	until := t.hard + int64(d.scenario.Rules.AnswerGrace) + int64(listenOn)
	leaves := int64(invariant.Never)
	if t.task.LeavesAfter > 0 {
		if leaves = t.task.Due + t.task.LeavesAfter; leaves < t.hard {
			until = leaves
		}
	}
	r.conn.SetReadDeadline(time.Now().Add(time.Duration(until - now)))
	var m message
	err := r.in.next(&m, true)
	for err == nil && m.status >= 100 && m.status < 200 {
		err = r.in.next(&m, true)
	}
	now = d.now()
	if err == nil {
		return r.answered(t, rec, &m, now), nil
	}
	begun := r.in.pending() > 0 || errors.Is(err, errHalf) || errors.Is(err, errSpoilt) || errors.Is(err, errTooLong)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		left := until == leaves
		d.ledger.Update(func() {
			rec.Truncated = begun
			if left {
				rec.CanceledAt = now
			}
		})
		if left {
			r.pool.side.settle(t, trace.Canceled, now)
		} else {
			r.pool.side.after(t, trace.Failed, false, 0)
		}
		return false, nil
	case begun:
		d.ledger.Update(func() { rec.Truncated = true })
		r.pool.side.after(t, trace.Failed, false, 0)
		return false, nil
	}
	if reused && !t.sentOnce && errors.Is(err, io.EOF) {
		// The node closed between tasks and this crossed it; the client sends the same once more on a new connection.
		d.ledger.Update(func() { rec.CrossedAt = now })
		r.close()
		t.sentOnce, t.crossed = true, now
		return true, t
	}
	d.ledger.Update(func() { rec.ClosedAt = now })
	r.pool.side.after(t, trace.Lost, !r.pool.node.takes(), 0)
	return false, nil
}

// answered settles a try that has its answer.
func (r *rider) answered(t *try, rec *invariant.Request, m *message, now int64) (goesOn bool) {
	d := r.pool.side.day
	size := d.scenario.Load.Body
	if d.scenario.Classes[t.task.Class].Idempotency == scenario.Idempotent {
		size = 0
	}
	state, advice := trace.Failed, int64(0)
	foreign := m.status == 200 && !answersTask(m.body, t.id, size)
	switch {
	case m.status == 200 && !foreign:
		state = trace.Succeeded
	case m.status == 429 || m.status == 503:
		state = trace.Rejected
		if v, err := strconv.ParseFloat(string(m.get(nameAdvice)), 64); err == nil && v > 0 && v < 3600 {
			advice = int64(v * 1e9)
		}
	}
	d.ledger.Update(func() {
		rec.AnsweredAt, rec.Status, rec.ForeignBody, rec.RetryAfter = now, m.status, foreign, advice
	})
	r.last = rec
	ends := m.close
	if state == trace.Succeeded {
		r.pool.side.settle(t, trace.Succeeded, now+int64(d.scenario.Network.Client))
	} else {
		r.pool.side.after(t, state, false, advice)
	}
	if ends {
		return false
	}
	if t.task.OneShot {
		r.park()
		return false
	}
	return true
}

// park keeps a connection open for good and unused; whoever owns it does no more with it.
func (r *rider) park() {
	parked := &rider{pool: r.pool, conn: r.conn, in: r.in, last: r.last}
	r.pool.mu.Lock()
	delete(r.pool.all, r)
	r.pool.all[parked] = struct{}{}
	r.conn, r.in, r.last = nil, nil, nil
	r.pool.mu.Unlock()
}

// after ends a try that did not satisfy, and sends the task again where a client would.
func (c *clients) after(t *try, state trace.State, unreached bool, advice int64) {
	now := c.day.now()
	retry, ok := t.task.NextRetry(c.day.scenario, t.n, now, state == trace.Rejected || unreached, advice)
	if !ok {
		c.settle(t, state, now)
		return
	}
	next := &try{
		task: t.task, n: t.n + 1, due: now + retry.Wait, hard: retry.Deadline,
		ticket: t.ticket, id: c.day.idOf(t.task.Index, t.n+1),
	}
	c.mu.Lock()
	heap.Push(&c.again, next)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// settle writes a task's end down.
func (c *clients) settle(t *try, state trace.State, at int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.outcomes[t.task.Index]
	if o.State != trace.Pending {
		return
	}
	*o = trace.Outcome{State: state, Elapsed: at - t.task.Due, Requests: t.n + 1}
	c.left--
}

// close ends every connection, after a last look for what should not be there.
func (c *clients) close() {
	for _, p := range c.pools {
		p.mu.Lock()
		for r := range p.all {
			r.conn.Close() // who is in all has one
		}
		p.mu.Unlock()
	}
}
