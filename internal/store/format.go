package store

import (
	"encoding/binary"
	"hash/crc32"
	"strings"
)

// The format of a segment; numbers are little-endian and checksums are CRC-32C. A segment begins with a header: magic,
// format version, the count and the IDs of the segments that it replaces, and a checksum of the preceding fields.
// Frames follow, each with one batch: length of the payload, checksum of the rest of the frame, sequence number,
// payload. The payload is the count of operations, followed by the kind, the key and, for a put, the value of each
// operation. Counts and lengths in the payload are uvarints.
const (
	magic            = "fgstore\n"
	formatVersion    = 1
	uint32Bytes      = 4
	uint64Bytes      = 8
	fixedHeaderBytes = len(magic) + 3*uint32Bytes // format version, count of replaced segments, checksum
	frameHeaderBytes = 2*uint32Bytes + uint64Bytes
	maxPayloadBytes  = 16 << 20
	maxKeyBytes      = 4 << 10
	maxReplaced      = 1 << 20

	kindPut    = 0
	kindDelete = 1

	initialFrameBytes = 256
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// header is the decoded header of a segment.
type header struct {
	length   int // bytes; 0: the header is incomplete
	replaces []uint64
}

func encodeHeader(replaces []uint64) []byte {
	b := []byte(magic)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(replaces)))
	for _, id := range replaces {
		b = binary.LittleEndian.AppendUint64(b, id)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
}

// decodeHeader decodes the header at the beginning of b. If the header is truncated, or its count exceeds maxReplaced,
// it returns length 0 and no error.
func decodeHeader(b []byte) (header, error) {
	if !strings.HasPrefix(magic, string(b[:min(len(b), len(magic))])) {
		return header{}, errNotSegment
	}
	if len(b) < fixedHeaderBytes {
		return header{}, nil
	}
	if binary.LittleEndian.Uint32(b[len(magic):]) > formatVersion {
		return header{}, ErrNewerVersion
	}
	count := int(binary.LittleEndian.Uint32(b[len(magic)+uint32Bytes:]))
	length := fixedHeaderBytes + uint64Bytes*count
	if count > maxReplaced || len(b) < length {
		return header{}, nil
	}
	if crc32.Checksum(b[:length-uint32Bytes], crcTable) != binary.LittleEndian.Uint32(b[length-uint32Bytes:]) {
		return header{}, errBadChecksum
	}
	h := header{length: length}
	ids := b[len(magic)+2*uint32Bytes:]
	for i := range count {
		h.replaces = append(h.replaces, binary.LittleEndian.Uint64(ids[uint64Bytes*i:]))
	}
	return h, nil
}

// operation is a put or a delete in a batch.
type operation struct {
	key         string
	value       []byte
	isDelete    bool
	valueOffset int // offset of the value in the frame
}

// encodeFrame encodes a batch as a frame, and sets valueOffset of its operations.
func encodeFrame(seq uint64, ops []operation) []byte {
	b := make([]byte, frameHeaderBytes, initialFrameBytes)
	binary.LittleEndian.PutUint64(b[2*uint32Bytes:], seq)
	b = binary.AppendUvarint(b, uint64(len(ops)))
	for i := range ops {
		op := &ops[i]
		kind := byte(kindPut)
		if op.isDelete {
			kind = kindDelete
		}
		b = append(b, kind)
		b = binary.AppendUvarint(b, uint64(len(op.key)))
		b = append(b, op.key...)
		if !op.isDelete {
			b = binary.AppendUvarint(b, uint64(len(op.value)))
			op.valueOffset = len(b)
			b = append(b, op.value...)
		}
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes))
	binary.LittleEndian.PutUint32(b[uint32Bytes:], frameChecksum(b))
	return b
}

// frameChecksum returns the checksum of a frame. It covers the whole frame except the checksum itself.
func frameChecksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[:uint32Bytes], crcTable), crcTable, frame[2*uint32Bytes:])
}

// frame is a decoded frame.
type frame struct {
	length int // bytes
	seq    uint64
	ops    []operation
}

// decodeFrame decodes the frame at the beginning of b. It returns false if there is no complete and valid one.
func decodeFrame(b []byte) (frame, bool) {
	if len(b) < frameHeaderBytes {
		return frame{}, false
	}
	payloadBytes := int64(binary.LittleEndian.Uint32(b))
	if payloadBytes > maxPayloadBytes || int64(len(b)) < frameHeaderBytes+payloadBytes {
		return frame{}, false
	}
	b = b[:frameHeaderBytes+payloadBytes]
	if frameChecksum(b) != binary.LittleEndian.Uint32(b[uint32Bytes:]) {
		return frame{}, false
	}
	r := payloadReader{frame: b, offset: frameHeaderBytes}
	var ops []operation
	for range r.uvarint() {
		op, ok := r.operation()
		if !ok {
			return frame{}, false
		}
		ops = append(ops, op)
	}
	if r.failed || r.offset != len(b) {
		return frame{}, false
	}
	return frame{length: len(b), seq: binary.LittleEndian.Uint64(b[2*uint32Bytes:]), ops: ops}, true
}

// payloadReader decodes the payload of a frame.
type payloadReader struct {
	frame  []byte
	offset int
	failed bool
}

func (r *payloadReader) uvarint() int {
	v, n := binary.Uvarint(r.frame[r.offset:])
	if n <= 0 || v > maxPayloadBytes {
		r.failed = true
		return 0
	}
	r.offset += n
	return int(v)
}

// bytes reads a length and that number of bytes.
func (r *payloadReader) bytes() []byte {
	n := r.uvarint()
	if r.failed || r.offset+n > len(r.frame) {
		r.failed = true
		return nil
	}
	b := r.frame[r.offset : r.offset+n]
	r.offset += n
	return b
}

func (r *payloadReader) operation() (operation, bool) {
	if r.failed || r.offset >= len(r.frame) {
		return operation{}, false
	}
	op := operation{isDelete: r.frame[r.offset] == kindDelete}
	r.offset++
	op.key = string(r.bytes())
	if !op.isDelete && !r.failed {
		op.value = r.bytes()
		op.valueOffset = r.offset - len(op.value)
	}
	return op, !r.failed
}
