package policy

import (
	"testing"
)

func TestOverdueRequestIsHedgedAndCountsAgainstEndpoint(t *testing.T) {
	b := newTestFleet(t, 3, nil)
	b.serve(60, respondPromptly)
	b.tick()
	id := b.arrive(0)
	b.now += 200 * ms
	b.TimerFired(b.now, b.timers[len(b.timers)-1])
	req := b.requests.byID[id]
	if req.inFlight != 2 || req.attempts[0].endpoint == req.attempts[1].endpoint {
		t.Fatalf("the overdue request has %d attempts out", req.inFlight)
	}
	slow := req.attempts[0].endpoint
	b.endAttempt(id, 1, OutcomeSucceeded, 40*ms)
	if b.canceled != 1 {
		t.Errorf("%d attempts were canceled after the copy's answer", b.canceled)
	}
	if b.endAttempt(id, 0, OutcomeCanceled, 240*ms); slow.health[0].failureRate == 0 {
		t.Error("the overtaken endpoint still looks as good as the others")
	}
}

// Guards against an idempotent request waiting for a silent endpoint to its end where no hedged request is allowed.
func TestOverdueRequestIsCanceledWithoutHedging(t *testing.T) {
	b := newTestFleet(t, 3, func(s *Settings) { s.MayHedge = false })
	b.serve(60, respondPromptly)
	b.tick()
	id := b.arrive(0)
	first := b.lastSent()
	b.now += 200 * ms
	b.TimerFired(b.now, b.timers[len(b.timers)-1])
	if b.canceled != 1 {
		t.Fatalf("%d canceled", b.canceled)
	}
	if b.endAttempt(id, 0, OutcomeCanceled, 200*ms); b.lastSent() == first || b.requests.byID[id].inFlight != 1 {
		t.Error("the canceled request did not go to another endpoint")
	}
	exclusive := b.requests.byID[b.arrive(2)]
	b.now += 200 * ms
	b.handleOverdueAttempt(b.now, exclusive, 0)
	if b.canceled != 1 {
		t.Error("a non-idempotent request was canceled")
	}
}

// Guards against heavy requests being begun again and again: an endpoint that has answered others meanwhile is at work.
func TestOverdueRequestIsNotCanceledAtRespondingEndpoint(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b := newTestFleet(t, 2, func(s *Settings) { s.MayHedge = false })
		b.serve(40, respondPromptly)
		id := b.arrive(0)
		timer, endpoint := b.timers[len(b.timers)-1], b.lastSent()
		b.now += 50 * ms
		for atSameEndpoint := false; answers && !atSameEndpoint; {
			other := b.arrive(0)
			atSameEndpoint = b.lastSent() == endpoint
			b.endAttempt(other, 0, OutcomeSucceeded, 50*ms)
		}
		b.now += 300 * ms
		b.canceled = 0
		if b.TimerFired(b.now, timer); b.canceled > 0 == answers {
			t.Errorf("its endpoint answers others: %t; canceled %d times", answers, b.canceled)
		}
		b.ClientGone(b.now, id)
	}
}

// Guards against a request being given up with time left, since it was canceled at the only endpoint that could answer.
func TestOverdueRequestIsNotCanceledWithoutAlternative(t *testing.T) {
	for name, leaveOne := range map[string]func(*testFleet, *endpoint){
		"others drain": func(_ *testFleet, other *endpoint) { other.State = StateDraining },
		"others eject": func(b *testFleet, other *endpoint) {
			other.health[0].ejected = true
			other.health[0].nextTrialAt = b.now.Add(10e9)
		},
		"others back off": func(b *testFleet, other *endpoint) { other.backoffUntil = b.now.Add(10e9) },
		"others are in slow start": func(b *testFleet, other *endpoint) {
			other.StartedAt, other.slowStartCredit = b.now, 0
		},
		"others are late":                    func(_ *testFleet, other *endpoint) { other.Latency.FirstSum = 1e6 },
		"the request is at its last attempt": func(b *testFleet, _ *endpoint) { b.settings.MaxAttempts = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestFleet(t, 3, func(s *Settings) { s.MayHedge = false })
			b.serve(60, respondPromptly)
			b.tick()
			id := b.arrive(0)
			for _, other := range b.endpoints.all {
				if other.ID != b.lastSent() {
					leaveOne(b, other)
				}
			}
			b.now += 200 * ms
			b.TimerFired(b.now, b.timers[len(b.timers)-1])
			if b.canceled != 0 {
				t.Fatalf("%d attempts were canceled with no endpoint to go to", b.canceled)
			}
			b.endAttempt(id, 0, OutcomeSucceeded, 240*ms)
			if b.rejected+b.failed > 0 {
				t.Errorf("%d rejected, %d failed", b.rejected, b.failed)
			}
		})
	}
}

// Guards against a request waiting until its deadline on a connection that something between has dropped.
func TestOverdueRequestOnDeadConnectionIsResentToOnlyEndpoint(t *testing.T) {
	b := newTestFleet(t, 1, func(s *Settings) { s.MayHedge = false; s.StreamsPerConnection = 1 })
	b.serve(60, respondPromptly)
	b.tick()
	b.endpoints.all[0].maxInFlight = 1
	b.now = b.now.Add(2 * minDeadIdleTime)
	id := b.arrive(0)
	b.now += 200 * ms
	b.TimerFired(b.now, b.timers[len(b.timers)-1])
	if b.canceled != 1 {
		t.Fatalf("%d attempts were canceled on a connection that may be dead", b.canceled)
	}
	if b.endAttempt(id, 0, OutcomeCanceled, 200*ms); b.rejected > 0 || b.requests.byID[id].inFlight != 1 {
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
