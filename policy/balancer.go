// Package policy decides which endpoint gets each request, and when a request is sent again, rejected or failed.
//
// A Balancer gets its settings, a seed and the Effects that carry out what it decides. The caller invokes one method
// for each event, in the order of events, from one goroutine, with the time of the event. A Balancer reads no clock,
// starts nothing and does no I/O. Each rule has a file of its own; docs/design.md gives their reasons.
//
// "The paper" in this package is Stapp and Zgadzaj, "Building well-balanced CDN". Its random draw by load selects the
// endpoint of every attempt; all other rules adjust an endpoint's weight in the draw or say which endpoints take part.
//
// A request that no endpoint may get is given up: it ends at once, either with Effects.Reject, where a retry by the
// client does no harm, or with Effects.Fail. To reject a request is always that answer to the client; an endpoint that
// rejects an attempt is OutcomeRejected.
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
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = time.Second
	// gossipInterval is the shortest time between two gossip messages for one cause.
	gossipInterval = time.Second
)

// Numbers of the timers that belong to no request; the timers of requests follow.
const (
	watchTimer = iota // asks for the endpoint list again after a failed watch
	tickTimer
	firstRequestTimer
)

// Balancer is one instance of the decisions. Its methods are not safe for concurrent use.
type Balancer struct {
	settings Settings
	effects  Effects
	random   *rand.Rand // the order of its draws is part of what the digest test compares
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

// New returns a Balancer that knows nothing but its settings. Equal seeds and events give equal decisions.
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

// EndpointsUpdated takes the endpoint list, or what changed in it. An endpoint that a complete list lacks is removed.
// The first call starts the periodic work and, where the list has to be polled, asks for the first watch.
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

// WatchFailed takes the failure of a watch of the endpoint list; the next one is asked for after a backoff.
func (b *Balancer) WatchFailed(now Time) {
	backoff := b.endpoints.nextWatchBackoff(b.settings.MaxPollInterval)
	b.effects.SetTimer(now.Add(backoff), watchTimer)
}

// RequestArrived takes a new request. It is sent, rejected or failed before the call returns.
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

// AttemptEnded takes the end of an attempt. The end of an attempt that is not in flight brings its load report alone.
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

// ClientGone takes the departure of a client: the attempts of its request are canceled, as no answer reaches it.
func (b *Balancer) ClientGone(_ Time, id RequestID) {
	if req := b.requests.byID[id]; req != nil && !req.done {
		b.finish(req)
	}
}

// TimerFired takes a timer that was set by Effects.SetTimer.
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

// HealthChecked takes the result of a health check that Effects.CheckHealth asked for.
func (b *Balancer) HealthChecked(now Time, id EndpointID, outcome Outcome, report LoadReport) {
	if ep := b.endpoints.byID[id]; ep != nil && outcome == OutcomeSucceeded {
		b.applyReport(now, ep, &report)
	}
}

// GossipReceived takes a message of another node. Messages that make no sense are ignored.
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

// Estimates returns what this instance has learned. The snapshot shares memory with the Balancer: it is to be encoded
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

// Inherit takes over what an earlier instance learned of the fleet and of endpoints that have not restarted since. It
// is called after the first endpoint list, with a valid snapshot. An endpoint's estimates are taken only if its start
// time is the same. After a crash of this node none is taken: its active endpoints then count as just started, since
// what crashed the node may have crashed them too (internal/nodestate).
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

// tick does the periodic work: estimates decay, and what is derived from them is calculated anew.
func (b *Balancer) tick(now Time) {
	b.estimator.updateHighLatency(now, b.endpoints.all)
	givesUpAll := b.estimator.gaveUpAllRequests()
	for _, ep := range b.endpoints.all {
		b.estimator.decayEndpoint(ep)
		if givesUpAll && ep.inFlight == 0 {
			// Guards against a lock-out: what is not measured any more keeps requests from measuring it.
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

// gossip sends a message to the other nodes, at most once in gossipInterval for each cause; sentAt is the cause's last
// time.
func (b *Balancer) gossip(now Time, sentAt *Time, message GossipMessage) {
	if b.settings.MayGossip && now.Sub(*sentAt) >= gossipInterval {
		*sentAt = now
		b.effects.Gossip(message)
	}
}
