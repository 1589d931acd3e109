package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = 1_000_000 // nanoseconds

// recorder implements Effects by recording the calls, for tests of single rules.
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
	reason           Reason // of the last request given up
}

func (r *recorder) Send(_ RequestID, endpoint EndpointID, timeout time.Duration) {
	r.sent, r.timeouts = append(r.sent, endpoint), append(r.timeouts, timeout)
}

func (r *recorder) Cancel(RequestID, int) { r.canceled++ }

func (r *recorder) Reject(_ RequestID, retryAfter time.Duration, reason Reason) {
	r.rejected, r.retryAfter, r.reason = r.rejected+1, retryAfter, reason
}

func (r *recorder) Fail(_ RequestID, reason Reason) { r.failed, r.reason = r.failed+1, reason }

func (r *recorder) SetTimer(_ Time, timer uint64) { r.timers = append(r.timers, timer) }

func (r *recorder) WatchEndpoints() {}

func (r *recorder) CloseIdle(id EndpointID) { r.closedIdle = append(r.closedIdle, id) }

func (r *recorder) Gossip(message GossipMessage) { r.gossiped = append(r.gossiped, message) }

func (r *recorder) CheckHealth(id EndpointID) { r.healthChecked = append(r.healthChecked, id) }

func (r *recorder) lastSent() EndpointID { return r.sent[len(r.sent)-1] }

func (r *recorder) sentTo(id EndpointID) (count int) {
	for _, endpoint := range r.sent {
		if endpoint == id {
			count++
		}
	}
	return count
}

// testFleet is a Balancer with a simulated clock, its recorded calls of Effects, and the test that uses it.
type testFleet struct {
	*testing.T
	*Balancer
	*recorder
	now          Time
	requestCount int
}

// newTestFleet creates a Balancer with the given number of endpoints and three classes: idempotent, idempotent by key
// within a pod, and non-idempotent.
func newTestFleet(t *testing.T, endpoints int, change func(*Settings)) *testFleet {
	settings := Settings{
		MaxAttempts: 5, MayHedge: true, MayCancel: true, MaySetRetryAfter: true, MaxRetryAfter: 1e9,
		SlowStartMinCapacity: 0.1, SlowStartWindow: 2e10, Classes: []Class{
			{LatencyObjective: 500 * ms, Idempotency: Idempotent},
			{LatencyObjective: 500 * ms, Idempotency: IdempotentByKey, DedupGroup: DedupPod, DedupWindow: 1000 * ms},
			{LatencyObjective: 500 * ms, Idempotency: NonIdempotent},
		},
	}
	if change != nil {
		change(&settings)
	}
	effects := &recorder{}
	fleet := &testFleet{T: t, Balancer: New(settings, 1, effects), recorder: effects, now: 1e12}
	var list []EndpointInfo
	for id := range endpoints {
		list = append(list, EndpointInfo{ID: EndpointID(id + 1), Pod: id / 2, Weight: 1})
	}
	fleet.EndpointsUpdated(fleet.now, list, true)
	return fleet
}

func (f *testFleet) arrive(class int) RequestID {
	f.requestCount++
	id := RequestID(fmt.Sprint(f.requestCount))
	f.RequestArrived(f.now, Request{ID: id, Class: class, Deadline: f.now + 1000*ms})
	return id
}

func (f *testFleet) endAttempt(id RequestID, number int, outcome Outcome, elapsed time.Duration) {
	req := f.requests.byID[id]
	f.AttemptEnded(f.now, AttemptResult{
		Request: id, Attempt: number, Endpoint: req.attempts[number].endpoint.ID, Outcome: outcome,
		Elapsed: elapsed, RequestDone: outcome == OutcomeSucceeded, Report: LoadReport{-1, -1, -1},
	})
}

// serve sends idempotent requests one after another. respond returns the outcome and latency of each attempt.
func (f *testFleet) serve(requests int, respond func(EndpointID) (Outcome, time.Duration)) {
	for range requests {
		id := f.arrive(0)
		for f.requests.byID[id] != nil {
			outcome, latency := respond(f.lastSent())
			f.now += Time(latency)
			f.endAttempt(id, len(f.requests.byID[id].attempts)-1, outcome, latency)
		}
		f.now += ms
	}
}

func respondPromptly(EndpointID) (Outcome, time.Duration) { return OutcomeSucceeded, 40 * ms }

func (f *testFleet) tick() { f.TimerFired(f.now, tickTimer) }

// lastSendRecorder implements Effects by recording only the last send.
type lastSendRecorder struct {
	endpoint EndpointID
	sent     bool
}

func (r *lastSendRecorder) Send(_ RequestID, endpoint EndpointID, _ time.Duration) {
	r.endpoint, r.sent = endpoint, true
}

func (*lastSendRecorder) Cancel(RequestID, int) {}

func (*lastSendRecorder) Reject(RequestID, time.Duration, Reason) {}

func (*lastSendRecorder) Fail(RequestID, Reason) {}

func (*lastSendRecorder) SetTimer(Time, uint64) {}

func (*lastSendRecorder) WatchEndpoints() {}

func (*lastSendRecorder) CloseIdle(EndpointID) {}

func (*lastSendRecorder) Gossip(GossipMessage) {}

func (*lastSendRecorder) CheckHealth(EndpointID) {}

// endpointList returns n active endpoints in three zones, eight to a pod.
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
