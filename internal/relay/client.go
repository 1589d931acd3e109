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
	reconnectJitter     = 200 * time.Millisecond // first reconnect only: all clients of an upstream lose it at once
	minStableConnection = 5 * time.Second        // a connection that ends sooner counts as a failure
	initialLagBackoff   = 5 * time.Second        // between moves away from lagging upstreams; doubled after each move
	maxLagBackoff       = time.Minute
)

// Reasons for leaving an upstream.
var (
	errLagging      = errors.New("upstream lags behind by more than the maximum lag")
	errNotFresh     = errors.New("upstream is incomplete or lagging according to its greeting")
	errSilent       = errors.New("upstream sent nothing within the silence timeout")
	errFailback     = errors.New("failback to the first upstream in the order")
	errInvalidFrame = errors.New("invalid frame from upstream")
)

// ClientState is the state of a client as reported to ClientConfig.OnState.
type ClientState struct {
	Upstream  string // address of the upstream; "" if there is none
	Connected bool
	Reason    string // why the upstream was left or could not be reached
	AllFailed bool   // all upstreams have failed since a connection was last stable
}

// ClientStats are counters since the start.
type ClientStats struct {
	Dials     int64 `json:"Dials"`
	Connects  int64 `json:"Connects"`
	Silent    int64 `json:"Silent"`   // upstreams left because they sent nothing
	Closed    int64 `json:"Closed"`   // connections that ended or failed for other reasons
	Lagging   int64 `json:"Behind"`   // upstreams left because they were lagging or not fresh
	Oversized int64 `json:"TooLong"`  // connections ended by a frame over the size limit
	Invalid   int64 `json:"Spoilt"`   // connections ended by a frame that the sink rejected
	Failbacks int64 `json:"Returned"` // returns to the first choice
	Frames    int64 `json:"Frames"`
	Bytes     int64 `json:"Bytes"`
}

type clientCounters struct {
	dials, connects, silent, closed, lagging, oversized, invalid, failbacks, frames, bytes atomic.Int64
}

// Client follows one of several upstreams. It moves to the next upstream, with backoff and jitter, if the current one
// fails, stops sending or lags behind, and later returns to its first choice. It uses one connection and one goroutine,
// and one more of each while it tries to return.
type Client struct {
	config      ClientConfig
	sink        Sink
	log         *zap.Logger
	upstreams   []string // in the order in which they are tried
	rng         *rand.Rand
	lastFrameNs atomic.Int64
	counters    clientCounters
}

// NewClient returns a client that passes frames to a sink. It does nothing until Run is called.
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

// UpstreamOrder returns the upstreams in the order in which the client tries them.
func (c *Client) UpstreamOrder() []string { return slices.Clone(c.upstreams) }

// LastFrameNs returns when the last frame was received, in nanoseconds of the clock; 0 if not connected.
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

// followLoop is the state of Client.Run.
type followLoop struct {
	client              *Client
	upstreamIndex       int // index of the current upstream in Client.upstreams
	failures            int // consecutive failures since a connection was last stable
	lagBackoff          time.Duration
	lagToleratedUntilNs int64 // an upstream is not left for its lag before this time
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

// follow connects to the current upstream and follows it until the connection fails. After a failback it continues with
// the first choice.
func (l *followLoop) follow(ctx context.Context) error {
	c := l.client
	conn, fresh, err := c.connect(ctx, c.upstreams[l.upstreamIndex])
	if err != nil {
		return err
	}
	if !fresh && l.failures < len(c.upstreams)-1 {
		conn.Close() // another upstream may be fresh; if none is, a stale one is better than none
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

// runSession follows an upstream until the connection ends. It returns an open connection to the first choice if the
// client must fail back to it, or else the reason for leaving the upstream.
func (l *followLoop) runSession(ctx context.Context, conn net.Conn) (failback net.Conn, reason error) {
	c := l.client
	began := c.config.Clock()
	c.counters.connects.Add(1)
	c.notifyState(ClientState{Upstream: c.upstreams[l.upstreamIndex], Connected: true})
	s := &session{client: c, conn: conn, firstChoice: l.upstreamIndex == 0, lagToleratedUntilNs: l.lagToleratedUntilNs}
	reason = s.receiveFrames(ctx)
	conn.Close()
	c.lastFrameNs.Store(0)
	if firstChoiceConn := s.failback.Swap(&failbackClosed); firstChoiceConn != nil {
		return *firstChoiceConn, nil
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

// backOff waits before the next connection. After the first failure it waits for a short jitter. While there are
// upstreams left to try in a round it doesn't wait; after each failed round it waits exponentially longer, with jitter.
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

// connect opens a connection and waits for the greeting: the system accepts connections for a stopped process as well,
// but the process then sends nothing.
func (c *Client) connect(ctx context.Context, address string) (_ net.Conn, fresh bool, err error) {
	c.counters.dials.Add(1)
	connectCtx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	// Not a named result: returning an error would set it to nil while the function below may still run.
	conn, err := c.config.Dial(connectCtx, address)
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
