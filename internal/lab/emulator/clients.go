package emulator

// The clients and the front form an open-loop load generator: requests are sent when they are due, whether or not
// earlier ones have responses, over persistent connections to the nodes that the front considers ready. Latencies count
// from the due time.

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
	lateResponseTime = 300 * time.Millisecond // how long after a deadline clients still wait for a response
	connectTimeout   = time.Second            // of a client to a node
)

// clientRequest is one request of a client for its operation.
type clientRequest struct {
	operation        *workload.Operation
	number           int
	due              int64
	deadline         int64
	key              string
	id               string
	record           *invariant.Request
	resent           bool  // was written to a connection that the node had closed, and is sent again
	previousClosedAt int64 // when the client saw that close; 0 if not resent
}

// clients sends the operations of the plan, and retries, to the nodes.
type clients struct {
	run      *Emulation
	pools    []*pool // by node
	byZone   [][]*pool
	nextNode []int
	pickers  []workload.NodePicker // by zone; nil: nodes are used in turn
	outcomes []trace.Outcome

	mu         sync.Mutex
	retries    retryHeap
	wake       chan struct{}
	unfinished int
}

// retryHeap is a heap of requests by due time.
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
	proxyAddress string // where clients connect to reach the node; empty for its own address

	mu          sync.Mutex
	idle        []*clientConn
	open        int
	queue       []*clientRequest
	connections map[*clientConn]struct{}
}

// clientConn is one connection of a client to a node.
type clientConn struct {
	pool         *pool
	conn         net.Conn
	reader       *reader
	requests     chan *clientRequest
	lastAnswered *invariant.Request // the last request with a response, if nothing was written since
	buffer       []byte
}

func newClients(run *Emulation) (*clients, error) {
	c := &clients{
		run: run, outcomes: make([]trace.Outcome, len(run.plan.Operations)), wake: make(chan struct{}, 1),
		unfinished: len(run.plan.Operations), byZone: make([][]*pool, len(run.scenario.Network.Zones)),
		nextNode: make([]int, len(run.scenario.Network.Zones)),
	}
	for _, n := range run.nodes {
		p := &pool{clients: c, node: n, connections: map[*clientConn]struct{}{}}
		var err error
		if p.proxyAddress, err = run.links.proxyStream(netfault.End{Kind: netfault.Client, Index: n.zone}, netfault.End{Kind: netfault.Node, Index: n.index}, func() string { return n.address }); err != nil {
			return nil, err
		}
		if p.proxyAddress == n.address {
			p.proxyAddress = "" // the node's address may change until the run starts
		}
		c.pools = append(c.pools, p)
	}
	shares := run.plan.NodeShares(run.scenario)
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
		c.pickers = append(c.pickers, workload.NewNodePicker(shares, indexes))
	}
	return c, nil
}

// sendAll sends requests when they are due, until the run ends.
func (c *clients) sendAll() {
	operations, next := c.run.plan.Operations, 0
	delay := int64(c.run.scenario.Network.Client)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := c.run.now()
		for next < len(operations) && operations[next].Due+delay <= now {
			o := &operations[next]
			c.run.lag.record(o.Due+delay, o.Due+delay, now-o.Due-delay)
			c.send(c.firstRequest(o))
			next++
		}
		wait := int64(time.Second)
		if next < len(operations) {
			wait = operations[next].Due + delay - now
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
		for _, request := range due {
			c.send(request)
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

func (c *clients) firstRequest(o *workload.Operation) *clientRequest {
	class := &c.run.scenario.Classes[o.Class]
	share := c.run.scenario.Clients.RequestTimeoutShare
	return &clientRequest{
		operation: o, due: o.Due, deadline: o.Due + int64(float64(class.Deadline)*share),
		id:  c.run.requestID(o.Index, 0),
		key: fmt.Sprintf("%016x%016x", c.run.plan.Seed, o.Seed),
	}
}

// send queues a request for the next node that the front considers ready, preferably in the client's zone.
func (c *clients) send(request *clientRequest) {
	request.record = nil
	zone := c.byZone[request.operation.Zone]
	if picker := c.pickers[request.operation.Zone]; picker != nil {
		c.nextNode[request.operation.Zone] = picker.Pick(request.operation, request.number) - 1 // else the next admitted one
	}
	for range zone {
		c.nextNode[request.operation.Zone]++
		if p := zone[c.nextNode[request.operation.Zone]%len(zone)]; p.node.isAdmitted() {
			p.enqueue(request)
			return
		}
	}
	for _, p := range c.pools { // no node of the zone is admitted
		if p.node.isAdmitted() {
			p.enqueue(request)
			return
		}
	}
	c.finishOrRetry(request, trace.Lost, true, 0)
}

func (p *pool) enqueue(request *clientRequest) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		cc := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		cc.requests <- request
		return
	}
	if p.open >= p.clients.run.scenario.Clients.MaxConnections {
		p.queue = append(p.queue, request)
		p.mu.Unlock()
		return
	}
	p.open++
	p.mu.Unlock()
	p.clients.run.group.Go(func() error { p.openConnection(request); return nil })
}

// openConnection opens a connection for a request and uses it for further ones until the connection or the run ends.
func (p *pool) openConnection(request *clientRequest) {
	cc := &clientConn{pool: p, requests: make(chan *clientRequest, 1)}
	defer cc.discard()
	for {
		if request == nil {
			if request = cc.awaitRequest(); request == nil {
				return
			}
		}
		reusable, resend := cc.roundTrip(request)
		if request = nil; resend != nil {
			request = resend
			continue
		}
		if !reusable {
			// The connection has ended. The next queued request opens a new one.
			cc.close()
			p.mu.Lock()
			if len(p.queue) == 0 {
				p.mu.Unlock()
				return
			}
			request, p.queue = p.queue[0], p.queue[1:]
			p.mu.Unlock()
		}
	}
}

func (cc *clientConn) discard() {
	cc.close()
	cc.pool.mu.Lock()
	cc.pool.open--
	cc.pool.mu.Unlock()
}

func (cc *clientConn) close() {
	if cc.conn != nil {
		cc.checkIdle()
		cc.conn.Close()
		cc.pool.mu.Lock()
		delete(cc.pool.connections, cc)
		cc.conn, cc.reader = nil, nil // clients.close reads them at the end of the run
		cc.pool.mu.Unlock()
	}
}

// awaitRequest waits for the next request; nil at the end of the run.
func (cc *clientConn) awaitRequest() *clientRequest {
	p := cc.pool
	p.mu.Lock()
	if len(p.queue) > 0 {
		request := p.queue[0]
		p.queue = p.queue[1:]
		p.mu.Unlock()
		return request
	}
	p.idle = append(p.idle, cc)
	p.mu.Unlock()
	select {
	case request := <-cc.requests:
		return request
	case <-p.clients.run.done:
		return nil
	}
}

// checkIdle records unexpected bytes on an idle connection as a second response to the last request. It reports whether
// the connection has ended or has such bytes; it must not be reused then, as they would be read as the next response.
func (cc *clientConn) checkIdle() (ended bool) {
	cc.conn.SetReadDeadline(time.Time{})
	more, ended := connState(cc.conn)
	if (more || cc.reader.pending() > 0) && cc.lastAnswered != nil {
		rec, now := cc.lastAnswered, cc.pool.clients.run.now()
		cc.pool.clients.run.history.Update(func() { rec.ExtraAt = min(rec.ExtraAt, now) })
		cc.lastAnswered = nil
	}
	return ended || more || cc.reader.pending() > 0
}

// roundTrip sends a request and reads its response. It reports whether the connection can be reused. It returns the
// request as resend if it must be sent again on a new connection, because the node had closed this one before it read
// it.
func (cc *clientConn) roundTrip(request *clientRequest) (reusable bool, resend *clientRequest) {
	run := cc.pool.clients.run
	reused := cc.conn != nil
	if reused && cc.checkIdle() {
		cc.close()
		reused = false
	}
	if cc.conn == nil {
		c, err := net.DialTimeout("tcp", cmp.Or(cc.pool.proxyAddress, cc.pool.node.address), connectTimeout)
		if err != nil {
			cc.pool.clients.finishOrRetry(request, trace.Lost, true, 0)
			return false, nil
		}
		cc.pool.mu.Lock()
		cc.conn, cc.reader, cc.lastAnswered = c, newReader(c, run.now), nil
		cc.pool.connections[cc] = struct{}{}
		cc.pool.mu.Unlock()
	}
	delay := int64(run.scenario.Network.Client)
	cc.buffer = encodeRequest(cc.buffer[:0], run.scenario, request.operation, request.id, request.key, request.number, request.deadline-run.now()+delay)
	incarnation := cc.pool.node.incarnation()
	if _, err := cc.conn.Write(cc.buffer); err != nil {
		if reused && !request.resent {
			cc.close()
			request.resent = true
			return true, request
		}
		cc.pool.clients.finishOrRetry(request, trace.Lost, true, 0)
		return false, nil
	}
	cc.lastAnswered = nil // from here on, bytes belong to this request, even after the client has given up
	now := run.now()
	rec := &invariant.Request{
		ID: request.id, Operation: request.operation.Index, Node: cc.pool.node.index, Incarnation: incarnation, Class: request.operation.Class,
		SentAt: now, Deadline: request.deadline,
		ResentAfter: request.previousClosedAt,
	}
	run.history.RecordRequest(rec)
	until := request.deadline + int64(run.scenario.Rules.AnswerGrace) + int64(lateResponseTime)
	cancelAt := int64(invariant.Never)
	if request.operation.CancelsAfter > 0 {
		if cancelAt = request.operation.Due + request.operation.CancelsAfter; cancelAt < request.deadline {
			until = cancelAt
		}
	}
	cc.conn.SetReadDeadline(time.Now().Add(time.Duration(until - now)))
	var m message
	err := cc.reader.next(&m, true)
	for err == nil && m.status >= 100 && m.status < 200 {
		err = cc.reader.next(&m, true)
	}
	now = run.now()
	if err == nil {
		return cc.answered(request, rec, &m, now), nil
	}
	responseBegun := cc.reader.pending() > 0 || errors.Is(err, errTruncated) || errors.Is(err, errMalformed) || errors.Is(err, errTooLong)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		canceled := until == cancelAt
		run.history.Update(func() {
			rec.Truncated = responseBegun
			if canceled {
				rec.CanceledAt = now
			}
		})
		if canceled {
			cc.pool.clients.finish(request, trace.Canceled, now)
		} else {
			cc.pool.clients.finishOrRetry(request, trace.Failed, false, 0)
		}
		return false, nil
	case responseBegun:
		run.history.Update(func() { rec.Truncated = true })
		cc.pool.clients.finishOrRetry(request, trace.Failed, false, 0)
		return false, nil
	}
	if reused && !request.resent && errors.Is(err, io.EOF) {
		// The node closed the idle connection while the request was on its way. The client sends the same request once
		// more on a new connection.
		run.history.Update(func() { rec.CloseRaceAt = now })
		cc.close()
		request.resent, request.previousClosedAt = true, now
		return true, request
	}
	run.history.Update(func() { rec.ClosedAt = now })
	cc.pool.clients.finishOrRetry(request, trace.Lost, !cc.pool.node.isAdmitted(), 0)
	return false, nil
}

// answered handles the response to a request. It reports whether the connection can be reused.
func (cc *clientConn) answered(request *clientRequest, rec *invariant.Request, m *message, now int64) (reusable bool) {
	run := cc.pool.clients.run
	size := run.scenario.Load.Body
	if run.scenario.Classes[request.operation.Class].Idempotency == scenario.Idempotent {
		size = 0
	}
	state, retryAfter := trace.Failed, int64(0)
	foreign := m.status == 200 && !isResponseBody(m.body, request.id, size)
	switch {
	case m.status == 200 && !foreign:
		state = trace.Succeeded
	case m.status == 429 || m.status == 503:
		state = trace.Rejected
		if v, err := strconv.ParseFloat(string(m.get(headerRetryAfter)), 64); err == nil && v > 0 && v < 3600 {
			retryAfter = int64(v * 1e9)
		}
	}
	run.history.Update(func() {
		rec.AnsweredAt, rec.Status, rec.ForeignBody, rec.RetryAfter = now, m.status, foreign, retryAfter
	})
	cc.lastAnswered = rec
	ends := m.closesConnection
	if state == trace.Succeeded {
		cc.pool.clients.finish(request, trace.Succeeded, now+int64(run.scenario.Network.Client))
	} else {
		cc.pool.clients.finishOrRetry(request, state, false, retryAfter)
	}
	if ends {
		return false
	}
	if request.operation.OneShot {
		cc.keepOpenUnused()
		return false
	}
	return true
}

// keepOpenUnused keeps the connection open until the end of the run without using it again.
func (cc *clientConn) keepOpenUnused() {
	unused := &clientConn{pool: cc.pool, conn: cc.conn, reader: cc.reader, lastAnswered: cc.lastAnswered}
	cc.pool.mu.Lock()
	delete(cc.pool.connections, cc)
	cc.pool.connections[unused] = struct{}{}
	cc.conn, cc.reader, cc.lastAnswered = nil, nil, nil
	cc.pool.mu.Unlock()
}

// finishOrRetry handles a request that has not succeeded: it schedules a further one if the client retries, else it
// finishes the operation. unreached means that the node cannot have received the request.
func (c *clients) finishOrRetry(request *clientRequest, state trace.State, unreached bool, retryAfter int64) {
	now := c.run.now()
	retry, ok := request.operation.NextRetry(c.run.scenario, request.number, now, state == trace.Rejected || unreached, retryAfter)
	if !ok {
		c.finish(request, state, now)
		return
	}
	next := &clientRequest{
		operation: request.operation, number: request.number + 1, due: now + retry.Wait, deadline: retry.Deadline,
		key: request.key, id: c.run.requestID(request.operation.Index, request.number+1),
	}
	c.mu.Lock()
	heap.Push(&c.retries, next)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// finish records the outcome of an operation.
func (c *clients) finish(request *clientRequest, state trace.State, at int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.outcomes[request.operation.Index]
	if o.State != trace.Pending {
		return
	}
	*o = trace.Outcome{State: state, Elapsed: at - request.operation.Due, Requests: request.number + 1}
	c.unfinished--
}

// close closes all connections.
func (c *clients) close() {
	for _, p := range c.pools {
		p.mu.Lock()
		for cc := range p.connections {
			cc.conn.Close() // not nil: only open connections are in the map
		}
		p.mu.Unlock()
	}
}
