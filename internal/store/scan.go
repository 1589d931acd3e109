package store

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// scanResult is the result of the scan of a segment.
type scanResult struct {
	size       int64
	validBytes int64 // up to the end of the last complete batch; 0: the header is incomplete
	batches    int
	lastSeq    uint64
}

// torn reports whether the segment ends in an incomplete header or batch.
func (r *scanResult) torn() bool { return r.validBytes < r.size || r.validBytes == 0 }

// scan decodes the content b of the segment in a file, and calls visit for each frame with its offset. Data that can't
// be decoded counts as the torn write of a crash if this is the last segment and no complete batch follows the data.
// Otherwise, and for a complete header that is invalid, scan returns a *CorruptionError, or an error that wraps
// ErrNewerVersion.
func scan(file string, b []byte, last bool, visit func(offset int64, f frame)) (scanResult, error) {
	result := scanResult{size: int64(len(b))}
	segmentHeader, err := decodeHeader(b)
	switch {
	case errors.Is(err, ErrNewerVersion):
		return result, fmt.Errorf("%s: %w", file, err)
	case err != nil:
		return result, &CorruptionError{File: file, BatchesAfter: countBatches(b, 0), Reason: err.Error()}
	case segmentHeader.length == 0 && !last:
		return result, &CorruptionError{File: file, Reason: "segment header is incomplete"}
	case segmentHeader.length == 0:
		return result, nil
	}
	result.validBytes = int64(segmentHeader.length)
	for result.validBytes < result.size {
		f, ok := decodeFrame(b[result.validBytes:])
		if !ok {
			batchesAfter := countBatches(b[result.validBytes+1:], result.lastSeq)
			if batchesAfter == 0 && last {
				return result, nil
			}
			return result, &CorruptionError{
				File:         file,
				Offset:       result.validBytes,
				BatchesAfter: batchesAfter,
				Reason:       "batch is truncated or does not match its checksum",
			}
		}
		visit(result.validBytes, f)
		result.batches++
		result.lastSeq = max(result.lastSeq, f.seq)
		result.validBytes += int64(f.length)
	}
	return result, nil
}

// maxSeqGap is the maximum difference between the sequence numbers of consecutive batches.
const maxSeqGap = 1 << 32

// countBatches counts complete batches at any offset in b, with sequence numbers above lastSeq.
func countBatches(b []byte, lastSeq uint64) (count int) {
	for offset := 0; offset+frameHeaderBytes <= len(b); {
		// Checking the sequence number first avoids the computation of a checksum at nearly all offsets.
		seq := binary.LittleEndian.Uint64(b[offset+2*uint32Bytes:])
		if seq > lastSeq && seq < lastSeq+maxSeqGap {
			if f, ok := decodeFrame(b[offset:]); ok {
				count++
				offset += f.length
				continue
			}
		}
		offset++
	}
	return count
}
