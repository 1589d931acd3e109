package main

import (
	"os"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The standing test loads a library of its own into the node, which a statically linked one would never notice: it
// would serve in real time, on sockets where nobody calls. So what is built has to be one program everywhere.
func TestBuildCommandIsTheSameEverywhere(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(deploy.Build, "CGO_ENABLED=1 go build -ldflags=-linkmode=external ") {
		t.Errorf("build = %q: not linked against the C library", deploy.Build)
	}
	if !strings.HasPrefix(deploy.Run, "exec ") || strings.ContainsAny(deploy.Run, ";|&") {
		t.Errorf("run = %q: does not end in one process by exec", deploy.Run)
	}
	for _, file := range []string{"../../README.md", "../../Makefile", "../../.ci/run", "../../docs/operate/lab.md"} {
		if text, err := os.ReadFile(file); err != nil || !strings.Contains(string(text), deploy.Build) {
			t.Errorf("%s does not build as the deploy file does (%v): %s", file, err, deploy.Build)
		}
	}
}
