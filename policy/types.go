package policy

// Ids are kept as they come. Repeat tells what running a task twice does, Group which servers drop a repeat
// of a ticketed one, State what the list says of a server, Outcome how a hand-off or a probe ended.
type (
	TaskID   string
	ServerID uint32
	Repeat   uint8
	Group    uint8
	State    uint8
	Outcome  uint8
)

// An unknown outcome counts as may have run.
const (
	Rerunnable, Ticketed, Exclusive                 Repeat  = 0, 1, 2
	WholeFleet, SameZone, SamePod                   Group   = 0, 1, 2
	Active, Draining, Gone                          State   = 0, 1, 2
	Unknown, Satisfied, Error, Full                 Outcome = 0, 1, 2, 3
	TimedOut, Unreached, Reset, Recalled, NeverSent Outcome = 4, 5, 6, 7, 8
)

// Category holds what is known of one category of tasks.
type Category struct {
	SoftLimit    int64
	Repeat       Repeat
	Group        Group
	Memory       int64   // how long the group still drops a repeat
	Earnings     float64 // of a task, or of a unit of its work
	LateEarnings float64 // share of the earnings paid between soft and hard limit
}

// Settings are the figures the decisions read; all times are nanoseconds.
type Settings struct {
	Categories                  []Category
	Portions                    []float64 // of each customer
	OverShare                   float64   // earnings of a task beyond its customer's share
	WorstCategory               float64   // what the worst category weighs in the goal, 0 to 1
	Nines, TopNines             float64   // the weight of the nines in it, and how many are all; not used
	Position, Nodes             int       // of this instance, and how many there are
	Streams                     int       // tasks that a connection carries at once
	Zone, MaxHandOffs           int
	Tick, AskWithin, WarmWithin int64

	MustAsk                            bool // the list answers only when asked
	GoneMayServe                       bool // only a listing as draining binds
	SizeWeights                        bool // the list's weight is a size
	WarmKeys                           bool // who met a task's key lately does it for less work
	EarnsByWork                        bool // a task's earnings go by its work
	MayDuplicate, MayRecall, MayAdvise bool
	MayTell, MayProbe, ProbesReport    bool // messages to other instances; probes; only these bring reports
	Utilised, Timed                    bool // in reports: utilisation, service time

	MaxAdvice int64 // 0 where advice is not allowed
	ColdFrom  float64
}

// Listed is one line of the server list.
type Listed struct {
	Server    ServerID
	Zone, Pod int
	State     State
	Weight    float64
	Started   int64 // 0: long ago
}

// Task is one task as it arrives.
type Task struct {
	ID                 TaskID
	Category, Customer int
	HardLimit          int64  // the clock time at which the client gives up
	Repeated, Flows    bool   // the client says that it asks again; its body is still coming
	Cost               int64  // expected work, 0 if not told
	Key                string // what it concerns; may be empty
}

// Report holds the load values that came with an answer; a negative one was not sent.
type Report struct{ Utilisation, Queue, ServiceTime float64 }

// Answer tells how one hand-off ended.
type Answer struct {
	Task         TaskID
	Number       int // which hand-off of its task, from 0
	Server       ServerID
	Outcome      Outcome
	Elapsed      int64
	Final, Spent bool // the task has its final answer; it can't be sent again, as its body is held no more
	Fresh        bool // a connection was opened for it, which takes a time of its own
	Report       Report
}

// News is what one instance tells the others: a server fails a category, or a connection was dead when used.
type News struct {
	Server   ServerID
	Category int
	Idle     int64 // for how long the connection had stood; 0: a server fails
}

// Host does what the decisions ask for. Calls take effect at the time of the event being handled.
type Host interface {
	HandOff(task TaskID, server ServerID, timeOut int64)
	Recall(task TaskID, number int)
	Decline(task TaskID, comeBackIn int64)
	BreakOff(task TaskID)
	WakeAt(at int64, cookie uint64)
	Subscribe()
	Release(server ServerID) // closes connections that stand idle
	Probe(server ServerID)
	Tell(News) // every other instance; may be lost
}
