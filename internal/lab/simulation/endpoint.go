package simulation

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/workload"
	"fawnglade/policy"
)

// endpointFaults are active faults of an endpoint that its model does not have.
type endpointFaults struct {
	unresponsive        bool
	fail, reject, reset float64 // shares of attempts
	corrupt             string
	corruptShare        float64
}

type endpoint struct {
	sim   *Simulation
	spec  workload.Endpoint
	fleet *scenario.Fleet
	id    policy.EndpointID

	incarnation int
	up          bool
	startedAt   int64 // Unix nanoseconds; 0: long ago
	model       *model.Endpoint
	random      *rand.Rand
	jobs        map[int64]*attempt
	lastID      int64
	reports     []loadSample
	faults      endpointFaults
	draining    bool
	connections int
	nextWake    int64 // when the model has to be advanced
	cutNodes    map[int]int
	epochs      map[int]int // by node: how often it was reconnected
	cutAll      int
	epoch       int
}

type loadSample struct {
	sampledAt int64
	figures   model.LoadFigures
}

// connection is one of a node to an endpoint.
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
		sim: d, spec: spec, fleet: &d.scenario.Fleets[spec.Fleet], id: endpointID(spec.Name),
		random:   rand.New(rand.NewPCG(spec.Seed, 3)),
		cutNodes: map[int]int{}, epochs: map[int]int{},
	}
	d.endpoints = append(d.endpoints, m)
	d.byID[m.id] = m
	m.start(cold)
	return m
}

func (m *endpoint) start(cold bool) {
	now := m.sim.now
	m.recordSlowStart()
	started := int64(math.MinInt64 / 2)
	if m.startedAt = 0; cold {
		started, m.startedAt = now, epoch(now)/1e6*1e6 // the list has whole milliseconds
	}
	m.incarnation++
	m.up = true
	m.model = model.NewEndpoint(
		model.SpecOf(m.sim.scenario, m.fleet, m.spec.Speed), started, now, m.spec.Seed+uint64(m.incarnation),
	)
	m.jobs = map[int64]*attempt{}
	m.faults = endpointFaults{}
	m.draining = false
	m.reports = nil
	m.connections = 0
	m.nextWake = model.Never
	if len(m.sim.scenario.Reports.Fields) > 0 {
		m.sampleLoad(m.incarnation)
	}
}

// recordSlowStart records the slow start of the incarnation that ends.
func (m *endpoint) recordSlowStart() {
	if m.model != nil {
		m.sim.history.RecordSlowStart(invariant.SlowStart{
			Endpoint: m.spec.Index, Incarnation: m.incarnation, StartedAt: m.startedAt, MeanWork: m.model.MeanWork,
			Window: m.model.CrashWindow, Arrivals: m.model.SlowStartArrivals(),
		})
	}
}

// sampleLoad takes the figures of load reports, periodically in this incarnation.
func (m *endpoint) sampleLoad(life int) {
	if !m.up || m.incarnation != life {
		return
	}
	m.reports = append(m.reports, loadSample{m.sim.now, m.model.Sample(m.sim.now)})
	if len(m.reports) > 8 {
		m.reports = m.reports[1:]
	}
	m.scheduleWake()
	m.sim.after(int64(m.sim.scenario.Reports.Period), func() { m.sampleLoad(life) })
}

// report is the newest load report that is visible by now.
func (m *endpoint) report() policy.LoadReport {
	r, out := &m.sim.scenario.Reports, noReport
	for i := len(m.reports) - 1; i >= 0; i-- {
		if m.reports[i].sampledAt+int64(r.Delay) > m.sim.now {
			continue
		}
		f := m.reports[i].figures.Noisy(m.random.Float64, r.Noise)
		for _, name := range r.Fields {
			switch name {
			case "util":
				out.Utilization = f.Utilization
			case "queue":
				out.QueueLength = f.Queue
			case "latency_ms":
				out.ServiceTime = f.ServiceTime
			}
		}
		break
	}
	return out
}

// die ends an incarnation: connections are reset, new ones refused.
func (m *endpoint) die() {
	if !m.up {
		return
	}
	m.up = false
	m.model.Crash()
	m.jobs = map[int64]*attempt{}
	for _, n := range m.sim.nodes { // in order
		n.connectionsReset(m, false)
	}
}

func (m *endpoint) linkEnd() netfault.End {
	return netfault.End{Kind: netfault.Endpoint, Index: m.spec.Index}
}
func (m *endpoint) isCutFrom(node int) bool { return m.cutAll > 0 || m.cutNodes[node] > 0 }
func (m *endpoint) epochFor(node int) int   { return m.epoch + m.epochs[node] }
func (m *endpoint) usable(k *connection) bool {
	return m.up && m.incarnation == k.incarnation && m.epochFor(k.node) == k.epoch
}
func (m *endpoint) isFull() bool      { return m.connections >= m.fleet.Connections }
func (m *endpoint) capacity() float64 { return m.model.Capacity() }
func (m *endpoint) delayTo(node *node) int64 {
	n := &m.sim.scenario.Network
	base := n.SameZone
	if m.sim.scenario.Network.Zones[node.zone] != m.spec.Zone {
		base = n.CrossZone
	}
	return int64(float64(base) * (1 + n.Jitter*m.random.Float64()))
}

// allNodes in place of a node stands for every node.
const allNodes = -1

// cutOff makes the endpoint unreachable for one node, or for allNodes; reconnect ends that, and resets what was open.
func (m *endpoint) cutOff(node int) {
	if node == allNodes {
		m.cutAll++
	} else {
		m.cutNodes[node]++
	}
}

func (m *endpoint) reconnect(node int) {
	if node == allNodes {
		m.cutAll--
		m.epoch++
	} else {
		m.cutNodes[node]--
		m.epochs[node]++
	}
	for _, n := range m.sim.nodes {
		if node == allNodes || n.index == node {
			n.connectionsReset(m, true)
		}
	}
}

// scheduleWake has the model advanced when its next job ends.
func (m *endpoint) scheduleWake() {
	next := m.model.Next()
	if next >= m.nextWake {
		return
	}
	m.nextWake = next
	m.sim.at(next, func() {
		if m.nextWake == next {
			m.nextWake = model.Never
			m.finishJobs()
		}
	})
}

// finishJobs answers the attempts that the model has finished.
func (m *endpoint) finishJobs() {
	for _, d := range m.model.Advance(m.sim.now) {
		h := m.jobs[d.Job.ID]
		if h == nil {
			continue
		}
		delete(m.jobs, d.Job.ID)
		if d.Expired {
			h.reject()
			continue
		}
		h.record.Executed = true
		h.finish()
	}
	m.scheduleWake()
}

// repeatWork is the most work of an attempt that is a repeat, in nanoseconds.
const repeatWork = 200_000

// attempt is one attempt of a request at an endpoint, seen from both ends.
type attempt struct {
	pending       *pendingRequest
	number        int
	endpoint      *endpoint
	incarnation   int
	sentAt        int64
	deadline      int64
	connection    *connection
	newConnection bool
	record        *invariant.Attempt // nil until its first byte is written
	id            int64
	oneWay        int64
	failureDraw   float64
	ended         bool // the node has its result
	answered      bool // the endpoint has answered
}

// arrive gives the work to the model, unless a fault answers first.
func (h *attempt) arrive() {
	m := h.endpoint
	if m.incarnation != h.incarnation || !m.up || h.ended && m.model.Cancel == model.CancelsRunning {
		return
	}
	if m.faults.unresponsive || h.answeredByFault() {
		return
	}
	d := m.sim
	work := h.drawWork()
	if h.connection.isNew {
		h.connection.isNew = false
		m.model.ConnectionOpened(d.now)
	}
	m.lastID++
	h.id = m.lastID
	job := &model.Job{
		ID: h.id, Work: work, Deadline: min(h.deadline, model.Never), Node: h.pending.node.index,
		Wait: d.slotWait(h.pending.request.operation),
	}
	accepted, crash := m.model.Arrive(d.now, job)
	switch {
	case accepted:
		m.jobs[h.id] = h
	case crash != nil:
		d.endpointCrashed(m, crash)
	default:
		h.reject()
	}
	m.scheduleWake()
}

// answeredByFault answers an attempt by an active fault, if one strikes it.
func (h *attempt) answeredByFault() bool {
	m := h.endpoint
	f := &m.faults
	strikes := func(share float64) bool { return share > 0 && m.random.Float64() < share }
	switch {
	case h.connection.overLimit || m.draining || strikes(f.reject):
		h.reject()
	case strikes(f.reset):
		h.reset(policy.OutcomeReset)
	case strikes(f.fail):
		h.respond(policy.OutcomeError, http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

// drawWork draws the work of an attempt, and whether it will fail. A repeat with a known key only looks its response
// up.
func (h *attempt) drawWork() int64 {
	m, request := h.endpoint, h.pending.request
	o := request.operation
	c := &m.sim.scenario.Classes[o.Class]
	work, luck := workload.AttemptWork(o.Work, c.AttemptNoise, o.Seed+uint64(request.number), m.spec.Seed, 0)
	h.failureDraw = luck
	if c.Idempotency == scenario.IdempotentByKey {
		h.record.Deduplicated = m.sim.deduplicatorOf(m, o.Class).Seen(m.sim.now, request.key)
		if h.record.Deduplicated {
			work = min(work, repeatWork)
		}
	}
	return work
}

func (h *attempt) reject() {
	h.record.Rejected = true
	h.endpoint.sim.after(h.returnDelay(), func() { h.respond(policy.OutcomeRejected, http.StatusServiceUnavailable) })
}

// finish answers an attempt that has run.
func (h *attempt) finish() {
	m := h.endpoint
	m.sim.after(h.returnDelay(), func() {
		t := &m.faults
		switch {
		case h.failureDraw < m.fleet.ErrorShare:
			h.respond(policy.OutcomeError, http.StatusInternalServerError)
		case t.corrupt != "" && m.random.Float64() < t.corruptShare:
			h.corrupt(t.corrupt)
		default:
			h.respond(policy.OutcomeSucceeded, http.StatusOK)
		}
	})
}

// returnDelay is how long a response takes.
func (h *attempt) returnDelay() int64 {
	return h.oneWay + h.endpoint.sim.linkDelay(h.endpoint.linkEnd(), h.pending.node.linkEnd())
}

// reachesNode tells whether what the endpoint sends now arrives at the node.
func (h *attempt) reachesNode() bool {
	return !h.endpoint.isCutFrom(h.pending.node.index) &&
		h.endpoint.sim.links.Open(h.endpoint.sim.now, h.endpoint.linkEnd(), h.pending.node.linkEnd())
}

// respond brings a response to the node, unless the link is cut or the incarnation has ended.
func (h *attempt) respond(o policy.Outcome, status int) {
	if h.answered || !h.reachesNode() || h.endpoint.incarnation != h.incarnation || !h.endpoint.up {
		return
	}
	h.answered = true
	h.record.AnsweredAt, h.record.Status = h.endpoint.sim.now, status
	report := noReport
	if !h.endpoint.sim.scenario.Reports.HealthChecked {
		report = h.endpoint.report()
	}
	h.pending.node.attemptEnded(h, o, report, true)
}

// reset is an end without a response that the node sees.
func (h *attempt) reset(o policy.Outcome) {
	h.answered = true
	h.record.ClosedAt = min(h.record.ClosedAt, h.endpoint.sim.now)
	h.pending.node.attemptEnded(h, o, noReport, false)
}

// corrupt is a response with a fault. Intact ones with something beside them succeed.
func (h *attempt) corrupt(how string) {
	if h.answered || !h.reachesNode() {
		return
	}
	now := h.endpoint.sim.now
	h.answered = true
	h.record.AnsweredAt, h.record.Status = now, http.StatusBadGateway
	for _, k := range scenario.IntactKinds {
		if k == how {
			h.record.Status = http.StatusOK
		}
	}
	if h.record.Status == http.StatusOK {
		h.pending.node.attemptEnded(h, policy.OutcomeSucceeded, noReport, how == "interim" || how == "bad-report")
		return
	}
	h.record.ClosedAt = min(h.record.ClosedAt, now)
	h.pending.node.attemptEnded(h, policy.OutcomeReset, noReport, false)
}

// notifyCanceled has the endpoint notice, after the link's delay, that the attempt is canceled.
func (h *attempt) notifyCanceled() {
	if h.record == nil {
		return
	}
	h.record.ClosedAt = min(h.record.ClosedAt, h.endpoint.sim.now)
	if h.answered || h.endpoint.isCutFrom(h.pending.node.index) ||
		!h.endpoint.sim.links.Open(h.endpoint.sim.now, h.pending.node.linkEnd(), h.endpoint.linkEnd()) {
		return
	}
	m, life := h.endpoint, h.incarnation
	m.sim.after(h.oneWay, func() {
		if m.incarnation != life || !m.up || m.jobs[h.id] != h {
			return
		}
		if stopped, _ := m.model.CancelJob(m.sim.now, h.id); stopped {
			delete(m.jobs, h.id)
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
