package policy

import (
	"fmt"
	"time"
)

// Time is a time of the caller's clock, in nanoseconds since the Unix epoch. The clock never goes back during the
// lifetime of a Balancer. Start times of endpoints are on the same clock.
type Time int64

// Add returns the time t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// RequestID identifies a request at this node.
type RequestID string

// EndpointID identifies an endpoint; it is the same on every node.
type EndpointID uint32

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// States of an endpoint. A draining endpoint gets no new attempts, and a removed one only with
// Settings.RemovedMayServe.
const (
	StateActive EndpointState = iota
	StateDraining
	StateRemoved
)

// String returns the name of the state for logs and tests.
func (s EndpointState) String() string {
	return enumName([]string{"active", "draining", "removed"}, int(s))
}

// Outcome is the result of an attempt or a health check.
type Outcome uint8

// Outcomes. OutcomeRejected, OutcomeConnectFailed and OutcomeNotSent prove that the attempt was not executed. After any
// other outcome, including OutcomeUnknown, it may have been executed.
const (
	OutcomeUnknown       Outcome = iota
	OutcomeSucceeded             // complete response
	OutcomeError                 // error response of the endpoint
	OutcomeRejected              // refused by the endpoint without being executed: its queue is full, or it is draining
	OutcomeTimedOut              // no response in time
	OutcomeConnectFailed         // no connection in time
	OutcomeReset                 // connection closed while the attempt was in flight
	OutcomeCanceled              // canceled by Effects.Cancel
	OutcomeNotSent               // never sent
)

// String returns the name of the outcome for logs and tests.
func (o Outcome) String() string {
	return enumName([]string{
		"unknown", "succeeded", "error", "rejected", "timed out", "connect failed", "reset", "canceled", "not sent",
	}, int(o))
}

// MayHaveRun reports whether an attempt with this outcome may have been executed.
func (o Outcome) MayHaveRun() bool {
	return o != OutcomeRejected && o != OutcomeConnectFailed && o != OutcomeNotSent
}

func enumName(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("%d", i)
}

// EndpointInfo is one entry of the endpoint list.
type EndpointInfo struct {
	ID        EndpointID
	Zone, Pod int
	State     EndpointState
	Weight    float64
	StartedAt Time // 0: long ago
}

// Request is a request as it arrives from a client.
type Request struct {
	ID            RequestID
	Class, Tenant int
	Deadline      Time          // when the client gives up
	Age           time.Duration // how long ago the request arrived; 0: just now, or its body is still arriving
	ClientRetry   bool          // the client marked the request as a retry
	StreamingBody bool          // the body is still being received from the client
	CostHint      time.Duration // expected work at an endpoint; 0: unknown
	Key           string        // affinity key; may be empty
}

// LoadReport contains the load values of a response or a health check. A negative value means that it was not reported.
type LoadReport struct {
	Utilization float64 // fraction of the endpoint's processors in use
	QueueLength float64 // number of queued requests
	ServiceTime float64 // recent service time, in milliseconds
}

// AttemptResult describes the end of one attempt.
type AttemptResult struct {
	Request       RequestID
	Attempt       int // index of the attempt within its request, from 0
	Endpoint      EndpointID
	Outcome       Outcome
	Elapsed       time.Duration
	RequestDone   bool // the client has its final response
	BodyConsumed  bool // the request cannot be sent again, since its body is no longer buffered
	NewConnection bool // a connection was opened for the attempt, which adds to its latency
	Report        LoadReport
}

// GossipMessage is a message to other nodes: an endpoint fails a class, or a connection was dead when used.
type GossipMessage struct {
	Endpoint EndpointID
	Class    int
	IdleTime time.Duration // how long the dead connection had been idle; 0: Endpoint fails Class
}

// Effects carries out the decisions of a Balancer. Its methods are called from within the Balancer's event methods,
// take effect at the time of the event, and must not call back into the Balancer.
type Effects interface {
	// Send starts the next attempt of a request. Its AttemptResult follows within the timeout.
	Send(request RequestID, endpoint EndpointID, timeout time.Duration)
	// Cancel cancels an attempt in flight, given by its index. Its AttemptResult still follows.
	Cancel(request RequestID, attempt int)
	// Reject sends the client a 503 response, which says that a retry after retryAfter is harmless; 0 means no
	// Retry-After. The reason is for operators only.
	Reject(request RequestID, retryAfter time.Duration, reason Reason)
	// Fail sends the client a 502 response, which says that the request may have been executed. The reason is for
	// operators only.
	Fail(request RequestID, reason Reason)
	// SetTimer calls Balancer.TimerFired with the timer's ID at the given time.
	SetTimer(at Time, timer uint64)
	// WatchEndpoints starts a watch: a long-lived call that returns the endpoint list and its changes. Where the list
	// must be polled (Settings.MustPollList), the caller watches only after this call; where updates are pushed, it
	// watches on its own. A failed watch must be reported to Balancer.WatchFailed.
	WatchEndpoints()
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint EndpointID)
	// CheckHealth requests the load of an endpoint. Balancer.HealthChecked follows.
	CheckHealth(endpoint EndpointID)
	// Gossip sends a message to every other node. Messages may be lost.
	Gossip(GossipMessage)
}
