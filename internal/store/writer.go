package store

import (
	"errors"
	"fmt"
	"slices"
)

// Group commit: batches that come while the disk is at work form a group, which one of their writers then appends to
// the log and makes durable by a single sync. Batches become visible once they are durable, so that nobody reads what
// a crash could undo.

// operationOverheadBytes is the most that an operation has in a frame beside its key and value, by estimate.
const operationOverheadBytes = 24

// maxBatchBytes is the size of the largest batch, by estimate.
const maxBatchBytes = maxPayloadBytes / 2

// Batch is a list of changes that take effect all or not at all, in their order. The zero value is empty.
type Batch struct{ ops []operation }

// Put sets a key. The value is copied.
func (b *Batch) Put(key string, value []byte) {
	b.ops = append(b.ops, operation{key: key, value: slices.Clone(value)})
}

// Delete removes a key; one that doesn't exist is no error.
func (b *Batch) Delete(key string) { b.ops = append(b.ops, operation{key: key, isDelete: true}) }

func (b *Batch) validate() error {
	size := 0
	for _, op := range b.ops {
		if op.key == "" || len(op.key) > maxKeyBytes {
			return fmt.Errorf("key: expected 1 to %d bytes, got %d", maxKeyBytes, len(op.key))
		}
		size += len(op.key) + len(op.value) + operationOverheadBytes
	}
	if size > maxBatchBytes {
		return fmt.Errorf("batch: expected %d bytes at most, got %d", maxBatchBytes, size)
	}
	return nil
}

// Put sets one key and returns once that is durable.
func (s *Store) Put(key string, value []byte) error {
	var b Batch
	b.Put(key, value)
	return s.Apply(&b)
}

// Delete removes one key and returns once that is durable.
func (s *Store) Delete(key string) error {
	var b Batch
	b.Delete(key)
	return s.Apply(&b)
}

// commitGroup is batches that become durable by one sync.
type commitGroup struct {
	frames  []byte
	batches []pendingBatch
	done    bool
	err     error
}

// pendingBatch is a batch in a group.
type pendingBatch struct {
	seq    uint64
	offset int // of its frame in the group's
	ops    []operation
}

// Apply makes a batch durable, together with others that come meanwhile. An error says that the batch has not taken
// effect; but if a sync failed, that is unknown until the store is opened again, and all later writes return
// ErrReadOnly.
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

// enqueue adds a batch to the group that is to be flushed next. The lock is held.
func (s *Store) enqueue(ops []operation) *commitGroup {
	s.seq++
	group := s.group
	batch := pendingBatch{seq: s.seq, offset: len(group.frames), ops: ops}
	group.frames = append(group.frames, encodeFrame(batch.seq, ops)...)
	group.batches = append(group.batches, batch)
	return group
}

// writable returns ErrClosed or ErrReadOnly if nothing can be written. The lock is held.
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

// flushGroup makes the current group durable. The lock is held, and released while the disk is at work.
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

// unknownTailError says that the content of the log's end is unknown, so that nothing more may be written.
type unknownTailError struct{ err error }

func (e *unknownTailError) Error() string { return e.err.Error() }
func (e *unknownTailError) Unwrap() error { return e.err }

// appendFrames appends frames to the log, makes them durable and returns their offset in the active segment. Only the
// writer that flushes calls it. Where the disk takes a part only, that is cut off again. An *unknownTailError says
// that this failed, or the sync did.
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
			err = fmt.Errorf("%w; and the part written could not be taken off: %w", err, undoErr)
			return 0, &unknownTailError{err}
		}
		return 0, err
	}
	if err := active.file.Sync(); err != nil {
		err = fmt.Errorf("%s: sync failed, so what is on the disk is unknown: %w", active.name, err)
		return 0, &unknownTailError{err}
	}
	active.size += int64(len(frames))
	return offset, nil
}

// rollSegment begins a new active segment. The one before is durable.
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

// publish puts the batches of a durable group into the index, and starts a compaction if that is due. The lock is held.
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
		// A compaction that fails leaves the log as it was, and the next commit starts another; a failed sync of the
		// directory is kept in failure.
		go func() { _ = s.runCompaction() }()
	}
}

// entryOf returns the entry of a put whose frame is at an offset of a segment.
func entryOf(op operation, seg *segment, frameOffset int64, seq uint64) entry {
	return entry{
		key:    op.key,
		seg:    seg,
		offset: frameOffset + int64(op.valueOffset),
		length: len(op.value),
		seq:    seq,
	}
}
