package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"fawnglade/internal/distribution"
)

const (
	recordsSuffix = ".jsonl"
	maxLineBytes  = 4 * distribution.MaxBodyBytes // of a record: names and JSON's own marks come to the body
	maxFiles      = 100_000
	// kindConfiguration is the kind that an origin awaits before it claims to be complete; no record's key begins
	// with it.
	kindConfiguration = "configuration"
)

var errDuplicateRecord = errors.New("a record that no other file has")

// readRecords reads a file with one record a line: {"scope": ..., "key": ..., "body": any JSON}. Empty lines are
// skipped. check may refuse a record by its name. An error names the file and the line.
func readRecords(path string, check func(recordName) error) (map[recordName]distribution.Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	records := map[recordName]distribution.Record{}
	reader := bufio.NewReaderSize(f, maxLineBytes)
	for line := 1; ; line++ {
		text, readErr := reader.ReadSlice('\n')
		if errors.Is(readErr, bufio.ErrBufferFull) {
			return nil, fmt.Errorf("%s: line %d: expected at most %d bytes, found more", path, line, maxLineBytes)
		}
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return nil, readErr
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			if err := addRecord(records, text, check); err != nil {
				return nil, fmt.Errorf("%s: line %d: expected %w", path, line, err)
			}
		}
		if readErr != nil {
			return records, nil
		}
	}
}

func addRecord(records map[recordName]distribution.Record, text []byte, check func(recordName) error) error {
	record, err := parseRecord(text)
	if err != nil {
		return err
	}
	name := recordName{record.Scope, record.Key}
	if _, twice := records[name]; twice {
		return fmt.Errorf("a record once, found scope %q, key %q again", record.Scope, record.Key)
	}
	if err := check(name); err != nil {
		return err
	}
	records[name] = record
	return nil
}

// recordLine is a line of a file of records.
type recordLine struct {
	Scope string          `json:"scope"`
	Key   string          `json:"key"`
	Body  json.RawMessage `json:"body"`
}

// parseRecord parses a record. An error says what was expected, and what was found.
func parseRecord(text []byte) (distribution.Record, error) {
	var none distribution.Record
	var line recordLine
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&line); err != nil {
		return none, fmt.Errorf("an object with scope, key and body, found %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return none, errors.New("one object a line, found more")
	}
	if err := line.checkName(); err != nil {
		return none, err
	}
	if len(line.Body) == 0 {
		return none, errors.New("body: any JSON, found none")
	}
	var body bytes.Buffer
	if err := json.Compact(&body, line.Body); err != nil {
		return none, err
	}
	if body.Len() > distribution.MaxBodyBytes {
		return none, fmt.Errorf("body: at most %d bytes, found %d", distribution.MaxBodyBytes, body.Len())
	}
	return distribution.Record{
		Scope: line.Scope,
		Key:   line.Key,
		Class: distribution.ClassConfiguration,
		Body:  body.Bytes(),
	}, nil
}

func (l *recordLine) checkName() error {
	if l.Scope == "" || len(l.Scope) > distribution.MaxNameBytes || strings.Contains(l.Scope, wildcard) {
		return fmt.Errorf("scope: 1 to %d bytes without a star, found %.80q", distribution.MaxNameBytes, l.Scope)
	}
	if l.Scope == ScopeOrigin {
		return fmt.Errorf("scope: another than %q, which is the origin's own", ScopeOrigin)
	}
	kind, name, _ := strings.Cut(l.Key, "/")
	reserved := kind == KindEndpoint || kind == kindConfiguration
	if kind == "" || name == "" || len(l.Key) > distribution.MaxNameBytes || reserved {
		return fmt.Errorf("key: a kind, a slash and a name, such as route/checkout, up to %d bytes, "+
			"and another kind than endpoint and configuration, found %.80q", distribution.MaxNameBytes, l.Key)
	}
	return nil
}
