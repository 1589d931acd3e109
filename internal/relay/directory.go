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

// recordName identifies a record by its scope and its key within that scope.
type recordName struct{ scope, key string }

// fileStamp holds the attributes of a file that change when the file is modified or replaced.
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

// recordFile is the state of a file when it was last read.
type recordFile struct {
	stamp     fileStamp
	records   map[recordName]distribution.Record // from the last successful read
	lastError string                             // error of the last read; "" if it succeeded
}

// configDirectory reads the records in an origin's configuration directory from *.jsonl files with one record per line.
// A file is applied completely or not at all, and a file or directory that can't be read removes no records. It never
// writes to the directory.
type configDirectory struct {
	path         string
	files        map[string]*recordFile
	fileByRecord map[recordName]string // name of the file that contains each record
	log          *zap.Logger
	warnings     warnLimiter

	filesRead, filesSkipped atomic.Int64
}

func newConfigDirectory(path string, log *zap.Logger) *configDirectory {
	return &configDirectory{
		path:         path,
		files:        map[string]*recordFile{},
		fileByRecord: map[recordName]string{},
		log:          log,
	}
}

// scan reads the files that have changed and returns the changed records; those that are Deleted must be removed.
// complete reports whether the directory could be read; a directory whose files have all vanished counts as unreadable.
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

// listFiles returns the sorted names of the files with records. If ok is false, the records read before must be kept.
func (d *configDirectory) listFiles() (names []string, ok bool) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		d.warnings.warn(d.log, "directory", "configuration directory can't be read; keeping its previous records",
			zap.Error(err))
		return nil, false
	}
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), recordsSuffix) && !strings.HasPrefix(entry.Name(), ".") {
			names = append(names, entry.Name())
		}
	}
	if len(names) == 0 && len(d.files) > 0 {
		// An unmounted directory looks like this. To remove all configuration, an operator leaves an empty file.
		d.warnings.warn(d.log, "empty", "configuration directory has no record files; keeping its previous records")
		return nil, false
	}
	if len(names) > maxFiles {
		d.warnings.warn(d.log, "files", "configuration directory has too many files; keeping its previous records",
			zap.Int("files", len(names)), zap.Int("at most", maxFiles))
		return nil, false
	}
	return names, true
}

// removeRecords returns the removals of a file's previous records that are not in its current ones.
func (d *configDirectory) removeRecords(name string, current map[recordName]distribution.Record) []distribution.Record {
	file := d.files[name]
	if file == nil {
		return nil
	}
	var removed []distribution.Record
	for record := range file.records {
		if _, stays := current[record]; !stays {
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
		if !errors.Is(err, fs.ErrNotExist) { // a file removed since it was listed is handled by the next scan
			d.warnings.warn(d.log, "stat", "configuration file can't be read; keeping its previous records",
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
			return fmt.Errorf("%w, found scope %q, key %q, which is also in %s",
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

// skipFile records that a file could not be read. It logs a warning when the error of a file changes.
func (d *configDirectory) skipFile(name string, stamp fileStamp, err error) {
	d.filesSkipped.Add(1)
	file := d.files[name]
	if file == nil {
		file = &recordFile{}
		d.files[name] = file
	}
	if file.lastError != err.Error() {
		d.log.Warn("configuration file skipped; keeping its previous records", zap.Error(err))
	}
	file.lastError = err.Error()
	file.stamp = stamp
	if errors.Is(err, errDuplicateRecord) {
		file.stamp = fileStamp{} // read it again in the next scan: the other file may have changed
	}
}

// changedRecords returns the new and changed records of a file, sorted, so that the order of versions doesn't depend on
// the iteration order of a map.
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
