package invariant

import (
	"fmt"
	"slices"

	"fawnglade/internal/lab/model"
)

// Rule 3: no attempt begins at an endpoint that the node knows, or is presumed to know, to be draining or removed for
// longer than StopSendingWithin.

func (c *checker) checkDrains() {
	known := c.knownStates()
	for _, a := range c.Attempts {
		process := processKey{a.Node, c.incarnationAt(a.Node, a.FirstByteAt)}
		drains := c.drainKnownAt(process, known[endpointKey{a.Node, process.incarnation, a.Endpoint}], a.FirstByteAt)
		if drains == Never || a.FirstByteAt <= drains+c.rules.StopSendingWithin+c.rules.linkSlack(a.FirstByteAt) {
			continue
		}
		if c.rules.ListGossip && c.listedUpSince(a.Endpoint, drains, a.FirstByteAt) {
			continue
		}
		late := float64(a.FirstByteAt-drains) / 1e6
		c.report(Violation{
			Rule: 3, Description: fmt.Sprintf("sent to a draining or gone server %.0f ms after it was told", late),
			Request: a.Request, Attempt: slices.Index(c.attemptsByID[a.Request], a),
			Endpoint: a.Endpoint, Node: a.Node, At: a.FirstByteAt,
		})
	}
}

// drainKnownAt is since when a process knows at a moment that an endpoint wants nothing new; Never if it does not.
func (c *checker) drainKnownAt(process processKey, states []knownState, at int64) int64 {
	since := int64(Never)
	for _, s := range states {
		if s.at > at {
			break
		}
		if s.state == model.Up {
			since = Never
		} else if since == Never {
			// A node that was paused could read the entry only afterwards.
			since = max(s.at, c.excusedUntil(process, s.at, s.at))
		}
	}
	return since
}

// listedUpSince tells whether discovery has listed an endpoint as up after a moment, and still did at another: another
// node may know that and gossip it. What a node says that it received does not count, only what discovery listed.
func (c *checker) listedUpSince(endpoint int, drained, at int64) bool {
	up := false
	for _, change := range c.ListChanges {
		if change.Endpoint == endpoint && change.At <= at {
			up = change.State == model.Up && change.At > drained
		}
	}
	return up
}
