package scenario

import (
	"path/filepath"
	"strings"
	"testing"
)

const validScenario = `name = "x"
length = "5s"
[[fleet]]
count = 4
[load]
rate = 100
[[category]]
name = "view"
soft_limit = "100ms"
hard_limit = "500ms"
work = "5ms"
[[fault]]
kind = "slow"
at = "1s"
count = 2
`

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := Parse("f", []byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	if f := s.Fleets[0]; f.Name != "s" || f.Cores != 2 || len(f.Zones) != 1 || s.Classes[0].Idempotency != "rerunnable" || s.Faults[0].Factor != 0.2 {
		t.Errorf("defaults not filled in: %+v", s)
	}
}

// What is wrong is told with its line and with what was expected.
// TestLinkFaultErrorsAreAllReported has five in one file: each is told with its line, all at once.
func TestLinkFaultErrorsAreAllReported(t *testing.T) {
	_, err := Parse("f", []byte(validScenario+`
[[fault]]
kind = "link-cut"
at = "1s"
from = ["n7"]
to = ["servers"]
[[fault]]
kind = "link-delay"
at = "1s"
from = ["servers"]
to = ["discovery"]
wait = "5ms"
[[fault]]
kind = "link-twice"
at = "1s"
from = ["nodes"]
to = ["servers"]
[[fault]]
kind = "link-delay"
at = "1s"
for = "2s"
from = ["nodes"]
to = ["servers"]
wait = "5ms"
[[fault]]
kind = "link-delay"
at = "2s"
from = ["n0"]
to = ["s-1"]
wait = "9ms"
how = "backwards"
[[fault]]
kind = "link-crumple"
at = "1s"
`))
	if err == nil {
		t.Fatal("taken")
	}
	lines := strings.Split(err.Error(), "\n")
	for _, want := range []string{
		"f:20: fault.1.from: expected n0 to n0", "f:26: fault.2.to: expected ends that nodes have ways to",
		"f:29: fault.3.kind: expected link-cut, link-drop, link-delay or link-narrow", "f:46: fault.5.how: expected one of fixed, drawn, growing",
		"f:41: fault.5.kind: expected no other link-delay of one of its ways at one time, got one in fault.4", "f:48: fault.6.kind: expected one of",
	} {
		found := false
		for _, line := range lines {
			found = found || strings.HasPrefix(line, want)
		}
		if !found {
			t.Errorf("no line begins with %q in:\n%v", want, err)
		}
	}
}

func TestErrorNamesLineAndExpectation(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown key":        {"count = 4", "count = 4\nspede = 2", "f:5: unknown key fleet.spede"},
		"not a time":         {`"5ms"`, `"5 parsecs"`, `f:11: `},
		"no TOML":            {"rate = 100", "rate = = 100", "f:6: "},
		"wrong type":         {"rate = 100", `rate = "fast"`, "f:6: "},
		"impossible":         {"count = 4", "count = 4\nspeed = -1", "f:5: fleet.0.speed: expected a number above 0, got -1"},
		"limits crossed":     {`"500ms"`, `"50ms"`, "f:10: category.0.hard_limit: expected no less than soft_limit"},
		"unknown fault":      {`"slow"`, `"sloth"`, "f:13: fault.0.kind: expected one of bad-clients, "},
		"names nobody":       {"count = 2", "count = 0", "f:12: fault.0.servers: expected servers, a count, a share or a zone, got a fault that names nobody"},
		"names who is not":   {"count = 2", `servers = ["s-9"]`, "f:15: fault.0.servers: expected names such as s-0, got \"s-9\""},
		"more than there is": {"count = 2", "count = 9", "f:15: fault.0.count: expected no more than there are servers, got 9"},
		"after the day":      {`at = "1s"`, `at = "9s"`, "f:14: fault.0.at: expected a time within the day, got 9s"},
		"missing":            {`name = "x"`, "", "f: name: expected a name, got none"},
		"zone unknown":       {"count = 4", "count = 4\nzones = [\"q\"]", "f:5: fleet.0.zones: expected a zone of network.zones, got \"q\""},
		"node unknown":       {"kind = \"slow\"", "kind = \"kill\"\nnodes = [3]", "f:14: fault.0.nodes: expected numbers from 0 to 0, got 3"},
	} {
		text := strings.Replace(validScenario, c.from, c.to, 1)
		if text == validScenario {
			t.Fatalf("%s: the case changes nothing", name)
		}
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line beginning with %q", name, err, c.want)
		}
	}
}

func TestShippedScenariosAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../lab/scenarios/*.toml")
	if err != nil || len(paths) < 10 {
		t.Fatalf("%d scenarios found, %v", len(paths), err)
	}
	for _, path := range paths {
		s, err := Read(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Name+".toml" != filepath.Base(path) || s.About == "" || s.Expect.MinWeightInTime == 0 {
			t.Errorf("%s: expected its name, what it is about and what it expects", path)
		}
	}
}
