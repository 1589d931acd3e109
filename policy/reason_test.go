package policy

import "testing"

// Guards against rejections and failures whose cause operators cannot identify.
func TestGiveUpReasons(t *testing.T) {
	everyEndpoint := func(change func(*testFleet, *endpoint)) func(*testFleet) {
		return func(fleet *testFleet) {
			for _, ep := range fleet.endpoints.all {
				change(fleet, ep)
			}
		}
	}
	arrive := func(fleet *testFleet) { fleet.arrive(0) }
	endWith := func(class int, outcome Outcome) func(*testFleet) {
		return func(fleet *testFleet) {
			id := fleet.arrive(class)
			for fleet.rejected+fleet.failed == 0 {
				fleet.endAttempt(id, len(fleet.requests.byID[id].attempts)-1, outcome, 0)
			}
		}
	}
	for want, test := range map[Reason]struct {
		prepare, run func(*testFleet)
	}{
		ReasonNoEndpoint: {everyEndpoint(func(_ *testFleet, ep *endpoint) { ep.State = StateDraining }), arrive},
		ReasonBackoff:    {everyEndpoint(func(fleet *testFleet, ep *endpoint) { ep.backoffUntil = fleet.now + 1 }), arrive},
		ReasonSlowStart: {everyEndpoint(func(fleet *testFleet, ep *endpoint) {
			ep.StartedAt, ep.slowStartCredit = fleet.now, 0
		}), arrive},
		ReasonEjected: {everyEndpoint(func(fleet *testFleet, ep *endpoint) {
			ep.health[0].ejected, ep.health[0].nextTrialAt, ep.Latency.Weight = true, fleet.now+1, 0
		}), arrive},
		ReasonSilent: {everyEndpoint(func(fleet *testFleet, ep *endpoint) {
			ep.inFlight, ep.lastActiveAt = 1, fleet.now-10e9
		}), arrive},
		ReasonNotInTime: {everyEndpoint(func(_ *testFleet, ep *endpoint) { ep.Latency.FirstSum = 1e6 }), arrive},
		ReasonOverQuota: {func(fleet *testFleet) {
			everyEndpoint(func(_ *testFleet, ep *endpoint) { ep.Latency.FirstSum = 1e6 })(fleet)
			fleet.estimator.classes[1].SuccessRate = 0.5
		}, func(fleet *testFleet) {
			req := fleet.newRequest(fleet.now, Request{ID: "r", Deadline: fleet.now + 1000*ms})
			req.overQuota = true
			fleet.sendOrGiveUp(fleet.now, req)
		}},
		ReasonShedAll:      {func(fleet *testFleet) { fleet.overload.shedAllUntil = fleet.now + 1 }, arrive},
		ReasonAttemptsUsed: {func(fleet *testFleet) { fleet.settings.MaxAttempts = 1 }, endWith(0, OutcomeReset)},
		ReasonMayHaveRun:   {func(*testFleet) {}, endWith(2, OutcomeUnknown)},
		ReasonLastTried: {func(fleet *testFleet) {
			for _, ep := range fleet.endpoints.all[1:] {
				ep.State = StateRemoved
			}
		}, endWith(0, OutcomeError)},
		ReasonDeadline: {func(*testFleet) {}, func(fleet *testFleet) {
			id := fleet.arrive(0)
			fleet.now += 1000 * ms
			fleet.endAttempt(id, 0, OutcomeTimedOut, 1000*ms)
		}},
		ReasonBodyConsumed: {func(*testFleet) {}, func(fleet *testFleet) {
			id := fleet.arrive(0)
			fleet.AttemptEnded(fleet.now, AttemptResult{
				Request: id, Outcome: OutcomeReset, BodyConsumed: true, Report: LoadReport{-1, -1, -1},
			})
		}},
	} {
		t.Run(want.String(), func(t *testing.T) {
			fleet := newTestFleet(t, 3, nil)
			fleet.serve(40, respondPromptly)
			test.prepare(fleet)
			test.run(fleet)
			if fleet.rejected+fleet.failed != 1 || fleet.reason != want {
				t.Errorf(
					"got %d rejected and %d failed, last reason %q, want one with reason %q",
					fleet.rejected, fleet.failed, fleet.reason, want,
				)
			}
		})
	}
}

func TestEveryReasonHasAName(t *testing.T) {
	seen := map[string]Reason{}
	for reason := range ReasonCount {
		name := reason.String()
		if other, taken := seen[name]; name == "" || taken {
			t.Errorf("reason %d has the name %q, which is empty or also that of reason %d", reason, name, other)
		}
		seen[name] = reason
	}
}
