package distribution

import (
	"errors"
	"fmt"
)

const (
	// MaxFrameBytes is the maximum size of a frame that a relay sends, without its four-byte length prefix.
	MaxFrameBytes = 64 << 10
	// MaxHelloBytes is the maximum size of a hello.
	MaxHelloBytes = 256 << 10
	// MaxBodyBytes is the maximum size of a record's body, so that a record always fits into a frame.
	MaxBodyBytes = 16 << 10
	// MaxNameBytes is the maximum length of a scope's name or a key.
	MaxNameBytes = 256
	// MaxPrefixes is the maximum number of prefix selectors of a subscriber: each is matched against every change.
	MaxPrefixes = 64
	// HeartbeatNs is the interval between frames to a subscriber for which there are no changes.
	HeartbeatNs = int64(1e9)
	// BurstNs is how far a relay may send ahead of a subscriber's pace.
	BurstNs = int64(250e6)
)

const (
	defaultMaxRecords     = 2 << 20
	defaultMaxBytes       = 1 << 30
	defaultMaxSubscribers = 8192
	defaultMaxSelectors   = 4096
	defaultMaxTombstones  = 64 << 10
)

// Limits bounds what an origin, relay or subscriber holds; 0 selects the default in parentheses. An operation that
// would exceed a limit fails with an error that wraps ErrLimit and names the limit.
type Limits struct {
	Records     int // records held, including tombstones (2,097,152)
	Bytes       int // total size of the scope names, keys and bodies held (1 GiB)
	Subscribers int // subscribers of a relay (8,192)
	Selectors   int // selectors of a subscriber (4,096)
	Tombstones  int // tombstones that a relay keeps for resuming subscribers (65,536); at most a quarter of Records
}

func (l Limits) withDefaults() Limits {
	setDefault := func(limit *int, byDefault int) {
		if *limit <= 0 {
			*limit = byDefault
		}
	}
	setDefault(&l.Records, defaultMaxRecords)
	setDefault(&l.Bytes, defaultMaxBytes)
	setDefault(&l.Subscribers, defaultMaxSubscribers)
	setDefault(&l.Selectors, defaultMaxSelectors)
	setDefault(&l.Tombstones, defaultMaxTombstones)
	l.Tombstones = min(l.Tombstones, l.Records/4) // so that tombstones never crowd out live records
	return l
}

// Errors that callers distinguish. After any error from Receive the caller must close the connection; Hello or
// UpstreamHello starts a new session.
var (
	// ErrLimit reports that a limit would be exceeded.
	ErrLimit = errors.New("distribution: limit exceeded")
	// ErrBadFrame reports that a frame could not be decoded or contradicts itself.
	ErrBadFrame = errors.New("distribution: invalid frame")
	// ErrBadHello reports that a hello could not be decoded.
	ErrBadHello = errors.New("distribution: invalid hello")
	// ErrFrameGap reports that a frame of the session is missing.
	ErrFrameGap = errors.New("distribution: missing frame in session")
	// ErrMissingRecord reports that the relay sent a record without its body although the receiver doesn't hold it.
	ErrMissingRecord = errors.New("distribution: relay sent a key without a body for a record that is not held")
	// ErrNotFollowed rejects a subscriber that selects more than the relay itself follows: the subscriber would treat
	// the records that the relay lacks as deleted.
	ErrNotFollowed = errors.New("distribution: this relay does not follow the scope")
)

func limitError(quantity string, limit, found int) error {
	return fmt.Errorf("%w: %s: at most %d, found %d", ErrLimit, quantity, limit, found)
}
