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
type Repeat int

const (
	Rerunnable Repeat = iota
	Ticketed
	Exclusive
)

// Group is the servers that share the memory of a ticketed task.
type Group int

const (
	WholeFleet Group = iota
	SameZone
	SamePod
)

// Category is what the judge needs to know of one.
type Category struct {
	Name   string
	Repeat Repeat
	Group  Group
	Memory int64
}

// Rules are the figures that nodes are held to.
type Rules struct {
	StopSending, AskWithin, AnswerGrace int64
	MayDuplicate                        bool
	ToldWithin                          int64                // a change counts as told so long after discovery had it and could be reached; 0: not judged
	GoneWithin                          int64                // an attempt that begins so long after its client closed is one too late; 0: not judged
	ReadyWithin, ReadyShort             int64                // for processes started again, the second where the day ends before the first; 0: not judged
	End                                 int64                // of the day
	ByOthers                            bool                 // nodes may hear the list from one another
	Slack                               int64                // that every time limit is longer on sockets
	Late                                func(at int64) int64 // how late the rig itself ran round a moment
	OnWay                               func(at int64) int64 // by how much the day held up what nodes, servers and discovery say to one another
}

// Try is one task as it went over the wire to a node.
type Try struct {
	ID       string
	Task     int // of the plan
	Node     int
	Life     int // of the node
	Category int
	Whole    int64 // when its last byte was written
	Hard     int64
	Left     int64 // when the client went; Never if it stayed
	Crossed  int64 // when the node's closing was seen to cross it, and it was sent again; Never if it was not
	From     int64 // of a try sent again: when the first was crossed. What was handed off before is not this one's

	Answered int64 // when the last byte of the answer had come; Never if none did
	Status   int
	Cut      bool  // the answer had begun and its end is missing, for the client to see
	Ended    int64 // when the connection ended without an answer; Never if it did not
	Foreign  bool  // a 200 with a body that no server made for this task
	Advice   int64
	Extra    int64 // when something came after the answer; Never if nothing did
}

// HandOff is one try of a node at a server, as the server saw it.
type HandOff struct {
	Task   string
	Node   int
	Server int // index of the machine
	Life   int // of the server
	Zone   string
	Pod    int

	First, Last int64 // bytes; Last is Never if the message never became whole
	Answered    int64 // when the answer was written; Never if none was
	Status      int
	TurnedAway  bool
	Ran         bool
	Repeated    bool  // known by its ticket, so done only once
	Closed      int64 // when its connection was seen to end, by either side; Never if it was not
}

// Told is one entry of the list written to a node.
type Told struct {
	Node, Life, Server int
	Health             model.Health
	Started            int64
	At                 int64
}

// NodeLife is one process of a node. Excused are the times in which the day itself had killed it outright, held it or
// cut it off, so that it could not answer.
type NodeLife struct {
	Node, Life  int
	From, Until int64
	Excused     []Span
	Remembers   bool  // it knows what its life before was told, but in that life's last moment
	Ready       int64 // when it first said that it takes requests; Never if it did not
}

// Span is a time from and to, the end not included.
type Span struct{ From, To int64 }

// Excuse adds a time in which nothing can be asked of a node.
func (l *Ledger) Excuse(n *NodeLife, s Span) { l.change(func() { n.Excused = append(n.Excused, s) }) }

// Watch is a time in which a node followed the list, or a call that failed.
type Watch struct {
	Node, Life int
	From, To   int64
	Failed     bool
}

// Listing is a change of the list itself, told or not.
type Listing struct {
	Server  int
	Health  model.Health
	At      int64
	Started int64
}

// Outage is a time in which discovery could not be reached: by one node, or by all of them.
type Outage struct {
	Node int // -1: all
	Span
}

// Fall is a cold server that was pushed over.
type Fall struct {
	Server, Life int
	Started      int64
	model.Fall
}

// Cold is a server's life that began cold, with all that came to it until it was warm.
type Cold struct {
	Server, Life int
	Started      int64
	MeanWork     float64 // of a request, seconds
	Window       int64
	Pushes       []model.Push
}

// Ledger collects. Its records may be written by any goroutine until Close.
type Ledger struct {
	mu       sync.Mutex
	Tries    []*Try
	HandOffs []*HandOff
	Told     []Told
	Lives    []*NodeLife
	Watches  []*Watch
	Listings []Listing
	Outages  []*Outage
	Falls    []Fall
	Colds    []Cold
	closed   bool
}

// change does one thing to the records, unless the day has been closed.
func (l *Ledger) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		do()
	}
}

// Close ends the record; what comes later is of no account.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// Sent records a try that a node has taken.
func (l *Ledger) Sent(t *Try) {
	t.Left, t.Crossed, t.Answered, t.Ended, t.Extra = Never, Never, Never, Never, Never
	l.change(func() { l.Tries = append(l.Tries, t) })
}

// Update changes a record that has been entered.
func (l *Ledger) Update(do func()) { l.change(do) }

// Began records the first byte of a hand-off.
func (l *Ledger) Began(h *HandOff) {
	h.Last, h.Answered, h.Closed = Never, Never, Never
	l.change(func() { l.HandOffs = append(l.HandOffs, h) })
}

// Tell records entries of the list as written to a node.
func (l *Ledger) Tell(entries ...Told) {
	l.change(func() { l.Told = append(l.Told, entries...) })
}

// List records a change of the list.
func (l *Ledger) List(c Listing) { l.change(func() { l.Listings = append(l.Listings, c) }) }

// Live records a node's start.
func (l *Ledger) Live(n *NodeLife) {
	n.Until, n.Ready = Never, Never
	l.change(func() { l.Lives = append(l.Lives, n) })
}

// OutOfReach records that discovery can't be reached from a moment on; its end is set when it comes.
func (l *Ledger) OutOfReach(o *Outage) {
	o.To = Never
	l.change(func() { l.Outages = append(l.Outages, o) })
}

// Watched records the beginning of a watch, or a call that failed.
func (l *Ledger) Watched(w *Watch) { l.change(func() { l.Watches = append(l.Watches, w) }) }

// Fell records a cold server's fall.
func (l *Ledger) Fell(f Fall) { l.change(func() { l.Falls = append(l.Falls, f) }) }

// Warmed records a life that began cold, once it has ended.
func (l *Ledger) Warmed(c Cold) {
	if len(c.Pushes) > 0 {
		l.change(func() { l.Colds = append(l.Colds, c) })
	}
}
