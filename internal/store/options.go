package store

const (
	defaultSegmentBytes          = 4 << 20
	defaultMaxGarbageRatio       = 0.5
	defaultCompactBytesPerSecond = 8 << 20
)

// Options configure a store. The default for the zero value is in brackets.
type Options struct {
	// SegmentBytes is the size in bytes beyond which a segment is closed and a new one is created [4 MiB]. Smaller
	// segments allow compaction to free space sooner, at the cost of more files and syncs of the directory.
	SegmentBytes int64
	// MaxGarbageRatio is the fraction of the log that may be garbage before the log is compacted [0.5]. A lower ratio
	// keeps the log smaller, but copies live values more often.
	MaxGarbageRatio float64
	// CompactBytesPerSecond is the maximum write rate of a compaction [8 MiB]. A lower rate leaves more of the disk's
	// throughput to commits, but lets the log grow further during a compaction.
	CompactBytesPerSecond int
	// ManualCompaction disables compaction in the background: only Compact compacts the store [false].
	ManualCompaction bool
	// ReadOnly opens the store without locking the directory and without changing any file; a torn tail is not truncated
	// either [false].
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
