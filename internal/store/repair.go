package store

import (
	"cmp"
	"errors"
	"slices"
)

// RepairResult describes the result of a repair.
type RepairResult struct {
	Batches   int   // batches that were copied
	LostBytes int64 // bytes that could not be decoded
}

// Repair copies the complete batches of a corrupted store to another directory, in their order. Batches that can't be
// decoded are lost, so that a key that was changed or deleted by a lost batch may reappear with an earlier value. The
// corrupted directory is not changed. An error is ErrNotEmpty, or one of the file system or the new store.
func Repair(from, to Directory) (RepairResult, error) {
	existing, err := to.List()
	if err != nil {
		return RepairResult{}, err
	}
	if slices.ContainsFunc(existing, isSegmentName) {
		return RepairResult{}, ErrNotEmpty
	}
	names, err := from.List()
	if err != nil {
		return RepairResult{}, err
	}
	var frames []frame
	var repaired RepairResult
	for _, name := range slices.DeleteFunc(names, func(name string) bool { return !isSegmentName(name) }) {
		content, err := readFile(from, name)
		if err != nil {
			return RepairResult{}, err
		}
		found, lostBytes := salvage(content)
		frames = append(frames, found...)
		repaired.LostBytes += lostBytes
	}
	slices.SortStableFunc(frames, func(a, b frame) int { return cmp.Compare(a.seq, b.seq) })
	repaired.Batches, err = writeFrames(to, frames)
	return repaired, err
}

func isSegmentName(name string) bool {
	_, isSegment := segmentID(name)
	return isSegment
}

func readFile(files Directory, name string) ([]byte, error) {
	file, err := files.Open(name, false)
	if err != nil {
		return nil, err
	}
	content, err := (&segment{name: name, file: file}).readAll()
	_ = file.Close() // opened for reading only
	return content, err
}

// salvage returns the complete frames at any offset in the content of a segment, and the number of other bytes.
func salvage(content []byte) (frames []frame, lostBytes int64) {
	segmentHeader, err := decodeHeader(content)
	offset := segmentHeader.length
	if err != nil {
		offset = 0
	}
	for offset < len(content) {
		f, ok := decodeFrame(content[offset:])
		if !ok {
			offset++
			lostBytes++
			continue
		}
		frames = append(frames, f)
		offset += f.length
	}
	return frames, lostBytes
}

// writeFrames applies frames to a new store, and returns the number of those applied.
func writeFrames(files Directory, frames []frame) (batches int, err error) {
	s, _, err := OpenDirectory(files, Options{ManualCompaction: true})
	if err != nil {
		return 0, err
	}
	for _, f := range frames {
		if err := s.Apply(&Batch{ops: f.ops}); err != nil {
			return batches, errors.Join(err, s.Close())
		}
		batches++
	}
	return batches, s.Close()
}
