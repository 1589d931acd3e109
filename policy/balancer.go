// Package policy decides which endpoint each request is sent to, and when a request is retried, rejected or failed.
//
// A Balancer is created with its settings, a random seed and the Effects that carry out its decisions. The caller calls
// one method per event, in the order of the events, from one goroutine, and passes the time of the event. A Balancer
// reads no clock, starts no goroutine and does no I/O. Each rule has its own file; docs/design.md gives the reasons for
// the rules.
//
// "The paper" in this package is Stapp and Zgadzaj, "Building well-balanced CDN". Its random selection weighted by load
// chooses the endpoint of every attempt. All other rules adjust an endpoint's weight or decide which endpoints are
// candidates.
//
// A request that may be sent to no endpoint is given up at once: with Effects.Reject if a retry by the client is
// harmless, otherwise with Effects.Fail. "Rejecting a request" always means this response to the client. An attempt
// that an endpoint rejects has OutcomeRejected.
package policy

import (
	"math/rand/v2"
	"time"

	"fawnglade/internal/classdelay"
	"fawnglade/internal/estimates"
	"fawnglade/internal/idletimeout"
	"fawnglade/internal/quota"
)

const (
	// tickInterval is the interval of the periodic work.
	tickInterval = time.Second
	// gossipInterval is the minimum interval between two gossip messages for the same cause.
	gossipInterval = time.Second
)

// IDs of the timers that belong to no request. The IDs of request timers start at firstRequestTimer.
const (
	watchTimer = iota // starts the next watch of the endpoint list after one failed
	tickTimer
	firstRequestTimer
)

// Balancer selects endpoints for the requests of one node. Its methods are not safe for concurrent use.
type Balancer struct {
	settings Settings
	effects  Effects
	random   *rand.Rand // TestDigests depends on the order in which numbers are drawn
	started  bool

	endpoints    endpointTable
	requests     requestTable
	estimator    estimator
	subset       subset
	affinity     affinity
	selector     selector
	admission    admission
	hedging      hedgeBudget
	outliers     outlierDetector
	slowStart    slowStart
	overload     overloadGuard
	idleConns    idleConnections
	healthChecks healthChecks
}

// New returns a Balancer without endpoints. The same seed and events lead to the same decisions.
func New(settings Settings, seed uint64, effects Effects) *Balancer {
	delays := classdelay.New(len(settings.Classes), len(settings.TenantShares))
	for _, class := range settings.Classes {
		delays.AddObjective(int64(class.LatencyObjective))
	}
	return &Balancer{
		settings:  settings,
		effects:   effects,
		random:    rand.New(rand.NewPCG(seed, 1)),
		endpoints: newEndpointTable(),
		requests:  newRequestTable(),
		estimator: newEstimator(&settings),
		affinity:  affinity{workFactorWithAffinity: 1},
		admission: admission{quotas: quota.New(settings.TenantShares), delays: delays},
		slowStart: slowStart{window: settings.SlowStartWindow, minCapacity: settings.SlowStartMinCapacity},
		idleConns: idleConnections{timeout: idletimeout.New()},
	}
}

// EndpointsUpdated applies a complete endpoint list or the changed entries of it. An endpoint that is missing from a
// complete list is removed. The first call starts the periodic work and, where the list must be polled, the first
// watch.
func (b *Balancer) EndpointsUpdated(now Time, list []EndpointInfo, complete bool) {
	b.start(now)
	b.endpoints.watchBackoff = 0
	if complete {
		b.endpoints.delistAll(b.settings.RemovedMayServe)
	}
	for _, info := range list {
		b.updateEndpoint(info)
	}
	b.endpoints.sortByRank()
	b.updateSubset(now)
}

func (b *Balancer) start(now Time) {
	if b.started {
		return
	}
	b.started = true
	b.effects.SetTimer(now.Add(tickInterval), tickTimer)
	if b.settings.MustPollList {
		b.effects.WatchEndpoints()
	}
}

// WatchFailed handles the failure of a watch of the endpoint list. The next watch starts after a backoff.
func (b *Balancer) WatchFailed(now Time) {
	backoff := b.endpoints.nextWatchBackoff(b.settings.MaxPollInterval)
	b.effects.SetTimer(now.Add(backoff), watchTimer)
}

// RequestArrived handles a new request. The request is sent, rejected or failed before the call returns.
func (b *Balancer) RequestArrived(now Time, arrived Request) {
	req := b.newRequest(now, arrived)
	b.requests.byID[req.ID] = req
	req.overQuota = b.admission.quotas.Exceeded(req.Tenant, req.ClientRetry)
	b.countArrival(now)
	if b.settings.KeyAffinity && req.Key != "" {
		req.keyHash, req.affinityCount = b.affinity.keys.Observe(req.Key, len(b.endpoints.all))
	}
	b.checkHealthRoundRobin()
	b.grantCreditForArrival(now)
	b.hedging.refill()
	b.sendOrGiveUp(now, req)
}

// AttemptEnded handles the end of an attempt. If the attempt is no longer in flight, only its load report is used.
func (b *Balancer) AttemptEnded(now Time, result AttemptResult) {
	if ep := b.endpoints.byID[result.Endpoint]; ep != nil {
		b.applyReport(now, ep, &result.Report)
	}
	req := b.requests.byID[result.Request]
	if req == nil {
		return
	}
	a := req.attemptInFlight(result.Attempt)
	if a == nil {
		return
	}
	req.endAttempt(now, a, result.Outcome)
	a.endpoint.updateConnectionUse(now, result.Outcome, b.settings.StreamsPerConnection)
	b.recordAttempt(now, req, a, result)
	b.continueRequest(now, req, result)
}

// ClientGone handles a client that disconnected. The attempts of its request are canceled, since no response can reach
// the client.
func (b *Balancer) ClientGone(_ Time, id RequestID) {
	if req := b.requests.byID[id]; req != nil && !req.done {
		b.finish(req)
	}
}

// TimerFired handles the expiry of a timer set by Effects.SetTimer.
func (b *Balancer) TimerFired(now Time, timer uint64) {
	switch timer {
	case watchTimer:
		b.effects.WatchEndpoints()
	case tickTimer:
		b.effects.SetTimer(now.Add(tickInterval), tickTimer)
		b.tick(now)
	default:
		if req := b.requests.byOverdueTimer[timer]; req != nil && req.inFlight == 1 {
			b.handleOverdueAttempt(now, req, req.firstInFlight())
		}
	}
}

// HealthChecked handles the result of a health check started by Effects.CheckHealth.
func (b *Balancer) HealthChecked(now Time, id EndpointID, outcome Outcome, report LoadReport) {
	if ep := b.endpoints.byID[id]; ep != nil && outcome == OutcomeSucceeded {
		b.applyReport(now, ep, &report)
	}
}

// GossipReceived handles a message of another node. It ignores messages about an endpoint that is not listed as active,
// with a class out of range, or with an idle time below minDeadIdleTime.
func (b *Balancer) GossipReceived(now Time, message GossipMessage) {
	if message.IdleTime != 0 {
		if message.IdleTime >= minDeadIdleTime {
			b.confirmDeadConnection(message.IdleTime)
		}
		return
	}
	ep := b.endpoints.byID[message.Endpoint]
	if ep != nil && ep.State == StateActive && message.Class >= 0 && message.Class < len(ep.health) {
		ep.health[message.Class].applyGossip(now)
	}
}

// Estimates returns the estimates of this instance. The snapshot shares memory with the Balancer and must be encoded
// before the next event.
func (b *Balancer) Estimates() estimates.Snapshot {
	snapshot := estimates.Snapshot{
		FleetEstimates: b.estimator.FleetEstimates,
		Classes:        b.estimator.classes,
		Endpoints:      map[uint32]estimates.Endpoint{},
	}
	for _, ep := range b.endpoints.all {
		snapshot.Endpoints[uint32(ep.ID)] = estimates.Endpoint{
			EndpointEstimates: ep.EndpointEstimates,
			StartedAt:         int64(ep.StartedAt),
		}
	}
	return snapshot
}

// Inherit restores the estimates of an earlier instance: those of the fleet, and those of endpoints that have the same
// start time as in the snapshot. It must be called with a valid snapshot, after the first endpoint list. After a crash
// of this node nothing is inherited and its active endpoints count as just started, since the cause of the crash may
// have crashed them too (internal/nodestate).
func (b *Balancer) Inherit(snapshot *estimates.Snapshot) {
	b.estimator.RestoreFrom(&snapshot.FleetEstimates)
	copy(b.estimator.classes, snapshot.Classes)
	for _, ep := range b.endpoints.all {
		inherited, known := snapshot.Endpoints[uint32(ep.ID)]
		if known && Time(inherited.StartedAt) == ep.StartedAt {
			ep.EndpointEstimates = inherited.EndpointEstimates
		}
	}
}

// tick does the periodic work: it decays estimates and recalculates the values derived from them.
func (b *Balancer) tick(now Time) {
	b.estimator.updateHighLatency(now, b.endpoints.all)
	gaveUpAll := b.estimator.gaveUpAllRequests()
	for _, ep := range b.endpoints.all {
		b.estimator.decayEndpoint(ep)
		if gaveUpAll && ep.inFlight == 0 {
			// Prevents a deadlock in which requests are given up because of an old latency estimate, which then no
			// response can correct.
			ep.Latency.Decay(fleetDecayPerSecond)
		}
		ep.decayHealth()
	}
	if b.settings.ReportsUtilization {
		b.overload.tick(now, b.estimator.Fleet.MeanRatio(), b.estimator.worstSuccessRate())
	}
	b.estimator.Decay(1-smoothingFactor, fleetDecayPerSecond)
	b.affinity.keys.Decay()
	b.subset.updateRequestRate()
	b.idleConns.timeout.Decay()
	b.updatePriorityFactors()
	b.updateSubset(now)
	b.estimator.decayClasses()
}

// gossip sends a message to the other nodes if gossipInterval has passed since the last message for the same cause.
// sentAt is the time of that message; gossip updates it.
func (b *Balancer) gossip(now Time, sentAt *Time, message GossipMessage) {
	if b.settings.MayGossip && now.Sub(*sentAt) >= gossipInterval {
		*sentAt = now
		b.effects.Gossip(message)
	}
}
