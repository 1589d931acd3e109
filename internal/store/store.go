// Package store is a small embedded store: an append-only log in segments, an index in memory, compaction, recovery.
// It must never acknowledge before what was written is durable, go on writing after a sync that failed, or guess over
// a damaged middle. Values are bytes; what stands in them is their owner's business.
package store

// This file owns the store in memory: the index, commits in groups, snapshots. Batches become visible once durable, so
// nobody reads what a crash could take back.

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/google/btree"
)

// Options bound a store; zero values stand for those in brackets.
type Options struct {
	SegmentBytes          int64   // a segment is closed beyond this [4 MiB]
	MaxGarbageRatio       float64 // part of the log that is no longer live at which it is compacted [0.5]
	CompactBytesPerSecond int     // bytes a second that compaction may write [8 MiB]
	ManualCompaction      bool    // compaction only when asked for
	ReadOnly              bool    // nothing is changed, not even a tail cut off; no lock is taken
}

// Recovery tells what opening found.
type Recovery struct {
	Segments, Batches, Keys int
	TruncatedBytes          int64    // bytes of a tail that a crash had cut off
	TruncatedFile           string   // the file that they stood in
	RemovedFiles            []string // files of a compaction that had not come to its end, or had
}

// ErrReadOnly is what a write gets once nothing may be written any more.
var ErrReadOnly = errors.New("the store is read-only")

type segment struct {
	id        uint64
	name      string
	file      File
	size      int64
	compacted bool // made by compaction
	refs      int  // readers at work
	obsolete  bool
}

type entry struct {
	key    string
	seg    *segment
	offset int64
	length int
	seq    uint64
}

func entryLess(a, b entry) bool { return a.key < b.key }

// group is batches that become durable by one sync.
type commitGroup struct {
	frames []byte
	seqs   []uint64
	starts []int
	ops    [][]operation
	done   bool
	err    error
}

// Store is an open directory. Its methods may be called from any goroutine.
type Store struct {
	files   Directory
	options Options
	unlock  func() error

	mu           sync.Mutex
	stateChanged *sync.Cond
	index        *btree.BTreeG[entry]
	segments     []*segment // by id
	active       *segment
	nextID       uint64
	seq          uint64
	group        *commitGroup
	flushing     bool
	compacting   bool
	liveBytes    int64 // bytes of keys and values that stand
	failure      error
	closed       bool
}

// Batch is changes that take effect whole or not at all, in their order.
type Batch struct{ ops []operation }

// Put sets a key.
func (b *Batch) Put(key string, value []byte) {
	b.ops = append(b.ops, operation{key: key, value: slices.Clone(value)})
}

// Delete removes a key; one that is not there is no error.
func (b *Batch) Delete(key string) { b.ops = append(b.ops, operation{key: key, remove: true}) }

// Open opens a directory, or begins one, and recovers what stands there to the last whole batch.
func Open(path string, o Options) (*Store, *Recovery, error) {
	files, err := SystemDirectory(path, !o.ReadOnly)
	if err != nil {
		return nil, nil, err
	}
	return OpenDirectory(files, o)
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

// Apply makes a batch durable, together with others that come meanwhile. An error means that none of it has taken
// effect, unless it tells that a sync failed: then nobody can know before the next opening, and nothing more is written.
func (s *Store) Apply(b *Batch) error {
	if len(b.ops) == 0 {
		return nil
	}
	size := 0
	for _, o := range b.ops {
		if o.key == "" || len(o.key) > maxKeyBytes {
			return fmt.Errorf("key: expected 1 to %d bytes, got %d", maxKeyBytes, len(o.key))
		}
		size += len(o.key) + len(o.value) + 24
	}
	if size > maxPayloadBytes/2 {
		return fmt.Errorf("batch: expected %d bytes at most, got %d", maxPayloadBytes/2, size)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writable(); err != nil {
		return err
	}
	s.seq++
	g, ops := s.group, slices.Clone(b.ops)
	g.starts = append(g.starts, len(g.frames))
	g.frames = append(g.frames, encodeFrame(s.seq, ops)...)
	g.seqs, g.ops = append(g.seqs, s.seq), append(g.ops, ops)
	for !g.done {
		if s.flushing {
			s.stateChanged.Wait()
			continue
		}
		s.flushGroup()
	}
	return g.err
}

func (s *Store) writable() error {
	switch {
	case s.closed:
		return errors.New("the store is closed")
	case s.options.ReadOnly:
		return ErrReadOnly
	case s.failure != nil:
		return fmt.Errorf("%w: %w", ErrReadOnly, s.failure)
	}
	return nil
}

// flush makes the group at hand durable; the lock is held, and let go while the disk is at work.
func (s *Store) flushGroup() {
	g := s.group
	s.group, s.flushing = &commitGroup{}, true
	broken := s.failure
	s.mu.Unlock()
	var at int64
	err := broken
	final := false
	if err == nil {
		at, final, err = s.appendFrames(g.frames)
	}
	s.mu.Lock()
	if s.flushing, g.done, g.err = false, true, err; final {
		s.failure = err
	}
	if err == nil {
		s.publish(g, at)
	}
	s.stateChanged.Broadcast()
}

// write appends frames to the log and makes them durable; only the one who flushes calls it. Where the disk takes only a
// part, that part is taken off again; final tells that nothing more may be written.
func (s *Store) appendFrames(frames []byte) (at int64, final bool, err error) {
	a := s.active
	if a.size > 0 && a.size+int64(len(frames)) > s.options.SegmentBytes && a.size > int64(fixedHeaderBytes) {
		if err := s.rollSegment(); err != nil {
			return 0, false, err
		}
		a = s.active
	}
	at = a.size
	if n, err := a.file.WriteAt(frames, at); err != nil || n < len(frames) {
		if err == nil {
			err = errors.New("short write")
		}
		if back := errors.Join(a.file.Truncate(at), a.file.Sync()); back != nil {
			return 0, true, fmt.Errorf("%s: %w; and the part written could not be taken off: %w", a.name, err, back)
		}
		return 0, false, fmt.Errorf("%s: %w", a.name, err)
	}
	if err := a.file.Sync(); err != nil {
		return 0, true, fmt.Errorf("%s: sync failed, so what is on the disk is unknown: %w", a.name, err)
	}
	a.size += int64(len(frames))
	return at, false, nil
}

// roll begins a new segment. The old one is whole and durable.
func (s *Store) rollSegment() error {
	s.mu.Lock()
	id := s.nextID
	s.nextID++
	s.mu.Unlock()
	seg, err := s.createSegment(segmentName(id), id, nil)
	if err == nil {
		err = s.files.SyncDir()
	}
	if err != nil {
		if seg != nil {
			seg.file.Close()
			s.files.Remove(seg.name)
		}
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = seg
	s.segments = append(s.segments, seg)
	return nil
}

// begin makes a file with a head that is durable; its directory is not yet.
func (s *Store) createSegment(name string, id uint64, replaces []uint64) (*segment, error) {
	f, err := s.files.Create(name)
	if err != nil {
		return nil, err
	}
	head := encodeHeader(replaces)
	if _, err = f.WriteAt(head, 0); err == nil {
		err = f.Sync()
	}
	seg := &segment{id: id, name: name, file: f, size: int64(len(head)), compacted: len(replaces) > 0}
	return seg, err
}

// publish takes durable batches into the index; the lock is held.
func (s *Store) publish(g *commitGroup, at int64) {
	for i, ops := range g.ops {
		for _, o := range ops {
			if o.remove {
				s.removeEntry(o.key)
				continue
			}
			s.setEntry(entry{o.key, s.active, at + int64(g.starts[i]+o.valueOffset), len(o.value), g.seqs[i]})
		}
	}
	if !s.options.ManualCompaction && s.needsCompaction() {
		s.compacting = true
		go s.runCompaction()
	}
}

func (e entry) size() int64 { return int64(len(e.key) + e.length + frameHeaderBytes + 8) }

func (s *Store) setEntry(e entry) {
	if old, was := s.index.ReplaceOrInsert(e); was {
		s.liveBytes -= old.size()
	}
	s.liveBytes += e.size()
}

func (s *Store) removeEntry(key string) {
	if old, was := s.index.Delete(entry{key: key}); was {
		s.liveBytes -= old.size()
	}
}

// Get returns a key's value.
func (s *Store) Get(key string) (value []byte, found bool, err error) {
	s.mu.Lock()
	e, found := s.index.Get(entry{key: key})
	if !found || s.closed {
		s.mu.Unlock()
		return nil, false, nil
	}
	e.seg.refs++
	s.mu.Unlock()
	defer s.releaseSegments(e.seg)
	value, err = e.read()
	return value, err == nil, err
}

func (e entry) read() ([]byte, error) {
	value := make([]byte, e.length)
	if n, err := e.seg.file.ReadAt(value, e.offset); n < e.length {
		return nil, fmt.Errorf("%s at byte %d: %w", e.seg.name, e.offset, err)
	}
	return value, nil
}

// let ends a reader's hold on a segment, which may have been its last.
func (s *Store) releaseSegments(segs ...*segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range segs {
		if seg.refs--; seg.refs == 0 && seg.obsolete {
			seg.file.Close()
		}
	}
}

// Snapshot is the store as it stood at a moment; writers do not disturb it. It holds files open until Release.
type Snapshot struct {
	store    *Store
	index    *btree.BTreeG[entry]
	segments []*segment
}

// Snapshot takes one.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := &Snapshot{store: s, index: s.index.Clone(), segments: slices.Clone(s.segments)}
	for _, seg := range snap.segments {
		seg.refs++
	}
	return snap
}

// Release lets go of a snapshot; it may not be used afterwards.
func (p *Snapshot) Release() {
	p.store.releaseSegments(p.segments...)
	p.segments = nil
}

// Each calls for every key with the prefix, in order, until it returns false or a value cannot be read.
func (p *Snapshot) Each(prefix string, each func(key string, value []byte) bool) (err error) {
	p.index.AscendGreaterOrEqual(entry{key: prefix}, func(e entry) bool {
		if !strings.HasPrefix(e.key, prefix) {
			return false
		}
		var value []byte
		if value, err = e.read(); err != nil {
			return false
		}
		return each(e.key, value)
	})
	return err
}

// Len is the number of keys.
func (p *Snapshot) Len() int { return p.index.Len() }

// Close waits for what is under way and lets go of the directory.
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
		if seg.obsolete = true; seg.refs == 0 {
			errs = append(errs, seg.file.Close())
		}
	}
	if s.unlock != nil {
		errs = append(errs, s.unlock())
	}
	return errors.Join(errs...)
}

func byID(a, b *segment) int { return cmp.Compare(a.id, b.id) }
