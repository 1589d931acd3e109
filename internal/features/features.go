// Package features reads the features file, which turns on optional features of a node beyond the platform's protocol.
// Without a file all of them are off. All problems of a file are reported at once.
package features

import (
	"os"

	"fawnglade/internal/tomlfile"
)

const keysPage = "docs/operate/members.md or docs/operate/relay.md"

// Features holds the features of one node, as validated by Read and Parse.
type Features struct {
	// Members turns on the membership protocol. Nil: off.
	Members *Members `toml:"members"`
	// Distribution turns on the subscription to relays. Nil: off.
	Distribution *Distribution `toml:"distribution"`
}

// Read reads and validates the file of the node with the given name. Errors name the file and the key.
func Read(path, name string) (*Features, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, name, text)
}

// Parse parses and validates the text of a file. Errors name path and the key.
func Parse(path, name string, text []byte) (*Features, error) {
	f := &Features{}
	problems, err := tomlfile.Decode(path, text, f, keysPage)
	if err != nil {
		return nil, err
	}
	if f.Members != nil {
		f.Members.check(problems, name)
	}
	if f.Distribution != nil {
		f.Distribution.check(problems)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return f, nil
}
