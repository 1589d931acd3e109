package policy

import (
	"fmt"
	"time"
)

// Time is a moment of the caller's clock, in nanoseconds since the Unix epoch. The clock never goes back while an
// instance runs; start times of endpoints are moments of the same clock.
type Time int64

// Add returns the moment so long after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// RequestID names a request at this node, as the client does.
type RequestID string

// EndpointID names an endpoint, alike at every node.
type EndpointID uint32

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState uint8

// The states. Nothing new is sent to one that is draining or removed.
const (
	StateActive EndpointState = iota
	StateDraining
	StateRemoved
)

// String names the state for logs and tests.
func (s EndpointState) String() string {
	return enumName([]string{"active", "draining", "removed"}, int(s))
}

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes. OutcomeRejected, OutcomeConnectFailed and OutcomeNotSent prove that the attempt never ran; after all
// others, OutcomeUnknown among them, it may have run.
const (
	OutcomeUnknown       Outcome = iota
	OutcomeSucceeded             // a complete answer
	OutcomeError                 // the endpoint answered with an error
	OutcomeRejected              // the endpoint refused it without running it: its queue is full, or it drains
	OutcomeTimedOut              // no answer in time
	OutcomeConnectFailed         // no connection in time
	OutcomeReset                 // the connection ended with the attempt in flight
	OutcomeCanceled              // canceled by Effects.Cancel
	OutcomeNotSent               // never sent
)

// String names the outcome for logs and tests.
func (o Outcome) String() string {
	return enumName([]string{
		"unknown", "succeeded", "error", "rejected", "timed out", "connect failed", "reset", "canceled", "not sent",
	}, int(o))
}

// MayHaveRun reports whether an attempt that ended so may have been executed.
func (o Outcome) MayHaveRun() bool {
	return o != OutcomeRejected && o != OutcomeConnectFailed && o != OutcomeNotSent
}

func enumName(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("%d", i)
}

// EndpointInfo is one line of the endpoint list.
type EndpointInfo struct {
	ID        EndpointID
	Zone, Pod int
	State     EndpointState
	Weight    float64
	StartedAt Time // 0: long ago
}

// Request is one request as it arrives.
type Request struct {
	ID            RequestID
	Class, Tenant int
	Deadline      Time          // the client gives up
	ClientRetry   bool          // the client says that it sent the request before
	StreamingBody bool          // its body is still coming from the client
	CostHint      time.Duration // expected work at an endpoint; 0: not known
	Key           string        // what the request concerns, for affinity; may be empty
}

// LoadReport holds the load values that came with an answer or a health check; a negative one was not sent.
type LoadReport struct {
	Utilization float64 // part of the endpoint's processors in use
	QueueLength float64 // requests queued
	ServiceTime float64 // recent service time, in milliseconds
}

// AttemptResult is how one attempt ended.
type AttemptResult struct {
	Request       RequestID
	Attempt       int // which attempt of its request, from 0
	Endpoint      EndpointID
	Outcome       Outcome
	Elapsed       time.Duration
	RequestDone   bool // the request has its final answer
	BodyConsumed  bool // the request can't be sent again, as its body is held no more
	NewConnection bool // a connection was opened for the attempt, which takes a time of its own
	Report        LoadReport
}

// GossipMessage is what one node sends to the others: an endpoint fails a class, or a connection was dead when used.
type GossipMessage struct {
	Endpoint EndpointID
	Class    int
	IdleTime time.Duration // for how long the dead connection had been idle; 0: an endpoint fails Class
}

// Effects carries out what the decisions ask for. Its methods are called from within the Balancer's event methods, take
// effect at the time of the event, and must not call back.
type Effects interface {
	// Send starts the next attempt of a request; an AttemptResult follows, by the end of timeout at the latest.
	Send(request RequestID, endpoint EndpointID, timeout time.Duration)
	// Cancel ends an attempt in flight, named by its number from 0; its AttemptResult still follows.
	Cancel(request RequestID, attempt int)
	// Reject answers the client (503) that a retry does no harm, after retryAfter; 0: no advice. The reason is for
	// operators alone.
	Reject(request RequestID, retryAfter time.Duration, reason Reason)
	// Fail answers the client (502) that the request may have run. The reason is for operators alone.
	Fail(request RequestID, reason Reason)
	// SetTimer has Balancer.TimerFired called with the number at a moment.
	SetTimer(at Time, timer uint64)
	// WatchEndpoints asks for a watch: a long-lived call for the endpoint list and what changes in it. Where the list
	// has to be polled (Settings.MustPollList), the caller watches only when asked; where updates are pushed, it
	// watches by itself. A watch that fails is reported to Balancer.WatchFailed.
	WatchEndpoints()
	// CloseIdle closes the connections to an endpoint that are idle.
	CloseIdle(endpoint EndpointID)
	// CheckHealth asks an endpoint for its load; Balancer.HealthChecked follows.
	CheckHealth(endpoint EndpointID)
	// Gossip sends a message to every other node; it may be lost.
	Gossip(GossipMessage)
}
