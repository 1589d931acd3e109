package sweep

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestScenarioSetsKeys(t *testing.T) {
	text, err := os.ReadFile("../../../lab/scenarios/slow.toml")
	if err != nil {
		t.Fatal(err)
	}
	axes := []Axis{{"load.rate", []string{"123"}}, {"fault.0.factor", []string{"0.5"}}, {"network.cross", []string{"9ms"}}}
	s, err := Scenario("x", text, axes, Cell{Values: []string{"123", "0.5", "9ms"}})
	if err != nil {
		t.Fatal(err)
	}
	if s.Load.Rate != 123 || s.Faults[0].Factor != 0.5 || s.Network.CrossZone != 9e6 {
		t.Errorf("got rate %v, factor %v, cross-zone delay %v, want 123, 0.5, 9ms", s.Load.Rate, s.Faults[0].Factor, s.Network.CrossZone)
	}
	for key, want := range map[string]string{"load.speed": "unknown key", "fault.7.factor": "a number from 0 to", "name.x": "not a table", "load.rate": "cannot decode"} {
		value := "1"
		if key == "load.rate" {
			value = "many"
		}
		if _, err := Scenario("x", text, []Axis{{key, nil}}, Cell{Values: []string{value}}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one that contains %q", key, err, want)
		}
	}
	for _, bad := range []string{"", "load.rate", "=1", "load.rate="} {
		if _, err := ParseAxis(bad); err == nil {
			t.Errorf("ParseAxis(%q): got no error, want one", bad)
		}
	}
}

// TestSweepResumesAfterInterruptedWrite guards against cells that are run twice or lost when a sweep resumes from a
// table whose last line is incomplete because the process was killed during the write.
func TestSweepResumesAfterInterruptedWrite(t *testing.T) {
	dir := t.TempDir()
	axes := []Axis{{"a.b", []string{"1", "2"}}, {"c", []string{"x", "y, z"}}}
	cells := Grid(axes, []string{"one", "two"}, 5, 3)
	if len(cells) != 2*2*2*3 {
		t.Fatalf("got %d cells, want 24", len(cells))
	}
	figures := func(c Cell) Figures {
		f := make(Figures, len(Columns))
		f[0] = float64(c.Seed) + 0.5
		return f
	}
	played := map[string]int{}
	for run := range 4 {
		table, err := Open(dir, axes)
		if err != nil {
			t.Fatal(err)
		}
		for i, c := range table.Remaining(cells) {
			if i == 7 && run < 3 {
				break
			}
			played[c.name()]++
			if err := table.Add(c, figures(c)); err != nil {
				t.Fatal(err)
			}
		}
		if err := table.Close(); err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, "sweep.csv")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if run == 3 {
			break
		}
		interrupted := append(text, `2,"y, z",one`...) // the incomplete line that a kill during a write leaves
		if err := os.WriteFile(path, interrupted, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	table, err := Open(dir, axes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := table.Close(); err != nil {
			t.Error(err)
		}
	})
	if len(table.Rows()) != len(cells) || len(table.Remaining(cells)) != 0 {
		t.Errorf("got %d rows and %d remaining cells, want all cells as rows and none remaining", len(table.Rows()), len(table.Remaining(cells)))
	}
	for name, n := range played {
		if n != 1 {
			t.Errorf("cell %s: run %d times, want once", name, n)
		}
	}
	if err := Plot(dir, axes, []string{"one"}, table.Rows()); err != nil {
		t.Error(err)
	}
	if _, err := Open(dir, axes[:1]); err == nil || !strings.Contains(err.Error(), "another directory") {
		t.Errorf("Open of a table with other axes: got error %v, want one that names another directory", err)
	}
}
