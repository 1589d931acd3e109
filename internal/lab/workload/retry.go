package workload

import "fawnglade/internal/lab/scenario"

// Retry is a further request of a client for the same operation.
type Retry struct {
	Wait     int64 // nanoseconds until the request is sent
	Deadline int64 // nanoseconds, on the clock of Operation.Due
}

// NextRetry decides whether a client sends a further request at time now, after request n (counted from 0) has not
// succeeded. harmless means that the request was not executed: the node rejected it or never received it. retryAfter is
// the Retry-After of the response in nanoseconds, or 0.
func (o *Operation) NextRetry(s *scenario.Scenario, n int, now int64, harmless bool, retryAfter int64) (Retry, bool) {
	class := &s.Classes[o.Class]
	deduplicated := class.Idempotency == scenario.IdempotentByKey && class.DedupGroup == "fleet" &&
		now < o.Due+int64(class.DedupWindow)
	wait := int64(s.Clients.Backoff) << n
	if retryAfter > 0 && o.HonorsRetryAfter {
		wait = max(wait, retryAfter)
	}
	last := o.Due + int64(class.Deadline)
	mayRetry := harmless || deduplicated || class.Idempotency == scenario.Idempotent
	if !mayRetry || n >= s.Clients.Retries || now+wait >= last {
		return Retry{}, false
	}
	timeout := int64(float64(class.Deadline) * s.Clients.RequestTimeoutShare)
	return Retry{Wait: wait, Deadline: min(last, now+wait+timeout)}, true
}
