package node

import (
	"cmp"
	"net/http"
	"time"

	"fawnglade/policy"
)

// The event loop implements policy.Effects: the policy calls these methods while it handles an event, on the loop's own
// goroutine. None of them blocks.
var _ policy.Effects = (*eventLoop)(nil)

// Send starts an attempt at an endpoint. Its deadline is that of the request, or the end of the timeout if that is
// earlier.
func (l *eventLoop) Send(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	request := l.requests[id]
	if request == nil {
		return
	}
	newAttempt := &attempt{
		request:  request,
		number:   len(request.attempts),
		target:   upstreamTarget{endpoint, l.endpoints[endpoint].address},
		sentAt:   l.now,
		deadline: min(l.now.Add(timeout), request.request.Deadline),

		sameProcessSince: l.sameProcessSince(request),
	}
	if newAttempt.number == 0 {
		l.recordFirstAttempt(request)
	}
	request.attempts = append(request.attempts, newAttempt)
	request.inFlight++
	l.updateDedupDeadlines(request)
	if request.answered.Load() { // a panic can keep the policy from recording that the request has ended
		result := attemptResult{outcome: policy.OutcomeNotSent, report: parseLoadReport(""), endedAt: newAttempt.sentAt}
		go l.post(func() { l.attemptEnded(newAttempt, result) })
		return
	}
	l.node.counters.add(attemptsSent)
	if newAttempt.number > 0 {
		l.node.counters.add(attemptsRetried)
		l.recordRetry(newAttempt)
	}
	l.node.upstreams.startAttempt(newAttempt)
}

// updateDedupDeadlines sets for each attempt in flight when the request must have been read: before the end of the
// deduplication window of each other attempt that may have run, those in flight included. It is called whenever an
// attempt starts or ends.
func (l *eventLoop) updateDedupDeadlines(request *pendingRequest) {
	class := &l.node.settings.Policy.Classes[request.request.Class]
	if class.Idempotency != policy.IdempotentByKey {
		return
	}
	for _, a := range request.attempts {
		if !a.ended {
			a.dedupDeadline.Store(int64(dedupDeadline(class, request.attempts, a)))
		}
	}
}

// dedupDeadline returns the earliest end of the deduplication windows of the attempts other than this one that may have
// run, or 0 if there is none.
func dedupDeadline(class *policy.Class, attempts []*attempt, this *attempt) (deadline policy.Time) {
	for _, other := range attempts {
		if other == this || other.notExecuted {
			continue
		}
		windowEnd := other.sentAt.Add(class.DedupWindow)
		deadline = min(cmp.Or(deadline, windowEnd), windowEnd)
	}
	return deadline
}

// sameProcessSince returns when the first attempt was sent that may have run, if not every endpoint knows of it; else 0.
func (l *eventLoop) sameProcessSince(request *pendingRequest) policy.Time {
	class := l.node.settings.Policy.Classes[request.request.Class]
	if class.Idempotency != policy.IdempotentByKey || class.DedupGroup == policy.DedupFleet {
		return 0
	}
	for _, earlier := range request.attempts {
		if !earlier.notExecuted {
			return earlier.sentAt
		}
	}
	return 0
}

// Cancel cancels an attempt of a request.
func (l *eventLoop) Cancel(id policy.RequestID, number int) {
	if request := l.requests[id]; request != nil && number < len(request.attempts) {
		request.attempts[number].cancel()
	}
}

// Reject answers a request with 503: the client may safely retry, because the request has not run or is idempotent
// (policy.MayReject). A retryAfter above 0 is sent as Retry-After.
func (l *eventLoop) Reject(id policy.RequestID, retryAfter time.Duration, reason policy.Reason) {
	request := l.requests[id]
	if request == nil {
		return
	}
	answer := response{status: http.StatusServiceUnavailable, retryAfter: retryAfter}
	if l.finish(request, requestsRejected, answer) {
		l.node.counters.add(givenUpCounter(reason))
		l.recordGivenUp(request, answer.status, reason)
	}
}

// Fail answers a request with 502: the request may have run, and it may not be safe to run it again.
func (l *eventLoop) Fail(id policy.RequestID, reason policy.Reason) {
	request := l.requests[id]
	if request == nil {
		return
	}
	if l.finish(request, requestsFailed, response{status: http.StatusBadGateway}) {
		l.node.counters.add(givenUpCounter(reason))
		l.recordGivenUp(request, http.StatusBadGateway, reason)
	}
}

// SetTimer schedules a call of the policy's TimerFired with the cookie.
func (l *eventLoop) SetTimer(at policy.Time, cookie uint64) { l.timers.Add(int64(at), cookie) }

// WatchEndpoints requests a watch call to the discovery service.
func (l *eventLoop) WatchEndpoints() { l.node.endpointWatch.requestCall() }

// CloseIdle closes the idle connections to an endpoint.
func (l *eventLoop) CloseIdle(endpoint policy.EndpointID) {
	if address := l.endpoints[endpoint].address; address != "" {
		go l.node.upstreams.closeIdle(upstreamTarget{endpoint, address})
	}
}

// Gossip queues a message to all peers.
func (l *eventLoop) Gossip(message policy.GossipMessage) { l.node.gossiper.send(message) }

// CheckHealth starts a health check of an endpoint.
func (l *eventLoop) CheckHealth(endpoint policy.EndpointID) {
	if address := l.endpoints[endpoint].address; address != "" {
		l.node.upstreams.checkHealth(upstreamTarget{endpoint, address})
	}
}
