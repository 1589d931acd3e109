package store

import (
	"cmp"
	"errors"
	"slices"
)

// Repaired describes what a repair has copied.
type RepairResult struct {
	Batches   int
	LostBytes int64 // that could not be read
}

// Repair copies what can be read of a damaged store to another directory, batch by batch in their order. What is
// between two whole batches is lost, so that a key may come back that a lost batch had changed or deleted. The
// damaged directory is left as it is. An error is ErrNotEmpty, or a disk's.
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
	_ = file.Close() // opened for reading alone
	return content, err
}

// salvage returns the whole frames in the content of a segment, wherever they are, and how many bytes are none.
func salvage(content []byte) (frames []frame, lostBytes int64) {
	head, err := decodeHeader(content)
	offset := head.length
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

// writeFrames applies frames to a new store, and returns how many it has applied.
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
