package policy

import (
	"time"

	"fawnglade/internal/estimates"
	"fawnglade/internal/ewma"
)

// endpoint is the state that this node keeps of one endpoint, grouped by the rule that uses it.
type endpoint struct {
	// Entry of the endpoint list (endpointlist.go).
	EndpointInfo
	rank     uint64 // endpoints are ordered by rank, the highest first; the order differs between nodes
	delisted bool   // missing from the list, but still used because no attempt has failed since

	// Subset and key affinity (subset.go, affinity.go).
	inSubset    bool
	hasAffinity bool // an affinity endpoint of the current request's key

	// Load and latency. load.go maintains Load, LastReport and RisePerSend; estimator.go maintains Latency and
	// HighLatency.
	estimates.EndpointEstimates
	sendsSinceReport int
	recalculateAt    Time       // when the load is recalculated if no report arrives before
	firstRiseAt      Time       // when the reported load rose for the first time; 0: never
	podLatency       *ewma.Pair // shared by the pod, since this node may send too few requests to a single endpoint

	// Attempts of this node in flight.
	inFlight int
	// lastActiveAt is the time of the last response or other sign of activity, or of the last send with nothing else in
	// flight, whichever is later. The silence of an endpoint is measured from this time.
	lastActiveAt Time

	// Outlier ejection, by class, and backoff after rejections (outlier.go).
	health           []classHealth
	rejectionsInARow int
	backoffUntil     Time

	// Slow start (slowstart.go).
	slowStartCredit float64 // requests of mean work that may be sent while it warms up

	// Idle connections (idleconns.go).
	lastUsedAt  Time // last use of a connection; 0: no open connection
	maxInFlight int  // maximum of inFlight since the idle connections were last closed
}

// classHealth is the recent health of an endpoint for one class of requests.
type classHealth struct {
	failureRate  float64 // exponentially weighted average of failed (1) and other (0) attempts
	inFlight     int     // attempts of this node
	samples      float64 // decayed number of attempts in failureRate
	ejected      bool
	ejectionTime time.Duration // doubles with each further failure
	nextTrialAt  Time          // when one idempotent request may be sent as a trial
	gossipVotes  float64       // decayed number of messages from other nodes that report failures of this class
	gossipedAt   Time          // when this node last sent such a message
}
