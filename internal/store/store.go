// Package store is a small embedded key-value store: an append-only log in segments that serves as write-ahead log
// and as the data, an index in memory, group commit, compaction and recovery. A write is acknowledged once it is
// durable; nothing is written after a sync that failed; and corruption that is no torn write of a crash is reported,
// never guessed over. Values are opaque bytes.
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
	unlock  func() error // nil: read-only

	mu           sync.Mutex
	stateChanged *sync.Cond // a flush or a compaction has ended
	index        *btree.BTreeG[entry]
	segments     []*segment // by id
	active       *segment   // to which batches are appended
	nextID       uint64     // of a segment
	seq          uint64     // of the last batch
	group        *commitGroup
	flushing     bool
	compacting   bool
	liveBytes    int64 // of entries in the index
	writeFailure error // after which nothing is written any more
	closed       bool
}

// entry is where the value of a key is.
type entry struct {
	key    string
	seg    *segment
	offset int64
	length int
	seq    uint64 // of the batch that set it
}

const entryOverheadBytes = frameHeaderBytes + 8 // of a frame with this entry alone

func entryLess(a, b entry) bool { return a.key < b.key }

// logBytes returns the size of the entry in the log, if it has a frame of its own.
func (e entry) logBytes() int64 { return int64(len(e.key) + e.length + entryOverheadBytes) }

func (e entry) read() ([]byte, error) {
	value := make([]byte, e.length)
	if n, err := e.seg.file.ReadAt(value, e.offset); n < e.length {
		return nil, fmt.Errorf("%s at byte %d: %w", e.seg.name, e.offset, err)
	}
	return value, nil
}

// Get returns the value of a key. After Close no key is found.
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

// Close waits for writes and a compaction that are under way, and unlocks the directory.
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

// setEntry puts an entry into the index. The lock is held.
func (s *Store) setEntry(e entry) {
	if previous, existed := s.index.ReplaceOrInsert(e); existed {
		s.liveBytes -= previous.logBytes()
	}
	s.liveBytes += e.logBytes()
}

// removeEntry removes a key from the index. The lock is held.
func (s *Store) removeEntry(key string) {
	if previous, existed := s.index.Delete(entry{key: key}); existed {
		s.liveBytes -= previous.logBytes()
	}
}

// releaseSegments ends a reader's use of segments, and closes those that are obsolete and have no other reader.
func (s *Store) releaseSegments(segments ...*segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range segments {
		seg.readers--
		if seg.readers == 0 && seg.obsolete {
			_ = seg.file.Close() // opened for reading alone, or synced
		}
	}
}
