package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = 1_000_000 // nanoseconds

// recorder is Effects that note what they are asked for, for the small tests of single failures.
type recorder struct {
	sent             []EndpointID
	timeouts         []time.Duration
	canceled         int
	rejected, failed int
	timers           []uint64
	closedIdle       []EndpointID
	gossiped         []GossipMessage
	healthChecked    []EndpointID
	retryAfter       time.Duration
	reason           Reason // of the last request that was given up
}

func (r *recorder) Send(_ RequestID, s EndpointID, wait time.Duration) {
	r.sent, r.timeouts = append(r.sent, s), append(r.timeouts, wait)
}

func (r *recorder) Cancel(RequestID, int) { r.canceled++ }

func (r *recorder) Reject(_ RequestID, advice time.Duration, reason Reason) {
	r.rejected, r.retryAfter, r.reason = r.rejected+1, advice, reason
}

func (r *recorder) Fail(_ RequestID, reason Reason) { r.failed, r.reason = r.failed+1, reason }

func (r *recorder) SetTimer(_ Time, timer uint64) { r.timers = append(r.timers, timer) }

func (r *recorder) WatchEndpoints() {}

func (r *recorder) CloseIdle(s EndpointID) { r.closedIdle = append(r.closedIdle, s) }

func (r *recorder) Gossip(message GossipMessage) { r.gossiped = append(r.gossiped, message) }

func (r *recorder) CheckHealth(s EndpointID) { r.healthChecked = append(r.healthChecked, s) }

func (r *recorder) lastSent() EndpointID { return r.sent[len(r.sent)-1] }

func (r *recorder) sentTo(id EndpointID) (count int) {
	for _, s := range r.sent {
		if s == id {
			count++
		}
	}
	return count
}

type testFleet struct {
	*testing.T
	*Balancer
	*recorder
	now          Time
	requestCount int
}

// newTestFleet starts a Balancer with so many endpoints and three classes: idempotent, idempotent by key in a pod,
// non-idempotent.
func newTestFleet(t *testing.T, endpoints int, change func(*Settings)) *testFleet {
	s := Settings{
		MaxAttempts: 5, MayHedge: true, MayCancel: true, MaySetRetryAfter: true, MaxRetryAfter: 1e9,
		SlowStartMinCapacity: 0.1, SlowStartWindow: 2e10, Classes: []Class{
			{LatencyObjective: 500 * ms, Idempotency: Idempotent},
			{LatencyObjective: 500 * ms, Idempotency: IdempotentByKey, DedupGroup: DedupPod, DedupWindow: 1000 * ms},
			{LatencyObjective: 500 * ms, Idempotency: NonIdempotent},
		},
	}
	if change != nil {
		change(&s)
	}
	r := &recorder{}
	b := &testFleet{T: t, Balancer: New(s, 1, r), recorder: r, now: 1e12}
	var list []EndpointInfo
	for id := range endpoints {
		list = append(list, EndpointInfo{ID: EndpointID(id + 1), Pod: id / 2, Weight: 1})
	}
	b.EndpointsUpdated(b.now, list, true)
	return b
}

func (b *testFleet) arrive(class int) RequestID {
	b.requestCount++
	id := RequestID(fmt.Sprint(b.requestCount))
	b.RequestArrived(b.now, Request{ID: id, Class: class, Deadline: b.now + 1000*ms})
	return id
}

func (b *testFleet) endAttempt(id RequestID, number int, o Outcome, took time.Duration) {
	t := b.requests.byID[id]
	b.AttemptEnded(b.now, AttemptResult{
		Request: id, Attempt: number, Endpoint: t.attempts[number].endpoint.ID, Outcome: o,
		Elapsed: took, RequestDone: o == OutcomeSucceeded, Report: LoadReport{-1, -1, -1},
	})
}

// serve plays idempotent requests one after another, each answered as its endpoint does.
func (b *testFleet) serve(requests int, how func(EndpointID) (Outcome, time.Duration)) {
	for range requests {
		id := b.arrive(0)
		for b.requests.byID[id] != nil {
			o, took := how(b.lastSent())
			b.now += Time(took)
			b.endAttempt(id, len(b.requests.byID[id].attempts)-1, o, took)
		}
		b.now += ms
	}
}

func respondPromptly(EndpointID) (Outcome, time.Duration) { return OutcomeSucceeded, 40 * ms }

func (b *testFleet) tick() { b.TimerFired(b.now, tickTimer) }

// lastSendRecorder only notes the last attempt.
type lastSendRecorder struct {
	endpoint EndpointID
	sent     bool
}

func (q *lastSendRecorder) Send(_ RequestID, s EndpointID, _ time.Duration) {
	q.endpoint, q.sent = s, true
}

func (*lastSendRecorder) Cancel(RequestID, int) {}

func (*lastSendRecorder) Reject(RequestID, time.Duration, Reason) {}

func (*lastSendRecorder) Fail(RequestID, Reason) {}

func (*lastSendRecorder) SetTimer(Time, uint64) {}

func (*lastSendRecorder) WatchEndpoints() {}

func (*lastSendRecorder) CloseIdle(EndpointID) {}

func (*lastSendRecorder) Gossip(GossipMessage) {}

func (*lastSendRecorder) CheckHealth(EndpointID) {}

func endpointList(n int) []EndpointInfo {
	list := make([]EndpointInfo, n)
	for i := range list {
		list[i] = EndpointInfo{ID: EndpointID(uint32(i+1) * 2654435761), Zone: i % 3, Pod: i / 8, Weight: 1}
	}
	return list
}

var benchSettings = Settings{
	Classes:              []Class{{LatencyObjective: 200 * ms}},
	MayCancel:            true,
	MaxAttempts:          4,
	SlowStartWindow:      20e9,
	SlowStartMinCapacity: 0.2,
}
