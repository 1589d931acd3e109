package emulator

// This file owns servers on sockets: a door for each node, connections, delays of the network, and what a fault makes
// of an answer. What a server can do and when work ends is the model's; it must never be decided here.

import (
	"errors"
	"fawnglade/internal/lab/faultproxy"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// trouble is what a fault does to a server, apart from what the model does.
type trouble struct {
	silent                  bool
	fail, turn, reset, away float64 // shares of hand-offs
	spoil                   string
	spoilShare              float64
}

// machine is one server. Its life grows with each start.
type machine struct {
	day   *Day
	spec  workload.Endpoint
	fleet *scenario.Fleet

	mu       sync.Mutex
	life     int
	started  int64 // Unix nanoseconds; 0 for long ago
	model    *model.Endpoint
	draw     *rand.Rand
	waiting  map[int64]*handling
	lastID   int64
	reports  []published
	reported int64 // when figures are to be taken next
	trouble  trouble
	draining bool
	conns    int

	doors []*door
	kick  chan struct{}
}

type published struct {
	at     int64
	figure model.LoadFigures
}

// door is where one node reaches one server.
type door struct {
	m       *machine
	node    int
	address string
	shown   string // where the list says that it is

	mu       sync.Mutex
	listener net.Listener
	plugs    []net.Conn // keep a full queue full, so that nobody gets through
	conns    map[*link]struct{}
	cut      atomic.Bool
}

// link is one connection of a node to a server.
type link struct {
	door  *door
	conn  net.Conn
	life  int  // of the server
	fresh bool // has carried no task
	over  bool // beyond what the server holds

	mu  sync.Mutex
	cur *handling
}

// handling is one hand-off at a server.
type handling struct {
	link   *link
	rec    *invariant.Attempt
	id     int64
	life   int
	size   int // of the task's body
	luck   float64
	way    time.Duration
	repeat bool
	done   atomic.Bool
}

// newMachine makes a server that listens for every node. With addresses it takes the place of another.
func newMachine(d *Day, spec workload.Endpoint, cold bool, addresses []string) (*machine, error) {
	m := &machine{
		day: d, spec: spec, fleet: &d.scenario.Fleets[spec.Fleet], waiting: map[int64]*handling{},
		draw: rand.New(rand.NewPCG(spec.Seed, 3)), kick: make(chan struct{}, 1),
	}
	for node := range d.scenario.Nodes.Count {
		address := d.address(node, 0)
		if addresses != nil {
			address = addresses[node]
		}
		m.doors = append(m.doors, &door{m: m, node: node, address: address, conns: map[*link]struct{}{}})
	}
	if err := m.start(cold); err != nil {
		m.stop()
		return nil, err
	}
	for _, one := range m.doors {
		var err error
		one.shown, err = d.between.stream(netfault.End{Kind: netfault.Node, Index: one.node}, netfault.End{Kind: netfault.Endpoint, Index: spec.Index},
			func() string { return one.address })
		if err != nil {
			m.stop()
			return nil, err
		}
	}
	d.group.Go(func() error { m.run(); return nil })
	return m, nil
}

// start begins a life. A cold one starts now, another long ago.
func (m *machine) start(cold bool) error {
	m.mu.Lock()
	now := m.day.now()
	m.warmed()
	started := int64(math.MinInt64 / 2)
	if m.started = 0; cold {
		// What the list tells is in whole milliseconds.
		started, m.started = now, m.day.epoch(now)/1e6*1e6
	}
	m.life++
	m.model = model.NewEndpoint(model.SpecOf(m.day.scenario, m.fleet, m.spec.Speed), started, now, m.spec.Seed+uint64(m.life))
	m.waiting, m.trouble, m.draining, m.reports, m.reported, m.conns = map[int64]*handling{}, trouble{}, false, nil, now, 0
	m.mu.Unlock()
	for _, d := range m.doors {
		if err := d.open(); err != nil {
			return err
		}
	}
	return nil
}

// warmed hands in what came to the life that ends while it was cold; the lock is held.
func (m *machine) warmed() {
	if m.model != nil {
		m.day.ledger.RecordSlowStart(invariant.SlowStart{
			Endpoint: m.spec.Index, Incarnation: m.life, StartedAt: m.started, MeanWork: m.model.MeanWork,
			Window: m.model.CrashWindow, Arrivals: m.model.SlowStartArrivals(),
		})
	}
}

// stop ends a life as a process does that dies: connections are reset, new ones refused.
func (m *machine) stop() {
	m.mu.Lock()
	if m.model != nil {
		m.model.Crash()
	}
	m.waiting = map[int64]*handling{}
	m.mu.Unlock()
	for _, d := range m.doors {
		d.shut()
	}
	m.wake()
}

func (m *machine) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// run delivers what the model has done, and takes its figures.
func (m *machine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.day.over:
			return
		case <-m.kick:
		case <-timer.C:
		}
		m.mu.Lock()
		now := m.day.now()
		done := m.model.Advance(now)
		if m.reported <= now {
			m.reports = append(m.reports, published{now, m.model.Sample(now)})
			if len(m.reports) > 8 {
				m.reports = m.reports[1:]
			}
			m.reported = now + int64(m.day.scenario.Reports.Period)
		}
		next := min(m.model.Next(), m.reported)
		finished, late := make([]*handling, 0, 8), []*handling(nil)
		for _, d := range done {
			h := m.waiting[d.Job.ID]
			if h == nil {
				continue // its life has ended
			}
			delete(m.waiting, d.Job.ID)
			if d.Expired {
				late = append(late, h)
				continue
			}
			m.day.ledger.Update(func() { h.rec.Executed = true })
			finished = append(finished, h)
		}
		m.mu.Unlock()
		for _, h := range finished {
			h.finish()
		}
		for _, h := range late {
			h.turn()
		}
		timer.Reset(time.Duration(max(next-m.day.now(), 0)))
	}
}

// report is the newest that may be seen by now.
func (m *machine) report(now int64) string {
	r := &m.day.scenario.Reports
	if len(r.Fields) == 0 {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(m.reports) - 1; i >= 0; i-- {
		if m.reports[i].at+int64(r.Delay) <= now {
			return string(reportText(nil, r.Fields, m.reports[i].figure.Noisy(m.draw.Float64, r.Noise)))
		}
	}
	return ""
}

// oneWay is the network's delay between a node and this server.
func (m *machine) oneWay(node int) time.Duration {
	n := &m.day.scenario.Network
	base := n.SameZone
	if m.day.zoneOf(node) != m.spec.Zone {
		base = n.CrossZone
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(base) * (1 + n.Jitter*m.draw.Float64()))
}

func (d *door) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.listener, d.address = l, l.Addr().String()
	d.m.day.group.Go(func() error { d.accept(l); return nil })
	return nil
}

func (d *door) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		k := &link{door: d, conn: c, fresh: true}
		d.mu.Lock()
		if d.listener != l {
			d.mu.Unlock()
			reset(c)
			continue
		}
		d.conns[k] = struct{}{}
		d.mu.Unlock()
		m := d.m
		m.mu.Lock()
		m.model.ConnectionOpened(m.day.now())
		m.conns++
		k.life = m.life
		k.over = m.conns > m.fleet.Connections
		m.mu.Unlock()
		m.wake()
		m.day.group.Go(func() error { k.serve(); return nil })
	}
}

// shut closes the door and resets what is open.
func (d *door) shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
		d.listener = nil
	}
	for k := range d.conns {
		reset(k.conn)
	}
	for _, p := range d.plugs {
		p.Close()
	}
	d.plugs = nil
	d.cut.Store(false)
}

// sever makes the machine vanish for this node: what is open stays open and silent, new connections never come up. The
// queue of a listener that nobody accepts from is kept full, so that the system drops whoever knocks.
func (d *door) sever() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener == nil || d.cut.Load() {
		return nil
	}
	d.cut.Store(true)
	d.listener.Close()
	l, plugs, err := faultproxy.ListenFull(d.address)
	if err != nil {
		return fmt.Errorf("cutting off %s: %w", d.address, err)
	}
	d.listener, d.plugs = l, plugs
	return nil
}

// heal brings the machine back: what was open is reset.
func (d *door) heal() error {
	if !d.cut.Load() {
		return nil
	}
	d.shut()
	return d.open()
}

// serve reads hand-offs from a connection until it ends. It reads on while one is out, as that is how a node's giving
// up shows.
func (k *link) serve() {
	d := k.door
	m := d.m
	defer func() {
		k.conn.Close()
		d.mu.Lock()
		delete(d.conns, k)
		d.mu.Unlock()
		m.mu.Lock()
		if k.life == m.life {
			m.conns--
		}
		m.mu.Unlock()
	}()
	in := newReader(k.conn, m.day.now)
	idle := time.Duration(m.fleet.IdleClose)
	for {
		k.conn.SetReadDeadline(time.Now().Add(idle))
		var msg message
		err := in.next(&msg, false)
		k.mu.Lock()
		cur := k.cur
		k.mu.Unlock()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && cur != nil && !cur.done.Load() && in.pending() == 0 {
				continue
			}
			if cur != nil {
				k.gone(cur)
			}
			if errors.Is(err, errSpoilt) || errors.Is(err, errTooLong) {
				m.day.odd("hand-off that cannot be read", string(msg.first))
			}
			return
		}
		if cur != nil && !cur.done.Load() {
			m.day.odd("two hand-offs at once on a connection", string(msg.get(nameTask)))
			k.gone(cur)
			reset(k.conn)
			return
		}
		k.take(&msg)
	}
}

// gone tells that the connection of a hand-off has ended.
func (k *link) gone(h *handling) {
	m := k.door.m
	now := m.day.now()
	m.day.ledger.Update(func() {
		if h.rec.ClosedAt == invariant.Never {
			h.rec.ClosedAt = now
		}
	})
	if h.done.Load() || k.door.cut.Load() {
		return
	}
	time.AfterFunc(h.way, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if stopped, _ := m.model.CancelJob(m.day.now(), h.id); stopped && m.waiting[h.id] == h {
			delete(m.waiting, h.id)
		}
	})
}

// take begins one hand-off.
func (k *link) take(msg *message) {
	m, node := k.door.m, k.door.node
	now := m.day.now()
	id := string(msg.get(nameTask))
	h := &handling{link: k, size: len(msg.body), rec: &invariant.Attempt{
		Request: id, Node: node, Endpoint: m.spec.Index, Zone: m.spec.Zone,
		Pod: m.spec.Pod, FirstByteAt: msg.began,
	}}
	task, try, known := m.day.taskOf(id)
	if !known {
		// The task's id is not one that a client sent in this form.
		m.day.odd("hand-off with an id that no client sent", id)
		h.answer("400 Unknown", "", nil)
		return
	}
	category := &m.day.scenario.Classes[task.Class]
	until := int64(model.Never)
	if left, err := strconv.ParseInt(string(msg.get(nameRemaining)), 10, 64); err == nil {
		until = now + left*1e6
	}
	work, luck := workload.AttemptWork(task.Work, category.AttemptNoise, task.Seed+uint64(try), m.spec.Seed, 0)
	h.luck, h.way = luck, m.oneWay(node)
	ticket := string(msg.get(nameTicket))
	m.mu.Lock()
	h.life, h.rec.Incarnation = m.life, m.life
	m.lastID++
	h.id = m.lastID
	m.mu.Unlock()
	m.day.ledger.RecordAttempt(h.rec)
	m.day.ledger.Update(func() { h.rec.LastByteAt = now })
	k.mu.Lock()
	k.cur = h
	k.mu.Unlock()
	wait := h.way
	if k.fresh {
		wait += time.Duration(m.fleet.ConnectionWait) + 2*h.way // as its setting up would have taken
		k.fresh = false
	}
	if k.door.cut.Load() {
		return // it never arrives; the node cannot know
	}
	later(wait, func() { h.arrive(work, until, ticket, task.Class, task.Tenant) })
}

func later(d time.Duration, do func()) {
	if d < 50*time.Microsecond {
		do()
		return
	}
	time.AfterFunc(d, do)
}

// arrive hands the work to the model, unless a trouble comes first.
func (h *handling) arrive(work, until int64, ticket string, category, customer int) {
	m := h.link.door.m
	m.mu.Lock()
	if m.life != h.life || m.model.HasCrashed() {
		m.mu.Unlock()
		return
	}
	t := m.trouble
	turned := h.link.over || m.draining || m.draw.Float64() < t.turn
	switch {
	case t.silent:
		m.mu.Unlock()
		return
	case turned:
		m.mu.Unlock()
		h.turn()
		return
	case m.draw.Float64() < t.reset:
		m.mu.Unlock()
		reset(h.link.conn)
		return
	case m.draw.Float64() < t.fail:
		m.mu.Unlock()
		h.answer("500 Broken", "", nil)
		return
	}
	if ticket != "" {
		if h.repeat = m.day.memoryOf(m, category).seen(m.day.now(), ticket); h.repeat {
			work = min(work, int64(200*time.Microsecond)) // it only looks the answer up
		}
		m.day.ledger.Update(func() { h.rec.Deduplicated = h.repeat })
	}
	job := &model.Job{ID: h.id, Work: work, Deadline: until, Node: h.link.door.node, Wait: m.day.hold(category, customer)}
	accepted, fall := m.model.Arrive(m.day.now(), job)
	if accepted {
		m.waiting[h.id] = h
	}
	m.mu.Unlock()
	switch {
	case fall != nil:
		m.day.fell(m, h.life, fall)
	case !accepted:
		h.turn()
	}
	m.wake()
}

// turn answers that the task was not looked at.
func (h *handling) turn() {
	h.link.door.m.day.ledger.Update(func() { h.rec.Rejected = true })
	later(h.way, func() { h.answer("503 Turned Away", "\r\n"+nameNeverRan+": 1", nil) })
}

// finish answers a task that has run.
func (h *handling) finish() {
	m := h.link.door.m
	later(h.way, func() {
		if h.luck < m.fleet.ErrorShare {
			h.answer("500 Error", "", nil)
			return
		}
		m.mu.Lock()
		t := m.trouble
		spoilt := t.spoil != "" && m.draw.Float64() < t.spoilShare
		m.mu.Unlock()
		if spoilt {
			h.spoil(t.spoil)
			return
		}
		h.answer("200 OK", "", answerFor(nil, m.spec.Name, h.rec.Request, h.size))
	})
}

// answer writes an answer, with a load report where there is one.
func (h *handling) answer(status, extra string, body []byte) {
	m := h.link.door.m
	now := m.day.now()
	if h.link.door.cut.Load() || h.done.Swap(true) {
		return
	}
	code, _ := strconv.Atoi(status[:3])
	m.day.ledger.Update(func() { h.rec.AnsweredAt, h.rec.Status = now, code })
	out := append(make([]byte, 0, 256+len(body)), "HTTP/1.1 "...)
	out = append(out, status...)
	out = append(out, extra...)
	if report := m.report(now); report != "" {
		out = append(out, "\r\n"+nameLoad+": "...)
		out = append(out, report...)
	}
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	h.link.conn.Write(append(out, body...))
}

// spoil writes an answer in one of the ways that answers go wrong.
func (h *handling) spoil(how string) {
	m, c := h.link.door.m, h.link.conn
	body := string(answerFor(nil, m.spec.Name, h.rec.Request, h.size))
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	now := m.day.now()
	sound := false
	for _, k := range scenario.IntactKinds {
		sound = sound || k == how
	}
	if h.done.Swap(true) {
		return
	}
	m.day.ledger.Update(func() {
		h.rec.AnsweredAt, h.rec.Status = now, 502
		if sound {
			h.rec.Status = 200
		}
	})
	switch how {
	case "twice":
		io.WriteString(c, whole+whole)
	case "interim":
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+whole)
	case "bad-report":
		io.WriteString(c, strings.Replace(whole, "\r\n", "\r\n"+nameLoad+": queue=much,inflight=-7,=,util=NaN\r\n", 1))
	case "other-body":
		// The answer of another task, so a node that passes it on serves what was not made for this one. Nobody can
		// tell by the protocol, so it is sent as noise behind the right one.
		io.WriteString(c, whole+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	case "noise":
		noise := make([]byte, 300)
		for i := range noise {
			noise[i] = byte(h.luck*1e6) + byte(i*131)
		}
		c.Write(noise)
	case "endless-head":
		m.day.group.Go(func() error {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for n := 0; n < 64; n++ {
				if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", n, strings.Repeat("y", 1000)); err != nil {
					return nil
				}
			}
			return nil
		})
	case "short":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1000, body)
	case "long":
		m.day.group.Go(func() error {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
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
