// Package features owns the file of what a node does beyond the platform's protocol: TOML, off where there is none. Every complaint
// is told at once, with file, key, what was expected and what was found. It must never start anything, nor guess at a mistake.
package features

import (
	"encoding/hex"
	"fawnglade/internal/tomlfile"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"
)

// Features of one node, checked.
type Features struct {
	Members      *Members      `toml:"members"`      // nil: off
	Distribution *Distribution `toml:"distribution"` // nil: off
}

// Members is who the nodes of the fleet are, and how this one hears of them.
type Members struct {
	Listen string `toml:"listen"` // address and port for datagrams
	Round  string `toml:"round"`  // such as 500ms
	Key    string `toml:"key"`    // hexadecimal, the same at all nodes; empty: datagrams have a checksum alone
	List   bool   `toml:"list"`   // while discovery does not tell this node the list, it asks others; and answers them
	Nodes  []Node `toml:"node"`

	RoundNs       int64            `toml:"-"`
	KeyBytes      []byte           `toml:"-"`
	ListenAddress netip.AddrPort   `toml:"-"`
	Addresses     []netip.AddrPort `toml:"-"` // of Nodes
}

// Node is one node of the fleet.
type Node struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // where this node reaches it
}

// Distribution is the relays that tell this node its servers and configuration.
type Distribution struct {
	Relays  []string `toml:"relays"`  // addresses and ports; each node has an order of its own
	Scopes  []string `toml:"scopes"`  // region/service; a star at the end stands for all that begin so
	Silence string   `toml:"silence"` // no relay has told anything for so long: discovery is watched too, such as 4s

	SilenceNs int64 `toml:"-"`
}

const (
	defaultRound = 500 * time.Millisecond
	minRound     = 50 * time.Millisecond
	maxRound     = time.Minute
	maxNodes     = 4096
	minKeyBytes  = 16

	defaultSilence = 4 * time.Second
	minSilence     = time.Second
	maxSilence     = time.Minute
	maxRelays      = 64
	maxScopes      = 4096
	maxScopeBytes  = 256
)

// Read reads and checks a file for the node of a name.
func Read(path, name string) (*Features, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, name, text)
}

// Parse checks a file's text.
func Parse(path, name string, text []byte) (*Features, error) {
	f := &Features{}
	c, err := tomlfile.Decode(path, text, f, "docs/operate/members.md or docs/operate/relay.md")
	if err != nil {
		return nil, err
	}
	if f.Members != nil {
		f.Members.check(c, name)
	}
	if f.Distribution != nil {
		f.Distribution.check(c)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

func (m *Members) check(c *tomlfile.Problems, name string) {
	var err error
	m.ListenAddress, err = netip.ParseAddrPort(m.Listen)
	c.Require(err == nil && m.ListenAddress.Port() != 0, "members.listen", "an address and a port", fmt.Sprintf("%q", m.Listen))
	round := defaultRound
	if m.Round != "" {
		round, err = time.ParseDuration(m.Round)
		c.Require(err == nil && round >= minRound && round <= maxRound, "members.round", "a time from 50ms to 1m", fmt.Sprintf("%q", m.Round))
	}
	m.RoundNs = int64(round)
	m.KeyBytes, err = hex.DecodeString(m.Key)
	c.Require(err == nil && (m.Key == "" || len(m.KeyBytes) >= minKeyBytes), "members.key", fmt.Sprintf("nothing, or at least %d hexadecimal digits", 2*minKeyBytes),
		fmt.Sprintf("%d characters", len(m.Key)))
	// A list names addresses that requests go to: nobody without the key may tell one.
	c.Require(!m.List || m.Key != "", "members.key", "a key, as members.list is true", "none")
	c.Require(len(m.Nodes) >= 1 && len(m.Nodes) <= maxNodes, "members.node", fmt.Sprintf("1 to %d nodes", maxNodes), len(m.Nodes))
	names, places, self := map[string]bool{}, map[netip.AddrPort]string{}, false
	for i, n := range m.Nodes {
		key := fmt.Sprintf("members.node.%d.", i)
		c.Require(n.Name != "" && len(n.Name) <= 255, key+"name", "a name of up to 255 bytes", fmt.Sprintf("%q", n.Name))
		c.Require(!names[n.Name], key+"name", "a name that no other node has", fmt.Sprintf("%q again", n.Name))
		names[n.Name] = true
		at, err := netip.ParseAddrPort(n.Address)
		if c.Require(err == nil && at.Port() != 0, key+"address", "an address and a port", fmt.Sprintf("%q", n.Address)); err == nil {
			c.Require(places[at] == "", key+"address", "an address that no other node has", fmt.Sprintf("%q, which is %s's", n.Address, places[at]))
			places[at] = n.Name
		}
		m.Addresses = append(m.Addresses, at)
		self = self || n.Name == name
	}
	c.Require(self, "members.node", fmt.Sprintf("this node, %q, among them", name), fmt.Sprintf("%d others", len(m.Nodes)))
}

func (d *Distribution) check(c *tomlfile.Problems) {
	c.Require(len(d.Relays) >= 1 && len(d.Relays) <= maxRelays, "distribution.relays", fmt.Sprintf("1 to %d addresses and ports", maxRelays), len(d.Relays))
	seen := map[string]bool{}
	for i, address := range d.Relays {
		key := fmt.Sprintf("distribution.relays.%d", i)
		at, err := netip.ParseAddrPort(address)
		c.Require(err == nil && at.Port() != 0, key, "an address and a port", fmt.Sprintf("%q", address))
		c.Require(!seen[address], key, "an address that is not there twice", fmt.Sprintf("%q again", address))
		seen[address] = true
	}
	c.Require(len(d.Scopes) >= 1 && len(d.Scopes) <= maxScopes, "distribution.scopes", fmt.Sprintf("1 to %d scopes", maxScopes), len(d.Scopes))
	for i, scope := range d.Scopes {
		c.Require(scope != "" && len(scope) <= maxScopeBytes && !strings.Contains(strings.TrimSuffix(scope, "*"), "*"), fmt.Sprintf("distribution.scopes.%d", i),
			fmt.Sprintf("a scope of up to %d bytes, with a star at its end alone", maxScopeBytes), fmt.Sprintf("%q", scope))
	}
	silence, err := defaultSilence, error(nil)
	if d.Silence != "" {
		silence, err = time.ParseDuration(d.Silence)
		c.Require(err == nil && silence >= minSilence && silence <= maxSilence, "distribution.silence", "a time from 1s to 1m", fmt.Sprintf("%q", d.Silence))
	}
	d.SilenceNs = int64(silence)
}
