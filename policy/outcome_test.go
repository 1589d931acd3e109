package policy

import (
	"testing"
	"time"
)

func TestSilentEndpointDoesNotRaiseLatencySpread(t *testing.T) {
	fleet := newTestFleet(t, 3, nil)
	fleet.serve(60, respondPromptly)
	before := fleet.estimator.classes[2].LatencySpread
	for range 5 {
		id := fleet.arrive(2)
		fleet.now += 480 * ms
		fleet.endAttempt(id, 0, OutcomeTimedOut, 480*ms)
	}
	if fleet.estimator.classes[2].LatencySpread > before {
		t.Errorf(
			"latency spread rose from %.2f to %.2f after timeouts at a silent endpoint, want no rise",
			before, fleet.estimator.classes[2].LatencySpread,
		)
	}
}

func TestRejectionsRaiseFleetLatency(t *testing.T) {
	fleet := newTestFleet(t, 100, nil)
	fleet.serve(40, respondPromptly)
	fleet.sent = nil
	fleet.serve(60, func(EndpointID) (Outcome, time.Duration) { return OutcomeRejected, ms })
	if len(fleet.sent) > 120 {
		t.Errorf("got %d attempts for 60 requests while every endpoint rejects, want at most 120", len(fleet.sent))
	}
}

// Guards against an idle endpoint that rejects some requests being treated as an overloaded one.
func TestRejectionWithEmptyQueueKeepsLatencyEstimate(t *testing.T) {
	for queueLength, raised := range map[float64]bool{0: false, 3: true, -1: true} {
		fleet := newTestFleet(t, 1, nil)
		fleet.serve(100, respondPromptly)
		before, _ := fleet.estimator.expectedLatency(fleet.endpoints.byID[1])
		for range 8 {
			id := fleet.arrive(2)
			fleet.AttemptEnded(
				fleet.now,
				AttemptResult{
					Request:  id,
					Endpoint: 1,
					Outcome:  OutcomeRejected,
					Elapsed:  ms,
					Report:   LoadReport{-1, queueLength, -1},
				},
			)
			fleet.now = fleet.endpoints.byID[1].backoffUntil
		}
		if after, _ := fleet.estimator.expectedLatency(fleet.endpoints.byID[1]); (after > 2*before) != raised {
			t.Errorf(
				"queue length %g: got latency per work %.1f after rejections, %.1f before, want a rise unless the queue is empty",
				queueLength, after, before,
			)
		}
	}
}
