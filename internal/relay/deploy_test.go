package relay

import (
	"path/filepath"
	"slices"
	"testing"

	"fawnglade/internal/distribution"
	"fawnglade/internal/features"
)

// The configuration files of the example in docs/operate/relay.md can be loaded and are consistent with each other.
func TestExampleConfigurationLoads(t *testing.T) {
	dir := "../../deploy/relay/"
	origin, err := ReadConfig(dir + "origin.toml")
	if err != nil {
		t.Fatal(err)
	}
	relayConfig, err := ReadConfig(dir + "relay.toml")
	if err != nil {
		t.Fatal(err)
	}
	if origin.Role != roleOrigin || relayConfig.Role != roleRelay ||
		!slices.Contains(relayConfig.Upstream, origin.Listen) {
		t.Errorf("relay: got upstreams %q, want the origin's address %q", relayConfig.Upstream, origin.Listen)
	}
	files, err := filepath.Glob(dir + "node-*.toml")
	if err != nil || len(files) != 2 {
		t.Fatalf("got node files %v, error %v, want two files", files, err)
	}
	for _, file := range files {
		node, err := features.Read(file, "n")
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(node.Distribution.Relays, relayConfig.Listen) {
			t.Errorf("%s: got relays %q, want %q among them", file, node.Distribution.Relays, relayConfig.Listen)
		}
		for _, s := range Selectors(node.Distribution.Scopes) {
			if !slices.ContainsFunc(Selectors(relayConfig.Scopes), func(followed distribution.Selector) bool {
				return followed.Prefix && len(s.Scope) >= len(followed.Scope) &&
					s.Scope[:len(followed.Scope)] == followed.Scope
			}) {
				t.Errorf("%s: the relay does not follow %q", file, s.Scope)
			}
		}
	}
	if scope := origin.Origin.Scope.scopeOf("h1", "eu1-b"); scope != "eu1/cart" {
		t.Errorf("scope of an endpoint in zone eu1-b: got %q, want eu1/cart", scope)
	}
}
