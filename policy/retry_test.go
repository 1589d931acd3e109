package policy

import (
	"testing"
	"time"
)

// Guards against a request whose body is still being received counting as slow or as load of its endpoint, and against
// retrying it when part of its body is no longer buffered.
func TestStreamingBody(t *testing.T) {
	for class, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		for _, outcome := range []Outcome{OutcomeConnectFailed, OutcomeError} {
			fleet := newTestFleet(t, 4, nil)
			fleet.serve(40, respondPromptly)
			fleet.timers = nil
			fleet.RequestArrived(
				fleet.now, Request{ID: "long", Class: class, Deadline: fleet.now + 1000*ms, StreamingBody: true},
			)
			ep := fleet.endpoints.byID[fleet.lastSent()]
			if len(fleet.timers) != 0 || ep.inFlight != 0 {
				t.Errorf(
					"got %d timers for the request and %d attempts in flight at its endpoint, want 0",
					len(fleet.timers), ep.inFlight,
				)
			}
			sent := len(fleet.sent)
			fleet.AttemptEnded(
				fleet.now+ms,
				AttemptResult{
					Request:      "long",
					Endpoint:     ep.ID,
					Outcome:      outcome,
					BodyConsumed: true,
					Report:       LoadReport{-1, -1, -1},
				},
			)
			rejected := idempotency == Idempotent || outcome == OutcomeConnectFailed
			if len(fleet.sent) != sent || ep.inFlight != 0 || (fleet.rejected == 1) != rejected || (fleet.failed == 1) == rejected {
				t.Errorf(
					"idempotency %v, outcome %v: got %d retries, %d in flight, %d rejected, %d failed, want no retry and one final response",
					idempotency, outcome,
					len(fleet.sent)-sent, ep.inFlight, fleet.rejected, fleet.failed,
				)
			}
		}
	}
}

// Checks the rules against duplicate execution for one earlier attempt, sent half a second ago.
func TestMayRejectAndMayRepeat(t *testing.T) {
	const now = Time(1e12)
	window := func(d time.Duration) Class {
		return Class{Idempotency: IdempotentByKey, DedupGroup: DedupFleet, DedupWindow: d}
	}
	grouped := func(group DedupGroup) Class {
		return Class{Idempotency: IdempotentByKey, DedupGroup: group, DedupWindow: time.Second}
	}
	here := &endpoint{EndpointInfo: EndpointInfo{ID: 1, Zone: 1, Pod: 1}}
	samePod := &endpoint{EndpointInfo: EndpointInfo{ID: 2, Zone: 1, Pod: 1}}
	sameZone := &endpoint{EndpointInfo: EndpointInfo{ID: 3, Zone: 1, Pod: 2}}
	elsewhere := &endpoint{EndpointInfo: EndpointInfo{ID: 4, Zone: 2, Pod: 3}}
	for name, test := range map[string]struct {
		class                                              Class
		reject, repeatInPod, repeatInZone, repeatElsewhere bool
	}{
		"idempotent":             {Class{Idempotency: Idempotent}, true, true, true, true},
		"by key, group fleet":    {window(time.Second), true, true, true, true},
		"by key, window expired": {window(time.Second / 2), false, false, false, false},
		"by key, group zone":     {grouped(DedupZone), false, true, true, false},
		"by key, group pod":      {grouped(DedupPod), false, true, false, false},
		"non-idempotent":         {Class{Idempotency: NonIdempotent}, false, false, false, false},
		"group without window":   {Class{Idempotency: IdempotentByKey}, false, false, false, false},
	} {
		class := &test.class
		earlier := attempt{endpoint: here, zone: here.Zone, pod: here.Pod, sentAt: now - 500*ms, mayHaveRun: true}
		if got := MayReject(class, now, []attempt{earlier}, (*attempt).executionInfo); got != test.reject {
			t.Errorf("%s: got may reject %t, want %t", name, got, test.reject)
		}
		for ep, want := range map[*endpoint]bool{
			samePod: test.repeatInPod, sameZone: test.repeatInZone, elsewhere: test.repeatElsewhere,
		} {
			if got := class.mayRepeat(now, &earlier, ep); got != want {
				t.Errorf("%s: endpoint %d: got may repeat %t, want %t", name, ep.ID, got, want)
			}
		}
		earlier.mayHaveRun, earlier.inFlight = false, true
		if got := MayReject(class, now, []attempt{earlier}, (*attempt).executionInfo); got != test.reject {
			t.Errorf("%s, attempt in flight: got may reject %t, want %t", name, got, test.reject)
		}
		earlier.inFlight = false
		if !MayReject(class, now, []attempt{earlier}, (*attempt).executionInfo) {
			t.Errorf("%s: got may reject false with an attempt that was not executed, want true", name)
		}
	}
}

// Guards against giving up a request with time left because the connection to its only endpoint broke.
func TestRetryAtOnlyEndpoint(t *testing.T) {
	for _, test := range []struct {
		class    int
		outcomes []Outcome
		sent     int
		rejected bool // whether the request is rejected in the end
	}{
		{0, []Outcome{OutcomeReset}, 2, false},
		{0, []Outcome{OutcomeReset, OutcomeReset}, 2, true}, // sent again only once
		{0, []Outcome{OutcomeNotSent}, 2, false},
		{0, []Outcome{OutcomeCanceled}, 2, false},
		{0, []Outcome{OutcomeError}, 1, true},
		{0, []Outcome{OutcomeConnectFailed}, 1, true}, // in backoff
		{0, []Outcome{OutcomeRejected}, 1, true},
		{1, []Outcome{OutcomeReset}, 2, false}, // same deduplication group
		{2, []Outcome{OutcomeReset}, 1, false}, // may have run, so it fails
		{2, []Outcome{OutcomeNotSent}, 2, false},
	} {
		fleet := newTestFleet(t, 1, nil)
		fleet.serve(60, respondPromptly)
		fleet.sent = nil
		id := fleet.arrive(test.class)
		for number, outcome := range test.outcomes {
			fleet.endAttempt(id, number, outcome, 10*ms)
		}
		if len(fleet.sent) != test.sent || (fleet.rejected == 1) != test.rejected ||
			fleet.failed > 0 != (test.class == 2 && test.sent == 1) {
			t.Errorf(
				"class %d after %v: got %d attempts, %d rejected, %d failed, want the numbers of this test case",
				test.class, test.outcomes, len(fleet.sent), fleet.rejected, fleet.failed,
			)
		}
	}
}
