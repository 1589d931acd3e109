package emulator

// Connections of nodes to emulated endpoints, and reading attempts from them.

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/workload"
)

// connection is a connection of a node to an endpoint.
type connection struct {
	listener    *listener
	conn        net.Conn
	incarnation int  // of the endpoint
	isNew       bool // has carried no attempt
	overLimit   bool // exceeds the endpoint's connection limit

	mu      sync.Mutex
	current *attempt
}

// serve reads attempts from a connection until it ends. It keeps reading while an attempt is in flight, because a node
// cancels an attempt by closing its connection.
func (c *connection) serve() {
	listener := c.listener
	e := listener.endpoint
	defer func() {
		c.conn.Close()
		listener.mu.Lock()
		delete(listener.conns, c)
		listener.mu.Unlock()
		e.mu.Lock()
		if c.incarnation == e.incarnation {
			e.connections--
		}
		e.mu.Unlock()
	}()
	in := newReader(c.conn, e.run.now)
	idle := time.Duration(e.fleet.IdleClose)
	for {
		c.conn.SetReadDeadline(time.Now().Add(idle))
		var msg message
		err := in.next(&msg, false)
		c.mu.Lock()
		current := c.current
		c.mu.Unlock()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && current != nil && !current.answered.Load() && in.pending() == 0 {
				continue
			}
			if current != nil {
				c.attemptAbandoned(current)
			}
			if errors.Is(err, errMalformed) || errors.Is(err, errTooLong) {
				e.run.recordAnomaly("hand-off that cannot be read", string(msg.firstLine))
			}
			return
		}
		if current != nil && !current.answered.Load() {
			e.run.recordAnomaly("two hand-offs at once on a connection", string(msg.get(headerRequestID)))
			c.attemptAbandoned(current)
			reset(c.conn)
			return
		}
		c.startAttempt(&msg)
	}
}

// attemptAbandoned handles the end of an attempt's connection: it cancels the job after the network delay.
func (c *connection) attemptAbandoned(a *attempt) {
	e := c.listener.endpoint
	now := e.run.now()
	e.run.history.Update(func() {
		if a.record.ClosedAt == invariant.Never {
			a.record.ClosedAt = now
		}
	})
	if a.answered.Load() || c.listener.cut.Load() {
		return
	}
	time.AfterFunc(a.oneWay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if stopped, _ := e.model.CancelJob(e.run.now(), a.id); stopped && e.jobs[a.id] == a {
			delete(e.jobs, a.id)
		}
	})
}

// startAttempt starts an attempt that was read from the connection.
func (c *connection) startAttempt(msg *message) {
	e, node := c.listener.endpoint, c.listener.node
	now := e.run.now()
	id := string(msg.get(headerRequestID))
	a := &attempt{conn: c, bodySize: len(msg.body), record: &invariant.Attempt{
		Request: id, Node: node, Endpoint: e.spec.Index, Zone: e.spec.Zone,
		Pod: e.spec.Pod, FirstByteAt: msg.firstByteAt,
	}}
	o, number, known := e.run.operationOf(id)
	if !known {
		// No client has sent a request with this ID.
		e.run.recordAnomaly("hand-off with an id that no client sent", id)
		a.respond("400 Unknown", "", nil)
		return
	}
	class := &e.run.scenario.Classes[o.Class]
	until := int64(model.Never)
	if remaining, err := strconv.ParseInt(string(msg.get(headerRemaining)), 10, 64); err == nil {
		until = now + remaining*1e6
	}
	work, failureDraw := workload.AttemptWork(o.Work, class.AttemptNoise, o.Seed+uint64(number), e.spec.Seed, 0)
	a.failureDraw, a.oneWay = failureDraw, e.oneWay(node)
	idempotencyKey := string(msg.get(headerIdempotencyKey))
	e.mu.Lock()
	a.incarnation, a.record.Incarnation = e.incarnation, e.incarnation
	e.lastID++
	a.id = e.lastID
	e.mu.Unlock()
	e.run.history.RecordAttempt(a.record)
	e.run.history.Update(func() { a.record.LastByteAt = now })
	c.mu.Lock()
	c.current = a
	c.mu.Unlock()
	wait := a.oneWay
	if c.isNew {
		wait += time.Duration(e.fleet.ConnectionWait) + 2*a.oneWay // the delay of the handshake
		c.isNew = false
	}
	if c.listener.cut.Load() {
		return // the attempt never arrives; the node only sees its timeout
	}
	afterDelay(wait, func() { a.arrive(work, until, idempotencyKey, o.Class, o.Tenant) })
}
