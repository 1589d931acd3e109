package store

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/google/btree"
)

// Recovery reads all segments, truncates the torn tail that a crash has left, and removes files that a compaction has
// replaced or not finished. No file is changed until all segments have been decoded without an error.

// Recovery describes the recovery of a store when it was opened.
type Recovery struct {
	Segments       int
	Batches        int
	Keys           int
	TruncatedBytes int64    // length of the torn tail
	TruncatedFile  string   // segment with the torn tail; empty: there was none
	RemovedFiles   []string // files that a compaction has replaced or not finished
}

// Open opens the store in a directory, or creates one, and recovers it up to the last complete batch. An error is a
// *CorruptionError, wraps ErrNewerVersion or ErrLocked, or is one of the file system.
func Open(path string, o Options) (*Store, *Recovery, error) {
	files, err := SystemDirectory(path, !o.ReadOnly)
	if err != nil {
		return nil, nil, err
	}
	return OpenDirectory(files, o)
}

// OpenDirectory is Open for a directory that the caller provides.
func OpenDirectory(files Directory, o Options) (*Store, *Recovery, error) {
	s := &Store{
		files:   files,
		options: o.withDefaults(),
		index:   btree.NewG(indexDegree, entryLess),
		group:   &commitGroup{},
		nextID:  1,
	}
	s.stateChanged = sync.NewCond(&s.mu)
	if !o.ReadOnly {
		unlock, err := files.Lock()
		if err != nil {
			return nil, nil, err
		}
		s.unlock = unlock
	}
	recovery, err := s.recover()
	if err != nil {
		s.closeFiles()
		return nil, nil, err
	}
	return s, recovery, nil
}

// closeFiles closes the segments and the lock of a store that could not be opened. Errors are ignored, because the
// caller returns the error that made opening fail.
func (s *Store) closeFiles() {
	for _, seg := range s.segments {
		_ = seg.file.Close()
	}
	if s.unlock != nil {
		_ = s.unlock()
	}
}

func (s *Store) recover() (*Recovery, error) {
	recovery := &Recovery{}
	removable, err := s.openSegments()
	if err != nil {
		return nil, err
	}
	tail, err := s.loadSegments(recovery)
	if err != nil {
		return nil, err
	}
	if s.options.ReadOnly {
		return recovery, nil
	}
	for _, name := range removable {
		if err := s.files.Remove(name); err != nil {
			return nil, err
		}
		recovery.RemovedFiles = append(recovery.RemovedFiles, name)
	}
	if s.active == nil {
		return recovery, s.rollSegment()
	}
	return recovery, s.truncateTail(tail, recovery)
}

// openSegments opens the segments that are not replaced by others, and determines the active one. removable are the
// files that a compaction has replaced or not finished.
func (s *Store) openSegments() (removable []string, err error) {
	names, err := s.files.List()
	if err != nil {
		return nil, err
	}
	var replaced []uint64
	for _, name := range names {
		if strings.HasSuffix(name, unfinishedSuffix) {
			removable = append(removable, name)
			continue
		}
		id, isSegment := segmentID(name)
		if !isSegment {
			continue
		}
		replaces, err := s.openSegment(name, id)
		if err != nil {
			return nil, err
		}
		replaced = append(replaced, replaces...)
	}
	slices.SortFunc(s.segments, func(a, b *segment) int { return cmp.Compare(a.id, b.id) })
	activeID := s.lastLogID()
	kept := s.segments[:0]
	for _, seg := range s.segments {
		if slices.Contains(replaced, seg.id) {
			_ = seg.file.Close() // nothing was written to it
			removable = append(removable, seg.name)
			continue
		}
		kept = append(kept, seg)
		if !seg.compacted && seg.id == activeID {
			s.active = seg
		}
	}
	s.segments = kept
	return removable, nil
}

// openSegment opens a segment and returns the IDs of the segments that it replaces. It ignores a header that can't be
// decoded, which is reported by scan.
func (s *Store) openSegment(name string, id uint64) (replaces []uint64, err error) {
	file, err := s.files.Open(name, !s.options.ReadOnly)
	if err != nil {
		return nil, err
	}
	seg := &segment{id: id, name: name, file: file}
	s.segments = append(s.segments, seg)
	s.nextID = max(s.nextID, id+1)
	content, err := seg.readAll()
	if err != nil {
		return nil, err
	}
	segmentHeader, err := decodeHeader(content)
	if errors.Is(err, ErrNewerVersion) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	seg.compacted = len(segmentHeader.replaces) > 0
	return segmentHeader.replaces, nil
}

// lastLogID returns the ID of the last segment that was not written by a compaction; 0: there is none.
func (s *Store) lastLogID() uint64 {
	last := uint64(0)
	for _, seg := range s.segments {
		if !seg.compacted {
			last = max(last, seg.id)
		}
	}
	return last
}

// latestChange is the latest operation on a key in the log.
type latestChange struct {
	entry
	deleted bool
}

// loadSegments scans the segments and builds the index. tail is the result of the scan of the active segment.
func (s *Store) loadSegments(recovery *Recovery) (tail scanResult, err error) {
	latest := map[string]latestChange{}
	for _, seg := range s.segments {
		content, err := seg.readAll()
		if err != nil {
			return tail, err
		}
		result, err := scan(seg.name, content, seg == s.active, func(offset int64, f frame) {
			for _, op := range f.ops {
				if previous, exists := latest[op.key]; !exists || f.seq >= previous.seq {
					latest[op.key] = latestChange{entryOf(op, seg, offset, f.seq), op.isDelete}
				}
			}
		})
		if err != nil {
			return tail, err
		}
		seg.size = result.validBytes
		if seg == s.active {
			tail = result
		}
		recovery.Segments++
		recovery.Batches += result.batches
		s.seq = max(s.seq, result.lastSeq)
	}
	for _, change := range latest {
		if !change.deleted {
			s.setEntry(change.entry)
		}
	}
	recovery.Keys = s.index.Len()
	return tail, nil
}

// truncateTail truncates a torn write at the end of the active segment, so that new batches follow complete ones.
func (s *Store) truncateTail(tail scanResult, recovery *Recovery) error {
	if !tail.torn() {
		return nil
	}
	active := s.active
	recovery.TruncatedBytes = tail.size - tail.validBytes
	recovery.TruncatedFile = active.name
	if err := active.file.Truncate(tail.validBytes); err != nil {
		return err
	}
	if tail.validBytes == 0 {
		encodedHeader := encodeHeader(nil)
		if _, err := active.file.WriteAt(encodedHeader, 0); err != nil {
			return err
		}
		active.size = int64(len(encodedHeader))
	}
	return errors.Join(active.file.Sync(), s.files.SyncDir())
}
