package policy

// Ids are kept as they come. Repeat tells what running a request twice does, Group which servers drop a repeat
// of a ticketed one, State what the list says of a server, Outcome how an attempt or a probe ended.
type (
	RequestID     string
	EndpointID    uint32
	Idempotency   uint8
	DedupGroup    uint8
	EndpointState uint8
	Outcome       uint8
)

// An unknown outcome counts as may have run.
const (
	Idempotent, IdempotentByKey, NonIdempotent                                           Idempotency   = 0, 1, 2
	DedupFleet, DedupZone, DedupPod                                                      DedupGroup    = 0, 1, 2
	StateActive, StateDraining, StateRemoved                                             EndpointState = 0, 1, 2
	OutcomeUnknown, OutcomeSucceeded, OutcomeError, OutcomeRejected                      Outcome       = 0, 1, 2, 3
	OutcomeTimedOut, OutcomeConnectFailed, OutcomeReset, OutcomeCanceled, OutcomeNotSent Outcome       = 4, 5, 6, 7, 8
)

// Class holds what is known of one class of requests.
type Class struct {
	LatencyObjective int64
	Idempotency      Idempotency
	DedupGroup       DedupGroup
	DedupWindow      int64   // how long the group still drops a repeat
	PriorityWeight   float64 // of a request, or of a unit of its work
	LateFraction     float64 // share of the earnings paid between soft and deadline
}

// Settings are the figures the decisions read; all times are nanoseconds.
type Settings struct {
	Classes                                           []Class
	TenantShares                                      []float64 // of each tenant
	OverQuotaFraction                                 float64   // earnings of a request beyond its tenant's share
	WorstClassWeight                                  float64   // what the worst class weighs in the goal, 0 to 1
	Nines, TopNines                                   float64   // the weight of the nines in it, and how many are all; not used
	NodeIndex, NodeCount                              int       // of this instance, and how many there are
	StreamsPerConnection                              int       // requests that a connection carries at once
	Zone, MaxAttempts                                 int
	ClockResolution, MaxPollInterval, SlowStartWindow int64

	MustPollList                                  bool // the list answers only when asked
	RemovedMayServe                               bool // only a listing as draining binds
	WeightIsSize                                  bool // the list's weight is a size
	KeyAffinity                                   bool // who met a request's key lately does it for less work
	WeightByWork                                  bool // a request's earnings go by its work
	MayHedge, MayCancel, MaySetRetryAfter         bool
	MayGossip, MayCheckHealth, HealthChecksReport bool // messages to other instances; probes; only these bring reports
	ReportsUtilization, ReportsServiceTime        bool // in reports: utilisation, service time

	MaxRetryAfter        int64 // 0 where advice is not allowed
	SlowStartMinCapacity float64
}

// EndpointInfo is one line of the server list.
type EndpointInfo struct {
	ID        EndpointID
	Zone, Pod int
	State     EndpointState
	Weight    float64
	StartedAt int64 // 0: long ago
}

// Request is one request as it arrives.
type Request struct {
	ID                         RequestID
	Class, Tenant              int
	Deadline                   int64  // the clock time at which the client gives up
	ClientRetry, StreamingBody bool   // the client says that it asks again; its body is still coming
	CostHint                   int64  // expected work, 0 if not told
	Key                        string // what it concerns; may be empty
}

// LoadReport holds the load values that came with an answer; a negative one was not sent.
type LoadReport struct{ Utilization, QueueLength, ServiceTime float64 }

// AttemptResult tells how one attempt ended.
type AttemptResult struct {
	Request                   RequestID
	Attempt                   int // which attempt of its request, from 0
	Endpoint                  EndpointID
	Outcome                   Outcome
	Elapsed                   int64
	RequestDone, BodyConsumed bool // the request has its final answer; it can't be sent again, as its body is held no more
	NewConnection             bool // a connection was opened for it, which takes a time of its own
	Report                    LoadReport
}

// GossipMessage is what one instance tells the others: a server fails a class, or a connection was dead when used.
type GossipMessage struct {
	Endpoint EndpointID
	Class    int
	IdleTime int64 // for how long the connection had stood; 0: a server fails
}

// Effects does what the decisions ask for. Calls take effect at the time of the event being handled.
type Effects interface {
	Send(task RequestID, server EndpointID, timeOut int64)
	Cancel(task RequestID, number int)
	Reject(task RequestID, comeBackIn int64)
	Fail(task RequestID)
	SetTimer(at int64, cookie uint64)
	WatchEndpoints()
	CloseIdle(server EndpointID) // closes connections that stand idle
	CheckHealth(server EndpointID)
	Gossip(GossipMessage) // every other instance; may be lost
}
