package invariant

// Idempotency is whether a request may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// DedupGroup is the set of endpoints that share the record of idempotency keys.
type DedupGroup int

// The deduplication groups: every endpoint, those of one zone, or those of one pod.
const (
	DedupFleet DedupGroup = iota
	DedupZone
	DedupPod
)

// Class holds the properties of a request class that the rules depend on.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupGroup  DedupGroup
	DedupWindow int64 // from the first byte of the first attempt that may have run, nanoseconds
}

// Rules are the limits that nodes are held to, in nanoseconds.
type Rules struct {
	// StopSendingWithin is how long a node may still begin attempts at an endpoint after it knows that the endpoint
	// drains.
	StopSendingWithin int64
	// PollWithin is the longest time that a node may go without watching or polling the endpoint list; 0: no limit.
	PollWithin int64
	// AnswerGrace is how long after its deadline a request may still be answered.
	AnswerGrace int64
	// MayHedge allows two attempts of a request to be in flight at once.
	MayHedge bool
	// KnownWithin is the time after which every node that could reach discovery is presumed to know a change of the
	// list; 0: not checked.
	KnownWithin int64
	// CancelGrace is how long after the client closed or canceled an attempt may still begin; 0: not checked.
	CancelGrace int64
	// ReadyWithin is how long a restarted process may take to be ready; ReadyWithinAtEnd applies instead if the run
	// ends before that. 0: not checked.
	ReadyWithin, ReadyWithinAtEnd int64
	// End is the end of the run.
	End int64
	// ListGossip is set if nodes may receive the endpoint list from one another.
	ListGossip bool
	// Slack is added to every limit, for the time that sockets take.
	Slack int64
	// Lag returns how late the lab itself ran around a time; nil: never late.
	Lag func(at int64) int64
	// LinkDelay returns how much the run delayed messages between nodes, endpoints and discovery; nil: not at all.
	LinkDelay func(at int64) int64
}

func (r Rules) withDefaults() Rules {
	none := func(int64) int64 { return 0 }
	if r.Lag == nil {
		r.Lag = none
	}
	if r.LinkDelay == nil {
		r.LinkDelay = none
	}
	return r
}

// slack returns the tolerance of a limit that ends at a time and is observed at a client.
func (r *Rules) slack(at int64) int64 { return r.Slack + r.Lag(at) }

// linkSlack returns the tolerance of a limit that ends at a time and is observed at an endpoint or at discovery.
func (r *Rules) linkSlack(at int64) int64 { return r.slack(at) + r.LinkDelay(at) }
