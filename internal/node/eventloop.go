package node

import (
	"errors"
	"net/http"
	"time"

	"fawnglade/internal/timerqueue"
	"fawnglade/policy"
)

const (
	eventQueueLength = 1024
	maxLoopSleep     = time.Hour
)

// eventLoop owns the policy, its clock and timers, and the requests and endpoints that the policy knows. All of it is
// used by one goroutine, which handles the events queued by post one at a time and never does I/O or waits for a peer.
type eventLoop struct {
	node               *Node
	balancer           *policy.Balancer
	events             chan func()
	now                policy.Time // start of the event that is being handled
	timers             timerqueue.Queue
	requests           map[policy.RequestID]*pendingRequest
	endpoints          map[policy.EndpointID]knownEndpoint
	addresses          addressOwners
	recent             *recentRequests
	rejectsNewRequests bool // the process is about to exit, new requests are rejected
}

func newEventLoop(n *Node) *eventLoop {
	l := &eventLoop{
		node:      n,
		events:    make(chan func(), eventQueueLength),
		requests:  map[policy.RequestID]*pendingRequest{},
		endpoints: map[policy.EndpointID]knownEndpoint{},
		addresses: newAddressOwners(),
		recent:    newRecentRequests(n.config.Limits.MemoryMB),
	}
	l.balancer = policy.New(n.settings.Policy, n.config.seed, l)
	return l
}

// post queues an event. It blocks while the queue is full, so it must not be called by an event.
func (l *eventLoop) post(event func()) { l.events <- event }

// tryPost queues an event if the queue is not full, and reports whether it did.
func (l *eventLoop) tryPost(event func()) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// run handles events until the process exits. Due timers fire first, as they are older than the queued events.
func (l *eventLoop) run() {
	wake := time.NewTimer(maxLoopSleep)
	for {
		l.now = l.node.clock.now()
		for cookie, due := l.timers.PopDue(int64(l.now)); due; cookie, due = l.timers.PopDue(int64(l.now)) {
			l.handle(nil, func() { l.balancer.TimerFired(l.now, cookie) })
		}
		wake.Reset(time.Duration(l.timers.UntilNext(int64(l.now), int64(maxLoopSleep))))
		select {
		case event := <-l.events:
			l.now = l.node.clock.now()
			l.handle(nil, event)
		case <-wake.C:
		}
	}
}

// handle runs one event and recovers from a panic in the policy. The event's request, if there is one, then fails,
// because the state of its attempts is unknown.
func (l *eventLoop) handle(request *pendingRequest, event func()) {
	defer l.node.recoverPanic("decisions", func() {
		if request != nil {
			l.finish(request, requestsFailed, response{status: http.StatusBadGateway})
		}
	})
	event()
}

// requestArrived handles a request that a client connection has read.
func (l *eventLoop) requestArrived(request *pendingRequest) {
	id := request.request.ID
	if l.requests[id] != nil { // attempts of two requests with the same ID would be mixed up
		l.node.counters.add(requestsMalformed)
		l.node.recordRefused(string(id), http.StatusConflict, "a request with this ID is in flight")
		request.answer(response{status: http.StatusConflict})
		return
	}
	if l.mayNotRunAgain(request) && l.recent.contains(digestRequestID(id)) {
		l.node.counters.add(requestsMalformed)
		l.node.recordRefused(string(id), http.StatusConflict, "a request with this ID may have run")
		request.answer(response{status: http.StatusConflict})
		return
	}
	if l.rejectsNewRequests {
		l.node.counters.add(requestsOverCapacity)
		l.node.recordRefused(string(id), http.StatusServiceUnavailable, "process ending")
		request.answer(l.node.overCapacityResponse())
		return
	}
	l.node.counters.add(requestsAccepted)
	l.requests[id] = request
	l.handle(request, func() { l.balancer.RequestArrived(l.now, request.request) })
}

// giveUpAll gives up every unanswered request because the process is about to exit. Requests that arrive afterwards are
// rejected.
func (l *eventLoop) giveUpAll() {
	l.rejectsNewRequests = true
	for id, pending := range l.requests {
		l.giveUp(id, pending, policy.ReasonShutdown)
	}
}

// giveUp answers a request whose attempts may still be in flight: it rejects it if policy.MayReject allows that, and
// fails it otherwise.
func (l *eventLoop) giveUp(id policy.RequestID, request *pendingRequest, reason policy.Reason) {
	class := &l.node.settings.Policy.Classes[request.request.Class]
	if policy.MayReject(class, l.now, request.attempts, executionInfo) {
		l.Reject(id, 0, reason)
	} else {
		l.Fail(id, reason)
	}
}

// executionInfo returns when an attempt was sent and whether it may have run. It serves policy.MayReject.
func executionInfo(a **attempt) (sentAt policy.Time, mayHaveRun bool) {
	return (*a).sentAt, !(*a).notExecuted
}

// clientGone cancels a request whose client has closed its connection.
func (l *eventLoop) clientGone(request *pendingRequest) {
	l.endForClient(request, requestsCanceled, response{})
}

// endForClient ends a request because of its client. It counts the event and answers the request, unless the request is
// unknown or already answered.
func (l *eventLoop) endForClient(request *pendingRequest, id counter, answer response) {
	if l.requests[request.request.ID] != request || !l.finish(request, id, answer) {
		return
	}
	l.handle(request, func() { l.balancer.ClientGone(l.now, request.request.ID) })
	l.removeIfDone(request)
}

// bodyFailed ends a request whose client has not sent the complete body. Such a request never ran.
func (l *eventLoop) bodyFailed(request *pendingRequest) {
	err := request.source.failure()
	switch {
	case err == nil || errors.Is(err, errBodyNotNeeded): // not the client's fault
	case !isMalformed(err):
		l.clientGone(request)
	default:
		l.endForClient(request, requestsMalformed, response{status: statusFor(err)})
	}
}

// attemptEnded handles the end of an attempt. It is called exactly once per attempt.
func (l *eventLoop) attemptEnded(finished *attempt, result attemptResult) {
	request := finished.request
	// The client's faults are handled before the policy sees the outcome; otherwise it would reject or retry the
	// request.
	if request.bodyIncomplete() {
		l.bodyFailed(request)
	}
	if result.clientGone {
		l.clientGone(request)
	}
	finished.notExecuted = !result.outcome.MayHaveRun()
	request.inFlight--
	finished.cancel()
	finished.recordEnd(result)
	l.updateDedupDeadlines(request)
	l.forwardResponse(request, result)
	l.node.counters.add(attemptCounter(result))
	l.handle(request, func() { l.balancer.AttemptEnded(l.now, finished.resultFor(request, result)) })
	l.removeIfDone(request)
}

// forwardResponse answers the request with the attempt's response if that is a success or a request fault.
func (l *eventLoop) forwardResponse(request *pendingRequest, result attemptResult) {
	switch {
	case result.outcome == policy.OutcomeSucceeded:
		l.finish(request, requestsSucceeded, result.response)
	case result.isRequestFault():
		l.finish(request, requestsFailed, result.response)
	}
}

// attemptCounter returns the counter for an attempt's result.
func attemptCounter(result attemptResult) counter {
	if result.isRequestFault() {
		return attemptsRequestFault
	}
	return outcomeCounters[result.outcome]
}

// resultFor converts an attempt's result for the policy. Elapsed excludes the time spent waiting for the client's
// upload, which is not the endpoint's latency.
func (a *attempt) resultFor(request *pendingRequest, result attemptResult) policy.AttemptResult {
	return policy.AttemptResult{
		Request:       request.request.ID,
		Attempt:       a.number,
		Endpoint:      a.target.endpoint,
		Outcome:       result.outcome,
		Elapsed:       max(result.endedAt.Sub(a.sentAt)-result.uploadTime, 0),
		RequestDone:   request.answered.Load(),
		BodyConsumed:  request.bodyConsumed(),
		NewConnection: result.newConnection,
		Report:        result.report,
	}
}

var outcomeCounters = map[policy.Outcome]counter{
	policy.OutcomeSucceeded:     attemptsSucceeded,
	policy.OutcomeError:         attemptsErrored,
	policy.OutcomeRejected:      attemptsRejected,
	policy.OutcomeTimedOut:      attemptsTimedOut,
	policy.OutcomeConnectFailed: attemptsConnectFailed,
	policy.OutcomeReset:         attemptsReset,
	policy.OutcomeCanceled:      attemptsCanceled,
	policy.OutcomeNotSent:       attemptsNotSent,
	policy.OutcomeUnknown:       attemptsReset,
}

// finish answers and counts a request, and reports whether it was still unanswered.
func (l *eventLoop) finish(request *pendingRequest, id counter, answer response) bool {
	if !request.answer(answer) {
		return false
	}
	l.node.counters.add(id)
	l.removeIfDone(request)
	return true
}

// removeIfDone removes a request once it is answered and none of its attempts is in flight.
func (l *eventLoop) removeIfDone(request *pendingRequest) {
	id := request.request.ID
	if request.inFlight == 0 && request.answered.Load() && l.requests[id] == request {
		delete(l.requests, id)
		l.recordIfNeverRan(request)
	}
}

func (l *eventLoop) endpointWatchFailed() {
	l.handle(nil, func() { l.balancer.WatchFailed(l.now) })
}

func (l *eventLoop) healthChecked(endpoint policy.EndpointID, outcome policy.Outcome, report policy.LoadReport) {
	l.handle(nil, func() { l.balancer.HealthChecked(l.now, endpoint, outcome, report) })
}

func (l *eventLoop) gossipReceived(message policy.GossipMessage) {
	l.handle(nil, func() { l.balancer.GossipReceived(l.now, message) })
}
