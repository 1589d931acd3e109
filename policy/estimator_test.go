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
	fleet := newTestFleet(t, 1, nil)
	fleet.serve(20, respondPromptly)
	before, _ := fleet.estimator.expectedLatency(fleet.endpoints.byID[1])
	for range 4 {
		id := fleet.arrive(2)
		fleet.now += 480 * ms
		fleet.endAttempt(id, 0, OutcomeTimedOut, 480*ms)
	}
	if after, _ := fleet.estimator.expectedLatency(fleet.endpoints.byID[1]); after < 2*before {
		t.Errorf(
			"got latency per work %.1f after four timeouts, %.1f before, want at least twice as much", after, before,
		)
	}
}

func TestLatencyEstimateDecaysAfterOverload(t *testing.T) {
	fleet := newTestFleet(t, 2, nil)
	fleet.serve(40, respondPromptly)
	fleet.serve(40, func(EndpointID) (Outcome, time.Duration) { return OutcomeSucceeded, 450 * ms })
	overloaded, _ := fleet.estimator.expectedLatency(fleet.endpoints.byID[1])
	for range 20 {
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if decayed, _ := fleet.estimator.expectedLatency(fleet.endpoints.byID[1]); decayed > overloaded*2/3 {
		t.Errorf(
			"got latency per work %.1f under overload and %.1f after 20 idle seconds, want at most two thirds",
			overloaded, decayed,
		)
	}
	fleet.rejected = 0
	if fleet.serve(20, respondPromptly); fleet.rejected > 0 {
		t.Errorf("%d of 20 requests were rejected after 20 idle seconds following an overload, want 0", fleet.rejected)
	}
}

func TestUnmeasuredEndpointIsPredictedFromPeers(t *testing.T) {
	fleet := newTestFleet(t, 100, nil)
	fleet.serve(40, respondPromptly)
	fleet.serve(40, func(endpoint EndpointID) (Outcome, time.Duration) {
		if endpoint <= 20 {
			return OutcomeTimedOut, 450 * ms
		}
		return OutcomeSucceeded, 40 * ms
	})
	if perWork, _ := fleet.estimator.Fleet.Means(1, 0); perWork > 3 {
		t.Errorf(
			"got latency per work %.1f for the fleet with timeouts at one endpoint in five, want at most 3", perWork,
		)
	}
	fleet.serve(60, func(EndpointID) (Outcome, time.Duration) { return OutcomeTimedOut, 450 * ms })
	unmeasured := &endpoint{EndpointInfo: EndpointInfo{ID: 101}, podLatency: &ewma.Pair{}}
	if perWork, _ := fleet.estimator.expectedLatency(unmeasured); perWork < 5 {
		t.Errorf(
			"got latency per work %.1f for an unmeasured endpoint while nearly all time out, want at least 5", perWork,
		)
	}
	for range 60 {
		fleet.now += Time(tickInterval)
		fleet.tick()
	}
	if perWork, _ := fleet.estimator.expectedLatency(unmeasured); perWork > 1.5 {
		t.Errorf("got latency per work %.1f for an unmeasured endpoint after an idle minute, want at most 1.5", perWork)
	}
}

// Guards against the delay to another zone, which is the same for every request, being counted as slowness in
// proportion to the work.
func TestZoneDelayDoesNotRaiseLatencyEstimate(t *testing.T) {
	fleet := newTestFleet(t, 0, nil)
	fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: 1, Zone: 1, Weight: 1}, {ID: 2, Zone: 1, Weight: 1}}, true)
	sendAndRespond := func(costHint, latency time.Duration, newConnection bool) {
		fleet.requestCount++
		id := RequestID(fmt.Sprint(fleet.requestCount))
		fleet.RequestArrived(fleet.now, Request{ID: id, Deadline: fleet.now + 1000*ms, CostHint: costHint})
		if fleet.requests.byID[id] == nil {
			t.Fatalf(
				"request %d with %d ms of work was given up with idle endpoints, want it sent",
				fleet.requestCount, costHint/ms,
			)
		}
		fleet.now += Time(latency)
		fleet.AttemptEnded(fleet.now, AttemptResult{
			Request: id, Endpoint: fleet.lastSent(), Outcome: OutcomeSucceeded, Elapsed: latency,
			NewConnection: newConnection,
			Report:        LoadReport{-1, -1, -1},
		})
	}
	sendAndRespond(20*ms, 95*ms, true)
	for range 50 {
		sendAndRespond(ms/5, 16*ms, false)
		sendAndRespond(20*ms, 35*ms, false)
	}
	for _, ep := range fleet.endpoints.all {
		if got := fleet.estimator.predictLatency(ep, float64(20*ms)); got < 25*ms || got > 50*ms {
			t.Errorf("got predicted latency %d ms for 20 ms of work at a zone delay of 15 ms, want 25 to 50 ms", got/ms)
		}
		if ep.HighLatency > 4 {
			t.Errorf("got high quantile of %.1f times the work, want at most 4", ep.HighLatency)
		}
	}
}

// A new instance must make the same predictions as the previous one, except for endpoints that have restarted.
func TestInheritRestoresEstimatesExceptOfRestartedEndpoints(t *testing.T) {
	fleet := newTestFleet(t, 4, nil)
	fleet.serve(200, func(id EndpointID) (Outcome, time.Duration) { return OutcomeSucceeded, time.Duration(id) * 20 * ms })
	encoded, err := json.Marshal(fleet.Estimates())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot estimates.Snapshot
	if err := json.Unmarshal(encoded, &snapshot); err != nil || !snapshot.Valid(3) {
		t.Fatalf("decoding the estimates: error %v, valid %t, want no error and valid", err, snapshot.Valid(3))
	}
	next := newTestFleet(t, 4, nil)
	next.EndpointsUpdated(next.now, []EndpointInfo{{ID: 4, Pod: 1, Weight: 1, StartedAt: 1}}, false)
	next.Inherit(&snapshot)
	for id := EndpointID(1); id <= 4; id++ {
		original, inherited := fleet.estimator.predictLatency(fleet.endpoints.byID[id], 1e8),
			next.estimator.predictLatency(next.endpoints.byID[id], 1e8)
		if (original == inherited) != (id != 4) {
			t.Errorf(
				"endpoint %d: got predicted latency %v, then %v by the new instance, want a change only for endpoint 4",
				id, original, inherited,
			)
		}
	}
}
