package policy

import (
	"testing"
	"time"
)

func TestSilentEndpointDoesNotRaiseLatencySpread(t *testing.T) {
	b := newTestFleet(t, 3, nil)
	b.serve(60, respondPromptly)
	before := b.estimator.classes[2].LatencySpread
	for range 5 {
		id := b.arrive(2)
		b.now += 480 * ms
		b.endAttempt(id, 0, OutcomeTimedOut, 480*ms)
	}
	if b.estimator.classes[2].LatencySpread > before {
		t.Errorf("the bound rose from %.2f to %.2f", before, b.estimator.classes[2].LatencySpread)
	}
}

func TestRejectionsRaiseFleetLatency(t *testing.T) {
	b := newTestFleet(t, 100, nil)
	b.serve(40, respondPromptly)
	b.sent = nil
	b.serve(60, func(EndpointID) (Outcome, time.Duration) { return OutcomeRejected, ms })
	if len(b.sent) > 120 {
		t.Errorf("%d attempts for 60 requests while every endpoint is full", len(b.sent))
	}
}

// Guards against an endpoint that rejects a part of its requests, idle as it is, being taken for a crowded one.
func TestRejectionWithEmptyQueueKeepsLatencyEstimate(t *testing.T) {
	for queue, late := range map[float64]bool{0: false, 3: true, -1: true} {
		b := newTestFleet(t, 1, nil)
		b.serve(100, respondPromptly)
		before, _ := b.estimator.expectedLatency(b.endpoints.byID[1])
		for range 8 {
			id := b.arrive(2)
			b.AttemptEnded(
				b.now,
				AttemptResult{
					Request:  id,
					Endpoint: 1,
					Outcome:  OutcomeRejected,
					Elapsed:  ms,
					Report:   LoadReport{-1, queue, -1},
				},
			)
			b.now = b.endpoints.byID[1].backoffUntil
		}
		if after, _ := b.estimator.expectedLatency(b.endpoints.byID[1]); (after > 2*before) != late {
			t.Errorf("with a queue of %g the endpoint is expected at %.1f, before at %.1f", queue, after, before)
		}
	}
}
