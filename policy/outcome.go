package policy

import "time"

// The end of an attempt teaches each rule something: the latency of its endpoint, the health of the endpoint in the
// class, its backoff, idle connections, slow start and affinity. Inputs: the outcome, the time from sending to the end,
// and what was known at sending. A connection that was dead, a class or tenant that waits at any endpoint, and an
// attempt that was never sent count against no endpoint. A time-out counts as a longer latency, or only quick answers
// would be learned from. docs/design.md: "Admission: predicted in time", "Outliers".

// timeoutLatencyFactor is the latency that an attempt without an answer is taken for, over the time that it had.
const timeoutLatencyFactor = 1.5

// recordAttempt takes the end of an attempt.
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

// cameFromEndpoint reports whether an outcome came from the endpoint itself. A reset did only where several connections
// carry one attempt each: else something between may have dropped the connection.
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

// isNotEndpointFault reports whether an end says nothing more of the endpoint: nothing was sent, the attempt was
// counted when it was overdue, or its connection was dead.
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

// updateEstimates updates latencies and backoffs; it reports whether the outcome counts for or against the endpoint's
// health.
func (b *Balancer) updateEstimates(now Time, req *request, a *attempt, result AttemptResult) bool {
	switch result.Outcome {
	case OutcomeSucceeded:
		b.recordSuccess(now, req, a, float64(result.Elapsed), result.NewConnection)
	case OutcomeRejected:
		b.recordRejection(now, req, a, result.Report.QueueLength)
		return false
	case OutcomeConnectFailed:
		if a.idleTime == 0 {
			// Guards against closing the connections that are open while no new one can be had.
			b.idleConns.timeout.Reset()
		}
		a.endpoint.backOff(now, time.Duration(b.estimator.MeanWork))
	case OutcomeCanceled:
		// Guards against a silent endpoint that looks healthy because hedged requests always overtake it.
		wasOverdue := result.Elapsed >= b.estimator.overdueAfter(a.endpoint, a.work)
		return wasOverdue && !a.endpoint.wasActiveAfter(a.sentAt) && a.classDelayNanos <= 0
	case OutcomeTimedOut:
		return b.recordTimeout(now, req, a, float64(result.Elapsed))
	}
	return true
}

// recordSuccess takes an answer.
func (b *Balancer) recordSuccess(now Time, req *request, a *attempt, tookNanos float64, newConnection bool) {
	ep, class := a.endpoint, &b.estimator.classes[req.Class]
	ep.rejectionsInARow = 0
	b.idleConns.timeout.RecordAlive(int64(a.idleTime))
	req.delayGroups.Observe(int64(now), int64(a.sentAt), tookNanos, a.unloadedNanos)
	class.Calibrate(tookNanos, a.predictedNanos)
	if newConnection && a.work > 0 {
		// Guards against the opening of a connection making its endpoint look slow.
		b.grantCreditForResponse(now, ep, a.work)
		return
	}
	if req.CostHint > 0 {
		tookNanos = b.estimator.subtractZoneDelay(a, tookNanos)
	}
	if a.hadAffinity && a.work > 0 {
		perWork, _ := b.estimator.expectedLatency(ep)
		b.affinity.updateWorkFactor(tookNanos, perWork*a.work)
		// Converted to what it would be elsewhere, so that the endpoint does not look quick for its cached keys.
		tookNanos /= b.affinity.workFactorWithAffinity
		a.work /= b.affinity.workFactorWithAffinity
	}
	class.ObserveWork(tookNanos)
	if a.work == 0 || a.workIsProvisional {
		// Guards against the latencies of a start being compared with the work of the first, lightest answers.
		a.work = class.TypicalWork
	}
	b.estimator.observeMeanWork(a.work)
	b.estimator.observeLatency(a, tookNanos)
	b.grantCreditForResponse(now, ep, a.work)
}

// recordRejection takes an attempt that the endpoint rejected (OutcomeRejected). It counts as a late answer, unless
// an endpoint that is well known reports an empty queue: where most are full, trying elsewhere brings only a storm of
// retries.
func (b *Balancer) recordRejection(now Time, req *request, a *attempt, queueLength float64) {
	a.endpoint.backOff(now, time.Duration(b.estimator.MeanWork))
	if queueLength != 0 || !a.endpoint.isWellMeasured() {
		b.estimator.observeLatency(a, float64(req.effectiveDeadline-a.sentAt)*timeoutLatencyFactor)
	}
}

// recordTimeout takes an attempt without an answer; it reports whether that counts against the endpoint.
func (b *Balancer) recordTimeout(now Time, req *request, a *attempt, tookNanos float64) bool {
	b.observeUnansweredDelay(now, req, a)
	if a.classDelayNanos > 0 {
		return false
	}
	// Guards against a silent endpoint raising the spread of its class, and so requests to others being rejected.
	isUsual := maxSampleFactor*b.estimator.Fleet.MeanRatio()*a.work > tookNanos
	if a.endpoint.wasActiveAfter(a.sentAt) || isUsual {
		b.estimator.classes[req.Class].Calibrate(tookNanos*timeoutLatencyFactor, a.predictedNanos)
	}
	b.estimator.observeLatency(a, tookNanos*timeoutLatencyFactor)
	return true
}
