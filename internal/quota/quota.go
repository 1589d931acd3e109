// Package quota decides which requests are within their tenant's quota, a share of the node's own traffic. Because each
// node measures against its own traffic, it needs no estimate of how traffic is spread over the nodes.
package quota

// maxSavedRequests bounds the burst of requests that a tenant may send after it has sent less than its share.
const maxSavedRequests = 8

// Quotas holds one token bucket per tenant, counted in requests. Each arriving request of any tenant refills all
// buckets by their tenants' shares. It is not safe for concurrent use.
type Quotas struct {
	shares, available []float64
}

// New returns quotas with empty buckets. shares holds, by tenant, the tenant's fraction of all requests, from 0 to 1.
func New(shares []float64) Quotas {
	return Quotas{shares: shares, available: make([]float64, len(shares))}
}

// Exceeded counts a request and reports whether it is beyond its tenant's quota. A tenant without a share has no quota
// to exceed. A client's retry neither refills the buckets nor takes from them, since the original request was counted.
func (q *Quotas) Exceeded(tenant int, isRetry bool) bool {
	if tenant >= len(q.available) {
		return false
	}
	if !isRetry {
		for i := range q.available {
			q.available[i] = min(q.available[i]+q.shares[i], maxSavedRequests)
		}
	}
	if q.available[tenant] < 1 {
		return true
	}
	if !isRetry {
		q.available[tenant]--
	}
	return false
}
