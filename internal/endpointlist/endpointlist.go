// Package endpointlist reads discovery's lists as they come, however long they are and however their lines are broken.
package endpointlist

// This file owns the form of a list and the bounds of what is held of one. It must never hold a whole line, nor let a list count that
// did not come to its end: entries are handed on as they come, and count only once Next has returned without an error. No I/O but the
// reader that it is given, no clock, no goroutine.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Entry is one server as discovery words it. Born is in milliseconds of Unix time.
type Entry struct {
	Name      string  `json:"host"`
	Address   string  `json:"dial"`
	Zone      string  `json:"site"`
	State     string  `json:"health"`
	Pod       int     `json:"block"`
	Weight    float64 `json:"share"`
	StartedMs float64 `json:"born_ms"`
}

// Update is a list or what changed in it, without its entries.
type Update struct {
	Version  int64
	Complete bool  // names all there are, and could be read whole
	Skipped  int   // entries that could not be read or made no sense
	FirstErr error // why the first of them did not
}

// Limits bound what one line may be.
type Limits struct {
	ValueBytes int   // bytes of one entry or of one field that nobody knows: so much is held at a time
	LineBytes  int64 // bytes of a line, with all that breaks and indents it
	Endpoints  int   // entries
}

const (
	defaultMemory = 1 << 30
	valuePart     = 64 // of what a line may be
	leastValue    = 64 << 10
	linePart      = 4 // of the memory: the names of servers are kept, the rest of a line is not
	// HostCost is what a server costs a node in bytes, over all its parts and with what its collector has not taken away yet. Live are 910
	// (109 MB with 120,000, by the heap's profile of TestAListOf120000 in internal/node, with four classes).
	EndpointBytes = 1500
	hostsPart     = 2 // of the memory: the collector begins to work without a rest where what is live comes near 0.6 of it
)

// LimitsFor tells the bounds that go with the memory that a node may use, in bytes; 0: a machine of its own.
func LimitsFor(memory int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	line := max(memory/linePart, leastValue)
	return Limits{ValueBytes: int(max(line/valuePart, leastValue)), LineBytes: line, Endpoints: int(memory / hostsPart / EndpointBytes)}
}

// TooLongError is a list that can't be held.
type TooLongError struct {
	What  string // entries, bytes of a line, or bytes of one value
	Limit int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("a list longer than can be held: expected at most %d %s, got more", e.Limit, e.What)
}

// Reader reads one line after another.
type Reader struct {
	limits Limits
	in     *bounded
	values *json.Decoder
	raw    json.RawMessage
	words  map[string]string // of sites and states, which are few
}

// New reads from a stream, such as the body of a watch.
func NewReader(in io.Reader, limits Limits) *Reader {
	b := &bounded{in: in, limits: limits}
	return &Reader{limits: limits, in: b, values: json.NewDecoder(b), words: map[string]string{}}
}

// bounded ends a line or a value that grows too long. Between two lines it drops what breaks them: an empty one comes every 2 s on
// a watch that may stand for weeks.
type bounded struct {
	in          io.Reader
	limits      Limits
	line, value int64 // bytes since the last whole one
	between     bool
}

func (b *bounded) Read(p []byte) (int, error) {
	switch {
	case b.value > int64(b.limits.ValueBytes):
		return 0, &TooLongError{"bytes of one value", int64(b.limits.ValueBytes)}
	case b.line > b.limits.LineBytes:
		return 0, &TooLongError{"bytes of a line", b.limits.LineBytes}
	}
	n, err := b.in.Read(p)
	for ; b.between && n > 0; n, err = b.in.Read(p) {
		if rest := bytes.TrimLeft(p[:n], " \t\r\n"); len(rest) > 0 {
			n, b.between = copy(p, rest), false
			break
		} else if err != nil {
			return 0, err
		}
	}
	b.line += int64(n)
	b.value += int64(n)
	return n, err
}

// Next reads a line. It has begin called where entries begin, and take with each; what take finds fault with is passed over. Entries
// of before another begin are nothing, and all are nothing if there is an error. After one nothing more can be read.
func (r *Reader) Next(begin func(), take func(Entry) error) (l Update, err error) {
	r.in.line, r.in.value, r.in.between = 0, 0, r.drained()
	var version *int64
	if err = r.delim('{'); err != nil {
		return l, err
	}
	r.in.between = false
	for r.values.More() {
		token, err := r.values.Token()
		if err != nil {
			return l, unexpected(err)
		}
		name, _ := token.(string)
		switch {
		case strings.EqualFold(name, "seq"):
			err = r.values.Decode(&version)
		case strings.EqualFold(name, "whole"):
			err = r.values.Decode(&l.Complete)
		case strings.EqualFold(name, "hosts"):
			begin()
			l.Skipped, l.FirstErr = 0, nil
			err = r.hosts(&l, take)
		default:
			err = r.values.Decode(&r.raw)
		}
		if r.in.value = 0; err != nil {
			return l, unexpected(err)
		}
	}
	if err = r.delim('}'); err != nil {
		return l, unexpected(err)
	}
	if version == nil {
		return l, errors.New("a list without a version")
	}
	// A server is not taken off the list because its entry could not be read.
	l.Version, l.Complete = *version, l.Complete && l.Skipped == 0
	return l, nil
}

// drained tells whether nothing of the next line has come with the one before.
func (r *Reader) drained() bool {
	for in := r.values.Buffered().(io.ByteReader); ; {
		if c, err := in.ReadByte(); err != nil {
			return true
		} else if c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			return false
		}
	}
}

// unexpected tells an end within a line from one between two.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) delim(want json.Delim) error {
	token, err := r.values.Token()
	if err == nil && token != want {
		err = fmt.Errorf("a list: expected %v, got %.40q", want, fmt.Sprint(token))
	}
	return err
}

func (r *Reader) hosts(l *Update, take func(Entry) error) error {
	token, err := r.values.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("hosts: expected a list, got %.40q", fmt.Sprint(token))
	}
	for n := 0; r.values.More(); n++ {
		if r.in.value = 0; n >= r.limits.Endpoints {
			return &TooLongError{"entries", int64(r.limits.Endpoints)}
		}
		if err := r.values.Decode(&r.raw); err != nil {
			return err
		}
		e, plain := r.plain(r.raw)
		if !plain {
			e = Entry{}
			err = json.Unmarshal(r.raw, &e)
		}
		if err == nil {
			err = take(e)
		}
		if err != nil {
			if l.Skipped++; l.FirstErr == nil {
				l.FirstErr = err
			}
			err = nil
		}
	}
	return r.delim(']')
}

// plain reads an entry in the form that discovery mostly has: flat, no escapes, each field at most of its own kind. Whatever is
// otherwise is left to the slow way. The text is known to be one whole JSON value.
func (r *Reader) plain(text []byte) (e Entry, ok bool) {
	at := 0
	skip := func() byte {
		for at < len(text) && (text[at] == ' ' || text[at] == '\n' || text[at] == '\t' || text[at] == '\r') {
			at++
		}
		if at == len(text) {
			return 0
		}
		return text[at]
	}
	word := func() ([]byte, bool) { // stands at a quote
		for end := at + 1; end < len(text); end++ {
			switch c := text[end]; {
			case c == '"':
				word := text[at+1 : end]
				at = end + 1
				return word, true
			case c == '\\' || c >= 0x80:
				return nil, false
			}
		}
		return nil, false
	}
	if skip() != '{' {
		return e, false
	}
	for at++; ; at++ {
		if skip() != '"' {
			return e, skip() == '}'
		}
		name, ok := word()
		if !ok || skip() != ':' {
			return e, false
		}
		at++
		switch c := skip(); {
		case c == '"':
			value, ok := word()
			if !ok || !r.set(&e, name, value) {
				return e, false
			}
		case c == '-' || c >= '0' && c <= '9':
			from := at
			for at < len(text) && (text[at] == '-' || text[at] == '+' || text[at] == '.' || text[at]|0x20 == 'e' || text[at] >= '0' && text[at] <= '9') {
				at++
			}
			if !setNumber(&e, name, text[from:at]) {
				return e, false
			}
		default:
			return e, false
		}
		if c := skip(); c != ',' {
			return e, c == '}'
		}
	}
}

var fields = []string{"host", "dial", "site", "health", "block", "share", "born_ms"}

// stranger tells a field that nobody knows, in whatever case it is written.
func stranger(name []byte) bool {
	for _, f := range fields {
		if len(f) == len(name) && bytes.EqualFold(name, []byte(f)) {
			return false
		}
	}
	return true
}

func (r *Reader) set(e *Entry, name, value []byte) bool {
	switch string(name) {
	case "host":
		e.Name = string(value)
	case "dial":
		e.Address = string(value)
	case "site":
		e.Zone = r.word(value)
	case "health":
		e.State = r.word(value)
	default:
		return stranger(name)
	}
	return true
}

// word has one string for all that are the same. Guards against a list of words that are all different being kept.
func (r *Reader) word(value []byte) string {
	if known, ok := r.words[string(value)]; ok {
		return known
	}
	w := string(value)
	if len(r.words) < 256 && len(w) <= 256 {
		r.words[w] = w
	}
	return w
}

func setNumber(e *Entry, name, value []byte) bool {
	var err error
	switch string(name) {
	case "block":
		e.Pod, err = strconv.Atoi(string(value))
	case "share":
		e.Weight, err = strconv.ParseFloat(string(value), 64)
	case "born_ms":
		e.StartedMs, err = strconv.ParseFloat(string(value), 64)
	default:
		return stranger(name)
	}
	return err == nil
}

// Parse reads a text that is one line and nothing else.
func Parse(text []byte, limits Limits, begin func(), take func(Entry) error) (Update, error) {
	r := NewReader(bytes.NewReader(text), limits)
	l, err := r.Next(begin, take)
	if err == nil {
		if _, err = r.values.Token(); err == io.EOF {
			return l, nil
		}
		err = errors.New("more than one list")
	}
	return l, err
}
