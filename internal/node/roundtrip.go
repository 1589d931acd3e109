package node

// Runs an attempt on a connection: it checks that the request may still be sent, writes it and reads the response. An
// attempt is written at most once; the balancer decides whether to send the request again.

import (
	"errors"
	"net/http"
	"time"

	"fawnglade/policy"
)

const (
	idleWorkerDivisor = 4  // maximum idle workers = maximum upstream connections / idleWorkerDivisor
	maxIdleWorkersCap = 64 // upper limit of that maximum
)

// startAttempt passes an attempt to a worker without blocking. It prefers an idle worker to a new goroutine, whose
// stack would have to grow again.
func (u *upstreams) startAttempt(a *attempt) {
	select {
	case u.attempts <- a:
	default:
		go u.runWorker(a)
	}
}

// runWorker runs one attempt after another. It returns when enough other workers are idle.
func (u *upstreams) runWorker(a *attempt) {
	for {
		u.runAttempt(a)
		if u.idleWorkers.Add(1) > u.maxIdleWorkers.Load() {
			u.idleWorkers.Add(-1)
			return
		}
		a = <-u.attempts
		u.idleWorkers.Add(-1)
	}
}

// runAttempt runs an attempt and posts its result to the event loop. If the response is streamed, it then waits for the
// end of the stream to reuse or close the connection.
func (u *upstreams) runAttempt(a *attempt) {
	result := u.roundTripResult(a)
	result.endedAt = u.node.clock.now()
	stream := result.response.stream // read before the post, after which the event loop owns the response
	u.node.loop.post(func() { u.node.loop.attemptEnded(a, result) })
	if stream != nil {
		u.finishStream(stream, result.conn, result.closeAfter)
	}
}

// roundTripResult returns the result of an attempt, also if it fails or panics.
func (u *upstreams) roundTripResult(a *attempt) (result attemptResult) {
	result = attemptResult{outcome: policy.OutcomeUnknown, report: parseLoadReport("")}
	defer u.node.recoverPanic("attempt", func() {})
	answered, err := u.runRoundTrip(a)
	if err == nil {
		return answered
	}
	u.recordBreak(a.target, err)
	return attemptResult{
		outcome:    err.outcome(),
		report:     parseLoadReport(""),
		clientGone: errors.Is(err.err, errClientGone),
		failure:    err.Error(),
	}
}

// finishStream waits for the end of a streamed response, then makes its connection idle or closes it.
func (u *upstreams) finishStream(stream *responseStream, conn *upstreamConn, closeAfter bool) {
	complete := <-stream.done
	stream.message.end()
	conn.pacer = nil
	switch {
	case !complete:
		u.closeConn(conn, closeResponseFailed)
	case len(conn.buffered()) > 0:
		u.closeConn(conn, closeUnsolicitedInput)
	case closeAfter:
		u.closeConn(conn, closeAskedByUpstream)
	default:
		u.putIdle(conn)
	}
}

// roundTrip is one attempt on its connection. It is used by one goroutine at a time.
type roundTrip struct {
	upstreams   *upstreams
	attempt     *attempt
	conn        *upstreamConn
	deadline    time.Time   // of the response; of a streamed request it is set once the upload has ended
	released    bool        // the connection is idle again or has another owner, so close must not close it
	closeReason closeReason // why close closes the connection
	copySeen    bool        // a response may have been a copy, so that the connection is not used again
	reserved    int         // bytes of memory for the body of the response
}

// runRoundTrip sends a request to its target and reads the response, or the start of a streamed one.
func (u *upstreams) runRoundTrip(a *attempt) (attemptResult, *attemptError) {
	deadline := u.node.clock.at(a.deadline)
	conn, err := u.acquire(a, deadline)
	if err != nil {
		return attemptResult{}, a.errorAt(notConnected, err)
	}
	a.connection = conn.id
	trip := &roundTrip{upstreams: u, attempt: a, conn: conn, deadline: deadline, closeReason: closeResponseFailed}
	defer trip.close()
	if a.request.source != nil {
		deadline = time.Time{} // the time for the response starts when the last byte of the body arrives (upload.limit)
	}
	conn.SetDeadline(deadline)
	if !a.setOnCancel(func() { conn.SetDeadline(expiredDeadline) }) {
		return attemptResult{}, trip.errorAt(notConnected, errCanceled)
	}
	defer a.setOnCancel(nil)
	if err := u.checkBeforeWrite(a); err != nil {
		if a.setOnCancel(nil) { // nothing was written and no cancel can still set its deadline, so it is reusable
			trip.putIdle()
		}
		return attemptResult{}, trip.errorAt(notConnected, err)
	}
	if err := trip.checkConnection(); err != nil {
		return attemptResult{}, trip.errorAt(notConnected, err)
	}
	if err := u.checkProcess(a, conn); err != nil {
		return attemptResult{}, trip.errorAt(notConnected, err)
	}
	conn.beginRequest(a.request.request.ID)
	reply, err := trip.writeAndReadHead()
	if err != nil {
		return attemptResult{}, trip.headError(reply.stage, err)
	}
	return trip.readResponse(reply)
}

// checkConnection returns an error if the upstream has closed the connection or sent something on it, new or reused,
// before the request. What it sent would be read as the response.
func (t *roundTrip) checkConnection() error {
	reusable, hasInput := t.conn.idleState()
	switch {
	case hasInput:
		t.closeReason = closeUnsolicitedInput
		return errUnsolicitedInput
	case !reusable:
		t.closeReason = closeByUpstream
		return errClosedByUpstream
	}
	return nil
}

// close closes the connection unless it has been released.
func (t *roundTrip) close() {
	t.releaseBody()
	if !t.released {
		t.upstreams.closeConn(t.conn, t.closeReason)
	}
}

// errorAt returns the error of the attempt, after which its connection is closed unless it has been released.
func (t *roundTrip) errorAt(stage attemptStage, err error) *attemptError {
	failure := t.attempt.errorAt(stage, err)
	t.conn.failure = failure.Error()
	if failure.canceled {
		t.closeReason = closeCanceled
	}
	return failure
}

// putIdle releases the connection for the next attempt.
func (t *roundTrip) putIdle() {
	t.released = true
	t.upstreams.putIdle(t.conn)
}

// headError returns the error of an attempt that got no response head.
func (t *roundTrip) headError(stage attemptStage, err error) *attemptError {
	if stage == fullyWritten && len(t.conn.buffered()) > 0 {
		stage = readingResponse
	}
	failure := t.errorAt(stage, err)
	reused := t.conn.requestCount > 1
	if failure.stage == fullyWritten && failure.outcome() == policy.OutcomeReset && reused {
		// An upstream that was unreachable and is back resets each older connection only when that connection is
		// used. If the others stayed open, each would cost a request.
		t.upstreams.closeIdle(t.attempt.target)
	}
	return failure
}

// checkBeforeWrite returns an error if the attempt must not be written, because its request or endpoint has changed
// since the balancer chose it: the attempt may have waited in a queue or for its connection. It is called immediately
// before the first byte, so that the latest state counts.
func (u *upstreams) checkBeforeWrite(a *attempt) error {
	switch {
	case a.request.answered.Load():
		return errAnswered
	case a.request.clientGone():
		return errClientGone
	case a.request.clientUncertain():
		return errClientUncertain
	case !u.mayUse(a.target):
		return errEndpointDisabled
	}
	if end := policy.Time(a.dedupDeadline.Load()); end > 0 && u.node.clock.now() >= end {
		return errDedupWindowOver
	}
	return nil
}

// writeAndReadHead writes the request and reads the response head. The stage of the reply is also set with an error.
func (t *roundTrip) writeAndReadHead() (upstreamReply, error) {
	request := t.attempt.request
	timeout := t.attempt.deadline.Sub(t.upstreams.node.clock.now())
	if request.source != nil {
		return t.streamAndReadHead(timeout)
	}
	err := t.writeBuffered(request.headWithTimeout(timeout), request.body)
	switch {
	case errors.Is(err, errResponseStarted):
		return t.readEarlyHead()
	case err != nil:
		return upstreamReply{stage: partlyWritten}, err
	}
	head, m, err := t.conn.readResponseHead(request.method)
	return upstreamReply{Response: head, message: m, stage: fullyWritten}, err
}

// readEarlyHead reads the head of a response that has started before the request's last byte was written.
func (t *roundTrip) readEarlyHead() (upstreamReply, error) {
	head, m, err := t.conn.readResponseHead(t.attempt.request.method)
	switch {
	case err != nil && t.conn.closedByPeer():
		return upstreamReply{stage: partlyWritten}, errClosedDuringWrite
	case err != nil:
		return upstreamReply{stage: partlyWritten}, err
	}
	return earlyReply(head, m)
}

// earlyReply returns a response whose head came before the request's last byte was written, if it is valid there.
func earlyReply(head *http.Response, m *message) (upstreamReply, error) {
	if !mayPrecedeRequestEnd(head) {
		m.end()
		return upstreamReply{stage: partlyWritten}, errEarlyResponse
	}
	return upstreamReply{Response: head, message: m, stage: partlyWritten}, nil
}

// streamAndReadHead writes a request whose body is still being received, and reads the response head concurrently.
func (t *roundTrip) streamAndReadHead(timeout time.Duration) (upstreamReply, error) {
	request := t.attempt.request
	began := time.Now()
	up := newUpload(t.conn, t.attempt, timeout)
	if err := up.write(request.headWithTimeout(timeout)); err != nil {
		return upstreamReply{stage: partlyWritten}, err
	}
	if request.source.consumed.Swap(true) {
		return upstreamReply{stage: partlyWritten}, errBodyConsumed
	}
	up.start()
	head, m, err := t.conn.readResponseHead(request.method)
	if up.stop() {
		t.deadline = up.limit()
		return upstreamReply{head, m, fullyWritten, up.completedAt.Sub(began)}, err
	}
	if err != nil {
		return upstreamReply{stage: partlyWritten}, up.failure(err)
	}
	reply, err := earlyReply(head, m)
	if err != nil {
		return reply, err
	}
	t.deadline = up.earlyResponseDeadline(time.Now())
	return reply, t.attempt.setDeadline(t.conn.SetReadDeadline, t.deadline)
}

// mayPrecedeRequestEnd reports whether a response is valid before the request's last byte: only one that rejects the
// request or reports its fault is.
func mayPrecedeRequestEnd(r *http.Response) bool {
	return outcomeOf(r.StatusCode, r.Header) == policy.OutcomeRejected || isRequestFault(r.StatusCode)
}
