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

// eventLoop is the one goroutine that owns the decisions, their clock and timers, and the requests and endpoints that
// they know. Events enter through post, one at a time. Nothing in it does I/O or waits for a peer.
type eventLoop struct {
	node               *Node
	balancer           *policy.Balancer
	events             chan func()
	now                policy.Time // when the event at hand began
	timers             timerqueue.Queue
	requests           map[policy.RequestID]*pendingRequest
	endpoints          map[policy.EndpointID]knownEndpoint
	rejectsNewRequests bool // new requests are rejected: the process is about to end
}

func newEventLoop(n *Node) *eventLoop {
	l := &eventLoop{
		node:      n,
		events:    make(chan func(), eventQueueLength),
		requests:  map[policy.RequestID]*pendingRequest{},
		endpoints: map[policy.EndpointID]knownEndpoint{},
	}
	l.balancer = policy.New(n.settings.Policy, n.config.seed, l)
	return l
}

// post queues an event. It waits while the queue is full, so it must not be called from within the loop.
func (l *eventLoop) post(event func()) { l.events <- event }

// tryPost queues an event unless the queue is full, and reports whether it did.
func (l *eventLoop) tryPost(event func()) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// run handles events until the process ends. Due timers go first, as they are older than the queued events.
func (l *eventLoop) run() {
	wake := time.NewTimer(maxLoopSleep)
	for {
		l.now = l.node.clock.now()
		for cookie, due := l.timers.Due(int64(l.now)); due; cookie, due = l.timers.Due(int64(l.now)) {
			l.handle(nil, func() { l.balancer.TimerFired(l.now, cookie) })
		}
		wake.Reset(time.Duration(l.timers.Wait(int64(l.now), int64(maxLoopSleep))))
		select {
		case event := <-l.events:
			l.now = l.node.clock.now()
			l.handle(nil, event)
		case <-wake.C:
		}
	}
}

// handle runs one event. A panic in the decisions does not end the process; the request at hand, if there is one, is
// failed, as nothing is known of its attempts any more.
func (l *eventLoop) handle(request *pendingRequest, event func()) {
	defer l.node.recoverPanic("decisions", func() {
		if request != nil {
			l.finish(request, requestsFailed, response{status: http.StatusBadGateway})
		}
	})
	event()
}

// requestArrived takes in a request that the client side has read.
func (l *eventLoop) requestArrived(request *pendingRequest) {
	id := request.request.ID
	if l.requests[id] != nil { // guards against two requests under one id, whose attempts would be mixed up
		l.node.counters.add(requestsMalformed)
		request.answer(response{status: http.StatusConflict})
		return
	}
	if l.rejectsNewRequests {
		l.node.counters.add(requestsOverCapacity)
		request.answer(l.node.overCapacityResponse())
		return
	}
	l.node.counters.add(requestsAccepted)
	l.requests[id] = request
	l.handle(request, func() { l.balancer.RequestArrived(l.now, request.request) })
}

// giveUpAll answers every request that has no answer, rejected if policy.MayReject allows it and failed otherwise, and
// rejects those that still come: the process is about to end.
func (l *eventLoop) giveUpAll() {
	l.rejectsNewRequests = true
	for id, pending := range l.requests {
		class := &l.node.settings.Policy.Classes[pending.request.Class]
		if policy.MayReject(class, l.now, pending.attempts, executionInfo) {
			l.Reject(id, 0, policy.ReasonEnding)
		} else {
			l.Fail(id, policy.ReasonEnding)
		}
	}
}

// executionInfo returns when an attempt was sent, and whether it may have run.
func executionInfo(a **attempt) (sentAt policy.Time, mayHaveRun bool) {
	return (*a).sentAt, !(*a).neverRan
}

// clientGone cancels a request whose client has closed its connection.
func (l *eventLoop) clientGone(request *pendingRequest) {
	l.endForClient(request, requestsCanceled, response{})
}

// endForClient ends a request for a reason on the client's side, with the answer if it is known and has none yet.
func (l *eventLoop) endForClient(request *pendingRequest, id counter, answer response) {
	if l.requests[request.request.ID] != request || !l.finish(request, id, answer) {
		return
	}
	l.handle(request, func() { l.balancer.ClientGone(l.now, request.request.ID) })
	l.removeIfDone(request)
}

// bodyFailed ends a request whose client has not sent the complete body; it has never run.
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

// attemptEnded takes the end of an attempt; each has exactly one.
func (l *eventLoop) attemptEnded(finished *attempt, result attemptResult) {
	request := finished.request
	// The client's own faults come before the decisions see the outcome: they would reject or retry the request.
	if request.bodyIncomplete() {
		l.bodyFailed(request)
	}
	if result.clientGone {
		l.clientGone(request)
	}
	finished.neverRan = !result.outcome.MayHaveRun()
	request.inFlight--
	finished.cancel()
	l.forwardResponse(request, result)
	l.node.counters.add(attemptCounter(result))
	l.handle(request, func() { l.balancer.AttemptEnded(l.now, finished.resultFor(request, result)) })
	l.removeIfDone(request)
}

// forwardResponse answers the request if the attempt brought its answer: a success, or a request fault.
func (l *eventLoop) forwardResponse(request *pendingRequest, result attemptResult) {
	switch {
	case result.outcome == policy.OutcomeSucceeded:
		l.finish(request, requestsSucceeded, result.response)
	case result.isRequestFault():
		l.finish(request, requestsFailed, result.response)
	}
}

// attemptCounter is the counter of an attempt's end.
func attemptCounter(result attemptResult) counter {
	if result.isRequestFault() {
		return attemptsRequestFault
	}
	return outcomeCounters[result.outcome]
}

// resultFor is the end of an attempt as the decisions see it. Time in which the client was slow to upload is not the
// endpoint's latency.
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

// finish gives the request its answer, and reports whether it had none before.
func (l *eventLoop) finish(request *pendingRequest, id counter, answer response) bool {
	if !request.answer(answer) {
		return false
	}
	l.node.counters.add(id)
	l.removeIfDone(request)
	return true
}

// release forgets a request once it has its answer and no attempt is in flight.
func (l *eventLoop) removeIfDone(request *pendingRequest) {
	id := request.request.ID
	if request.inFlight == 0 && request.answered.Load() && l.requests[id] == request {
		delete(l.requests, id)
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
