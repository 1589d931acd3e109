package policy

// Reason is why a request was given up (Effects.Reject, Effects.Fail). Reasons that apply to single endpoints are
// ordered by how close the endpoint came to being selected. If several endpoints are excluded for different reasons,
// the request is given up for the last of these reasons. docs/oncall.md describes what to do for each reason.
type Reason uint8

// Reasons for giving up a request.
const (
	ReasonNone Reason = iota // the request was not given up

	// Reasons that apply to the request, whatever the endpoints.
	ReasonDeadline     // the effective deadline passed before an endpoint responded
	ReasonBodyConsumed // the body is no longer buffered, so that the request cannot be sent again
	ReasonShedAll      // this node gives up all requests, to end a long overload
	ReasonShutdown     // the process is about to exit; used by the caller of the Balancer only
	ReasonHeadOfLine   // a later response of the client's connection is due; used by the caller of the Balancer only

	// Reasons that apply to endpoints, ordered from furthest to closest.
	ReasonNoEndpoint   // no endpoint is listed as active
	ReasonAttemptsUsed // the request has had Settings.MaxAttempts attempts
	ReasonMayHaveRun   // an earlier attempt may have run, and the endpoint must not run it again
	ReasonLastTried    // the last attempt went to the endpoint, and the next one has to go to another
	ReasonBackoff      // the endpoint recently rejected an attempt or refused a connection
	ReasonSlowStart    // the endpoint is in slow start and has no credit
	ReasonEjected      // the endpoint is ejected for the class
	ReasonSilent       // the endpoint has attempts in flight and has not responded for too long
	ReasonOverQuota    // the tenant is over its quota, which shortens its latency budget while requests are given up
	ReasonNotInTime    // the endpoint is not predicted to respond in time

	// ReasonCount is the number of reasons, including ReasonNone.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	ReasonNone:         "none",
	ReasonDeadline:     "deadline passed",
	ReasonBodyConsumed: "body consumed",
	ReasonShedAll:      "resting in overload",
	ReasonShutdown:     "process ending",
	ReasonHeadOfLine:   "later response due",
	ReasonNoEndpoint:   "no endpoint listed",
	ReasonAttemptsUsed: "attempts used up",
	ReasonMayHaveRun:   "may have run",
	ReasonLastTried:    "no endpoint but the last",
	ReasonBackoff:      "in backoff",
	ReasonSlowStart:    "slow start",
	ReasonEjected:      "ejected",
	ReasonSilent:       "silent",
	ReasonOverQuota:    "over quota",
	ReasonNotInTime:    "not in time",
}

// isLoadRelated reports whether less load or more endpoints would have helped the request.
func (r Reason) isLoadRelated() bool {
	switch r {
	case ReasonBodyConsumed, ReasonAttemptsUsed, ReasonMayHaveRun, ReasonLastTried, ReasonEjected:
		return false
	default:
		return true
	}
}

// String returns the name of the reason as used in logs, counters and reports.
func (r Reason) String() string { return enumName(reasonNames[:], int(r)) }
