// Package store implements a small embedded key-value store. It has an append-only log in segments, which is both the
// write-ahead log and the data, an index in memory, group commit, compaction and recovery. A write returns once it is
// durable. After a failed sync the store becomes read-only. Corruption other than the torn write of a crash is reported
// as an error and never repaired silently. Values are opaque bytes.
package store

import (
	"errors"
	"fmt"
	"sync"

	"github.com/google/btree"
)

const indexDegree = 16

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	files   Directory
	options Options
	unlock  func() error // unlocks the directory; nil: read-only

	mu           sync.Mutex
	stateChanged *sync.Cond // signals the end of a flush or a compaction
	index        *btree.BTreeG[entry]
	segments     []*segment // by ID, except that a new compacted one comes first
	active       *segment   // segment to which batches are appended
	nextID       uint64     // ID of the next segment
	seq          uint64     // sequence number of the last batch
	group        *commitGroup
	flushing     bool
	compacting   bool
	liveBytes    int64 // total size of the entries in the index
	writeFailure error // error after which the store is read-only
	closed       bool
}

// entry is the place of a key's value in the log.
type entry struct {
	key    string
	seg    *segment
	offset int64
	length int
	seq    uint64 // sequence number of the batch with the value
}

const entryOverheadBytes = frameHeaderBytes + 8 // of a frame with a single entry

func entryLess(a, b entry) bool { return a.key < b.key }

// logBytes returns the size of the entry in the log, assuming that it has its own frame.
func (e entry) logBytes() int64 { return int64(len(e.key) + e.length + entryOverheadBytes) }

func (e entry) read() ([]byte, error) {
	value := make([]byte, e.length)
	if n, err := e.seg.file.ReadAt(value, e.offset); n < e.length {
		return nil, fmt.Errorf("%s at byte %d: %w", e.seg.name, e.offset, err)
	}
	return value, nil
}

// Get returns the value of a key. After Close it finds no key.
func (s *Store) Get(key string) (value []byte, found bool, err error) {
	s.mu.Lock()
	e, found := s.index.Get(entry{key: key})
	if !found || s.closed {
		s.mu.Unlock()
		return nil, false, nil
	}
	e.seg.readers++
	s.mu.Unlock()
	defer s.releaseSegments(e.seg)
	value, err = e.read()
	return value, err == nil, err
}

// Close waits for writes and a compaction in progress, closes the files and unlocks the directory.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	for s.flushing || s.compacting {
		s.stateChanged.Wait()
	}
	var errs []error
	for _, seg := range s.segments {
		errs = append(errs, seg.retire())
	}
	if s.unlock != nil {
		errs = append(errs, s.unlock())
	}
	return errors.Join(errs...)
}

// setEntry puts an entry into the index. The caller holds the lock.
func (s *Store) setEntry(e entry) {
	if previous, existed := s.index.ReplaceOrInsert(e); existed {
		s.liveBytes -= previous.logBytes()
	}
	s.liveBytes += e.logBytes()
}

// removeEntry removes a key from the index. The caller holds the lock.
func (s *Store) removeEntry(key string) {
	if previous, existed := s.index.Delete(entry{key: key}); existed {
		s.liveBytes -= previous.logBytes()
	}
}

// releaseSegments removes a reader from segments, and closes those that are obsolete and have no other reader.
func (s *Store) releaseSegments(segments ...*segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range segments {
		seg.readers--
		if seg.readers == 0 && seg.obsolete {
			_ = seg.file.Close() // everything written to it has been synced
		}
	}
}
