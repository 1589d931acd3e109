package emulator

// The emulated endpoints: a listener for each node, connections, network delays and corrupt responses. Package model
// decides how fast endpoints work and when they reject or crash.

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/lab/faultproxy"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
)

// endpointFaults are the active faults of an endpoint that its model does not cover.
type endpointFaults struct {
	unresponsive        bool
	fail, reject, reset float64 // fractions of the attempts
	corrupt             string  // kind of corruption; empty for none
	corruptShare        float64 // fraction of the responses
}

// endpoint is one emulated endpoint. Each start begins a new incarnation.
type endpoint struct {
	run   *Emulation
	spec  workload.Endpoint
	fleet *scenario.Fleet

	mu           sync.Mutex
	incarnation  int
	startedAt    int64 // Unix nanoseconds; 0 for an endpoint that has always been warm
	model        *model.Endpoint
	random       *rand.Rand
	jobs         map[int64]*attempt
	lastID       int64
	reports      []loadSample
	nextReportAt int64 // when the load is sampled next
	faults       endpointFaults
	draining     bool
	connections  int

	listeners []*listener
	wakeup    chan struct{}
}

// loadSample is the load of an endpoint at one time.
type loadSample struct {
	sampledAt int64
	figures   model.LoadFigures
}

// listener is the listener at which one node reaches one endpoint.
type listener struct {
	endpoint   *endpoint
	node       int
	address    string
	advertised string // address in the endpoint list; that of a proxy if the link has faults

	mu           sync.Mutex
	listener     net.Listener
	queueFillers []net.Conn // connections that fill the accept queue while the endpoint is cut off
	conns        map[*connection]struct{}
	cut          atomic.Bool
}

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

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	conn         *connection
	record       *invariant.Attempt
	id           int64
	incarnation  int
	bodySize     int           // of the request
	failureDraw  float64       // the attempt fails if this is below the fleet's error share
	oneWay       time.Duration // network delay to the endpoint and back, each way
	deduplicated bool
	answered     atomic.Bool
}

// newEndpoint starts an endpoint that listens for each node. With addresses, it listens at those of an endpoint that it
// replaces.
func newEndpoint(run *Emulation, spec workload.Endpoint, cold bool, addresses []string) (*endpoint, error) {
	e := &endpoint{
		run: run, spec: spec, fleet: &run.scenario.Fleets[spec.Fleet], jobs: map[int64]*attempt{},
		random: rand.New(rand.NewPCG(spec.Seed, 3)), wakeup: make(chan struct{}, 1),
	}
	for node := range run.scenario.Nodes.Count {
		address := run.address(node, 0)
		if addresses != nil {
			address = addresses[node]
		}
		e.listeners = append(e.listeners, &listener{
			endpoint: e, node: node, address: address, conns: map[*connection]struct{}{},
		})
	}
	if err := e.start(cold); err != nil {
		e.stop()
		return nil, err
	}
	for _, one := range e.listeners {
		var err error
		one.advertised, err = run.links.proxyStream(netfault.End{
			Kind: netfault.Node, Index: one.node,
		}, netfault.End{Kind: netfault.Endpoint, Index: spec.Index},
			func() string { return one.address })
		if err != nil {
			e.stop()
			return nil, err
		}
	}
	run.group.Go(func() error { e.work(); return nil })
	return e, nil
}

// start starts an incarnation: in slow start if cold, else warm.
func (e *endpoint) start(cold bool) error {
	e.mu.Lock()
	now := e.run.now()
	e.recordSlowStart()
	started := int64(math.MinInt64 / 2)
	if e.startedAt = 0; cold {
		// The list has a resolution of 1 ms.
		started, e.startedAt = now, e.run.epoch(now)/1e6*1e6
	}
	e.incarnation++
	e.model = model.NewEndpoint(
		model.SpecOf(e.run.scenario, e.fleet, e.spec.Speed), started, now, e.spec.Seed+uint64(e.incarnation),
	)
	e.jobs, e.faults, e.draining, e.reports, e.nextReportAt, e.connections = map[int64]*attempt{}, endpointFaults{}, false, nil, now, 0
	e.mu.Unlock()
	for _, listener := range e.listeners {
		if err := listener.open(); err != nil {
			return err
		}
	}
	return nil
}

// recordSlowStart records the slow start of the incarnation that ends. The caller holds the lock.
func (e *endpoint) recordSlowStart() {
	if e.model != nil {
		e.run.history.RecordSlowStart(invariant.SlowStart{
			Endpoint: e.spec.Index, Incarnation: e.incarnation, StartedAt: e.startedAt, MeanWork: e.model.MeanWork,
			Window: e.model.CrashWindow, Arrivals: e.model.SlowStartArrivals(),
		})
	}
}

// stop ends an incarnation: its connections are reset and new ones are refused.
func (e *endpoint) stop() {
	e.mu.Lock()
	if e.model != nil {
		e.model.Crash()
	}
	e.jobs = map[int64]*attempt{}
	e.mu.Unlock()
	for _, listener := range e.listeners {
		listener.close()
	}
	e.wake()
}

func (e *endpoint) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// work responds to the attempts whose jobs have ended, and samples the load, until the run ends.
func (e *endpoint) work() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.run.done:
			return
		case <-e.wakeup:
		case <-timer.C:
		}
		e.mu.Lock()
		now := e.run.now()
		done := e.model.Advance(now)
		if e.nextReportAt <= now {
			e.reports = append(e.reports, loadSample{now, e.model.Sample(now)})
			if len(e.reports) > 8 {
				e.reports = e.reports[1:]
			}
			e.nextReportAt = now + int64(e.run.scenario.Reports.Period)
		}
		next := min(e.model.Next(), e.nextReportAt)
		finished, expired := make([]*attempt, 0, 8), []*attempt(nil)
		for _, d := range done {
			a := e.jobs[d.Job.ID]
			if a == nil {
				continue // its incarnation has ended, or it was canceled
			}
			delete(e.jobs, d.Job.ID)
			if d.Expired {
				expired = append(expired, a)
				continue
			}
			e.run.history.Update(func() { a.record.Executed = true })
			finished = append(finished, a)
		}
		e.mu.Unlock()
		for _, a := range finished {
			a.finish()
		}
		for _, a := range expired {
			a.reject()
		}
		timer.Reset(time.Duration(max(next-e.run.now(), 0)))
	}
}

// report returns a load report from the newest sample that is old enough to be reported.
func (e *endpoint) report(now int64) string {
	r := &e.run.scenario.Reports
	if len(r.Fields) == 0 {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].sampledAt+int64(r.Delay) <= now {
			return string(encodeLoadReport(nil, r.Fields, e.reports[i].figures.Noisy(e.random.Float64, r.Noise)))
		}
	}
	return ""
}

// oneWay draws a one-way network delay between a node and the endpoint.
func (e *endpoint) oneWay(node int) time.Duration {
	n := &e.run.scenario.Network
	base := n.SameZone
	if e.run.zoneOf(node) != e.spec.Zone {
		base = n.CrossZone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(base) * (1 + n.Jitter*e.random.Float64()))
}

func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener, l.address = ln, ln.Addr().String()
	l.endpoint.run.group.Go(func() error { l.accept(ln); return nil })
	return nil
}

func (l *listener) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		c := &connection{listener: l, conn: conn, isNew: true}
		l.mu.Lock()
		if l.listener != ln {
			l.mu.Unlock()
			reset(conn)
			continue
		}
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		e := l.endpoint
		e.mu.Lock()
		e.model.ConnectionOpened(e.run.now())
		e.connections++
		c.incarnation = e.incarnation
		c.overLimit = e.connections > e.fleet.Connections
		e.mu.Unlock()
		e.wake()
		e.run.group.Go(func() error { c.serve(); return nil })
	}
}

// close closes the listener and resets its connections.
func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	for c := range l.conns {
		reset(c.conn)
	}
	for _, p := range l.queueFillers {
		p.Close()
	}
	l.queueFillers = nil
	l.cut.Store(false)
}

// cutOff makes the endpoint unreachable for the node: open connections stay open but silent, and connection attempts
// time out. It replaces the listener by one that accepts nothing and whose accept queue is full, so that the kernel
// drops connection attempts.
func (l *listener) cutOff() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil || l.cut.Load() {
		return nil
	}
	l.cut.Store(true)
	l.listener.Close()
	ln, fillers, err := faultproxy.ListenFullBacklog(l.address)
	if err != nil {
		return fmt.Errorf("cutting off %s: %w", l.address, err)
	}
	l.listener, l.queueFillers = ln, fillers
	return nil
}

// reconnect makes the endpoint reachable again and resets the open connections.
func (l *listener) reconnect() error {
	if !l.cut.Load() {
		return nil
	}
	l.close()
	return l.open()
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

func afterDelay(d time.Duration, do func()) {
	if d < 50*time.Microsecond {
		do()
		return
	}
	time.AfterFunc(d, do)
}

// arrive passes the attempt to the endpoint's model as a job, unless an active fault handles it.
func (a *attempt) arrive(work, until int64, idempotencyKey string, class, tenant int) {
	e := a.conn.listener.endpoint
	e.mu.Lock()
	if e.incarnation != a.incarnation || e.model.HasCrashed() {
		e.mu.Unlock()
		return
	}
	t := e.faults
	rejected := a.conn.overLimit || e.draining || e.random.Float64() < t.reject
	switch {
	case t.unresponsive:
		e.mu.Unlock()
		return
	case rejected:
		e.mu.Unlock()
		a.reject()
		return
	case e.random.Float64() < t.reset:
		e.mu.Unlock()
		reset(a.conn.conn)
		return
	case e.random.Float64() < t.fail:
		e.mu.Unlock()
		a.respond("500 Broken", "", nil)
		return
	}
	if idempotencyKey != "" {
		if a.deduplicated = e.run.deduplicatorOf(e, class).seen(e.run.now(), idempotencyKey); a.deduplicated {
			work = min(work, int64(200*time.Microsecond)) // it only looks up the earlier response
		}
		e.run.history.Update(func() { a.record.Deduplicated = a.deduplicated })
	}
	job := &model.Job{
		ID: a.id, Work: work, Deadline: until, Node: a.conn.listener.node, Wait: e.run.slotWait(class, tenant),
	}
	accepted, crash := e.model.Arrive(e.run.now(), job)
	if accepted {
		e.jobs[a.id] = a
	}
	e.mu.Unlock()
	switch {
	case crash != nil:
		e.run.endpointCrashed(e, a.incarnation, crash)
	case !accepted:
		a.reject()
	}
	e.wake()
}

// reject responds that the request was not executed.
func (a *attempt) reject() {
	a.conn.listener.endpoint.run.history.Update(func() { a.record.Rejected = true })
	afterDelay(a.oneWay, func() { a.respond("503 Turned Away", "\r\n"+headerNotExecuted+": 1", nil) })
}

// finish responds to an attempt that has run.
func (a *attempt) finish() {
	e := a.conn.listener.endpoint
	afterDelay(a.oneWay, func() {
		if a.failureDraw < e.fleet.ErrorShare {
			a.respond("500 Error", "", nil)
			return
		}
		e.mu.Lock()
		t := e.faults
		corrupt := t.corrupt != "" && e.random.Float64() < t.corruptShare
		e.mu.Unlock()
		if corrupt {
			a.corrupt(t.corrupt)
			return
		}
		a.respond("200 OK", "", responseBody(nil, e.spec.Name, a.record.Request, a.bodySize))
	})
}

// respond writes a response, with a load report if there is one.
func (a *attempt) respond(status, extra string, body []byte) {
	e := a.conn.listener.endpoint
	now := e.run.now()
	if a.conn.listener.cut.Load() || a.answered.Swap(true) {
		return
	}
	code, _ := strconv.Atoi(status[:3])
	e.run.history.Update(func() { a.record.AnsweredAt, a.record.Status = now, code })
	out := append(make([]byte, 0, 256+len(body)), "HTTP/1.1 "...)
	out = append(out, status...)
	out = append(out, extra...)
	if report := e.report(now); report != "" {
		out = append(out, "\r\n"+headerLoadReport+": "...)
		out = append(out, report...)
	}
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	send(a.conn.conn, append(out, body...))
}

// The delay of a late copy, after its response.
const (
	minCopyDelay = time.Millisecond
	maxCopyDelay = 9 * time.Millisecond
)

// sendLateCopy sends a response again some milliseconds later, unless the endpoint has received another request on the
// connection by then. Such a request may be on its way.
func (a *attempt) sendLateCopy(response string) {
	_, fraction := math.Modf(a.failureDraw * 1e6)
	delay := minCopyDelay + time.Duration(fraction*float64(maxCopyDelay-minCopyDelay))
	time.AfterFunc(delay, func() {
		c := a.conn
		c.mu.Lock()
		defer c.mu.Unlock()
		decidedAt := c.listener.endpoint.run.now() - int64(a.oneWay) // the copy has been on its way since
		if c.current != a && c.current.arrivedBefore(decidedAt) {
			return
		}
		send(c.conn, response)
	})
}

// arrivedBefore reports whether the request has reached the endpoint before a time.
func (a *attempt) arrivedBefore(at int64) bool {
	return a.answered.Load() || a.record.FirstByteAt+int64(a.oneWay) < at
}

// corrupt writes a corrupt response.
func (a *attempt) corrupt(how string) {
	e, c := a.conn.listener.endpoint, a.conn.conn
	body := string(responseBody(nil, e.spec.Name, a.record.Request, a.bodySize))
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	now := e.run.now()
	intact := false
	for _, k := range scenario.IntactKinds {
		intact = intact || k == how
	}
	if a.answered.Swap(true) {
		return
	}
	e.run.history.Update(func() {
		a.record.AnsweredAt, a.record.Status = now, 502
		if intact {
			a.record.Status = 200
		}
	})
	switch how {
	case "twice":
		send(c, response+response)
	case "late-copy":
		send(c, response)
		a.sendLateCopy(response)
	case "interim":
		send(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+response)
	case "bad-report":
		report := "\r\n" + headerLoadReport + ": queue=much,inflight=-7,=,util=NaN\r\n"
		send(c, strings.Replace(response, "\r\n", report, 1))
	case "other-body":
		// A node must not forward the response to another request. Instead of the correct response it could not be
		// recognized by the protocol, so it is sent after the correct one, as unexpected bytes.
		send(c, response+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	case "noise":
		noise := make([]byte, 300)
		for i := range noise {
			noise[i] = byte(a.failureDraw*1e6) + byte(i*131)
		}
		send(c, noise)
	case "endless-head":
		e.run.group.Go(func() error {
			send(c, "HTTP/1.1 200 OK\r\n")
			for n := 0; n < 64; n++ {
				if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", n, strings.Repeat("y", 1000)); err != nil {
					return nil
				}
			}
			return nil
		})
	case "short":
		sendf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1000, body)
	case "long":
		e.run.group.Go(func() error {
			send(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
			block := make([]byte, 64<<10)
			for range 200 {
				c.SetWriteDeadline(time.Now().Add(time.Second))
				if _, err := c.Write(block); err != nil {
					return nil
				}
			}
			return nil
		})
	}
}
