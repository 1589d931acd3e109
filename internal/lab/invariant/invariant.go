// Package invariant owns what passed on the sockets of a day and judges the four rules by it. It must never hear a word
// from a node: counters and logs of the judged are no evidence. Times are nanoseconds since the day's beginning.
package invariant

import (
	"fawnglade/internal/lab/model"
	"sync"
)

// Never is a time that did not come.
const Never = model.Never

// Repeat tells what may happen to a category's tasks more than once.
type Idempotency int

const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// Group is the servers that share the memory of a ticketed task.
type DedupGroup int

const (
	DedupFleet DedupGroup = iota
	DedupZone
	DedupPod
)

// Category is what the judge needs to know of one.
type Class struct {
	Name   string
	Idempotency Idempotency
	DedupGroup  DedupGroup
	DedupWindow int64
}

// Rules are the figures that nodes are held to.
type Rules struct {
	StopSending, PollWithin, AnswerGrace int64
	MayHedge                        bool
	KnownWithin                          int64                // a change counts as told so long after discovery had it and could be reached; 0: not judged
	CancelGrace                          int64                // an attempt that begins so long after its client closed is one too late; 0: not judged
	ReadyWithin, ReadyWithinAtEnd             int64                // for processes started again, the second where the day ends before the first; 0: not judged
	End                                 int64                // of the day
	ListGossip                            bool                 // nodes may hear the list from one another
	Slack                               int64                // that every time limit is longer on sockets
	Lag                                func(at int64) int64 // how late the rig itself ran round a moment
	LinkDelay                               func(at int64) int64 // by how much the day held up what nodes, servers and discovery say to one another
}

// Try is one task as it went over the wire to a node.
type Request struct {
	ID       string
	Operation     int // of the plan
	Node     int
	Incarnation     int // of the node
	Class int
	SentAt    int64 // when its last byte was written
	Deadline     int64
	CanceledAt     int64 // when the client went; Never if it stayed
	CrossedAt  int64 // when the node's closing was seen to cross it, and it was sent again; Never if it was not
	ResentAfter     int64 // of a try sent again: when the first was crossed. What was handed off before is not this one's

	AnsweredAt int64 // when the last byte of the answer had come; Never if none did
	Status   int
	Truncated      bool  // the answer had begun and its end is missing, for the client to see
	ClosedAt    int64 // when the connection ended without an answer; Never if it did not
	ForeignBody  bool  // a 200 with a body that no server made for this task
	RetryAfter   int64
	ExtraAt    int64 // when something came after the answer; Never if nothing did
}

// HandOff is one try of a node at a server, as the server saw it.
type Attempt struct {
	Request   string
	Node   int
	Endpoint int // index of the machine
	Incarnation   int // of the server
	Zone   string
	Pod    int

	FirstByteAt, LastByteAt int64 // bytes; Last is Never if the message never became whole
	AnsweredAt    int64 // when the answer was written; Never if none was
	Status      int
	Rejected  bool
	Executed         bool
	Deduplicated    bool  // known by its ticket, so done only once
	ClosedAt      int64 // when its connection was seen to end, by either side; Never if it was not
}

// Told is one entry of the list written to a node.
type ListEntry struct {
	Node, Incarnation, Endpoint int
	State             model.State
	StartedAt            int64
	At                 int64
}

// NodeLife is one process of a node. Excused are the times in which the day itself had killed it outright, held it or
// cut it off, so that it could not answer.
type Process struct {
	Node, Incarnation  int
	StartedAt, EndedAt int64
	Excused     []Span
	Persistent   bool  // it knows what its life before was told, but in that life's last moment
	ReadyAt       int64 // when it first said that it takes requests; Never if it did not
}

// Span is a time from and to, the end not included.
type Span struct{ From, To int64 }

// Excuse adds a time in which nothing can be asked of a node.
func (l *History) Excuse(n *Process, s Span) { l.change(func() { n.Excused = append(n.Excused, s) }) }

// Watch is a time in which a node followed the list, or a call that failed.
type Watch struct {
	Node, Incarnation int
	From, To   int64
	Failed     bool
}

// Listing is a change of the list itself, told or not.
type ListChange struct {
	Endpoint  int
	State  model.State
	At      int64
	StartedAt int64
}

// Outage is a time in which discovery could not be reached: by one node, or by all of them.
type Outage struct {
	Node int // -1: all
	Span
}

// Fall is a cold server that was pushed over.
type Crash struct {
	Endpoint, Incarnation int
	StartedAt      int64
	model.Crash
}

// Cold is a server's life that began cold, with all that came to it until it was warm.
type SlowStart struct {
	Endpoint, Incarnation int
	StartedAt      int64
	MeanWork     float64 // of a request, seconds
	Window       int64
	Arrivals       []model.Arrival
}

// Ledger collects. Its records may be written by any goroutine until Close.
type History struct {
	mu       sync.Mutex
	Requests    []*Request
	Attempts []*Attempt
	Entries     []ListEntry
	Processes    []*Process
	Watches  []*Watch
	ListChanges []ListChange
	Outages  []*Outage
	Crashes    []Crash
	SlowStarts    []SlowStart
	closed   bool
}

// change does one thing to the records, unless the day has been closed.
func (l *History) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		do()
	}
}

// Close ends the record; what comes later is of no account.
func (l *History) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// Sent records a try that a node has taken.
func (l *History) RecordRequest(t *Request) {
	t.CanceledAt, t.CrossedAt, t.AnsweredAt, t.ClosedAt, t.ExtraAt = Never, Never, Never, Never, Never
	l.change(func() { l.Requests = append(l.Requests, t) })
}

// Update changes a record that has been entered.
func (l *History) Update(do func()) { l.change(do) }

// Began records the first byte of a hand-off.
func (l *History) RecordAttempt(h *Attempt) {
	h.LastByteAt, h.AnsweredAt, h.ClosedAt = Never, Never, Never
	l.change(func() { l.Attempts = append(l.Attempts, h) })
}

// Tell records entries of the list as written to a node.
func (l *History) RecordEntries(entries ...ListEntry) {
	l.change(func() { l.Entries = append(l.Entries, entries...) })
}

// List records a change of the list.
func (l *History) RecordListChange(c ListChange) { l.change(func() { l.ListChanges = append(l.ListChanges, c) }) }

// Live records a node's start.
func (l *History) RecordProcess(n *Process) {
	n.EndedAt, n.ReadyAt = Never, Never
	l.change(func() { l.Processes = append(l.Processes, n) })
}

// OutOfReach records that discovery can't be reached from a moment on; its end is set when it comes.
func (l *History) RecordOutage(o *Outage) {
	o.To = Never
	l.change(func() { l.Outages = append(l.Outages, o) })
}

// Watched records the beginning of a watch, or a call that failed.
func (l *History) RecordWatch(w *Watch) { l.change(func() { l.Watches = append(l.Watches, w) }) }

// Fell records a cold server's fall.
func (l *History) RecordCrash(f Crash) { l.change(func() { l.Crashes = append(l.Crashes, f) }) }

// Warmed records a life that began cold, once it has ended.
func (l *History) RecordSlowStart(c SlowStart) {
	if len(c.Arrivals) > 0 {
		l.change(func() { l.SlowStarts = append(l.SlowStarts, c) })
	}
}
