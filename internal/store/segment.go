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
	segmentIDDigits  = 16      // hexadecimal
	unfinishedSuffix = ".part" // of a segment that a compaction has not finished
)

// segment is a file of the log.
type segment struct {
	id        uint64
	name      string
	file      File
	size      int64
	compacted bool // written by compaction
	readers   int
	obsolete  bool // to be closed once nobody reads it
}

func segmentName(id uint64) string {
	return fmt.Sprintf("%s%0*x%s", segmentPrefix, segmentIDDigits, id, segmentSuffix)
}

// segmentID returns the id in the name of a segment's file; false: it is no segment.
func segmentID(name string) (id uint64, ok bool) {
	text, hasPrefix := strings.CutPrefix(name, segmentPrefix)
	text, hasSuffix := strings.CutSuffix(text, segmentSuffix)
	if !hasPrefix || !hasSuffix || len(text) != segmentIDDigits {
		return 0, false
	}
	id, err := strconv.ParseUint(text, 16, 64)
	return id, err == nil
}

// retire closes the file, or has the last reader close it.
func (s *segment) retire() error {
	s.obsolete = true
	if s.readers > 0 {
		return nil
	}
	return s.file.Close()
}

// readAll reads the whole file.
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

// createSegment creates a file with a header and syncs it; its directory is not synced yet. After an error there is
// no file.
func (s *Store) createSegment(name string, id uint64, replaces []uint64) (*segment, error) {
	file, err := s.files.Create(name)
	if err != nil {
		return nil, err
	}
	seg := &segment{id: id, name: name, file: file, compacted: len(replaces) > 0}
	head := encodeHeader(replaces)
	_, err = file.WriteAt(head, 0)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		s.discard(seg)
		return nil, err
	}
	seg.size = int64(len(head))
	return seg, nil
}

// discard closes and removes a new segment. If that fails, a file without batches, or one that is not finished,
// stays, which the next opening reads or removes.
func (s *Store) discard(seg *segment) {
	_ = seg.file.Close()
	_ = s.files.Remove(seg.name)
}
