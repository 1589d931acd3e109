package relay

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"fawnglade/internal/distribution"

	"github.com/cespare/xxhash/v2"
)

// ClientConfig configures a client. Zero values take the default in brackets.
type ClientConfig struct {
	Name      string   // of who follows: seeds the jitter, and the order of upstreams with SpreadByName
	Upstreams []string // addresses with ports, at least one
	// SpreadByName has each name try upstreams in an order of its own, by rendezvous hashing, so that the clients of
	// one that fails spread over all others. Without it, the order is as given.
	SpreadByName  bool
	MaxFrameBytes int // a longer frame ends the connection [distribution.MaxFrameBytes]

	// ConnectTimeout bounds connecting and the greeting [700 ms]. A shorter one leaves a stopped upstream sooner, and
	// fails on slow paths.
	ConnectTimeout time.Duration
	// SilenceTimeout is how long an upstream may send nothing before it is left [2.5 s]. Heartbeats come every second.
	SilenceTimeout time.Duration
	// FrameTimeout bounds one frame, from its first byte [5 s].
	FrameTimeout time.Duration
	// MaxLag is how far an upstream may be behind before it is left for another, if there is one [4 s].
	MaxLag time.Duration
	// FailbackDelay is how long after it was left the first choice is tried again, and up to as much more [30 s].
	FailbackDelay time.Duration
	// MaxBackoff is the longest wait after a round in which all upstreams failed [3 s].
	MaxBackoff time.Duration

	// Dial opens a connection [TCP without keep-alive].
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock is monotonic, in nanoseconds [NewClock].
	Clock func() int64
	// OnState is called by the client's goroutine, and must not block [none].
	OnState func(ClientState)
}

const (
	defaultMaxFrameBytes  = distribution.MaxFrameBytes
	defaultConnectTimeout = 700 * time.Millisecond
	defaultSilenceTimeout = 2500 * time.Millisecond
	defaultFrameTimeout   = 5 * time.Second
	defaultMaxLag         = 4 * time.Second
	defaultFailbackDelay  = 30 * time.Second
	defaultMaxBackoff     = 3 * time.Second
)

func (c ClientConfig) withDefaults() ClientConfig {
	c.MaxFrameBytes = cmp.Or(c.MaxFrameBytes, defaultMaxFrameBytes)
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, defaultConnectTimeout)
	c.SilenceTimeout = cmp.Or(c.SilenceTimeout, defaultSilenceTimeout)
	c.FrameTimeout = cmp.Or(c.FrameTimeout, defaultFrameTimeout)
	c.MaxLag = cmp.Or(c.MaxLag, defaultMaxLag)
	c.FailbackDelay = cmp.Or(c.FailbackDelay, defaultFailbackDelay)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, defaultMaxBackoff)
	if c.Clock == nil {
		c.Clock = NewClock()
	}
	if c.Dial == nil {
		dialer := &net.Dialer{KeepAlive: -1}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return c
}

// upstreamOrder returns the upstreams in the order in which the client tries them.
func (c ClientConfig) upstreamOrder() []string {
	order := slices.Clone(c.Upstreams)
	if c.SpreadByName {
		weight := func(address string) uint64 { return xxhash.Sum64String(c.Name + "\x00" + address) }
		slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	}
	return order
}

// NewClock returns a clock in nanoseconds that adjustments of the system's time don't affect.
func NewClock() func() int64 {
	start := time.Now()
	return func() int64 { return start.UnixNano() + int64(time.Since(start)) }
}
