package endpointlist

import (
	"bytes"
	"strconv"
)

// A fast parser for an entry as discovery usually writes it: a flat object without escapes in its strings, each field
// of its own kind. Any other entry is left to encoding/json.

const (
	maxInterned      = 256 // strings, and bytes of one
	firstNonASCII    = 0x80
	lowerCaseBit     = 0x20 // of an ASCII letter
	exponentOfNumber = 'e'
)

// scanner is a position in the text of one valid JSON value.
type scanner struct {
	text []byte
	pos  int
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\t' || c == '\r' }

// peek skips white space and returns the byte after it; 0: the end.
func (s *scanner) peek() byte {
	for s.pos < len(s.text) && isSpace(s.text[s.pos]) {
		s.pos++
	}
	if s.pos == len(s.text) {
		return 0
	}
	return s.text[s.pos]
}

// string returns the string that begins here; false: it has escapes or other characters than ASCII.
func (s *scanner) string() ([]byte, bool) {
	for end := s.pos + 1; end < len(s.text); end++ {
		switch c := s.text[end]; {
		case c == '"':
			value := s.text[s.pos+1 : end]
			s.pos = end + 1
			return value, true
		case c == '\\' || c >= firstNonASCII:
			return nil, false
		}
	}
	return nil, false
}

// number returns the text of the number that begins here.
func (s *scanner) number() []byte {
	from := s.pos
	for s.pos < len(s.text) && isNumberByte(s.text[s.pos]) {
		s.pos++
	}
	return s.text[from:s.pos]
}

func isNumberByte(c byte) bool {
	return c >= '0' && c <= '9' || c == '-' || c == '+' || c == '.' || c|lowerCaseBit == exponentOfNumber
}

// parseFlat parses an entry. If it returns false, the entry is not of the usual form.
func (r *Reader) parseFlat(text []byte) (entry Entry, ok bool) {
	s := scanner{text: text}
	if s.peek() != '{' {
		return entry, false
	}
	for {
		s.pos++ // the brace or comma
		if s.peek() != '"' {
			return entry, s.peek() == '}'
		}
		if !r.parseField(&s, &entry) {
			return entry, false
		}
		if next := s.peek(); next != ',' {
			return entry, next == '}'
		}
	}
}

// parseField parses a name and its value.
func (r *Reader) parseField(s *scanner, entry *Entry) bool {
	name, ok := s.string()
	if !ok || s.peek() != ':' {
		return false
	}
	s.pos++
	c := s.peek()
	switch {
	case c == '"':
		value, ok := s.string()
		return ok && r.setText(entry, name, value)
	case c == '-' || c >= '0' && c <= '9':
		return setNumber(entry, name, s.number())
	}
	return false
}

func (r *Reader) setText(entry *Entry, name, value []byte) bool {
	switch string(name) {
	case "host":
		entry.Name = string(value)
	case "dial":
		entry.Address = string(value)
	case "site":
		entry.Zone = r.intern(value)
	case "health":
		entry.State = r.intern(value)
	default:
		return isUnknownField(name)
	}
	return true
}

func setNumber(entry *Entry, name, value []byte) (ok bool) {
	var err error
	switch string(name) {
	case "block":
		entry.Pod, err = strconv.Atoi(string(value))
	case "share":
		entry.Weight, err = strconv.ParseFloat(string(value), 64)
	case "born_ms":
		entry.StartedMs, err = strconv.ParseFloat(string(value), 64)
	default:
		return isUnknownField(name)
	}
	return err == nil
}

var fieldNames = []string{"host", "dial", "site", "health", "block", "share", "born_ms"}

// isUnknownField reports whether a name is that of no field; encoding/json ignores the case of names.
func isUnknownField(name []byte) bool {
	for _, field := range fieldNames {
		if len(field) == len(name) && bytes.EqualFold(name, []byte(field)) {
			return false
		}
	}
	return true
}

// intern returns one string for all equal values. The bound guards against a list whose values all differ.
func (r *Reader) intern(value []byte) string {
	if known, ok := r.interned[string(value)]; ok {
		return known
	}
	text := string(value)
	if len(r.interned) < maxInterned && len(text) <= maxInterned {
		r.interned[text] = text
	}
	return text
}
