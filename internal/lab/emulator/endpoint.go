package emulator

// Endpoints on sockets: a listener for each node, connections, delays of the network, and what faults make of
// responses. What an endpoint can do and when work ends is the model's.

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

// endpointFaults are active faults of an endpoint that its model does not have.
type endpointFaults struct {
	unresponsive        bool
	fail, reject, reset float64 // shares of attempts
	corrupt             string
	corruptShare        float64
}

// endpoint is one endpoint. Its incarnation grows with each start.
type endpoint struct {
	run   *Emulation
	spec  workload.Endpoint
	fleet *scenario.Fleet

	mu           sync.Mutex
	incarnation  int
	startedAt    int64 // Unix nanoseconds; 0 for long ago
	model        *model.Endpoint
	random       *rand.Rand
	jobs         map[int64]*attempt
	lastID       int64
	reports      []loadSample
	nextReportAt int64 // when figures are to be taken next
	faults       endpointFaults
	draining     bool
	connections  int

	listeners []*listener
	wakeup    chan struct{}
}

type loadSample struct {
	sampledAt int64
	figures   model.LoadFigures
}

// listener is where one node reaches one endpoint.
type listener struct {
	endpoint   *endpoint
	node       int
	address    string
	advertised string // where the list says that it is

	mu           sync.Mutex
	listener     net.Listener
	queueFillers []net.Conn // keep a full queue full, so that nobody gets through
	conns        map[*connection]struct{}
	cut          atomic.Bool
}

// connection is one of a node to an endpoint.
type connection struct {
	listener    *listener
	conn        net.Conn
	incarnation int  // of the server
	isNew       bool // has carried no task
	overLimit   bool // beyond what the server holds

	mu      sync.Mutex
	current *attempt
}

// attempt is one attempt at an endpoint.
type attempt struct {
	conn         *connection
	record       *invariant.Attempt
	id           int64
	incarnation  int
	bodySize     int // of the task's body
	failureDraw  float64
	oneWay       time.Duration
	deduplicated bool
	answered     atomic.Bool
}

// newEndpoint makes an endpoint that listens for every node. With addresses it takes the place of another.
func newEndpoint(d *Emulation, spec workload.Endpoint, cold bool, addresses []string) (*endpoint, error) {
	m := &endpoint{
		run: d, spec: spec, fleet: &d.scenario.Fleets[spec.Fleet], jobs: map[int64]*attempt{},
		random: rand.New(rand.NewPCG(spec.Seed, 3)), wakeup: make(chan struct{}, 1),
	}
	for node := range d.scenario.Nodes.Count {
		address := d.address(node, 0)
		if addresses != nil {
			address = addresses[node]
		}
		m.listeners = append(m.listeners, &listener{
			endpoint: m, node: node, address: address, conns: map[*connection]struct{}{},
		})
	}
	if err := m.start(cold); err != nil {
		m.stop()
		return nil, err
	}
	for _, one := range m.listeners {
		var err error
		one.advertised, err = d.links.proxyStream(netfault.End{
			Kind: netfault.Node, Index: one.node,
		}, netfault.End{Kind: netfault.Endpoint, Index: spec.Index},
			func() string { return one.address })
		if err != nil {
			m.stop()
			return nil, err
		}
	}
	d.group.Go(func() error { m.work(); return nil })
	return m, nil
}

// start begins an incarnation. A cold one starts now, another long ago.
func (m *endpoint) start(cold bool) error {
	m.mu.Lock()
	now := m.run.now()
	m.recordSlowStart()
	started := int64(math.MinInt64 / 2)
	if m.startedAt = 0; cold {
		// The list has whole milliseconds.
		started, m.startedAt = now, m.run.epoch(now)/1e6*1e6
	}
	m.incarnation++
	m.model = model.NewEndpoint(
		model.SpecOf(m.run.scenario, m.fleet, m.spec.Speed), started, now, m.spec.Seed+uint64(m.incarnation),
	)
	m.jobs, m.faults, m.draining, m.reports, m.nextReportAt, m.connections = map[int64]*attempt{}, endpointFaults{}, false, nil, now, 0
	m.mu.Unlock()
	for _, d := range m.listeners {
		if err := d.open(); err != nil {
			return err
		}
	}
	return nil
}

// recordSlowStart records the slow start of the incarnation that ends; the lock is held.
func (m *endpoint) recordSlowStart() {
	if m.model != nil {
		m.run.history.RecordSlowStart(invariant.SlowStart{
			Endpoint: m.spec.Index, Incarnation: m.incarnation, StartedAt: m.startedAt, MeanWork: m.model.MeanWork,
			Window: m.model.CrashWindow, Arrivals: m.model.SlowStartArrivals(),
		})
	}
}

// stop ends an incarnation: connections are reset, new ones refused.
func (m *endpoint) stop() {
	m.mu.Lock()
	if m.model != nil {
		m.model.Crash()
	}
	m.jobs = map[int64]*attempt{}
	m.mu.Unlock()
	for _, d := range m.listeners {
		d.close()
	}
	m.wake()
}

func (m *endpoint) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// work answers what the model has finished, and samples its load.
func (m *endpoint) work() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.run.done:
			return
		case <-m.wakeup:
		case <-timer.C:
		}
		m.mu.Lock()
		now := m.run.now()
		done := m.model.Advance(now)
		if m.nextReportAt <= now {
			m.reports = append(m.reports, loadSample{now, m.model.Sample(now)})
			if len(m.reports) > 8 {
				m.reports = m.reports[1:]
			}
			m.nextReportAt = now + int64(m.run.scenario.Reports.Period)
		}
		next := min(m.model.Next(), m.nextReportAt)
		finished, late := make([]*attempt, 0, 8), []*attempt(nil)
		for _, d := range done {
			h := m.jobs[d.Job.ID]
			if h == nil {
				continue // its life has ended
			}
			delete(m.jobs, d.Job.ID)
			if d.Expired {
				late = append(late, h)
				continue
			}
			m.run.history.Update(func() { h.record.Executed = true })
			finished = append(finished, h)
		}
		m.mu.Unlock()
		for _, h := range finished {
			h.finish()
		}
		for _, h := range late {
			h.reject()
		}
		timer.Reset(time.Duration(max(next-m.run.now(), 0)))
	}
}

// report is the newest load report that is visible by now.
func (m *endpoint) report(now int64) string {
	r := &m.run.scenario.Reports
	if len(r.Fields) == 0 {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(m.reports) - 1; i >= 0; i-- {
		if m.reports[i].sampledAt+int64(r.Delay) <= now {
			return string(encodeLoadReport(nil, r.Fields, m.reports[i].figures.Noisy(m.random.Float64, r.Noise)))
		}
	}
	return ""
}

// oneWay is the network's delay between a node and this endpoint.
func (m *endpoint) oneWay(node int) time.Duration {
	n := &m.run.scenario.Network
	base := n.SameZone
	if m.run.zoneOf(node) != m.spec.Zone {
		base = n.CrossZone
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(base) * (1 + n.Jitter*m.random.Float64()))
}

func (d *listener) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.listener, d.address = l, l.Addr().String()
	d.endpoint.run.group.Go(func() error { d.accept(l); return nil })
	return nil
}

func (d *listener) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		k := &connection{listener: d, conn: c, isNew: true}
		d.mu.Lock()
		if d.listener != l {
			d.mu.Unlock()
			reset(c)
			continue
		}
		d.conns[k] = struct{}{}
		d.mu.Unlock()
		m := d.endpoint
		m.mu.Lock()
		m.model.ConnectionOpened(m.run.now())
		m.connections++
		k.incarnation = m.incarnation
		k.overLimit = m.connections > m.fleet.Connections
		m.mu.Unlock()
		m.wake()
		m.run.group.Go(func() error { k.serve(); return nil })
	}
}

// close closes the listener and resets what is open.
func (d *listener) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
		d.listener = nil
	}
	for k := range d.conns {
		reset(k.conn)
	}
	for _, p := range d.queueFillers {
		p.Close()
	}
	d.queueFillers = nil
	d.cut.Store(false)
}

// cutOff makes the endpoint unreachable for this node: what is open stays open and silent, new connections never come
// up. The queue of a listener that accepts nothing is kept full, so that the system drops new connections.
func (d *listener) cutOff() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener == nil || d.cut.Load() {
		return nil
	}
	d.cut.Store(true)
	d.listener.Close()
	l, plugs, err := faultproxy.ListenFullBacklog(d.address)
	if err != nil {
		return fmt.Errorf("cutting off %s: %w", d.address, err)
	}
	d.listener, d.queueFillers = l, plugs
	return nil
}

// reconnect makes it reachable again: what was open is reset.
func (d *listener) reconnect() error {
	if !d.cut.Load() {
		return nil
	}
	d.close()
	return d.open()
}

// serve reads attempts from a connection until it ends. It reads on while one is in flight, as a node's cancel shows
// so.
func (k *connection) serve() {
	d := k.listener
	m := d.endpoint
	defer func() {
		k.conn.Close()
		d.mu.Lock()
		delete(d.conns, k)
		d.mu.Unlock()
		m.mu.Lock()
		if k.incarnation == m.incarnation {
			m.connections--
		}
		m.mu.Unlock()
	}()
	in := newReader(k.conn, m.run.now)
	idle := time.Duration(m.fleet.IdleClose)
	for {
		k.conn.SetReadDeadline(time.Now().Add(idle))
		var msg message
		err := in.next(&msg, false)
		k.mu.Lock()
		cur := k.current
		k.mu.Unlock()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && cur != nil && !cur.answered.Load() && in.pending() == 0 {
				continue
			}
			if cur != nil {
				k.attemptAbandoned(cur)
			}
			if errors.Is(err, errMalformed) || errors.Is(err, errTooLong) {
				m.run.recordAnomaly("hand-off that cannot be read", string(msg.firstLine))
			}
			return
		}
		if cur != nil && !cur.answered.Load() {
			m.run.recordAnomaly("two hand-offs at once on a connection", string(msg.get(headerRequestID)))
			k.attemptAbandoned(cur)
			reset(k.conn)
			return
		}
		k.startAttempt(&msg)
	}
}

// attemptAbandoned takes the end of an attempt's connection.
func (k *connection) attemptAbandoned(h *attempt) {
	m := k.listener.endpoint
	now := m.run.now()
	m.run.history.Update(func() {
		if h.record.ClosedAt == invariant.Never {
			h.record.ClosedAt = now
		}
	})
	if h.answered.Load() || k.listener.cut.Load() {
		return
	}
	time.AfterFunc(h.oneWay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if stopped, _ := m.model.CancelJob(m.run.now(), h.id); stopped && m.jobs[h.id] == h {
			delete(m.jobs, h.id)
		}
	})
}

// startAttempt begins one attempt.
func (k *connection) startAttempt(msg *message) {
	m, node := k.listener.endpoint, k.listener.node
	now := m.run.now()
	id := string(msg.get(headerRequestID))
	h := &attempt{conn: k, bodySize: len(msg.body), record: &invariant.Attempt{
		Request: id, Node: node, Endpoint: m.spec.Index, Zone: m.spec.Zone,
		Pod: m.spec.Pod, FirstByteAt: msg.firstByteAt,
	}}
	task, try, known := m.run.operationOf(id)
	if !known {
		// The ID is not one that a client sent in this form.
		m.run.recordAnomaly("hand-off with an id that no client sent", id)
		h.respond("400 Unknown", "", nil)
		return
	}
	category := &m.run.scenario.Classes[task.Class]
	until := int64(model.Never)
	if left, err := strconv.ParseInt(string(msg.get(headerRemaining)), 10, 64); err == nil {
		until = now + left*1e6
	}
	work, luck := workload.AttemptWork(task.Work, category.AttemptNoise, task.Seed+uint64(try), m.spec.Seed, 0)
	h.failureDraw, h.oneWay = luck, m.oneWay(node)
	ticket := string(msg.get(headerIdempotencyKey))
	m.mu.Lock()
	h.incarnation, h.record.Incarnation = m.incarnation, m.incarnation
	m.lastID++
	h.id = m.lastID
	m.mu.Unlock()
	m.run.history.RecordAttempt(h.record)
	m.run.history.Update(func() { h.record.LastByteAt = now })
	k.mu.Lock()
	k.current = h
	k.mu.Unlock()
	wait := h.oneWay
	if k.isNew {
		wait += time.Duration(m.fleet.ConnectionWait) + 2*h.oneWay // as its setting up would have taken
		k.isNew = false
	}
	if k.listener.cut.Load() {
		return // it never arrives; the node cannot know
	}
	afterDelay(wait, func() { h.arrive(work, until, ticket, task.Class, task.Tenant) })
}

func afterDelay(d time.Duration, do func()) {
	if d < 50*time.Microsecond {
		do()
		return
	}
	time.AfterFunc(d, do)
}

// arrive gives the work to the model, unless a fault answers first.
func (h *attempt) arrive(work, until int64, ticket string, category, customer int) {
	m := h.conn.listener.endpoint
	m.mu.Lock()
	if m.incarnation != h.incarnation || m.model.HasCrashed() {
		m.mu.Unlock()
		return
	}
	t := m.faults
	turned := h.conn.overLimit || m.draining || m.random.Float64() < t.reject
	switch {
	case t.unresponsive:
		m.mu.Unlock()
		return
	case turned:
		m.mu.Unlock()
		h.reject()
		return
	case m.random.Float64() < t.reset:
		m.mu.Unlock()
		reset(h.conn.conn)
		return
	case m.random.Float64() < t.fail:
		m.mu.Unlock()
		h.respond("500 Broken", "", nil)
		return
	}
	if ticket != "" {
		if h.deduplicated = m.run.deduplicatorOf(m, category).seen(m.run.now(), ticket); h.deduplicated {
			work = min(work, int64(200*time.Microsecond)) // it only looks the answer up
		}
		m.run.history.Update(func() { h.record.Deduplicated = h.deduplicated })
	}
	job := &model.Job{
		ID: h.id, Work: work, Deadline: until, Node: h.conn.listener.node, Wait: m.run.slotWait(category, customer),
	}
	accepted, fall := m.model.Arrive(m.run.now(), job)
	if accepted {
		m.jobs[h.id] = h
	}
	m.mu.Unlock()
	switch {
	case fall != nil:
		m.run.endpointCrashed(m, h.incarnation, fall)
	case !accepted:
		h.reject()
	}
	m.wake()
}

// reject answers that the request was not executed.
func (h *attempt) reject() {
	h.conn.listener.endpoint.run.history.Update(func() { h.record.Rejected = true })
	afterDelay(h.oneWay, func() { h.respond("503 Turned Away", "\r\n"+headerNotExecuted+": 1", nil) })
}

// finish answers an attempt that has run.
func (h *attempt) finish() {
	m := h.conn.listener.endpoint
	afterDelay(h.oneWay, func() {
		if h.failureDraw < m.fleet.ErrorShare {
			h.respond("500 Error", "", nil)
			return
		}
		m.mu.Lock()
		t := m.faults
		spoilt := t.corrupt != "" && m.random.Float64() < t.corruptShare
		m.mu.Unlock()
		if spoilt {
			h.corrupt(t.corrupt)
			return
		}
		h.respond("200 OK", "", responseBody(nil, m.spec.Name, h.record.Request, h.bodySize))
	})
}

// respond writes a response, with a load report where there is one.
func (h *attempt) respond(status, extra string, body []byte) {
	m := h.conn.listener.endpoint
	now := m.run.now()
	if h.conn.listener.cut.Load() || h.answered.Swap(true) {
		return
	}
	code, _ := strconv.Atoi(status[:3])
	m.run.history.Update(func() { h.record.AnsweredAt, h.record.Status = now, code })
	out := append(make([]byte, 0, 256+len(body)), "HTTP/1.1 "...)
	out = append(out, status...)
	out = append(out, extra...)
	if report := m.report(now); report != "" {
		out = append(out, "\r\n"+headerLoadReport+": "...)
		out = append(out, report...)
	}
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	send(h.conn.conn, append(out, body...))
}

// corrupt writes a response with a fault.
func (h *attempt) corrupt(how string) {
	m, c := h.conn.listener.endpoint, h.conn.conn
	body := string(responseBody(nil, m.spec.Name, h.record.Request, h.bodySize))
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	now := m.run.now()
	sound := false
	for _, k := range scenario.IntactKinds {
		sound = sound || k == how
	}
	if h.answered.Swap(true) {
		return
	}
	m.run.history.Update(func() {
		h.record.AnsweredAt, h.record.Status = now, 502
		if sound {
			h.record.Status = 200
		}
	})
	switch how {
	case "twice":
		send(c, whole+whole)
	case "interim":
		send(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+whole)
	case "bad-report":
		report := "\r\n" + headerLoadReport + ": queue=much,inflight=-7,=,util=NaN\r\n"
		send(c, strings.Replace(whole, "\r\n", report, 1))
	case "other-body":
		// The response of another request, so a node that passes it on serves what was not made for this one. It cannot
		// be told by the protocol, so it is sent as noise behind the right one.
		send(c, whole+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	case "noise":
		noise := make([]byte, 300)
		for i := range noise {
			noise[i] = byte(h.failureDraw*1e6) + byte(i*131)
		}
		send(c, noise)
	case "endless-head":
		m.run.group.Go(func() error {
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
		m.run.group.Go(func() error {
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
