package store

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	segmentPrefix    = "seg-"
	segmentSuffix    = ".log"
	segmentIDDigits  = 16      // hexadecimal digits
	unfinishedSuffix = ".part" // suffix of a segment that a compaction has not finished
)

// segment is one file of the log.
type segment struct {
	id        uint64
	name      string
	file      File
	size      int64
	compacted bool // written by a compaction
	readers   int  // reads and snapshots that use the file
	obsolete  bool // to be closed when readers is 0
}

func segmentName(id uint64) string {
	return fmt.Sprintf("%s%0*x%s", segmentPrefix, segmentIDDigits, id, segmentSuffix)
}

// segmentID returns the ID in the name of a segment's file. ok is false if the file is not a segment.
func segmentID(name string) (id uint64, ok bool) {
	text, hasPrefix := strings.CutPrefix(name, segmentPrefix)
	text, hasSuffix := strings.CutSuffix(text, segmentSuffix)
	if !hasPrefix || !hasSuffix || len(text) != segmentIDDigits {
		return 0, false
	}
	id, err := strconv.ParseUint(text, 16, 64)
	return id, err == nil
}

// retire marks the segment as obsolete. It closes the file if there are no readers; otherwise the last reader does.
func (s *segment) retire() error {
	s.obsolete = true
	if s.readers > 0 {
		return nil
	}
	return s.file.Close()
}

// readAll returns the content of the file.
func (s *segment) readAll() ([]byte, error) {
	size, err := s.file.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := s.file.ReadAt(b, 0); int64(n) < size && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: %w", s.name, err)
	}
	return b, nil
}

// createSegment creates a file with a header and syncs it. It doesn't sync the directory. If it fails, it removes the
// file.
func (s *Store) createSegment(name string, id uint64, replaces []uint64) (*segment, error) {
	file, err := s.files.Create(name)
	if err != nil {
		return nil, err
	}
	seg := &segment{id: id, name: name, file: file, compacted: len(replaces) > 0}
	encodedHeader := encodeHeader(replaces)
	_, err = file.WriteAt(encodedHeader, 0)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		s.discard(seg)
		return nil, err
	}
	seg.size = int64(len(encodedHeader))
	return seg, nil
}

// discard closes and removes a new segment. Errors are ignored: a file that is not removed is either a segment without
// batches, which the next Open reads, or an unfinished one, which it removes.
func (s *Store) discard(seg *segment) {
	_ = seg.file.Close()
	_ = s.files.Remove(seg.name)
}
