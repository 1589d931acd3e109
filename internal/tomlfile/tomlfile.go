// Package tomlfile decodes the program's TOML files strictly, and reports all problems of a file at once, each with the
// file, the key, what was expected and what was found.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problems collects what is wrong with one file.
type Problems struct {
	path     string
	problems []error
}

// Require adds a problem unless a condition holds.
func (p *Problems) Require(condition bool, key, want string, found any) {
	if !condition {
		p.problems = append(p.problems, fmt.Errorf("%s: %s: expected %s, found %v", p.path, key, want, found))
	}
}

// Err is all problems, one a line, or nil.
func (p *Problems) Err() error { return errors.Join(p.problems...) }

// Decode decodes a file's text. Text that is no TOML, or has a value of another type, is an error; an unknown key is a
// problem, which refers to the page that documents all keys.
func Decode(path string, text []byte, into any, page string) (*Problems, error) {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	problems := &Problems{path: path}
	err := decoder.Decode(into)
	if err == nil {
		return problems, nil
	}
	var unknownKeys *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case errors.As(err, &unknownKeys):
		for _, key := range unknownKeys.Errors {
			line, _ := key.Position()
			problems.Require(false, strings.Join(key.Key(), "."), "a key of "+page,
				fmt.Sprintf("an unknown one in line %d", line))
		}
		return problems, nil
	case errors.As(err, &invalid):
		line, _ := invalid.Position()
		reason := strings.TrimPrefix(invalid.Error(), "toml: ")
		return nil, fmt.Errorf("%s: line %d: expected TOML, found: %s", path, line, reason)
	default:
		return nil, fmt.Errorf("%s: expected TOML, found: %w", path, err)
	}
}
