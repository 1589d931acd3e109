// Package baseline implements well-known load balancing policies as deciders for runs in virtual time, to compare the
// decisions with. They keep the same rules on retries, draining endpoints and slow start, and differ in how they select
// an endpoint. Two of them read the true state of the cluster, which no node can.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"fawnglade/internal/lab/simulation"
	"fawnglade/policy"
)

// The names of the baselines, as the lab's commands take them.
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

// Kinds are the baselines by name, with what they do and where they are from.
var Descriptions = map[string]string{
	random:           "an even draw",
	roundRobin:       "one after another",
	leastInFlight:    "fewest own attempts in flight",
	twoChoices:       "the one with fewer out of two drawn (Mitzenmacher, 2001)",
	peakEWMA:         "the lower of two by peak-sensitive latency times attempts in flight (Finagle's balancer, by its documentation)",
	hotCold:          "the quickest of those not hot by reported load, from a pool of reports (Wydrowski et al., Prequal, NSDI 2024)",
	boundedHash:      "consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018)",
	trueState:        "the earliest end by the true state of all endpoints; it rejects what would be late",
	delayedTrueState: "the same by the state of half a second ago, drawn by how soon each would end",
}

// Names returns the names of the baselines in order.
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
	// slowStartLoadFactor is the part that an endpoint in slow start is offered of the capacity that it surely has.
	slowStartLoadFactor    = 0.75
	healthChecksPerRequest = 2 // per request, by hotCold
)

// Cookies of timers.
const (
	watchTimer    = 0
	snapshotTimer = 1
)

// randomStream separates the deciders' random draws from other users of the seed.
const randomStream = 5

// endpoint as one node knows it.
type endpoint struct {
	policy.EndpointInfo
	inFlight  int         // own attempts
	latency   float64     // peak-sensitive average for peakEWMA, nanoseconds; 0: unknown
	updatedAt policy.Time // of latency
}

// request is one that has not ended.
type request struct {
	policy.Request
	attempts   []policy.EndpointID
	inFlight   int
	mayHaveRun bool
	done       bool
}

// Decider is a baseline at one node. Like the module's decisions it is called from one goroutine at a time.
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
	meanWork  []float64      // by class: running mean, nanoseconds of a core; of trueState and delayedTrueState
	snapshots []snapshot     // of delayedTrueState, the oldest first
	started   bool
}

var _ simulation.Decider = (*Decider)(nil)

// initialWork is assumed of a class until a request of it has ended, nanoseconds of a core.
const initialWork = float64(20 * time.Millisecond)

// New returns the constructor of a baseline, by one of Names.
func New(kind string) simulation.NewDecider {
	return func(node int, settings policy.Settings, seed uint64, effects policy.Effects, cluster simulation.ClusterState) simulation.Decider {
		return &Decider{
			kind: kind, node: node, settings: settings, effects: effects, cluster: cluster,
			random:    rand.New(rand.NewPCG(seed, randomStream)),
			nextIndex: int(seed % 7919), // so that nodes do not go in step
			byID:      map[policy.EndpointID]*endpoint{},
			requests:  map[policy.RequestID]*request{},
			meanWork:  slices.Repeat([]float64{initialWork}, len(settings.Classes)),
		}
	}
}

// EndpointsUpdated takes the endpoint list; if it is not complete, what has changed in it.
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

// start begins what goes on from the first list on.
func (d *Decider) start(now policy.Time) {
	d.started = true
	if d.settings.MustPollList {
		d.effects.WatchEndpoints()
	}
	if d.kind == delayedTrueState {
		d.takeSnapshot(now)
	}
}

// WatchFailed watches again a second later.
func (d *Decider) WatchFailed(now policy.Time) { d.effects.SetTimer(now+retryWatchAfter, watchTimer) }

// TimerFired continues what the timer was set for.
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

// candidates returns the endpoints that a request may go to now: none after its deadline, with its attempts used up, or
// if it is not idempotent and may have run. The endpoint of the last attempt is left out, those in slow start are
// drawn.
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
		if part := d.warmFraction(now, e); part == 1 || d.random.Float64() < slowStartLoadFactor*part {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// warmFraction is the part of its capacity that an endpoint surely has: 1 unless it is in slow start.
func (d *Decider) warmFraction(now policy.Time, e *endpoint) float64 {
	age := now - e.StartedAt
	if e.StartedAt == 0 || age >= policy.Time(d.settings.SlowStartWindow) {
		return 1
	}
	least := d.settings.SlowStartMinCapacity
	return least + (1-least)*float64(max(age, 0))/float64(d.settings.SlowStartWindow)
}

// rejectOrFail rejects a request if a retry by the client does no harm, else it fails it.
func (d *Decider) rejectOrFail(r *request, class *policy.Class) {
	r.done = true
	if class.Idempotency == policy.Idempotent || !r.mayHaveRun {
		d.effects.Reject(r.ID, min(d.settings.MaxRetryAfter, class.LatencyObjective/4), policy.ReasonNone)
	} else {
		d.effects.Fail(r.ID, policy.ReasonNone)
	}
	delete(d.requests, r.ID)
}

// AttemptEnded takes the end of an attempt, and retries unless the request is done.
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

// observe learns from the end of an attempt.
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

// ClientGone cancels the attempts of a request whose client has gone.
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

// HealthChecked takes the load report of a health check.
func (d *Decider) HealthChecked(now policy.Time, id policy.EndpointID, outcome policy.Outcome, report policy.LoadReport) {
	if e := d.byID[id]; e != nil && outcome == policy.OutcomeSucceeded {
		d.addReport(now, e, report, e.latency)
	}
}

// GossipReceived ignores gossip: no baseline uses any.
func (d *Decider) GossipReceived(policy.Time, policy.GossipMessage) {}
