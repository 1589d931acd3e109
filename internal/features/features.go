// Package features reads the features file: what a node does beyond the platform's protocol. Without a file all of it is
// off. All problems of a file are reported at once.
package features

import (
	"os"

	"fawnglade/internal/tomlfile"
)

const keysPage = "docs/operate/members.md or docs/operate/relay.md"

// Features are the features of one node. Read and Parse return checked ones.
type Features struct {
	// Members turns on the membership of nodes. Nil: off.
	Members *Members `toml:"members"`
	// Distribution has the node follow relays. Nil: off.
	Distribution *Distribution `toml:"distribution"`
}

// Read reads and checks a file for the node of a name; errors name the file and the key.
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
