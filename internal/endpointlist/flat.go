package endpointlist

import (
	"bytes"
	"strconv"
)

// This file has a fast parser for the usual form of an entry: a flat object with strings and numbers of the right type,
// without escapes in the strings. Entries of any other form are decoded by encoding/json.

const (
	maxInterned      = 256 // number of strings, and length of each in bytes
	firstNonASCII    = 0x80
	lowerCaseBit     = 0x20 // of an ASCII letter
	exponentOfNumber = 'e'
)

// scanner reads the text of one valid JSON value from a position on.
type scanner struct {
	text []byte
	pos  int
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\t' || c == '\r' }

// peek skips white space and returns the next byte, or 0 at the end.
func (s *scanner) peek() byte {
	for s.pos < len(s.text) && isSpace(s.text[s.pos]) {
		s.pos++
	}
	if s.pos == len(s.text) {
		return 0
	}
	return s.text[s.pos]
}

// string returns the string at the position, or false if it has escapes or non-ASCII characters.
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

// number returns the text of the number at the position.
func (s *scanner) number() []byte {
	start := s.pos
	for s.pos < len(s.text) && isNumberByte(s.text[s.pos]) {
		s.pos++
	}
	return s.text[start:s.pos]
}

func isNumberByte(c byte) bool {
	return c >= '0' && c <= '9' || c == '-' || c == '+' || c == '.' || c|lowerCaseBit == exponentOfNumber
}

// parseFlat parses an entry. It returns false if the entry is not of the usual form.
func (r *Reader) parseFlat(text []byte) (entry Entry, ok bool) {
	s := scanner{text: text}
	if s.peek() != '{' {
		return entry, false
	}
	for {
		s.pos++ // skip the brace or comma
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

// parseField parses one field, name and value, into entry. It returns false if the field is not of the usual form.
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

// isUnknownField reports whether a name is not that of a field. Like encoding/json it ignores case.
func isUnknownField(name []byte) bool {
	for _, known := range fieldNames {
		if len(known) == len(name) && bytes.EqualFold(name, []byte(known)) {
			return false
		}
	}
	return true
}

// intern returns the same string for all equal values. The cache is bounded, in case all values of a list differ.
func (r *Reader) intern(value []byte) string {
	if shared, ok := r.interned[string(value)]; ok {
		return shared
	}
	text := string(value)
	if len(r.interned) < maxInterned && len(text) <= maxInterned {
		r.interned[text] = text
	}
	return text
}
