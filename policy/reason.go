package policy

// Reason says why a request was given up (Effects.Reject, Effects.Fail). Those that concern single endpoints are in the
// order of how close an endpoint came to getting the request: a request that several endpoints could not get for
// different reasons is given up for the last of these. docs/oncall.md says what to do for each.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota // none: the request may go on

	// Of the request, whatever the endpoints.
	ReasonDeadline     // its effective deadline has passed: no endpoint answered in time
	ReasonBodyConsumed // its body is held no more, so that it can't be sent again
	ReasonShedAll      // this node gives up all requests, to end a long overload
	ReasonShutdown     // the process is about to end; only the caller of a Balancer gives up for this

	// Of endpoints, from the furthest to the closest.
	ReasonNoEndpoint   // no endpoint is listed as active
	ReasonAttemptsUsed // the request has had Settings.MaxAttempts attempts
	ReasonMayHaveRun   // an earlier attempt may have run, and the endpoint may not run it again
	ReasonLastTried    // it was sent to the endpoint last, and goes elsewhere after that
	ReasonBackoff      // the endpoint rejected an attempt, or took no connection, a moment ago
	ReasonSlowStart    // the endpoint is in slow start and has no credit
	ReasonEjected      // the endpoint is ejected for the class
	ReasonSilent       // the endpoint has attempts in flight and has answered nothing for too long
	ReasonOverQuota    // the tenant is over its quota, and has less time left for it while requests are given up
	ReasonNotInTime    // the endpoint is not predicted to answer in time

	// ReasonCount is the number of reasons, ReasonNone among them.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	ReasonNone:         "none",
	ReasonDeadline:     "deadline passed",
	ReasonBodyConsumed: "body consumed",
	ReasonShedAll:      "resting in overload",
	ReasonShutdown:     "process ending",
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

// isLoadRelated reports whether less load on the endpoints, or more of them, would have helped the request.
func (r Reason) isLoadRelated() bool {
	switch r {
	case ReasonBodyConsumed, ReasonAttemptsUsed, ReasonMayHaveRun, ReasonLastTried, ReasonEjected:
		return false
	default:
		return true
	}
}

// String names the reason for logs, counters and reports.
func (r Reason) String() string { return enumName(reasonNames[:], int(r)) }
