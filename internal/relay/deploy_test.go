package relay

import (
	"path/filepath"
	"slices"
	"testing"

	"fawnglade/internal/distribution"
	"fawnglade/internal/features"
)

// The files of the worked example in docs/operate/relay.md load, and fit one another.
func TestExampleConfigurationLoads(t *testing.T) {
	dir := "../../deploy/relay/"
	origin, err := ReadConfig(dir + "origin.toml")
	if err != nil {
		t.Fatal(err)
	}
	low, err := ReadConfig(dir + "relay.toml")
	if err != nil {
		t.Fatal(err)
	}
	if origin.Role != roleOrigin || low.Role != roleRelay || !slices.Contains(low.Upstream, origin.Listen) {
		t.Errorf("the relay's upstream %q is not the origin's %q", low.Upstream, origin.Listen)
	}
	files, err := filepath.Glob(dir + "node-*.toml")
	if err != nil || len(files) != 2 {
		t.Fatalf("%v, %v: expected two nodes", files, err)
	}
	for _, f := range files {
		node, err := features.Read(f, "n")
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(node.Distribution.Relays, low.Listen) {
			t.Errorf("%s: relays %q lack %q", f, node.Distribution.Relays, low.Listen)
		}
		for _, s := range Selectors(node.Distribution.Scopes) {
			if !slices.ContainsFunc(Selectors(low.Scopes), func(by distribution.Selector) bool {
				return by.Prefix && len(s.Scope) >= len(by.Scope) && s.Scope[:len(by.Scope)] == by.Scope
			}) {
				t.Errorf("%s: the relay does not follow %q", f, s.Scope)
			}
		}
	}
	if scope := origin.Origin.Scope.scopeOf("h1", "eu1-b"); scope != "eu1/cart" {
		t.Errorf("a host of eu1-b is in %q", scope)
	}
}
