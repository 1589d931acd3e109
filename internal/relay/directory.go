package relay

// This file owns an origin's directory of configuration: each *.jsonl file holds records, one a line. A file counts whole or not at
// all, and what can't be read takes nothing away. It must never write there.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fawnglade/internal/distribution"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.uber.org/zap"
)

const (
	recordsSuffix = ".jsonl"
	maxLineBytes  = 4 * distribution.MaxBodyBytes // bytes of a line: names and JSON's own marks come to the body
	maxFiles      = 100_000
	// kindConfiguration is what the origin waits for before it claims to be whole; no record's key begins with it.
	kindConfiguration = "configuration"
)

var errDuplicateRecord = errors.New("a record that no other file has")

type recordName struct{ scope, key string }

// file is one file as it counts now.
type recordFile struct {
	stamp     fileStamp
	records   map[recordName]distribution.Record
	lastError string // what was wrong with it when it was last read
}

// stamp tells whether a file is another than it was.
type fileStamp struct {
	size, modifiedNs int64
	inode            uint64
}

// directory is what an origin has of its files.
type configDirectory struct {
	path     string
	files    map[string]*recordFile
	owner    map[recordName]string // the file of each record
	log      *zap.Logger
	warnings warnLimiter

	filesRead, invalid counter
}

func newConfigDirectory(path string, log *zap.Logger) *configDirectory {
	return &configDirectory{path: path, files: map[string]*recordFile{}, owner: map[recordName]string{}, log: log}
}

// change is what an origin has to do.
type change struct {
	record distribution.Record // Gone: it is to be removed
}

// look reads what has changed, and tells what the origin has to do; whole: the directory could be read, and holds files.
func (d *configDirectory) scan() (changes []change, whole bool) {
	found, err := os.ReadDir(d.path)
	if err != nil {
		d.warnings.warn(d.log, "directory", "the directory of configuration can't be read: what was read stays", zap.Error(err))
		return nil, false
	}
	var names []string
	for _, f := range found {
		if strings.HasSuffix(f.Name(), recordsSuffix) && !strings.HasPrefix(f.Name(), ".") {
			names = append(names, f.Name())
		}
	}
	if len(names) == 0 && len(d.files) > 0 {
		// A mount that went looks like this; who wants no configuration leaves an empty file.
		d.warnings.warn(d.log, "empty", "the directory of configuration has no files any more: what was read stays")
		return nil, false
	}
	if len(names) > maxFiles {
		d.warnings.warn(d.log, "files", "the directory of configuration has too many files: what was read stays", zap.Int("files", len(names)), zap.Int("at most", maxFiles))
		return nil, false
	}
	for old := range d.files {
		if _, there := slices.BinarySearch(names, old); !there {
			changes = d.removeRecords(changes, old, nil)
		}
	}
	for _, n := range names {
		changes = d.scanFile(changes, n)
	}
	return changes, true
}

// drop removes a file's records but those that it still has.
func (d *configDirectory) removeRecords(changes []change, from string, now map[recordName]distribution.Record) []change {
	f := d.files[from]
	if f == nil {
		return changes
	}
	for n := range f.records {
		if _, stays := now[n]; !stays {
			changes = append(changes, change{distribution.Record{Scope: n.scope, Key: n.key, Deleted: true}})
			delete(d.owner, n)
		}
	}
	if now == nil {
		delete(d.files, from)
	}
	return changes
}

func (d *configDirectory) scanFile(changes []change, at string) []change {
	path := filepath.Join(d.path, at)
	info, err := os.Stat(path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) { // else it went since; the next look sees that
			d.warnings.warn(d.log, "stat", "a file of configuration can't be read: what was read of it stays", zap.Error(err))
		}
		return changes
	}
	is := fileStampOf(info)
	had := d.files[at]
	if had != nil && had.stamp == is {
		return changes
	}
	records, err := readRecords(path, func(n recordName) error {
		if other := d.owner[n]; other != "" && other != at {
			return fmt.Errorf("%w, found scope %q, key %q, which is in %s", errDuplicateRecord, n.scope, n.key, other)
		}
		return nil
	})
	d.filesRead.Add(1)
	if err != nil {
		d.invalid.Add(1)
		if had == nil {
			had = &recordFile{}
			d.files[at] = had
		}
		if had.lastError != err.Error() {
			d.log.Warn("file of configuration passed over: what was read of it before stays", zap.Error(err))
		}
		had.stamp, had.lastError = is, err.Error()
		if errors.Is(err, errDuplicateRecord) {
			had.stamp = fileStamp{} // the other file may let go of it
		}
		return changes
	}
	changes = d.removeRecords(changes, at, records)
	first := len(changes)
	for n, r := range records {
		d.owner[n] = at
		if had != nil {
			if old, held := had.records[n]; held && bytes.Equal(old.Body, r.Body) {
				continue
			}
		}
		changes = append(changes, change{r})
	}
	slices.SortFunc(changes[first:], func(a, b change) int { // the order of versions does not hang on a map's
		return strings.Compare(a.record.Scope+"\x00"+a.record.Key, b.record.Scope+"\x00"+b.record.Key)
	})
	d.files[at] = &recordFile{stamp: is, records: records}
	return changes
}

// readRecords reads a file: one record a line, {"scope": ..., "key": ..., "body": any JSON}.
func readRecords(path string, may func(recordName) error) (map[recordName]distribution.Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	records := map[recordName]distribution.Record{}
	in := bufio.NewReaderSize(f, maxLineBytes)
	for line := 1; ; line++ {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, fmt.Errorf("%s: line %d: expected at most %d bytes, found more", path, line, maxLineBytes)
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
		if rest := bytes.TrimSpace(text); len(rest) > 0 {
			r, wrong := recordOf(rest)
			n := recordName{r.Scope, r.Key}
			if _, twice := records[n]; wrong == nil && twice {
				wrong = fmt.Errorf("a record once, found scope %q, key %q again", r.Scope, r.Key)
			}
			if wrong == nil {
				wrong = may(n)
			}
			if wrong != nil {
				return nil, fmt.Errorf("%s: line %d: expected %w", path, line, wrong)
			}
			records[n] = r
		}
		if err == io.EOF {
			return records, nil
		}
	}
}

func recordOf(text []byte) (r distribution.Record, err error) {
	var in struct {
		Scope, Key string
		Body       json.RawMessage
	}
	decode := json.NewDecoder(bytes.NewReader(text))
	decode.DisallowUnknownFields()
	if err := decode.Decode(&in); err != nil {
		return r, fmt.Errorf("an object with scope, key and body, found %w", err)
	}
	if _, err := decode.Token(); err != io.EOF {
		return r, errors.New("one object a line, found more")
	}
	if in.Scope == "" || len(in.Scope) > distribution.MaxNameBytes || strings.Contains(in.Scope, "*") {
		return r, fmt.Errorf("scope: 1 to %d bytes without a star, found %.80q", distribution.MaxNameBytes, in.Scope)
	}
	if in.Scope == ScopeOrigin {
		return r, fmt.Errorf("scope: another than %q, which is the origin's own", ScopeOrigin)
	}
	kind, rest, _ := strings.Cut(in.Key, "/")
	if kind == "" || rest == "" || len(in.Key) > distribution.MaxNameBytes || kind == KindEndpoint || kind == kindConfiguration {
		return r, fmt.Errorf("key: a kind, a slash and a name, such as route/checkout, up to %d bytes, and another kind than endpoint and configuration, found %.80q",
			distribution.MaxNameBytes, in.Key)
	}
	var body bytes.Buffer
	if len(in.Body) == 0 {
		return r, errors.New("body: any JSON, found none")
	}
	if err := json.Compact(&body, in.Body); err != nil {
		return r, err
	}
	if body.Len() > distribution.MaxBodyBytes {
		return r, fmt.Errorf("body: at most %d bytes, found %d", distribution.MaxBodyBytes, body.Len())
	}
	return distribution.Record{Scope: in.Scope, Key: in.Key, Class: distribution.ClassConfiguration, Body: body.Bytes()}, nil
}
