// Package distribution is how endpoints and configuration come to nodes: incrementally, by scope, at a bounded rate, through
// relays. It has three parts. An Origin owns truth and gives every change the next version within its epoch. A Relay holds the
// newest state of each record, not a log, and sends each subscriber what it lacks at its pace. A Subscriber keeps the records of
// its scopes and resumes after a position. It has no I/O, no clock and no goroutine: time is told, frames go in and out as bytes,
// and the same calls give the same result. It must never claim a scope to be whole that it does not know to be, and never bring
// back what was told to be gone.
//
// What holds, whatever is repeated, lost, late or started anew:
//
//   - A record's state gives way to a newer one alone, by epoch, then version. What is not held and not newer than the position of
//     its scope is dead. An epoch that was heard of is never gone back on: a relay of an older one has nothing to say.
//   - A position (epoch, through) says that all changes of the scope up to through are known. Only a relay that is whole by its
//     own upstream's word gives one, so emptiness comes from the origin alone, never from a relay that has just started.
//   - A subscriber goes on after its position. Where that is below the relay's floor, or of another epoch, the scope is told anew:
//     begin, records, end, and what was not named and is not newer than the end goes. What the position says is held is named
//     without its body. The floor is the newest tombstone that was given up, or the position at which the relay was itself last
//     told anything anew: what came and went before, it may never have known.
//   - A frame counts in its session and its turn alone: a new hello voids what an old connection still brings.
//   - A spoilt or unknown record is passed over, and its scope keeps what it has until it is told anew without one.
//
// Bounds, for records with k bytes of key and b of body in scopes of n bytes of name; measured by the benchmarks beside.
//
//   - From nothing a subscriber of S scopes and R records is told in at most R(k+b+16) + S(n+16) bytes, by name alone in
//     R(k+12) + S(n+16). A change is n+k+b+48 bytes, however often the record changed meanwhile. A heartbeat, once a second, is 40,
//     and 3 for each of at most 32 scopes that wait. A hello is S(n+8), at most S(n+26) where every scope has a position of its own.
//   - At a pace of p bytes a second any w seconds bring at most p(w+0.25) bytes, one frame (the larger of p/8 and one record) and
//     the heartbeats. No frame is over MaxFrame, so no message holds the whole fleet; one frame at a time is made.
//   - In force at depth d: the sum over d ways of the way's delay, one frame at its pace, and what waits of the same class and
//     those before at the pace. A burst of N records that all concern a node waits N(n+k+b+16)/p seconds at the last way; a
//     withdrawal waits for withdrawals and one frame. An age is at most d heartbeats and the ways' delays while all stands.
//   - A subscriber holds under 200 bytes a record with its part of the scope (2.4 records in each), and k+b where they are not
//     shared. A relay holds 215 bytes a record beside k+b and its part of n, and 110 a selector of a subscriber, whatever that
//     has missed: no log, cursors. Tombstones are at most Limits.Tombstones, beside those that are newer than what is claimed.
//   - A change costs a relay the logarithm of its records, the subscribers of the scope and those with prefixes; a heartbeat costs
//     either end the same for any number of scopes. A resumption looks at what is newer; only where a relay came to know a
//     scope's records out of the order of versions, at all of that scope.
package distribution

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
)

const (
	// MaxFrame is the most bytes that a frame from a relay may have, without the four bytes of length before it.
	MaxFrameBytes = 64 << 10
	// MaxHello is the most bytes that a hello may have.
	MaxHelloBytes = 256 << 10
	// MaxBody is the most bytes that the body of a record may have: a record always fits into a frame.
	MaxBodyBytes = 16 << 10
	// MaxName is the most bytes that a scope or a key may have.
	MaxNameBytes = 256
	// MaxPrefixes is how many selectors of a subscriber may be prefixes: each is looked at on every change.
	MaxPrefixes = 64
	// Heartbeat is the time between two frames to a subscriber that has nothing to be told, nanoseconds.
	HeartbeatNs = int64(1e9)
	// Burst is how far a relay may run ahead of a subscriber's pace, nanoseconds.
	BurstNs = int64(250e6)
)

// Class is the order in which records go out: a withdrawal goes before any endpoint, an endpoint before any configuration.
type Class uint8

// The classes, first to last.
const (
	ClassWithdrawal    Class = iota // an endpoint that drains or has gone
	ClassEndpoint                   // an endpoint that serves
	ClassConfiguration              // a route, a tenant, a service
	classCount
)

func (c Class) withdrawn() Class {
	if c == ClassEndpoint {
		return ClassWithdrawal
	}
	return c
}

// Record is the newest state of one key of a scope. Whoever is given one must not change its Body.
type Record struct {
	Scope, Key string
	Class      Class
	Epoch      uint64
	Version    uint64 // of the change that made it so, within Epoch
	Deleted    bool
	Body       []byte // not looked at
}

// Change is what became of a record at a subscriber.
type Change struct {
	Record
	Old   []byte // the body before; nil where there was none
	Swept bool   // gone because a whole scope came without it
}

// Position says that all changes up to Through of Epoch are known. The zero value says that nothing is.
type Position struct{ Epoch, Through uint64 }

func (p Position) compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Through, q.Through))
}

// Selector names one scope, or all whose name begins with Scope ("" and Prefix: all), also those that are born later.
type Selector struct {
	Scope  string
	Prefix bool
}

func (s Selector) covers(scope string) bool {
	return s.Scope == scope || s.Prefix && strings.HasPrefix(scope, s.Scope)
}

// Limits bound what a part holds; 0 stands for the default in brackets. What would go beyond is refused with an error that wraps
// ErrLimit and names the bound.
type Limits struct {
	Records     int // held, tombstones among them (2,097,152)
	Bytes       int // of scopes' names, keys and bodies held (1 GiB)
	Subscribers int // of a relay (8,192)
	Selectors   int // of a subscriber (4,096)
	Tombstones  int // that a relay holds beyond what it must (65,536)
}

func (l Limits) filled() Limits {
	fill := func(v *int, byDefault int) {
		if *v <= 0 {
			*v = byDefault
		}
	}
	fill(&l.Records, 2<<20)
	fill(&l.Bytes, 1<<30)
	fill(&l.Subscribers, 8192)
	fill(&l.Selectors, 4096)
	fill(&l.Tombstones, 64<<10)
	l.Tombstones = min(l.Tombstones, l.Records/4) // so that they never take the room of what is there
	return l
}

// Errors that callers tell apart. After any error of Take the connection is to be ended; Hello or Upstream begins anew.
var (
	ErrLimit         = errors.New("distribution: over a bound")
	ErrBadFrame      = errors.New("distribution: not a frame")
	ErrBadHello      = errors.New("distribution: not a hello")
	ErrFrameGap      = errors.New("distribution: a frame is missing")
	ErrMissingRecord = errors.New("distribution: a record is said to be held that is not")
	// ErrNotFollowed refuses a subscriber that asks for more than the relay itself takes: it would take what is not there for gone.
	ErrNotFollowed = errors.New("distribution: this relay does not follow the scope")
)

func limitError(what string, bound, found int) error {
	return fmt.Errorf("%w: %s: at most %d, found %d", ErrLimit, what, bound, found)
}

// Stats are counters since the start, and what is held now.
type Stats struct {
	Epoch          uint64 `json:"Epoch"`
	Through        uint64 `json:"Through"` // the position; of a relay what it claims
	Complete       bool   `json:"Whole"`
	Records        int    `json:"Records"`
	Tombstones     int    `json:"Tombstones"`
	Scopes         int    `json:"Scopes"`
	Bytes          int    `json:"Bytes"` // held now; Records without Tombstones
	Subscribers    int    `json:"Subscribers"`
	Selectors      int    `json:"Selectors"` // of a relay now
	Floor          uint64 `json:"Floor"`
	Frames         int64  `json:"Frames"`
	FrameBytes     int64  `json:"FrameBytes"` // taken
	Sent           int64  `json:"Sent"`
	SentBytes      int64  `json:"SentBytes"`
	SentRecords    int64  `json:"SentRecords"` // by a relay
	SentKeysOnly   int64  `json:"SentNames"`   // of SentRecords those without a body, as the subscriber held it
	Resumed        int64  `json:"Resumed"`
	Snapshots      int64  `json:"Anew"` // selectors that were resumed after their position, and those that were sent anew
	Applied        int64  `json:"Applied"`
	Repeated       int64  `json:"Repeated"`
	Stale          int64  `json:"Stale"`
	Swept          int64  `json:"Swept"` // records taken: newer, the same again, older than what is known; gone with a whole scope
	InvalidRecords int64  `json:"Spoilt"`
	ForeignRecords int64  `json:"Foreign"`
	StaleFrames    int64  `json:"OldFrames"`
	RefusedHellos  int64  `json:"Refused"` // records passed over; frames of another session or epoch; hellos refused
	LastInvalid    string `json:"LastSpoilt"`
}
