// Package invariant checks that nodes keep the rules, from a history of what was observed on the sockets of a run. Logs
// and counters of the checked program are no evidence; the only report of a node that counts is its readiness. Times
// are nanoseconds since the start of the run.
//
// The rules: 1, one response in time and no attempt after it; 2, no request that must run once runs twice; 3, no new
// attempt at a draining endpoint; 4, no endpoint in slow start is overloaded until it crashes; 5, restarted nodes are
// ready in time. Where the observations leave doubt, the node is given the benefit of it.
package invariant

import (
	"sync"

	"fawnglade/internal/lab/model"
)

// Never is the time of an event that did not happen.
const Never = model.Never

// Request is one request of a client, as sent over the wire to a node.
type Request struct {
	ID          string
	Operation   int // index in the plan
	Node        int
	Incarnation int // of the node
	Class       int
	SentAt      int64 // when its last byte was written
	Deadline    int64
	CanceledAt  int64 // when the client closed its connection or canceled; Never if it did not
	CloseRaceAt int64 // the node closed the connection while the request was sent; the client resent it; Never if not
	ResentAfter int64 // of a resent request: CloseRaceAt of its first transmission, to which earlier attempts belong

	AnsweredAt  int64 // when the last byte of the response was received; Never if it was not
	Status      int
	Truncated   bool  // the response ended early in a way that the client can detect
	ClosedAt    int64 // when the connection ended without a response; Never if it did not
	ForeignBody bool  // a 200 whose body no endpoint generated for this request
	RetryAfter  int64
	ExtraAt     int64 // when further data was received after the response; Never if none was
}

// Attempt is one attempt of a node at an endpoint, as the endpoint saw it.
type Attempt struct {
	Request     string // ID of the request
	Node        int
	Endpoint    int // index of the machine
	Incarnation int // of the endpoint
	Zone        string
	Pod         int

	FirstByteAt, LastByteAt int64 // LastByteAt is Never if the request was never received completely
	AnsweredAt              int64 // when the response was written; Never if it was not
	Status                  int
	Rejected                bool
	Executed                bool
	Deduplicated            bool  // its idempotency key was known, so it was not executed again
	ClosedAt                int64 // when the endpoint saw the connection end, by either side; Never if not
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
	Excused            []Interval // when the run itself killed, paused or disconnected it, so that it could not respond
	Persistent         bool       // restores the list that its predecessor knew persistDelay before its end
	ReadyAt            int64      // when it first reported that it is ready; Never if it did not
}

// Interval is a time interval that excludes its end.
type Interval struct{ From, To int64 }

// Watch is a time during which a node watched the endpoint list, or a call that failed.
type Watch struct {
	Node, Incarnation int
	From, To          int64
	Failed            bool
}

// AllNodes is the Node of an Outage that affects every node.
const AllNodes = -1

// Outage is a time during which discovery was unreachable for one node, or for AllNodes.
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

// SlowStart is an incarnation of an endpoint that began in slow start, with the work that arrived until slow start
// ended.
type SlowStart struct {
	Endpoint, Incarnation int
	StartedAt             int64
	MeanWork              float64 // of a request, seconds
	Window                int64   // over which the budget is counted, nanoseconds
	Arrivals              []model.Arrival
}

// History collects the records of a run. Its methods may be called concurrently; the fields may be read only after
// Close.
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

// Update calls change, which may modify recorded entries, under the history's lock; after Close it does nothing.
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

// RecordRequest records a request that was sent to a node.
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

// Excuse adds an interval during which a process is exempt from the rules.
func (h *History) Excuse(p *Process, s Interval) {
	h.Update(func() { p.Excused = append(p.Excused, s) })
}

// RecordOutage records the start of an outage of discovery; the caller sets its end with Update.
func (h *History) RecordOutage(o *Outage) {
	o.To = Never
	h.Update(func() { h.Outages = append(h.Outages, o) })
}

// RecordWatch records the start of a watch, or a call that failed.
func (h *History) RecordWatch(w *Watch) {
	h.Update(func() { h.Watches = append(h.Watches, w) })
}

// RecordCrash records an endpoint's crash.
func (h *History) RecordCrash(c Crash) {
	h.Update(func() { h.Crashes = append(h.Crashes, c) })
}

// RecordSlowStart records an incarnation that began in slow start; it is called when slow start or the incarnation
// ends.
func (h *History) RecordSlowStart(s SlowStart) {
	if len(s.Arrivals) > 0 {
		h.Update(func() { h.SlowStarts = append(h.SlowStarts, s) })
	}
}
