package policy

import "time"

// The end of an attempt updates the estimates of several rules: the latency of the endpoint, its health for the class,
// its backoff, and the state of idle connections, slow start and affinity. Inputs are the outcome, the time from the
// send to the end, and the estimates at the time of the send.
//
// Three kinds of attempts do not count against their endpoint: those on a dead connection, those of a class or tenant
// that is delayed at every endpoint, and those that were never sent. A timeout counts as a latency above the timeout.
// Otherwise the estimates would be based on fast responses only.
//
// See docs/design.md: "Admission: predicted in time", "Outliers".

// timeoutLatencyFactor is the assumed latency of an attempt without a response, relative to the time that it was given.
const timeoutLatencyFactor = 1.5

// recordAttempt updates estimates and health with the end of an attempt.
func (b *Balancer) recordAttempt(now Time, req *request, a *attempt, result AttemptResult) {
	ep, class := a.endpoint, req.Class
	if b.cameFromEndpoint(ep, result.Outcome) {
		ep.lastActiveAt = now
	}
	if b.isNotEndpointFault(now, a, result.Outcome) {
		if a.countedOverdue && result.Outcome == OutcomeTimedOut {
			b.gossipFailure(now, ep, class)
		}
		return
	}
	if !b.updateEstimates(now, req, a, result) {
		return
	}
	failed := result.Outcome != OutcomeSucceeded
	if failed && ep.delisted {
		ep.delist(false)
		b.updateSubset(now)
	}
	b.updateHealth(now, ep, req, failed, result.Outcome)
	if result.Outcome == OutcomeError && ep.health[class].ejected {
		b.gossipFailure(now, ep, class)
	}
}

// cameFromEndpoint reports whether an outcome was caused by the endpoint itself. A reset counts as such only if several
// connections carry one attempt each; otherwise a device on the path may have dropped the connection.
func (b *Balancer) cameFromEndpoint(ep *endpoint, outcome Outcome) bool {
	switch outcome {
	case OutcomeTimedOut, OutcomeCanceled, OutcomeNotSent:
		return false
	case OutcomeReset:
		return b.settings.StreamsPerConnection < 2 && ep.maxInFlight > 1
	default:
		return true
	}
}

// isNotEndpointFault reports whether an outcome must not count against the endpoint: nothing was sent, the attempt
// already counted when it became overdue, or its connection was dead.
func (b *Balancer) isNotEndpointFault(now Time, a *attempt, outcome Outcome) bool {
	switch outcome {
	case OutcomeNotSent:
		return true
	case OutcomeSucceeded:
		return false
	default:
		return a.countedOverdue || b.detectDeadConnection(now, a, outcome)
	}
}

// updateEstimates updates latencies and backoffs. It reports whether the outcome also counts for or against the
// endpoint's health.
func (b *Balancer) updateEstimates(now Time, req *request, a *attempt, result AttemptResult) bool {
	switch result.Outcome {
	case OutcomeSucceeded:
		b.recordSuccess(now, req, a, float64(result.Elapsed), result.NewConnection)
	case OutcomeRejected:
		b.recordRejection(now, req, a, result.Report.QueueLength)
		return false
	case OutcomeConnectFailed:
		if a.idleTime == 0 {
			// Idle connections must not be closed while no new one can be opened.
			b.idleConns.timeout.Reset()
		}
		a.endpoint.backOff(now, time.Duration(b.estimator.MeanWork))
	case OutcomeCanceled:
		// Detects a silent endpoint that would otherwise look healthy because the hedged attempt is always
		// answered first.
		wasOverdue := result.Elapsed >= b.estimator.overdueAfter(a.endpoint, a.work)
		return wasOverdue && !a.endpoint.wasActiveAfter(a.sentAt) && a.classDelayNanos <= 0
	case OutcomeTimedOut:
		return b.recordTimeout(now, req, a, float64(result.Elapsed))
	}
	return true
}

// recordSuccess updates the estimates with a successful response.
func (b *Balancer) recordSuccess(now Time, req *request, a *attempt, latencyNanos float64, newConnection bool) {
	ep, class := a.endpoint, &b.estimator.classes[req.Class]
	ep.rejectionsInARow = 0
	b.idleConns.timeout.RecordAlive(int64(a.idleTime))
	req.delayGroups.Observe(int64(now), int64(a.sentAt), latencyNanos, a.unloadedNanos)
	class.Calibrate(latencyNanos, a.predictedNanos)
	if newConnection && a.work > 0 {
		// The time to open a connection must not make the endpoint look slow.
		b.grantCreditForResponse(now, ep, a.work)
		return
	}
	if req.CostHint > 0 {
		latencyNanos = b.estimator.subtractZoneDelay(a, latencyNanos)
	}
	if a.hadAffinity && a.work > 0 {
		perWork, _ := b.estimator.expectedLatency(ep)
		b.affinity.updateWorkFactor(latencyNanos, perWork*a.work)
		// Converted to the latency at other endpoints, so that cached keys do not make the endpoint look fast.
		latencyNanos /= b.affinity.workFactorWithAffinity
		a.work /= b.affinity.workFactorWithAffinity
	}
	class.ObserveWork(latencyNanos)
	if a.work == 0 || a.workIsProvisional {
		// At startup the typical work is known from the first, lightest responses only. Comparing all latencies with it
		// would make endpoints look slow.
		a.work = class.TypicalWork
	}
	b.estimator.observeMeanWork(a.work)
	b.estimator.observeLatency(a, latencyNanos)
	b.grantCreditForResponse(now, ep, a.work)
}

// recordRejection handles an attempt that the endpoint rejected (OutcomeRejected). The rejection counts as a late
// response, unless a well-measured endpoint reports an empty queue: where most endpoints are full, trying others only
// leads to a retry storm.
func (b *Balancer) recordRejection(now Time, req *request, a *attempt, queueLength float64) {
	a.endpoint.backOff(now, time.Duration(b.estimator.MeanWork))
	if queueLength != 0 || !a.endpoint.isWellMeasured() {
		b.estimator.observeLatency(a, float64(req.effectiveDeadline-a.sentAt)*timeoutLatencyFactor)
	}
}

// recordTimeout handles an attempt without a response. It reports whether the timeout counts against the endpoint's
// health.
func (b *Balancer) recordTimeout(now Time, req *request, a *attempt, elapsedNanos float64) bool {
	b.observeUnansweredDelay(now, req, a)
	if a.classDelayNanos > 0 {
		return false
	}
	// A silent endpoint must not raise the latency spread of its class, since requests to other endpoints would then be
	// rejected.
	isUsual := maxSampleFactor*b.estimator.Fleet.MeanRatio()*a.work > elapsedNanos
	if a.endpoint.wasActiveAfter(a.sentAt) || isUsual {
		b.estimator.classes[req.Class].Calibrate(elapsedNanos*timeoutLatencyFactor, a.predictedNanos)
	}
	b.estimator.observeLatency(a, elapsedNanos*timeoutLatencyFactor)
	return true
}
