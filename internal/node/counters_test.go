package node

import (
	"net/http"
	"testing"

	"fawnglade/policy"
)

// Guards against rejections and failures whose reason the counters don't show.
func TestRequestsGivenUpAreCountedByReason(t *testing.T) {
	empty := startNode(t, nil)
	if status, _, _ := sendRequest(t, empty, "view", "t1", ""); status != http.StatusServiceUnavailable {
		t.Errorf("without endpoints: got status %d, want 503", status)
	}
	refusing := startNode(t, nil, "127.0.0.1:1")
	if status, _, _ := sendRequest(t, refusing, "view", "t1", ""); status != http.StatusServiceUnavailable {
		t.Errorf("endpoint that refuses connections: got status %d, want 503", status)
	}
	for _, c := range []struct {
		node   *Node
		reason policy.Reason
	}{{empty, policy.ReasonNoEndpoint}, {refusing, policy.ReasonLastTried}} {
		if got := c.node.count(givenUpCounter(c.reason)); got != 1 {
			t.Errorf("counter %q: got %d, want 1", givenUpCounter(c.reason).name(), got)
		}
	}
}
