package store

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/time/rate"
)

// Compaction copies the live entries of closed segments to a new segment, whose header lists the segments that it
// replaces. After a crash at any step either the old segments or the new one are used. Because the new one lists the
// old ones, a deleted key can't reappear from an old file that was not removed before the crash.

const (
	minGarbageBytes     = 64 << 10  // minimum garbage for a compaction
	compactBlockBytes   = 256 << 10 // size of a write
	compactBurstDivisor = 8         // a second's bytes divided by the burst of the rate limiter; see newPacedWriter
)

// needsCompaction reports whether the log has enough garbage for a compaction. The caller holds the lock.
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

// Compact compacts all closed segments now. If a compaction is in progress already, it returns nil at once. Reads and
// writes are not blocked. Errors wrap ErrReadOnly or ErrClosed, or are those of the file system.
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

// runCompaction compacts the log. The caller must have set s.compacting.
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
	compacted, copied, err := s.writeCompacted(snapshot, old, id)
	if err != nil {
		return err
	}
	if err := s.installCompacted(compacted, copied, old); err != nil {
		return err
	}
	for _, seg := range old {
		err = errors.Join(err, s.files.Remove(seg.name))
	}
	return errors.Join(err, s.files.SyncDir())
}

// beginCompaction returns the segments to compact, and the ID of the new segment. It returns no segments if a
// compaction would free nothing.
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

// writeCompacted writes a segment that replaces old ones, makes it durable and then renames it to its final name.
// copied are its entries.
func (s *Store) writeCompacted(
	snapshot *Snapshot, old []*segment, id uint64,
) (compacted *segment, copied []entry, err error) {
	replaces := make([]uint64, len(old))
	for i, seg := range old {
		replaces[i] = seg.id
	}
	name := segmentName(id)
	compacted, err = s.createSegment(name+unfinishedSuffix, id, replaces)
	if err != nil {
		return nil, nil, err
	}
	copied, err = s.copyLive(snapshot, setOf(old), compacted)
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
	return compacted, copied, nil
}

// installCompacted replaces the old segments by the compacted one in the store and its index.
func (s *Store) installCompacted(compacted *segment, copied []entry, old []*segment) error {
	replaced := setOf(old)
	// After a crash from here on, the new segment may be the one that is used. If the sync fails, it is unknown which
	// one would be, so that nothing more may be written.
	syncErr := s.files.SyncDir()
	s.mu.Lock()
	defer s.mu.Unlock()
	if syncErr != nil {
		s.writeFailure = syncErr
		return syncErr
	}
	for _, e := range copied {
		current, exists := s.index.Get(entry{key: e.key})
		if exists && replaced[current.seg] { // otherwise the key was written or deleted during the compaction
			s.index.ReplaceOrInsert(e)
		}
	}
	segments := []*segment{compacted}
	for _, seg := range s.segments {
		if replaced[seg] {
			_ = seg.retire() // its live entries have been copied
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

// copyLive copies the entries of a snapshot that are in old segments to a new one, at the rate of
// CompactBytesPerSecond, and returns the entries with their places in the new segment.
func (s *Store) copyLive(snapshot *Snapshot, old map[*segment]bool, target *segment) (copied []entry, err error) {
	w := newPacedWriter(target, s.options.CompactBytesPerSecond)
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
		copied = append(copied, entryOf(ops[0], target, w.offset(), e.seq))
		err = w.write(encoded)
		return err == nil
	})
	if err == nil {
		err = w.flush()
	}
	return copied, err
}

// pacedWriter appends to a segment in blocks, with a rate limit.
type pacedWriter struct {
	seg     *segment
	limiter *rate.Limiter
	block   []byte
}

func newPacedWriter(seg *segment, bytesPerSecond int) *pacedWriter {
	burst := max(bytesPerSecond/compactBurstDivisor, maxPayloadBytes)
	return &pacedWriter{seg: seg, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
}

// offset returns the offset in the segment of the next write.
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
		return fmt.Errorf("compaction could not write its segment; the log stays as it is: %w", err)
	}
	w.seg.size += int64(n)
	w.block = w.block[:0]
	return nil
}
