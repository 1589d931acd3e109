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

// ClientConfig configures a client. Zero values select the default in brackets.
type ClientConfig struct {
	Name      string   // name of the client; seeds the jitter, and with SpreadByName the order of upstreams
	Upstreams []string // addresses with ports, at least one
	// SpreadByName makes each client try upstreams in an order derived from its name by rendezvous hashing, so that the
	// clients of a failed upstream spread over all others. Without it, the order of Upstreams is used.
	SpreadByName  bool
	MaxFrameBytes int // a longer frame ends the connection [distribution.MaxFrameBytes]

	// ConnectTimeout bounds connecting, and then waiting for the greeting [700 ms]. A shorter timeout detects a stopped
	// upstream sooner, but fails on slow paths.
	ConnectTimeout time.Duration
	// SilenceTimeout is how long an upstream may send nothing before the client leaves it [2.5 s]. Upstreams send
	// heartbeats every second.
	SilenceTimeout time.Duration
	// FrameTimeout bounds the time to receive one frame, from its first byte [5 s].
	FrameTimeout time.Duration
	// MaxLag is how far an upstream may lag behind before the client leaves it for another one, if there is one [4 s].
	MaxLag time.Duration
	// FailbackDelay is the minimum time before the first choice is tried again. A random delay of up to the same length
	// is added [30 s].
	FailbackDelay time.Duration
	// MaxBackoff is the longest wait after a round in which all upstreams failed [3 s].
	MaxBackoff time.Duration

	// Dial opens a connection [TCP without keep-alive].
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock returns a monotonic time in nanoseconds [NewClock].
	Clock func() int64
	// OnState is called on the client's goroutine when the state changes, and must not block [none].
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

// NewClock returns a clock in nanoseconds that starts at the system time and is unaffected by later adjustments of it.
func NewClock() func() int64 {
	start := time.Now()
	return func() int64 { return start.UnixNano() + int64(time.Since(start)) }
}
