package store

// This file owns opening: reading all segments, cutting off the tail that a crash left, and clearing away what a
// compaction had replaced. It must never change a file before every segment was found to be whole.

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/google/btree"
)

// OpenFiles opens a directory by what is handed in for it.
func OpenDirectory(files Directory, o Options) (s *Store, r *Recovery, err error) {
	setDefault(&o.SegmentBytes, 4<<20)
	setDefault(&o.MaxGarbageRatio, 0.5)
	setDefault(&o.CompactBytesPerSecond, 8<<20)
	s = &Store{files: files, options: o, index: btree.NewG(16, entryLess), group: &commitGroup{}, nextID: 1}
	s.stateChanged = sync.NewCond(&s.mu)
	if !o.ReadOnly {
		if s.unlock, err = files.Lock(); err != nil {
			return nil, nil, err
		}
	}
	defer func() {
		if err != nil {
			for _, seg := range s.segments {
				seg.file.Close()
			}
			if s.unlock != nil {
				s.unlock()
			}
			s = nil
		}
	}()
	r = &Recovery{}
	all, removed, err := s.loadSegments(r)
	if err != nil || o.ReadOnly {
		return s, r, err
	}
	for _, name := range removed {
		if err := files.Remove(name); err != nil {
			return nil, nil, err
		}
		r.RemovedFiles = append(r.RemovedFiles, name)
	}
	if s.active == nil {
		return s, r, s.rollSegment()
	}
	return s, r, s.truncateTail(all, r)
}

func setDefault[T comparable](v *T, missing T) {
	var zero T
	if *v == zero {
		*v = missing
	}
}

// cutTail takes off what a crash left of a batch, so that what is written next follows whole ones.
func (s *Store) truncateTail(all []scanResult, r *Recovery) error {
	a := s.active
	tail := all[slices.IndexFunc(all, func(one scanResult) bool { return one.id == a.id })]
	if tail.validBytes == tail.size && tail.validBytes > 0 {
		return nil
	}
	r.TruncatedBytes, r.TruncatedFile = tail.size-tail.validBytes, a.name
	if err := a.file.Truncate(tail.validBytes); err != nil {
		return err
	}
	if a.size = tail.validBytes; a.size == 0 {
		head := encodeHeader(nil)
		if _, err := a.file.WriteAt(head, 0); err != nil {
			return err
		}
		a.size = int64(len(head))
	}
	return errors.Join(a.file.Sync(), s.files.SyncDir())
}

// newest is the last that the log says of a key.
type latestChange struct {
	entry
	removed bool
}

// readAll reads every segment and fills the index. It changes nothing and returns what may be removed.
func (s *Store) loadSegments(r *Recovery) (all []scanResult, removed []string, err error) {
	names, err := s.files.List()
	if err != nil {
		return nil, nil, err
	}
	heads := map[string]scanResult{}
	var lastLog uint64
	for _, name := range names {
		if strings.HasSuffix(name, partSuffix) {
			removed = append(removed, name)
			continue
		}
		id, is := segmentID(name)
		if !is {
			continue
		}
		seg, b, err := s.openSegment(name, id)
		if err != nil {
			return nil, nil, err
		}
		s.segments = append(s.segments, seg)
		s.nextID = max(s.nextID, id+1)
		_, replaces, err := decodeHeader(b)
		if errors.Is(err, ErrNewerVersion) {
			return nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		heads[name] = scanResult{id: id, replaces: replaces}
		if seg.compacted = len(replaces) > 0; !seg.compacted {
			lastLog = max(lastLog, id)
		}
	}
	var replaced []uint64
	for _, h := range heads {
		replaced = append(replaced, h.replaces...)
	}
	words := map[string]latestChange{}
	kept := s.segments[:0]
	for _, seg := range s.segments {
		if slices.Contains(replaced, seg.id) {
			seg.file.Close()
			removed = append(removed, seg.name)
			continue
		}
		kept = append(kept, seg)
	}
	s.segments = kept
	slices.SortFunc(s.segments, byID)
	for _, seg := range s.segments {
		b, err := readSegment(seg)
		if err != nil {
			return nil, nil, err
		}
		one, err := scan(seg.name, b, seg.id == lastLog, func(seq uint64, at int64, ops []operation) {
			for _, o := range ops {
				if old, was := words[o.key]; !was || seq >= old.seq {
					words[o.key] = latestChange{entry{o.key, seg, at + int64(o.valueOffset), len(o.value), seq}, o.remove}
				}
			}
		})
		if err != nil {
			return nil, nil, err
		}
		if seg.size = one.validBytes; !seg.compacted && seg.id == lastLog {
			s.active = seg
		}
		r.Segments++
		r.Batches += one.batches
		s.seq = max(s.seq, one.lastSeq)
		all = append(all, one)
	}
	for _, w := range words {
		if !w.removed {
			s.setEntry(w.entry)
		}
	}
	r.Keys = s.index.Len()
	return all, removed, nil
}

func (s *Store) openSegment(name string, id uint64) (*segment, []byte, error) {
	f, err := s.files.Open(name, !s.options.ReadOnly)
	if err != nil {
		return nil, nil, err
	}
	seg := &segment{id: id, name: name, file: f}
	b, err := readSegment(seg)
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return seg, b, nil
}

func readSegment(seg *segment) ([]byte, error) {
	size, err := seg.file.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := seg.file.ReadAt(b, 0); int64(n) < size && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: %w", seg.name, err)
	}
	return b, nil
}

// Repair copies what can be read of a damaged directory into another, batch by batch in their order, and tells how many
// bytes it had to leave. What stands between two whole batches is lost, so a key may come back that a lost batch had
// changed or removed; nobody can tell. The damaged directory is left as it is.
func Repair(from, to Directory) (batches int, lost int64, err error) {
	existing, err := to.List()
	if err != nil {
		return 0, 0, err
	}
	for _, name := range existing {
		if _, is := segmentID(name); is {
			return 0, 0, errors.New("the directory to repair into holds a store already")
		}
	}
	names, err := from.List()
	if err != nil {
		return 0, 0, err
	}
	type batch struct {
		seq uint64
		ops []operation
	}
	var found []batch
	for _, name := range names {
		id, is := segmentID(name)
		if !is {
			continue
		}
		f, err := from.Open(name, false)
		if err != nil {
			return 0, 0, err
		}
		b, err := readSegment(&segment{id: id, name: name, file: f})
		f.Close()
		if err != nil {
			return 0, 0, err
		}
		at, _, err := decodeHeader(b)
		if err != nil {
			at = 0
		}
		for at < len(b) {
			n, seq, ops := decodeFrame(b[at:])
			if n == 0 {
				at++
				lost++
				continue
			}
			found = append(found, batch{seq, ops})
			at += n
		}
	}
	slices.SortStableFunc(found, func(a, b batch) int {
		if a.seq < b.seq {
			return -1
		} else if a.seq > b.seq {
			return 1
		}
		return 0
	})
	out, _, err := OpenDirectory(to, Options{ManualCompaction: true})
	if err != nil {
		return 0, 0, err
	}
	for _, one := range found {
		b := Batch{ops: one.ops}
		if err := out.Apply(&b); err != nil {
			return batches, lost, errors.Join(err, out.Close())
		}
		batches++
	}
	return batches, lost, out.Close()
}
