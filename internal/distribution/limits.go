package distribution

import (
	"errors"
	"fmt"
)

const (
	// MaxFrameBytes is the size of the largest frame of a relay, without the four bytes of length before it.
	MaxFrameBytes = 64 << 10
	// MaxHelloBytes is the size of the largest hello.
	MaxHelloBytes = 256 << 10
	// MaxBodyBytes is the size of the largest body of a record: a record always fits into a frame.
	MaxBodyBytes = 16 << 10
	// MaxNameBytes is the size of the longest name of a scope or key.
	MaxNameBytes = 256
	// MaxPrefixes is how many selectors of a subscriber may be prefixes: each is looked at on every change.
	MaxPrefixes = 64
	// HeartbeatNs is the time between two frames to a subscriber for which there are no changes.
	HeartbeatNs = int64(1e9)
	// BurstNs is how far a relay may run ahead of a subscriber's pace.
	BurstNs = int64(250e6)
)

const (
	defaultMaxRecords     = 2 << 20
	defaultMaxBytes       = 1 << 30
	defaultMaxSubscribers = 8192
	defaultMaxSelectors   = 4096
	defaultMaxTombstones  = 64 << 10
)

// Limits bound what an origin, relay or subscriber holds; 0 stands for the default in brackets. What would go beyond a
// limit is refused with an error that wraps ErrLimit and names the limit.
type Limits struct {
	Records     int // held, with tombstones (2,097,152)
	Bytes       int // of scopes' names, keys and bodies held (1 GiB)
	Subscribers int // of a relay (8,192)
	Selectors   int // of a subscriber (4,096)
	Tombstones  int // that a relay keeps for subscribers that resume (65,536); at most a quarter of Records
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
	l.Tombstones = min(l.Tombstones, l.Records/4) // so that they never take the place of live records
	return l
}

// Errors that callers tell apart. After any error of Receive the connection must be closed; a new session begins with
// Hello or UpstreamHello.
var (
	// ErrLimit says that a limit would be exceeded.
	ErrLimit = errors.New("distribution: over a bound")
	// ErrBadFrame says that a frame could not be decoded, or contradicts itself.
	ErrBadFrame = errors.New("distribution: not a frame")
	// ErrBadHello says that a hello could not be decoded.
	ErrBadHello = errors.New("distribution: not a hello")
	// ErrFrameGap says that a frame of the session is missing.
	ErrFrameGap = errors.New("distribution: a frame is missing")
	// ErrMissingRecord says that the relay named a record without its body that the receiver does not hold.
	ErrMissingRecord = errors.New("distribution: a record is said to be held that is not")
	// ErrNotFollowed refuses a subscriber that selects more than the relay itself follows: it would take what is not
	// there for deleted.
	ErrNotFollowed = errors.New("distribution: this relay does not follow the scope")
)

func limitError(quantity string, limit, found int) error {
	return fmt.Errorf("%w: %s: at most %d, found %d", ErrLimit, quantity, limit, found)
}
