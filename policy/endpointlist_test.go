package policy

import (
	"testing"
	"time"
)

func TestWatchBackoffGrows(t *testing.T) {
	p := New(Settings{MustPollList: true, MaxPollInterval: 10e9}, 1, &recorder{})
	last := time.Duration(10e9 / 128)
	for range 10 {
		p.WatchFailed(0)
		if p.endpoints.watchBackoff != min(2*last, 125e7) {
			t.Fatalf("waits %d after %d", p.endpoints.watchBackoff, last)
		}
		last = p.endpoints.watchBackoff
	}
}

// Guards against a list that says too much: where being left out binds nothing, who still answers is still used.
func TestRemovedEndpointsServeUntilTheyFail(t *testing.T) {
	for _, keep := range []bool{false, true} {
		b := newTestFleet(t, 3, func(s *Settings) { s.RemovedMayServe = keep })
		b.serve(20, respondPromptly)
		b.EndpointsUpdated(b.now, []EndpointInfo{{ID: 1, State: StateDraining}}, false)
		b.EndpointsUpdated(b.now, []EndpointInfo{{ID: 1, State: StateRemoved}, {ID: 2, State: StateRemoved}}, false)
		b.EndpointsUpdated(b.now, nil, true)
		b.sent = nil
		b.serve(30, respondPromptly)
		if b.sentTo(1) > 0 || b.sentTo(2)+b.sentTo(3) > 0 != keep {
			t.Errorf(
				"kept %t: %d to the one that had drained, %d and %d to the others", keep, b.sentTo(1), b.sentTo(2),
				b.sentTo(3),
			)
		}
		if !keep {
			continue
		}
		id := b.arrive(0)
		failing := b.lastSent()
		b.endAttempt(id, 0, OutcomeConnectFailed, ms)
		b.sent = nil
		if b.serve(30, respondPromptly); b.sentTo(failing) > 0 {
			t.Error("one that the list lacks and that failed is used on")
		}
	}
}
