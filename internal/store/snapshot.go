package store

import (
	"slices"
	"strings"

	"github.com/google/btree"
)

// Snapshot is the content of a store at one moment; later writes don't change it. It keeps files open until Release.
// It is not safe for concurrent use.
type Snapshot struct {
	store    *Store
	index    *btree.BTreeG[entry]
	segments []*segment
}

// Snapshot returns a snapshot of the store as it is now.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &Snapshot{store: s, index: s.index.Clone(), segments: slices.Clone(s.segments)}
	for _, seg := range snapshot.segments {
		seg.readers++
	}
	return snapshot
}

// Release releases the snapshot, which must not be used afterwards.
func (s *Snapshot) Release() {
	s.store.releaseSegments(s.segments...)
	s.segments = nil
}

// Each calls visit for every key with the prefix, in order, until it returns false. An error says that a value could
// not be read.
func (s *Snapshot) Each(prefix string, visit func(key string, value []byte) bool) error {
	var readErr error
	s.index.AscendGreaterOrEqual(entry{key: prefix}, func(e entry) bool {
		if !strings.HasPrefix(e.key, prefix) {
			return false
		}
		value, err := e.read()
		if err != nil {
			readErr = err
			return false
		}
		return visit(e.key, value)
	})
	return readErr
}

// Len returns the number of keys.
func (s *Snapshot) Len() int { return s.index.Len() }
