package policy

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"fawnglade/internal/estimates"
	"fawnglade/internal/ewma"
)

func TestTimeoutsRaiseExpectedLatency(t *testing.T) {
	b := newTestFleet(t, 1, nil)
	b.serve(20, respondPromptly)
	before, _ := b.estimator.expectedLatency(b.endpoints.byID[1])
	for range 4 {
		id := b.arrive(2)
		b.now += 480 * ms
		b.endAttempt(id, 0, OutcomeTimedOut, 480*ms)
	}
	if after, _ := b.estimator.expectedLatency(b.endpoints.byID[1]); after < 2*before {
		t.Errorf("after four time-outs the endpoint is expected at %.1f, before at %.1f", after, before)
	}
}

func TestLatencyEstimateDecaysAfterOverload(t *testing.T) {
	b := newTestFleet(t, 2, nil)
	b.serve(40, respondPromptly)
	b.serve(40, func(EndpointID) (Outcome, time.Duration) { return OutcomeSucceeded, 450 * ms })
	overloaded, _ := b.estimator.expectedLatency(b.endpoints.byID[1])
	for range 20 {
		b.now += Time(tickInterval)
		b.tick()
	}
	if relaxed, _ := b.estimator.expectedLatency(b.endpoints.byID[1]); relaxed > overloaded*2/3 {
		t.Errorf("answer times expected at %.1f under overload are still expected at %.1f", overloaded, relaxed)
	}
	b.rejected = 0
	if b.serve(20, respondPromptly); b.rejected > 0 {
		t.Errorf("%d of 20 requests were rejected twenty idle seconds after overload", b.rejected)
	}
}

func TestUnmeasuredEndpointIsPredictedFromPeers(t *testing.T) {
	b := newTestFleet(t, 100, nil)
	b.serve(40, respondPromptly)
	b.serve(40, func(s EndpointID) (Outcome, time.Duration) {
		if s <= 20 {
			return OutcomeTimedOut, 450 * ms
		}
		return OutcomeSucceeded, 40 * ms
	})
	if unit, _ := b.estimator.Fleet.Means(1, 0); unit > 3 {
		t.Errorf("one endpoint in five times out and the whole fleet is expected at %.1f", unit)
	}
	b.serve(60, func(EndpointID) (Outcome, time.Duration) { return OutcomeTimedOut, 450 * ms })
	unheard := &endpoint{EndpointInfo: EndpointInfo{ID: 101}, podLatency: &ewma.Pair{}}
	if unit, _ := b.estimator.expectedLatency(unheard); unit < 5 {
		t.Errorf("nearly all time out and an endpoint not heard yet is expected at %.1f", unit)
	}
	for range 60 {
		b.now += Time(tickInterval)
		b.tick()
	}
	if unit, _ := b.estimator.expectedLatency(unheard); unit > 1.5 {
		t.Errorf("a minute later it is still expected at %.1f", unit)
	}
}

// Guards against the way to another zone, the same for any request, being taken for slowness in proportion to the work.
func TestZoneDelayDoesNotRaiseLatencyEstimate(t *testing.T) {
	b := newTestFleet(t, 0, nil)
	b.EndpointsUpdated(b.now, []EndpointInfo{{ID: 1, Zone: 1, Weight: 1}, {ID: 2, Zone: 1, Weight: 1}}, true)
	answered := func(cost, took time.Duration, newConnection bool) {
		b.requestCount++
		id := RequestID(fmt.Sprint(b.requestCount))
		b.RequestArrived(b.now, Request{ID: id, Deadline: b.now + 1000*ms, CostHint: cost})
		if b.requests.byID[id] == nil {
			t.Fatalf("request %d of %d ms was given up beside idle endpoints", b.requestCount, cost/ms)
		}
		b.now += Time(took)
		b.AttemptEnded(b.now, AttemptResult{
			Request: id, Endpoint: b.lastSent(), Outcome: OutcomeSucceeded, Elapsed: took, NewConnection: newConnection,
			Report: LoadReport{-1, -1, -1},
		})
	}
	answered(20*ms, 95*ms, true)
	for range 50 {
		answered(ms/5, 16*ms, false)
		answered(20*ms, 35*ms, false)
	}
	for _, s := range b.endpoints.all {
		if got := b.estimator.predictLatency(s, float64(20*ms)); got < 25*ms || got > 50*ms {
			t.Errorf("20 ms of work 15 ms away are expected to take %d ms", got/ms)
		}
		if s.HighLatency > 4 {
			t.Errorf("its high quantile is %.1f times the work", s.HighLatency)
		}
	}
}

// A new instance predicts as the one before did, and does not take a restarted endpoint for the old one.
func TestInheritRestoresEstimatesExceptOfRestartedEndpoints(t *testing.T) {
	b := newTestFleet(t, 4, nil)
	b.serve(200, func(s EndpointID) (Outcome, time.Duration) { return OutcomeSucceeded, time.Duration(s) * 20 * ms })
	text, err := json.Marshal(b.Estimates())
	if err != nil {
		t.Fatal(err)
	}
	var all estimates.Snapshot
	if err := json.Unmarshal(text, &all); err != nil || !all.Valid(3) {
		t.Fatalf("%v, sound %t", err, all.Valid(3))
	}
	next := newTestFleet(t, 4, nil)
	next.EndpointsUpdated(next.now, []EndpointInfo{{ID: 4, Pod: 1, Weight: 1, StartedAt: 1}}, false)
	next.Inherit(&all)
	for id := EndpointID(1); id <= 4; id++ {
		was, is := b.estimator.predictLatency(b.endpoints.byID[id], 1e8), next.estimator.predictLatency(next.endpoints.byID[id], 1e8)
		if (was == is) != (id != 4) {
			t.Errorf("endpoint %d: predicted %d by the one before, %d by the next", id, was, is)
		}
	}
}
