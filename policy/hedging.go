package policy

import "math"

// A hedged request is a second attempt at another endpoint that is sent while the first one is overdue. Inputs are the
// latency at which an attempt is overdue, the time left until the effective deadline, and a budget of one hedged
// request per ten requests. There is none for a non-idempotent class or without Settings.MayHedge. A hedged attempt
// that was not sent is replaced by another one, within the same budget.
//
// Without MayHedge, an overdue idempotent attempt is canceled and sent elsewhere if another endpoint may take it now
// and its own endpoint has answered no other request since: an endpoint that responds to others is busy with a heavy
// request, which would take as long elsewhere. On a connection that may be dead the attempt is canceled even if its
// endpoint is the only one, to retry it there on a new connection. A request whose body is still being received is
// never overdue.
//
// See docs/design.md: "Hedging".

const (
	hedgesPerRequest = 0.1
	maxHedgeBudget   = 4 // maximum number of hedged requests in the budget
)

// hedgeBudget is a token bucket that limits hedged requests. Each arriving request refills it.
type hedgeBudget struct {
	available float64
}

func (h *hedgeBudget) refill() {
	h.available = min(h.available+hedgesPerRequest, maxHedgeBudget)
}

// setOverdueTimer sets the overdue timer of a request with one attempt in flight, if enough time would remain for
// another attempt.
func (b *Balancer) setOverdueTimer(now Time, req *request, ep *endpoint, work float64) {
	overdueAfter := b.estimator.overdueAfter(ep, work)
	if work <= 0 || req.inFlight != 1 || req.StreamingBody {
		return
	}
	latest := req.effectiveDeadline.Add(-(overdueAfter / 2))
	if now.Add(overdueAfter) < latest {
		b.effects.SetTimer(now.Add(overdueAfter), b.requests.overdueTimer(req))
	}
}

// handleOverdueAttempt handles an attempt without a response in the expected time: it updates the health of the
// endpoint and hedges or moves the request.
func (b *Balancer) handleOverdueAttempt(now Time, req *request, number int) {
	a := &req.attempts[number]
	b.detectDeadConnection(now, a, OutcomeTimedOut)
	b.observeUnansweredDelay(now, req, a)
	if a.endpoint.wasActiveAfter(a.sentAt) && !a.countedOverdue {
		a.countedOverdue = true
		b.recordOverdue(now, req, a)
	}
	class := req.classSettings
	switch {
	case b.settings.MayHedge && class.Idempotency != NonIdempotent:
		b.hedge(now, req)
	case b.settings.MayCancel && class.Idempotency == Idempotent && !a.endpoint.wasActiveAfter(a.sentAt) &&
		(b.hasAlternative(now, req) || a.connectionDead && b.mayRetryAfterCancel(now, req)):
		b.effects.Cancel(req.ID, number)
	}
}

// recordOverdue counts an overdue attempt against an endpoint that responds to other requests. This detects endpoints
// that leave one class unanswered: without recent samples of the class, the attempt counts like an error. With recent
// samples, a single late response says little.
func (b *Balancer) recordOverdue(now Time, req *request, a *attempt) {
	outcome := OutcomeTimedOut
	if a.endpoint.health[req.Class].samples < 1 {
		outcome = OutcomeError
	}
	b.updateHealth(now, a.endpoint, req, true, outcome)
}

// mayRetryAfterCancel reports whether a request with one attempt in flight may be sent again after that attempt is
// canceled.
func (b *Balancer) mayRetryAfterCancel(now Time, req *request) bool {
	return now < req.effectiveDeadline && len(req.attempts) < b.settings.MaxAttempts && len(req.attempts) == 1
}

func (b *Balancer) hedge(now Time, req *request) {
	ep, _ := b.selectEndpoint(now, req)
	if ep != nil && b.hedging.available >= 1 {
		b.hedging.available--
		b.sendTo(now, req, ep)
	}
}

// wasActiveAfter reports whether an endpoint has shown activity after a time, usually the time at which an attempt was
// sent to it. While that attempt is in flight, another send does not count as activity (endpoint.lastActiveAt), unless
// the body of the attempt is still being received: then the attempt does not count as in flight.
func (ep *endpoint) wasActiveAfter(at Time) bool { return ep.lastActiveAt > at }

// observeUnansweredDelay records, for the class and tenant of the request, that an attempt is late by an unknown time.
// Attempts on a dead connection are not recorded.
func (b *Balancer) observeUnansweredDelay(now Time, req *request, a *attempt) {
	if !a.connectionDead {
		req.delayGroups.Observe(int64(now), int64(a.sentAt), math.Inf(1), a.unloadedNanos)
	}
}
