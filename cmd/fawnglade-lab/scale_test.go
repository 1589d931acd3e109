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

// TestScaleMeasuresNodeProcess measures a real node process with endpoint lists of four sizes and with a start from
// persisted state.
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
			t.Errorf("%s: got points %v and notes %v, want 4 points and no notes", name, s.Points, s.Notes)
		}
		if !strings.Contains(out, "\n"+name+" ") || !strings.Contains(stderrText, "1 of 1: process, 500 servers") {
			t.Errorf("the table lacks %s, or standard error lacks the progress line: %s", name, stderrText)
		}
	}
	// These figures do not depend on time: bytes written by the emulated discovery, and entries in the persisted state.
	if f := all["process.list"].Fit; math.Abs(f.Slope-124) > 5 || f.BreaksBeyond != 0 {
		t.Errorf("got a list of %v bytes per endpoint, want 119 to 129 and a line that holds", f.Slope)
	}
	for _, p := range all["process.remembered"].Points {
		if p.Value != p.Size {
			t.Errorf("got %v endpoints in the persisted state, want %v", p.Value, p.Size)
		}
	}
	for _, p := range all["process.memory"].Points {
		if p.Value < 1e6 || p.Value > 200e6 {
			t.Errorf("got a node with %v bytes of memory, want 1e6 to 200e6", p.Value)
		}
	}
}

// TestScaleMeasuresHollowNodes measures hollow nodes and a real node that share a membership and an endpoint list.
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
			t.Errorf("%s: got points %v and notes %v, want 4 points and no notes", name, s.Points, s.Notes)
		}
		for _, p := range s.Points {
			if !(p.Value > 0) {
				t.Errorf("%s: got %v at size %v, want a value above 0", name, p.Value, p.Size)
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
			t.Errorf("scale %s: got exit code %d, stdout %q, stderr %q; want exit code 2 and one line of stderr with %q", c.args, code, out, stderrText, c.want)
		}
	}
}

// TestScaleShowsStoredResult checks that --from shows a stored result without measuring, and that the stored command
// names no path of the machine.
func TestScaleShowsStoredResult(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path, picture := filepath.Join(dir, "slopes.json"), filepath.Join(dir, "slopes.png")
	if code, out, stderrText := runLab(t, "scale", "--quick", "--only", "services", "--json", path); code != exitPassed {
		t.Fatal(code, out, stderrText)
	}
	if text, err := os.ReadFile(path); err != nil || strings.Contains(string(text), dir) || !strings.Contains(string(text), `"fawnglade-lab scale --only services --quick"`) {
		t.Error("stored result: want the command that was run and no path of this machine; error and text: ", err, string(text))
	}
	code, out, stderrText := runLab(t, "scale", "--from", path, "--plot", picture)
	if code != exitPassed || stderrText != "" || !strings.Contains(out, "services.memory ") || !strings.Contains(out, "an instance of the decisions with 24 servers stands for one") {
		t.Error(code, out, stderrText)
	}
	if code, _, stderrText := runLab(t, "scale", "--from", path, "--design-servers", "5"); code != exitNotRun || !strings.Contains(stderrText, "from") {
		t.Error("scale --from with --design-servers: want exit code 2 and an error about --from; got ", code, stderrText)
	}
	if info, err := os.Stat(picture); err != nil || info.Size() < 10_000 {
		t.Error("want a plot of at least 10 kB; got ", err)
	}
}
