package node

// An attempt: one sending of a request to one upstream, with its one result, and what a failure of it proves.

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"fawnglade/policy"
)

// upstreamTarget is an endpoint and its address. An address alone would not do: a new endpoint may have the address of
// an old one, and what becomes of the old one must not touch connections to the new.
type upstreamTarget struct {
	endpoint policy.EndpointID
	address  string
}

// attempt is one sending of a request to one upstream. The event loop makes it, a worker carries it to its one result,
// and the event loop takes that. Any goroutine may cancel it.
type attempt struct {
	request       *pendingRequest
	number        int // among the request's attempts, from 0
	target        upstreamTarget
	sentAt        policy.Time
	deadline      policy.Time // for the response; with a streamed body, for the connection alone
	dedupDeadline policy.Time // the request must be written before this; 0: no limit
	notExecuted   bool        // proved by its result; of the event loop alone

	mu       sync.Mutex
	canceled bool   // canceled, or ended
	onCancel func() // wakes the worker from its present wait; nil: it does not wait
}

// cancel ends the wait for the attempt's result. A further call does nothing.
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

// setOnCancel sets what cancel is to call, nil for nothing. It reports whether the attempt is still wanted; if not,
// wake is not kept.
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

// setDeadline sets the deadline of a read or a write; of a canceled attempt it is over at once. Guards against a cancel
// that comes just before another goroutine replaces its deadline.
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
	response      response // status 0: none that may go to the client
	endedAt       policy.Time
	newConnection bool          // the connection was opened for this attempt
	uploadTime    time.Duration // the part of the time in which the request's body was still coming
	conn          *upstreamConn // on which a streamed response is still coming; else nil
	closeAfter    bool          // conn can't be used again after that
	clientGone    bool          // the request was not written, as its client has gone
}

// isRequestFault reports a response that goes to the client without being a success (see isRequestFault of a status).
func (r *attemptResult) isRequestFault() bool {
	return r.outcome != policy.OutcomeSucceeded && r.response.status != 0
}

// attemptStage is how far an attempt has come.
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

// attemptError is why an attempt has no response, and how far it had come.
type attemptError struct {
	stage    attemptStage
	canceled bool // the attempt had been canceled by then
	err      error
}

func (e *attemptError) Error() string { return fmt.Sprintf("%v: %v", e.stage, e.err) }
func (e *attemptError) Unwrap() error { return e.err }

// fail is the error of an attempt that ends at a stage.
func (a *attempt) errorAt(stage attemptStage, err error) *attemptError {
	return &attemptError{stage: stage, canceled: a.isCanceled(), err: err}
}

// localError is why this node itself does not send a request; it says nothing about the endpoint.
type localError string

func (e localError) Error() string { return string(e) }

const (
	errNoConnectionSlot localError = "no descriptor left for a connection"
	errCanceled         localError = "canceled before it was written"
	errBodyConsumed     localError = "the request's body is no longer available"
	errEndpointDisabled localError = "the endpoint takes no new requests"
	errAnswered         localError = "the request already has its response"
	errClientGone       localError = "the client has gone"
	errDedupWindowOver  localError = "the deduplication window of an earlier attempt has ended"
)

// outcome maps an attempt's failure to what it proves. An upstream begins a request only once its last byte has come,
// so that before fullyWritten the request never ran; from then on it may have run, whatever ended the attempt.
func (e *attemptError) outcome() policy.Outcome {
	var local localError
	neverRan := e.stage < fullyWritten
	switch {
	case neverRan && e.canceled:
		return policy.OutcomeNotSent // ended by this node, so nothing is known of the endpoint
	case neverRan && errors.As(e.err, &local):
		return policy.OutcomeNotSent // the reason is this node's
	case neverRan:
		return policy.OutcomeConnectFailed // the endpoint was not reached, or did not take the request
	case e.canceled:
		return policy.OutcomeCanceled
	case errors.Is(e.err, os.ErrDeadlineExceeded):
		return policy.OutcomeTimedOut
	}
	return policy.OutcomeReset
}
