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

// Distribution configures the subscription to relays for the endpoint list and configuration records.
type Distribution struct {
	// Relays are the addresses and ports of 1 to 64 relays. Each node tries them in an order of its own.
	Relays []string `toml:"relays"`
	// Scopes are the 1 to 4096 scopes that the node subscribes to, such as region/service. A star at the end matches
	// any suffix.
	Scopes []string `toml:"scopes"`
	// RelayTimeout is the time without a message from any relay after which the node also watches discovery, 1s to 1m.
	// Default: 4s.
	RelayTimeout string `toml:"silence"`

	// RelayTimeoutNs is RelayTimeout in nanoseconds, set by Parse.
	RelayTimeoutNs int64 `toml:"-"`
}

func (d *Distribution) check(p *tomlfile.Problems) {
	d.checkRelays(p)
	d.checkScopes(p)
	relayTimeout := parseDuration(p, "distribution.silence", d.RelayTimeout, durationRange{defaultRelayTimeout, minRelayTimeout, maxRelayTimeout})
	d.RelayTimeoutNs = int64(relayTimeout)
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
		p.Require(!seen[relay], key, "an address that is listed once", quoted(relay)+" again")
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
