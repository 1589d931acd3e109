package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"

	"fawnglade/internal/distribution"

	"go.uber.org/zap"
)

// recordName is the name of a record: its key within its scope.
type recordName struct{ scope, key string }

// fileStamp tells whether a file has changed.
type fileStamp struct {
	size       int64
	modifiedNs int64
	inode      uint64
}

func fileStampOf(info fs.FileInfo) fileStamp {
	stamp := fileStamp{size: info.Size(), modifiedNs: info.ModTime().UnixNano()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		stamp.inode = sys.Ino
	}
	return stamp
}

// recordFile is a file as it was last read.
type recordFile struct {
	stamp     fileStamp
	records   map[recordName]distribution.Record // of the last time that it could be read
	lastError string                             // "": it could be read
}

// configDirectory reads an origin's directory of configuration: *.jsonl files of records, one a line. A file counts
// as a whole or not at all, and what can't be read removes nothing. It never writes.
type configDirectory struct {
	path         string
	files        map[string]*recordFile
	fileByRecord map[recordName]string // the file of each record
	log          *zap.Logger
	warnings     warnLimiter

	filesRead, filesSkipped atomic.Int64
}

func newConfigDirectory(path string, log *zap.Logger) *configDirectory {
	return &configDirectory{path: path, files: map[string]*recordFile{}, fileByRecord: map[recordName]string{}, log: log}
}

// scan reads the files that have changed, and returns the records that have; Deleted ones are to be removed.
// complete: the directory could be read, and holds files or never did.
func (d *configDirectory) scan() (changes []distribution.Record, complete bool) {
	names, ok := d.listFiles()
	if !ok {
		return nil, false
	}
	for old := range d.files {
		if _, exists := slices.BinarySearch(names, old); !exists {
			changes = append(changes, d.removeRecords(old, nil)...)
			delete(d.files, old)
		}
	}
	for _, name := range names {
		changes = append(changes, d.scanFile(name)...)
	}
	return changes, true
}

// list returns the names of the files of records, sorted; false: what was read of them stays.
func (d *configDirectory) listFiles() (names []string, ok bool) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		d.warnings.warn(d.log, "directory", "the directory of configuration can't be read: what was read stays",
			zap.Error(err))
		return nil, false
	}
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), recordsSuffix) && !strings.HasPrefix(entry.Name(), ".") {
			names = append(names, entry.Name())
		}
	}
	if len(names) == 0 && len(d.files) > 0 {
		// A mount that went looks like this; who wants no configuration leaves an empty file.
		d.warnings.warn(d.log, "empty", "the directory of configuration has no files any more: what was read stays")
		return nil, false
	}
	if len(names) > maxFiles {
		d.warnings.warn(d.log, "files", "the directory of configuration has too many files: what was read stays",
			zap.Int("files", len(names)), zap.Int("at most", maxFiles))
		return nil, false
	}
	return names, true
}

// removeRecords returns the removal of a file's records but those that it still has.
func (d *configDirectory) removeRecords(name string, now map[recordName]distribution.Record) []distribution.Record {
	file := d.files[name]
	if file == nil {
		return nil
	}
	var removed []distribution.Record
	for record := range file.records {
		if _, stays := now[record]; !stays {
			removed = append(removed, distribution.Record{Scope: record.scope, Key: record.key, Deleted: true})
			delete(d.fileByRecord, record)
		}
	}
	return removed
}

// scanFile reads a file if it has changed, and returns the changes of its records.
func (d *configDirectory) scanFile(name string) []distribution.Record {
	path := filepath.Join(d.path, name)
	info, err := os.Stat(path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) { // else it went since; the next scan sees that
			d.warnings.warn(d.log, "stat", "a file of configuration can't be read: what was read of it stays",
				zap.Error(err))
		}
		return nil
	}
	stamp := fileStampOf(info)
	previous := d.files[name]
	if previous != nil && previous.stamp == stamp {
		return nil
	}
	records, err := readRecords(path, func(record recordName) error {
		if other := d.fileByRecord[record]; other != "" && other != name {
			return fmt.Errorf("%w, found scope %q, key %q, which is in %s",
				errDuplicateRecord, record.scope, record.key, other)
		}
		return nil
	})
	d.filesRead.Add(1)
	if err != nil {
		d.skipFile(name, stamp, err)
		return nil
	}
	removed := d.removeRecords(name, records)
	changed := d.changedRecords(name, records)
	d.files[name] = &recordFile{stamp: stamp, records: records}
	return append(removed, changed...)
}

// skipFile notes a file that could not be read, and warns once of each error.
func (d *configDirectory) skipFile(name string, stamp fileStamp, err error) {
	d.filesSkipped.Add(1)
	file := d.files[name]
	if file == nil {
		file = &recordFile{}
		d.files[name] = file
	}
	if file.lastError != err.Error() {
		d.log.Warn("configuration file skipped: what was read of it before stays", zap.Error(err))
	}
	file.lastError = err.Error()
	file.stamp = stamp
	if errors.Is(err, errDuplicateRecord) {
		file.stamp = fileStamp{} // read it once more: the other file may have changed
	}
}

// changedRecords returns the records of a file that are new or have changed, sorted, so that the order of versions
// doesn't depend on a map's.
func (d *configDirectory) changedRecords(
	file string, records map[recordName]distribution.Record,
) []distribution.Record {
	var previous map[recordName]distribution.Record
	if f := d.files[file]; f != nil {
		previous = f.records
	}
	var changed []distribution.Record
	for name, record := range records {
		d.fileByRecord[name] = file
		if old, held := previous[name]; held && bytes.Equal(old.Body, record.Body) {
			continue
		}
		changed = append(changed, record)
	}
	slices.SortFunc(changed, func(a, b distribution.Record) int {
		return strings.Compare(a.Scope+"\x00"+a.Key, b.Scope+"\x00"+b.Key)
	})
	return changed
}
