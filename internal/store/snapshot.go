package store

import (
	"slices"
	"strings"

	"github.com/google/btree"
)

// Snapshot is the content of a store at a point in time, unaffected by later writes. It keeps files open until it is
// released. It is not safe for concurrent use.
type Snapshot struct {
	store    *Store
	index    *btree.BTreeG[entry]
	segments []*segment
}

// Snapshot returns a snapshot of the current content, which the caller must release.
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

// Each calls visit for each key with the prefix, in order, until visit returns false. It returns an error if a value
// can't be read.
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
