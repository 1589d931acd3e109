// Package tomlfile owns how a TOML file of ours is read: unknown keys are complaints, and all complaints are told at once, with file,
// key, what was expected and what was found. It must never guess at a mistake.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Complaints gathers what is wrong with one file.
type Problems struct {
	path string
	all  []error
}

// Must complains unless something holds.
func (c *Problems) Require(holds bool, key, want string, found any) {
	if !holds {
		c.all = append(c.all, fmt.Errorf("%s: %s: expected %s, found %v", c.path, key, want, found))
	}
}

// Err is all complaints, or nil.
func (c *Problems) Err() error { return errors.Join(c.all...) }

// Decode reads a file's text. Text that is no TOML, or holds a value of another type, is an error; a key that is unknown is a
// complaint, which names the page that tells of all keys.
func Decode(path string, text []byte, into any, page string) (*Problems, error) {
	in := toml.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	c := &Problems{path: path}
	err := in.Decode(into)
	if err == nil {
		return c, nil
	}
	var unknown *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			c.Require(false, strings.Join(e.Key(), "."), "a key of "+page, fmt.Sprintf("an unknown one in line %d", line))
		}
		return c, nil
	case errors.As(err, &decode):
		line, _ := decode.Position()
		return nil, fmt.Errorf("%s: line %d: expected TOML, found: %s", path, line, strings.TrimPrefix(decode.Error(), "toml: "))
	default:
		return nil, fmt.Errorf("%s: expected TOML, found: %w", path, err)
	}
}
