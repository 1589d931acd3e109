package node

// Reading a response of an upstream and turning it into the result of its attempt.

import (
	"net/http"
	"time"

	"fawnglade/policy"
)

// readResponse reads the body after the head, or the start of it.
func (t *roundTrip) readResponse(reply upstreamReply) (attemptResult, *attemptError) {
	m := reply.message
	body, complete, err := t.readBodyStart(m)
	if err != nil {
		m.end()
		return attemptResult{}, t.errorAt(reply.stageOfError(), err)
	}
	if digest := digestResponse(m.digest, body); complete && reply.stage == fullyWritten {
		if t.mayBeCopy(digest) {
			return t.readPastCopy(reply, body)
		}
		t.recordResponse(digest)
	}
	return t.useResponse(reply, body, complete)
}

// readPastCopy handles a response that may be a second copy of the one before it: if another one follows, that is the
// response to the request. The connection is not used again, as it may be one response behind.
func (t *roundTrip) readPastCopy(reply upstreamReply, body []byte) (attemptResult, *attemptError) {
	reply.message.end()
	t.copySeen = true
	if reply.result().outcome == policy.OutcomeRejected {
		// It proves nothing, and waiting for another response would delay the retry where it does no harm.
		return attemptResult{}, t.errorAt(readingResponse, errRepeatedRejection)
	}
	behind, found, err := t.readBehindCopy(reply)
	switch {
	case err != nil:
		return attemptResult{}, t.errorAt(readingResponse, err)
	case found:
		return t.readResponse(behind)
	}
	return t.useResponse(reply, body, true)
}

// useResponse turns a response with its body, or the start of it, into the attempt's result, and releases the
// connection if it can be reused.
func (t *roundTrip) useResponse(reply upstreamReply, body []byte, complete bool) (attemptResult, *attemptError) {
	m := reply.message
	reusable := !reply.Close && reply.stage == fullyWritten && !t.copySeen
	result := reply.result()
	result.newConnection = t.conn.requestCount == 1
	forwarded := result.outcome == policy.OutcomeSucceeded || isRequestFault(reply.StatusCode)
	if forwarded {
		result.response = reply.response(t.attempt.request.method, body)
		t.passReservation(&result.response)
	}
	wanted := t.attempt.setOnCancel(nil) // after this a cancel no longer affects the connection
	if forwarded && !complete && wanted {
		t.upstreams.node.counters.add(responsesStreamed)
		t.released = true // finishStream owns it from here
		result.response.stream = newResponseStream(m)
		result.conn = t.conn
		result.closeAfter = !reusable
		return result, nil
	}
	m.end()
	extraInput := complete && len(t.conn.buffered()) > 0
	switch {
	case wanted && complete && !extraInput && reusable:
		t.putIdle()
	case forwarded && !complete:
		result.response.discard()
		return attemptResult{}, t.errorAt(reply.stageOfError(), errCanceled)
	default:
		t.closeReason = reply.closeReason(wanted, extraInput || t.copySeen)
	}
	return result, nil
}

// closeReason returns why the connection is closed after the response.
func (r *upstreamReply) closeReason(wanted, unsolicited bool) closeReason {
	switch {
	case unsolicited:
		return closeUnsolicitedInput
	case !wanted:
		return closeCanceled
	case r.stage != fullyWritten:
		return closeRequestIncomplete
	case r.Close:
		return closeAskedByUpstream
	}
	return closeResponseFailed // an error's long body, which nobody reads to its end
}

// upstreamReply is a response whose head has been read, with its unread body.
type upstreamReply struct {
	*http.Response
	message    *message
	stage      attemptStage  // how much of the request had been written when the head arrived
	uploadTime time.Duration // see attemptResult.uploadTime
}

// stageOfError returns the stage of an attempt that fails while the response is read: without its last byte the request
// was not executed.
func (r *upstreamReply) stageOfError() attemptStage {
	if r.stage < fullyWritten {
		return r.stage
	}
	return readingResponse
}

// result returns the attempt's result, without the response.
func (r *upstreamReply) result() attemptResult {
	return attemptResult{
		outcome:    outcomeOf(r.StatusCode, r.Header),
		report:     parseLoadReport(r.Header.Get(headerLoadReport)),
		uploadTime: r.uploadTime,
	}
}

// response returns the response for the client.
func (r *upstreamReply) response(method string, body []byte) response {
	length := r.Header.Get("Content-Length")
	passed := response{status: r.StatusCode, header: removeHopByHopHeaders(r.Header), body: body}
	if length != "" && !allowsResponseBody(method) {
		passed.header.Set("Content-Length", length)
	}
	return passed
}
