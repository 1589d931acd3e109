package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Mistake is what is wrong in a file.
type Mistake struct {
	Path string
	Line int // 0 if it concerns no single line
	What string
}

func (m *Mistake) Error() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.Path, m.What)
	}
	return fmt.Sprintf("%s:%d: %s", m.Path, m.Line, m.What)
}

// Read reads and checks a file. Its errors are Mistakes, or of the file system.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse decodes and checks a file's text. Its errors are Mistakes.
func Parse(path string, text []byte) (*Scenario, error) {
	s := Default()
	s.Path = path
	in := toml.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(s); err != nil {
		return nil, decodeMistake(path, err)
	}
	s.lines = linesOf(text)
	s.fillDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// decodeMistake gives a decoder's error its line.
func decodeMistake(path string, err error) *Mistake {
	var unknown *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		line, _ := unknown.Errors[0].Position()
		key := strings.Join(unknown.Errors[0].Key(), ".")
		return &Mistake{path, line, "unknown key " + key + "; expected one of the keys that docs/operate/lab.md lists"}
	case errors.As(err, &invalid):
		line, _ := invalid.Position()
		return &Mistake{path, line, strings.TrimPrefix(invalid.Error(), "toml: ")}
	}
	return &Mistake{path, 0, strings.TrimPrefix(err.Error(), "toml: ")}
}

// linesOf tells in which line each key is, as a path with an index for each repeated table.
func linesOf(text []byte) map[string]int {
	lines, seen, prefix := map[string]int{}, map[string]int{}, ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for key := e.Key(); key.Next(); {
			parts = append(parts, string(key.Node().Data))
			line = p.Shape(key.Node().Raw).Start.Line
		}
		path := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = path + "."
			lines[path] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s.%d.", path, seen[path])
			lines[strings.TrimSuffix(prefix, ".")] = line
			seen[path]++
		case unstable.KeyValue:
			lines[prefix+path] = line
		}
	}
	return lines
}
