package node

// The way of an attempt over its connection: worker, checks before the first byte, request out, response in. An attempt
// is written once; it is for the decisions to send a request again.

import (
	"errors"
	"net"
	"net/http"
	"time"

	"fawnglade/policy"
)

const (
	idleWorkerDivisor = 4  // a quarter as many workers may be idle as there may be upstream connections
	maxIdleWorkersCap = 64 // and no more than this
)

// start has an attempt carried by a worker, without waiting. An idle worker is taken before a new one: a goroutine made
// for each attempt would grow its stack anew each time.
func (u *upstreams) startAttempt(a *attempt) {
	select {
	case u.attempts <- a:
	default:
		go u.runWorker(a)
	}
}

// worker carries one attempt after another. It ends when enough others are idle.
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

// runAttempt carries an attempt from its start to its one result, which it posts to the event loop. It then waits for
// the end of a streamed response to take the connection back.
func (u *upstreams) runAttempt(a *attempt) {
	result := u.roundTripResult(a)
	result.endedAt = u.node.clock.now()
	stream := result.response.stream // read before the post: from there on the response is the event loop's
	u.node.loop.post(func() { u.node.loop.attemptEnded(a, result) })
	if stream != nil {
		u.finishStream(stream, result.conn, result.closeAfter)
	}
}

// roundTripResult is the result of an attempt, also where it failed or panicked.
func (u *upstreams) roundTripResult(a *attempt) (result attemptResult) {
	result = attemptResult{outcome: policy.OutcomeUnknown, report: parseLoadReport("")}
	defer u.node.recoverPanic("attempt", func() {})
	answered, err := u.runRoundTrip(a)
	if err == nil {
		return answered
	}
	return attemptResult{
		outcome:    err.outcome(),
		report:     parseLoadReport(""),
		clientGone: errors.Is(err.err, errClientGone),
	}
}

// finishStream waits for the end of a streamed response and takes its connection back.
func (u *upstreams) finishStream(stream *responseStream, conn *upstreamConn, closeAfter bool) {
	complete := <-stream.done
	stream.message.end()
	conn.pacer = nil
	if complete && !closeAfter && len(conn.buffered()) == 0 {
		u.putIdle(conn)
	} else {
		u.closeConn(conn)
	}
}

// roundTrip is one attempt on its connection. It is used by one goroutine.
type roundTrip struct {
	upstreams *upstreams
	attempt   *attempt
	conn      *upstreamConn
	released  bool // the connection is idle again or has another owner; otherwise close closes it
}

// runRoundTrip sends a request to its target and reads the response, or the first part of one that is streamed.
func (u *upstreams) runRoundTrip(a *attempt) (attemptResult, *attemptError) {
	deadline := u.node.clock.at(a.deadline)
	conn, err := u.acquire(a, deadline)
	if err != nil {
		return attemptResult{}, a.errorAt(notConnected, err)
	}
	trip := &roundTrip{upstreams: u, attempt: a, conn: conn}
	defer trip.close()
	if a.request.source != nil {
		deadline = time.Time{} // a streamed body is limited by its progress, and the response from the last byte on
	}
	conn.SetDeadline(deadline)
	if !a.setOnCancel(func() { conn.SetDeadline(expiredDeadline) }) {
		return attemptResult{}, a.errorAt(notConnected, errCanceled)
	}
	defer a.setOnCancel(nil)
	if err := u.checkBeforeWrite(a); err != nil {
		if a.setOnCancel(nil) { // nothing was written on it, and no cancel is about to set its deadline
			trip.putIdle()
		}
		return attemptResult{}, a.errorAt(notConnected, err)
	}
	reply, err := trip.writeAndReadHead()
	if err != nil {
		return attemptResult{}, trip.headError(reply.stage, err)
	}
	return trip.readResponse(reply)
}

// close closes the connection unless it has been released.
func (t *roundTrip) close() {
	if !t.released {
		t.upstreams.closeConn(t.conn)
	}
}

// putIdle releases the connection for the next attempt.
func (t *roundTrip) putIdle() {
	t.released = true
	t.upstreams.putIdle(t.conn)
}

// failed is the error of an attempt that got no head of a response.
func (t *roundTrip) headError(stage attemptStage, err error) *attemptError {
	if stage == fullyWritten && len(t.conn.buffered()) > 0 {
		stage = readingResponse
	}
	failure := t.attempt.errorAt(stage, err)
	reused := !t.conn.idleSince.IsZero()
	if failure.stage == fullyWritten && failure.outcome() == policy.OutcomeReset && reused {
		// Guards against an upstream that was cut off and is back: it resets each connection from before only when that
		// is used, and each would cost a request.
		t.upstreams.closeIdle(t.attempt.target)
	}
	return failure
}

// readResponse reads the body behind a head, or its first part, and releases the connection where it can be used again.
func (t *roundTrip) readResponse(reply upstreamReply) (attemptResult, *attemptError) {
	m := reply.message
	body, complete, err := readBodyStart(m)
	if err != nil {
		m.end()
		return attemptResult{}, t.attempt.errorAt(readingResponse, err)
	}
	result := reply.result()
	result.newConnection = t.conn.idleSince.IsZero()
	passedOn := result.outcome == policy.OutcomeSucceeded || isRequestFault(reply.StatusCode)
	if passedOn {
		result.response = reply.response(t.attempt.request.method, body)
	}
	wanted := t.attempt.setOnCancel(nil) // from here on no cancel touches the connection
	reusable := !reply.Close && reply.stage == fullyWritten
	if passedOn && !complete && wanted {
		t.upstreams.node.counters.add(responsesStreamed)
		t.released = true // finishStream takes it over
		result.response.stream = newResponseStream(m)
		result.conn = t.conn
		result.closeAfter = !reusable
		return result, nil
	}
	m.end()
	unasked := complete && len(t.conn.buffered()) > 0
	t.upstreams.recordExtraInput(unasked)
	t.conn.lastRejected = result.outcome == policy.OutcomeRejected
	if wanted && complete && !unasked && reusable {
		t.putIdle()
	}
	if passedOn && !complete {
		return attemptResult{}, t.attempt.errorAt(readingResponse, errCanceled)
	}
	return result, nil
}

// upstreamReply is a response whose head has been read.
type upstreamReply struct {
	*http.Response
	message    *message
	stage      attemptStage  // how far the request had been written when the head came
	uploadTime time.Duration // of it the request's body was still coming
}

// result is the attempt's result as far as the head gives it.
func (r *upstreamReply) result() attemptResult {
	return attemptResult{
		outcome:    outcomeOf(r.StatusCode, r.Header),
		report:     parseLoadReport(r.Header.Get(headerLoadReport)),
		uploadTime: r.uploadTime,
	}
}

// response is the response for the client.
func (r *upstreamReply) response(method string, body []byte) response {
	length := r.Header.Get("Content-Length")
	passed := response{status: r.StatusCode, header: removeHopByHopHeaders(r.Header), body: body}
	if length != "" && !allowsResponseBody(method) {
		passed.header.Set("Content-Length", length)
	}
	return passed
}

// checkBeforeWrite is why an attempt must not be written, by what has become of its request and its endpoint since the
// decisions chose it: it may have waited in a queue or for its connection. It is called last before the first byte,
// so that whatever happens up to then counts; nil: it may be written.
func (u *upstreams) checkBeforeWrite(a *attempt) error {
	switch {
	case a.request.answered.Load():
		return errAnswered
	case a.request.clientGone():
		return errClientGone
	case !u.mayUse(a.target):
		return errEndpointDisabled
	case a.dedupDeadline > 0 && u.node.clock.now() >= a.dedupDeadline:
		return errDedupWindowOver
	}
	return nil
}

// writeAndReadHead writes the request and reads the head of its response. The reply's stage is set also with an error.
func (t *roundTrip) writeAndReadHead() (upstreamReply, error) {
	request := t.attempt.request
	timeout := t.attempt.deadline.Sub(t.upstreams.node.clock.now())
	if request.source != nil {
		return t.streamAndReadHead(timeout)
	}
	buffers := net.Buffers{request.headWithTimeout(timeout), request.body}
	if _, err := buffers.WriteTo(t.conn.Conn); err != nil {
		return upstreamReply{stage: partlyWritten}, err
	}
	head, m, err := t.conn.readResponseHead(request.method)
	return upstreamReply{Response: head, message: m, stage: fullyWritten}, err
}

// streamAndReadHead writes a request whose body is still coming, and reads the head of its response meanwhile.
func (t *roundTrip) streamAndReadHead(timeout time.Duration) (upstreamReply, error) {
	request := t.attempt.request
	began := time.Now()
	if err := writePaced(t.conn, t.attempt, request.headWithTimeout(timeout)); err != nil {
		return upstreamReply{stage: partlyWritten}, err
	}
	if request.source.consumed.Swap(true) {
		return upstreamReply{stage: partlyWritten}, errBodyConsumed
	}
	up := startUpload(t.conn, t.attempt, timeout)
	head, m, err := t.conn.readResponseHead(request.method)
	if up.stop(t.conn, request) {
		return upstreamReply{head, m, fullyWritten, up.completedAt.Sub(began)}, err
	}
	if err != nil {
		return upstreamReply{stage: partlyWritten}, up.failure(request, err)
	}
	if !mayPrecedeRequestEnd(head) {
		m.end()
		return upstreamReply{stage: partlyWritten}, errEarlyResponse
	}
	return upstreamReply{Response: head, message: m, stage: partlyWritten}, nil
}

// mayPrecedeRequestEnd reports a response that may come before the request's last byte: one that rejects the request.
func mayPrecedeRequestEnd(r *http.Response) bool {
	return outcomeOf(r.StatusCode, r.Header) == policy.OutcomeRejected || isRequestFault(r.StatusCode)
}

// readBodyStart reads a short response completely, and of a longer one the first part. One of unknown length counts as
// short for responseBufferTimeout: a broken response mostly shows at once, and a slow one is not to be held back until it is
// known to be long.
func readBodyStart(m *message) (body []byte, complete bool, err error) {
	if m.length > maxBufferedResponse {
		body = make([]byte, streamBufferBytes)
		n, err := m.Read(body)
		return body[:n], false, err
	}
	if m.length >= 0 {
		return m.readUpTo(nil, maxBufferedResponse)
	}
	began := time.Now()
	for len(body) < maxBufferedResponse {
		body, complete, err = m.readMore(body, maxBufferedResponse)
		if complete || err != nil {
			return body, complete, err
		}
		if len(body) > 0 && time.Since(began) > responseBufferTimeout {
			break
		}
	}
	return body, false, nil
}
