// Package baseline implements well-known load balancing policies as deciders for runs in virtual time, for comparison
// with the balancer's decisions. All keep the same rules on retries, draining endpoints and slow start, and differ in
// how they select an endpoint. Two of them read the true state of the cluster, which no node can.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"fawnglade/internal/lab/simulation"
	"fawnglade/policy"
)

// Names of the baselines, as used by the lab's commands.
const (
	random           = "random"
	roundRobin       = "round-robin"
	leastInFlight    = "least"
	twoChoices       = "two-choices"
	peakEWMA         = "peak-ewma"
	hotCold          = "hot-cold"
	boundedHash      = "bounded-hash"
	trueState        = "all-seeing"
	delayedTrueState = "late-seeing"
)

// Descriptions maps the names of the baselines to descriptions with their sources.
var Descriptions = map[string]string{
	random:           "uniform random choice",
	roundRobin:       "endpoints in turn",
	leastInFlight:    "fewest own attempts in flight",
	twoChoices:       "the one with fewer own attempts in flight of two random endpoints (Mitzenmacher, 2001)",
	peakEWMA:         "the lower of two random endpoints by peak-sensitive latency times attempts in flight (Finagle, by its documentation)",
	hotCold:          "the lowest latency among endpoints not hot by reported load, from a pool of reports (Wydrowski et al., Prequal, NSDI 2024)",
	boundedHash:      "consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018)",
	trueState:        "the earliest completion by the true state of all endpoints; rejects requests that would be late",
	delayedTrueState: "random choice, weighted by predicted completion, by the true state half a second ago",
}

// Names returns the sorted names of the baselines.
func Names() []string {
	var names []string
	for name := range Descriptions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

const (
	retryWatchAfter = policy.Time(time.Second)
	// slowStartLoadFactor is the fraction of its guaranteed capacity at which an endpoint in slow start is used.
	slowStartLoadFactor    = 0.75
	healthChecksPerRequest = 2 // by hotCold
)

// Cookies of timers.
const (
	watchTimer    = 0
	snapshotTimer = 1
)

// randomStream separates the deciders' random draws from other users of the seed.
const randomStream = 5

// endpoint is the state that one node keeps of an endpoint.
type endpoint struct {
	policy.EndpointInfo
	inFlight  int         // own attempts
	latency   float64     // peak-sensitive average, of peakEWMA, nanoseconds; 0: unknown
	updatedAt policy.Time // of latency
}

// request is the state of a request that has not ended.
type request struct {
	policy.Request
	attempts   []policy.EndpointID
	inFlight   int
	mayHaveRun bool
	done       bool
}

// Decider is a baseline at one node. Like the balancer, it must be called from one goroutine at a time.
type Decider struct {
	kind      string
	node      int
	settings  policy.Settings
	effects   policy.Effects
	cluster   simulation.ClusterState
	random    *rand.Rand
	nextIndex int // of roundRobin
	endpoints []*endpoint
	byID      map[policy.EndpointID]*endpoint
	requests  map[policy.RequestID]*request
	reports   []pooledReport // of hotCold, the oldest first
	meanWork  []float64      // running mean by class, nanoseconds of one core; of trueState and delayedTrueState
	snapshots []snapshot     // of delayedTrueState, the oldest first
	started   bool
}

var _ simulation.Decider = (*Decider)(nil)

// initialWork is the assumed work of a class until a request of it has succeeded, nanoseconds of one core.
const initialWork = float64(20 * time.Millisecond)

// New returns the constructor of the baseline with a name from Names.
func New(kind string) simulation.NewDecider {
	return func(node int, settings policy.Settings, seed uint64, effects policy.Effects, cluster simulation.ClusterState) simulation.Decider {
		return &Decider{
			kind: kind, node: node, settings: settings, effects: effects, cluster: cluster,
			random:    rand.New(rand.NewPCG(seed, randomStream)),
			nextIndex: int(seed % 7919), // so that nodes do not run in lockstep
			byID:      map[policy.EndpointID]*endpoint{},
			requests:  map[policy.RequestID]*request{},
			meanWork:  slices.Repeat([]float64{initialWork}, len(settings.Classes)),
		}
	}
}

// EndpointsUpdated handles an update of the endpoint list: the whole list if it is complete, else the changed entries.
func (d *Decider) EndpointsUpdated(now policy.Time, list []policy.EndpointInfo, complete bool) {
	if complete {
		for _, e := range d.endpoints {
			e.State = policy.StateRemoved
		}
	}
	for _, info := range list {
		e := d.byID[info.ID]
		if e == nil {
			e = &endpoint{}
			d.byID[info.ID] = e
			d.endpoints = append(d.endpoints, e)
		}
		if info.StartedAt > e.StartedAt {
			e.latency = 0
		}
		e.EndpointInfo = info
	}
	slices.SortFunc(d.endpoints, func(a, b *endpoint) int { return int(a.ID) - int(b.ID) })
	if !d.started {
		d.start(now)
	}
}

// start starts the watch and the snapshots, after the first list.
func (d *Decider) start(now policy.Time) {
	d.started = true
	if d.settings.MustPollList {
		d.effects.WatchEndpoints()
	}
	if d.kind == delayedTrueState {
		d.takeSnapshot(now)
	}
}

// WatchFailed retries the watch a second later.
func (d *Decider) WatchFailed(now policy.Time) { d.effects.SetTimer(now+retryWatchAfter, watchTimer) }

// TimerFired handles a timer by its cookie.
func (d *Decider) TimerFired(now policy.Time, cookie uint64) {
	if cookie == watchTimer {
		d.effects.WatchEndpoints()
		return
	}
	d.takeSnapshot(now)
}

// RequestArrived starts the first attempt of a request.
func (d *Decider) RequestArrived(now policy.Time, arrived policy.Request) {
	r := &request{Request: arrived}
	d.requests[r.ID] = r
	if d.kind == hotCold && d.settings.MayCheckHealth && len(d.endpoints) > 0 {
		for range healthChecksPerRequest {
			d.effects.CheckHealth(d.endpoints[d.random.IntN(len(d.endpoints))].ID)
		}
	}
	d.startAttempt(now, r)
}

// startAttempt sends a request to an endpoint, or ends it if none is selected.
func (d *Decider) startAttempt(now policy.Time, r *request) {
	class := &d.settings.Classes[r.Class]
	e := d.selectEndpoint(now, r, d.candidates(now, r, class))
	if e == nil {
		d.rejectOrFail(r, class)
		return
	}
	r.attempts = append(r.attempts, e.ID)
	r.inFlight++
	e.inFlight++
	d.effects.Send(r.ID, e.ID, r.Deadline.Sub(now))
}

// candidates returns the endpoints that a request may be sent to now: none after its deadline, after MaxAttempts
// attempts, or if it is not idempotent and may have run. It leaves out the endpoint of the last attempt, and includes
// endpoints in slow start with a probability that grows with their warm fraction.
func (d *Decider) candidates(now policy.Time, r *request, class *policy.Class) []*endpoint {
	if now >= r.Deadline || len(r.attempts) >= d.settings.MaxAttempts {
		return nil
	}
	if r.mayHaveRun && class.Idempotency != policy.Idempotent {
		return nil
	}
	var candidates []*endpoint
	for _, e := range d.endpoints {
		if e.State != policy.StateActive {
			continue
		}
		if len(r.attempts) > 0 && r.attempts[len(r.attempts)-1] == e.ID {
			continue
		}
		if fraction := d.warmFraction(now, e); fraction == 1 || d.random.Float64() < slowStartLoadFactor*fraction {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// warmFraction returns the fraction of its capacity that an endpoint is guaranteed to have: 1 unless it is in slow
// start.
func (d *Decider) warmFraction(now policy.Time, e *endpoint) float64 {
	age := now - e.StartedAt
	if e.StartedAt == 0 || age >= policy.Time(d.settings.SlowStartWindow) {
		return 1
	}
	minimum := d.settings.SlowStartMinCapacity
	return minimum + (1-minimum)*float64(max(age, 0))/float64(d.settings.SlowStartWindow)
}

// rejectOrFail ends a request: it rejects it if a retry by the client is safe, else it fails it.
func (d *Decider) rejectOrFail(r *request, class *policy.Class) {
	r.done = true
	if class.Idempotency == policy.Idempotent || !r.mayHaveRun {
		d.effects.Reject(r.ID, min(d.settings.MaxRetryAfter, class.LatencyObjective/4), policy.ReasonNone)
	} else {
		d.effects.Fail(r.ID, policy.ReasonNone)
	}
	delete(d.requests, r.ID)
}

// AttemptEnded handles the end of an attempt, and retries unless the request is done.
func (d *Decider) AttemptEnded(now policy.Time, a policy.AttemptResult) {
	if e := d.byID[a.Endpoint]; e != nil {
		e.inFlight--
		d.observe(now, e, a)
	}
	r := d.requests[a.Request]
	if r == nil {
		return
	}
	r.inFlight--
	switch a.Outcome {
	case policy.OutcomeRejected, policy.OutcomeConnectFailed, policy.OutcomeNotSent:
	default:
		r.mayHaveRun = true
	}
	if r.done || a.RequestDone || a.Outcome == policy.OutcomeSucceeded {
		delete(d.requests, r.ID)
		return
	}
	d.startAttempt(now, r)
}

// observe updates latency, work and load reports from the end of an attempt.
func (d *Decider) observe(now policy.Time, e *endpoint, a policy.AttemptResult) {
	if a.Outcome == policy.OutcomeSucceeded || a.Outcome == policy.OutcomeTimedOut {
		e.observeLatency(now, float64(a.Elapsed))
	}
	if a.Outcome == policy.OutcomeSucceeded {
		d.observeWork(e, a)
	}
	if a.Report.QueueLength >= 0 || a.Report.Utilization >= 0 {
		d.addReport(now, e, a.Report, float64(a.Elapsed))
	}
}

// ClientGone cancels the attempts of a request whose client closed its connection or canceled.
func (d *Decider) ClientGone(_ policy.Time, id policy.RequestID) {
	r := d.requests[id]
	if r == nil {
		return
	}
	r.done = true
	if d.settings.MayCancel {
		for n := range r.attempts {
			d.effects.Cancel(id, n)
		}
	}
	if r.inFlight == 0 {
		delete(d.requests, id)
	}
}

// HealthChecked handles the load report of a health check.
func (d *Decider) HealthChecked(now policy.Time, id policy.EndpointID, outcome policy.Outcome, report policy.LoadReport) {
	if e := d.byID[id]; e != nil && outcome == policy.OutcomeSucceeded {
		d.addReport(now, e, report, e.latency)
	}
}

// GossipReceived ignores gossip, which no baseline uses.
func (d *Decider) GossipReceived(policy.Time, policy.GossipMessage) {}
