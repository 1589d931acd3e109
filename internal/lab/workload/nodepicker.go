package workload

import (
	"math"
	"math/rand/v2"
	"sort"

	"fawnglade/internal/lab/scenario"
)

// NodeShares returns each node's share of its zone's load as a multiple of the mean, or nil if the load is even. The
// shares come from a random source of their own, so that they do not change the rest of the plan.
func (p *Plan) NodeShares(s *scenario.Scenario) []float64 {
	skew := s.Load.NodeSkew
	if skew == 0 {
		return nil
	}
	draw, shares := newRandom(p.Seed, "parts"), make([]float64, s.Nodes.Count)
	for i := range shares {
		shares[i] = math.Exp(skew*draw.NormFloat64() - skew*skew/2)
	}
	return shares
}

// NodePicker distributes requests over the nodes of a zone by their shares. It holds the cumulative shares.
type NodePicker []float64

// NewNodePicker returns a picker for the given nodes, or nil if shares is nil.
func NewNodePicker(shares []float64, nodes []int) NodePicker {
	if shares == nil {
		return nil
	}
	picker, sum := make(NodePicker, len(nodes)), 0.0
	for i, n := range nodes {
		sum += shares[n]
		picker[i] = sum
	}
	return picker
}

// Pick returns the index, among the picker's nodes, of the node that receives a request. It depends only on the
// operation and on the number of the request among the operation's requests.
func (p NodePicker) Pick(o *Operation, request int) int {
	x := rand.New(rand.NewPCG(o.Seed, 77+uint64(request))).Float64() * p[len(p)-1]
	return min(sort.SearchFloat64s(p, x), len(p)-1)
}
