package node

// Attempts: each sends a request to one upstream once, and its one result shows whether the upstream may have executed
// the request.

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/policy"
)

// upstreamTarget is an endpoint with its address. The endpoint is part of the key because a new endpoint may reuse the
// address of an old one: a removal of the old one must not close connections to the new one.
type upstreamTarget struct {
	endpoint policy.EndpointID
	address  string
}

// attempt sends a request to one upstream. The event loop creates it, a worker runs it, and the event loop receives its
// one result. Any goroutine may cancel it.
type attempt struct {
	request *pendingRequest
	number  int // index among the request's attempts, from 0
	target  upstreamTarget
	sentAt  policy.Time
	// deadline is that of the response. If the request body is streamed, it limits opening the connection, and the time
	// left after that limits the wait for the response after the last byte.
	deadline policy.Time
	// dedupDeadline is the policy.Time at which the request must have been read by the upstream, as the deduplication
	// window of another attempt ends then; 0: no limit. The event loop changes it while the attempt is in flight.
	dedupDeadline atomic.Int64
	// sameProcessSince is when an earlier attempt was sent that may have run and that only some endpoints know of; 0:
	// there is none. The request must not be written to a process that is newer (processidentity.go).
	sameProcessSince policy.Time
	notExecuted      bool // as proved by its result; used by the event loop only

	// For diagnostics. connection is written by the worker, the others belong to the event loop.
	connection uint64 // ID of its connection; 0: it has none
	ended      bool
	outcome    policy.Outcome
	failure    string // its error; empty if there was none

	mu       sync.Mutex
	canceled bool   // canceled, or ended
	onCancel func() // interrupts the worker's wait; nil: it does not wait
}

// cancel cancels the attempt and interrupts its worker. Further calls do nothing.
func (a *attempt) cancel() {
	a.mu.Lock()
	wake := a.onCancel
	a.canceled = true
	a.onCancel = nil
	a.mu.Unlock()
	if wake != nil {
		wake()
	}
}

// setOnCancel sets the function that cancel calls; nil: none. If the attempt is already canceled or has
// ended, it sets none and returns false.
func (a *attempt) setOnCancel(wake func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		a.onCancel = nil
		return false
	}
	a.onCancel = wake
	return true
}

func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// reasonToEnd returns why the attempt is no longer wanted, or nil. While a body is being written, nobody reads from the
// client, so that its close is seen here alone.
func (a *attempt) reasonToEnd() error {
	switch {
	case a.isCanceled():
		return errCanceled
	case a.request.answered.Load():
		return errAnswered
	case a.request.clientGone():
		return errClientGone
	}
	return nil
}

// setDeadline sets a read or write deadline, which has already expired if the attempt is canceled. The lock
// ensures that a concurrent call does not replace the expired deadline that cancel sets.
func (a *attempt) setDeadline(set func(time.Time) error, deadline time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		deadline = expiredDeadline
	}
	return set(deadline)
}

// attemptResult is the one result of an attempt.
type attemptResult struct {
	outcome       policy.Outcome
	report        policy.LoadReport
	response      response // status 0: nothing to forward to the client
	endedAt       policy.Time
	newConnection bool          // the connection was opened for this attempt
	uploadTime    time.Duration // time to write a streamed request completely; 0: not streamed, or not complete
	conn          *upstreamConn // connection of a response that is still streamed; nil: none
	closeAfter    bool          // conn can't be reused after the response
	clientGone    bool          // the request was not written because its client disconnected
	failure       string        // the attempt's error, for diagnostics; empty if there was none
}

// recordEnd keeps what diagnostics tell of the attempt. It is called on the event loop.
func (a *attempt) recordEnd(result attemptResult) {
	a.ended = true
	a.outcome = result.outcome
	a.failure = result.failure
}

// isRequestFault reports whether the response goes to the client although it is not a success (see isRequestFault of a
// status).
func (r *attemptResult) isRequestFault() bool {
	return r.outcome != policy.OutcomeSucceeded && r.response.status != 0
}

// attemptStage is how far an attempt has progressed.
type attemptStage int

const (
	notConnected attemptStage = iota
	partlyWritten
	fullyWritten
	readingResponse
)

func (s attemptStage) String() string {
	switch s {
	case notConnected:
		return "not connected"
	case partlyWritten:
		return "request partly written"
	case fullyWritten:
		return "request written"
	case readingResponse:
		return "reading the response"
	}
	return fmt.Sprintf("stage %d", int(s))
}

// attemptError is the reason why an attempt has no response, with the stage at which it failed.
type attemptError struct {
	stage    attemptStage
	canceled bool // whether the attempt had been canceled when it failed
	err      error
}

func (e *attemptError) Error() string { return fmt.Sprintf("%v: %v", e.stage, e.err) }
func (e *attemptError) Unwrap() error { return e.err }

// errorAt returns the error of an attempt that fails at a stage.
func (a *attempt) errorAt(stage attemptStage, err error) *attemptError {
	return &attemptError{stage: stage, canceled: a.isCanceled(), err: err}
}

// localError is a reason on this node why a request is not sent. It is no evidence about the endpoint.
type localError string

func (e localError) Error() string { return string(e) }

const (
	errNoConnectionSlot localError = "no file descriptor available for an upstream connection"
	errCanceled         localError = "attempt canceled before the request was written"
	errBodyConsumed     localError = "request body was consumed by an earlier attempt"
	errEndpointDisabled localError = "endpoint is no longer eligible for new requests"
	errAnswered         localError = "request has already been answered"
	errClientGone       localError = "client disconnected"
	errClientUncertain  localError = "client may have disconnected behind its unread input"
	errProcessUnknown   localError = "endpoint's process may be another than that of an earlier attempt"
	errDedupWindowOver  localError = "deduplication window of an earlier attempt has ended"
)

// Reasons why an upstream connection can't carry a request. Nothing of the request was written.
var (
	errUnsolicitedInput = errors.New("unsolicited input on the connection before the request")
	errClosedByUpstream = errors.New("connection closed by the upstream before the request")
)

// outcome maps a failure to what it proves about execution. An upstream starts to execute a request only after it has
// received the last byte, so before fullyWritten the request was not executed. From then on it may have been, whatever
// ended the attempt.
func (e *attemptError) outcome() policy.Outcome {
	var local localError
	notExecuted := e.stage < fullyWritten
	switch {
	case notExecuted && e.canceled:
		return policy.OutcomeNotSent // ended by this node: no evidence about the endpoint
	case notExecuted && errors.As(e.err, &local):
		return policy.OutcomeNotSent // failed on this node
	case notExecuted:
		return policy.OutcomeConnectFailed // the endpoint was unreachable or did not read the request
	case e.canceled:
		return policy.OutcomeCanceled
	case errors.Is(e.err, os.ErrDeadlineExceeded):
		return policy.OutcomeTimedOut
	}
	return policy.OutcomeReset
}
