package store

// This file owns compaction: what still stands of closed segments is written to one new segment that names those it
// stands for. A crash at any step leaves the old or the new, and since the new one names the old, a key that was removed
// cannot come back from a file that was not removed in time.

import (
	"context"
	"errors"

	"golang.org/x/time/rate"
)

const minGarbageBytes = 64 << 10 // less garbage than this is not worth the work

// wantsCompaction tells whether enough of the closed segments is garbage; the lock is held.
func (s *Store) needsCompaction() bool {
	if s.compacting || s.closed || len(s.segments) < 2 || s.failure != nil {
		return false
	}
	total := int64(0)
	for _, seg := range s.segments {
		total += seg.size
	}
	return float64(total-s.liveBytes) > max(s.options.MaxGarbageRatio*float64(total), minGarbageBytes)
}

// Compact rewrites all closed segments now. Writers and readers go on meanwhile.
func (s *Store) Compact() error {
	s.mu.Lock()
	if err := s.writable(); err != nil || s.compacting {
		s.mu.Unlock()
		return err
	}
	s.compacting = true
	s.mu.Unlock()
	return s.runCompaction()
}

func (s *Store) runCompaction() error {
	err := s.compactSegments()
	s.mu.Lock()
	s.compacting = false
	s.stateChanged.Broadcast()
	s.mu.Unlock()
	return err
}

// rewrite does the work; only one does at a time.
func (s *Store) compactSegments() error {
	s.mu.Lock()
	var old []*segment
	for _, seg := range s.segments {
		if seg != s.active {
			old = append(old, seg)
		}
	}
	if len(old) == 0 || len(old) == 1 && old[0].compacted && s.liveBytes >= old[0].size {
		s.mu.Unlock()
		return nil
	}
	id := s.nextID
	s.nextID++
	s.mu.Unlock()
	snap := s.Snapshot()
	defer snap.Release()

	replaces := make([]uint64, len(old))
	from := map[*segment]bool{}
	for i, seg := range old {
		replaces[i], from[seg] = seg.id, true
	}
	name := segmentName(id)
	part := name + partSuffix
	made, err := s.createSegment(part, id, replaces)
	if made == nil {
		return err
	}
	moved, err2 := s.copyLive(snap, made, from)
	if err = errors.Join(err, err2); err == nil {
		err = made.file.Sync()
	}
	if err == nil {
		err = s.files.Rename(part, name)
	}
	if err != nil {
		made.file.Close()
		s.files.Remove(part)
		return err
	}
	made.name = name
	// From here on the new one may stand for the old ones after a crash, so it does here too.
	err = s.files.SyncDir()
	s.mu.Lock()
	if err != nil {
		s.failure = err
		s.mu.Unlock()
		return err
	}
	for _, e := range moved {
		if now, there := s.index.Get(entry{key: e.key}); there && from[now.seg] { // else it was written anew meanwhile
			s.index.ReplaceOrInsert(e)
		}
	}
	kept := []*segment{made}
	for _, seg := range s.segments {
		if !from[seg] {
			kept = append(kept, seg)
			continue
		}
		if seg.obsolete = true; seg.refs == 0 {
			seg.file.Close()
		}
	}
	s.segments = kept
	s.mu.Unlock()
	for _, seg := range old {
		err = errors.Join(err, s.files.Remove(seg.name))
	}
	return errors.Join(err, s.files.SyncDir())
}

// move writes what stands in the old segments, no faster than it may.
func (s *Store) copyLive(snap *Snapshot, to *segment, from map[*segment]bool) (moved []entry, err error) {
	pace := rate.NewLimiter(rate.Limit(s.options.CompactBytesPerSecond), max(s.options.CompactBytesPerSecond/8, maxPayloadBytes))
	var block []byte
	write := func() error {
		if len(block) == 0 {
			return nil
		}
		if err := pace.WaitN(context.Background(), len(block)); err != nil {
			return err
		}
		if n, err := to.file.WriteAt(block, to.size); err != nil || n < len(block) {
			return errors.Join(err, errors.New("compaction could not write"))
		}
		to.size += int64(len(block))
		block = block[:0]
		return nil
	}
	snap.index.Ascend(func(e entry) bool {
		if !from[e.seg] {
			return true
		}
		var value []byte
		if value, err = e.read(); err != nil {
			return false
		}
		ops := []operation{{key: e.key, value: value}}
		frame := encodeFrame(e.seq, ops)
		moved = append(moved, entry{e.key, to, to.size + int64(len(block)+ops[0].valueOffset), e.length, e.seq})
		if block = append(block, frame...); len(block) >= 256<<10 {
			err = write()
		}
		return err == nil
	})
	if err == nil {
		err = write()
	}
	return moved, err
}
