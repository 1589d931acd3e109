// Package quota decides which requests are within their tenant's share of a node's own traffic. Measured so, a share
// needs no guess at how traffic is spread over the nodes. A Quotas is a token bucket for each tenant, in requests, that
// arrivals of all tenants refill. It is not safe for concurrent use.
package quota

// maxSavedRequests bounds the requests that a tenant may send at once after it sent less than its share.
const maxSavedRequests = 8

// Quotas holds each tenant's share of all requests, and the requests that it may send now.
type Quotas struct {
	shares, available []float64
}

// New returns quotas with nothing available yet. A share is a part of all requests, from 0 to 1, by tenant.
func New(shares []float64) Quotas {
	return Quotas{shares: shares, available: make([]float64, len(shares))}
}

// Exceeded counts a request and reports whether it is beyond its tenant's quota; a tenant without a share has no quota
// to exceed. A client's retry neither adds nor takes, as the request was counted when it came first.
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
