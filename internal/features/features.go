// Package features owns the file of what a node does beyond the platform's protocol: TOML, off where there is none. Every complaint
// is told at once, with file, key, what was expected and what was found. It must never start anything, nor guess at a mistake.
package features

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Features of one node, checked.
type Features struct {
	Members *Members `toml:"members"` // nil: off
}

// Members is who the nodes of the fleet are, and how this one hears of them.
type Members struct {
	Listen string `toml:"listen"` // address and port for datagrams
	Round  string `toml:"round"`  // such as 500ms
	Key    string `toml:"key"`    // hexadecimal, the same at all nodes; empty: datagrams have a checksum alone
	List   bool   `toml:"list"`   // while discovery does not tell this node the list, it asks others; and answers them
	Nodes  []Node `toml:"node"`

	RoundNs  int64            `toml:"-"`
	KeyBytes []byte           `toml:"-"`
	Bind     netip.AddrPort   `toml:"-"`
	At       []netip.AddrPort `toml:"-"` // of Nodes
}

// Node is one node of the fleet.
type Node struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // where this node reaches it
}

const (
	usualRound = 500 * time.Millisecond
	leastRound = 50 * time.Millisecond
	mostRound  = time.Minute
	mostNodes  = 4096
	leastKey   = 16
)

// Read reads and checks a file for the node of a name.
func Read(path, name string) (*Features, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, name, text)
}

// complaints gathers what is wrong.
type complaints struct {
	path string
	all  []error
}

func (c *complaints) must(holds bool, key, want string, found any) {
	if !holds {
		c.all = append(c.all, fmt.Errorf("%s: %s: expected %s, found %v", c.path, key, want, found))
	}
}

// Parse checks a file's text.
func Parse(path, name string, text []byte) (*Features, error) {
	f := &Features{}
	in := toml.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	c := &complaints{path: path}
	if err := in.Decode(f); err != nil {
		var strict *toml.StrictMissingError
		var decode *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			for _, e := range strict.Errors {
				line, _ := e.Position()
				c.must(false, strings.Join(e.Key(), "."), "a key of docs/operate/members.md", fmt.Sprintf("an unknown one in line %d", line))
			}
		case errors.As(err, &decode):
			line, _ := decode.Position()
			return nil, fmt.Errorf("%s: line %d: expected TOML, found: %s", path, line, strings.TrimPrefix(decode.Error(), "toml: "))
		default:
			return nil, fmt.Errorf("%s: expected TOML, found: %w", path, err)
		}
	}
	if f.Members != nil {
		f.Members.check(c, name)
	}
	if len(c.all) > 0 {
		return nil, errors.Join(c.all...)
	}
	return f, nil
}

func (m *Members) check(c *complaints, name string) {
	var err error
	m.Bind, err = netip.ParseAddrPort(m.Listen)
	c.must(err == nil && m.Bind.Port() != 0, "members.listen", "an address and a port", fmt.Sprintf("%q", m.Listen))
	round := usualRound
	if m.Round != "" {
		round, err = time.ParseDuration(m.Round)
		c.must(err == nil && round >= leastRound && round <= mostRound, "members.round", "a time from 50ms to 1m", fmt.Sprintf("%q", m.Round))
	}
	m.RoundNs = int64(round)
	m.KeyBytes, err = hex.DecodeString(m.Key)
	c.must(err == nil && (m.Key == "" || len(m.KeyBytes) >= leastKey), "members.key", fmt.Sprintf("nothing, or at least %d hexadecimal digits", 2*leastKey),
		fmt.Sprintf("%d characters", len(m.Key)))
	// A list names addresses that tasks go to: nobody without the key may tell one.
	c.must(!m.List || m.Key != "", "members.key", "a key, as members.list is true", "none")
	c.must(len(m.Nodes) >= 1 && len(m.Nodes) <= mostNodes, "members.node", fmt.Sprintf("1 to %d nodes", mostNodes), len(m.Nodes))
	names, places, self := map[string]bool{}, map[netip.AddrPort]string{}, false
	for i, n := range m.Nodes {
		key := fmt.Sprintf("members.node.%d.", i)
		c.must(n.Name != "" && len(n.Name) <= 255, key+"name", "a name of up to 255 bytes", fmt.Sprintf("%q", n.Name))
		c.must(!names[n.Name], key+"name", "a name that no other node has", fmt.Sprintf("%q again", n.Name))
		names[n.Name] = true
		at, err := netip.ParseAddrPort(n.Address)
		if c.must(err == nil && at.Port() != 0, key+"address", "an address and a port", fmt.Sprintf("%q", n.Address)); err == nil {
			c.must(places[at] == "", key+"address", "an address that no other node has", fmt.Sprintf("%q, which is %s's", n.Address, places[at]))
			places[at] = n.Name
		}
		m.At = append(m.At, at)
		self = self || n.Name == name
	}
	c.must(self, "members.node", fmt.Sprintf("this node, %q, among them", name), fmt.Sprintf("%d others", len(m.Nodes)))
}
