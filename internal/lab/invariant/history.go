// Package invariant checks the rules that nodes are held to, by a history of what passed on the sockets of a run. Nothing
// that a node reports of itself counts, but that it is ready: logs and counters of the checked program are no evidence.
// Times are nanoseconds since the beginning of the run.
//
// The rules: 1, one response in time and no attempt after it; 2, no request runs twice that must not; 3, nothing new for
// an endpoint that drains; 4, no endpoint in slow start is overloaded until it crashes; 5, restarted nodes are ready in
// time. What cannot be seen for certain counts in favour of the node.
package invariant

import (
	"sync"

	"fawnglade/internal/lab/model"
)

// Never is a time that did not come.
const Never = model.Never

// Request is one request of a client as it went over the wire to a node.
type Request struct {
	ID          string
	Operation   int // index in the plan
	Node        int
	Incarnation int // of the node
	Class       int
	SentAt      int64 // its last byte was written
	Deadline    int64
	CanceledAt  int64 // the client closed its connection or canceled; Never if it stayed
	CloseRaceAt int64 // the node's closing was seen to cross it, and the client sent it again; Never if not
	ResentAfter int64 // of a request sent again: when the first was crossed. Earlier attempts are not this one's

	AnsweredAt  int64 // the last byte of the response had come; Never if it did not
	Status      int
	Truncated   bool  // the response had begun and its end is missing, so that the client can tell
	ClosedAt    int64 // the connection ended without a response; Never if it did not
	ForeignBody bool  // a 200 with a body that no endpoint made for this request
	RetryAfter  int64
	ExtraAt     int64 // something came after the response; Never if nothing did
}

// Attempt is one attempt of a node at an endpoint, as the endpoint saw it.
type Attempt struct {
	Request     string // ID of the request
	Node        int
	Endpoint    int // index of the machine
	Incarnation int // of the endpoint
	Zone        string
	Pod         int

	FirstByteAt, LastByteAt int64 // LastByteAt is Never if the message was never complete
	AnsweredAt              int64 // the response was written; Never if there was none
	Status                  int
	Rejected                bool
	Executed                bool
	Deduplicated            bool  // its key was known, so it was not executed again
	ClosedAt                int64 // its connection was seen to end, by either side; Never if it was not
}

// ListEntry is one entry of the endpoint list as written to a node.
type ListEntry struct {
	Node, Incarnation, Endpoint int
	State                       model.State
	StartedAt                   int64 // of the endpoint
	At                          int64
}

// ListChange is a change of the endpoint list itself, whether or not a node received it.
type ListChange struct {
	Endpoint  int
	State     model.State
	At        int64
	StartedAt int64 // of the endpoint
}

// Process is one process of a node.
type Process struct {
	Node, Incarnation  int
	StartedAt, EndedAt int64
	Excused            []Interval // the run itself had killed, paused or cut it off, so that it could not answer
	Persistent         bool       // it knows the list of its predecessor, but for that one's last moment
	ReadyAt            int64      // it first reported that it is ready; Never if it did not
}

// Span is a time from and to, the end not included.
type Interval struct{ From, To int64 }

// Watch is a time in which a node watched the endpoint list, or a call that failed.
type Watch struct {
	Node, Incarnation int
	From, To          int64
	Failed            bool
}

// AllNodes as the node of an Outage stands for every node.
const AllNodes = -1

// Outage is a time in which discovery could not be reached by one node, or by AllNodes.
type Outage struct {
	Node int
	Interval
}

// Crash is an endpoint in slow start that was overloaded until it crashed.
type Crash struct {
	Endpoint, Incarnation int
	StartedAt             int64 // of the endpoint
	model.Crash
}

// SlowStart is an incarnation of an endpoint that began in slow start, with the work that arrived until it was warm.
type SlowStart struct {
	Endpoint, Incarnation int
	StartedAt             int64
	MeanWork              float64 // of a request, seconds
	Window                int64   // of the budget
	Arrivals              []model.Arrival
}

// History collects the records of a run. Its methods may be called by any goroutine; the fields may be read once it is
// closed.
type History struct {
	mu          sync.Mutex
	Requests    []*Request
	Attempts    []*Attempt
	Entries     []ListEntry
	Processes   []*Process
	Watches     []*Watch
	ListChanges []ListChange
	Outages     []*Outage
	Crashes     []Crash
	SlowStarts  []SlowStart
	closed      bool
}

// Update changes a record that has been entered; it does nothing once the history is closed.
func (h *History) Update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		change()
	}
}

// Close ends the history; later records are dropped.
func (h *History) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// RecordRequest records a request that a node has read.
func (h *History) RecordRequest(r *Request) {
	r.CanceledAt, r.CloseRaceAt, r.AnsweredAt, r.ClosedAt, r.ExtraAt = Never, Never, Never, Never, Never
	h.Update(func() { h.Requests = append(h.Requests, r) })
}

// RecordAttempt records the first byte of an attempt.
func (h *History) RecordAttempt(a *Attempt) {
	a.LastByteAt, a.AnsweredAt, a.ClosedAt = Never, Never, Never
	h.Update(func() { h.Attempts = append(h.Attempts, a) })
}

// RecordEntries records entries of the endpoint list as written to a node.
func (h *History) RecordEntries(entries ...ListEntry) {
	h.Update(func() { h.Entries = append(h.Entries, entries...) })
}

// RecordListChange records a change of the endpoint list.
func (h *History) RecordListChange(c ListChange) {
	h.Update(func() { h.ListChanges = append(h.ListChanges, c) })
}

// RecordProcess records the start of a node's process.
func (h *History) RecordProcess(p *Process) {
	p.EndedAt, p.ReadyAt = Never, Never
	h.Update(func() { h.Processes = append(h.Processes, p) })
}

// Excuse adds a time in which nothing can be required of a process.
func (h *History) Excuse(p *Process, s Interval) {
	h.Update(func() { p.Excused = append(p.Excused, s) })
}

// RecordOutage records that discovery cannot be reached from a moment on; its end is set when it comes.
func (h *History) RecordOutage(o *Outage) {
	o.To = Never
	h.Update(func() { h.Outages = append(h.Outages, o) })
}

// RecordWatch records the beginning of a watch, or a call that failed.
func (h *History) RecordWatch(w *Watch) {
	h.Update(func() { h.Watches = append(h.Watches, w) })
}

// RecordCrash records an endpoint's crash.
func (h *History) RecordCrash(c Crash) {
	h.Update(func() { h.Crashes = append(h.Crashes, c) })
}

// RecordSlowStart records an incarnation that began in slow start, once it is warm or has ended.
func (h *History) RecordSlowStart(s SlowStart) {
	if len(s.Arrivals) > 0 {
		h.Update(func() { h.SlowStarts = append(h.SlowStarts, s) })
	}
}
