package workload

import (
	"math"
	"math/rand/v2"
	"sort"

	"fawnglade/internal/lab/scenario"
)

// NodeShares returns how much of its zone's load each node gets, over the mean; nil where all get the same. They have
// random numbers of their own, so that the plan of a scenario without them stays what it was.
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

// NodePicker deals requests out to nodes of a zone by their shares, which it holds summed up.
type NodePicker []float64

// NewNodePicker picks among some nodes; nil where all shares are the same.
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

// Pick returns the place among the nodes of the one that a request goes to. It depends on the operation and the
// request's place among its requests alone.
func (p NodePicker) Pick(o *Operation, request int) int {
	x := rand.New(rand.NewPCG(o.Seed, 77+uint64(request))).Float64() * p[len(p)-1]
	return min(sort.SearchFloat64s(p, x), len(p)-1)
}
