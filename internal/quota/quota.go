// Package quota owns what each customer may still ask for within its share. Set against a node's own traffic, shares
// need no guess at how traffic is spread over the nodes. It must never know a task, a clock or a server.
package quota

const store = 8 // tasks that a customer may ask for at once after asking for less than its share

// Shares holds a part of all that is asked for, and what is left of it, for each customer.
type Quotas struct {
	portions, left []float64
}

// New makes one with nothing left for anybody.
func New(portions []float64) Quotas { return Quotas{portions, make([]float64, len(portions))} }

// Beyond takes one task and tells whether it is beyond its customer's share. One that is asked for again neither earns
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
