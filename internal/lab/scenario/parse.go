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
type FileError struct {
	Path    string
	Line    int // 0 if it concerns no single line
	Message string
}

func (m *FileError) Error() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.Path, m.Message)
	}
	return fmt.Sprintf("%s:%d: %s", m.Path, m.Line, m.Message)
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
		return nil, decodeError(path, err)
	}
	s.lines = keyLines(text)
	s.fillDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// decodeError gives a decoder's error its line.
func decodeError(path string, err error) *FileError {
	var unknown *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		line, _ := unknown.Errors[0].Position()
		key := strings.Join(unknown.Errors[0].Key(), ".")
		return &FileError{path, line, "unknown key " + key + "; expected one of the keys that docs/operate/lab.md lists"}
	case errors.As(err, &invalid):
		line, _ := invalid.Position()
		return &FileError{path, line, strings.TrimPrefix(invalid.Error(), "toml: ")}
	}
	return &FileError{path, 0, strings.TrimPrefix(err.Error(), "toml: ")}
}

// keyLines tells in which line each key is, as a path with an index for each repeated table.
func keyLines(text []byte) map[string]int {
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
