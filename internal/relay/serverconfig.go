package relay

import (
	"cmp"
	"time"

	"fawnglade/internal/distribution"
)

// Feed is what a server sends to subscribers; *distribution.Relay is one. Times are nanoseconds of the server's
// clock. The server calls it under a lock.
type Feed interface {
	// Attach begins a session by a subscriber's hello, at a pace; 0: not paced.
	Attach(now int64, hello []byte, bytesPerSecond int) (id int, err error)
	// Detach ends a session.
	Detach(id int)
	// Next returns the next frame to a subscriber. Without one, at is when to call again.
	Next(now int64, id int) (frame []byte, at int64)
	// Ready returns the subscribers for which a frame has become due since the last call.
	Ready() []int
}

// ServerConfig configures a server. Zero values take the default in brackets.
type ServerConfig struct {
	BytesPerSecond   int // to each subscriber; 0: not paced
	MaxConnections   int // with those that have not sent a hello [1,024]
	MaxPendingHellos int // connections without a hello [512]
	MaxHelloBytes    int // [distribution.MaxHelloBytes]

	// HelloTimeout bounds the greeting and the hello of a connection [3 s].
	HelloTimeout time.Duration
	// WriteTimeout bounds one frame: a subscriber that takes longer is disconnected [5 s].
	WriteTimeout time.Duration

	Clock func() int64 // nanoseconds, monotonic [NewClock]
	// Fresh reports whether the feed is complete and not behind; called under the feed's lock [always].
	Fresh func() bool
}

const (
	defaultMaxConnections   = 1024
	defaultMaxPendingHellos = 512
	defaultMaxHelloBytes    = distribution.MaxHelloBytes
	defaultHelloTimeout     = 3 * time.Second
	defaultWriteTimeout     = 5 * time.Second
)

func (c ServerConfig) withDefaults() ServerConfig {
	c.MaxConnections = cmp.Or(c.MaxConnections, defaultMaxConnections)
	c.MaxPendingHellos = cmp.Or(c.MaxPendingHellos, defaultMaxPendingHellos)
	c.MaxHelloBytes = cmp.Or(c.MaxHelloBytes, defaultMaxHelloBytes)
	c.HelloTimeout = cmp.Or(c.HelloTimeout, defaultHelloTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, defaultWriteTimeout)
	if c.Clock == nil {
		c.Clock = NewClock()
	}
	if c.Fresh == nil {
		c.Fresh = func() bool { return true }
	}
	return c
}
