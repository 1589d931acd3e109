package store

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/time/rate"
)

// Compaction copies what is live in closed segments to one new segment, whose header names the segments that it
// replaces. A crash at any step leaves the old ones or the new one; and as that names the old ones, a key that was
// deleted can't come back from a file that was not removed in time.

const (
	minGarbageBytes     = 64 << 10  // less garbage is not worth a compaction
	compactBlockBytes   = 256 << 10 // of a write
	compactBurstDivisor = 8         // a burst is at most this part of a second's bytes
)

// needsCompaction reports whether enough of the log is garbage. The lock is held.
func (s *Store) needsCompaction() bool {
	if s.compacting || s.closed || len(s.segments) < 2 || s.writeFailure != nil {
		return false
	}
	total := int64(0)
	for _, seg := range s.segments {
		total += seg.size
	}
	garbage := float64(total - s.liveBytes)
	return garbage > max(s.options.MaxGarbageRatio*float64(total), minGarbageBytes)
}

// Compact compacts all closed segments now, unless a compaction is under way. Reads and writes go on meanwhile. An
// error wraps ErrReadOnly or ErrClosed, or is the disk's.
func (s *Store) Compact() error {
	s.mu.Lock()
	if err := s.checkWritable(); err != nil || s.compacting {
		s.mu.Unlock()
		return err
	}
	s.compacting = true
	s.mu.Unlock()
	return s.runCompaction()
}

// runCompaction compacts the log. The caller has set compacting.
func (s *Store) runCompaction() error {
	err := s.compactSegments()
	s.mu.Lock()
	s.compacting = false
	s.stateChanged.Broadcast()
	s.mu.Unlock()
	return err
}

func (s *Store) compactSegments() error {
	old, id := s.beginCompaction()
	if len(old) == 0 {
		return nil
	}
	snapshot := s.Snapshot()
	defer snapshot.Release()
	compacted, moved, err := s.writeCompacted(snapshot, old, id)
	if err != nil {
		return err
	}
	if err := s.installCompacted(compacted, moved, old); err != nil {
		return err
	}
	for _, seg := range old {
		err = errors.Join(err, s.files.Remove(seg.name))
	}
	return errors.Join(err, s.files.SyncDir())
}

// beginCompaction returns the segments to compact, and the id of the new one. There are none if compaction would gain
// nothing.
func (s *Store) beginCompaction() (old []*segment, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range s.segments {
		if seg != s.active {
			old = append(old, seg)
		}
	}
	if len(old) == 1 && old[0].compacted && s.liveBytes >= old[0].size {
		return nil, 0
	}
	if len(old) > 0 {
		id = s.nextID
		s.nextID++
	}
	return old, id
}

// writeCompacted writes a segment that replaces old ones, makes it durable and gives it its name. moved are the
// entries that it holds.
func (s *Store) writeCompacted(
	snapshot *Snapshot, old []*segment, id uint64,
) (compacted *segment, moved []entry, err error) {
	replaces := make([]uint64, len(old))
	for i, seg := range old {
		replaces[i] = seg.id
	}
	name := segmentName(id)
	compacted, err = s.createSegment(name+unfinishedSuffix, id, replaces)
	if err != nil {
		return nil, nil, err
	}
	moved, err = s.copyLive(snapshot, setOf(old), compacted)
	if err == nil {
		err = compacted.file.Sync()
	}
	if err == nil {
		err = s.files.Rename(compacted.name, name)
	}
	if err != nil {
		s.discard(compacted)
		return nil, nil, err
	}
	compacted.name = name
	return compacted, moved, nil
}

// installCompacted has the store use a compacted segment in place of the old ones.
func (s *Store) installCompacted(compacted *segment, moved []entry, old []*segment) error {
	replaced := setOf(old)
	// After a crash the new segment may count from here on. If that is unknown, nothing more may be written.
	syncErr := s.files.SyncDir()
	s.mu.Lock()
	defer s.mu.Unlock()
	if syncErr != nil {
		s.writeFailure = syncErr
		return syncErr
	}
	for _, e := range moved {
		current, exists := s.index.Get(entry{key: e.key})
		if exists && replaced[current.seg] { // else the key was written or deleted meanwhile
			s.index.ReplaceOrInsert(e)
		}
	}
	segments := []*segment{compacted}
	for _, seg := range s.segments {
		if replaced[seg] {
			_ = seg.retire() // all of it has been read
		} else {
			segments = append(segments, seg)
		}
	}
	s.segments = segments
	return nil
}

func setOf(segments []*segment) map[*segment]bool {
	set := make(map[*segment]bool, len(segments))
	for _, seg := range segments {
		set[seg] = true
	}
	return set
}

// copyLive copies the entries of a snapshot that are in old segments to a new one, at the pace of the options, and
// returns them as they are there.
func (s *Store) copyLive(snapshot *Snapshot, old map[*segment]bool, to *segment) (moved []entry, err error) {
	w := newPacedWriter(to, s.options.CompactBytesPerSecond)
	snapshot.index.Ascend(func(e entry) bool {
		if !old[e.seg] {
			return true
		}
		var value []byte
		value, err = e.read()
		if err != nil {
			return false
		}
		ops := []operation{{key: e.key, value: value}}
		encoded := encodeFrame(e.seq, ops)
		moved = append(moved, entryOf(ops[0], to, w.offset(), e.seq))
		err = w.write(encoded)
		return err == nil
	})
	if err == nil {
		err = w.flush()
	}
	return moved, err
}

// pacedWriter appends to a segment in blocks, at a bounded rate.
type pacedWriter struct {
	seg     *segment
	limiter *rate.Limiter
	block   []byte
}

func newPacedWriter(seg *segment, bytesPerSecond int) *pacedWriter {
	burst := max(bytesPerSecond/compactBurstDivisor, maxPayloadBytes)
	return &pacedWriter{seg: seg, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
}

// offset returns where in the segment the next write goes.
func (w *pacedWriter) offset() int64 { return w.seg.size + int64(len(w.block)) }

func (w *pacedWriter) write(b []byte) error {
	w.block = append(w.block, b...)
	if len(w.block) < compactBlockBytes {
		return nil
	}
	return w.flush()
}

func (w *pacedWriter) flush() error {
	if len(w.block) == 0 {
		return nil
	}
	if err := w.limiter.WaitN(context.Background(), len(w.block)); err != nil {
		return err
	}
	n, err := w.seg.file.WriteAt(w.block, w.seg.size)
	if err == nil && n < len(w.block) {
		err = errShortWrite
	}
	if err != nil {
		return fmt.Errorf("compaction could not write: %w", err)
	}
	w.seg.size += int64(n)
	w.block = w.block[:0]
	return nil
}
