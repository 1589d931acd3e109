package policy

import (
	"fmt"
	"testing"
	"time"

	"fawnglade/internal/ewma"
)

func TestFailingEndpointIsEjectedAndReinstated(t *testing.T) {
	fleet := newTestFleet(t, 4, nil)
	failing := EndpointID(2)
	respond := func(endpoint EndpointID) (Outcome, time.Duration) {
		if endpoint == failing {
			return OutcomeError, ms
		}
		return OutcomeSucceeded, 40 * ms
	}
	fleet.serve(100, respond)
	fleet.sent = nil
	fleet.serve(100, respond)
	if n := fleet.sentTo(failing); n > 8 {
		t.Errorf("got %d of %d attempts at a failing endpoint, want at most 8", n, len(fleet.sent))
	}
	fleet.arrive(2)
	if failing = 0; fleet.rejected+fleet.failed > 0 {
		t.Errorf("got %d requests given up with three healthy endpoints, want 0", fleet.rejected+fleet.failed)
	}
	fleet.serve(800, respond)
	fleet.sent = nil
	if fleet.serve(100, respond); fleet.sentTo(2) < 10 || fleet.endpoints.byID[2].health[0].ejected {
		t.Errorf(
			"got %d of 100 attempts at an endpoint that no longer fails, want at least 10 and no ejection",
			fleet.sentTo(2),
		)
	}
}

func TestNoOutlierWhenAllFail(t *testing.T) {
	fleet := newTestFleet(t, 4, nil)
	fleet.serve(20, respondPromptly)
	fleet.serve(60, func(EndpointID) (Outcome, time.Duration) { return OutcomeError, ms })
	ejected := 0
	for _, ep := range fleet.endpoints.all {
		if ep.health[0].ejected {
			ejected++
		}
	}
	if ejected > 2 {
		t.Errorf("got %d of 4 endpoints ejected while all fail alike, want at most 2", ejected)
	}
}

func TestSilentEndpointGetsNoMoreRequests(t *testing.T) {
	fleet := newTestFleet(t, 3, nil)
	fleet.serve(60, respondPromptly)
	fleet.tick()
	id := fleet.arrive(2)
	silent := fleet.lastSent()
	fleet.now += 400 * ms
	fleet.sent = nil
	fleet.serve(30, respondPromptly)
	if fleet.sentTo(silent) > 0 {
		t.Errorf("got %d requests at an endpoint silent for ten times its latency, want 0", fleet.sentTo(silent))
	}
	fleet.now += 80 * ms
	fleet.endAttempt(id, 0, OutcomeTimedOut, 480*ms)
	if fleet.failed != 1 || fleet.rejected != 0 {
		t.Errorf(
			"non-idempotent request: got %d rejections and %d failures, want 0 and 1", fleet.rejected, fleet.failed,
		)
	}
}

func TestBackoffGrowsAtRejectingEndpoint(t *testing.T) {
	fleet := newTestFleet(t, 3, nil)
	fleet.serve(30, respondPromptly)
	fleet.sent = nil
	fleet.serve(60, func(endpoint EndpointID) (Outcome, time.Duration) {
		if endpoint == 1 {
			return OutcomeRejected, ms
		}
		return OutcomeSucceeded, 10 * ms
	})
	if n := fleet.sentTo(1); n > 8 {
		t.Errorf("got %d of 60 requests at an endpoint that rejects, want at most 8", n)
	}
	unmeasured := &endpoint{podLatency: &ewma.Pair{}, health: make([]classHealth, 3)}
	a := &attempt{endpoint: unmeasured, sentAt: fleet.now, inFlight: true}
	fleet.recordAttempt(fleet.now, &request{}, a, AttemptResult{Outcome: OutcomeConnectFailed})
	if unmeasured.backoffUntil < fleet.now.Add(recalculationInterval/2) {
		t.Errorf(
			"got backoff of %d ms for an endpoint without recent responses, want at least 500 ms",
			(unmeasured.backoffUntil-fleet.now)/ms,
		)
	}
}

func TestOneErrorEjectsEndpointWithFewSamples(t *testing.T) {
	fleet := newTestFleet(t, 40, nil)
	fleet.serve(20, respondPromptly)
	id := fleet.arrive(2)
	ep := fleet.endpoints.byID[fleet.lastSent()]
	ep.Latency, ep.health[2] = ewma.Pair{}, classHealth{}
	if fleet.endAttempt(id, 0, OutcomeError, ms); !ep.health[2].ejected {
		t.Errorf(
			"got no ejection of an endpoint with few samples after an error, failure rate %.2f, want an ejection", ep.health[2].failureRate,
		)
	}
}

// Guards against cascading ejections: pauses eject most endpoints one after another, and the remaining ones are
// overloaded.
func TestEjectedEndpointsAreLastResort(t *testing.T) {
	fleet := newTestFleet(t, 4, nil)
	fleet.serve(100, respondPromptly)
	for _, ep := range fleet.endpoints.all {
		ep.health[2] = classHealth{ejected: ep.ID > 1, failureRate: 0.3, nextTrialAt: fleet.now + Time(1e9)}
	}
	fleet.endpoints.byID[1].State = StateDraining
	fleet.sent = nil
	for range 3 {
		fleet.arrive(2)
	}
	if fleet.sentTo(2) != 1 || fleet.sentTo(3) != 1 || fleet.sentTo(4) != 1 || fleet.rejected != 0 {
		t.Errorf(
			"got requests sent to %v and %d rejected, want one at each ejected endpoint and none rejected",
			fleet.sent, fleet.rejected,
		)
	}
	if fleet.arrive(2); fleet.rejected != 1 {
		t.Error("got a second request sent to an ejected endpoint with one in flight, want it rejected")
	}
	fleet.endpoints.byID[1].State, fleet.sent = StateActive, nil
	if fleet.arrive(2); fleet.sentTo(1) != 1 {
		t.Errorf("got a request sent to %v with a healthy endpoint, want it sent to endpoint 1", fleet.sent)
	}
	for _, ep := range fleet.endpoints.all {
		ep.inFlight, ep.Latency.Weight = 0, 1
	}
	fleet.endpoints.byID[1].State, fleet.sent = StateDraining, nil
	if fleet.arrive(2); len(fleet.sent) != 0 {
		t.Error("got a request sent to an ejected endpoint with few samples, want none")
	}
}

// Guards against a pause of the node itself making endpoints look silent: with one request in flight at each of a few
// endpoints and latencies of microseconds, requests were rejected though the endpoints were idle.
func TestNodePauseDoesNotRejectRequests(t *testing.T) {
	effects := &lastSendRecorder{}
	settings := benchSettings
	settings.ClockResolution = 2 * ms
	balancer := New(settings, 1, effects)
	now := Time(1e12)
	balancer.EndpointsUpdated(now, endpointList(2), true)
	for i := range 100 {
		id := RequestID(fmt.Sprint("warm", i))
		balancer.RequestArrived(now, Request{ID: id, Deadline: now + 900*ms})
		now += ms / 20
		balancer.AttemptEnded(
			now,
			AttemptResult{
				Request:     id,
				Endpoint:    effects.endpoint,
				Outcome:     OutcomeSucceeded,
				Elapsed:     ms / 20,
				RequestDone: true,
			},
		)
	}
	for i := range 8 {
		balancer.RequestArrived(now, Request{ID: RequestID(fmt.Sprint("out", i)), Deadline: now + 900*ms})
	}
	now += 6 * ms
	effects.sent = false
	if balancer.RequestArrived(now, Request{ID: "next", Deadline: now + 900*ms}); !effects.sent {
		t.Error("got a request rejected after a pause of 6 ms, three ticks of the clock, want it sent")
	}
	now += 60 * ms
	effects.sent = false
	if balancer.RequestArrived(now, Request{ID: "later", Deadline: now + 900*ms}); effects.sent {
		t.Error("got a request sent to endpoints with a latency of 0.05 ms that were silent for 66 ms, want it rejected")
	}
}

// Guards against endpoints that leave one class unanswered and serve the others normally.
func TestEndpointIsEjectedForUnansweredClassOnly(t *testing.T) {
	fleet := newTestFleet(t, 1, nil)
	fleet.serve(60, respondPromptly)
	fleet.tick()
	fleet.arrive(2)
	overdueTimer, silent := fleet.timers[len(fleet.timers)-1], fleet.endpoints.all[0]
	fleet.now += 100 * ms
	if fleet.TimerFired(fleet.now, overdueTimer); silent.health[2].ejected {
		t.Error("got an endpoint ejected that has responded to no other request since, want no ejection")
	}
	fleet.serve(1, respondPromptly)
	if fleet.TimerFired(fleet.now, overdueTimer); !silent.health[2].ejected || silent.health[0].failureRate > 0.01 {
		t.Errorf("got health %+v by class, want an ejection for class 2 only", silent.health)
	}
}

func TestOwnObservationsOverrideFailureGossip(t *testing.T) {
	fleet := newTestFleet(t, 12, manyNodesSettings)
	fleet.serve(60, respondPromptly)
	var used, unused *endpoint
	for _, ep := range fleet.endpoints.all {
		if ep.inSubset && ep.health[0].samples > 1 {
			used = ep
		} else if !ep.inSubset {
			unused = ep
		}
	}
	receiveGossip := func(ep *endpoint) {
		fleet.GossipReceived(fleet.now, GossipMessage{Endpoint: ep.ID})
	}
	unused.State = StateDraining
	for range 3 {
		receiveGossip(unused)
	}
	if unused.State, unused.health[0].gossipVotes = StateActive, 0; unused.health[0].ejected {
		t.Error("got an ejection by gossip about a draining endpoint, want the gossip ignored")
	}
	receiveGossip(unused)
	receiveGossip(unused)
	if unused.health[0].ejected {
		t.Error("got an ejection after two messages, want one after three")
	}
	if receiveGossip(unused); !unused.health[0].ejected || unused.health[1].ejected {
		t.Errorf("got health %+v by class after three messages, want an ejection for class 0 only", unused.health)
	}
	for range 20 {
		receiveGossip(used)
	}
	if used.health[0].ejected {
		t.Error("got an ejection by gossip of an endpoint that has responded to this node, want none")
	}
}

func TestInvalidGossipIsIgnored(t *testing.T) {
	fleet := newTestFleet(t, 4, manyNodesSettings)
	for _, message := range []GossipMessage{
		{}, {Endpoint: 77}, {Endpoint: 1, Class: 3}, {Endpoint: 1, Class: -1}, {IdleTime: -5}, {IdleTime: ms},
	} {
		for range 100 {
			fleet.GossipReceived(fleet.now, message)
		}
	}
	for _, ep := range fleet.endpoints.all {
		for _, health := range ep.health {
			if health.ejected || fleet.idleConns.timeout.Limit < 1e12 {
				t.Fatalf(
					"got idle timeout %d and health %+v after invalid gossip, want no change",
					fleet.idleConns.timeout.Limit, health,
				)
			}
		}
	}
}

// A node sends a failure message only for errors that it has observed itself, at most once per second.
func TestFailureGossipIsRateLimited(t *testing.T) {
	fleet := newTestFleet(t, 4, manyNodesSettings)
	fleet.serve(20, respondPromptly)
	failing := EndpointID(0)
	fleet.serve(40, func(endpoint EndpointID) (Outcome, time.Duration) {
		if failing == 0 {
			failing = endpoint
		}
		if endpoint == failing {
			return OutcomeError, ms
		}
		return OutcomeSucceeded, ms
	})
	if len(fleet.gossiped) != 1 || fleet.gossiped[0] != (GossipMessage{Endpoint: failing}) {
		t.Errorf("got messages %v, want one about the failing endpoint", fleet.gossiped)
	}
}

func TestOutlierDetectorEjectsAndReinstates(t *testing.T) {
	const now = Time(1e12)
	var detector outlierDetector
	var health classHealth
	for _, ejection := range []time.Duration{
		minEjectionTime, 2 * minEjectionTime, 4 * minEjectionTime, maxEjectionTime, maxEjectionTime,
	} {
		detector.record(now, &health, 1, 0.5)
		if !health.ejected || health.nextTrialAt != now.Add(ejection) {
			t.Fatalf("got health %+v after a failure, want an ejection for %v", health, ejection)
		}
	}
	for range 20 {
		detector.record(now, &health, 0, 0.5)
	}
	if health.ejected || health.ejectionTime != 0 {
		t.Errorf("got health %+v after twenty successes, want a reinstatement", health)
	}
	detector.fleetFailureRate = 0.5 // all endpoints fail alike
	if detector.record(now, &health, 1, 0.5); health.ejected {
		t.Errorf("got an ejection at failure rate %g with a fleet failure rate of 0.5, want no ejection", health.failureRate)
	}
}
