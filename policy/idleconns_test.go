package policy

import (
	"testing"
)

// Guards against idle connections that are dropped silently on the path: requests sent on them are lost and count
// against the endpoint.
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
			t.Errorf(
				"a reset on an idle connection counts against the endpoint: got health %+v, want a failure rate of at most 0.01",
				ep.health[0],
			)
		}
		fleet.endAttempt(id, 1, OutcomeSucceeded, 40*ms)
	}
	if fleet.idleConns.timeout.Limit > 8e9 {
		t.Fatalf(
			"got idle timeout %d ms after resets of connections idle for 2 s, want at most 8000 ms",
			fleet.idleConns.timeout.Limit/ms,
		)
	}
	fleet.closedIdle = nil
	for range 8 {
		fleet.now += 9e9
		fleet.serve(1, respondPromptly)
	}
	if len(fleet.closedIdle) < 4 {
		t.Errorf("got %d connections closed that were idle for 9 s or more, want at least 4", len(fleet.closedIdle))
	}
}

// Guards against a node that sends few requests to each endpoint and loses one request per endpoint before it detects
// that idle connections are dead: overdue attempts must count before they end.
func TestOverdueAttemptsOnIdleConnectionsLowerIdleTimeout(t *testing.T) {
	for _, maxInFlight := range []int{1, 2} { // maximum number of attempts in flight per endpoint
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
				"up to %d attempts in flight per endpoint: got idle timeout %d ms, want it lowered only with 1",
				maxInFlight,
				fleet.idleConns.timeout.Limit/ms,
			)
		}
	}
}

// Guards against closing open connections while new ones are slow to open or cannot be opened: a failed connect resets
// the idle timeout.
func TestConnectFailureResetsIdleTimeout(t *testing.T) {
	fleet := newTestFleet(t, 3, func(s *Settings) { s.StreamsPerConnection = 1 })
	fleet.serve(30, respondPromptly)
	fleet.confirmDeadConnection(1e9)
	fleet.now += 5e9
	id := fleet.arrive(0)
	if len(fleet.closedIdle) == 0 {
		t.Fatal("a connection idle for 5 s was used, want it closed")
	}
	fleet.endAttempt(id, 0, OutcomeConnectFailed, 75*ms)
	if fleet.idleConns.timeout.Limit < 1e12 {
		t.Errorf("got idle timeout %d ms after a failed connect, want none", fleet.idleConns.timeout.Limit/ms)
	}
}

// Guards against one or two slow responses closing connections on all nodes: messages from one node in 25 are required.
func TestGossipLowersIdleTimeoutOnlyWithQuorum(t *testing.T) {
	fleet := newTestFleet(t, 4, manyNodesSettings)
	message := GossipMessage{IdleTime: 1200 * ms}
	for received := range 40 {
		if unlimited := fleet.idleConns.timeout.Limit > 1e12; unlimited != (received < 12) {
			t.Fatalf(
				"after %d messages among 300 nodes: got unlimited idle time %t, want a limit from 12 messages on",
				received, unlimited,
			)
		}
		fleet.GossipReceived(fleet.now, message)
	}
	if fleet.idleConns.timeout.Limit != 900*ms {
		t.Errorf("got idle timeout %d ms, want 900 ms", fleet.idleConns.timeout.Limit/ms)
	}
	for range 200 {
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if fleet.idleConns.timeout.Limit < 5e9 {
		t.Errorf(
			"got idle timeout %d ms after 200 s without messages, want at least 5000 ms",
			fleet.idleConns.timeout.Limit/ms,
		)
	}
}

// Guards against attributing resets that endpoints cause for other reasons to idle connections. In an incident,
// constantly closing and reopening connections cost half of the service.
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
		if outcome == OutcomeReset { // the request is retried at its only endpoint
			fleet.endAttempt(id, 1, OutcomeSucceeded, ms)
		}
	}
	if fleet.idleConns.timeout.Limit < 1e12 {
		t.Errorf(
			"got idle timeout %d ms with one reset in twelve attempts, want none", fleet.idleConns.timeout.Limit/ms,
		)
	}
}
