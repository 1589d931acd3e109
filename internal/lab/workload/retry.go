package workload

import "fawnglade/internal/lab/scenario"

// Retry is a further request of a client for its operation.
type Retry struct {
	Wait     int64 // nanoseconds until it is sent
	Deadline int64
}

// NextRetry decides whether a client sends a further request after its request number n, from 0, did not succeed.
// harmless says that the node told so or never had the request; retryAfter is the node's advice, or 0.
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
