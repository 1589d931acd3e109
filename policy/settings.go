package policy

import "time"

// Idempotency says what running a request twice does.
type Idempotency uint8

// The kinds of idempotency. A request that is idempotent by key is run once by endpoints that share a deduplication
// group, for the deduplication window of its class.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// String names the kind for logs and tests.
func (i Idempotency) String() string {
	return enumName([]string{"idempotent", "idempotent by key", "non-idempotent"}, int(i))
}

// DedupGroup says which endpoints drop a repeat of a request that is idempotent by key.
type DedupGroup uint8

// The deduplication groups: every endpoint, those of one zone, or those of one pod.
const (
	DedupFleet DedupGroup = iota
	DedupZone
	DedupPod
)

// String names the group for logs and tests.
func (g DedupGroup) String() string { return enumName([]string{"fleet", "zone", "pod"}, int(g)) }

// Class is what the settings say of one class of requests.
type Class struct {
	// LatencyObjective is the time after arrival within which an answer has its full value.
	LatencyObjective time.Duration
	// Idempotency decides whether a request that may have run can be sent again.
	Idempotency Idempotency
	// DedupGroup and DedupWindow are read for IdempotentByKey alone: who drops a repeat, and for how long after the
	// first attempt that may have run.
	DedupGroup  DedupGroup
	DedupWindow time.Duration
	// PriorityWeight is the value of an answer within the objective: of each request, or of each unit of its work where
	// Settings.WeightByWork is set. Values are relative to those of other classes.
	PriorityWeight float64
	// LateFraction is the part of PriorityWeight that an answer between objective and deadline still has; 0: none.
	LateFraction float64
}

// Settings are what the decisions read of the deployment. They are decoded once, at the start of an instance.
type Settings struct {
	// Classes of requests; Request.Class is an index into them.
	Classes []Class
	// TenantShares is the part of all requests that each tenant may send at their full value; Request.Tenant is an
	// index.
	TenantShares []float64
	// OverQuotaFraction is the part of its value that a request beyond its tenant's share has.
	OverQuotaFraction float64
	// WorstClassWeight is how much the class with the lowest success rate counts in the operators' goal, 0 to 1.
	WorstClassWeight float64
	// NodeIndex is this node's place among all nodes, from 0, which ranks the endpoints for its subset. It and
	// NodeCount are static: nothing follows nodes that join or fail.
	NodeIndex int
	// NodeCount is the number of nodes. It sizes the subset and bounds what this node may do as its part of all nodes:
	// slow start in a cold fleet, tests of a class delay, and dead connections that nodes have to confirm.
	NodeCount int
	// StreamsPerConnection is how many attempts one connection carries at once.
	StreamsPerConnection int
	// Zone of this node; EndpointInfo.Zone is compared with it.
	Zone int
	// MaxAttempts bounds the attempts of one request, hedged ones among them.
	MaxAttempts int
	// ClockResolution is the shortest time that the caller's clock resolves.
	ClockResolution time.Duration
	// MaxPollInterval is the longest time between two calls for the endpoint list, where MustPollList is set. The
	// backoff after a failed watch is a part of it.
	MaxPollInterval time.Duration
	// SlowStartWindow is how long after its start an endpoint has its full capacity at the latest.
	SlowStartWindow time.Duration
	// SlowStartMinCapacity is the part of its capacity that an endpoint has from its start.
	SlowStartMinCapacity float64
	// MaxRetryAfter bounds the Retry-After of a rejection to the client; 0: none is sent. The Balancer reads it alone.
	MaxRetryAfter time.Duration

	// MustPollList: the endpoint list has to be polled, or no update comes.
	MustPollList bool
	// RemovedMayServe: an endpoint that the list lacks may still be sent to; only a listing as draining binds.
	RemovedMayServe bool
	// WeightIsSize: EndpointInfo.Weight is the size of an endpoint, relative to others.
	WeightIsSize bool
	// KeyAffinity: an endpoint that served a key lately serves it for less work.
	KeyAffinity bool
	// WeightByWork: PriorityWeight is of a unit of work, not of a request.
	WeightByWork bool
	// MayHedge: two attempts of a request may be in flight at once.
	MayHedge bool
	// MayCancel: an attempt in flight may be canceled.
	MayCancel bool
	// MaySetRetryAfter: a rejection may carry a Retry-After. Where it is not set, MaxRetryAfter is 0. The Balancer does
	// not read it; the node does, for the rejections that it sends before the Balancer is asked.
	MaySetRetryAfter bool
	// MayGossip: messages to other nodes are allowed.
	MayGossip bool
	// MayCheckHealth: health checks are allowed.
	MayCheckHealth bool
	// HealthChecksReport: load reports come with health checks alone.
	HealthChecksReport bool
	// ReportsUtilization and ReportsServiceTime: load reports carry these values.
	ReportsUtilization, ReportsServiceTime bool
}
