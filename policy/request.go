package policy

import (
	"slices"
	"time"

	"fawnglade/internal/classdelay"
)

// objectiveMarginDivisor is the part of a latency objective that is kept for the way back to the client.
const objectiveMarginDivisor = 64

// request is a request from its arrival until no attempt of it is in flight any more.
type request struct {
	Request
	classSettings *Class
	// objectiveAt is the last moment at which an answer has its full value, the priority weight of the class: the
	// latency objective, less a margin. effectiveDeadline is the last at which it has any: the client's deadline, or
	// objectiveAt where a late answer has no value (Class.LateFraction is 0). No attempt goes on for longer.
	effectiveDeadline, objectiveAt Time
	attempts                       []attempt
	inFlight                       int    // attempts
	loadPerAttempt                 int    // what one adds to endpoint.inFlight
	overdueTimer                   uint64 // 0: none was set
	done                           bool   // it has its final answer
	overQuota                      bool
	delayGroups                    classdelay.RequestGroups // of its class and its tenant
	keyHash                        uint64
	affinityCount                  int // endpoints at which its key is at home; 0: no affinity
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint       *endpoint
	zone, pod      int // of the endpoint when it was sent: the list may have changed since
	sentAt         Time
	idleTime       time.Duration // for how long the connection had been idle; 0: not known or a new one
	inFlightAtSend float64       // attempts of this node at the endpoint when it was sent

	// Estimates at the time of sending, in nanoseconds.
	work            float64
	predictedNanos  float64
	unloadedNanos   float64 // its latency with nothing else at the endpoint
	classDelayNanos float64 // what its class and tenant wait at any endpoint

	workIsProvisional bool // work is from fewer answers than tell the work of its class
	inFlight          bool
	outcome           Outcome // once it has ended
	mayHaveRun        bool    // it ended, and may have been executed
	hadAffinity       bool    // of its key
	countedOverdue    bool    // overdue at an endpoint that answered others, and counted so
	connectionDead    bool    // its connection was dead when used
}

// requestTable holds the requests that are not at their end.
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

// overdueTimer returns the number of the request's timer, a new one at its first use.
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
		// An endpoint begins it when its body is complete: until then it is no load.
		req.loadPerAttempt = 0
	}
	objective := class.LatencyObjective
	margin := objective/objectiveMarginDivisor + 2*b.settings.ClockResolution
	req.objectiveAt = min(req.effectiveDeadline, now.Add(objective-margin))
	if class.LateFraction == 0 {
		req.effectiveDeadline = req.objectiveAt
	}
	return req
}

// attemptInFlight returns the attempt with this number, or nil if none is in flight.
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

// sendOrGiveUp sends the request to a drawn endpoint, or gives it up if no endpoint may get it.
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

// proceed continues a request after the end of one of its attempts: it is done, cannot be sent again, or is sent again
// once nothing of it is in flight.
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
	}
}

// finish cancels the attempts that are still in flight for a request that has its final answer.
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

// forget drops a request that is done once nothing of it is in flight.
func (t *requestTable) removeIfIdle(req *request) {
	if req.inFlight == 0 {
		delete(t.byID, req.ID)
	}
}
