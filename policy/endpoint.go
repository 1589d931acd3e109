package policy

import (
	"time"

	"fawnglade/internal/estimates"
	"fawnglade/internal/ewma"
)

// endpoint is what this node knows of one endpoint, grouped by the rule that uses it.
type endpoint struct {
	// The endpoint list (endpointlist.go).
	EndpointInfo
	rank     uint64 // this node's order of preference, the highest first
	delisted bool   // the list lacks it, and no attempt on it has failed since

	// The subset and key affinity (subset.go, affinity.go).
	inSubset    bool
	hasAffinity bool // of the key of the request that is being placed

	// Load and latency; Load, LastReport and RisePerSend are load.go's, Latency and HighLatency estimator.go's.
	estimates.EndpointEstimates
	sendsSinceReport int
	recalculateAt    Time       // when the load is recalculated if no report comes before
	firstRiseAt      Time       // when its reports rose for the first time; 0: they have not
	podLatency       *ewma.Pair // shared by the pod: this node uses one endpoint too seldom to judge it alone

	// Attempts of this node.
	inFlight int
	// lastActiveAt is the last sign that it works, or the last time that something was sent to it with nothing in
	// flight, whichever is later: silence counts from here.
	lastActiveAt Time

	// Outlier ejection, by class, and backoff after rejections (outlier.go).
	health           []classHealth
	rejectionsInARow int
	backoffUntil     Time

	// Slow start (slowstart.go).
	slowStartCredit float64 // requests of mean work that may be sent to it while it warms up

	// Idle connections (idleconns.go).
	lastUsedAt  Time // last use of a connection to it; 0: none is open
	maxInFlight int  // since its idle connections were last closed
}

// classHealth is how an endpoint did lately with one class of requests.
type classHealth struct {
	failureRate  float64 // exponentially weighted average of attempts that failed (1) or did not (0)
	inFlight     int     // attempts of this node
	samples      float64 // decayed count of the attempts in failureRate
	ejected      bool
	ejectionTime time.Duration // doubles while it stays ejected
	nextTrialAt  Time          // when one idempotent request may try it again
	gossipVotes  float64       // decayed count of messages of other nodes that it fails this class
	gossipedAt   Time          // when this node sent such a message last
}
