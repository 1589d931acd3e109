package policy

import "testing"

// Guards against a rejection or failure of which operators can't tell the cause.
func TestGiveUpReasons(t *testing.T) {
	everyEndpoint := func(change func(*testFleet, *endpoint)) func(*testFleet) {
		return func(b *testFleet) {
			for _, ep := range b.endpoints.all {
				change(b, ep)
			}
		}
	}
	arrive := func(b *testFleet) { b.arrive(0) }
	endWith := func(class int, outcome Outcome) func(*testFleet) {
		return func(b *testFleet) {
			id := b.arrive(class)
			for b.rejected+b.failed == 0 {
				b.endAttempt(id, len(b.requests.byID[id].attempts)-1, outcome, 0)
			}
		}
	}
	for want, c := range map[Reason]struct {
		prepare, play func(*testFleet)
	}{
		ReasonNoEndpoint: {everyEndpoint(func(_ *testFleet, ep *endpoint) { ep.State = StateDraining }), arrive},
		ReasonBackoff:    {everyEndpoint(func(b *testFleet, ep *endpoint) { ep.backoffUntil = b.now + 1 }), arrive},
		ReasonSlowStart: {everyEndpoint(func(b *testFleet, ep *endpoint) {
			ep.StartedAt, ep.slowStartCredit = b.now, 0
		}), arrive},
		ReasonEjected: {everyEndpoint(func(b *testFleet, ep *endpoint) {
			ep.health[0].ejected, ep.health[0].nextTrialAt, ep.Latency.Weight = true, b.now+1, 0
		}), arrive},
		ReasonSilent: {everyEndpoint(func(b *testFleet, ep *endpoint) {
			ep.inFlight, ep.lastActiveAt = 1, b.now-10e9
		}), arrive},
		ReasonNotInTime: {everyEndpoint(func(_ *testFleet, ep *endpoint) { ep.Latency.FirstSum = 1e6 }), arrive},
		ReasonOverQuota: {func(b *testFleet) {
			everyEndpoint(func(_ *testFleet, ep *endpoint) { ep.Latency.FirstSum = 1e6 })(b)
			b.estimator.classes[1].SuccessRate = 0.5
		}, func(b *testFleet) {
			req := b.newRequest(b.now, Request{ID: "r", Deadline: b.now + 1000*ms})
			req.overQuota = true
			b.sendOrGiveUp(b.now, req)
		}},
		ReasonShedAll:      {func(b *testFleet) { b.overload.shedAllUntil = b.now + 1 }, arrive},
		ReasonAttemptsUsed: {func(b *testFleet) { b.settings.MaxAttempts = 1 }, endWith(0, OutcomeReset)},
		ReasonMayHaveRun:   {func(*testFleet) {}, endWith(2, OutcomeUnknown)},
		ReasonLastTried: {func(b *testFleet) {
			for _, ep := range b.endpoints.all[1:] {
				ep.State = StateRemoved
			}
		}, endWith(0, OutcomeError)},
		ReasonDeadline: {func(*testFleet) {}, func(b *testFleet) {
			id := b.arrive(0)
			b.now += 1000 * ms
			b.endAttempt(id, 0, OutcomeTimedOut, 1000*ms)
		}},
		ReasonBodyConsumed: {func(*testFleet) {}, func(b *testFleet) {
			id := b.arrive(0)
			b.AttemptEnded(b.now, AttemptResult{
				Request: id, Outcome: OutcomeReset, BodyConsumed: true, Report: LoadReport{-1, -1, -1},
			})
		}},
	} {
		t.Run(want.String(), func(t *testing.T) {
			b := newTestFleet(t, 3, nil)
			b.serve(40, respondPromptly)
			c.prepare(b)
			c.play(b)
			if b.rejected+b.failed != 1 || b.reason != want {
				t.Errorf("%d rejected, %d failed, the last for %q, expected %q", b.rejected, b.failed, b.reason, want)
			}
		})
	}
}

func TestEveryReasonHasAName(t *testing.T) {
	seen := map[string]Reason{}
	for reason := range ReasonCount {
		name := reason.String()
		if other, taken := seen[name]; name == "" || taken {
			t.Errorf("reason %d is named %q, as is %d", reason, name, other)
		}
		seen[name] = reason
	}
}
