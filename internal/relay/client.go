package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	initialBackoff      = 200 * time.Millisecond // doubled after each round in which all upstreams failed
	maxBackoffDoublings = 10
	reconnectJitter     = 200 * time.Millisecond // before the first reconnect: the upstream's other clients come too
	minStableConnection = 5 * time.Second        // a connection that ends sooner counts as a failed one
	initialLagBackoff   = 5 * time.Second        // between moves away from upstreams that are behind, doubled each time
	maxLagBackoff       = time.Minute
)

// Reasons for which an upstream is left.
var (
	errLagging      = errors.New("the upstream is behind")
	errNotFresh     = errors.New("the upstream says that it lacks something")
	errSilent       = errors.New("the upstream fell silent")
	errFailback     = errors.New("back to the first choice")
	errInvalidFrame = errors.New("a frame that makes no sense")
)

// ClientState is the state of a client, as it changes.
type ClientState struct {
	Upstream  string // "": none
	Connected bool
	Reason    string // for which the upstream was left, or could not be reached
	AllFailed bool   // all upstreams have failed, one after another
}

// ClientStats are counters since the start.
type ClientStats struct {
	Dials     int64 `json:"Dials"`
	Connects  int64 `json:"Connects"`
	Silent    int64 `json:"Silent"`   // upstreams left as they sent nothing
	Closed    int64 `json:"Closed"`   // connections that ended or failed otherwise
	Lagging   int64 `json:"Behind"`   // upstreams left as they were behind, or not fresh
	Oversized int64 `json:"TooLong"`  // connections ended by a frame over the limit
	Invalid   int64 `json:"Spoilt"`   // connections ended by a frame that the sink refused
	Failbacks int64 `json:"Returned"` // returns to the first choice
	Frames    int64 `json:"Frames"`
	Bytes     int64 `json:"Bytes"`
}

type clientCounters struct {
	dials, connects, silent, closed, lagging, oversized, invalid, failbacks, frames, bytes atomic.Int64
}

// Client follows one of several upstreams. It leaves one that fails, falls silent or is behind for the next, with
// backoff and jitter, and returns to its first choice later. It uses one connection and, but for the return, one
// goroutine.
type Client struct {
	config      ClientConfig
	sink        Sink
	log         *zap.Logger
	upstreams   []string // the upstreams, the first choice first
	rng         *rand.Rand
	lastFrameNs atomic.Int64
	counters    clientCounters
}

// NewClient returns a client that feeds a sink; nothing runs before Run.
func NewClient(config ClientConfig, sink Sink, log *zap.Logger) *Client {
	seed := xxhash.Sum64String(config.Name)
	return &Client{
		config:    config.withDefaults(),
		sink:      sink,
		log:       log,
		upstreams: config.upstreamOrder(),
		rng:       rand.New(rand.NewPCG(seed, 1)),
	}
}

// Order returns the upstreams in the order in which the client tries them.
func (c *Client) UpstreamOrder() []string { return slices.Clone(c.upstreams) }

// LastFrameNs returns when the last frame came, by the clock, in nanoseconds; 0: not connected.
func (c *Client) LastFrameNs() int64 { return c.lastFrameNs.Load() }

// Stats returns the counters.
func (c *Client) Stats() ClientStats {
	n := &c.counters
	return ClientStats{
		Dials:     n.dials.Load(),
		Connects:  n.connects.Load(),
		Silent:    n.silent.Load(),
		Closed:    n.closed.Load(),
		Lagging:   n.lagging.Load(),
		Oversized: n.oversized.Load(),
		Invalid:   n.invalid.Load(),
		Failbacks: n.failbacks.Load(),
		Frames:    n.frames.Load(),
		Bytes:     n.bytes.Load(),
	}
}

// followLoop is where a client is in its order of upstreams.
type followLoop struct {
	client              *Client
	upstreamIndex       int // index in the order
	failures            int // in a row, since a connection was last stable
	lagBackoff          time.Duration
	lagToleratedUntilNs int64
}

// Run follows upstreams until the context is done.
func (c *Client) Run(ctx context.Context) {
	loop := &followLoop{client: c, lagBackoff: initialLagBackoff}
	for ctx.Err() == nil {
		err := loop.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		c.countFailure(err)
		loop.failures++
		c.notifyState(ClientState{
			Upstream:  c.upstreams[loop.upstreamIndex],
			Reason:    err.Error(),
			AllFailed: loop.failures >= len(c.upstreams),
		})
		loop.upstreamIndex = (loop.upstreamIndex + 1) % len(c.upstreams)
		c.backOff(ctx, loop.failures)
	}
	c.notifyState(ClientState{Reason: "ended"})
}

// follow connects to an upstream and follows it, and the first choice after a failback, until a connection fails.
func (l *followLoop) follow(ctx context.Context) error {
	c := l.client
	conn, fresh, err := c.connect(ctx, c.upstreams[l.upstreamIndex])
	if err != nil {
		return err
	}
	if !fresh && l.failures < len(c.upstreams)-1 {
		conn.Close() // another may lack nothing; after a round without one, this is better than none
		return errNotFresh
	}
	for {
		failback, err := l.runSession(ctx, conn)
		if failback == nil {
			return err
		}
		c.counters.failbacks.Add(1)
		l.upstreamIndex = 0
		l.failures = 0
		conn = failback
	}
}

// runSession follows an upstream until the connection ends. It returns the connection to the first choice, if the
// client is to return to that, or the reason for which the upstream was left.
func (l *followLoop) runSession(ctx context.Context, conn net.Conn) (failback net.Conn, reason error) {
	c := l.client
	began := c.config.Clock()
	c.counters.connects.Add(1)
	c.notifyState(ClientState{Upstream: c.upstreams[l.upstreamIndex], Connected: true})
	s := &session{client: c, conn: conn, firstChoice: l.upstreamIndex == 0, lagToleratedUntilNs: l.lagToleratedUntilNs}
	reason = s.receiveFrames(ctx)
	conn.Close()
	c.lastFrameNs.Store(0)
	if next := s.failback.Swap(&failbackClosed); next != nil {
		return *next, nil
	}
	now := c.config.Clock()
	if errors.Is(reason, errLagging) {
		l.lagToleratedUntilNs = now + int64(l.lagBackoff)
		l.lagBackoff = min(2*l.lagBackoff, maxLagBackoff)
	} else {
		l.lagBackoff = initialLagBackoff
	}
	if now-began > int64(minStableConnection) {
		l.failures = 0
	}
	return nil, reason
}

// backOff waits before the next connection: not at all while there are upstreams that were not tried, but for the
// jitter after the first failure; else longer after each round, with jitter.
func (c *Client) backOff(ctx context.Context, failures int) {
	wait := time.Duration(0)
	if failures == 1 {
		wait = time.Duration(c.rng.Int64N(int64(reconnectJitter)))
	}
	if rounds := failures / len(c.upstreams); failures%len(c.upstreams) == 0 && rounds > 0 {
		wait = min(initialBackoff<<min(rounds-1, maxBackoffDoublings), c.config.MaxBackoff)
		wait = wait/2 + time.Duration(c.rng.Int64N(int64(wait/2)+1))
	}
	if wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Client) notifyState(state ClientState) {
	if c.config.OnState != nil {
		c.config.OnState(state)
	}
}

func (c *Client) countFailure(err error) {
	switch {
	case errors.Is(err, errSilent):
		c.counters.silent.Add(1)
	case errors.Is(err, errLagging), errors.Is(err, errNotFresh):
		c.counters.lagging.Add(1)
	case errors.Is(err, errOversizedFrame):
		c.counters.oversized.Add(1)
	case errors.Is(err, errInvalidFrame):
		c.counters.invalid.Add(1)
	default:
		c.counters.closed.Add(1)
	}
}

// connect opens a connection and reads the greeting: a stopped process accepts connections, but sends nothing.
func (c *Client) connect(ctx context.Context, address string) (conn net.Conn, fresh bool, err error) {
	c.counters.dials.Add(1)
	connectCtx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	conn, err = c.config.Dial(connectCtx, address)
	if err != nil {
		return nil, false, err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(c.config.ConnectTimeout))
	fresh, err = readGreeting(conn)
	if err != nil {
		conn.Close()
		return nil, false, fmt.Errorf("no greeting: %w", err)
	}
	return conn, fresh, nil
}
