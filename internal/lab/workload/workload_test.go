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
		t.Error("two plans of one seed differ")
	}
	if a.Hash() == other.Hash() {
		t.Error("plans of two seeds are the same")
	}
	// A change of one part leaves the draws of the others alone.
	keyed := drawPlan(t, "keys = 10", 5)
	if keyed.Endpoints[7] != a.Endpoints[7] || keyed.BadClients[3] != a.BadClients[3] || len(keyed.Faults[0].Targets) != len(a.Faults[0].Targets) {
		t.Error("keys of tasks changed the draws of servers, faults or bad clients")
	}
}

func TestPlanMatchesScenario(t *testing.T) {
	for _, load := range []string{"", `shape = "wave"`, "shape = \"burst\"\nswing = 0.8", `shape = "month-end"`} {
		p := drawPlan(t, load, 1)
		if n := float64(len(p.Operations)); math.Abs(n-30000) > 6*math.Sqrt(30000) && load != `shape = "month-end"` {
			t.Errorf("%s: %v tasks in a minute, want about 30,000", load, n)
		}
		last := int64(0)
		for _, task := range p.Operations {
			if task.Due < last {
				t.Fatalf("%s: tasks are not in order", load)
			}
			last = task.Due
		}
	}
	p := drawPlan(t, "", 1)
	view, work := 0, 0.0
	for _, task := range p.Operations {
		if task.Class == 0 {
			view++
			work += float64(task.Work) / 5e6
		}
	}
	if part := float64(view) / float64(len(p.Operations)); math.Abs(part-0.75) > 0.02 || math.Abs(work/float64(view)-1) > 0.05 {
		t.Errorf("share of views %.3f, work by its mean %.3f; want 0.75 and 1", part, work/float64(view))
	}
	if targets := p.Faults[0].Targets; len(targets) != 5 || p.Endpoints[targets[0]].Zone != "b" {
		t.Errorf("hit %v, want a quarter of zone b's twenty", targets)
	}
	for _, b := range p.BadClients {
		if b.Due < 2e9 || b.Due >= 6e9 {
			t.Errorf("a bad client at %d, outside its time", b.Due)
		}
	}
}

// Uneven days give some nodes several times what others get, a zone's mean stays, and the plan is no other for it.
func TestUnevenNodeShares(t *testing.T) {
	s, err := scenario.Read("../../../lab/scenarios/fleet/cold-uneven.toml")
	if err != nil {
		t.Fatal(err)
	}
	p := Draw(s, 1)
	parts := p.NodeShares(s)
	least, most := slices.Min(parts), slices.Max(parts)
	if len(parts) != s.Nodes.Count || most < 4 || most > 20 || least > 0.3 || least <= 0 {
		t.Errorf("%d nodes get from %.2f to %.2f of the mean, want some several times it", len(parts), least, most)
	}
	nodes := []int{3, 6, 9}
	parts[3], parts[6], parts[9] = 1, 3, 0.5
	choice, got := NewNodePicker(parts, nodes), make([]float64, 3)
	for i := range p.Operations {
		place := choice.Pick(&p.Operations[i], 0)
		if place != choice.Pick(&p.Operations[i], 0) {
			t.Fatal("a try goes elsewhere when asked again")
		}
		got[place] += 4.5 / float64(len(p.Operations))
	}
	for i, n := range nodes {
		if math.Abs(got[i]-parts[n]) > 0.1 {
			t.Errorf("node %d got %.2f of 4.5, want %.2f", n, got[i], parts[n])
		}
	}
	hash := p.Hash()
	if s.Load.NodeSkew = 0; p.NodeShares(s) != nil || NewNodePicker(nil, nodes) != nil || Draw(s, 1).Hash() != hash {
		t.Error("an even day deals tasks out in turn, and its plan is the same")
	}
}
