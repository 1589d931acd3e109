package relay

import (
	"cmp"
	"time"

	"fawnglade/internal/distribution"
)

// Feed is the source of the frames that a server sends to subscribers; *distribution.Relay implements it. Times are
// nanoseconds of the server's clock. The server calls all methods under its lock.
type Feed interface {
	// Attach starts a session with a subscriber, given its hello and its pace. A pace of 0 disables pacing.
	Attach(now int64, hello []byte, bytesPerSecond int) (id int, err error)
	// Detach ends a session.
	Detach(id int)
	// Next returns the next frame for a subscriber. If none is due it returns nil and the time at which to call again.
	Next(now int64, id int) (frame []byte, at int64)
	// Ready returns the IDs of the subscribers for which a frame has become due since the last call.
	Ready() []int
}

// ServerConfig configures a server. Zero values select the default in brackets.
type ServerConfig struct {
	BytesPerSecond   int // pace to each subscriber; 0 disables pacing
	MaxConnections   int // connections, including those that have not sent a hello yet [1,024]
	MaxPendingHellos int // connections that have not sent a hello yet [512]
	MaxHelloBytes    int // size of a hello [distribution.MaxHelloBytes]

	// HelloTimeout bounds the time from accepting a connection to receiving its hello [3 s].
	HelloTimeout time.Duration
	// WriteTimeout bounds the time to write one frame. A subscriber that takes longer is disconnected [5 s].
	WriteTimeout time.Duration

	Clock func() int64 // returns a monotonic time in nanoseconds [NewClock]
	// Fresh reports whether the feed is complete and not lagging. It is called under the server's lock [always true].
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
