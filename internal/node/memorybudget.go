package node

// The memory for messages. What a single connection may hold is bounded by its buffers; a memoryBudget bounds the sum
// over all connections, as many small bounds add up to more than a node has.

import "sync/atomic"

// memoryHardFactor is the multiple of the limit from which on new requests are rejected: what every message needs is
// taken beyond the limit.
const memoryHardFactor = 2

// memoryBudget counts the bytes that buffers of messages hold: heads, bodies, and the buffers of streams. All methods are
// safe for concurrent use; a nil budget has no limit.
type memoryBudget struct {
	reserved atomic.Int64 // bytes
	limit    atomic.Int64 // bytes
}

// reserve reserves a number of bytes and reports whether the limit allows it.
func (b *memoryBudget) reserve(size int) bool {
	if b == nil {
		return true
	}
	if b.reserved.Add(int64(size)) > b.limit.Load() {
		b.reserved.Add(-int64(size))
		return false
	}
	return true
}

// force reserves a number of bytes regardless of the limit.
func (b *memoryBudget) force(size int) {
	if b != nil {
		b.reserved.Add(int64(size))
	}
}

func (b *memoryBudget) release(size int) { b.force(-size) }

// isScarce reports whether more than half of the limit is reserved.
func (b *memoryBudget) isScarce() bool { return b != nil && 2*b.reserved.Load() > b.limit.Load() }

// isExhausted reports whether so much is reserved that new requests must be rejected.
func (b *memoryBudget) isExhausted() bool {
	return b != nil && b.reserved.Load() > memoryHardFactor*b.limit.Load()
}
