package endpointlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

var (
	errNoVersion    = errors.New("endpoint list: expected a version (seq), got none")
	errSeveralLists = errors.New("endpoint list: expected a single line, got more data after it")
)

// Reader reads lines one after another. It holds one value of a line in memory at a time.
type Reader struct {
	limits   Limits
	in       *boundedInput
	values   *json.Decoder
	raw      json.RawMessage
	interned map[string]string // zones and states, of which there are few distinct ones
}

// NewReader returns a reader for a stream, such as the body of a watch.
func NewReader(in io.Reader, limits Limits) *Reader {
	bounded := &boundedInput{in: in, limits: limits}
	return &Reader{limits: limits, in: bounded, values: json.NewDecoder(bounded), interned: map[string]string{}}
}

// boundedInput returns an error if a line or a value exceeds its limit. It drops white space between lines, since a
// watch may be open for weeks and receives an empty line every 2 s.
type boundedInput struct {
	in                    io.Reader
	limits                Limits
	lineBytes, valueBytes int64 // read since the end of the last line or value
	betweenLines          bool
	emptyLine             func() // called for an empty line; may be nil
	lineStarted           func() // called for the first byte of another line; may be nil
}

func (b *boundedInput) Read(p []byte) (int, error) {
	switch {
	case b.valueBytes > int64(b.limits.ValueBytes):
		return 0, &TooLongError{"bytes of one value", int64(b.limits.ValueBytes)}
	case b.lineBytes > b.limits.LineBytes:
		return 0, &TooLongError{"bytes of a line", b.limits.LineBytes}
	}
	n, err := b.in.Read(p)
	for ; b.betweenLines && n > 0; n, err = b.in.Read(p) {
		if rest := bytes.TrimLeft(p[:n], " \t\r\n"); len(rest) > 0 {
			n = copy(p, rest)
			b.betweenLines = false
			notify(b.lineStarted)
			break
		}
		if bytes.IndexByte(p[:n], '\n') >= 0 {
			notify(b.emptyLine)
		}
		if err != nil {
			return 0, err
		}
	}
	b.lineBytes += int64(n)
	b.valueBytes += int64(n)
	return n, err
}

func notify(handler func()) {
	if handler != nil {
		handler()
	}
}

// Notify sets functions that Next calls while it reads: emptyLine when empty lines have arrived, lineStarted
// when another line begins to arrive. A line that arrives together with the one before it is not reported.
func (r *Reader) Notify(emptyLine, lineStarted func()) {
	r.in.emptyLine, r.in.lineStarted = emptyLine, lineStarted
}

// Next reads a line. It calls begin before the first entry and accept with each entry; an entry for which accept
// returns an error is skipped. If begin is called again (a repeated field), the caller must discard the entries before
// it. If Next returns an error, the caller must discard all entries, and the reader can't be used any more. Next
// returns io.EOF at the end of the stream between two lines.
func (r *Reader) Next(begin func(), accept func(Entry) error) (update Update, err error) {
	r.in.lineBytes, r.in.valueBytes = 0, 0
	r.in.betweenLines = r.bufferIsBlank()
	if err = r.expectDelim('{'); err != nil {
		return update, err
	}
	r.in.betweenLines = false
	var version *int64
	for r.values.More() {
		if err := r.readField(&update, &version, begin, accept); err != nil {
			return update, unexpectedEOF(err)
		}
	}
	if err = r.expectDelim('}'); err != nil {
		return update, unexpectedEOF(err)
	}
	if version == nil {
		return update, errNoVersion
	}
	update.Version = *version
	// Otherwise endpoints whose entries were invalid would be removed.
	update.Complete = update.Complete && update.Skipped == 0
	return update, nil
}

// readField reads one field of a line into update or version, or skips it if it is unknown.
func (r *Reader) readField(update *Update, version **int64, begin func(), accept func(Entry) error) (err error) {
	token, err := r.values.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	switch {
	case strings.EqualFold(name, "seq"):
		err = r.values.Decode(version)
	case strings.EqualFold(name, "whole"):
		err = r.values.Decode(&update.Complete)
	case strings.EqualFold(name, "hosts"):
		begin()
		update.Skipped, update.FirstErr = 0, nil
		err = r.readEntries(update, accept)
	default:
		err = r.values.Decode(&r.raw)
	}
	r.in.valueBytes = 0
	return err
}

// bufferIsBlank reports whether the decoder has buffered nothing of the next line but white space.
func (r *Reader) bufferIsBlank() bool {
	buffered := r.values.Buffered().(io.ByteReader)
	for {
		c, err := buffered.ReadByte()
		if err != nil {
			return true
		}
		if !isSpace(c) {
			return false
		}
	}
}

// unexpectedEOF turns io.EOF, which stands for the end between two lines, into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) expectDelim(want json.Delim) error {
	token, err := r.values.Token()
	if err == nil && token != want {
		err = fmt.Errorf("endpoint list: expected %v, got %.40q", want, fmt.Sprint(token))
	}
	return err
}

func (r *Reader) readEntries(update *Update, accept func(Entry) error) error {
	token, err := r.values.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("endpoint list: hosts: expected an array, got %.40q", fmt.Sprint(token))
	}
	for n := 0; r.values.More(); n++ {
		r.in.valueBytes = 0
		if n >= r.limits.Endpoints {
			return &TooLongError{"entries", int64(r.limits.Endpoints)}
		}
		if err := r.values.Decode(&r.raw); err != nil {
			return err
		}
		if err := r.handleEntry(accept); err != nil {
			update.Skipped++
			if update.FirstErr == nil {
				update.FirstErr = err
			}
		}
	}
	return r.expectDelim(']')
}

// handleEntry parses the entry in raw and passes it to accept.
func (r *Reader) handleEntry(accept func(Entry) error) error {
	entry, ok := r.parseFlat(r.raw)
	if !ok {
		entry = Entry{}
		if err := json.Unmarshal(r.raw, &entry); err != nil {
			return err
		}
	}
	return accept(entry)
}

// Parse parses a text that consists of a single line. See Reader.Next for the callbacks.
func Parse(text []byte, limits Limits, begin func(), accept func(Entry) error) (Update, error) {
	r := NewReader(bytes.NewReader(text), limits)
	update, err := r.Next(begin, accept)
	if err != nil {
		return update, err
	}
	if _, err = r.values.Token(); !errors.Is(err, io.EOF) {
		return update, errSeveralLists
	}
	return update, nil
}
