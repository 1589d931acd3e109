package main

import (
	"os"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The platform's acceptance test loads a shared library into the node, which replaces the node's clock and sockets. A
// statically linked node would ignore the library: it would run in real time, on sockets that receive no requests. So
// the build command must link against the C library, and must be the same in all files.
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
		t.Errorf("got build = %q, want it linked against the C library", deploy.Build)
	}
	if !strings.HasPrefix(deploy.Run, "exec ") || strings.ContainsAny(deploy.Run, ";|&") {
		t.Errorf("got run = %q, want a single command that is started by exec", deploy.Run)
	}
	for _, file := range []string{"../../README.md", "../../Makefile", "../../.ci/run", "../../docs/operate/lab.md"} {
		if text, err := os.ReadFile(file); err != nil || !strings.Contains(string(text), deploy.Build) {
			t.Errorf("%s: want the build command of deploy/balancer.toml in it (%v): %s", file, err, deploy.Build)
		}
	}
}
