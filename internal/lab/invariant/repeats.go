package invariant

import "net/http"

// Rule 2: no request runs twice that must not. A non-idempotent request is sent again, or rejected, only once every
// earlier attempt is proven not to have run. One that is idempotent by key is sent again only within its deduplication
// group and window. Two attempts are in flight at once only where that is allowed.

// provenNotRunAt is when it was proven that the attempt never ran; Never if it was not.
func (a *Attempt) provenNotRunAt() int64 {
	switch {
	case a.LastByteAt == Never:
		return a.FirstByteAt // cut before its last byte, which its sender knows
	case a.Rejected:
		return a.AnsweredAt
	}
	return Never
}

func (g DedupGroup) shares(a, b *Attempt) bool {
	switch g {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupPod:
		return a.Pod == b.Pod
	}
	return true
}

func (c *checker) checkRepeats(r *Request) {
	class := c.classes[r.Class]
	attempts, first := c.attemptsOf(r)
	for n, a := range attempts {
		for _, earlier := range attempts[:n] {
			if what := c.wrongRepeat(class, earlier, a); what != "" {
				c.report(Violation{
					Rule: 2, Description: what,
					Request: r.ID, Attempt: first + n, Endpoint: a.Endpoint, Node: a.Node, At: a.FirstByteAt,
				})
				break
			}
		}
	}
	c.checkRejected(r, class)
}

// wrongRepeat says why an attempt must not have begun after an earlier one; empty if it may.
func (c *checker) wrongRepeat(class Class, earlier, a *Attempt) string {
	switch {
	case c.inFlight(earlier, a.FirstByteAt) && !c.rules.MayHedge:
		return "a second copy while another was out"
	case earlier.provenNotRunAt() <= a.FirstByteAt:
		return ""
	case class.Idempotency == NonIdempotent:
		return "an exclusive task sent again that may have run"
	case class.Idempotency == Idempotent:
		return ""
	case !class.DedupGroup.shares(earlier, a):
		return "a ticketed task that may have run sent again outside its group"
	case a.FirstByteAt > earlier.FirstByteAt+class.DedupWindow+c.rules.linkSlack(a.FirstByteAt):
		return "a ticketed task that may have run sent again after the memory's span"
	}
	return ""
}

// inFlight tells whether an attempt had no end yet at a moment. A response is written before its node can know of it, so
// it needs no slack; the end of a connection may be seen late.
func (c *checker) inFlight(a *Attempt, at int64) bool {
	return a.LastByteAt != Never && a.AnsweredAt > at && a.ClosedAt > at+c.rules.linkSlack(at)
}

// checkRejected checks that a request that was rejected had no attempt that may have run: a rejection invites a retry.
func (c *checker) checkRejected(r *Request, class Class) {
	rejected := r.AnsweredAt != Never &&
		(r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable)
	mayRepeat := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupGroup == DedupFleet
	if !rejected || mayRepeat {
		return
	}
	attempts, first := c.attemptsOf(r)
	for n, a := range attempts {
		// An attempt that began after the response is rule 1's. Where the endpoint's rejection was written after the
		// response came, the node rejected before it knew.
		if a.FirstByteAt <= r.AnsweredAt && a.provenNotRunAt() > r.AnsweredAt {
			c.report(Violation{
				Rule: 2, Description: "declined though it may have run",
				Request: r.ID, Attempt: first + n, Endpoint: a.Endpoint, Node: r.Node, At: r.AnsweredAt,
			})
			return
		}
	}
}
