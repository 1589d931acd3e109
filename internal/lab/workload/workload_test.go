package workload

import (
	"math"
	"slices"
	"testing"

	"fawnglade/internal/lab/scenario"
)

func drawPlan(t *testing.T, load string, seed uint64) *Plan {
	t.Helper()
	s, err := scenario.Parse("f", []byte(`name = "x"
length = "60s"
[network]
zones = ["a", "b"]
[[fleet]]
count = 40
spread = 0.3
[[category]]
name = "view"
soft_limit = "100ms"
hard_limit = "500ms"
work = "5ms"
vary = 1
share = 3
[[category]]
name = "pay"
soft_limit = "100ms"
hard_limit = "500ms"
work = "5ms"
[[fault]]
kind = "slow"
at = "1s"
share = 0.25
zone = "b"
[[fault]]
kind = "bad-clients"
at = "2s"
for = "4s"
[load]
rate = 500
`+load))
	if err != nil {
		t.Fatal(err)
	}
	return Draw(s, seed)
}

func TestPlanDependsOnSeedOnly(t *testing.T) {
	a, b, other := drawPlan(t, "", 5), drawPlan(t, "", 5), drawPlan(t, "", 6)
	if a.Hash() != b.Hash() {
		t.Error("two plans with the same seed differ")
	}
	if a.Hash() == other.Hash() {
		t.Error("plans with different seeds are equal")
	}
	// A change in one part of the scenario must not change the draws for the others.
	keyed := drawPlan(t, "keys = 10", 5)
	if keyed.Endpoints[7] != a.Endpoints[7] || keyed.BadClients[3] != a.BadClients[3] || len(keyed.Faults[0].Targets) != len(a.Faults[0].Targets) {
		t.Error("affinity keys of operations changed the draws for endpoints, faults or bad clients")
	}
}

func TestPlanMatchesScenario(t *testing.T) {
	for _, load := range []string{"", `shape = "wave"`, "shape = \"burst\"\nswing = 0.8", `shape = "month-end"`} {
		p := drawPlan(t, load, 1)
		if n := float64(len(p.Operations)); math.Abs(n-30000) > 6*math.Sqrt(30000) && load != `shape = "month-end"` {
			t.Errorf("load %q: got %v operations in a minute, want about 30,000", load, n)
		}
		last := int64(0)
		for _, o := range p.Operations {
			if o.Due < last {
				t.Fatalf("load %q: operations are not in the order of their due times", load)
			}
			last = o.Due
		}
	}
	p := drawPlan(t, "", 1)
	viewCount, work := 0, 0.0
	for _, o := range p.Operations {
		if o.Class == 0 {
			viewCount++
			work += float64(o.Work) / 5e6
		}
	}
	if viewShare := float64(viewCount) / float64(len(p.Operations)); math.Abs(viewShare-0.75) > 0.02 || math.Abs(work/float64(viewCount)-1) > 0.05 {
		t.Errorf("got a share of views of %.3f and a mean work of %.3f times the configured mean, want 0.75 and 1", viewShare, work/float64(viewCount))
	}
	if targets := p.Faults[0].Targets; len(targets) != 5 || p.Endpoints[targets[0]].Zone != "b" {
		t.Errorf("got fault targets %v, want 5 of the 20 endpoints in zone b", targets)
	}
	for _, b := range p.BadClients {
		if b.Due < 2e9 || b.Due >= 6e9 {
			t.Errorf("got a bad client due at %d ns, want from 2e9 to 6e9 ns", b.Due)
		}
	}
}

// With uneven load some nodes get several times the mean of their zone, requests follow the shares, and the rest of the
// plan does not change.
func TestUnevenNodeShares(t *testing.T) {
	s, err := scenario.Read("../../../lab/scenarios/fleet/cold-uneven.toml")
	if err != nil {
		t.Fatal(err)
	}
	p := Draw(s, 1)
	shares := p.NodeShares(s)
	least, most := slices.Min(shares), slices.Max(shares)
	if len(shares) != s.Nodes.Count || most < 4 || most > 20 || least > 0.3 || least <= 0 {
		t.Errorf("got %d node shares from %.2f to %.2f of the mean, want the least in (0, 0.3] and the most in [4, 20]", len(shares), least, most)
	}
	nodes := []int{3, 6, 9}
	shares[3], shares[6], shares[9] = 1, 3, 0.5
	picker, got := NewNodePicker(shares, nodes), make([]float64, 3)
	for i := range p.Operations {
		index := picker.Pick(&p.Operations[i], 0)
		if index != picker.Pick(&p.Operations[i], 0) {
			t.Fatal("Pick returns two different nodes for the same request")
		}
		got[index] += 4.5 / float64(len(p.Operations))
	}
	for i, n := range nodes {
		if math.Abs(got[i]-shares[n]) > 0.1 {
			t.Errorf("node %d: got a share of %.2f of 4.5, want %.2f", n, got[i], shares[n])
		}
	}
	hash := p.Hash()
	if s.Load.NodeSkew = 0; p.NodeShares(s) != nil || NewNodePicker(nil, nodes) != nil || Draw(s, 1).Hash() != hash {
		t.Error("without node skew: want no shares, no picker and the same plan hash as with it")
	}
}
