package store

const (
	defaultSegmentBytes          = 4 << 20
	defaultMaxGarbageRatio       = 0.5
	defaultCompactBytesPerSecond = 8 << 20
)

// Options configure a store. Zero values take the default in brackets.
type Options struct {
	// SegmentBytes is the size beyond which a segment is closed and the next one begun [4 MiB]. Smaller segments let
	// compaction free space sooner, and cost more files and syncs of the directory.
	SegmentBytes int64
	// MaxGarbageRatio is the part of the log that may be garbage before it is compacted [0.5]. A lower one keeps the
	// log smaller, and has live values written again more often.
	MaxGarbageRatio float64
	// CompactBytesPerSecond bounds how fast compaction writes [8 MiB]. A lower one leaves more of the disk to
	// commits, and lets the log grow further meanwhile.
	CompactBytesPerSecond int
	// ManualCompaction has the store compacted by Compact alone [in the background].
	ManualCompaction bool
	// ReadOnly opens the store without a lock and without any change, not even of a torn tail [false].
	ReadOnly bool
}

func (o Options) withDefaults() Options {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.MaxGarbageRatio == 0 {
		o.MaxGarbageRatio = defaultMaxGarbageRatio
	}
	if o.CompactBytesPerSecond == 0 {
		o.CompactBytesPerSecond = defaultCompactBytesPerSecond
	}
	return o
}
