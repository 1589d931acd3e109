package node

// This file owns the loop: the one goroutine that holds the decisions, their clock, their timers and the tasks they
// know of, and that acts as their Host. Events enter one at a time. It must never do I/O or wait for a peer, and it
// decides nothing itself.

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"fawnglade/internal/estimates"
	"fawnglade/internal/timerqueue"
	"fawnglade/policy"
)

const (
	milli  = int64(time.Millisecond)
	second = int64(time.Second)
)

// clock is the system's time at the start plus what has passed since by the monotonic clock, so that no step of the
// system's time reaches the decisions while the list's start times can still be set against it.
type clock struct{ start time.Time }

func (c clock) now() int64 { return c.start.UnixNano() + int64(time.Since(c.start)) }

func (c clock) at(ns int64) time.Time { return c.start.Add(time.Duration(ns - c.start.UnixNano())) }

// listedAs is what the list calls a server, where it is, and what it said of it last.
type listedAs struct {
	name, address string
	policy.EndpointInfo
}

type loop struct {
	node   *Node
	policy *policy.Balancer
	events chan func()
	now    int64
	timers timerqueue.Queue
	tasks  map[policy.RequestID]*exchange
	fleet  map[policy.EndpointID]listedAs
	over   bool // the process is about to end
}

func newLoop(n *Node) *loop {
	l := &loop{node: n, events: make(chan func(), 1024), tasks: map[policy.RequestID]*exchange{},
		fleet: map[policy.EndpointID]listedAs{}}
	l.policy = policy.New(n.settings.Policy, n.config.seed, l)
	return l
}

// enter queues an event; it waits while the queue is full, so it is never called from within the loop.
func (l *loop) enter(event func()) { l.events <- event }

// run handles events until the node ends. Timers that are due go first, as they are older than what is queued.
func (l *loop) run() {
	wake := time.NewTimer(time.Hour)
	for {
		l.now = l.node.clock.now()
		for cookie, due := l.timers.Due(l.now); due; cookie, due = l.timers.Due(l.now) {
			l.handle(nil, func() { l.policy.TimerFired(l.now, cookie) })
		}
		wake.Reset(time.Duration(l.timers.Wait(l.now, int64(time.Hour))))
		select {
		case event := <-l.events:
			l.now = l.node.clock.now()
			l.handle(nil, event)
		case <-wake.C:
		}
	}
}

// handle keeps a panic in the decisions from ending the process: the task at hand is broken off, as nothing is known
// of its hand-offs any more.
func (l *loop) handle(x *exchange, event func()) {
	defer l.node.caught("decisions", func() {
		if x != nil {
			l.finish(x, tasksBrokenOff, answer{status: http.StatusBadGateway})
		}
	})
	event()
}

// arrived takes in a task that the client side has read.
func (l *loop) arrived(x *exchange) {
	if l.tasks[x.task.ID] != nil { // rules are kept by id: a second task under one that is still known would mix the two up
		l.node.counters.add(tasksBad)
		x.settle(answer{status: http.StatusConflict})
		return
	}
	if l.over {
		l.node.counters.add(tasksNoRoom)
		x.settle(l.node.noRoom())
		return
	}
	l.node.counters.add(tasksTaken)
	l.tasks[x.task.ID] = x
	l.handle(x, func() { l.policy.RequestArrived(l.now, x.task) })
}

// giveUp answers whatever still has no answer, and from here on all that comes: the process is about to end, and what it leaves
// without an answer is lost.
func (l *loop) giveUp() {
	l.over = true
	for id, x := range l.tasks {
		c := l.node.settings.Policy.Classes[x.task.Class]
		again := c.Idempotency == policy.IdempotentByKey && c.DedupGroup == policy.DedupFleet
		mayHaveRun := slices.ContainsFunc(x.handOffs, func(h *handOff) bool { return !h.neverRan && !(again && l.now < h.sentAt+c.DedupWindow) })
		if !mayHaveRun || c.Idempotency == policy.Idempotent {
			l.Reject(id, 0)
		} else {
			l.Fail(id)
		}
	}
}

func (l *loop) withdrawn(x *exchange) {
	if l.tasks[x.task.ID] != x || !l.finish(x, tasksWithdrawn, answer{}) {
		return
	}
	l.handle(x, func() { l.policy.ClientGone(l.now, x.task.ID) })
	l.release(x)
}

// broken ends a task whose body its client did not bring whole; it has never run.
func (l *loop) broken(x *exchange) {
	switch err := x.source.failure(); {
	case err == nil || errors.Is(err, errGivenUp): // not the client's doing
	case !bad(err):
		l.withdrawn(x)
	case l.tasks[x.task.ID] == x && l.finish(x, tasksBad, answer{status: statusOf(err)}):
		l.handle(x, func() { l.policy.ClientGone(l.now, x.task.ID) })
		l.release(x)
	}
}

// ended takes the end of a hand-off; each has exactly one.
func (l *loop) ended(h *handOff, r result) {
	x := h.exchange
	if x.half() {
		l.broken(x) // before the decisions hear of it: they would decline what is the client's own fault
	}
	if r.left {
		l.withdrawn(x) // likewise, or they would send it again
	}
	h.neverRan = r.outcome == policy.OutcomeRejected || r.outcome == policy.OutcomeConnectFailed || r.outcome == policy.OutcomeNotSent
	x.open--
	h.stop()
	how := outcomeCounters[r.outcome]
	switch {
	case r.outcome == policy.OutcomeSucceeded:
		l.finish(x, tasksSatisfied, r.answer)
	case r.answer.status != 0:
		how = handOffsFaulted
		l.finish(x, tasksBrokenOff, r.answer)
	}
	l.node.counters.add(how)
	l.handle(x, func() {
		l.policy.AttemptEnded(l.now, policy.AttemptResult{Request: x.task.ID, Attempt: h.number, Endpoint: h.place.server,
			Outcome: r.outcome, Elapsed: max(r.at-h.sentAt-r.flowed, 0), RequestDone: x.settled.Load(), BodyConsumed: x.spent(), NewConnection: r.fresh,
			Report: r.report})
	})
	l.release(x)
}

var outcomeCounters = map[policy.Outcome]counter{
	policy.OutcomeSucceeded: handOffsSatisfied, policy.OutcomeError: handOffsError, policy.OutcomeRejected: handOffsFull,
	policy.OutcomeTimedOut: handOffsTimedOut, policy.OutcomeConnectFailed: handOffsUnreached, policy.OutcomeReset: handOffsReset,
	policy.OutcomeCanceled: handOffsRecalled, policy.OutcomeNotSent: handOffsNeverSent, policy.OutcomeUnknown: handOffsReset,
}

// mostKept bounds the servers that stay known where being left out of the list binds nothing.
const mostKept = 8192

// listSlice is how many lines of the list are taken in at a time, or a listPart of it: each slice costs a pass over all servers
// besides, so that many of them cost far more than they hold tasks up the less.
const (
	listSlice = 512
	listPart  = 32
)

// enterList enters a list in slices, with tasks in between: one of thousands of lines would hold them all up. Who is not
// on a whole list comes last, so that until then nobody is taken off who is on it.
func (l *loop) enterList(entries []entry, whole bool) {
	size := max(listSlice, len(entries)/listPart)
	for rest := entries; len(rest) > 0 || !whole; {
		slice := rest[:min(size, len(rest))]
		rest = rest[len(slice):]
		l.enter(func() { l.listed(slice, false) })
		if len(rest) == 0 {
			break
		}
	}
	if whole {
		l.enter(func() { l.absent(entries) })
	}
}

// absent takes off whoever is not on a whole list.
func (l *loop) absent(entries []entry) {
	told := make(map[policy.EndpointID]bool, len(entries))
	for _, e := range entries {
		told[e.ID] = true
	}
	var gone []entry
	for id, as := range l.fleet {
		if !told[id] {
			gone = append(gone, entry{EndpointInfo: policy.EndpointInfo{ID: id, State: policy.StateRemoved}, name: as.name, address: as.address})
		}
	}
	slices.SortFunc(gone, func(a, b entry) int { return cmp.Compare(a.ID, b.ID) })
	l.listed(gone, false)
}

// listed takes in the list or what changed in it. Connections to a server that is no longer wanted are given up.
func (l *loop) listed(entries []entry, whole bool) {
	l.node.orders.tell(names(entries)...)
	l.take(l.node.orders.over(entries, whole), whole)
}

// ordered takes in what operators have changed by hand.
func (l *loop) ordered() { l.take(l.node.orders.changed(), false) }

func names(entries []entry) []string {
	list := make([]string, len(entries))
	for i, e := range entries {
		list[i] = e.name
	}
	return list
}

// take takes in entries as the decisions are to see them.
func (l *loop) take(entries []entry, whole bool) {
	list := make([]policy.EndpointInfo, 0, len(entries))
	for _, e := range entries {
		old, known := l.fleet[e.ID]
		if known && e.State == policy.StateRemoved { // who is left out or only called removed stands where it stood, and started when it did
			e.EndpointInfo = old.EndpointInfo
			e.State = policy.StateRemoved
		}
		list = append(list, e.EndpointInfo)
		if e.State == policy.StateRemoved && l.node.settings.Policy.RemovedMayServe && len(l.fleet) <= mostKept {
			continue // it may still be sent to: what it is called and where it is stays known, and its connections open
		}
		l.node.servers.listed(e.ID, e.address, e.State == policy.StateActive)
		if old.address != "" && (old.address != e.address || e.State != policy.StateActive || e.StartedAt > old.StartedAt) {
			go l.node.servers.forget(place{e.ID, old.address})
		}
		if e.State == policy.StateRemoved {
			delete(l.fleet, e.ID)
		} else if e.address != "" {
			l.fleet[e.ID] = listedAs{e.name, e.address, e.EndpointInfo}
		}
	}
	l.handle(nil, func() { l.policy.EndpointsUpdated(l.now, list, whole) })
}

func (l *loop) listFailed() { l.handle(nil, func() { l.policy.WatchFailed(l.now) }) }

// finish gives the task its answer, unless it has one.
func (l *loop) finish(x *exchange, how counter, a answer) bool {
	if !x.settle(a) {
		return false
	}
	l.node.counters.add(how)
	l.release(x)
	return true
}

// release forgets a task once it has its answer and nothing is out for it.
func (l *loop) release(x *exchange) {
	if x.open == 0 && x.settled.Load() && l.tasks[x.task.ID] == x {
		delete(l.tasks, x.task.ID)
	}
}

// HandOff, Recall, Decline, BreakOff, WakeAt and Subscribe make the loop the decisions' Host.
func (l *loop) Send(id policy.RequestID, server policy.EndpointID, timeOut int64) {
	x := l.tasks[id]
	if x == nil {
		return
	}
	h := &handOff{exchange: x, number: len(x.handOffs), place: place{server, l.fleet[server].address}, sentAt: l.now}
	h.limit = min(l.now+timeOut, x.task.Deadline)
	if c := l.node.settings.Policy.Classes[x.task.Class]; c.Idempotency == policy.IdempotentByKey {
		for _, earlier := range x.handOffs {
			if !earlier.neverRan { // what may have run is remembered from then on, and this one has to come before that ends
				h.before = min(cmp.Or(h.before, earlier.sentAt+c.DedupWindow), earlier.sentAt+c.DedupWindow)
			}
		}
	}
	x.handOffs = append(x.handOffs, h)
	x.open++
	if x.settled.Load() { // against decisions that a panic has left without the end of this task
		go l.enter(func() { l.ended(h, result{outcome: policy.OutcomeNotSent, report: reportOf(""), at: h.sentAt}) })
		return
	}
	l.node.counters.add(handOffsSent)
	l.node.servers.begin(h)
}

func (l *loop) Cancel(id policy.RequestID, number int) {
	if x := l.tasks[id]; x != nil && number < len(x.handOffs) {
		x.handOffs[number].stop()
	}
}

func (l *loop) Reject(id policy.RequestID, comeBackIn int64) {
	if x := l.tasks[id]; x != nil {
		l.finish(x, tasksDeclined, answer{status: http.StatusServiceUnavailable, advice: comeBackIn})
	}
}

func (l *loop) Fail(id policy.RequestID) {
	if x := l.tasks[id]; x != nil {
		l.finish(x, tasksBrokenOff, answer{status: http.StatusBadGateway})
	}
}

func (l *loop) SetTimer(at int64, cookie uint64) { l.timers.Set(at, cookie) }

func (l *loop) WatchEndpoints() { l.node.discovery.call() }

// Release closes what is idle to a server; the loop does not wait for it.
func (l *loop) CloseIdle(server policy.EndpointID) {
	if address := l.fleet[server].address; address != "" {
		go l.node.servers.forget(place{server, address})
	}
}

// Tell passes news on to the peers.
func (l *loop) Gossip(n policy.GossipMessage) { l.node.peers.tell(n) }

// Probe has a server asked for its load.
func (l *loop) CheckHealth(server policy.EndpointID) {
	if address := l.fleet[server].address; address != "" {
		l.node.servers.probe(place{server, address})
	}
}

// learned is what the decisions have learned, for the process that comes after this one.
func (l *loop) learned() json.RawMessage {
	text, err := json.Marshal(l.policy.Estimates())
	if err != nil {
		l.node.log.Warn("what was learned can't be told", zap.Error(err))
	}
	return text
}

// inherit begins with what the decisions of the process before had learned, if that makes sense.
func (l *loop) inherit(text json.RawMessage) {
	var all estimates.Snapshot
	if err := json.Unmarshal(text, &all); err != nil || !all.Valid(len(l.node.settings.Classes)) {
		l.node.counters.add(handoversPassedOver)
		l.node.log.Warn("what the process before had learned passed over", zap.Error(err))
		return
	}
	l.handle(nil, func() { l.policy.Inherit(&all) })
}

func (l *loop) probed(server policy.EndpointID, outcome policy.Outcome, report policy.LoadReport) {
	l.handle(nil, func() { l.policy.HealthChecked(l.now, server, outcome, report) })
}

func (l *loop) told(n policy.GossipMessage) {
	l.handle(nil, func() { l.policy.GossipReceived(l.now, n) })
}
