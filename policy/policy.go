// Package policy decides which server gets each request, and when a request is sent again, rejected or failed.
//
// New takes the settings, a seed and a Host; then call the one method for each thing that happens, in order,
// and with the clock. It keeps no clock and starts nothing. docs/design.md tells what follows the paper.
package policy

import (
	"cmp"
	"fawnglade/internal/classdelay"
	"fawnglade/internal/estimates"
	"fawnglade/internal/ewma"
	"fawnglade/internal/idletimeout"
	"fawnglade/internal/keyfreq"
	"fawnglade/internal/quota"
	"fawnglade/internal/rendezvous"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	recalculationInterval = time.Second          // the design's longest time between two recalculations
	settlingRecalculations    = 3                    // recalculations through which a rising server still sits at the mean
	weightFloorDivisor   = 20                   // w is at least the mean over this
	otherZoneFactor     = 6                    // w of a server in another zone is pushed up by this
	learningRate       = 1.0 / 12             // part of a new value in a server's running means
	highLatencyQuantile     = 0.95                 // the quantile of answer times by which a server is judged
	timeoutFactor     = 1.5                  // what an attempt that timed out would have taken, over what it had
	minWorkFraction    = 0.25                 // part of the mean work that a request counts for at least
	zoneDelayQuantile     = 0.1                  // the quantile that tells the way to a zone from the work
	fleetDecayPerSecond      = 0.5                  // part of what answers showed that still counts a second later
	maxSurprise         = 3                    // an answer counts for at most this multiple of what its peers show
	ejectionFailureRate      = 0.25                 // running part of failures that puts a server out of the draw
	slowStartSafety  = 0.75                 // part of its fair part that a cold server gets, to err on the low side
	warmConcurrency      = 8                    // requests that a warm server surely does at a time
	hedgesPerRequest    = 0.1                  // hedged requests for each request
	minSubsetSize       = 4                    // servers that a node draws from at least, and a further one
	requestRatePerEndpoint     = 8.0                  // for so many requests a second
	nodesPerEndpoint     = 16                   // nodes that draw from a server at least
	warmingUpPerWarm       = 4                    // times its breadth of cold servers, or each send opens a connection
	evenWorstClassWeight      = 0.4                  // where the worst class weighs so much, what work earns favours none
	requestsPerHealthCheck   = 32                   // requests for which a server is probed
	minDeadIdleTime   = recalculationInterval * 3 / 10 // a connection used so lately is not dead
	gossipVotesToEject      = 3                    // that a server fails a class, within about two seconds
	minOverdueTicks       = 4                    // ticks of silence that tell nothing: the node may have stood still
	overloadedFleetLevel         = 2.5                  // answer times over the work at which the fleet is jammed
	overloadedSuccessRate      = 0.7                  // if the worst class also fares no better
	overloadedSecondsToRest     = 9                    // seconds of it after which a node gives up all requests for a while, once
	restDuration     = recalculationInterval * 5
	selectionWindow      = 32 // servers of which one is drawn at most, so that no fleet costs more

	pollTimer, tickTimer, firstRequestTimer = 0, 1, 2
)

type attempt struct {
	endpoint                 *endpoint
	sentAt                 Time
	idleTime                    time.Duration // gap: for how long its connection had been idle
	inFlightBefore, work, predictedNanos float64
	classDelayNanos, unloadedNanos            float64 // for which its kinds wait anywhere; its time alone at the server
	zone, pod              int     // where its server stood: by now it may be listed elsewhere, or nowhere
	open, mayHaveRun       bool
	heldAgainstClass, atHome, connectionDead     bool // home: of its key; dead: its connection was taken for one that died idle
}

type request struct {
	Request
	classSettings     *Class
	effectiveDeadline, objectiveAt  Time // the last moments at which an answer still earns, and in full
	attempts     []attempt
	inFlight, loadPerAttempt int // attempts out; what one counts for at its server
	overdueTimer       uint64
	done, overQuota bool // beyond: its tenant's share
	delays        classdelay.Pair
	keyHash          uint64
	homeCount        int // servers that its key is at home at; 0 where its work does not go by it
}

// standing is what a server showed of late in one class.
type classHealth struct {
	failureRate, samples, gossipVotes float64 // running part of failures; fading counts: over which, who say so
	ejected            bool
	ejectionTime       time.Duration
	retryAt, gossipedAt  Time // toldAt: when this instance said so
}

type endpoint struct {
	EndpointInfo
	rank       uint64
	inSubset, isHome bool // this node draws from it; it is one of that key's homes
	delisted       bool // the list lacks it, and it has not failed since
	health   []classHealth
	lastUsedAt     Time // last use of a connection to it, 0: none

	estimates.EndpointEstimates
	recalculateAt, risingFrom Time       // recalculate: when next, if no report comes before
	sendsSinceReport, inFlight, rejectionsInARow      int        // since the last report; out now; rejected in a row
	maxInFlight                    int        // out at once since its idle connections were last closed
	podLatency                     *ewma.Pair // the same of its pod, as one server is heard of once in many seconds
	slowStartCredit                  float64    // attempts that it has earned while cold
	silentSince, backoffUntil    Time
}

// Balancer is one instance of the decisions.
type Balancer struct {
	settings     Settings
	effects    Effects
	random   *rand.Rand
	nextTimer uint64
	started bool
	pollBackoff time.Duration
	answerBy   Time // until: by when the request being drawn for is to be answered

	requests         map[RequestID]*request
	overdueTimers        map[uint64]*request
	classes            []estimates.ClassEstimates
	quotas        quota.Quotas
	hedgeBudget, requestRate  float64 // hedged requests that may still go out; requests a second
	arrivals, arrivalCount int     // requests since the last tick, and ever

	endpoints []*endpoint // by rank
	byID    map[EndpointID]*endpoint
	estimates.FleetEstimates
	fleetFailureRate, homeWorkFactor     float64 // part of failures of all; work of a request at its key's home, over that elsewhere
	idleTimeout                idletimeout.Estimator
	overloadedSeconds, breadth     int       // seconds for which all have been late; how many servers to draw from
	idleGossipedAt, restUntil    Time      // when that was told; until when this node gives the fleet a rest
	lastArrivalAt              Time      // when a request came last
	subset, warmingUp, candidates []*endpoint // those; of these the cold ones; who takes part in the draw
	keys                keyfreq.Counter
	classDelays                *classdelay.Tracker
	classDelayNanos, activeCount        float64   // for which the request being drawn waits anywhere, because of its kind; servers
	homes               []*endpoint // of the key of the request being drawn, the first by rank first
	weights             []float64
}

// New makes an instance that knows nothing but its settings.
func New(settings Settings, seed uint64, host Effects) *Balancer {
	p := &Balancer{
		settings: settings, effects: host, random: rand.New(rand.NewPCG(seed, 1)), nextTimer: firstRequestTimer,
		requests: map[RequestID]*request{}, overdueTimers: map[uint64]*request{}, byID: map[EndpointID]*endpoint{}, idleTimeout: idletimeout.New(),
		homeWorkFactor: 1, quotas: quota.New(settings.TenantShares),
	}
	p.FleetEstimates = estimates.FleetEstimates{HighLatency: 2, Pods: map[int]*ewma.Pair{}, ZoneDelay: map[int]float64{}}
	p.classDelays = classdelay.New(len(settings.Classes), len(settings.TenantShares))
	for _, c := range settings.Classes {
		p.classDelays.AddObjective(int64(c.LatencyObjective))
	}
	p.classes = slices.Repeat([]estimates.ClassEstimates{{LatencySpread: 2, SuccessRate: 1, KeptShare: 1}}, len(settings.Classes))
	return p
}

// Estimates is what this instance has learned; it shares memory with it.
func (p *Balancer) Estimates() estimates.Snapshot {
	all := estimates.Snapshot{FleetEstimates: p.FleetEstimates, Classes: p.classes, Endpoints: map[uint32]estimates.Endpoint{}}
	for _, s := range p.endpoints {
		all.Endpoints[uint32(s.ID)] = estimates.Endpoint{EndpointEstimates: s.EndpointEstimates, StartedAt: int64(s.StartedAt)}
	}
	return all
}

// Inherit begins, behind the list, with what the instance before learned of the same processes of servers.
func (p *Balancer) Inherit(all *estimates.Snapshot) {
	p.FleetEstimates.TakeOver(&all.FleetEstimates)
	copy(p.classes, all.Classes)
	for _, s := range p.endpoints {
		if l, had := all.Endpoints[uint32(s.ID)]; had && Time(l.StartedAt) == s.StartedAt {
			s.EndpointEstimates = l.EndpointEstimates
		}
	}
}

// EndpointsUpdated takes the server list, or what changed in it.
func (p *Balancer) EndpointsUpdated(now Time, list []EndpointInfo, whole bool) {
	if !p.started {
		p.started = true
		p.effects.SetTimer(now.Add(recalculationInterval), tickTimer)
		if p.settings.MustPollList {
			p.effects.WatchEndpoints()
		}
	}
	if p.pollBackoff = 0; whole {
		for _, s := range p.endpoints {
			s.delist(p.settings.RemovedMayServe)
		}
	}
	for _, l := range list {
		s := p.byID[l.ID]
		if s == nil {
			s = &endpoint{}
			p.byID[l.ID], p.endpoints = s, append(p.endpoints, s)
		}
		before := s.State
		if l.StartedAt > s.StartedAt || s.health == nil {
			before = l.State
			// A new process: what was learned of the old one misleads. Where in its first part it stands is drawn,
			// or hundreds of nodes that earn less than an attempt never warm it, or all give theirs at one moment.
			*s = endpoint{
				inFlight: s.inFlight, inSubset: s.inSubset, slowStartCredit: p.random.Float64(), health: make([]classHealth, len(p.classes)),
				rank: rendezvous.Score(rendezvous.NumberKey(p.settings.NodeIndex), uint32(l.ID)),
			}
		}
		if p.Pods[l.Pod] == nil {
			p.Pods[l.Pod] = &ewma.Pair{}
		}
		if s.EndpointInfo, s.podLatency, s.delisted = l, p.Pods[l.Pod], false; l.State == StateRemoved {
			s.State = before
			s.delist(p.settings.RemovedMayServe)
		}
	}
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int { return cmp.Compare(b.rank, a.rank) })
	p.chooseSubset(now)
}

// leave takes off a server that the list lacks; where that binds nothing and may be untrue, once it fails.
func (s *endpoint) delist(keep bool) {
	if s.delisted = keep && s.State == StateActive; !s.delisted {
		s.State = StateRemoved
	}
}

// WatchFailed asks again, after waits that grow but stay well within the time the rules allow.
func (p *Balancer) WatchFailed(now Time) {
	p.pollBackoff = min(max(2*p.pollBackoff, p.settings.MaxPollInterval/64), p.settings.MaxPollInterval/8)
	p.effects.SetTimer(now.Add(p.pollBackoff), pollTimer)
}

// RequestArrived takes a new request.
func (p *Balancer) RequestArrived(now Time, arrived Request) {
	c := &p.settings.Classes[arrived.Class]
	t := &request{
		Request: arrived, classSettings: c, effectiveDeadline: arrived.Deadline, loadPerAttempt: 1,
		delays: p.classDelays.Of(arrived.Class, arrived.Tenant),
	}
	if arrived.StreamingBody {
		t.loadPerAttempt = 0 // a server begins it only when all of it has come, and how long that takes is not its doing
	}
	if t.objectiveAt = min(t.effectiveDeadline, now.Add(c.LatencyObjective-c.LatencyObjective/64-2*p.settings.ClockResolution)); c.LateFraction == 0 {
		t.effectiveDeadline = t.objectiveAt
	}
	p.requests[t.ID] = t
	t.overQuota = p.quotas.Exceeded(t.Tenant, t.ClientRetry)
	if p.arrivals++; p.arrivals > int(requestRatePerEndpoint)*p.breadth {
		p.requestRate = max(p.requestRate, float64(p.arrivals)) // guards against a busy node jamming the few that it starts with
		p.chooseSubset(now)
	}
	if p.settings.KeyAffinity && t.Key != "" {
		t.keyHash, t.homeCount = p.keys.Observe(t.Key, len(p.endpoints))
	}
	p.checkOneHealth()
	p.earnSlowStartCredit(now, nil, 0)
	p.hedgeBudget = min(p.hedgeBudget+hedgesPerRequest, 4)
	p.sendOrGiveUp(now, t)
}

func (p *Balancer) estimateWork(t *request) float64 {
	if t.CostHint > 0 {
		return max(float64(t.CostHint), minWorkFraction*p.MeanWork) // guards against answers to requests with hardly any work
	}
	return cmp.Or(p.classes[t.Request.Class].TypicalWork, p.MeanWork)
}

// send hands the request to a drawn server, or gives it up.
func (p *Balancer) sendOrGiveUp(now Time, t *request) {
	if s := p.selectEndpoint(now, t); s != nil {
		p.sendTo(now, t, s)
	} else {
		p.giveUp(now, t)
	}
}

func (p *Balancer) sendTo(now Time, t *request, s *endpoint) {
	cost, gap := p.estimateWork(t)*p.homeFactor(s), time.Duration(0)
	if s.inFlight == 0 {
		s.silentSince = now
		if gap = now.Sub(cmp.Or(s.lastUsedAt, now)); int64(gap) > p.idleTimeout.Limit {
			gap = 0
			p.closeIdle(s)
		}
	}
	s.lastUsedAt = now
	t.attempts = append(t.attempts, attempt{
		endpoint: s, zone: s.Zone, pod: s.Pod, sentAt: now, idleTime: gap,
		atHome: s.isHome, classDelayNanos: t.delays.Delay(int64(now)), unloadedNanos: p.ZoneDelay[s.Zone] + cost*s.podLatency.Level()*s.Latency.Level(),
		inFlightBefore: float64(s.inFlight), predictedNanos: float64(p.predictLatency(s, cost)), work: cost, open: true,
	})
	t.inFlight++
	t.delays.CountInFlight(int64(now), 1)
	if now >= s.recalculateAt { // no report came for the design's longest time
		s.RisePerSend, s.sendsSinceReport, s.recalculateAt = 0, 0, now.Add(recalculationInterval)
	}
	s.inFlight += t.loadPerAttempt
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.sendsSinceReport++
	s.Load += s.RisePerSend
	s.slowStartCredit -= max(p.relativeWork(cost), 1)
	p.effects.Send(t.ID, s.ID, t.effectiveDeadline.Sub(now))
	if after := p.overdueAfter(s, cost); cost > 0 && t.inFlight == 1 && !t.StreamingBody && now.Add(after) < t.effectiveDeadline.Add(-(after/2)) {
		if t.overdueTimer == 0 {
			t.overdueTimer, p.nextTimer = p.nextTimer, p.nextTimer+1
			p.overdueTimers[t.overdueTimer] = t
		}
		p.effects.SetTimer(now.Add(after), t.overdueTimer)
	}
}

// release closes what is idle to a server.
func (p *Balancer) closeIdle(s *endpoint) {
	s.lastUsedAt, s.maxInFlight = 0, s.inFlight
	p.effects.CloseIdle(s.ID)
}

// mayDecline tells whether a client may be told that asking again does no harm.
func mayReject(now Time, t *request) bool {
	all := t.classSettings.Idempotency == IdempotentByKey && t.classSettings.DedupGroup == DedupFleet
	return t.classSettings.Idempotency == Idempotent || !slices.ContainsFunc(t.attempts, func(h attempt) bool {
		return (h.open || h.mayHaveRun) && !(all && now.Sub(h.sentAt) < t.classSettings.DedupWindow)
	})
}

// giveUp answers at once: a reject where asking again does no harm, else a failure.
func (p *Balancer) giveUp(now Time, t *request) {
	if t.delays.CountGivenUp(); t.delays.Delay(int64(now)) < float64(t.classSettings.LatencyObjective)/2 { // else others yield in vain
		p.classes[t.Request.Class].RecordResult(false)
	}
	if mayReject(now, t) {
		p.effects.Reject(t.ID, min(p.settings.MaxRetryAfter, t.classSettings.LatencyObjective/4))
	} else {
		p.effects.Fail(t.ID)
	}
	p.finish(t)
}

// end recalls what is still out for a request that has its answer, and forgets it once nothing is.
func (p *Balancer) finish(t *request) {
	t.done = true
	for i := range t.attempts {
		if t.attempts[i].open && p.settings.MayCancel {
			p.effects.Cancel(t.ID, i)
		}
	}
	delete(p.overdueTimers, t.overdueTimer)
	if t.inFlight == 0 {
		delete(p.requests, t.ID)
	}
}

// AttemptEnded takes the end of an attempt.
func (p *Balancer) AttemptEnded(now Time, a AttemptResult) {
	if s := p.byID[a.Endpoint]; s != nil {
		p.applyReport(now, s, &a.Report)
	}
	t := p.requests[a.Request]
	if t == nil || a.Attempt < 0 || a.Attempt >= len(t.attempts) || !t.attempts[a.Attempt].open {
		return
	}
	h := &t.attempts[a.Attempt]
	s := h.endpoint
	h.open, h.mayHaveRun = false, a.Outcome != OutcomeRejected && a.Outcome != OutcomeConnectFailed && a.Outcome != OutcomeNotSent
	t.inFlight--
	s.inFlight -= t.loadPerAttempt
	t.delays.CountInFlight(int64(now), -1)
	switch o := a.Outcome; {
	case o == OutcomeReset || o == OutcomeConnectFailed || p.settings.StreamsPerConnection < 2 && (o == OutcomeTimedOut || o == OutcomeCanceled):
		s.lastUsedAt = 0 // its connection went with it
	case s.lastUsedAt > 0:
		s.lastUsedAt = now
	}
	p.learnFrom(now, t, h, a)
	switch {
	case t.done && t.inFlight == 0:
		delete(p.requests, t.ID)
	case t.done:
	case a.RequestDone || a.Outcome == OutcomeSucceeded:
		if a.Outcome == OutcomeSucceeded {
			p.classes[t.Request.Class].RecordResult(true)
		}
		p.finish(t)
	case a.BodyConsumed:
		p.giveUp(now, t)
	case t.inFlight == 0:
		p.sendOrGiveUp(now, t)
	}
}

// ClientGone takes the news that the client has gone; work still out for it can earn nothing.
func (p *Balancer) ClientGone(_ Time, id RequestID) {
	if t := p.requests[id]; t != nil && !t.done {
		p.finish(t)
	}
}

// TimerFired takes a timer that has come due.
func (p *Balancer) TimerFired(now Time, cookie uint64) {
	switch t := p.overdueTimers[cookie]; {
	case cookie == pollTimer:
		p.effects.WatchEndpoints()
	case cookie == tickTimer:
		p.effects.SetTimer(now.Add(recalculationInterval), tickTimer)
		p.tick(now)
	case t != nil && t.inFlight == 1:
		p.attemptOverdue(now, t, slices.IndexFunc(t.attempts, func(h attempt) bool { return h.open }))
	}
}

// late tells the request's kinds of an answer that is late by who knows how much, if its connection is not why.
func (p *Balancer) observeLate(now Time, t *request, h *attempt) {
	if !h.connectionDead {
		t.delays.Observe(int64(now), int64(h.sentAt), math.Inf(1), h.unloadedNanos)
	}
}

// overdue takes an attempt that should have been answered: its server is judged, and the request sent elsewhere.
func (p *Balancer) attemptOverdue(now Time, t *request, number int) {
	h := &t.attempts[number]
	p.foundConnectionDead(now, h, OutcomeTimedOut)
	p.observeLate(now, t, h)
	if h.endpoint.silentSince > h.sentAt && !h.heldAgainstClass {
		// Guards against servers that leave one class unanswered and serve the others.
		h.heldAgainstClass = true
		p.recordOutcome(now, h.endpoint, t, 1, OutcomeError)
	}
	if again := len(t.attempts) < p.settings.MaxAttempts; p.settings.MayHedge && t.classSettings.Idempotency != NonIdempotent {
		if s := p.selectEndpoint(now, t); s != nil && p.hedgeBudget >= 1 {
			p.hedgeBudget--
			p.sendTo(now, t, s)
		}
	} else if again && p.settings.MayCancel && t.classSettings.Idempotency == Idempotent && h.endpoint.silentSince <= h.sentAt {
		p.effects.Cancel(t.ID, number) // of one that answers others the request is heavy, and would be elsewhere
	}
}

// choose picks whom this node draws from: the first by rank, until enough are warm and fit. Guards against
// many nodes each holding a connection to every server, hearing little of any, and filling their tables.
func (p *Balancer) chooseSubset(now Time) {
	p.activeCount = 0
	for _, s := range p.endpoints {
		if s.State == StateActive {
			p.activeCount++
		}
	}
	want := max(minSubsetSize+p.requestRate/requestRatePerEndpoint, nodesPerEndpoint*p.activeCount/float64(max(p.settings.NodeCount, 1)))
	if p.breadth = max(p.breadth, int(want)); want < float64(p.breadth)-1 {
		p.breadth-- // slowly, as connections would be closed and opened again
	}
	p.subset, p.warmingUp = p.subset[:0], p.warmingUp[:0]
	left, extra := p.breadth, p.breadth/2+1
	for _, s := range p.endpoints {
		was, cold := s.inSubset, p.capacityFraction(now, s) < 1
		if s.inSubset = s.State == StateActive && left > 0 && !(cold && len(p.warmingUp) >= warmingUpPerWarm*p.breadth); !s.inSubset {
			if was && s.lastUsedAt > 0 && s.inFlight == 0 && p.settings.StreamsPerConnection > 1 { // else a key's home is closed each time
				p.closeIdle(s)
			}
			continue
		}
		if p.subset = append(p.subset, s); cold {
			p.warmingUp = append(p.warmingUp, s)
		} else if left--; s.isAvoided(now) && extra > 0 {
			left, extra = left+1, extra-1
		}
	}
}

// shunned tells whether a server is no use for the moment.
func (s *endpoint) isAvoided(now Time) bool {
	unfit := func(st classHealth) bool { return st.ejected }
	return now < s.backoffUntil && s.rejectionsInARow > 1 || slices.ContainsFunc(s.health, unfit)
}

// cold returns the part of its capacity that a server surely has; 1 when warm.
func (p *Balancer) capacityFraction(now Time, s *endpoint) float64 {
	if age := now.Sub(s.StartedAt); s.StartedAt != 0 && age < p.settings.SlowStartWindow {
		return p.settings.SlowStartMinCapacity + (1-p.settings.SlowStartMinCapacity)*float64(max(age, 0))/float64(p.settings.SlowStartWindow)
	}
	return 1
}

func (p *Balancer) relativeWork(cost float64) float64 {
	return cmp.Or(cost, p.MeanWork, 1) / cmp.Or(p.MeanWork, cost, 1)
}

// earnCold keeps the books on cold servers: with each request that a warm peer satisfies one earns what it
// surely can do of that even part, and pays for what it is given. Where few are warm arrivals count, not
// to rest all on them; but no more than all nodes may give, or the first servers back are pushed over.
func (p *Balancer) earnSlowStartCredit(now Time, by *endpoint, cost float64) {
	all, sure := len(p.subset), math.Inf(1)
	warm := all - len(p.warmingUp)
	if (by == nil) != (2*warm < all) || by != nil && p.capacityFraction(now, by) < 1 {
		return
	}
	if by == nil {
		mean := cmp.Or(p.MeanWork, float64(p.settings.Classes[0].LatencyObjective)/4)
		sure = warmConcurrency * p.activeCount * float64(now-cmp.Or(p.lastArrivalAt, now)) / mean / float64(all*max(p.settings.NodeCount, 1))
		warm, p.lastArrivalAt = all, now
	}
	for _, s := range p.warmingUp {
		if part := p.capacityFraction(now, s); part < 1 && s.slowStartCredit < 1 {
			part = max(part*(slowStartSafety+(1-slowStartSafety)*part), min(2*part, s.Latency.Weight*learningRate, 1/s.Latency.Level()))
			s.slowStartCredit = min(1, s.slowStartCredit+part*min(min(p.relativeWork(cost), 1)/float64(warm), sure))
		}
	}
}

// allowed tells whether rules 2 and 3 let the request go to the server.
func (p *Balancer) mayAttempt(now Time, t *request, s *endpoint) bool {
	if s.State != StateActive || len(t.attempts) >= p.settings.MaxAttempts {
		return false
	}
	for i := range t.attempts {
		h := &t.attempts[i]
		if h.open && (!p.settings.MayHedge || h.endpoint == s) {
			return false
		}
		if !h.mayHaveRun && !h.open || t.classSettings.Idempotency == Idempotent {
			continue
		}
		if group := t.classSettings.DedupGroup; t.classSettings.Idempotency == NonIdempotent || now.Sub(h.sentAt) >= t.classSettings.DedupWindow ||
			group == DedupPod && h.pod != s.Pod || group == DedupZone && h.zone != s.Zone {
			return false
		}
	}
	return true
}

// inDraw tells who takes part in a request's draw: the fit that will be in time by a high quantile. Where that
// is nobody, the unfit do that this node hears often and has nothing out at: rejecting would help none.
func (p *Balancer) isCandidate(now Time, t *request, s *endpoint, nobody bool) bool {
	n := len(t.attempts)
	if !p.mayAttempt(now, t, s) || now < s.backoffUntil || n > 0 && t.attempts[n-1].endpoint == s ||
		s.slowStartCredit < 1 && p.capacityFraction(now, s) < 1 {
		return false
	}
	if st := &s.health[t.Request.Class]; st.ejected {
		return s.inFlight == 0 && (nobody && s.Latency.Weight*learningRate >= 1 || now >= st.retryAt && t.classSettings.Idempotency == Idempotent)
	}
	cost := p.estimateWork(t) * p.homeFactor(s)
	if s.inFlight > 0 && s.HasLatency && now.Sub(s.silentSince) > p.overdueAfter(s, max(cost, p.MeanWork)) {
		return false // guards against servers that take requests and answer nothing, and so report no load
	}
	// A miss counts only for itself: a high quantile goes in as far as requests are rejected.
	spread := p.classes[t.Request.Class].LatencySpread
	took := float64(p.predictLatency(s, cost*min(spread, 1+(spread-1)*(1-p.worstSuccessRate()))))
	return took+p.classDelayNanos <= float64(p.latencyBudget(now, t))
}

// predict counts own attempts out double: what draws this node to a server draws its peers too, unseen.
func (p *Balancer) predictLatency(s *endpoint, cost float64) time.Duration {
	unit, crowd := p.expectedLatency(s)
	return time.Duration(p.ZoneDelay[s.Zone] + unit*cost*(1+2*float64(s.inFlight))/(1+2*crowd))
}

// expect is the answer time for a unit of work: the fleet's, times what pod and server were over it of late.
func (p *Balancer) expectedLatency(s *endpoint) (unit, crowd float64) {
	unit, crowd = p.Fleet.Means(1, 0)
	pod, crowd := s.podLatency.Means(1, crowd)
	own, crowd := s.Latency.Means(1, crowd)
	return unit * pod * own, crowd
}

// patience is how long an answer may take, by the high quantile of the server or of its fit peers.
func (p *Balancer) overdueAfter(s *endpoint, cost float64) time.Duration {
	high := p.HighLatency
	if s.HasLatency && !s.isAvoided(s.silentSince) {
		high = min(2*high, s.HighLatency)
	}
	_, crowd := p.expectedLatency(s)
	cost *= high * (1 + float64(s.inFlight)) / (1 + min(crowd, float64(s.inFlight)))
	return max(minOverdueTicks*p.settings.ClockResolution, time.Duration(2*(p.ZoneDelay[s.Zone]+cost)))
}

// worst is the satisfied part of the class that fares worst.
func (p *Balancer) worstSuccessRate() float64 {
	return slices.MinFunc(p.classes, func(a, b estimates.ClassEstimates) int { return cmp.Compare(a.SuccessRate, b.SuccessRate) }).SuccessRate
}

// dues works out which part of its time each class keeps in need, by what its work earns and by the goal.
func (p *Balancer) updateKeptShares() {
	most, favour := math.SmallestNonzeroFloat64, max(0, 1-p.settings.WorstClassWeight/evenWorstClassWeight)
	for i := range p.classes {
		c := &p.classes[i]
		if c.KeptShare = p.settings.Classes[i].PriorityWeight; !p.settings.WeightByWork {
			c.KeptShare /= max(c.TypicalWork, p.MeanWork*minWorkFraction, 1)
		}
		most = max(most, c.KeptShare)
	}
	for i := range p.classes {
		p.classes[i].KeptShare = math.Pow(max(p.classes[i].KeptShare/most, 0.01), favour)
	}
}

// allowance is the time a prediction may take. What fares better or earns less for its work gives up some.
func (p *Balancer) latencyBudget(now Time, t *request) time.Duration {
	c, worst := &p.classes[t.Request.Class], p.worstSuccessRate()
	part := worst / c.SuccessRate * (1 - (1-c.KeptShare)*(1-worst))
	if t.overQuota {
		part *= max(worst*worst, p.settings.OverQuotaFraction)
	}
	return time.Duration(float64(p.answerBy-now) * part)
}

// draw picks a server with a chance proportional to 1/w among those that take part. Those that will be in
// time for the latency objective come first.
func (p *Balancer) selectEndpoint(now Time, t *request) *endpoint {
	if now >= t.effectiveDeadline || now < p.restUntil {
		return nil
	}
	all, from := p.subset, p.subset
	if len(t.attempts) > 0 && t.classSettings.Idempotency == IdempotentByKey {
		all, from = p.endpoints, p.endpoints // only a part of all may be left to it
	} else if len(all) > selectionWindow { // any that stand together by rank, which says nothing of them; if need be all
		at := p.random.IntN(len(all) - selectionWindow + 1)
		from = all[at : at+selectionWindow]
	}
	p.findHomes(now, t)
	// One in time ends the belief, so it is sought: over all nodes by no more at a time than there are servers.
	if p.classDelayNanos = t.delays.Delay(int64(now)); p.classDelayNanos > 0 &&
		t.delays.MayTry(int64(now), min(1, float64(len(p.endpoints))/float64(max(p.settings.NodeCount, 1)))) {
		p.classDelayNanos = 0
	}
	for round := range 4 {
		if p.answerBy = t.objectiveAt; round > 0 {
			p.answerBy = t.effectiveDeadline
		}
		if round > 1 {
			from = all
		}
		p.candidates = p.candidates[:0]
		for _, s := range from {
			if p.isCandidate(now, t, s, round == 3) {
				p.candidates = append(p.candidates, s)
			}
		}
		for _, s := range p.homes {
			if !slices.Contains(p.candidates, s) && p.isCandidate(now, t, s, round == 3) {
				p.candidates = append(p.candidates, s)
			}
		}
		if len(p.candidates) > 0 {
			p.computeWeights(now, from)
			return p.draw()
		}
	}
	return nil
}

// settle finds the homes of a request's key, on which nodes agree without talking: of the warm and fit the first
// by a hash of both. Against each node gathering a key wherever it sent it first, so that nobody saves work.
func (p *Balancer) findHomes(now Time, t *request) {
	for _, s := range p.homes {
		s.isHome = false
	}
	if p.homes = p.homes[:0]; t.homeCount <= rendezvous.MaxTop { // else it is asked for everywhere
		p.homes = rendezvous.Top(p.homes, p.endpoints, t.homeCount, func(s *endpoint) uint64 {
			if s.State != StateActive || p.capacityFraction(now, s) < 1 || s.isAvoided(now) {
				return 0
			}
			return rendezvous.Score(t.keyHash, uint32(s.ID))
		})
	}
	for _, s := range p.homes {
		s.isHome = true
	}
}

// warm is the work of the request being drawn at a server, over what it is where its key is not at home.
func (p *Balancer) homeFactor(s *endpoint) float64 {
	if s.isHome {
		return p.homeWorkFactor
	}
	return 1
}

func (p *Balancer) draw() *endpoint {
	sum := 0.0
	for _, w := range p.weights {
		sum += 1 / w
	}
	dice := p.random.Float64() * sum
	for i, w := range p.weights {
		if dice -= 1 / w; dice < 0 {
			return p.candidates[i]
		}
	}
	return p.candidates[len(p.candidates)-1]
}

// weigh works out w with its exceptions for the drawn, against the mean load of whom they were drawn from.
func (p *Balancer) computeWeights(now Time, from []*endpoint) {
	mean, heard := 0.0, 0.0
	for _, s := range from {
		if s.HasReport {
			mean, heard = mean+s.Load, heard+1
		}
	}
	mean = cmp.Or(mean/max(heard, 1), 1)
	p.weights = p.weights[:0]
	for _, s := range p.candidates {
		w := max(s.Load, mean/weightFloorDivisor)
		if !s.HasReport || s.risingFrom == 0 || now.Sub(s.risingFrom) < settlingRecalculations*recalculationInterval {
			w = max(w, mean)
		}
		// Reports do not tell a slow server from a quick one; the square, as one that gets its part still is late.
		unit := s.podLatency.Level() * s.Latency.Level()
		w *= max(unit*unit, 1.0/weightFloorDivisor)
		if p.settings.WeightIsSize && s.Weight > 0 {
			w /= s.Weight
		}
		if p.capacityFraction(now, s) < 1 {
			w /= weightFloorDivisor * weightFloorDivisor // it has earned this attempt; guards against never warming
		}
		if s.isHome {
			w /= weightFloorDivisor * weightFloorDivisor
		}
		w *= (1 + float64(s.inFlight)) * (1 + float64(s.inFlight)) // against herding on a report, or at a key's home
		if s.Zone != p.settings.Zone {
			w *= otherZoneFactor
		}
		p.weights = append(p.weights, w)
	}
}

// hear takes a load report: the rise since the last one, over the sends between, is what each send adds.
func (s *endpoint) takeReport(now Time, load float64) {
	rise := load - s.LastReport
	if s.RisePerSend = 0; s.HasReport && rise > 0 && s.sendsSinceReport > 0 && now < s.recalculateAt {
		s.RisePerSend = rise / float64(s.sendsSinceReport)
	}
	if rise > 0 && s.HasReport && s.risingFrom == 0 {
		s.risingFrom = now
	}
	s.Load, s.LastReport, s.HasReport, s.sendsSinceReport, s.recalculateAt = load, load, true, 0, now.Add(recalculationInterval)
}

// report picks which reported value is the load; all else that depends on it asks the server.
func (p *Balancer) applyReport(now Time, s *endpoint, r *LoadReport) {
	load := 1 + r.QueueLength
	if p.settings.ReportsUtilization && r.Utilization >= 0 {
		if load = r.Utilization; p.settings.ReportsServiceTime && r.ServiceTime >= 0 {
			load *= r.ServiceTime // servers are unequal: the same use of a slower one is a greater load
		}
	} else if r.QueueLength < 0 {
		return
	}
	if !s.HasReport || load != s.LastReport {
		s.takeReport(now, load)
	}
}

// probe asks one server after another for its load, once in so many requests, where answers bring none.
func (p *Balancer) checkOneHealth() {
	if p.arrivalCount++; p.settings.MayCheckHealth && p.settings.HealthChecksReport && p.arrivalCount%requestsPerHealthCheck == 0 && len(p.subset) > 0 {
		p.effects.CheckHealth(p.subset[p.arrivalCount/requestsPerHealthCheck%len(p.subset)].ID)
	}
}

// HealthChecked takes what a probe brought.
func (p *Balancer) HealthChecked(now Time, id EndpointID, o Outcome, r LoadReport) {
	if s := p.byID[id]; s != nil && o == OutcomeSucceeded {
		p.applyReport(now, s, &r)
	}
}

// judge learns from how an attempt ended.
func (p *Balancer) learnFrom(now Time, t *request, h *attempt, a AttemptResult) {
	s, c, took, bad := h.endpoint, t.Request.Class, float64(a.Elapsed), 1.0
	if o := a.Outcome; o != OutcomeTimedOut && o != OutcomeCanceled && o != OutcomeNotSent &&
		(o != OutcomeReset || p.settings.StreamsPerConnection < 2 && s.maxInFlight > 1) {
		s.silentSince = now
	}
	if a.Outcome == OutcomeNotSent || a.Outcome != OutcomeSucceeded && (h.heldAgainstClass || p.foundConnectionDead(now, h, a.Outcome)) {
		if h.heldAgainstClass && a.Outcome == OutcomeTimedOut {
			p.gossip(now, &s.health[c].gossipedAt, GossipMessage{Endpoint: s.ID, Class: c})
		}
		return
	}
	switch a.Outcome {
	case OutcomeSucceeded:
		bad = 0
		p.learnFromSuccess(now, t, h, took, a.NewConnection)
	case OutcomeRejected, OutcomeConnectFailed:
		if a.Outcome == OutcomeConnectFailed && h.idleTime == 0 {
			p.idleTimeout.Reset() // guards against closing what stands open while nothing new can be had
		}
		// Guards against one that rejects at once using up all attempts: it is left alone, ever longer.
		s.rejectionsInARow = min(s.rejectionsInARow+1, 6)
		wait := max(time.Duration(p.MeanWork), time.Duration(float64(recalculationInterval)/(2*s.Latency.Weight+1)))
		s.backoffUntil = now.Add(wait << (s.rejectionsInARow - 1))
		if a.Outcome == OutcomeRejected && (a.Report.QueueLength != 0 || s.Latency.Weight*learningRate < 1) {
			// Guards against a storm of resends in a jam: the full would be late, one with an empty queue not.
			p.observeLatency(h, float64(t.effectiveDeadline-h.sentAt)*timeoutFactor)
		}
		if a.Outcome == OutcomeRejected {
			return
		}
	case OutcomeCanceled:
		// Guards against a silent server that looks fit because hedged requests always overtake it.
		if a.Elapsed < p.overdueAfter(s, h.work) || s.silentSince > h.sentAt || h.classDelayNanos > 0 {
			return
		}
	case OutcomeTimedOut:
		if p.observeLate(now, t, h); h.classDelayNanos > 0 {
			return // neither the server's nor the fleet's doing
		}
		// Guards against learning from the quick alone: what never answered took longer still.
		if s.silentSince > h.sentAt || maxSurprise*p.Fleet.Level()*h.work > took {
			// Guards against a silent server raising the bound for all, and its peers' requests being rejected.
			p.classes[c].Calibrate(took*timeoutFactor, h.predictedNanos)
		}
		p.observeLatency(h, took*timeoutFactor)
	}
	if bad > 0 && s.delisted {
		s.delist(false)
		p.chooseSubset(now)
	}
	if p.recordOutcome(now, s, t, bad, a.Outcome); a.Outcome == OutcomeError && s.health[c].ejected {
		p.gossip(now, &s.health[c].gossipedAt, GossipMessage{Endpoint: s.ID, Class: c})
	}
}

// satisfied learns from an answer.
func (p *Balancer) learnFromSuccess(now Time, t *request, h *attempt, took float64, fresh bool) {
	s, c := h.endpoint, &p.classes[t.Request.Class]
	s.rejectionsInARow = 0
	p.idleTimeout.Survived(int64(h.idleTime))
	t.delays.Observe(int64(now), int64(h.sentAt), took, h.unloadedNanos)
	c.Calibrate(took, h.predictedNanos)
	if fresh && h.work > 0 {
		p.earnSlowStartCredit(now, s, h.work)
		return // guards against opening a connection making its server look slow
	}
	if t.CostHint > 0 {
		took = p.withoutZoneDelay(h, took)
	}
	if h.atHome && h.work > 0 {
		unit, _ := p.expectedLatency(s)
		p.homeWorkFactor += (min(took*p.homeWorkFactor/(unit*h.work), 2) - p.homeWorkFactor) / 64
		p.homeWorkFactor = min(max(p.homeWorkFactor, minWorkFraction), 1)
		took, h.work = took/p.homeWorkFactor, h.work/p.homeWorkFactor // as elsewhere, so that what follows is of the server
	}
	c.ObserveWork(took)
	h.work = cmp.Or(h.work, took)
	p.MeanWork = cmp.Or(p.MeanWork, h.work) // guards against other classes being set against next to nothing
	p.MeanWork += (h.work - p.MeanWork) / 32
	p.observeLatency(h, took)
	p.earnSlowStartCredit(now, s, h.work)
}

// unheard tells whether an attempt found its connection dead: something between dropped it while it was idle.
func (p *Balancer) foundConnectionDead(now Time, h *attempt, o Outcome) bool {
	if o != OutcomeReset && o != OutcomeTimedOut && o != OutcomeCanceled || h.idleTime < minDeadIdleTime || h.endpoint.silentSince > h.sentAt ||
		h.endpoint.maxInFlight > p.settings.StreamsPerConnection { // which of many connections it was is not known here
		return false
	}
	if !h.connectionDead { // silence is counted before its end, or a node that comes by seldom learns it too late
		h.connectionDead = true
		p.connectionDied(now, h.idleTime)
		if p.settings.StreamsPerConnection > 1 { // else it ends with the attempt, and opening others in vain may be what is slow
			p.closeIdle(h.endpoint)
		}
	}
	return o == OutcomeReset // silence may still be the server's own
}

// mark judges a server, in one class, by one more end of an attempt.
func (p *Balancer) recordOutcome(now Time, s *endpoint, t *request, bad float64, o Outcome) {
	st, part := &s.health[t.Request.Class], learningRate
	if bad == 0 || o == OutcomeError {
		part = max(learningRate, 1/(st.samples+2)) // one seldom heard is judged by the little there is
	}
	st.samples = min(st.samples+1, 2/learningRate)
	st.failureRate += (bad - st.failureRate) * part
	p.fleetFailureRate += (bad - p.fleetFailureRate) * learningRate / 2
	// When everything fails together nobody is the odd one out.
	limit := max(ejectionFailureRate, 2*p.fleetFailureRate)
	switch {
	case bad > 0 && (st.ejected || st.failureRate > limit):
		st.ejected = true
		st.ejectionTime = min(max(2*st.ejectionTime, recalculationInterval/2), 4*recalculationInterval)
		st.retryAt = now.Add(st.ejectionTime)
	case st.ejected && st.failureRate < limit/2:
		st.ejected, st.ejectionTime = false, 0
	}
}

// lessWay takes off what answers from a zone take however little the work, or small requests lock the zone out.
func (p *Balancer) withoutZoneDelay(h *attempt, took float64) float64 {
	way, met := p.ZoneDelay[h.endpoint.Zone]
	if !met {
		way = took - h.work
	}
	way = max(0, way+estimates.QuantileStep(took-h.work >= way, p.MeanWork*learningRate, zoneDelayQuantile))
	p.ZoneDelay[h.endpoint.Zone] = way
	return max(took-way, h.work/4)
}

// timed learns from how long an attempt took.
func (p *Balancer) observeLatency(h *attempt, took float64) {
	if h.work == 0 {
		return
	}
	s, unit, crowd := h.endpoint, took/h.work, h.inFlightBefore
	// Guards against a few odd servers making the whole fleet look late.
	fleet, pod := p.Fleet.Level(), s.podLatency.Level()
	p.Fleet.Add(min(unit, maxSurprise*fleet), crowd, 64)
	s.podLatency.Add(min(unit/fleet, maxSurprise*pod), crowd, 2/learningRate)
	s.Latency.Add(unit/fleet/pod, crowd, 2/learningRate)
	if !s.HasLatency {
		s.HasLatency, s.HighLatency = true, 2*unit
	}
	mean, _ := p.expectedLatency(s)
	s.HighLatency = max(mean, s.HighLatency+estimates.QuantileStep(unit > s.HighLatency, mean*learningRate, highLatencyQuantile))
}

// age lets what was learned of a server that is no longer heard drift to what its peers show.
func (p *Balancer) tick(now Time) {
	high, n := 0.0, 0.0
	for _, s := range p.endpoints {
		if s.State == StateActive && s.HasLatency && !s.isAvoided(now) {
			high, n = high+s.HighLatency, n+1
		}
	}
	p.HighLatency = cmp.Or(high/max(n, 1), p.HighLatency)
	for _, s := range p.endpoints {
		s.HighLatency += (p.HighLatency - s.HighLatency) * learningRate * (1 - min(1, s.Latency.Weight*learningRate))
		s.Latency.Decay(1 - learningRate)
		for i := range s.health {
			s.health[i].samples *= 1 - learningRate
			s.health[i].gossipVotes *= fleetDecayPerSecond
		}
	}
	if p.Fleet.Level() < overloadedFleetLevel || p.worstSuccessRate() > overloadedSuccessRate || !p.settings.ReportsUtilization { // only where they tell how busy they are
		p.overloadedSeconds = 0
	} else if p.overloadedSeconds++; p.overloadedSeconds == overloadedSecondsToRest { // what all depend on may recover only while it rests
		p.restUntil = now.Add(restDuration)
	}
	p.FleetEstimates.Decay(1-learningRate, fleetDecayPerSecond)
	p.keys.Decay()
	p.requestRate += (float64(p.arrivals) - p.requestRate) / 8
	p.arrivals = 0
	p.idleTimeout.Decay()
	p.updateKeptShares()
	p.chooseSubset(now)
	for i := range p.classes {
		p.classes[i].Decay()
	}
}

// sawDead takes a connection that was dead when used. Two in a row count, if none between lived as long.
func (p *Balancer) connectionDied(now Time, gap time.Duration) {
	if p.idleTimeout.Died(int64(gap)) {
		p.confirmDeadConnection(gap)
		p.gossip(now, &p.idleGossipedAt, GossipMessage{IdleTime: gap})
	}
}

// tell sends news, the same no more often than once a second.
func (p *Balancer) gossip(now Time, last *Time, n GossipMessage) {
	if p.settings.MayGossip && now.Sub(*last) >= recalculationInterval {
		*last = now
		p.effects.Gossip(n)
	}
}

// died counts connections that died idle.
func (p *Balancer) confirmDeadConnection(gap time.Duration) {
	p.idleTimeout.Confirm(int64(gap), p.settings.MayGossip, p.settings.NodeCount)
}

// GossipReceived takes what another instance tells.
func (p *Balancer) GossipReceived(now Time, n GossipMessage) {
	s := p.byID[n.Endpoint]
	switch {
	case n.IdleTime >= minDeadIdleTime:
		p.confirmDeadConnection(n.IdleTime)
	case n.IdleTime == 0 && s != nil && s.State == StateActive && n.Class >= 0 && n.Class < len(p.classes):
		st := &s.health[n.Class]
		// What this instance saw itself goes first; one voice is none, as a single error puts a server out there.
		if st.gossipVotes++; st.gossipVotes >= gossipVotesToEject && !st.ejected && (st.samples < 1 || st.failureRate > ejectionFailureRate/2) {
			st.ejected, st.failureRate, st.retryAt = true, max(st.failureRate, 2*ejectionFailureRate), now.Add(recalculationInterval)
		}
	}
}
