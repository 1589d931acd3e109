package emulator

// The clients and the front: an open loop. Requests go out when they are due whether or not earlier ones have
// returned, over connections that are kept, to the nodes that the front takes to be ready. Latencies count from when
// one was due.

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/lab/workload"
)

const (
	lateResponseTime = 300 * time.Millisecond // after a hard limit, for answers that come too late
	connectTimeout   = time.Second            // of a client to a node
)

// clientRequest is one request of a client for its operation.
type clientRequest struct {
	operation        *workload.Operation
	number           int
	due              int64 // when this try is due
	deadline         int64
	key              string
	id               string
	record           *invariant.Request
	resent           bool // has been written to a connection that turned out to be closed
	previousClosedAt int64
}

type clients struct {
	run      *Emulation
	pools    []*pool
	byZone   [][]*pool
	nextNode []int
	pickers  []workload.NodePicker // by zone; nil: in turn
	outcomes []trace.Outcome

	mu         sync.Mutex
	retries    retryHeap
	wake       chan struct{}
	unfinished int
}

// retryHeap is a heap by due time.
type retryHeap []*clientRequest

func (h retryHeap) Len() int           { return len(h) }
func (h retryHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h retryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *retryHeap) Push(x any)        { *h = append(*h, x.(*clientRequest)) }
func (h *retryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// pool holds the connections of the clients to one node.
type pool struct {
	clients      *clients
	node         *node
	proxyAddress string // where the clients reach the node, if not at its own address

	mu          sync.Mutex
	idle        []*clientConn
	open        int
	queue       []*clientRequest
	connections map[*clientConn]struct{}
}

// clientConn is one connection of a client.
type clientConn struct {
	pool         *pool
	conn         net.Conn
	reader       *reader
	requests     chan *clientRequest
	lastAnswered *invariant.Request // the try whose answer came last, while nothing has been written behind it
	buffer       []byte
}

func newClients(d *Emulation) (*clients, error) {
	c := &clients{
		run: d, outcomes: make([]trace.Outcome, len(d.plan.Operations)), wake: make(chan struct{}, 1),
		unfinished: len(d.plan.Operations), byZone: make([][]*pool, len(d.scenario.Network.Zones)),
		nextNode: make([]int, len(d.scenario.Network.Zones)),
	}
	for _, n := range d.nodes {
		p := &pool{clients: c, node: n, connections: map[*clientConn]struct{}{}}
		var err error
		if p.proxyAddress, err = d.links.proxyStream(netfault.End{Kind: netfault.Client, Index: n.zone}, netfault.End{Kind: netfault.Node, Index: n.index}, func() string { return n.address }); err != nil {
			return nil, err
		}
		if p.proxyAddress == n.address {
			p.proxyAddress = "" // as it may change until the day begins
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
		c.pickers = append(c.pickers, workload.NewNodePicker(parts, indexes))
	}
	return c, nil
}

// sendAll sends requests as they are due.
func (c *clients) sendAll() {
	tasks, next := c.run.plan.Operations, 0
	delay := int64(c.run.scenario.Network.Client)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := c.run.now()
		for next < len(tasks) && tasks[next].Due+delay <= now {
			t := &tasks[next]
			c.run.lag.record(t.Due+delay, t.Due+delay, now-t.Due-delay)
			c.send(c.firstRequest(t))
			next++
		}
		wait := int64(time.Second)
		if next < len(tasks) {
			wait = tasks[next].Due + delay - now
		}
		c.mu.Lock()
		var due []*clientRequest
		for len(c.retries) > 0 && c.retries[0].due <= now {
			due = append(due, heap.Pop(&c.retries).(*clientRequest))
		}
		if len(c.retries) > 0 {
			wait = min(wait, c.retries[0].due-now)
		}
		c.mu.Unlock()
		for _, t := range due {
			c.send(t)
		}
		timer.Reset(time.Duration(max(wait, 0)))
		select {
		case <-c.run.done:
			return
		case <-c.wake:
		case <-timer.C:
		}
	}
}

func (c *clients) firstRequest(t *workload.Operation) *clientRequest {
	category := &c.run.scenario.Classes[t.Class]
	share := c.run.scenario.Clients.RequestTimeoutShare
	return &clientRequest{
		operation: t, due: t.Due, deadline: t.Due + int64(float64(category.Deadline)*share),
		id:  c.run.requestID(t.Index, 0),
		key: fmt.Sprintf("%016x%016x", c.run.plan.Seed, t.Seed),
	}
}

// send gives a request to a connection of the next node that the front takes to be ready.
func (c *clients) send(t *clientRequest) {
	t.record = nil
	zone := c.byZone[t.operation.Zone]
	if choice := c.pickers[t.operation.Zone]; choice != nil {
		c.nextNode[t.operation.Zone] = choice.Pick(t.operation, t.number) - 1 // who is next, if that one is not in
	}
	for range zone {
		c.nextNode[t.operation.Zone]++
		if p := zone[c.nextNode[t.operation.Zone]%len(zone)]; p.node.isAdmitted() {
			p.enqueue(t)
			return
		}
	}
	for _, p := range c.pools { // no node of its zone is in
		if p.node.isAdmitted() {
			p.enqueue(t)
			return
		}
	}
	c.finishOrRetry(t, trace.Lost, true, 0)
}

func (p *pool) enqueue(t *clientRequest) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		r := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		r.requests <- t
		return
	}
	if p.open >= p.clients.run.scenario.Clients.MaxConnections {
		p.queue = append(p.queue, t)
		p.mu.Unlock()
		return
	}
	p.open++
	p.mu.Unlock()
	p.clients.run.group.Go(func() error { p.openConnection(t); return nil })
}

// openConnection opens a connection and uses it until it or the run ends.
func (p *pool) openConnection(t *clientRequest) {
	r := &clientConn{pool: p, requests: make(chan *clientRequest, 1)}
	defer r.discard()
	for {
		if t == nil {
			if t = r.awaitRequest(); t == nil {
				return
			}
		}
		goesOn, again := r.roundTrip(t)
		if t = nil; again != nil {
			t = again
			continue
		}
		if !goesOn {
			// The connection has ended; the next queued request gets a new one.
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

func (r *clientConn) discard() {
	r.close()
	r.pool.mu.Lock()
	r.pool.open--
	r.pool.mu.Unlock()
}

func (r *clientConn) close() {
	if r.conn != nil {
		r.checkIdle()
		r.conn.Close()
		r.pool.mu.Lock()
		delete(r.pool.connections, r)
		r.conn, r.reader = nil, nil // the day's end asks for it as well
		r.pool.mu.Unlock()
	}
}

// awaitRequest waits for the next request.
func (r *clientConn) awaitRequest() *clientRequest {
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
	case t := <-r.requests:
		return t
	case <-p.clients.run.done:
		return nil
	}
}

// checkIdle notices bytes on a connection without a request, and whether it has ended. One with such bytes is not used
// again: the next response could not be told from them.
func (r *clientConn) checkIdle() (ended bool) {
	r.conn.SetReadDeadline(time.Time{})
	more, ended := connState(r.conn)
	if (more || r.reader.pending() > 0) && r.lastAnswered != nil {
		rec, now := r.lastAnswered, r.pool.clients.run.now()
		r.pool.clients.run.history.Update(func() { rec.ExtraAt = min(rec.ExtraAt, now) })
		r.lastAnswered = nil
	}
	return ended || more || r.reader.pending() > 0
}

// roundTrip sends one request and reads its response. It tells whether the connection goes on, and whether the request
// is to be sent again on a new one, as the node had closed this one before it was read.
func (r *clientConn) roundTrip(t *clientRequest) (goesOn bool, again *clientRequest) {
	d := r.pool.clients.run
	reused := r.conn != nil
	if reused && r.checkIdle() {
		r.close()
		reused = false
	}
	if r.conn == nil {
		c, err := net.DialTimeout("tcp", cmp.Or(r.pool.proxyAddress, r.pool.node.address), connectTimeout)
		if err != nil {
			r.pool.clients.finishOrRetry(t, trace.Lost, true, 0)
			return false, nil
		}
		r.pool.mu.Lock()
		r.conn, r.reader, r.lastAnswered = c, newReader(c, d.now), nil
		r.pool.connections[r] = struct{}{}
		r.pool.mu.Unlock()
	}
	delay := int64(d.scenario.Network.Client)
	r.buffer = encodeRequest(r.buffer[:0], d.scenario, t.operation, t.id, t.key, t.number, t.deadline-d.now()+delay)
	life := r.pool.node.incarnation()
	if _, err := r.conn.Write(r.buffer); err != nil {
		if reused && !t.resent {
			r.close()
			t.resent = true
			return true, t
		}
		r.pool.clients.finishOrRetry(t, trace.Lost, true, 0)
		return false, nil
	}
	r.lastAnswered = nil // what comes from here on is this try's answer, also where nobody waits for it any more
	now := d.now()
	rec := &invariant.Request{
		ID: t.id, Operation: t.operation.Index, Node: r.pool.node.index, Incarnation: life, Class: t.operation.Class,
		SentAt: now, Deadline: t.deadline,
		ResentAfter: t.previousClosedAt,
	}
	d.history.RecordRequest(rec)
	until := t.deadline + int64(d.scenario.Rules.AnswerGrace) + int64(lateResponseTime)
	leaves := int64(invariant.Never)
	if t.operation.CancelsAfter > 0 {
		if leaves = t.operation.Due + t.operation.CancelsAfter; leaves < t.deadline {
			until = leaves
		}
	}
	r.conn.SetReadDeadline(time.Now().Add(time.Duration(until - now)))
	var m message
	err := r.reader.next(&m, true)
	for err == nil && m.status >= 100 && m.status < 200 {
		err = r.reader.next(&m, true)
	}
	now = d.now()
	if err == nil {
		return r.answered(t, rec, &m, now), nil
	}
	begun := r.reader.pending() > 0 || errors.Is(err, errTruncated) || errors.Is(err, errMalformed) || errors.Is(err, errTooLong)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		left := until == leaves
		d.history.Update(func() {
			rec.Truncated = begun
			if left {
				rec.CanceledAt = now
			}
		})
		if left {
			r.pool.clients.finish(t, trace.Canceled, now)
		} else {
			r.pool.clients.finishOrRetry(t, trace.Failed, false, 0)
		}
		return false, nil
	case begun:
		d.history.Update(func() { rec.Truncated = true })
		r.pool.clients.finishOrRetry(t, trace.Failed, false, 0)
		return false, nil
	}
	if reused && !t.resent && errors.Is(err, io.EOF) {
		// The node closed an idle connection and this crossed it; the client sends the same once more on a new one.
		d.history.Update(func() { rec.CloseRaceAt = now })
		r.close()
		t.resent, t.previousClosedAt = true, now
		return true, t
	}
	d.history.Update(func() { rec.ClosedAt = now })
	r.pool.clients.finishOrRetry(t, trace.Lost, !r.pool.node.isAdmitted(), 0)
	return false, nil
}

// answered ends a request that has its response.
func (r *clientConn) answered(t *clientRequest, rec *invariant.Request, m *message, now int64) (goesOn bool) {
	d := r.pool.clients.run
	size := d.scenario.Load.Body
	if d.scenario.Classes[t.operation.Class].Idempotency == scenario.Idempotent {
		size = 0
	}
	state, advice := trace.Failed, int64(0)
	foreign := m.status == 200 && !isResponseBody(m.body, t.id, size)
	switch {
	case m.status == 200 && !foreign:
		state = trace.Succeeded
	case m.status == 429 || m.status == 503:
		state = trace.Rejected
		if v, err := strconv.ParseFloat(string(m.get(headerRetryAfter)), 64); err == nil && v > 0 && v < 3600 {
			advice = int64(v * 1e9)
		}
	}
	d.history.Update(func() {
		rec.AnsweredAt, rec.Status, rec.ForeignBody, rec.RetryAfter = now, m.status, foreign, advice
	})
	r.lastAnswered = rec
	ends := m.closesConnection
	if state == trace.Succeeded {
		r.pool.clients.finish(t, trace.Succeeded, now+int64(d.scenario.Network.Client))
	} else {
		r.pool.clients.finishOrRetry(t, state, false, advice)
	}
	if ends {
		return false
	}
	if t.operation.OneShot {
		r.keepOpenUnused()
		return false
	}
	return true
}

// keepOpenUnused keeps a connection open for good; its owner does no more with it.
func (r *clientConn) keepOpenUnused() {
	parked := &clientConn{pool: r.pool, conn: r.conn, reader: r.reader, lastAnswered: r.lastAnswered}
	r.pool.mu.Lock()
	delete(r.pool.connections, r)
	r.pool.connections[parked] = struct{}{}
	r.conn, r.reader, r.lastAnswered = nil, nil, nil
	r.pool.mu.Unlock()
}

// finishOrRetry ends a request that did not succeed, and sends another where a client would.
func (c *clients) finishOrRetry(t *clientRequest, state trace.State, unreached bool, advice int64) {
	now := c.run.now()
	retry, ok := t.operation.NextRetry(c.run.scenario, t.number, now, state == trace.Rejected || unreached, advice)
	if !ok {
		c.finish(t, state, now)
		return
	}
	next := &clientRequest{
		operation: t.operation, number: t.number + 1, due: now + retry.Wait, deadline: retry.Deadline,
		key: t.key, id: c.run.requestID(t.operation.Index, t.number+1),
	}
	c.mu.Lock()
	heap.Push(&c.retries, next)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// finish records the end of an operation.
func (c *clients) finish(t *clientRequest, state trace.State, at int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.outcomes[t.operation.Index]
	if o.State != trace.Pending {
		return
	}
	*o = trace.Outcome{State: state, Elapsed: at - t.operation.Due, Requests: t.number + 1}
	c.unfinished--
}

// close ends every connection.
func (c *clients) close() {
	for _, p := range c.pools {
		p.mu.Lock()
		for r := range p.connections {
			r.conn.Close() // who is in all has one
		}
		p.mu.Unlock()
	}
}
