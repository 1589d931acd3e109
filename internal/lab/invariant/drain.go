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
		drainingSince := c.drainKnownAt(process, known[endpointKey{a.Node, process.incarnation, a.Endpoint}], a.FirstByteAt)
		if drainingSince == Never || a.FirstByteAt <= drainingSince+c.rules.StopSendingWithin+c.rules.linkSlack(a.FirstByteAt) {
			continue
		}
		if c.rules.ListGossip && c.listedUpSince(a.Endpoint, drainingSince, a.FirstByteAt) {
			continue
		}
		late := float64(a.FirstByteAt-drainingSince) / 1e6
		c.report(Violation{
			Rule: 3, Description: fmt.Sprintf("sent to a draining or gone server %.0f ms after the node knew its state", late),
			Request: a.Request, Attempt: slices.Index(c.attemptsByID[a.Request], a),
			Endpoint: a.Endpoint, Node: a.Node, At: a.FirstByteAt,
		})
	}
}

// drainKnownAt returns since when a process knows that an endpoint is draining or removed, as of a time; Never if it
// does not know it then.
func (c *checker) drainKnownAt(process processKey, states []knownState, at int64) int64 {
	since := int64(Never)
	for _, s := range states {
		if s.at > at {
			break
		}
		if s.state == model.Up {
			since = Never
		} else if since == Never {
			// A paused node can read the entry only after it resumes.
			since = max(s.at, c.excusedUntil(process, s.at, s.at))
		}
	}
	return since
}

// listedUpSince reports whether discovery listed an endpoint as up again after it drained, and still does at a time:
// another node may have received that entry and gossiped it. Only discovery's own list counts, not what nodes report.
func (c *checker) listedUpSince(endpoint int, drained, at int64) bool {
	up := false
	for _, change := range c.ListChanges {
		if change.Endpoint == endpoint && change.At <= at {
			up = change.State == model.Up && change.At > drained
		}
	}
	return up
}
