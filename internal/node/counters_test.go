package node

import (
	"net/http"
	"testing"

	"fawnglade/policy"
)

// Guards against rejections and failures of which the counters do not tell the cause.
func TestRequestsGivenUpAreCountedByReason(t *testing.T) {
	empty := startNode(t, nil)
	if status, _, _ := sendRequest(t, empty, "view", "t1", ""); status != http.StatusServiceUnavailable {
		t.Errorf("answered %d with no endpoint, expected 503", status)
	}
	refusing := startNode(t, nil, "127.0.0.1:1")
	if status, _, _ := sendRequest(t, refusing, "view", "t1", ""); status != http.StatusServiceUnavailable {
		t.Errorf("answered %d by an endpoint that takes no connection, expected 503", status)
	}
	for _, c := range []struct {
		node   *Node
		reason policy.Reason
	}{{empty, policy.ReasonNoEndpoint}, {refusing, policy.ReasonLastTried}} {
		if got := c.node.count(givenUpCounter(c.reason)); got != 1 {
			t.Errorf("%q: %d, expected 1", givenUpCounter(c.reason).name(), got)
		}
	}
}
