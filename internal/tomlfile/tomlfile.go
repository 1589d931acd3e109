// Package tomlfile decodes TOML files strictly. It reports all problems of a file at once, each with the file, the key,
// the expected and the actual value.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problems collects the problems of one file.
type Problems struct {
	path     string
	problems []error
}

// Require adds a problem with a key unless the condition is true.
func (p *Problems) Require(condition bool, key, want string, found any) {
	if !condition {
		p.problems = append(p.problems, fmt.Errorf("%s: %s: expected %s, found %v", p.path, key, want, found))
	}
}

// Err returns all problems joined, one per line, or nil if there are none.
func (p *Problems) Err() error { return errors.Join(p.problems...) }

// Decode decodes a file's text into a value. Invalid TOML and a value of the wrong type are errors. Unknown keys are
// added to the returned problems, with a reference to the page that documents all keys.
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
