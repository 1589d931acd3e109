package features

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"fawnglade/internal/tomlfile"
)

const (
	defaultRelayTimeout = 4 * time.Second
	minRelayTimeout     = time.Second
	maxRelayTimeout     = time.Minute
	maxRelays           = 64
	maxScopes           = 4096
	maxScopeBytes       = 256
)

// Distribution has a node follow relays for its endpoints and configuration.
type Distribution struct {
	// Relays are addresses and ports, 1 to 64; each node tries them in an order of its own.
	Relays []string `toml:"relays"`
	// Scopes are what the node follows, as region/service; a star at the end stands for any rest. 1 to 4096.
	Scopes []string `toml:"scopes"`
	// Silence is after how long without a message of any relay discovery is watched too, 1s to 1m. Default: 4s.
	RelayTimeout string `toml:"silence"`

	// RelayTimeoutNs is set by Parse.
	RelayTimeoutNs int64 `toml:"-"`
}

func (d *Distribution) check(p *tomlfile.Problems) {
	d.checkRelays(p)
	d.checkScopes(p)
	silence := parseDuration(p, "distribution.silence", d.RelayTimeout, durationRange{defaultRelayTimeout, minRelayTimeout, maxRelayTimeout})
	d.RelayTimeoutNs = int64(silence)
}

func (d *Distribution) checkRelays(p *tomlfile.Problems) {
	count := len(d.Relays)
	p.Require(count >= 1 && count <= maxRelays, "distribution.relays",
		fmt.Sprintf("1 to %d addresses and ports", maxRelays), count)
	seen := map[string]bool{}
	for i, relay := range d.Relays {
		key := fmt.Sprintf("distribution.relays.%d", i)
		address, err := netip.ParseAddrPort(relay)
		p.Require(err == nil && address.Port() != 0, key, "an address and a port", quoted(relay))
		p.Require(!seen[relay], key, "an address that is not there twice", quoted(relay)+" again")
		seen[relay] = true
	}
}

func (d *Distribution) checkScopes(p *tomlfile.Problems) {
	count := len(d.Scopes)
	p.Require(count >= 1 && count <= maxScopes, "distribution.scopes", fmt.Sprintf("1 to %d scopes", maxScopes), count)
	want := fmt.Sprintf("a scope of up to %d bytes, with a star at its end alone", maxScopeBytes)
	for i, scope := range d.Scopes {
		starInside := strings.Contains(strings.TrimSuffix(scope, "*"), "*")
		valid := scope != "" && len(scope) <= maxScopeBytes && !starInside
		p.Require(valid, fmt.Sprintf("distribution.scopes.%d", i), want, quoted(scope))
	}
}
