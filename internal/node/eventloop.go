package node

// This file owns the loop: the one goroutine that holds the decisions, their clock, their timers and the requests they
// know of, and that acts as their Host. Events enter one at a time. It must never do I/O or wait for a peer, and it
// decides nothing itself.

import (
	"cmp"
	"encoding/json"
	"errors"
	"fawnglade/internal/estimates"
	"fawnglade/internal/timerqueue"
	"fawnglade/policy"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	milli  = int64(time.Millisecond)
	second = int64(time.Second)
)

// clock is the system's time at the start plus what has passed since by the monotonic clock, so that no step of the
// system's time reaches the decisions while the list's start times can still be set against it.
type clock struct{ start time.Time }

func (c clock) now() policy.Time { return policy.Time(c.start.UnixNano()).Add(time.Since(c.start)) }

// nanos is now for packages that count in nanoseconds.
func (c clock) nanos() int64 { return int64(c.now()) }

func (c clock) at(t policy.Time) time.Time {
	return c.start.Add(t.Sub(policy.Time(c.start.UnixNano())))
}

// knownEndpoint is what the list calls a server, where it is, and what it said of it last.
type knownEndpoint struct {
	name, address string
	policy.EndpointInfo
}

type eventLoop struct {
	node      *Node
	balancer  *policy.Balancer
	events    chan func()
	now       policy.Time
	timers    timerqueue.Queue
	requests  map[policy.RequestID]*pendingRequest
	endpoints map[policy.EndpointID]knownEndpoint
	stopping  bool // the process is about to end
}

func newEventLoop(n *Node) *eventLoop {
	l := &eventLoop{
		node: n, events: make(chan func(), 1024), requests: map[policy.RequestID]*pendingRequest{},
		endpoints: map[policy.EndpointID]knownEndpoint{},
	}
	l.balancer = policy.New(n.settings.Policy, n.config.seed, l)
	return l
}

// post queues an event; it waits while the queue is full, so it is never called from within the loop.
func (l *eventLoop) post(event func()) { l.events <- event }

// run handles events until the node ends. Timers that are due go first, as they are older than what is queued.
func (l *eventLoop) run() {
	wake := time.NewTimer(time.Hour)
	for {
		l.now = l.node.clock.now()
		for cookie, due := l.timers.Due(int64(l.now)); due; cookie, due = l.timers.Due(int64(l.now)) {
			l.handle(nil, func() { l.balancer.TimerFired(l.now, cookie) })
		}
		wake.Reset(time.Duration(l.timers.Wait(int64(l.now), int64(time.Hour))))
		select {
		case event := <-l.events:
			l.now = l.node.clock.now()
			l.handle(nil, event)
		case <-wake.C:
		}
	}
}

// handle keeps a panic in the decisions from ending the process: the request at hand is failed, as nothing is known
// of its attempts any more.
func (l *eventLoop) handle(x *pendingRequest, event func()) {
	defer l.node.recoverPanic("decisions", func() {
		if x != nil {
			l.finish(x, requestsFailed, response{status: http.StatusBadGateway})
		}
	})
	event()
}

// requestArrived takes in a request that the client side has read.
func (l *eventLoop) requestArrived(x *pendingRequest) {
	if l.requests[x.request.ID] != nil { // rules are kept by id: a second request under one that is still known would mix the two up
		l.node.counters.add(requestsMalformed)
		x.answer(response{status: http.StatusConflict})
		return
	}
	if l.stopping {
		l.node.counters.add(requestsOverCapacity)
		x.answer(l.node.overCapacity())
		return
	}
	l.node.counters.add(requestsAccepted)
	l.requests[x.request.ID] = x
	l.handle(x, func() { l.balancer.RequestArrived(l.now, x.request) })
}

// giveUpAll answers whatever still has no answer, and from here on all that comes: the process is about to end, and what it leaves
// without an answer is lost.
func (l *eventLoop) giveUpAll() {
	l.stopping = true
	for id, x := range l.requests {
		class := &l.node.settings.Policy.Classes[x.request.Class]
		if policy.MayReject(class, l.now, x.attempts, ranSince) {
			l.Reject(id, 0)
		} else {
			l.Fail(id)
		}
	}
}

// ranSince returns when an attempt was sent, and whether it may have run.
func ranSince(a **attempt) (sentAt policy.Time, mayHaveRun bool) {
	return (*a).sentAt, !(*a).neverRan
}

func (l *eventLoop) clientGone(x *pendingRequest) {
	if l.requests[x.request.ID] != x || !l.finish(x, requestsCanceled, response{}) {
		return
	}
	l.handle(x, func() { l.balancer.ClientGone(l.now, x.request.ID) })
	l.release(x)
}

// bodyBroken ends a request whose body its client did not bring whole; it has never run.
func (l *eventLoop) bodyBroken(x *pendingRequest) {
	switch err := x.source.failure(); {
	case err == nil || errors.Is(err, errBodyAbandoned): // not the client's doing
	case !isMalformed(err):
		l.clientGone(x)
	case l.requests[x.request.ID] == x && l.finish(x, requestsMalformed, response{status: statusFor(err)}):
		l.handle(x, func() { l.balancer.ClientGone(l.now, x.request.ID) })
		l.release(x)
	}
}

// attemptEnded takes the end of an attempt; each has exactly one.
func (l *eventLoop) attemptEnded(h *attempt, r attemptResult) {
	x := h.request
	if x.bodyIncomplete() {
		l.bodyBroken(x) // before the decisions hear of it: they would reject what is the client's own fault
	}
	if r.clientGone {
		l.clientGone(x) // likewise, or they would send it again
	}
	h.neverRan = r.outcome == policy.OutcomeRejected || r.outcome == policy.OutcomeConnectFailed || r.outcome == policy.OutcomeNotSent
	x.inFlight--
	h.cancel()
	how := outcomeCounters[r.outcome]
	switch {
	case r.outcome == policy.OutcomeSucceeded:
		l.finish(x, requestsSucceeded, r.response)
	case r.response.status != 0:
		how = attemptsRequestFault
		l.finish(x, requestsFailed, r.response)
	}
	l.node.counters.add(how)
	l.handle(x, func() {
		l.balancer.AttemptEnded(l.now, policy.AttemptResult{
			Request: x.request.ID, Attempt: h.number, Endpoint: h.target.endpoint,
			Outcome: r.outcome, Elapsed: max(r.endedAt.Sub(h.sentAt)-r.uploadTime, 0), RequestDone: x.answered.Load(), BodyConsumed: x.bodyConsumed(), NewConnection: r.newConnection,
			Report: r.report,
		})
	})
	l.release(x)
}

var outcomeCounters = map[policy.Outcome]counter{
	policy.OutcomeSucceeded: attemptsSucceeded, policy.OutcomeError: attemptsErrored, policy.OutcomeRejected: attemptsRejected,
	policy.OutcomeTimedOut: attemptsTimedOut, policy.OutcomeConnectFailed: attemptsConnectFailed, policy.OutcomeReset: attemptsReset,
	policy.OutcomeCanceled: attemptsCanceled, policy.OutcomeNotSent: attemptsNotSent, policy.OutcomeUnknown: attemptsReset,
}

// maxRemovedKept bounds the servers that stay known where being left out of the list binds nothing.
const maxRemovedKept = 8192

// listSlice is how many lines of the list are taken in at a time, or a listPart of it: each slice costs a pass over all servers
// besides, so that many of them cost far more than they hold requests up the less.
const (
	listSlice = 512
	listPart  = 32
)

// postList enters a list in slices, with requests in between: one of thousands of lines would hold them all up. Who is not
// on a whole list comes last, so that until then nobody is taken off who is on it.
func (l *eventLoop) postList(entries []endpointEntry, whole bool) {
	size := max(listSlice, len(entries)/listPart)
	for rest := entries; len(rest) > 0 || !whole; {
		slice := rest[:min(size, len(rest))]
		rest = rest[len(slice):]
		l.post(func() { l.listUpdated(slice, false) })
		if len(rest) == 0 {
			break
		}
	}
	if whole {
		l.post(func() { l.removeAbsent(entries) })
	}
}

// removeAbsent takes off whoever is not on a whole list.
func (l *eventLoop) removeAbsent(entries []endpointEntry) {
	told := make(map[policy.EndpointID]bool, len(entries))
	for _, e := range entries {
		told[e.ID] = true
	}
	var gone []endpointEntry
	for id, as := range l.endpoints {
		if !told[id] {
			gone = append(gone, endpointEntry{EndpointInfo: policy.EndpointInfo{ID: id, State: policy.StateRemoved}, name: as.name, address: as.address})
		}
	}
	slices.SortFunc(gone, func(a, b endpointEntry) int { return cmp.Compare(a.ID, b.ID) })
	l.listUpdated(gone, false)
}

// listUpdated takes in the list or what changed in it. Connections to a server that is no longer wanted are given up.
func (l *eventLoop) listUpdated(entries []endpointEntry, whole bool) {
	l.node.overrides.rememberNames(names(entries)...)
	l.apply(l.node.overrides.apply(entries, whole), whole)
}

// overridesChanged takes in what operators have changed by hand.
func (l *eventLoop) overridesChanged() { l.apply(l.node.overrides.changedEntries(), false) }

func names(entries []endpointEntry) []string {
	list := make([]string, len(entries))
	for i, e := range entries {
		list[i] = e.name
	}
	return list
}

// apply takes in entries as the decisions are to see them.
func (l *eventLoop) apply(entries []endpointEntry, whole bool) {
	list := make([]policy.EndpointInfo, 0, len(entries))
	for _, e := range entries {
		old, known := l.endpoints[e.ID]
		if known && e.State == policy.StateRemoved { // who is left out or only called removed stands where it stood, and started when it did
			e.EndpointInfo = old.EndpointInfo
			e.State = policy.StateRemoved
		}
		list = append(list, e.EndpointInfo)
		if e.State == policy.StateRemoved && l.node.settings.Policy.RemovedMayServe && len(l.endpoints) <= maxRemovedKept {
			continue // it may still be sent to: what it is called and where it is stays known, and its connections open
		}
		l.node.upstreams.setAddress(e.ID, e.address, e.State == policy.StateActive)
		if old.address != "" && (old.address != e.address || e.State != policy.StateActive || e.StartedAt > old.StartedAt) {
			go l.node.upstreams.closeIdle(upstreamTarget{e.ID, old.address})
		}
		if e.State == policy.StateRemoved {
			delete(l.endpoints, e.ID)
		} else if e.address != "" {
			l.endpoints[e.ID] = knownEndpoint{e.name, e.address, e.EndpointInfo}
		}
	}
	l.handle(nil, func() { l.balancer.EndpointsUpdated(l.now, list, whole) })
}

func (l *eventLoop) watchFailed() { l.handle(nil, func() { l.balancer.WatchFailed(l.now) }) }

// finish gives the request its answer, unless it has one.
func (l *eventLoop) finish(x *pendingRequest, how counter, a response) bool {
	if !x.answer(a) {
		return false
	}
	l.node.counters.add(how)
	l.release(x)
	return true
}

// release forgets a request once it has its answer and nothing is out for it.
func (l *eventLoop) release(x *pendingRequest) {
	if x.inFlight == 0 && x.answered.Load() && l.requests[x.request.ID] == x {
		delete(l.requests, x.request.ID)
	}
}

// HandOff, Recall, Reject, BreakOff, WakeAt and Subscribe make the loop the decisions' Host.
func (l *eventLoop) Send(id policy.RequestID, server policy.EndpointID, timeOut time.Duration) {
	x := l.requests[id]
	if x == nil {
		return
	}
	h := &attempt{request: x, number: len(x.attempts), target: upstreamTarget{server, l.endpoints[server].address}, sentAt: l.now}
	h.deadline = min(l.now.Add(timeOut), x.request.Deadline)
	if c := l.node.settings.Policy.Classes[x.request.Class]; c.Idempotency == policy.IdempotentByKey {
		for _, earlier := range x.attempts {
			if !earlier.neverRan { // what may have run is remembered from then on, and this one has to come before that ends
				h.dedupDeadline = min(cmp.Or(h.dedupDeadline, earlier.sentAt.Add(c.DedupWindow)), earlier.sentAt.Add(c.DedupWindow))
			}
		}
	}
	x.attempts = append(x.attempts, h)
	x.inFlight++
	if x.answered.Load() { // against decisions that a panic has left without the end of this request
		go l.post(func() {
			l.attemptEnded(h, attemptResult{outcome: policy.OutcomeNotSent, report: parseLoadReport(""), endedAt: h.sentAt})
		})
		return
	}
	l.node.counters.add(attemptsSent)
	l.node.upstreams.start(h)
}

func (l *eventLoop) Cancel(id policy.RequestID, number int) {
	if x := l.requests[id]; x != nil && number < len(x.attempts) {
		x.attempts[number].cancel()
	}
}

func (l *eventLoop) Reject(id policy.RequestID, comeBackIn time.Duration) {
	if x := l.requests[id]; x != nil {
		l.finish(x, requestsRejected, response{status: http.StatusServiceUnavailable, retryAfter: comeBackIn})
	}
}

func (l *eventLoop) Fail(id policy.RequestID) {
	if x := l.requests[id]; x != nil {
		l.finish(x, requestsFailed, response{status: http.StatusBadGateway})
	}
}

func (l *eventLoop) SetTimer(at policy.Time, cookie uint64) { l.timers.Set(int64(at), cookie) }

func (l *eventLoop) WatchEndpoints() { l.node.endpointWatch.requestCall() }

// CloseIdle closes what is idle to a server; the loop does not wait for it.
func (l *eventLoop) CloseIdle(server policy.EndpointID) {
	if address := l.endpoints[server].address; address != "" {
		go l.node.upstreams.closeIdle(upstreamTarget{server, address})
	}
}

// Gossip passes news on to the peers.
func (l *eventLoop) Gossip(n policy.GossipMessage) { l.node.gossiper.send(n) }

// CheckHealth has a server asked for its load.
func (l *eventLoop) CheckHealth(server policy.EndpointID) {
	if address := l.endpoints[server].address; address != "" {
		l.node.upstreams.checkHealth(upstreamTarget{server, address})
	}
}

// encodeEstimates is what the decisions have learned, for the process that comes after this one.
func (l *eventLoop) encodeEstimates() json.RawMessage {
	text, err := json.Marshal(l.balancer.Estimates())
	if err != nil {
		l.node.log.Warn("what was learned can't be told", zap.Error(err))
	}
	return text
}

// inherit begins with what the decisions of the process before had learned, if that makes sense.
func (l *eventLoop) inherit(text json.RawMessage) {
	var all estimates.Snapshot
	if err := json.Unmarshal(text, &all); err != nil || !all.Valid(len(l.node.settings.Classes)) {
		l.node.counters.add(hotRestartsIgnored)
		l.node.log.Warn("what the process before had learned passed over", zap.Error(err))
		return
	}
	l.handle(nil, func() { l.balancer.Inherit(&all) })
}

func (l *eventLoop) healthChecked(server policy.EndpointID, outcome policy.Outcome, report policy.LoadReport) {
	l.handle(nil, func() { l.balancer.HealthChecked(l.now, server, outcome, report) })
}

func (l *eventLoop) gossipReceived(n policy.GossipMessage) {
	l.handle(nil, func() { l.balancer.GossipReceived(l.now, n) })
}
