package policy

import (
	"fmt"
	"testing"
	"time"

	"fawnglade/internal/ewma"
)

func TestFailingEndpointIsEjectedAndReinstated(t *testing.T) {
	b := newTestFleet(t, 4, nil)
	bad := EndpointID(2)
	how := func(s EndpointID) (Outcome, time.Duration) {
		if s == bad {
			return OutcomeError, ms
		}
		return OutcomeSucceeded, 40 * ms
	}
	b.serve(100, how)
	b.sent = nil
	b.serve(100, how)
	if n := b.sentTo(bad); n > 8 {
		t.Errorf("a failing endpoint got %d of %d attempts", n, len(b.sent))
	}
	b.arrive(2)
	if bad = 0; b.rejected+b.failed > 0 {
		t.Errorf("%d requests were given up beside three good endpoints", b.rejected+b.failed)
	}
	b.serve(800, how)
	b.sent = nil
	if b.serve(100, how); b.sentTo(2) < 10 || b.endpoints.byID[2].health[0].ejected {
		t.Errorf("a mended endpoint got %d of 100 attempts", b.sentTo(2))
	}
}

func TestNoOutlierWhenAllFail(t *testing.T) {
	b := newTestFleet(t, 4, nil)
	b.serve(20, respondPromptly)
	b.serve(60, func(EndpointID) (Outcome, time.Duration) { return OutcomeError, ms })
	ejected := 0
	for _, s := range b.endpoints.all {
		if s.health[0].ejected {
			ejected++
		}
	}
	if ejected > 2 {
		t.Errorf("%d of 4 endpoints were ejected when all failed alike", ejected)
	}
}

func TestSilentEndpointGetsNoMoreRequests(t *testing.T) {
	b := newTestFleet(t, 3, nil)
	b.serve(60, respondPromptly)
	b.tick()
	id := b.arrive(2)
	silent := b.lastSent()
	b.now += 400 * ms
	b.sent = nil
	b.serve(30, respondPromptly)
	if b.sentTo(silent) > 0 {
		t.Errorf("an endpoint silent for ten answer times got %d more requests", b.sentTo(silent))
	}
	b.now += 80 * ms
	b.endAttempt(id, 0, OutcomeTimedOut, 480*ms)
	if b.failed != 1 || b.rejected != 0 {
		t.Errorf("the non-idempotent request was rejected %d and failed %d times", b.rejected, b.failed)
	}
}

func TestBackoffGrowsAtRejectingEndpoint(t *testing.T) {
	b := newTestFleet(t, 3, nil)
	b.serve(30, respondPromptly)
	b.sent = nil
	b.serve(60, func(s EndpointID) (Outcome, time.Duration) {
		if s == 1 {
			return OutcomeRejected, ms
		}
		return OutcomeSucceeded, 10 * ms
	})
	if n := b.sentTo(1); n > 8 {
		t.Errorf("a full endpoint was asked %d times during 60 requests", n)
	}
	seldom := &endpoint{podLatency: &ewma.Pair{}, health: make([]classHealth, 3)}
	h := &attempt{endpoint: seldom, sentAt: b.now, inFlight: true}
	b.recordAttempt(b.now, &request{}, h, AttemptResult{Outcome: OutcomeConnectFailed})
	if seldom.backoffUntil < b.now.Add(recalculationInterval/2) {
		t.Errorf("an endpoint not heard of late is asked again after %d ms", (seldom.backoffUntil-b.now)/ms)
	}
}

func TestOneErrorEjectsEndpointWithFewSamples(t *testing.T) {
	b := newTestFleet(t, 40, nil)
	b.serve(20, respondPromptly)
	id := b.arrive(2)
	s := b.endpoints.byID[b.lastSent()]
	s.Latency, s.health[2] = ewma.Pair{}, classHealth{}
	if b.endAttempt(id, 0, OutcomeError, ms); !s.health[2].ejected {
		t.Errorf("its failing part is taken for %.2f", s.health[2].failureRate)
	}
}

// Guards against a cascade: pauses put most of a fleet out one after another, and the rest is asked for more than it
// can do.
func TestEjectedEndpointsAreLastResort(t *testing.T) {
	b := newTestFleet(t, 4, nil)
	b.serve(100, respondPromptly)
	for _, s := range b.endpoints.all {
		s.health[2] = classHealth{ejected: s.ID > 1, failureRate: 0.3, nextTrialAt: b.now + Time(1e9)}
	}
	b.endpoints.byID[1].State = StateDraining
	b.sent = nil
	for range 3 {
		b.arrive(2)
	}
	if b.sentTo(2) != 1 || b.sentTo(3) != 1 || b.sentTo(4) != 1 || b.rejected != 0 {
		t.Errorf("three requests went to %v, %d were rejected", b.sent, b.rejected)
	}
	if b.arrive(2); b.rejected != 1 {
		t.Error("an ejected endpoint was given a second request while it had one")
	}
	b.endpoints.byID[1].State, b.sent = StateActive, nil
	if b.arrive(2); b.sentTo(1) != 1 {
		t.Errorf("with a fit endpoint a request went to %v", b.sent)
	}
	for _, s := range b.endpoints.all {
		s.inFlight, s.Latency.Weight = 0, 1
	}
	b.endpoints.byID[1].State, b.sent = StateDraining, nil
	if b.arrive(2); len(b.sent) != 0 {
		t.Error("an endpoint seldom heard, whose state nobody here knows, was tried")
	}
}

// With a request out at each of a few endpoints and answers in microseconds, a moment in which the node itself stood
// still made all of them look silent, and idle endpoints' requests were rejected.
func TestNodePauseDoesNotRejectRequests(t *testing.T) {
	q := &lastSendRecorder{}
	set := benchSettings
	set.ClockResolution = 2 * ms
	p := New(set, 1, q)
	now := Time(1e12)
	p.EndpointsUpdated(now, endpointList(2), true)
	for i := range 100 {
		id := RequestID(fmt.Sprint("warm", i))
		p.RequestArrived(now, Request{ID: id, Deadline: now + 900*ms})
		now += ms / 20
		p.AttemptEnded(
			now,
			AttemptResult{
				Request:     id,
				Endpoint:    q.endpoint,
				Outcome:     OutcomeSucceeded,
				Elapsed:     ms / 20,
				RequestDone: true,
			},
		)
	}
	for i := range 8 {
		p.RequestArrived(now, Request{ID: RequestID(fmt.Sprint("out", i)), Deadline: now + 900*ms})
	}
	now += 6 * ms
	q.sent = false
	if p.RequestArrived(now, Request{ID: "next", Deadline: now + 900*ms}); !q.sent {
		t.Error("rejected after 6 ms of stillness, three ticks of the clock")
	}
	now += 60 * ms
	q.sent = false
	if p.RequestArrived(now, Request{ID: "later", Deadline: now + 900*ms}); q.sent {
		t.Error("sent to endpoints that were silent for 66 ms and answer in 0.05")
	}
}

// Guards against endpoints that leave one class unanswered and serve the others as usual.
func TestEndpointIsEjectedForUnansweredClassOnly(t *testing.T) {
	b := newTestFleet(t, 1, nil)
	b.serve(60, respondPromptly)
	b.tick()
	b.arrive(2)
	woken, silent := b.timers[len(b.timers)-1], b.endpoints.all[0]
	b.now += 100 * ms
	if b.TimerFired(b.now, woken); silent.health[2].ejected {
		t.Error("struck though nothing else was answered since")
	}
	b.serve(1, respondPromptly)
	if b.TimerFired(b.now, woken); !silent.health[2].ejected || silent.health[0].failureRate > 0.01 {
		t.Errorf("health by class: %+v", silent.health)
	}
}

func TestOwnObservationsOverrideFailureGossip(t *testing.T) {
	b := newTestFleet(t, 12, manyNodesSettings)
	b.serve(60, respondPromptly)
	var seen, unseen *endpoint
	for _, s := range b.endpoints.all {
		if s.inSubset && s.health[0].samples > 1 {
			seen = s
		} else if !s.inSubset {
			unseen = s
		}
	}
	tell := func(s *endpoint) {
		b.GossipReceived(b.now, GossipMessage{Endpoint: s.ID})
	}
	unseen.State = StateDraining
	for range 3 {
		tell(unseen)
	}
	if unseen.State, unseen.health[0].gossipVotes = StateActive, 0; unseen.health[0].ejected {
		t.Error("gossip of a draining endpoint was heeded")
	}
	tell(unseen)
	tell(unseen)
	if unseen.health[0].ejected {
		t.Error("two messages put an endpoint out")
	}
	if tell(unseen); !unseen.health[0].ejected || unseen.health[1].ejected {
		t.Errorf("after three messages %+v", unseen.health)
	}
	for range 20 {
		tell(seen)
	}
	if seen.health[0].ejected {
		t.Error("gossip overruled what was seen")
	}
}

func TestInvalidGossipIsIgnored(t *testing.T) {
	b := newTestFleet(t, 4, manyNodesSettings)
	for _, message := range []GossipMessage{{}, {Endpoint: 77}, {Endpoint: 1, Class: 3}, {Endpoint: 1, Class: -1}, {IdleTime: -5}, {IdleTime: ms}} {
		for range 100 {
			b.GossipReceived(b.now, message)
		}
	}
	for _, s := range b.endpoints.all {
		for _, st := range s.health {
			if st.ejected || b.idleConns.timeout.Limit < 1e12 {
				t.Fatalf("idle %d, standing %+v", b.idleConns.timeout.Limit, st)
			}
		}
	}
}

// A node tells what it saw, and no more often than once a second.
func TestFailureGossipIsRateLimited(t *testing.T) {
	b := newTestFleet(t, 4, manyNodesSettings)
	b.serve(20, respondPromptly)
	bad := EndpointID(0)
	b.serve(40, func(s EndpointID) (Outcome, time.Duration) {
		if bad == 0 {
			bad = s
		}
		if s == bad {
			return OutcomeError, ms
		}
		return OutcomeSucceeded, ms
	})
	if len(b.gossiped) != 1 || b.gossiped[0] != (GossipMessage{Endpoint: bad}) {
		t.Errorf("gossiped %v", b.gossiped)
	}
}

func TestOutlierDetectorEjectsAndReinstates(t *testing.T) {
	const now = Time(1e12)
	var detector outlierDetector
	var health classHealth
	for _, ejection := range []time.Duration{minEjectionTime, 2 * minEjectionTime, 4 * minEjectionTime, maxEjectionTime, maxEjectionTime} {
		detector.record(now, &health, 1, 0.5)
		if !health.ejected || health.nextTrialAt != now.Add(ejection) {
			t.Fatalf("after a failure %+v, expected an ejection for %v", health, ejection)
		}
	}
	for range 20 {
		detector.record(now, &health, 0, 0.5)
	}
	if health.ejected || health.ejectionTime != 0 {
		t.Errorf("after twenty successes %+v", health)
	}
	detector.fleetFailureRate = 0.5 // all fail alike
	if detector.record(now, &health, 1, 0.5); health.ejected {
		t.Errorf("ejected at a failure rate of %g where that of all is half", health.failureRate)
	}
}
