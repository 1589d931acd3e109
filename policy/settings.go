package policy

import "time"

// Idempotency is the effect of running a request twice.
type Idempotency uint8

// Kinds of idempotency. A request that is idempotent by key runs only once at endpoints that share a deduplication
// group, within the deduplication window of its class.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// String returns the name of the kind for logs and tests.
func (i Idempotency) String() string {
	return enumName([]string{"idempotent", "idempotent by key", "non-idempotent"}, int(i))
}

// DedupGroup is the set of endpoints that drop duplicates of a request that is idempotent by key.
type DedupGroup uint8

// Deduplication groups: all endpoints, those of one zone, or those of one pod.
const (
	DedupFleet DedupGroup = iota
	DedupZone
	DedupPod
)

// String returns the name of the group for logs and tests.
func (g DedupGroup) String() string { return enumName([]string{"fleet", "zone", "pod"}, int(g)) }

// Class contains the settings of one class of requests.
type Class struct {
	// LatencyObjective is the time after arrival within which a response has its full value.
	LatencyObjective time.Duration
	// Idempotency determines whether a request that may have run can be sent again.
	Idempotency Idempotency
	// DedupGroup and DedupWindow apply to IdempotentByKey only: which endpoints drop a duplicate, and for how long
	// after the first attempt that may have run.
	DedupGroup  DedupGroup
	DedupWindow time.Duration
	// PriorityWeight is the value of a response within the objective, per request, or per unit of work if
	// Settings.WeightByWork is set. Values are relative to those of other classes.
	PriorityWeight float64
	// LateFraction is the fraction of PriorityWeight that a response between objective and deadline has, 0 to 1; with
	// 0, late responses have no value.
	LateFraction float64
}

// Settings are the properties of the deployment that a Balancer depends on. They do not change during its lifetime.
type Settings struct {
	// Classes are the classes of requests. Request.Class is an index into them.
	Classes []Class
	// TenantShares is the fraction of all requests that each tenant may send at full value. Request.Tenant is an index
	// into it.
	TenantShares []float64
	// OverQuotaFraction is the relative value of a request over its tenant's share, 0 to 1.
	OverQuotaFraction float64
	// WorstClassWeight is the weight of the class with the lowest success rate in the operators' goal, 0 to 1.
	WorstClassWeight float64
	// NodeIndex is the index of this node among all nodes, from 0. It determines the rank of the endpoints for the
	// subset. NodeIndex and NodeCount are static: they do not change when nodes join or fail.
	NodeIndex int
	// NodeCount is the number of nodes. It affects the subset size, the slow start credit in a cold fleet, how often
	// this node sends trials to ejected endpoints and trials of a class delay, and how many nodes must confirm that
	// idle connections are dead.
	NodeCount int
	// StreamsPerConnection is the maximum number of concurrent attempts on one connection.
	StreamsPerConnection int
	// Zone is the zone of this node. It is compared with EndpointInfo.Zone.
	Zone int
	// MaxAttempts is the maximum number of attempts of one request, including hedged ones.
	MaxAttempts int
	// ClockResolution is the resolution of the caller's clock.
	ClockResolution time.Duration
	// MaxPollInterval is the maximum time between two polls of the endpoint list if MustPollList is set. The backoff
	// after a failed watch is a fraction of it.
	MaxPollInterval time.Duration
	// SlowStartWindow is the maximum time from its start until an endpoint has its full capacity.
	SlowStartWindow time.Duration
	// SlowStartMinCapacity is the fraction of its full capacity that an endpoint has when it starts, 0 to 1.
	SlowStartMinCapacity float64
	// MaxRetryAfter is the maximum Retry-After of a rejection; with 0, none is sent. The Balancer uses it without
	// reading MaySetRetryAfter.
	MaxRetryAfter time.Duration

	// MustPollList means that the endpoint list must be polled. Otherwise updates are pushed.
	MustPollList bool
	// RemovedMayServe means that an endpoint removed from the list gets requests until an attempt on it fails. A
	// draining endpoint gets none in any case.
	RemovedMayServe bool
	// WeightIsSize means that EndpointInfo.Weight is the size of an endpoint relative to others.
	WeightIsSize bool
	// KeyAffinity means that an endpoint that served a key recently needs less work to serve it again.
	KeyAffinity bool
	// WeightByWork means that PriorityWeight is per unit of work instead of per request.
	WeightByWork bool
	// MayHedge allows two attempts of a request in flight at once.
	MayHedge bool
	// MayCancel allows attempts in flight to be canceled.
	MayCancel bool
	// MaySetRetryAfter allows a Retry-After in rejections. If it is not set, MaxRetryAfter must be 0. The Balancer does
	// not read it; the node does, for rejections that it sends without the Balancer.
	MaySetRetryAfter bool
	// MayGossip allows messages to other nodes.
	MayGossip bool
	// MayCheckHealth allows health checks.
	MayCheckHealth bool
	// HealthChecksReport means that load reports are sent with health checks only, not with responses.
	HealthChecksReport bool
	// ReportsUtilization and ReportsServiceTime mean that load reports contain these values.
	ReportsUtilization, ReportsServiceTime bool
}
