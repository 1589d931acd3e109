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
		t.Fatalf("the overdue request has %d attempts out", req.inFlight)
	}
	slow := req.attempts[0].endpoint
	fleet.endAttempt(id, 1, OutcomeSucceeded, 40*ms)
	if fleet.canceled != 1 {
		t.Errorf("%d attempts were canceled after the copy's answer", fleet.canceled)
	}
	if fleet.endAttempt(id, 0, OutcomeCanceled, 240*ms); slow.health[0].failureRate == 0 {
		t.Error("the overtaken endpoint still looks as good as the others")
	}
}

// Guards against an idempotent request waiting for a silent endpoint to its end where no hedged request is allowed.
func TestOverdueRequestIsCanceledWithoutHedging(t *testing.T) {
	fleet := newTestFleet(t, 3, func(s *Settings) { s.MayHedge = false })
	fleet.serve(60, respondPromptly)
	fleet.tick()
	id := fleet.arrive(0)
	first := fleet.lastSent()
	fleet.now += 200 * ms
	fleet.TimerFired(fleet.now, fleet.timers[len(fleet.timers)-1])
	if fleet.canceled != 1 {
		t.Fatalf("%d canceled", fleet.canceled)
	}
	if fleet.endAttempt(id, 0, OutcomeCanceled, 200*ms); fleet.lastSent() == first || fleet.requests.byID[id].inFlight != 1 {
		t.Error("the canceled request did not go to another endpoint")
	}
	nonIdempotent := fleet.requests.byID[fleet.arrive(2)]
	fleet.now += 200 * ms
	fleet.handleOverdueAttempt(fleet.now, nonIdempotent, 0)
	if fleet.canceled != 1 {
		t.Error("a non-idempotent request was canceled")
	}
}

// Guards against heavy requests being begun again and again: an endpoint that has answered others meanwhile is at work.
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
			t.Errorf("its endpoint answers others: %t; canceled %d times", responds, fleet.canceled)
		}
		fleet.ClientGone(fleet.now, id)
	}
}

// Guards against a request being given up with time left, since it was canceled at the only endpoint that could answer.
func TestOverdueRequestIsNotCanceledWithoutAlternative(t *testing.T) {
	for name, excludeOther := range map[string]func(*testFleet, *endpoint){
		"others drain": func(_ *testFleet, other *endpoint) { other.State = StateDraining },
		"others eject": func(fleet *testFleet, other *endpoint) {
			other.health[0].ejected = true
			other.health[0].nextTrialAt = fleet.now.Add(10e9)
		},
		"others back off": func(fleet *testFleet, other *endpoint) { other.backoffUntil = fleet.now.Add(10e9) },
		"others are in slow start": func(fleet *testFleet, other *endpoint) {
			other.StartedAt, other.slowStartCredit = fleet.now, 0
		},
		"others are late":                    func(_ *testFleet, other *endpoint) { other.Latency.FirstSum = 1e6 },
		"the request is at its last attempt": func(fleet *testFleet, _ *endpoint) { fleet.settings.MaxAttempts = 1 },
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
				t.Fatalf("%d attempts were canceled with no endpoint to go to", fleet.canceled)
			}
			fleet.endAttempt(id, 0, OutcomeSucceeded, 240*ms)
			if fleet.rejected+fleet.failed > 0 {
				t.Errorf("%d rejected, %d failed", fleet.rejected, fleet.failed)
			}
		})
	}
}

// Guards against a request waiting until its deadline on a connection that something between has dropped.
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
		t.Fatalf("%d attempts were canceled on a connection that may be dead", fleet.canceled)
	}
	if fleet.endAttempt(id, 0, OutcomeCanceled, 200*ms); fleet.rejected > 0 || fleet.requests.byID[id].inFlight != 1 {
		t.Error("the request did not go to its only endpoint again")
	}
}

func TestHedgeBudgetIsBounded(t *testing.T) {
	var budget hedgeBudget
	for range 9 {
		budget.refill()
	}
	if budget.available >= 1 {
		t.Errorf("nine requests earn %g hedged ones", budget.available)
	}
	for range 100 {
		budget.refill()
	}
	if budget.available != maxHedgeBudget {
		t.Errorf("%g hedged requests are saved up, expected %d", budget.available, maxHedgeBudget)
	}
}
