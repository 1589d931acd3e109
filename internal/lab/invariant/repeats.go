package invariant

import "net/http"

// Rule 2: no request that must run once runs twice. A non-idempotent request is sent again, or rejected, only once
// every earlier attempt is proven not to have run. One that is idempotent by key is sent again only within its
// deduplication group and window. Two attempts are in flight at once only if hedging is allowed.

// provenNotRunAt returns when it was proven that the attempt did not run; Never if it was not proven.
func (a *Attempt) provenNotRunAt() int64 {
	switch {
	case a.LastByteAt == Never:
		return a.FirstByteAt // the request was cut before its last byte, which the sender can tell
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
			if description := c.wrongRepeat(class, earlier, a); description != "" {
				c.report(Violation{
					Rule: 2, Description: description,
					Request: r.ID, Attempt: first + n, Endpoint: a.Endpoint, Node: a.Node, At: a.FirstByteAt,
				})
				break
			}
		}
	}
	c.checkRejected(r, class)
}

// wrongRepeat returns why an attempt must not begin after an earlier one; empty if it may.
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
		return "a ticketed task that may have run sent again after the deduplication window"
	}
	return ""
}

// inFlight reports whether an attempt had not ended at a time. A response is recorded before its node can receive it,
// so it needs no slack; the end of a connection may be observed late.
func (c *checker) inFlight(a *Attempt, at int64) bool {
	return a.LastByteAt != Never && a.AnsweredAt > at && a.ClosedAt > at+c.rules.linkSlack(at)
}

// checkRejected checks that a rejected request has no attempt that may have run, since clients retry after a rejection.
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
		// Rule 1 covers attempts that began after the response. If the endpoint's rejection was written after the
		// response was received, the node rejected the request before it could know.
		if a.FirstByteAt <= r.AnsweredAt && a.provenNotRunAt() > r.AnsweredAt {
			c.report(Violation{
				Rule: 2, Description: "declined though it may have run",
				Request: r.ID, Attempt: first + n, Endpoint: a.Endpoint, Node: r.Node, At: r.AnsweredAt,
			})
			return
		}
	}
}
