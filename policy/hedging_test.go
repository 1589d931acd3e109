package policy

import (
	"testing"
)

func TestOverdueRequestIsHedgedAndItsEndpointJudged(t *testing.T) {
	b := newTestFleet(t, 3, nil)
	b.serve(60, answersPromptly)
	b.tick()
	id := b.arrive(0)
	b.now += 200 * ms
	b.TimerFired(b.now, b.timers[len(b.timers)-1])
	task := b.requests.byID[id]
	if task.inFlight != 2 || task.attempts[0].endpoint == task.attempts[1].endpoint {
		t.Fatalf("the overdue task has %d hand-offs out", task.inFlight)
	}
	slow := task.attempts[0].endpoint
	b.end(id, 1, OutcomeSucceeded, 40*ms)
	if b.canceled != 1 {
		t.Errorf("%d hand-offs were recalled after the copy's answer", b.canceled)
	}
	if b.end(id, 0, OutcomeCanceled, 240*ms); slow.health[0].failureRate == 0 {
		t.Error("the overtaken server still looks as good as the others")
	}
}

// Guards against an idempotent request waiting for a silent server to its end where no hedged request is allowed.
func TestOverdueRequestIsCanceledWithoutHedging(t *testing.T) {
	b := newTestFleet(t, 3, func(s *Settings) { s.MayHedge = false })
	b.serve(60, answersPromptly)
	b.tick()
	id := b.arrive(0)
	first := b.last()
	b.now += 200 * ms
	b.TimerFired(b.now, b.timers[len(b.timers)-1])
	if b.canceled != 1 {
		t.Fatalf("%d recalled", b.canceled)
	}
	if b.end(id, 0, OutcomeCanceled, 200*ms); b.last() == first || b.requests.byID[id].inFlight != 1 {
		t.Error("the recalled task did not go to another server")
	}
	exclusive := b.requests.byID[b.arrive(2)]
	b.now += 200 * ms
	b.attemptOverdue(b.now, exclusive, 0)
	if b.canceled != 1 {
		t.Error("an exclusive task was recalled")
	}
}

// Guards against heavy requests being begun again and again: a server that has answered others meanwhile is at work.
func TestHeavyRequestIsNotCanceled(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b := newTestFleet(t, 1, func(s *Settings) { s.MayHedge = false })
		b.serve(40, answersPromptly)
		id := b.arrive(0)
		timer := b.timers[len(b.timers)-1]
		if answers {
			other := b.arrive(0)
			b.now += 50 * ms
			b.end(other, 0, OutcomeSucceeded, 50*ms)
		}
		b.now += 300 * ms
		b.canceled = 0
		if b.TimerFired(b.now, timer); b.canceled > 0 == answers {
			t.Errorf("its server answers others: %t; recalled %d times", answers, b.canceled)
		}
		b.ClientGone(b.now, id)
	}
}
