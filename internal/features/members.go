package features

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"fawnglade/internal/tomlfile"
)

const (
	defaultProtocolPeriod = 500 * time.Millisecond
	minProtocolPeriod     = 50 * time.Millisecond
	maxProtocolPeriod     = time.Minute
	maxNodes              = 4096
	maxNameBytes          = 255
	minKeyBytes           = 16
)

// Members configures the membership protocol (package members).
type Members struct {
	// Listen is the address and port on which the node receives datagrams. Required.
	Listen string `toml:"listen"`
	// ProtocolPeriod is the interval between probes, 50ms to 1m. Shorter ones detect failures sooner and cost more
	// datagrams. Default: 500ms.
	ProtocolPeriod string `toml:"round"`
	// Key authenticates datagrams: at least 32 hexadecimal digits, the same on all nodes. Default: empty, datagrams
	// have only a checksum.
	Key string `toml:"key"`
	// ShareEndpointList turns on the exchange of endpoint lists while discovery is down. It requires Key. Default:
	// false.
	ShareEndpointList bool `toml:"list"`
	// Nodes are all nodes of the fleet, including this one.
	Nodes []Node `toml:"node"`

	// The following are set by Parse.

	ProtocolPeriodNs int64            `toml:"-"`
	KeyBytes         []byte           `toml:"-"`
	ListenAddress    netip.AddrPort   `toml:"-"`
	Addresses        []netip.AddrPort `toml:"-"` // of Nodes, in the same order
}

// Node is one node of the fleet.
type Node struct {
	// Name is the name in the node's configuration.
	Name string `toml:"name"`
	// Address is the address and port at which this node reaches it.
	Address string `toml:"address"`
}

func (m *Members) check(p *tomlfile.Problems, name string) {
	var err error
	m.ListenAddress, err = netip.ParseAddrPort(m.Listen)
	p.Require(err == nil && m.ListenAddress.Port() != 0, "members.listen", "an address and a port", quoted(m.Listen))
	m.ProtocolPeriodNs = int64(parseDuration(p, "members.round", m.ProtocolPeriod, durationRange{defaultProtocolPeriod, minProtocolPeriod, maxProtocolPeriod}))
	m.checkKey(p)
	m.checkNodes(p, name)
}

func (m *Members) checkKey(p *tomlfile.Problems) {
	var err error
	m.KeyBytes, err = hex.DecodeString(m.Key)
	want := fmt.Sprintf("an empty key or at least %d hexadecimal digits", 2*minKeyBytes)
	p.Require(err == nil && (m.Key == "" || len(m.KeyBytes) >= minKeyBytes), "members.key", want,
		fmt.Sprintf("%d characters", len(m.Key)))
	// Requests are sent to the addresses in a list, so unauthenticated lists must not be accepted.
	p.Require(!m.ShareEndpointList || m.Key != "", "members.key", "a key, because members.list is true", "none")
}

func (m *Members) checkNodes(p *tomlfile.Problems, self string) {
	count := len(m.Nodes)
	p.Require(count >= 1 && count <= maxNodes, "members.node", fmt.Sprintf("1 to %d nodes", maxNodes), count)
	names := map[string]bool{}
	nameAt := map[netip.AddrPort]string{}
	for i, node := range m.Nodes {
		key := fmt.Sprintf("members.node.%d.", i)
		nameValid := node.Name != "" && len(node.Name) <= maxNameBytes
		p.Require(nameValid, key+"name", fmt.Sprintf("a name of up to %d bytes", maxNameBytes), quoted(node.Name))
		p.Require(!names[node.Name], key+"name", "a name that no other node has", quoted(node.Name)+" again")
		names[node.Name] = true
		m.Addresses = append(m.Addresses, node.checkAddress(p, key+"address", nameAt))
	}
	p.Require(names[self], "members.node", fmt.Sprintf("this node, %q, among them", self),
		fmt.Sprintf("%d others", count))
}

// checkAddress parses a node's address, and reports a problem if another node in nameAt has it. It adds the address to
// nameAt.
func (n *Node) checkAddress(p *tomlfile.Problems, key string, nameAt map[netip.AddrPort]string) netip.AddrPort {
	address, err := netip.ParseAddrPort(n.Address)
	p.Require(err == nil && address.Port() != 0, key, "an address and a port", quoted(n.Address))
	if err != nil {
		return address
	}
	other := nameAt[address]
	p.Require(other == "", key, "an address that no other node has", fmt.Sprintf("%q, the address of %s", n.Address, other))
	nameAt[address] = n.Name
	return address
}
