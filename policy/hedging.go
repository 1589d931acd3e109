package policy

import "math"

// An attempt that is overdue may get a hedged request: a second attempt at another endpoint while the first is in
// flight. Inputs: the latency at which an answer of the endpoint is overdue, the time left until the effective
// deadline, and a budget of one hedged request for every ten requests. There is none for a non-idempotent class, nor
// where the settings forbid two attempts at once; there an overdue idempotent attempt is canceled and sent elsewhere,
// if another endpoint may take it now, and if its own has answered no other since: one that answers others is at work
// on a heavy request, which would be heavy elsewhere too. On a connection that may be dead it is canceled even where
// its own endpoint is the only one, for a new connection there. A request whose body is still coming is never overdue.
// docs/design.md: "Hedging".

const (
	hedgesPerRequest = 0.1
	maxHedgeBudget   = 4 // hedged requests that may be saved up
)

// hedgeBudget bounds the hedged requests: a token bucket that each arrival refills.
type hedgeBudget struct {
	available float64
}

func (h *hedgeBudget) refill() {
	h.available = min(h.available+hedgesPerRequest, maxHedgeBudget)
}

// setOverdueTimer sets the timer of a request that has one attempt in flight, if time is left then for another.
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

// handleOverdueAttempt takes an attempt that should have been answered: its endpoint is judged, and the request hedged or
// moved.
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

// recordOverdue judges an endpoint that answers others by an attempt that is overdue. Guards against endpoints that
// leave one class unanswered: where none of the class was answered lately, one is judged like an error. Where some
// were, a single late answer says little.
func (b *Balancer) recordOverdue(now Time, req *request, a *attempt) {
	outcome := OutcomeTimedOut
	if a.endpoint.health[req.Class].samples < 1 {
		outcome = OutcomeError
	}
	b.updateHealth(now, a.endpoint, req, true, outcome)
}

// mayRetryAfterCancel reports whether a request with one attempt in flight may have another, after a cancel of the first.
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

// wasActiveAfter reports whether an endpoint has shown after a moment that it works. It is asked for moments at which
// an attempt was sent to it; while that is in flight a further send does not count (endpoint.lastActiveAt), unless the
// body of the attempt is still coming, as it is then not counted as in flight.
func (ep *endpoint) wasActiveAfter(at Time) bool { return ep.lastActiveAt > at }

// observeUnansweredDelay notes for the request's class and tenant that an attempt is late by an unknown time, unless
// its connection was dead.
func (b *Balancer) observeUnansweredDelay(now Time, req *request, a *attempt) {
	if !a.connectionDead {
		req.delayGroups.Observe(int64(now), int64(a.sentAt), math.Inf(1), a.unloadedNanos)
	}
}
