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
	errNoVersion    = errors.New("a list without a version")
	errSeveralLists = errors.New("more than one list")
)

// Reader reads one line after another. It holds one value of a line at a time.
type Reader struct {
	limits   Limits
	in       *boundedInput
	values   *json.Decoder
	raw      json.RawMessage
	interned map[string]string // zones and states, of which there are few
}

// NewReader reads from a stream, such as the body of a watch.
func NewReader(in io.Reader, limits Limits) *Reader {
	bounded := &boundedInput{in: in, limits: limits}
	return &Reader{limits: limits, in: bounded, values: json.NewDecoder(bounded), interned: map[string]string{}}
}

// boundedInput fails when a line or a value grows too long. Between two lines it drops white space: an empty line comes
// every 2 s on a watch that may be open for weeks.
type boundedInput struct {
	in                    io.Reader
	limits                Limits
	lineBytes, valueBytes int64 // since the last line or value ended
	betweenLines          bool
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
			break
		}
		if err != nil {
			return 0, err
		}
	}
	b.lineBytes += int64(n)
	b.valueBytes += int64(n)
	return n, err
}

// Next reads a line. It calls begin where entries begin, and take with each entry; an entry that take returns an error
// for is skipped. If begin is called again, the entries before it do not count; if Next fails, none do, and nothing
// more can be read. It fails with io.EOF at the end of the stream, if that is between two lines.
func (r *Reader) Next(begin func(), take func(Entry) error) (update Update, err error) {
	r.in.lineBytes, r.in.valueBytes = 0, 0
	r.in.betweenLines = r.bufferIsBlank()
	if err = r.expectDelim('{'); err != nil {
		return update, err
	}
	r.in.betweenLines = false
	var version *int64
	for r.values.More() {
		if err := r.readField(&update, &version, begin, take); err != nil {
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
	// An endpoint must not be removed because its entry could not be read.
	update.Complete = update.Complete && update.Skipped == 0
	return update, nil
}

// readField reads one field of a line.
func (r *Reader) readField(update *Update, version **int64, begin func(), take func(Entry) error) (err error) {
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
		err = r.readEntries(update, take)
	default:
		err = r.values.Decode(&r.raw)
	}
	r.in.valueBytes = 0
	return err
}

// bufferIsBlank reports whether nothing of the next line was read together with the last one.
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

// unexpectedEOF distinguishes an end within a line from one between two.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) expectDelim(want json.Delim) error {
	token, err := r.values.Token()
	if err == nil && token != want {
		err = fmt.Errorf("a list: expected %v, got %.40q", want, fmt.Sprint(token))
	}
	return err
}

func (r *Reader) readEntries(update *Update, take func(Entry) error) error {
	token, err := r.values.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("hosts: expected a list, got %.40q", fmt.Sprint(token))
	}
	for n := 0; r.values.More(); n++ {
		r.in.valueBytes = 0
		if n >= r.limits.Endpoints {
			return &TooLongError{"entries", int64(r.limits.Endpoints)}
		}
		if err := r.values.Decode(&r.raw); err != nil {
			return err
		}
		if err := r.handleEntry(take); err != nil {
			update.Skipped++
			if update.FirstErr == nil {
				update.FirstErr = err
			}
		}
	}
	return r.expectDelim(']')
}

// handleEntry parses the entry in raw and passes it on.
func (r *Reader) handleEntry(take func(Entry) error) error {
	entry, ok := r.parseFlat(r.raw)
	if !ok {
		entry = Entry{}
		if err := json.Unmarshal(r.raw, &entry); err != nil {
			return err
		}
	}
	return take(entry)
}

// Parse reads a text that has one line and nothing else.
func Parse(text []byte, limits Limits, begin func(), take func(Entry) error) (Update, error) {
	r := NewReader(bytes.NewReader(text), limits)
	update, err := r.Next(begin, take)
	if err != nil {
		return update, err
	}
	if _, err = r.values.Token(); !errors.Is(err, io.EOF) {
		return update, errSeveralLists
	}
	return update, nil
}
