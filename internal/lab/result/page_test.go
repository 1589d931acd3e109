package result

import (
	"bytes"
	"strings"
	"testing"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
)

// TestPagesContainAllSections guards against renamed fields: the templates name fields as text, which the compiler does
// not check.
func TestPagesContainAllSections(t *testing.T) {
	r := &Result{
		Scenario: "calm", Verdict: FellShort, Missed: []string{"too slow"}, LengthS: 2, ViolationCount: 1,
		Violations: make([]invariant.Violation, 1), Classes: map[string]*Tally{"view": newTally()}, Seconds: make([]Tally, 2),
		Nodes: make([]trace.NodeUsage, 1), Oddities: map[string]int{"late": 3}, Faults: []FaultInterval{{Kind: "slow", FromS: 1, ToS: 2}},
		Endpoints: []string{"a"}, Loads: make([]trace.LoadSample, 1), Activity: make([]trace.FleetActivity, 2),
		Reach: make([]netfault.Reachability, 1), Views: &Views{Wrong: []int{0}, Unknown: []int{0}}, Running: make([]trace.RunningNodes, 1),
	}
	var page, sideBySide bytes.Buffer
	if err := r.WritePage(&page); err != nil {
		t.Error(err)
	}
	if err := WriteSideBySide(&sideBySide, []string{"one", "two"}, []*Result{r, r}); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		name, page string
		plots      int
		end        string
	}{
		{"page", page.String(), 7, "<li>late: 3</li></ul>\n</body></html>\n"},
		{"side by side", sideBySide.String(), 5, "</body></html>\n"},
	} {
		if n := strings.Count(c.page, "<svg"); n != c.plots || !strings.HasSuffix(c.page, c.end) {
			t.Errorf("%s: got %d plots, want %d and a page that ends with %q", c.name, n, c.plots, c.end)
		}
	}
}
