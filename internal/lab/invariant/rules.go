package invariant

// Idempotency says what running a request more than once does.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// DedupGroup is the endpoints that drop a repeat of a request that is idempotent by key.
type DedupGroup int

// The deduplication groups: every endpoint, those of one zone, or those of one pod.
const (
	DedupFleet DedupGroup = iota
	DedupZone
	DedupPod
)

// Class is what the rules need to know of a class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupGroup  DedupGroup
	DedupWindow int64 // from the first byte of the first attempt that may have run
}

// Rules are the limits that nodes are held to, in nanoseconds.
type Rules struct {
	// StopSendingWithin is how long after a node knows that an endpoint drains it may still begin attempts there.
	StopSendingWithin int64
	// PollWithin is how long a node may neither watch nor poll the endpoint list; 0: no limit.
	PollWithin int64
	// AnswerGrace is how long after its deadline a request may be answered.
	AnswerGrace int64
	// MayHedge allows two attempts of a request in flight at once.
	MayHedge bool
	// KnownWithin is how long after discovery had a change, and could be reached, every node counts as knowing it;
	// 0: not checked.
	KnownWithin int64
	// CancelGrace is how long after its client has gone an attempt of a request may begin; 0: not checked.
	CancelGrace int64
	// ReadyWithin is how long a restarted process may take to be ready, ReadyWithinAtEnd the same where the run ends
	// before; 0: not checked.
	ReadyWithin, ReadyWithinAtEnd int64
	// End of the run.
	End int64
	// ListGossip: nodes may have the endpoint list from one another.
	ListGossip bool
	// Slack is added to every limit, as sockets take time.
	Slack int64
	// Lag is how late the lab itself ran around a moment; nil: never.
	Lag func(at int64) int64
	// LinkDelay is by how much the run delayed messages between nodes, endpoints and discovery; nil: never.
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

// slack is added to a limit that ends at a moment and is observed at a client.
func (r *Rules) slack(at int64) int64 { return r.Slack + r.Lag(at) }

// linkSlack is added to a limit that is observed at an endpoint or at discovery.
func (r *Rules) linkSlack(at int64) int64 { return r.slack(at) + r.LinkDelay(at) }
