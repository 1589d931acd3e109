package policy

import (
	"testing"
)

// Guards against connections that something between drops unseen: what is sent on one is lost, and the endpoint blamed.
func TestIdleConnectionsPastTimeoutAreClosedBeforeUse(t *testing.T) {
	fleet := newTestFleet(t, 4, func(s *Settings) { s.StreamsPerConnection = 100 })
	fleet.serve(40, respondPromptly)
	for n := 0; n < 20 && fleet.idleConns.timeout.Limit > 1e12; n++ {
		fleet.now += 2e9
		id := fleet.arrive(0)
		ep := fleet.endpoints.byID[fleet.lastSent()]
		fleet.now += ms
		if fleet.requests.byID[id].attempts[0].idleTime == 0 { // its connection is new
			fleet.endAttempt(id, 0, OutcomeSucceeded, ms)
			continue
		}
		if fleet.endAttempt(id, 0, OutcomeReset, ms); ep.health[0].failureRate > 0.01 {
			t.Errorf("a reset after idleness counts against the endpoint: %+v", ep.health[0])
		}
		fleet.endAttempt(id, 1, OutcomeSucceeded, 40*ms)
	}
	if fleet.idleConns.timeout.Limit > 8e9 {
		t.Fatalf("connections idle for %d ms are still trusted", fleet.idleConns.timeout.Limit/ms)
	}
	fleet.closedIdle = nil
	for range 8 {
		fleet.now += 9e9
		fleet.serve(1, respondPromptly)
	}
	if len(fleet.closedIdle) < 4 {
		t.Errorf("of connections idle for 9 s and more %d were closed before use", len(fleet.closedIdle))
	}
}

// Guards against a node that comes by each endpoint seldom: it lost a request to each before it learned that they die
// idle.
func TestOverdueAttemptsOnIdleConnectionsLowerIdleTimeout(t *testing.T) {
	for _, maxInFlight := range []int{1, 2} { // out at once at an endpoint
		fleet := newTestFleet(t, 6, func(s *Settings) { s.StreamsPerConnection = 1 })
		fleet.serve(60, respondPromptly)
		for _, ep := range fleet.endpoints.byID {
			ep.maxInFlight = maxInFlight
		}
		for range 3 {
			fleet.now += 2e9
			fleet.arrive(0)
			fleet.now += 400 * ms
			fleet.TimerFired(fleet.now, fleet.timers[len(fleet.timers)-1])
		}
		if lowered := fleet.idleConns.timeout.Limit < 1e12; lowered != (maxInFlight == 1) {
			t.Errorf(
				"%d out at once at an endpoint, where a connection carries one: idle time trusted %d ms", maxInFlight,
				fleet.idleConns.timeout.Limit/ms,
			)
		}
	}
}

// Guards against closing what stands open while new connections are slow or can't be had: the belief ends there.
func TestConnectFailureResetsIdleTimeout(t *testing.T) {
	fleet := newTestFleet(t, 3, func(s *Settings) { s.StreamsPerConnection = 1 })
	fleet.serve(30, respondPromptly)
	fleet.confirmDeadConnection(1e9)
	fleet.now += 5e9
	id := fleet.arrive(0)
	if len(fleet.closedIdle) == 0 {
		t.Fatal("a connection idle for 5 s was used")
	}
	fleet.endAttempt(id, 0, OutcomeConnectFailed, 75*ms)
	if fleet.idleConns.timeout.Limit < 1e12 {
		t.Errorf("idle time trusted %d ms, and no new connection can be had", fleet.idleConns.timeout.Limit/ms)
	}
}

// Guards against a slow answer or two closing connections everywhere: it takes signs from one node in 25.
func TestGossipLowersIdleTimeoutOnlyWithQuorum(t *testing.T) {
	fleet := newTestFleet(t, 4, manyNodesSettings)
	message := GossipMessage{IdleTime: 1200 * ms}
	for received := range 40 {
		if unlimited := fleet.idleConns.timeout.Limit > 1e12; unlimited != (received < 12) {
			t.Fatalf("after %d messages of 300 connections are trusted: %v", received, unlimited)
		}
		fleet.GossipReceived(fleet.now, message)
	}
	if fleet.idleConns.timeout.Limit != 900*ms {
		t.Errorf("trusted for %d ms", fleet.idleConns.timeout.Limit/ms)
	}
	for range 200 {
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if fleet.idleConns.timeout.Limit < 5e9 {
		t.Errorf("200 s later connections are trusted for %d ms only", fleet.idleConns.timeout.Limit/ms)
	}
}

// Guards against endpoints that reset requests for reasons of their own being taken for connections that die idle:
// closing and opening connections all the time cost an incident half of its service.
func TestOccasionalResetsDoNotLowerIdleTimeout(t *testing.T) {
	fleet := newTestFleet(t, 1, func(s *Settings) { s.StreamsPerConnection = 100 })
	fleet.serve(40, respondPromptly)
	for n := range 60 {
		fleet.now += 2e9
		id, outcome := fleet.arrive(0), OutcomeSucceeded
		if n%12 == 11 {
			outcome = OutcomeReset
		}
		fleet.now += ms
		fleet.endAttempt(id, 0, outcome, ms)
		if outcome == OutcomeReset { // the request goes to its only endpoint again
			fleet.endAttempt(id, 1, OutcomeSucceeded, ms)
		}
	}
	if fleet.idleConns.timeout.Limit < 1e12 {
		t.Errorf(
			"one reset in twelve, and connections idle for %d ms are no longer trusted", fleet.idleConns.timeout.Limit/ms,
		)
	}
}
