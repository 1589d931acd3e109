package policy

import (
	"testing"
)

// Guards against connections that something between drops unseen: what is sent on one is lost, and the endpoint blamed.
func TestIdleConnectionsPastTimeoutAreClosedBeforeUse(t *testing.T) {
	b := newTestFleet(t, 4, func(s *Settings) { s.StreamsPerConnection = 100 })
	b.serve(40, respondPromptly)
	for n := 0; n < 20 && b.idleConns.timeout.Limit > 1e12; n++ {
		b.now += 2e9
		id := b.arrive(0)
		s := b.endpoints.byID[b.lastSent()]
		b.now += ms
		if b.requests.byID[id].attempts[0].idleTime == 0 { // its connection is new
			b.endAttempt(id, 0, OutcomeSucceeded, ms)
			continue
		}
		if b.endAttempt(id, 0, OutcomeReset, ms); s.health[0].failureRate > 0.01 {
			t.Errorf("a reset after idleness counts against the endpoint: %+v", s.health[0])
		}
		b.endAttempt(id, 1, OutcomeSucceeded, 40*ms)
	}
	if b.idleConns.timeout.Limit > 8e9 {
		t.Fatalf("connections idle for %d ms are still trusted", b.idleConns.timeout.Limit/ms)
	}
	b.closedIdle = nil
	for range 8 {
		b.now += 9e9
		b.serve(1, respondPromptly)
	}
	if len(b.closedIdle) < 4 {
		t.Errorf("of connections idle for 9 s and more %d were closed before use", len(b.closedIdle))
	}
}

// Guards against a node that comes by each endpoint seldom: it lost a request to each before it learned that they die
// idle.
func TestOverdueAttemptsOnIdleConnectionsLowerIdleTimeout(t *testing.T) {
	for _, most := range []int{1, 2} { // out at once at an endpoint
		b := newTestFleet(t, 6, func(s *Settings) { s.StreamsPerConnection = 1 })
		b.serve(60, respondPromptly)
		for _, s := range b.endpoints.byID {
			s.maxInFlight = most
		}
		for range 3 {
			b.now += 2e9
			b.arrive(0)
			b.now += 400 * ms
			b.TimerFired(b.now, b.timers[len(b.timers)-1])
		}
		if learned := b.idleConns.timeout.Limit < 1e12; learned != (most == 1) {
			t.Errorf(
				"%d out at once at an endpoint, where a connection carries one: idle time trusted %d ms", most,
				b.idleConns.timeout.Limit/ms,
			)
		}
	}
}

// Guards against closing what stands open while new connections are slow or can't be had: the belief ends there.
func TestConnectFailureResetsIdleTimeout(t *testing.T) {
	b := newTestFleet(t, 3, func(s *Settings) { s.StreamsPerConnection = 1 })
	b.serve(30, respondPromptly)
	b.confirmDeadConnection(1e9)
	b.now += 5e9
	id := b.arrive(0)
	if len(b.closedIdle) == 0 {
		t.Fatal("a connection idle for 5 s was used")
	}
	b.endAttempt(id, 0, OutcomeConnectFailed, 75*ms)
	if b.idleConns.timeout.Limit < 1e12 {
		t.Errorf("idle time trusted %d ms, and no new connection can be had", b.idleConns.timeout.Limit/ms)
	}
}

// Guards against a slow answer or two closing connections everywhere: it takes signs from one node in 25.
func TestGossipLowersIdleTimeoutOnlyWithQuorum(t *testing.T) {
	b := newTestFleet(t, 4, manyNodesSettings)
	message := GossipMessage{IdleTime: 1200 * ms}
	for n := range 40 {
		if trusted := b.idleConns.timeout.Limit > 1e12; trusted != (n < 12) {
			t.Fatalf("after %d messages of 300 connections are trusted: %v", n, trusted)
		}
		b.GossipReceived(b.now, message)
	}
	if b.idleConns.timeout.Limit != 900*ms {
		t.Errorf("trusted for %d ms", b.idleConns.timeout.Limit/ms)
	}
	for range 200 {
		b.now += Time(tickInterval)
		b.tick()
	}
	if b.idleConns.timeout.Limit < 5e9 {
		t.Errorf("200 s later connections are trusted for %d ms only", b.idleConns.timeout.Limit/ms)
	}
}

// Guards against endpoints that reset requests for reasons of their own being taken for connections that die idle:
// closing and opening connections all the time cost an incident half of its service.
func TestOccasionalResetsDoNotLowerIdleTimeout(t *testing.T) {
	b := newTestFleet(t, 1, func(s *Settings) { s.StreamsPerConnection = 100 })
	b.serve(40, respondPromptly)
	for n := range 60 {
		b.now += 2e9
		id, o := b.arrive(0), OutcomeSucceeded
		if n%12 == 11 {
			o = OutcomeReset
		}
		b.now += ms
		b.endAttempt(id, 0, o, ms)
		if o == OutcomeReset { // the request goes to its only endpoint again
			b.endAttempt(id, 1, OutcomeSucceeded, ms)
		}
	}
	if b.idleConns.timeout.Limit < 1e12 {
		t.Errorf(
			"one reset in twelve, and connections idle for %d ms are no longer trusted", b.idleConns.timeout.Limit/ms,
		)
	}
}
