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
			t.Fatalf(
				"got backoff %v after %v, want twice as much, at most 1.25s", balancer.endpoints.watchBackoff, previous,
			)
		}
		previous = balancer.endpoints.watchBackoff
	}
}

// Guards against an incomplete list: if removal is not binding, removed endpoints that still respond stay in use.
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
				"removed may serve %t: got %d attempts at the formerly draining endpoint, want 0; got %d and %d at the others, want some only if true",
				mayServe, fleet.sentTo(1), fleet.sentTo(2),
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
			t.Error("got attempts at a removed endpoint after a failed attempt, want none")
		}
	}
}
