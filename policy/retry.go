package policy

// Retry rules: no request may run twice where that does harm. Inputs are the idempotency of the class and, for each
// earlier attempt, whether it may have run, when it was sent, and the zone and pod of its endpoint at that time. An
// attempt in flight counts as one that may have run.
//
//   - Idempotent: the request may be sent again, or rejected to the client, at any time.
//   - Idempotent by key: within the deduplication window it may be sent again to endpoints of the same deduplication
//     group. Within the window it may be rejected only if all endpoints form one group, since the client's retry may
//     reach any endpoint.
//   - Non-idempotent: it may be neither sent again nor rejected once an attempt may have run.
//
// Giving up a request ends it at once: with Effects.Reject (503) if the client may retry, otherwise with Effects.Fail
// (502). A request without a candidate endpoint is given up immediately; no request waits without an attempt in flight.
//
// See docs/design.md: "Retry and giving up".

// maxClassDelayFraction is the maximum delay of a class at every endpoint, relative to its latency objective, at which
// its requests that are given up still lower its success rate. Other classes reduce their latency budget for a class
// with a low success rate (latencyBudget).
const maxClassDelayFraction = 0.5

// forbiddenReason returns why the request must not be sent to an endpoint now, or ReasonNone if it may.
func (b *Balancer) forbiddenReason(now Time, req *request, ep *endpoint) Reason {
	if ep.State != StateActive {
		return ReasonNoEndpoint
	}
	if len(req.attempts) >= b.settings.MaxAttempts {
		return ReasonAttemptsUsed
	}
	for i := range req.attempts {
		a := &req.attempts[i]
		if a.inFlight && (!b.settings.MayHedge || a.endpoint == ep) {
			return ReasonLastTried
		}
		if (a.inFlight || a.mayHaveRun) && !req.classSettings.mayRepeat(now, a, ep) {
			return ReasonMayHaveRun
		}
	}
	return ReasonNone
}

// mayReuseLastEndpoint reports whether a request may be sent again to the endpoint of its last attempt if no other
// endpoint may get it. It may, once, if that attempt was never sent, was canceled or lost its connection, since such
// outcomes say little about the endpoint.
func (req *request) mayReuseLastEndpoint() bool {
	last := len(req.attempts) - 1
	if last > 0 && req.attempts[last-1].endpoint == req.attempts[last].endpoint {
		return false
	}
	switch req.attempts[last].outcome {
	case OutcomeReset, OutcomeCanceled, OutcomeNotSent:
		return true
	default:
		return false
	}
}

// mayRepeat reports whether an endpoint may run a request that an earlier attempt may have run.
func (c *Class) mayRepeat(now Time, earlier *attempt, ep *endpoint) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return c.deduplicates(now, earlier.sentAt) && c.sameDedupGroup(earlier, ep)
	default:
		return false
	}
}

// deduplicates reports whether the deduplication window of an attempt sent at sentAt is still open.
func (c *Class) deduplicates(now, sentAt Time) bool {
	return now.Sub(sentAt) < c.DedupWindow
}

func (c *Class) sameDedupGroup(earlier *attempt, ep *endpoint) bool {
	switch c.DedupGroup {
	case DedupPod:
		return earlier.pod == ep.Pod
	case DedupZone:
		return earlier.zone == ep.Zone
	default:
		return true
	}
}

// MayReject reports whether the client may be told that a retry is harmless. attempts are the attempts of the request
// so far; inspect returns when an attempt was sent and whether it may have run, which is true for an attempt in flight.
func MayReject[A any](class *Class, now Time, attempts []A, inspect func(*A) (sentAt Time, mayHaveRun bool)) bool {
	if class.Idempotency == Idempotent {
		return true
	}
	anyEndpointDeduplicates := class.Idempotency == IdempotentByKey && class.DedupGroup == DedupFleet
	for i := range attempts {
		sentAt, mayHaveRun := inspect(&attempts[i])
		harmless := anyEndpointDeduplicates && class.deduplicates(now, sentAt)
		if mayHaveRun && !harmless {
			return false
		}
	}
	return true
}

// giveUp ends the request with a response to the client: a rejection if a retry is harmless, otherwise a failure.
func (b *Balancer) giveUp(now Time, req *request, reason Reason) {
	req.delayGroups.CountGivenUp()
	if reason.isLoadRelated() &&
		req.delayGroups.Delay(int64(now)) < maxClassDelayFraction*float64(req.classSettings.LatencyObjective) {
		// A class that is delayed for a reason of its own, such as a slow dependency, would not succeed at less loaded
		// endpoints either. Other classes must not be shed in vain for it.
		b.estimator.classes[req.Class].RecordResult(false)
	}
	if MayReject(req.classSettings, now, req.attempts, (*attempt).executionInfo) {
		b.effects.Reject(req.ID, b.retryAfter(req.classSettings), reason)
	} else {
		b.effects.Fail(req.ID, reason)
	}
	b.finish(req)
}

// executionInfo returns when an attempt was sent and whether it may have run.
func (a *attempt) executionInfo() (sentAt Time, mayHaveRun bool) {
	return a.sentAt, a.inFlight || a.mayHaveRun
}
