package policy

import (
	"testing"
	"time"
)

// Guards against a request whose body still comes being judged as a slow endpoint's, counted as its crowd, or sent
// again when part of its body is held no more.
func TestStreamingBody(t *testing.T) {
	for class, repeat := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		for _, o := range []Outcome{OutcomeConnectFailed, OutcomeError} {
			b := newTestFleet(t, 4, nil)
			b.serve(40, respondPromptly)
			b.timers = nil
			b.RequestArrived(b.now, Request{ID: "long", Class: class, Deadline: b.now + 1000*ms, StreamingBody: true})
			s := b.endpoints.byID[b.lastSent()]
			if len(b.timers) != 0 || s.inFlight != 0 {
				t.Errorf("%d timers wait for it, %d out at its endpoint", len(b.timers), s.inFlight)
			}
			sent := len(b.sent)
			b.AttemptEnded(
				b.now+ms,
				AttemptResult{
					Request:      "long",
					Endpoint:     s.ID,
					Outcome:      o,
					BodyConsumed: true,
					Report:       LoadReport{-1, -1, -1},
				},
			)
			rejected := repeat == Idempotent || o == OutcomeConnectFailed
			if len(b.sent) != sent || s.inFlight != 0 || (b.rejected == 1) != rejected || (b.failed == 1) == rejected {
				t.Errorf(
					"repeat %d, outcome %d: %d more attempts, %d out, %d rejected, %d failed", repeat, o,
					len(b.sent)-sent, s.inFlight, b.rejected, b.failed,
				)
			}
		}
	}
}

// The rule of double effects, for one earlier attempt that was sent half a second ago.
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
	for name, c := range map[string]struct {
		class                                              Class
		reject, repeatInPod, repeatInZone, repeatElsewhere bool
	}{
		"idempotent":             {Class{Idempotency: Idempotent}, true, true, true, true},
		"by key, whole fleet":    {window(time.Second), true, true, true, true},
		"by key, window over":    {window(time.Second / 2), false, false, false, false},
		"by key, within a zone":  {grouped(DedupZone), false, true, true, false},
		"by key, within a pod":   {grouped(DedupPod), false, true, false, false},
		"non-idempotent":         {Class{Idempotency: NonIdempotent}, false, false, false, false},
		"group without a window": {Class{Idempotency: IdempotentByKey}, false, false, false, false},
	} {
		class := &c.class
		earlier := attempt{endpoint: here, zone: here.Zone, pod: here.Pod, sentAt: now - 500*ms, mayHaveRun: true}
		if got := MayReject(class, now, []attempt{earlier}, (*attempt).executionInfo); got != c.reject {
			t.Errorf("%s: may be rejected %t, expected %t", name, got, c.reject)
		}
		for ep, want := range map[*endpoint]bool{samePod: c.repeatInPod, sameZone: c.repeatInZone, elsewhere: c.repeatElsewhere} {
			if got := class.mayRepeat(now, &earlier, ep); got != want {
				t.Errorf("%s: endpoint %d may repeat it %t, expected %t", name, ep.ID, got, want)
			}
		}
		earlier.mayHaveRun, earlier.inFlight = false, true
		if got := MayReject(class, now, []attempt{earlier}, (*attempt).executionInfo); got != c.reject {
			t.Errorf("%s, in flight: may be rejected %t, expected %t", name, got, c.reject)
		}
		earlier.inFlight = false
		if !MayReject(class, now, []attempt{earlier}, (*attempt).executionInfo) {
			t.Errorf("%s: an attempt that never ran forbids to reject", name)
		}
	}
}

// Guards against a request being given up with time left because the connection to its only endpoint broke.
func TestRetryAtOnlyEndpoint(t *testing.T) {
	for _, c := range []struct {
		class    int
		outcomes []Outcome
		sent     int
		rejected bool // in the end, where not sent again
	}{
		{0, []Outcome{OutcomeReset}, 2, false},
		{0, []Outcome{OutcomeReset, OutcomeReset}, 2, true}, // once, not again
		{0, []Outcome{OutcomeNotSent}, 2, false},
		{0, []Outcome{OutcomeCanceled}, 2, false},
		{0, []Outcome{OutcomeError}, 1, true},
		{0, []Outcome{OutcomeConnectFailed}, 1, true}, // it is in backoff
		{0, []Outcome{OutcomeRejected}, 1, true},
		{1, []Outcome{OutcomeReset}, 2, false}, // of its deduplication group
		{2, []Outcome{OutcomeReset}, 1, false}, // may have run: failed
		{2, []Outcome{OutcomeNotSent}, 2, false},
	} {
		b := newTestFleet(t, 1, nil)
		b.serve(60, respondPromptly)
		b.sent = nil
		id := b.arrive(c.class)
		for number, outcome := range c.outcomes {
			b.endAttempt(id, number, outcome, 10*ms)
		}
		if len(b.sent) != c.sent || (b.rejected == 1) != c.rejected || b.failed > 0 != (c.class == 2 && c.sent == 1) {
			t.Errorf("class %d after %v: %d attempts, %d rejected, %d failed", c.class, c.outcomes, len(b.sent), b.rejected, b.failed)
		}
	}
}
