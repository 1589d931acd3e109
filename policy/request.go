package policy

import (
	"slices"
	"time"

	"fawnglade/internal/classdelay"
)

// objectiveMarginDivisor divides a latency objective to get the time reserved for sending the response to the client.
const objectiveMarginDivisor = 64

// request is the state of a request from its arrival until its last attempt has ended.
type request struct {
	Request
	classSettings *Class
	// objectiveAt is the latest time for a response of full value (the priority weight of the class): the latency
	// objective, less a margin. effectiveDeadline is the latest time for a response of any value: the client's
	// deadline, or objectiveAt if late responses have no value (Class.LateFraction is 0). No attempt lasts longer.
	effectiveDeadline, objectiveAt Time
	attempts                       []attempt
	inFlight                       int    // number of attempts in flight
	loadPerAttempt                 int    // added to endpoint.inFlight per attempt: 1, or 0 for a streaming body
	overdueTimer                   uint64 // timer ID; 0: not set
	done                           bool   // the client has its final response, or has disconnected
	overQuota                      bool
	delayGroups                    classdelay.RequestGroups // delay groups of its class and tenant
	keyHash                        uint64
	affinityCount                  int // number of affinity endpoints of its key; 0: no affinity
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint       *endpoint
	zone, pod      int // of the endpoint at the time of the send; the list may have changed since
	sentAt         Time
	idleTime       time.Duration // how long the connection was idle; 0: unknown or new
	inFlightAtSend float64       // attempts of this node in flight at the endpoint just before the send

	// Estimates at the time of the send, in nanoseconds.
	work            float64
	predictedNanos  float64
	unloadedNanos   float64 // latency with no other request at the endpoint
	classDelayNanos float64 // delay of the class and tenant at every endpoint

	workIsProvisional bool // work was estimated from too few responses of its class
	inFlight          bool
	outcome           Outcome // valid after the end
	mayHaveRun        bool    // the attempt ended and may have been executed
	hadAffinity       bool    // sent to an affinity endpoint of its key
	countedOverdue    bool    // overdue at an endpoint that answered others, and counted against it
	connectionDead    bool    // the connection was dead when used
}

// requestTable contains the requests that have not ended.
type requestTable struct {
	byID           map[RequestID]*request
	byOverdueTimer map[uint64]*request
	nextTimer      uint64
}

func newRequestTable() requestTable {
	return requestTable{
		byID:           map[RequestID]*request{},
		byOverdueTimer: map[uint64]*request{},
		nextTimer:      firstRequestTimer,
	}
}

// overdueTimer returns the ID of the request's timer and allocates it on first use.
func (t *requestTable) overdueTimer(req *request) uint64 {
	if req.overdueTimer == 0 {
		req.overdueTimer = t.nextTimer
		t.nextTimer++
		t.byOverdueTimer[req.overdueTimer] = req
	}
	return req.overdueTimer
}

func (b *Balancer) newRequest(now Time, arrived Request) *request {
	class := &b.settings.Classes[arrived.Class]
	req := &request{
		Request:           arrived,
		classSettings:     class,
		effectiveDeadline: arrived.Deadline,
		loadPerAttempt:    1,
		delayGroups:       b.admission.delays.GroupsOf(arrived.Class, arrived.Tenant),
	}
	if arrived.StreamingBody {
		// The endpoint starts processing when the body is complete; until then the attempt is no load.
		req.loadPerAttempt = 0
	}
	objective := class.LatencyObjective
	margin := objective/objectiveMarginDivisor + 2*b.settings.ClockResolution
	req.objectiveAt = min(req.effectiveDeadline, now.Add(objective-margin-arrived.Age))
	if class.LateFraction == 0 {
		req.effectiveDeadline = req.objectiveAt
	}
	return req
}

// attemptInFlight returns the attempt with this number, or nil if it is not in flight.
func (req *request) attemptInFlight(number int) *attempt {
	if number < 0 || number >= len(req.attempts) || !req.attempts[number].inFlight {
		return nil
	}
	return &req.attempts[number]
}

func (req *request) firstInFlight() int {
	return slices.IndexFunc(req.attempts, func(a attempt) bool { return a.inFlight })
}

func (req *request) endAttempt(now Time, a *attempt, outcome Outcome) {
	a.inFlight = false
	a.outcome = outcome
	a.mayHaveRun = outcome.MayHaveRun()
	req.inFlight--
	a.endpoint.inFlight -= req.loadPerAttempt
	a.endpoint.health[req.Class].inFlight--
	req.delayGroups.AddInFlight(int64(now), -1)
}

// sendOrGiveUp sends the request to a selected endpoint, or gives it up if there is no candidate.
func (b *Balancer) sendOrGiveUp(now Time, req *request) {
	ep, reason := b.selectEndpoint(now, req)
	if ep == nil {
		b.giveUp(now, req, reason)
		return
	}
	b.sendTo(now, req, ep)
}

func (b *Balancer) sendTo(now Time, req *request, ep *endpoint) {
	work := b.estimator.expectedWork(req) * b.affinity.workFactor(ep)
	idleTime := b.prepareConnection(now, ep)
	req.attempts = append(req.attempts, attempt{
		endpoint:          ep,
		zone:              ep.Zone,
		pod:               ep.Pod,
		sentAt:            now,
		idleTime:          idleTime,
		inFlightAtSend:    float64(ep.inFlight),
		work:              work,
		predictedNanos:    float64(b.estimator.predictLatency(ep, work)),
		unloadedNanos:     b.estimator.unloadedNanos(ep, work),
		classDelayNanos:   req.delayGroups.Delay(int64(now)),
		workIsProvisional: req.CostHint == 0 && !b.estimator.classes[req.Class].IsWorkKnown(),
		inFlight:          true,
		hadAffinity:       ep.hasAffinity,
	})
	req.inFlight++
	req.delayGroups.AddInFlight(int64(now), 1)
	ep.countSend(now, req.loadPerAttempt)
	ep.health[req.Class].inFlight++
	ep.slowStartCredit -= max(b.estimator.relativeWork(work), 1)
	b.effects.Send(req.ID, ep.ID, req.effectiveDeadline.Sub(now))
	b.setOverdueTimer(now, req, ep, work)
}

// continueRequest handles a request after the end of an attempt: the request is finished, given up, or sent again once
// it has no other attempt in flight.
func (b *Balancer) continueRequest(now Time, req *request, result AttemptResult) {
	switch {
	case req.done:
		b.requests.removeIfIdle(req)
	case result.RequestDone || result.Outcome == OutcomeSucceeded:
		if result.Outcome == OutcomeSucceeded {
			b.estimator.classes[req.Class].RecordResult(true)
		}
		b.finish(req)
	case result.BodyConsumed:
		b.giveUp(now, req, ReasonBodyConsumed)
	case req.inFlight == 0:
		b.sendOrGiveUp(now, req)
	case result.Outcome == OutcomeNotSent && b.settings.MayHedge && req.classSettings.Idempotency != NonIdempotent:
		b.hedge(now, req) // in place of a hedged attempt that this node has given up
	}
}

// finish ends a request whose client has its final response or has disconnected, and cancels its attempts in flight.
func (b *Balancer) finish(req *request) {
	req.done = true
	for number := range req.attempts {
		if req.attempts[number].inFlight && b.settings.MayCancel {
			b.effects.Cancel(req.ID, number)
		}
	}
	delete(b.requests.byOverdueTimer, req.overdueTimer)
	b.requests.removeIfIdle(req)
}

// removeIfIdle removes a finished request once it has no attempt in flight.
func (t *requestTable) removeIfIdle(req *request) {
	if req.inFlight == 0 {
		delete(t.byID, req.ID)
	}
}
