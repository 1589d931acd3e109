package store

import (
	"errors"
	"fmt"
	"slices"
)

// Group commit: batches that arrive during a flush form a group, which one of their writers then appends to the log and
// makes durable by a single sync. Batches become visible only when they are durable, so that no reader sees data that a
// crash could undo.

// operationOverheadBytes is an upper estimate of the bytes of an operation in a frame, without its key and value.
const operationOverheadBytes = 24

// maxBatchBytes is the maximum estimated size of a batch in a frame.
const maxBatchBytes = maxPayloadBytes / 2

// Batch is a sequence of changes that are applied atomically, in their order. The zero value is an empty batch.
type Batch struct{ ops []operation }

// Put sets the value of a key. The value is copied.
func (b *Batch) Put(key string, value []byte) {
	b.ops = append(b.ops, operation{key: key, value: slices.Clone(value)})
}

// Delete removes a key. It is not an error if the key doesn't exist.
func (b *Batch) Delete(key string) { b.ops = append(b.ops, operation{key: key, isDelete: true}) }

func (b *Batch) validate() error {
	size := 0
	for _, op := range b.ops {
		if op.key == "" || len(op.key) > maxKeyBytes {
			return fmt.Errorf("key: expected a length of 1 to %d bytes, got %d", maxKeyBytes, len(op.key))
		}
		size += len(op.key) + len(op.value) + operationOverheadBytes
	}
	if size > maxBatchBytes {
		return fmt.Errorf("batch: expected at most %d bytes, got %d", maxBatchBytes, size)
	}
	return nil
}

// Put sets the value of a key and returns once the change is durable.
func (s *Store) Put(key string, value []byte) error {
	var b Batch
	b.Put(key, value)
	return s.Apply(&b)
}

// Delete removes a key and returns once the change is durable.
func (s *Store) Delete(key string) error {
	var b Batch
	b.Delete(key)
	return s.Apply(&b)
}

// commitGroup is a group of batches that become durable by a single sync.
type commitGroup struct {
	frames  []byte
	batches []pendingBatch
	done    bool
	err     error
}

// pendingBatch is a batch in a commit group.
type pendingBatch struct {
	seq    uint64
	offset int // offset of its frame in commitGroup.frames
	ops    []operation
}

// Apply applies a batch and returns once it is durable. Concurrent batches share a sync. If Apply returns an error, the
// batch was not applied; but after a failed sync, or a partial write that could not be truncated, this is unknown until
// the store is opened again, and the errors of all later writes wrap ErrReadOnly.
func (s *Store) Apply(b *Batch) error {
	if len(b.ops) == 0 {
		return nil
	}
	if err := b.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	group := s.enqueue(slices.Clone(b.ops))
	for !group.done {
		if s.flushing {
			s.stateChanged.Wait()
		} else {
			s.flushGroup()
		}
	}
	return group.err
}

// enqueue adds a batch to the group that is flushed next. The caller holds the lock.
func (s *Store) enqueue(ops []operation) *commitGroup {
	s.seq++
	group := s.group
	batch := pendingBatch{seq: s.seq, offset: len(group.frames), ops: ops}
	group.frames = append(group.frames, encodeFrame(batch.seq, ops)...)
	group.batches = append(group.batches, batch)
	return group
}

// checkWritable returns an error that wraps ErrClosed or ErrReadOnly if the store can't be written. The caller holds
// the lock.
func (s *Store) checkWritable() error {
	switch {
	case s.closed:
		return ErrClosed
	case s.options.ReadOnly:
		return ErrReadOnly
	case s.writeFailure != nil:
		return fmt.Errorf("%w: %w", ErrReadOnly, s.writeFailure)
	}
	return nil
}

// flushGroup makes the current group durable. The caller holds the lock, which is released during the writes.
func (s *Store) flushGroup() {
	group := s.group
	s.group = &commitGroup{}
	s.flushing = true
	err := s.writeFailure
	s.mu.Unlock()
	var offset int64
	if err == nil {
		offset, err = s.appendFrames(group.frames)
	}
	s.mu.Lock()
	s.flushing = false
	group.done = true
	group.err = err
	var unknown *unknownTailError
	if errors.As(err, &unknown) {
		s.writeFailure = err
	}
	if err == nil {
		s.publish(group, offset)
	}
	s.stateChanged.Broadcast()
}

// unknownTailError means that the content at the end of the log is unknown, so that nothing more may be written.
type unknownTailError struct{ err error }

func (e *unknownTailError) Error() string { return e.err.Error() }
func (e *unknownTailError) Unwrap() error { return e.err }

// appendFrames appends frames to the log, makes them durable and returns their offset in the active segment. Only the
// writer that flushes the group calls it. A partial write is truncated again. If that or the sync fails, the error is
// an *unknownTailError.
func (s *Store) appendFrames(frames []byte) (offset int64, err error) {
	size := s.active.size
	if size > int64(fixedHeaderBytes) && size+int64(len(frames)) > s.options.SegmentBytes {
		if err := s.rollSegment(); err != nil {
			return 0, err
		}
	}
	active := s.active
	offset = active.size
	n, err := active.file.WriteAt(frames, offset)
	if err == nil && n < len(frames) {
		err = errShortWrite
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", active.name, err)
		if undoErr := errors.Join(active.file.Truncate(offset), active.file.Sync()); undoErr != nil {
			err = fmt.Errorf("%w; the partial write could not be truncated, so that the store is now read-only: %w", err, undoErr)
			return 0, &unknownTailError{err}
		}
		return 0, err
	}
	if err := active.file.Sync(); err != nil {
		err = fmt.Errorf("%s: sync failed, so that the content on disk is unknown and the store is now read-only: %w", active.name, err)
		return 0, &unknownTailError{err}
	}
	active.size += int64(len(frames))
	return offset, nil
}

// rollSegment creates a new active segment. All batches in the previous one are durable.
func (s *Store) rollSegment() error {
	s.mu.Lock()
	id := s.nextID
	s.nextID++
	s.mu.Unlock()
	seg, err := s.createSegment(segmentName(id), id, nil)
	if err != nil {
		return err
	}
	if err := s.files.SyncDir(); err != nil {
		s.discard(seg)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = seg
	s.segments = append(s.segments, seg)
	return nil
}

// publish applies the batches of a durable group to the index, and starts a compaction if it is due. The caller holds
// the lock.
func (s *Store) publish(group *commitGroup, groupOffset int64) {
	for _, batch := range group.batches {
		frameOffset := groupOffset + int64(batch.offset)
		for _, op := range batch.ops {
			if op.isDelete {
				s.removeEntry(op.key)
			} else {
				s.setEntry(entryOf(op, s.active, frameOffset, batch.seq))
			}
		}
	}
	if !s.options.ManualCompaction && s.needsCompaction() {
		s.compacting = true
		// A failed compaction leaves the log unchanged, and the next commit starts another one. A failed sync of the
		// directory is recorded in writeFailure.
		go func() { _ = s.runCompaction() }()
	}
}

// entryOf returns the entry of a put whose frame is at frameOffset in a segment.
func entryOf(op operation, seg *segment, frameOffset int64, seq uint64) entry {
	return entry{
		key:    op.key,
		seg:    seg,
		offset: frameOffset + int64(op.valueOffset),
		length: len(op.value),
		seq:    seq,
	}
}
