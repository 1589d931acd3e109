package policy

import (
	"testing"
	"time"
)

func TestWatchBackoffGrows(t *testing.T) {
	balancer := New(Settings{MustPollList: true, MaxPollInterval: 10e9}, 1, &recorder{})
	previous := time.Duration(10e9 / 128)
	for range 10 {
		balancer.WatchFailed(0)
		if balancer.endpoints.watchBackoff != min(2*previous, 125e7) {
			t.Fatalf("waits %d after %d", balancer.endpoints.watchBackoff, previous)
		}
		previous = balancer.endpoints.watchBackoff
	}
}

// Guards against a list that says too much: where being left out binds nothing, who still answers is still used.
func TestRemovedEndpointsServeUntilTheyFail(t *testing.T) {
	for _, mayServe := range []bool{false, true} {
		fleet := newTestFleet(t, 3, func(s *Settings) { s.RemovedMayServe = mayServe })
		fleet.serve(20, respondPromptly)
		fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: 1, State: StateDraining}}, false)
		fleet.EndpointsUpdated(fleet.now, []EndpointInfo{{ID: 1, State: StateRemoved}, {ID: 2, State: StateRemoved}}, false)
		fleet.EndpointsUpdated(fleet.now, nil, true)
		fleet.sent = nil
		fleet.serve(30, respondPromptly)
		if fleet.sentTo(1) > 0 || fleet.sentTo(2)+fleet.sentTo(3) > 0 != mayServe {
			t.Errorf(
				"kept %t: %d to the one that had drained, %d and %d to the others", mayServe, fleet.sentTo(1), fleet.sentTo(2),
				fleet.sentTo(3),
			)
		}
		if !mayServe {
			continue
		}
		id := fleet.arrive(0)
		failing := fleet.lastSent()
		fleet.endAttempt(id, 0, OutcomeConnectFailed, ms)
		fleet.sent = nil
		if fleet.serve(30, respondPromptly); fleet.sentTo(failing) > 0 {
			t.Error("one that the list lacks and that failed is used on")
		}
	}
}
