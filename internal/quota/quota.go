// Package quota owns what each tenant may still ask for within its share. Set against a node's own traffic, shares
// need no guess at how traffic is spread over the nodes. It must never know a request, a clock or a server.
package quota

const store = 8 // requests that a tenant may ask for at once after asking for less than its share

// Quotas holds a part of all that is asked for, and what is left of it, for each tenant.
type Quotas struct {
	portions, left []float64
}

// New makes one with nothing left for anybody.
func New(portions []float64) Quotas { return Quotas{portions, make([]float64, len(portions))} }

// Exceeded takes one request and tells whether it is beyond its tenant's share. One that is asked for again neither earns
// nor costs: it was counted when it came first.
func (s *Quotas) Exceeded(customer int, again bool) bool {
	if customer >= len(s.left) {
		return false
	}
	if !again {
		for i := range s.left {
			s.left[i] = min(s.left[i]+s.portions[i], store)
		}
	}
	if s.left[customer] < 1 {
		return true
	}
	if !again {
		s.left[customer]--
	}
	return false
}
