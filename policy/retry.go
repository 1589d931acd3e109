package policy

// No request may run twice where that does harm. Inputs: the idempotency of the class, and of each earlier attempt
// whether it may have run, when it was sent, and the zone and pod of its endpoint at that time. An attempt that
// is in flight counts as one that may have run.
//
//   - Idempotent: the request may be sent again, and rejected to the client, at any time.
//   - Idempotent by key: it may be sent again within the deduplication window to endpoints of the same deduplication
//     group, and rejected within the window if all endpoints form one group, as the client's retry may go to any.
//   - Non-idempotent: neither, once an attempt may have run.
//
// To give up a request is to end it now: with Effects.Reject (503) where the client may retry, else with Effects.Fail
// (502). A request that no endpoint may get is given up at once; nothing waits without an attempt in flight.
// docs/design.md: "Retry and giving up".

// maxClassDelayFraction is the part of its latency objective that a class may wait at any endpoint for a cause of its own and
// still count for the success rate by which the other classes make room for it (latencyBudget).
const maxClassDelayFraction = 0.5

// forbiddenReason returns why the request must not be sent to an endpoint now; ReasonNone: it may.
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

// mayReuseLastEndpoint reports whether a request may go to the endpoint of its last attempt once more, where no other may get it. It
// may if that attempt ended by what became of its connection, or was never sent: that says little of the endpoint.
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

// deduplicates reports whether endpoints still remember an attempt that was sent at sentAt.
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

// MayReject reports whether a client may be told that a retry does no harm. Attempts are those of its request so far;
// inspect returns when one was sent, and whether it may have run; one in flight may.
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

// giveUp answers the client at once: it rejects the request if a retry does no harm, else it fails it.
func (b *Balancer) giveUp(now Time, req *request, reason Reason) {
	req.delayGroups.CountGivenUp()
	if reason.isLoadRelated() && req.delayGroups.Delay(int64(now)) < maxClassDelayFraction*float64(req.classSettings.LatencyObjective) {
		// Guards against other classes being shed in vain: one that waits for a cause of its own, such as a slow
		// dependency, would not succeed on endpoints with less load either.
		b.estimator.classes[req.Class].RecordResult(false)
	}
	if MayReject(req.classSettings, now, req.attempts, (*attempt).executionInfo) {
		b.effects.Reject(req.ID, b.retryAfter(req.classSettings), reason)
	} else {
		b.effects.Fail(req.ID, reason)
	}
	b.finish(req)
}

// executionInfo returns when an attempt was sent, and whether it may have run.
func (a *attempt) executionInfo() (sentAt Time, mayHaveRun bool) {
	return a.sentAt, a.inFlight || a.mayHaveRun
}
