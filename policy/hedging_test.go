package policy

import (
	"testing"
)

func TestOverdueRequestIsHedgedAndCountsAgainstEndpoint(t *testing.T) {
	fleet := newTestFleet(t, 3, nil)
	fleet.serve(60, respondPromptly)
	fleet.tick()
	id := fleet.arrive(0)
	fleet.now += 200 * ms
	fleet.TimerFired(fleet.now, fleet.timers[len(fleet.timers)-1])
	req := fleet.requests.byID[id]
	if req.inFlight != 2 || req.attempts[0].endpoint == req.attempts[1].endpoint {
		t.Fatalf("got %d attempts in flight for an overdue request, want 2 at different endpoints", req.inFlight)
	}
	slow := req.attempts[0].endpoint
	fleet.endAttempt(id, 1, OutcomeSucceeded, 40*ms)
	if fleet.canceled != 1 {
		t.Errorf("got %d attempts canceled after the response to the hedged request, want 1", fleet.canceled)
	}
	if fleet.endAttempt(id, 0, OutcomeCanceled, 240*ms); slow.health[0].failureRate == 0 {
		t.Error("got failure rate 0 for the endpoint of the overdue attempt, want more")
	}
}

// Guards against an idempotent request waiting for a silent endpoint until its deadline if hedging is not allowed.
func TestOverdueRequestIsCanceledWithoutHedging(t *testing.T) {
	fleet := newTestFleet(t, 3, func(s *Settings) { s.MayHedge = false })
	fleet.serve(60, respondPromptly)
	fleet.tick()
	id := fleet.arrive(0)
	first := fleet.lastSent()
	fleet.now += 200 * ms
	fleet.TimerFired(fleet.now, fleet.timers[len(fleet.timers)-1])
	if fleet.canceled != 1 {
		t.Fatalf("got %d attempts canceled, want 1", fleet.canceled)
	}
	if fleet.endAttempt(id, 0, OutcomeCanceled, 200*ms); fleet.lastSent() == first || fleet.requests.byID[id].inFlight != 1 {
		t.Error("got the canceled request at the same endpoint or not in flight, want it in flight at another endpoint")
	}
	nonIdempotent := fleet.requests.byID[fleet.arrive(2)]
	fleet.now += 200 * ms
	fleet.handleOverdueAttempt(fleet.now, nonIdempotent, 0)
	if fleet.canceled != 1 {
		t.Error("got an overdue non-idempotent attempt canceled, want it left in flight")
	}
}

// Guards against restarting heavy requests again and again: an endpoint that has responded to others is still working
// on its own.
func TestOverdueRequestIsNotCanceledAtRespondingEndpoint(t *testing.T) {
	for _, responds := range []bool{false, true} {
		fleet := newTestFleet(t, 2, func(s *Settings) { s.MayHedge = false })
		fleet.serve(40, respondPromptly)
		id := fleet.arrive(0)
		timer, endpoint := fleet.timers[len(fleet.timers)-1], fleet.lastSent()
		fleet.now += 50 * ms
		for atSameEndpoint := false; responds && !atSameEndpoint; {
			other := fleet.arrive(0)
			atSameEndpoint = fleet.lastSent() == endpoint
			fleet.endAttempt(other, 0, OutcomeSucceeded, 50*ms)
		}
		fleet.now += 300 * ms
		fleet.canceled = 0
		if fleet.TimerFired(fleet.now, timer); fleet.canceled > 0 == responds {
			t.Errorf(
				"endpoint responds to others %t: got %d attempts canceled, want one only if it does not",
				responds, fleet.canceled,
			)
		}
		fleet.ClientGone(fleet.now, id)
	}
}

// Guards against giving up a request with time left because it was canceled at the only endpoint that could respond.
func TestOverdueRequestIsNotCanceledWithoutAlternative(t *testing.T) {
	for name, excludeOther := range map[string]func(*testFleet, *endpoint){
		"others are draining": func(_ *testFleet, other *endpoint) { other.State = StateDraining },
		"others are ejected": func(fleet *testFleet, other *endpoint) {
			other.health[0].ejected = true
			other.health[0].nextTrialAt = fleet.now.Add(10e9)
		},
		"others are in backoff": func(fleet *testFleet, other *endpoint) { other.backoffUntil = fleet.now.Add(10e9) },
		"others are in slow start": func(fleet *testFleet, other *endpoint) {
			other.StartedAt, other.slowStartCredit = fleet.now, 0
		},
		"others are too slow":              func(_ *testFleet, other *endpoint) { other.Latency.FirstSum = 1e6 },
		"request has had its last attempt": func(fleet *testFleet, _ *endpoint) { fleet.settings.MaxAttempts = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 3, func(s *Settings) { s.MayHedge = false })
			fleet.serve(60, respondPromptly)
			fleet.tick()
			id := fleet.arrive(0)
			for _, other := range fleet.endpoints.all {
				if other.ID != fleet.lastSent() {
					excludeOther(fleet, other)
				}
			}
			fleet.now += 200 * ms
			fleet.TimerFired(fleet.now, fleet.timers[len(fleet.timers)-1])
			if fleet.canceled != 0 {
				t.Fatalf("got %d attempts canceled without another endpoint to send to, want 0", fleet.canceled)
			}
			fleet.endAttempt(id, 0, OutcomeSucceeded, 240*ms)
			if fleet.rejected+fleet.failed > 0 {
				t.Errorf("got %d requests rejected and %d failed, want 0", fleet.rejected, fleet.failed)
			}
		})
	}
}

// Guards against a request waiting until its deadline on a connection that was dropped silently on the path.
func TestOverdueRequestOnDeadConnectionIsResentToOnlyEndpoint(t *testing.T) {
	fleet := newTestFleet(t, 1, func(s *Settings) { s.MayHedge = false; s.StreamsPerConnection = 1 })
	fleet.serve(60, respondPromptly)
	fleet.tick()
	fleet.endpoints.all[0].maxInFlight = 1
	fleet.now = fleet.now.Add(2 * minDeadIdleTime)
	id := fleet.arrive(0)
	fleet.now += 200 * ms
	fleet.TimerFired(fleet.now, fleet.timers[len(fleet.timers)-1])
	if fleet.canceled != 1 {
		t.Fatalf("got %d attempts canceled on a connection that may be dead, want 1", fleet.canceled)
	}
	if fleet.endAttempt(id, 0, OutcomeCanceled, 200*ms); fleet.rejected > 0 || fleet.requests.byID[id].inFlight != 1 {
		t.Error("got the request rejected or not in flight, want it sent to its only endpoint again")
	}
}

func TestHedgeBudgetIsBounded(t *testing.T) {
	var budget hedgeBudget
	for range 9 {
		budget.refill()
	}
	if budget.available >= 1 {
		t.Errorf("got a budget of %g hedged requests after nine requests, want less than 1", budget.available)
	}
	for range 100 {
		budget.refill()
	}
	if budget.available != maxHedgeBudget {
		t.Errorf("got a budget of %g hedged requests, want %d", budget.available, maxHedgeBudget)
	}
}

// Guards against an overdue request that waits until its deadline because its hedged attempt was never sent.
func TestHedgedAttemptThatWasNotSentIsReplaced(t *testing.T) {
	fleet := newTestFleet(t, 3, nil)
	fleet.serve(60, respondPromptly)
	fleet.tick()
	id := fleet.arrive(0)
	fleet.now += 200 * ms
	fleet.TimerFired(fleet.now, fleet.timers[len(fleet.timers)-1])
	req := fleet.requests.byID[id]
	fleet.endAttempt(id, 1, OutcomeNotSent, 10*ms)
	if len(req.attempts) != 3 || req.inFlight != 2 || req.attempts[2].endpoint == req.attempts[0].endpoint {
		t.Fatalf("got %d attempts, %d in flight, want a third attempt at another endpoint than the first",
			len(req.attempts), req.inFlight)
	}
	for number := 2; number < fleet.settings.MaxAttempts; number++ {
		fleet.endAttempt(id, number, OutcomeNotSent, 10*ms)
	}
	if req.inFlight != 1 {
		t.Errorf("got %d attempts in flight once all attempts are used up, want 1", req.inFlight)
	}
	overdue := fleet.requests.byID[fleet.arrive(2)]
	fleet.now += 200 * ms
	fleet.handleOverdueAttempt(fleet.now, overdue, 0)
	if len(overdue.attempts) != 1 {
		t.Errorf("got %d attempts of a non-idempotent request, want 1", len(overdue.attempts))
	}
}
