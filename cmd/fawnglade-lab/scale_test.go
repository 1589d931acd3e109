package main

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnglade/internal/lab/scale"
)

func slopesByName(t *testing.T, text []byte) map[string]scale.Slope {
	t.Helper()
	var r scale.Result
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	out := map[string]scale.Slope{}
	for _, s := range r.Slopes {
		out[s.Name] = s
	}
	return out
}

// TestScaleMeasuresNodeProcess has a real process before lists of four sizes, and from disk.
func TestScaleMeasuresNodeProcess(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "slopes.json")
	code, out, stderrText := runLab(t, "scale", "--quick", "--only", "process", "--json", path)
	if code != exitPassed {
		t.Fatal(code, out, stderrText)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	all := slopesByName(t, text)
	for name, s := range all {
		if len(s.Points) != 4 || len(s.Notes) > 0 {
			t.Errorf("%s: %v, %v", name, s.Points, s.Notes)
		}
		if !strings.Contains(out, "\n"+name+" ") || !strings.Contains(stderrText, "1 of 1: process, 500 servers") {
			t.Errorf("the table lacks %s, or progress is not told: %s", name, stderrText)
		}
	}
	// By what the stand-in wrote and the node says it remembers, not by time.
	if f := all["process.list"].Fit; math.Abs(f.Slope-124) > 5 || f.BreaksBeyond != 0 {
		t.Errorf("a list of %v bytes a server", f.Slope)
	}
	for _, p := range all["process.remembered"].Points {
		if p.Value != p.Size {
			t.Errorf("%v of %v servers remembered", p.Value, p.Size)
		}
	}
	for _, p := range all["process.memory"].Points {
		if p.Value < 1e6 || p.Value > 200e6 {
			t.Errorf("a node of %v bytes", p.Value)
		}
	}
}

// TestScaleMeasuresHollowNodes has hollow nodes and a real one know of one another and told the same list.
func TestScaleMeasuresHollowNodes(t *testing.T) {
	t.Parallel()
	code, out, stderrText := runLab(t, "scale", "--quick", "--only", "hollow", "--json", "-")
	if code != exitPassed {
		t.Fatal(code, out, stderrText)
	}
	all := slopesByName(t, []byte(out))
	for _, name := range []string{"hollow.memory", "hollow.real", "hollow.idle", "hollow.realidle", "hollow.bytes", "hollow.realbytes", "hollow.bytesratio"} {
		s := all[name]
		if len(s.Points) != 4 || len(s.Notes) > 0 {
			t.Errorf("%s: %v, %v", name, s.Points, s.Notes)
		}
		for _, p := range s.Points {
			if !(p.Value > 0) {
				t.Errorf("%s: %v at %v", name, p.Value, p.Size)
			}
		}
	}
}

func TestScaleRejectsInvalidFlagsWithOneLine(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ args, want string }{
		{"--only decisions --sizes 1000,10000,100000,1000000000", "decisions: expected sizes that take at most half of the machine's memory"},
		{"--only members --sizes 10,100,1000,5000", "members: expected sizes from 3 to 4,096 nodes, got 5,000"},
		{"--sizes 10,100", "expected 4 sizes at least, in order, the last 10 times the first, got 10 100"},
		{"--only everything", "--only: expected some of"},
		{"--limit-cores 0", "--limit-cores: expected a number above 0, got 0"},
	} {
		code, out, stderrText := runLab(t, append([]string{"scale"}, strings.Fields(c.args)...)...)
		if code != exitNotRun || out != "" || !strings.Contains(stderrText, c.want) || strings.Count(stderrText, "\n") != 1 {
			t.Errorf("%s: %d, %q, %q, want one line with %q", c.args, code, out, stderrText, c.want)
		}
	}
}

// A result is shown again without being measured anew, as it was measured.
func TestScaleShowsStoredResult(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path, picture := filepath.Join(dir, "slopes.json"), filepath.Join(dir, "slopes.png")
	if code, out, stderrText := runLab(t, "scale", "--quick", "--only", "services", "--json", path); code != exitPassed {
		t.Fatal(code, out, stderrText)
	}
	if text, err := os.ReadFile(path); err != nil || strings.Contains(string(text), dir) || !strings.Contains(string(text), `"fawnglade-lab scale --only services --quick"`) {
		t.Error("the command that is kept names this machine's places, or not what was run: ", err, string(text))
	}
	code, out, stderrText := runLab(t, "scale", "--from", path, "--plot", picture)
	if code != exitPassed || stderrText != "" || !strings.Contains(out, "services.memory ") || !strings.Contains(out, "an instance of the decisions with 24 servers stands for one") {
		t.Error(code, out, stderrText)
	}
	if code, _, stderrText := runLab(t, "scale", "--from", path, "--design-servers", "5"); code != exitNotRun || !strings.Contains(stderrText, "from") {
		t.Error("other figures beside --from: ", code, stderrText)
	}
	if info, err := os.Stat(picture); err != nil || info.Size() < 10_000 {
		t.Error("no picture: ", err)
	}
}
