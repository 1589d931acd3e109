package store

// This file owns the form of the log on disk: segments, frames and batches, and reading them back. It must never take
// for good what a checksum does not bear out, nor pass over a damaged middle.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A segment begins with a head: magic, version, the segments that it replaces, and a checksum of all that. Frames
// follow, each a batch: length of the payload, CRC-32C of the rest of the frame, sequence, payload. Numbers are little
// endian.
const (
	magic            = "fgstore\n"
	version          = 1
	fixedHeaderBytes = len(magic) + 4 + 4 + 4 // version, count of the replaced, checksum
	frameHeaderBytes = 4 + 4 + 8
	maxPayloadBytes  = 16 << 20
	maxKeyBytes      = 4 << 10
	namePrefix       = "seg-"
	nameSuffix       = ".log"
	partSuffix       = ".part"
)

var (
	crcTable = crc32.MakeTable(crc32.Castagnoli)
	// ErrNewer is a file from a version of the program that this one does not know.
	ErrNewerVersion = errors.New("written by a newer version of this program")
)

// Damage is a place in the log, before its tail, that cannot be read. Nothing was changed.
type CorruptionError struct {
	File         string
	Offset       int64
	BatchesAfter int // whole batches that can be read after it
	Reason       string
}

func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; %d whole batches can be read after it", d.File, d.Offset, d.Reason, d.BatchesAfter)
}

func segmentName(id uint64) string { return fmt.Sprintf("%s%016x%s", namePrefix, id, nameSuffix) }

func segmentID(name string) (id uint64, ok bool) {
	text, ok := strings.CutPrefix(name, namePrefix)
	if !ok {
		return 0, false
	}
	if text, ok = strings.CutSuffix(text, nameSuffix); !ok || len(text) != 16 {
		return 0, false
	}
	id, err := strconv.ParseUint(text, 16, 64)
	return id, err == nil
}

func encodeHeader(replaces []uint64) []byte {
	b := append([]byte(nil), magic...)
	b = binary.LittleEndian.AppendUint32(b, version)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(replaces)))
	for _, id := range replaces {
		b = binary.LittleEndian.AppendUint64(b, id)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
}

// readHead returns the length of a segment's head; 0 if it is not whole.
func decodeHeader(b []byte) (length int, replaces []uint64, err error) {
	if len(b) < fixedHeaderBytes {
		if !strings.HasPrefix(magic, string(b[:min(len(b), len(magic))])) {
			return 0, nil, errors.New("not a segment of a store")
		}
		return 0, nil, nil
	}
	if string(b[:len(magic)]) != magic {
		return 0, nil, errors.New("not a segment of a store")
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v > version {
		return 0, nil, ErrNewerVersion
	}
	count := int(binary.LittleEndian.Uint32(b[len(magic)+4:]))
	length = fixedHeaderBytes + 8*count
	if count > 1<<20 || len(b) < length {
		return 0, nil, nil
	}
	for i := range count {
		replaces = append(replaces, binary.LittleEndian.Uint64(b[len(magic)+8+8*i:]))
	}
	if crc32.Checksum(b[:length-4], crcTable) != binary.LittleEndian.Uint32(b[length-4:]) {
		return 0, nil, errors.New("head does not match its checksum")
	}
	return length, replaces, nil
}

// op is one change within a batch.
type operation struct {
	key         string
	value       []byte
	remove      bool
	valueOffset int // of the value, within its frame
}

func encodeFrame(seq uint64, ops []operation) []byte {
	b := make([]byte, frameHeaderBytes, 256)
	binary.LittleEndian.PutUint64(b[8:], seq)
	b = binary.AppendUvarint(b, uint64(len(ops)))
	for i := range ops {
		kind := byte(0)
		if ops[i].remove {
			kind = 1
		}
		b = append(b, kind)
		b = binary.AppendUvarint(b, uint64(len(ops[i].key)))
		b = append(b, ops[i].key...)
		if !ops[i].remove {
			b = binary.AppendUvarint(b, uint64(len(ops[i].value)))
			ops[i].valueOffset = len(b)
			b = append(b, ops[i].value...)
		}
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes))
	binary.LittleEndian.PutUint32(b[4:], crc32.Update(crc32.Checksum(b[:4], crcTable), crcTable, b[8:]))
	return b
}

// readFrame reads the frame at the beginning of b; length 0 means that there is no whole one.
func decodeFrame(b []byte) (length int, seq uint64, ops []operation) {
	if len(b) < frameHeaderBytes {
		return 0, 0, nil
	}
	size := int64(binary.LittleEndian.Uint32(b))
	if size > maxPayloadBytes || int64(len(b)) < frameHeaderBytes+size {
		return 0, 0, nil
	}
	length = frameHeaderBytes + int(size)
	if crc32.Update(crc32.Checksum(b[:4], crcTable), crcTable, b[8:length]) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, 0, nil
	}
	at := frameHeaderBytes
	number := func() int {
		v, n := binary.Uvarint(b[at:length])
		if n <= 0 || v > maxPayloadBytes {
			at = length + 1
			return 0
		}
		at += n
		return int(v)
	}
	for range number() {
		if at >= length {
			return 0, 0, nil
		}
		o := operation{remove: b[at] == 1}
		at++
		n := number()
		if at+n > length {
			return 0, 0, nil
		}
		o.key = string(b[at : at+n])
		at += n
		if !o.remove {
			n = number()
			if at+n > length {
				return 0, 0, nil
			}
			o.valueOffset, o.value = at, b[at:at+n]
			at += n
		}
		ops = append(ops, o)
	}
	if at != length {
		return 0, 0, nil
	}
	return length, binary.LittleEndian.Uint64(b[8:]), ops
}

// scanned is a segment as read from its file.
type scanResult struct {
	id         uint64
	replaces   []uint64
	validBytes int64 // bytes up to the end of the last whole batch; 0 if not even the head is whole
	size       int64
	batches    int
	lastSeq    uint64
}

// scan reads a segment and calls each for every batch. What cannot be read is the tail of a crash, if this is the last
// segment and no whole batch comes after it; everything else is damage.
func scan(name string, b []byte, last bool, each func(seq uint64, at int64, ops []operation)) (scanResult, error) {
	id, _ := segmentID(name)
	s := scanResult{id: id, size: int64(len(b))}
	head, replaces, err := decodeHeader(b)
	switch {
	case errors.Is(err, ErrNewerVersion):
		return s, fmt.Errorf("%s: %w", name, err)
	case err != nil:
		return s, &CorruptionError{name, 0, countBatchesAfter(b, 0, 0), err.Error()}
	case head == 0:
		if !last {
			return s, &CorruptionError{name, 0, 0, "head is not whole"}
		}
		return s, nil
	}
	s.replaces, s.validBytes = replaces, int64(head)
	for s.validBytes < s.size {
		n, seq, ops := decodeFrame(b[s.validBytes:])
		if n == 0 {
			if found := countBatchesAfter(b, int(s.validBytes)+1, s.lastSeq); found > 0 || !last {
				return s, &CorruptionError{name, s.validBytes, found, "a batch does not match its checksum or is cut off"}
			}
			return s, nil
		}
		each(seq, s.validBytes, ops)
		s.batches++
		s.lastSeq = max(s.lastSeq, seq)
		s.validBytes += int64(n)
	}
	return s, nil
}

// after counts whole batches anywhere from a place on.
func countBatchesAfter(b []byte, from int, lastSeq uint64) (found int) {
	for from+frameHeaderBytes <= len(b) {
		// The sequence rules nearly every place out before its checksum is worked out.
		if seq := binary.LittleEndian.Uint64(b[from+8:]); seq > lastSeq && seq < lastSeq+1<<32 {
			if n, _, _ := decodeFrame(b[from:]); n > 0 {
				found++
				from += n
				continue
			}
		}
		from++
	}
	return found
}
