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

// Recovery reads all segments, truncates the torn tail that a crash has left, and removes files that a compaction
// replaced or did not finish. No file is changed before every segment was found to be readable.

// Recovery describes what was found when a store was opened.
type Recovery struct {
	Segments       int
	Batches        int
	Keys           int
	TruncatedBytes int64    // of a torn tail
	TruncatedFile  string   // in which it was
	RemovedFiles   []string // that a compaction replaced or did not finish
}

// Open opens the store in a directory, or begins one, and recovers it up to the last whole batch. Errors are a
// *CorruptionError, wrap ErrNewerVersion or ErrLocked, or are the file system's.
func Open(path string, o Options) (*Store, *Recovery, error) {
	files, err := SystemDirectory(path, !o.ReadOnly)
	if err != nil {
		return nil, nil, err
	}
	return OpenDirectory(files, o)
}

// OpenDirectory opens a store like Open, in a directory that the caller provides.
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

// abandon closes what was opened of a store that can't be used. The error to report is the one before.
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

// openSegments opens the segments that count, and finds the active one. removable are files that a compaction
// replaced or did not finish.
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

// openSegment opens a segment and returns the ids of those that it replaces. A header that can't be read is left to
// the scan.
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
	head, err := decodeHeader(content)
	if errors.Is(err, ErrNewerVersion) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	seg.compacted = len(head.replaces) > 0
	return head.replaces, nil
}

// lastLogID returns the id of the last segment that was not written by compaction; 0: there is none.
func (s *Store) lastLogID() uint64 {
	last := uint64(0)
	for _, seg := range s.segments {
		if !seg.compacted {
			last = max(last, seg.id)
		}
	}
	return last
}

// latestChange is the last change of a key in the log.
type latestChange struct {
	entry
	deleted bool
}

// loadSegments reads the segments and fills the index. tail is what was found in the active segment.
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

// truncateTail cuts a torn write off the active segment, so that what is written next follows whole batches.
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
		head := encodeHeader(nil)
		if _, err := active.file.WriteAt(head, 0); err != nil {
			return err
		}
		active.size = int64(len(head))
	}
	return errors.Join(active.file.Sync(), s.files.SyncDir())
}
