package simulation

// This file owns servers: their lives, connections and troubles, and each hand-off at one. What a server can do and when work
// ends is the model's; it must never be decided here.

import (
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
	"fawnglade/policy"
	"math"
	"math/rand/v2"
	"strconv"
)

// trouble is what a fault does to a server, apart from what the model does.
type endpointFaults struct {
	silent              bool
	fail, reject, reset float64 // shares of hand-offs
	corrupt             string
	corruptShare        float64
}

type endpoint struct {
	day   *Simulation
	spec  workload.Endpoint
	fleet *scenario.Fleet
	id    policy.EndpointID

	incarnation int
	up          bool
	startedAt   int64 // Unix nanoseconds; 0 for long ago
	model       *model.Endpoint
	random      *rand.Rand
	inWork      map[int64]*attempt
	lastID      int64
	reports     []loadSample
	faults      endpointFaults
	draining    bool
	connections int
	nextWake    int64 // when the model is to be asked again
	cutNodes    map[int]int
	epochs      map[int]int // by node: how often it has come back after being cut off
	cutAll      int
	epoch       int
}

type loadSample struct {
	at     int64
	figure model.LoadFigures
}

// conn is one connection of a node to a server.
type connection struct {
	endpoint           *endpoint
	node               int
	incarnation, epoch int
	idleSince          int64
	isNew, overLimit   bool
	closed             bool
}

func (d *Simulation) addEndpoint(spec workload.Endpoint, cold bool) *endpoint {
	m := &endpoint{
		day: d, spec: spec, fleet: &d.scenario.Fleets[spec.Fleet], id: endpointID(spec.Name), random: rand.New(rand.NewPCG(spec.Seed, 3)),
		cutNodes: map[int]int{}, epochs: map[int]int{},
	}
	d.endpoints = append(d.endpoints, m)
	d.byID[m.id] = m
	m.start(cold)
	return m
}

func (m *endpoint) start(cold bool) {
	now := m.day.now
	m.recordSlowStart()
	started := int64(math.MinInt64 / 2)
	if m.startedAt = 0; cold {
		started, m.startedAt = now, epoch(now)/1e6*1e6 // the list tells whole milliseconds
	}
	m.incarnation++
	m.up = true
	m.model = model.NewEndpoint(model.SpecOf(m.day.scenario, m.fleet, m.spec.Speed), started, now, m.spec.Seed+uint64(m.incarnation))
	m.inWork, m.faults, m.draining, m.reports, m.connections, m.nextWake = map[int64]*attempt{}, endpointFaults{}, false, nil, 0, model.Never
	if len(m.day.scenario.Reports.Fields) > 0 {
		m.sampleLoad(m.incarnation)
	}
}

// warmed hands in what came to the life that ends while it was cold.
func (m *endpoint) recordSlowStart() {
	if m.model != nil {
		m.day.history.RecordSlowStart(invariant.SlowStart{
			Endpoint: m.spec.Index, Incarnation: m.incarnation, StartedAt: m.startedAt, MeanWork: m.model.MeanWork,
			Window: m.model.CrashWindow, Arrivals: m.model.SlowStartArrivals(),
		})
	}
}

// figures takes the figures of a load report, again and again in this life.
func (m *endpoint) sampleLoad(life int) {
	if !m.up || m.incarnation != life {
		return
	}
	m.reports = append(m.reports, loadSample{m.day.now, m.model.Sample(m.day.now)})
	if len(m.reports) > 8 {
		m.reports = m.reports[1:]
	}
	m.scheduleWake()
	m.day.after(int64(m.day.scenario.Reports.Period), func() { m.sampleLoad(life) })
}

// report is the newest that may be seen by now.
func (m *endpoint) report() policy.LoadReport {
	r, out := &m.day.scenario.Reports, noReport
	for i := len(m.reports) - 1; i >= 0; i-- {
		if m.reports[i].at+int64(r.Delay) > m.day.now {
			continue
		}
		f := m.reports[i].figure.Noisy(m.random.Float64, r.Noise)
		for _, name := range r.Fields {
			switch name {
			case "util":
				out.Utilised(f.Utilization)
			case "queue":
				out.QueueLength = f.Queue
			case "latency_ms":
				out.ServiceTime = f.ServiceTime
			}
		}
		break
	}
	return out.LoadReport
}

// stop ends a life as a process does that dies: connections are reset, new ones refused.
func (m *endpoint) die() {
	if !m.up {
		return
	}
	m.up = false
	m.model.Crash()
	m.inWork = map[int64]*attempt{}
	for _, n := range m.day.nodes { // in order
		n.endpointGone(m, false)
	}
}

func (m *endpoint) end() netfault.End {
	return netfault.End{Kind: netfault.Endpoint, Index: m.spec.Index}
}
func (m *endpoint) isCutFrom(node int) bool { return m.cutAll > 0 || m.cutNodes[node] > 0 }
func (m *endpoint) epochFor(node int) int   { return m.epoch + m.epochs[node] }
func (m *endpoint) usable(k *connection) bool {
	return m.up && m.incarnation == k.incarnation && m.epochFor(k.node) == k.epoch
}
func (m *endpoint) isFull() bool      { return m.connections >= m.fleet.Connections }
func (m *endpoint) workRate() float64 { return m.model.Capacity() }
func (m *endpoint) delayTo(node *node) int64 {
	n := &m.day.scenario.Network
	base := n.SameZone
	if m.day.scenario.Network.Zones[node.zone] != m.spec.Zone {
		base = n.CrossZone
	}
	return int64(float64(base) * (1 + n.Jitter*m.random.Float64()))
}

// sever cuts the machine off, from one node or from all (-1); heal brings it back, and what was open is reset.
func (m *endpoint) cutOff(node int) {
	if node < 0 {
		m.cutAll++
	} else {
		m.cutNodes[node]++
	}
}

func (m *endpoint) reconnect(node int) {
	if node < 0 {
		m.cutAll--
		m.epoch++
	} else {
		m.cutNodes[node]--
		m.epochs[node]++
	}
	for _, n := range m.day.nodes {
		if node < 0 || n.index == node {
			n.endpointGone(m, true)
		}
	}
}

// wake asks the model again when it wants to be asked.
func (m *endpoint) scheduleWake() {
	next := m.model.Next()
	if next >= m.nextWake {
		return
	}
	m.nextWake = next
	m.day.at(next, func() {
		if m.nextWake == next {
			m.nextWake = model.Never
			m.finishJobs()
		}
	})
}

// deliver hands on what the model has finished.
func (m *endpoint) finishJobs() {
	for _, d := range m.model.Advance(m.day.now) {
		h := m.inWork[d.Job.ID]
		if h == nil {
			continue
		}
		delete(m.inWork, d.Job.ID)
		if d.Expired {
			h.reject()
			continue
		}
		h.record.Executed = true
		h.finish()
	}
	m.scheduleWake()
}

// handOff is one sending of a task to one server, seen from both ends.
type attempt struct {
	pending       *pendingRequest
	number        int
	endpoint      *endpoint
	incarnation   int
	sentAt        int64
	deadline      int64
	conn          *connection
	newConnection bool
	record        *invariant.Attempt // nil until its first byte was written
	id            int64
	oneWay        int64
	luck          float64
	ended         bool // the node has its end
	answered      bool // the server has answered
}

// arrive hands the work to the model, unless a trouble comes first.
func (h *attempt) arrive() {
	m, d := h.endpoint, h.endpoint.day
	if m.incarnation != h.incarnation || !m.up || h.ended && h.endpoint.model.Cancel == model.CancelsRunning {
		return
	}
	t := &m.faults
	switch {
	case t.silent:
		return
	case h.conn.overLimit || m.draining || t.reject > 0 && m.random.Float64() < t.reject:
		h.reject()
		return
	case t.reset > 0 && m.random.Float64() < t.reset:
		h.reset(policy.OutcomeReset, 0)
		return
	case t.fail > 0 && m.random.Float64() < t.fail:
		h.respond(policy.OutcomeError, 500)
		return
	}
	task, try := h.pending.request.operation, h.pending.request.n
	c := &d.scenario.Classes[task.Class]
	work, luck := workload.AttemptWork(task.Work, c.AttemptNoise, task.Seed+uint64(try), m.spec.Seed, 0)
	h.luck = luck
	if c.Idempotency == scenario.IdempotentByKey {
		if h.record.Deduplicated = d.deduplicatorOf(m, task.Class).Seen(d.now, h.pending.request.key); h.record.Deduplicated {
			work = min(work, 200_000) // it only looks the answer up
		}
	}
	if h.conn.isNew {
		h.conn.isNew = false
		m.model.ConnectionOpened(d.now)
	}
	until := int64(model.Never)
	if h.deadline < until {
		until = h.deadline
	}
	m.lastID++
	h.id = m.lastID
	accepted, fall := m.model.Arrive(d.now, &model.Job{ID: h.id, Work: work, Deadline: until, Node: h.pending.node.index, Wait: d.waitOf(task)})
	if accepted {
		m.inWork[h.id] = h
	}
	switch {
	case fall != nil:
		d.endpointCrashed(m, fall)
	case !accepted:
		h.reject()
	}
	m.scheduleWake()
}

func (h *attempt) reject() {
	h.record.Rejected = true
	h.endpoint.day.after(h.returnDelay(), func() { h.respond(policy.OutcomeRejected, 503) })
}

// finish answers a task that has run.
func (h *attempt) finish() {
	m := h.endpoint
	m.day.after(h.returnDelay(), func() {
		t := &m.faults
		switch {
		case h.luck < m.fleet.ErrorShare:
			h.respond(policy.OutcomeError, 500)
		case t.corrupt != "" && m.random.Float64() < t.corruptShare:
			h.corrupt(t.corrupt)
		default:
			h.respond(policy.OutcomeSucceeded, 200)
		}
	})
}

// wayBack is how long an answer takes.
func (h *attempt) returnDelay() int64 {
	return h.oneWay + h.endpoint.day.linkDelay(h.endpoint.end(), netfault.End{Index: h.pending.node.index})
}

// hears tells whether what the server says now comes to the node.
func (h *attempt) reachesNode() bool {
	return !h.endpoint.isCutFrom(h.pending.node.index) && h.endpoint.day.links.Open(h.endpoint.day.now, h.endpoint.end(), netfault.End{Index: h.pending.node.index})
}

// answer comes to the node, unless the way is cut or nobody is there any more.
func (h *attempt) respond(o policy.Outcome, status int) {
	if h.answered || !h.reachesNode() || h.endpoint.incarnation != h.incarnation || !h.endpoint.up {
		return
	}
	h.answered = true
	h.record.AnsweredAt, h.record.Status = h.endpoint.day.now, status
	report := noReport.LoadReport
	if !h.endpoint.day.scenario.Reports.HealthChecked {
		report = h.endpoint.report()
	}
	h.pending.node.attemptEnded(h, o, report, true)
}

// back is an end without an answer that the node sees.
func (h *attempt) reset(o policy.Outcome, _ int) {
	h.answered = true
	h.record.ClosedAt = min(h.record.ClosedAt, h.endpoint.day.now)
	h.pending.node.attemptEnded(h, o, noReport.LoadReport, false)
}

// spoil is an answer that went wrong. Those that bring more than the answer are taken; the connection is of no further use.
func (h *attempt) corrupt(how string) {
	if h.answered || !h.reachesNode() {
		return
	}
	now := h.endpoint.day.now
	h.answered = true
	h.record.AnsweredAt, h.record.Status = now, 502
	for _, k := range scenario.IntactKinds {
		if k == how {
			h.record.Status = 200
		}
	}
	if h.record.Status == 200 {
		h.pending.node.attemptEnded(h, policy.OutcomeSucceeded, noReport.LoadReport, how == "interim" || how == "bad-report")
		return
	}
	h.record.ClosedAt = min(h.record.ClosedAt, now)
	h.pending.node.attemptEnded(h, policy.OutcomeReset, noReport.LoadReport, false)
}

// givenUp tells the server, after the way, that nobody waits any more.
func (h *attempt) notifyCanceled() {
	if h.record == nil {
		return
	}
	h.record.ClosedAt = min(h.record.ClosedAt, h.endpoint.day.now)
	if h.answered || h.endpoint.isCutFrom(h.pending.node.index) || !h.endpoint.day.links.Open(h.endpoint.day.now, netfault.End{Index: h.pending.node.index}, h.endpoint.end()) {
		return
	}
	m, life := h.endpoint, h.incarnation
	m.day.after(h.oneWay, func() {
		if m.incarnation != life || !m.up || m.inWork[h.id] != h {
			return
		}
		if stopped, _ := m.model.CancelJob(m.day.now, h.id); stopped {
			delete(m.inWork, h.id)
		}
		m.scheduleWake()
	})
}

func (d *Simulation) deduplicatorOf(m *endpoint, category int) *model.Deduplicator {
	c := &d.scenario.Classes[category]
	k := dedupKey{category, ""}
	switch c.DedupGroup {
	case "zone":
		k.group = m.spec.Zone
	case "pod":
		k.group = strconv.Itoa(m.spec.Pod)
	}
	if d.deduplicators[k] == nil {
		d.deduplicators[k] = model.NewDeduplicator(int64(c.DedupWindow))
	}
	return d.deduplicators[k]
}

type dedupKey struct {
	class int
	group string
}
