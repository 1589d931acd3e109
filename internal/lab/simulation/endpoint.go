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

// endpointFaults are the active faults of an endpoint that its model does not cover.
type endpointFaults struct {
	unresponsive        bool
	fail, reject, reset float64 // fractions of the attempts
	corrupt             string  // kind of corruption; empty for none
	corruptShare        float64 // fraction of the responses
}

type endpoint struct {
	sim   *Simulation
	spec  workload.Endpoint
	fleet *scenario.Fleet
	id    policy.EndpointID

	incarnation int
	up          bool
	startedAt   int64 // Unix nanoseconds; 0 for an endpoint that has always been warm
	model       *model.Endpoint
	random      *rand.Rand
	jobs        map[int64]*attempt
	lastID      int64
	reports     []loadSample
	faults      endpointFaults
	draining    bool
	connections int
	nextWake    int64 // when the model is scheduled to be advanced
	cutNodes    map[int]int
	epochs      map[int]int // by node: how often its link to the endpoint was restored or reset
	cutAll      int
	epoch       int
}

type loadSample struct {
	sampledAt int64
	figures   model.LoadFigures
}

// connection is a connection of a node to an endpoint.
type connection struct {
	endpoint           *endpoint
	node               int
	incarnation, epoch int
	idleSince          int64
	isNew, overLimit   bool
	closed             bool
}

func (sim *Simulation) addEndpoint(spec workload.Endpoint, cold bool) *endpoint {
	e := &endpoint{
		sim: sim, spec: spec, fleet: &sim.scenario.Fleets[spec.Fleet], id: endpointID(spec.Name),
		random:   rand.New(rand.NewPCG(spec.Seed, 3)),
		cutNodes: map[int]int{}, epochs: map[int]int{},
	}
	sim.endpoints = append(sim.endpoints, e)
	sim.byID[e.id] = e
	e.start(cold)
	return e
}

func (e *endpoint) start(cold bool) {
	now := e.sim.now
	e.recordSlowStart()
	started := int64(math.MinInt64 / 2)
	if e.startedAt = 0; cold {
		started, e.startedAt = now, epoch(now)/1e6*1e6 // the list has a resolution of 1 ms
	}
	e.incarnation++
	e.up = true
	e.model = model.NewEndpoint(
		model.SpecOf(e.sim.scenario, e.fleet, e.spec.Speed), started, now, e.spec.Seed+uint64(e.incarnation),
	)
	e.jobs = map[int64]*attempt{}
	e.faults = endpointFaults{}
	e.draining = false
	e.reports = nil
	e.connections = 0
	e.nextWake = model.Never
	if len(e.sim.scenario.Reports.Fields) > 0 {
		e.sampleLoad(e.incarnation)
	}
}

// recordSlowStart records the slow start of the incarnation that ends.
func (e *endpoint) recordSlowStart() {
	if e.model != nil {
		e.sim.history.RecordSlowStart(invariant.SlowStart{
			Endpoint: e.spec.Index, Incarnation: e.incarnation, StartedAt: e.startedAt, MeanWork: e.model.MeanWork,
			Window: e.model.CrashWindow, Arrivals: e.model.SlowStartArrivals(),
		})
	}
}

// sampleLoad samples the load for load reports and schedules the next sample, until the incarnation ends.
func (e *endpoint) sampleLoad(incarnation int) {
	if !e.up || e.incarnation != incarnation {
		return
	}
	e.reports = append(e.reports, loadSample{e.sim.now, e.model.Sample(e.sim.now)})
	if len(e.reports) > 8 {
		e.reports = e.reports[1:]
	}
	e.scheduleWake()
	e.sim.delay(int64(e.sim.scenario.Reports.Period), func() { e.sampleLoad(incarnation) })
}

// report returns a load report from the newest sample that is old enough to be reported.
func (e *endpoint) report() policy.LoadReport {
	r, out := &e.sim.scenario.Reports, noReport
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].sampledAt+int64(r.Delay) > e.sim.now {
			continue
		}
		f := e.reports[i].figures.Noisy(e.random.Float64, r.Noise)
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

// die ends an incarnation: its connections are reset and new ones are refused.
func (e *endpoint) die() {
	if !e.up {
		return
	}
	e.up = false
	e.model.Crash()
	e.jobs = map[int64]*attempt{}
	for _, n := range e.sim.nodes { // in a fixed order
		n.connectionsReset(e, false)
	}
}

func (e *endpoint) linkEnd() netfault.End {
	return netfault.End{Kind: netfault.Endpoint, Index: e.spec.Index}
}
func (e *endpoint) isCutFrom(node int) bool { return e.cutAll > 0 || e.cutNodes[node] > 0 }
func (e *endpoint) epochFor(node int) int   { return e.epoch + e.epochs[node] }
func (e *endpoint) usable(c *connection) bool {
	return e.up && e.incarnation == c.incarnation && e.epochFor(c.node) == c.epoch
}
func (e *endpoint) isFull() bool      { return e.connections >= e.fleet.Connections }
func (e *endpoint) capacity() float64 { return e.model.Capacity() }
func (e *endpoint) delayTo(node *node) int64 {
	n := &e.sim.scenario.Network
	base := n.SameZone
	if e.sim.scenario.Network.Zones[node.zone] != e.spec.Zone {
		base = n.CrossZone
	}
	return int64(float64(base) * (1 + n.Jitter*e.random.Float64()))
}

// allNodes stands for every node where an index of a node is expected.
const allNodes = -1

// cutOff makes the endpoint unreachable for one node, or for allNodes. reconnect makes it reachable again and resets
// the open connections.
func (e *endpoint) cutOff(node int) {
	if node == allNodes {
		e.cutAll++
	} else {
		e.cutNodes[node]++
	}
}

func (e *endpoint) reconnect(node int) {
	if node == allNodes {
		e.cutAll--
		e.epoch++
	} else {
		e.cutNodes[node]--
		e.epochs[node]++
	}
	for _, n := range e.sim.nodes {
		if node == allNodes || n.index == node {
			n.connectionsReset(e, true)
		}
	}
}

// scheduleWake schedules the next advance of the model for when its next job ends.
func (e *endpoint) scheduleWake() {
	next := e.model.Next()
	if next >= e.nextWake {
		return
	}
	e.nextWake = next
	e.sim.at(next, func() {
		if e.nextWake == next {
			e.nextWake = model.Never
			e.finishJobs()
		}
	})
}

// finishJobs responds to the attempts whose jobs have finished or expired.
func (e *endpoint) finishJobs() {
	for _, d := range e.model.Advance(e.sim.now) {
		a := e.jobs[d.Job.ID]
		if a == nil {
			continue
		}
		delete(e.jobs, d.Job.ID)
		if d.Expired {
			a.reject()
			continue
		}
		a.record.Executed = true
		a.finish()
	}
	e.scheduleWake()
}

// repeatWork is the largest work of a deduplicated attempt, in nanoseconds.
const repeatWork = 200_000

// attempt is one attempt of a request at an endpoint, with the state of both the node and the endpoint.
type attempt struct {
	pending       *pendingRequest
	number        int
	endpoint      *endpoint
	incarnation   int
	sentAt        int64
	deadline      int64
	connection    *connection
	newConnection bool
	record        *invariant.Attempt // nil until the first byte is written
	id            int64
	oneWay        int64
	failureDraw   float64
	ended         bool // the node has its result
	answered      bool // the endpoint has responded, or reset the connection
}

// arrive passes the attempt to the endpoint's model as a job, unless an active fault handles it.
func (a *attempt) arrive() {
	e := a.endpoint
	if e.incarnation != a.incarnation || !e.up || a.ended && e.model.Cancel == model.CancelsRunning {
		return
	}
	if e.faults.unresponsive || a.answeredByFault() {
		return
	}
	sim := e.sim
	work := a.drawWork()
	if a.connection.isNew {
		a.connection.isNew = false
		e.model.ConnectionOpened(sim.now)
	}
	e.lastID++
	a.id = e.lastID
	job := &model.Job{
		ID: a.id, Work: work, Deadline: min(a.deadline, model.Never), Node: a.pending.node.index,
		Wait: sim.slotWait(a.pending.request.operation),
	}
	accepted, crash := e.model.Arrive(sim.now, job)
	switch {
	case accepted:
		e.jobs[a.id] = a
	case crash != nil:
		sim.endpointCrashed(e, crash)
	default:
		a.reject()
	}
	e.scheduleWake()
}

// answeredByFault applies the active faults to an attempt. It reports whether one of them has handled the attempt.
func (a *attempt) answeredByFault() bool {
	e := a.endpoint
	f := &e.faults
	strikes := func(share float64) bool { return share > 0 && e.random.Float64() < share }
	switch {
	case a.connection.overLimit || e.draining || strikes(f.reject):
		a.reject()
	case strikes(f.reset):
		a.reset(policy.OutcomeReset)
	case strikes(f.fail):
		a.respond(policy.OutcomeError, http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

// drawWork draws the work of an attempt, and whether it will fail. A repeat of an idempotency key only looks up the
// earlier response, which takes at most repeatWork.
func (a *attempt) drawWork() int64 {
	e, request := a.endpoint, a.pending.request
	o := request.operation
	c := &e.sim.scenario.Classes[o.Class]
	work, failureDraw := workload.AttemptWork(o.Work, c.AttemptNoise, o.Seed+uint64(request.number), e.spec.Seed, 0)
	a.failureDraw = failureDraw
	if c.Idempotency == scenario.IdempotentByKey {
		a.record.Deduplicated = e.sim.deduplicatorOf(e, o.Class).Seen(e.sim.now, request.key)
		if a.record.Deduplicated {
			work = min(work, repeatWork)
		}
	}
	return work
}

func (a *attempt) reject() {
	a.record.Rejected = true
	a.endpoint.sim.delay(a.returnDelay(), func() { a.respond(policy.OutcomeRejected, http.StatusServiceUnavailable) })
}

// finish responds to an attempt that has run.
func (a *attempt) finish() {
	e := a.endpoint
	e.sim.delay(a.returnDelay(), func() {
		t := &e.faults
		switch {
		case a.failureDraw < e.fleet.ErrorShare:
			a.respond(policy.OutcomeError, http.StatusInternalServerError)
		case t.corrupt != "" && e.random.Float64() < t.corruptShare:
			a.corrupt(t.corrupt)
		default:
			a.respond(policy.OutcomeSucceeded, http.StatusOK)
		}
	})
}

// returnDelay returns the network delay of a response.
func (a *attempt) returnDelay() int64 {
	return a.oneWay + a.endpoint.sim.linkDelay(a.endpoint.linkEnd(), a.pending.node.linkEnd())
}

// reachesNode reports whether bytes that the endpoint sends now arrive at the node.
func (a *attempt) reachesNode() bool {
	return !a.endpoint.isCutFrom(a.pending.node.index) &&
		a.endpoint.sim.links.Open(a.endpoint.sim.now, a.endpoint.linkEnd(), a.pending.node.linkEnd())
}

// respond delivers a response to the node, unless the link is cut or the incarnation has ended.
func (a *attempt) respond(o policy.Outcome, status int) {
	if a.answered || !a.reachesNode() || a.endpoint.incarnation != a.incarnation || !a.endpoint.up {
		return
	}
	a.answered = true
	a.record.AnsweredAt, a.record.Status = a.endpoint.sim.now, status
	report := noReport
	if !a.endpoint.sim.scenario.Reports.HealthChecked {
		report = a.endpoint.report()
	}
	a.pending.node.attemptEnded(a, o, report, true)
}

// reset ends an attempt without a response, by a reset of its connection that the node sees.
func (a *attempt) reset(o policy.Outcome) {
	a.answered = true
	a.record.ClosedAt = min(a.record.ClosedAt, a.endpoint.sim.now)
	a.pending.node.attemptEnded(a, o, noReport, false)
}

// corrupt delivers a corrupt response. With a kind of scenario.IntactKinds the attempt succeeds all the same.
func (a *attempt) corrupt(how string) {
	if a.answered || !a.reachesNode() {
		return
	}
	now := a.endpoint.sim.now
	a.answered = true
	a.record.AnsweredAt, a.record.Status = now, http.StatusBadGateway
	for _, k := range scenario.IntactKinds {
		if k == how {
			a.record.Status = http.StatusOK
		}
	}
	if a.record.Status == http.StatusOK {
		a.pending.node.attemptEnded(a, policy.OutcomeSucceeded, noReport, how == "interim" || how == "bad-report")
		return
	}
	a.record.ClosedAt = min(a.record.ClosedAt, now)
	a.pending.node.attemptEnded(a, policy.OutcomeReset, noReport, false)
}

// notifyCanceled cancels the attempt's job at the endpoint, after the network delay.
func (a *attempt) notifyCanceled() {
	if a.record == nil {
		return
	}
	a.record.ClosedAt = min(a.record.ClosedAt, a.endpoint.sim.now)
	if a.answered || a.endpoint.isCutFrom(a.pending.node.index) ||
		!a.endpoint.sim.links.Open(a.endpoint.sim.now, a.pending.node.linkEnd(), a.endpoint.linkEnd()) {
		return
	}
	e, incarnation := a.endpoint, a.incarnation
	e.sim.delay(a.oneWay, func() {
		if e.incarnation != incarnation || !e.up || e.jobs[a.id] != a {
			return
		}
		if stopped, _ := e.model.CancelJob(e.sim.now, a.id); stopped {
			delete(e.jobs, a.id)
		}
		e.scheduleWake()
	})
}

func (sim *Simulation) deduplicatorOf(e *endpoint, class int) *model.Deduplicator {
	c := &sim.scenario.Classes[class]
	k := dedupKey{class, ""}
	switch c.DedupGroup {
	case "zone":
		k.group = e.spec.Zone
	case "pod":
		k.group = strconv.Itoa(e.spec.Pod)
	}
	if sim.deduplicators[k] == nil {
		sim.deduplicators[k] = model.NewDeduplicator(int64(c.DedupWindow))
	}
	return sim.deduplicators[k]
}

type dedupKey struct {
	class int
	group string
}
