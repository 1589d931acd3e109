package relay

// This file owns the client: it follows one of several upstreams, leaves one that dies, falls silent or is behind, and goes back to
// its first choice later. One goroutine and one connection; no timer but the connection's deadline. It must never judge a record,
// nor call faster than its backoff lets it.

import (
	"cmp"
	"context"
	"errors"
	"fawnglade/internal/distribution"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Sink is what a client feeds: a subscriber, or a relay that has an upstream. It is called by the client's goroutine alone and must
// not keep the frame.
type Sink interface {
	// Hello is what a new connection begins with; a new session begins with it.
	Hello(now int64) []byte
	// Take takes a frame in; an error ends the connection.
	Receive(now int64, frame []byte) error
	// Behind is how old what the sink holds is, in ns, as far as the upstream says; 0: not behind, or not known to be.
	LagNs(now int64) int64
}

// ClientSettings say whom a client follows. What is 0 takes the default.
type ClientConfig struct {
	Name          string   // of who follows; seeds the jitter, and the order where Spread is set
	Upstreams     []string // addresses with ports
	SpreadByName  bool     // each name has an order of its own (by rendezvous hashing); else the order is as given
	MaxFrameBytes int      // bytes; distribution.MaxFrame

	ConnectTimeout time.Duration // with the greeting; 700 ms
	SilenceTimeout time.Duration // without a byte: the upstream is left; 2.5 s
	FrameTimeout   time.Duration // for one frame, from its first byte; 5 s
	MaxLag         time.Duration // an upstream that is further behind is left for another, if there is one; 4 s
	FailbackDelay  time.Duration // the first choice is tried again so long after it was left, and up to as much more; 30 s
	MaxBackoff     time.Duration // between rounds of tries, all of which failed; 3 s

	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Clock   func() int64
	OnState func(ClientState) // by the client's goroutine (must not wait)
}

const (
	defaultMaxFrameBytes  = distribution.MaxFrameBytes
	defaultConnectTimeout = 700 * time.Millisecond
	defaultSilenceTimeout = 2500 * time.Millisecond
	defaultFrameTimeout   = 5 * time.Second
	defaultMaxLag         = 4 * time.Second
	defaultFailbackDelay  = 30 * time.Second
	defaultMaxBackoff     = 3 * time.Second
	initialBackoff        = 200 * time.Millisecond
	reconnectJitter       = 200 * time.Millisecond // before the first try after a loss: all others of that upstream come too
	minStableConnection   = 5 * time.Second        // an upstream that was left sooner counts as a try that failed
	initialLagBackoff     = 5 * time.Second        // between moves away from upstreams that are behind, doubled each time
	maxLagBackoff         = time.Minute
)

// State of a client, as it changes.
type ClientState struct {
	Upstream  string // "" : none
	Connected bool
	Reason    string // it was left, or could not be reached
	AllFailed bool   // so it is with all of them, one after another
}

// ClientStats only ever grow.
type ClientStats struct {
	Dials     int64 `json:"Dials"`
	Connects  int64 `json:"Connects"`
	Silent    int64 `json:"Silent"`
	Closed    int64 `json:"Closed"`
	Lagging   int64 `json:"Behind"`
	Oversized int64 `json:"TooLong"`
	Invalid   int64 `json:"Spoilt"`
	Failbacks int64 `json:"Returned"`
	Frames    int64 `json:"Frames"`
	Bytes     int64 `json:"Bytes"`
}

// Client follows upstreams.
type Client struct {
	config ClientConfig
	sink   Sink
	log    *zap.Logger
	order  []string
	rng    *rand.Rand

	heardAtNs                                                                              atomic.Int64 // when the last byte came, by the clock; 0: not connected
	dials, connects, silent, closed, lagging, oversized, invalid, failbacks, frames, bytes atomic.Int64
}

// NewClient makes one; nothing runs before Run.
func NewClient(set ClientConfig, sink Sink, log *zap.Logger) *Client {
	set.MaxFrameBytes = cmp.Or(set.MaxFrameBytes, defaultMaxFrameBytes)
	set.ConnectTimeout = cmp.Or(set.ConnectTimeout, defaultConnectTimeout)
	set.SilenceTimeout = cmp.Or(set.SilenceTimeout, defaultSilenceTimeout)
	set.FrameTimeout = cmp.Or(set.FrameTimeout, defaultFrameTimeout)
	set.MaxLag = cmp.Or(set.MaxLag, defaultMaxLag)
	set.FailbackDelay = cmp.Or(set.FailbackDelay, defaultFailbackDelay)
	set.MaxBackoff = cmp.Or(set.MaxBackoff, defaultMaxBackoff)
	if set.Clock == nil {
		set.Clock = NewClock()
	}
	if set.Dial == nil {
		dialer := &net.Dialer{KeepAlive: -1}
		set.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	seed := xxhash.Sum64String(set.Name)
	return &Client{config: set, sink: sink, log: log, order: order(set), rng: rand.New(rand.NewPCG(seed, 1))}
}

// order is the upstreams as this client tries them. Where they are spread, the clients of one that dies fall on all others alike.
func order(set ClientConfig) []string {
	all := slices.Clone(set.Upstreams)
	if set.SpreadByName {
		weight := func(address string) uint64 { return xxhash.Sum64String(set.Name + "\x00" + address) }
		slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	}
	return all
}

// Order is the upstreams in the order in which this client tries them.
func (c *Client) Order() []string { return slices.Clone(c.order) }

// Heard is when the last byte of a standing connection came, by the clock; 0: there is none.
func (c *Client) HeardAtNs() int64 { return c.heardAtNs.Load() }

// Stats are the client's counters.
func (c *Client) Stats() ClientStats {
	return ClientStats{
		Dials: c.dials.Load(), Connects: c.connects.Load(), Silent: c.silent.Load(), Closed: c.closed.Load(),
		Lagging: c.lagging.Load(), Oversized: c.oversized.Load(), Invalid: c.invalid.Load(), Failbacks: c.failbacks.Load(),
		Frames: c.frames.Load(), Bytes: c.bytes.Load(),
	}
}

var (
	errLagging  = errors.New("the upstream is behind")
	errNotFresh = errors.New("the upstream says that it lacks something")
	errSilent   = errors.New("the upstream fell silent")

	errFailback = errors.New("back to the first choice")
)

// Run follows upstreams until the context is done.
func (c *Client) Run(ctx context.Context) {
	at, failed := 0, 0 // the place in the order; tries that failed since an upstream last stood
	patience, behindAt := initialLagBackoff, int64(0)
	for ctx.Err() == nil {
		address := c.order[at]
		conn, fresh, err := c.connect(ctx, address)
		if err == nil && !fresh && failed < len(c.order)-1 {
			conn.Close() // another may lack nothing; after a round without one, this is better than none
			err = errNotFresh
		}
		for err == nil {
			began := c.config.Clock()
			c.connects.Add(1)
			c.notifyState(ClientState{Upstream: address, Connected: true})
			s := &session{client: c, conn: conn, firstChoice: at == 0, lagToleratedUntilNs: behindAt}
			err = s.receiveFrames(ctx)
			conn.Close()
			c.heardAtNs.Store(0)
			if next := s.failback.Swap(&failbackClosed); next != nil {
				// The first choice is there again, and has greeted.
				c.failbacks.Add(1)
				at, failed, address, conn, err = 0, 0, c.order[0], *next, nil
				continue
			}
			now := c.config.Clock()
			if errors.Is(err, errLagging) {
				behindAt, patience = now+int64(patience), min(2*patience, maxLagBackoff)
			} else {
				patience = initialLagBackoff
			}
			if now-began > int64(minStableConnection) {
				failed = 0
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.countFailure(err)
		failed++
		c.notifyState(ClientState{Upstream: address, Reason: err.Error(), AllFailed: failed >= len(c.order)})
		at = (at + 1) % len(c.order)
		c.backOff(ctx, failed)
	}
	c.notifyState(ClientState{Reason: "ended"})
}

var failbackClosed net.Conn // stands in a session's place for the next connection once it is too late for one

// pause waits before the next try: a moment while there are upstreams that were not tried, else by backoff.
func (c *Client) backOff(ctx context.Context, failed int) {
	wait := time.Duration(0)
	if failed == 1 {
		wait = time.Duration(c.rng.Int64N(int64(reconnectJitter)))
	}
	if round := failed / len(c.order); failed%len(c.order) == 0 && round > 0 {
		wait = min(initialBackoff<<min(round-1, 10), c.config.MaxBackoff)
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

func (c *Client) notifyState(s ClientState) {
	if c.config.OnState != nil {
		c.config.OnState(s)
	}
}

func (c *Client) countFailure(err error) {
	switch {
	case errors.Is(err, errSilent):
		c.silent.Add(1)
	case errors.Is(err, errLagging), errors.Is(err, errNotFresh):
		c.lagging.Add(1)
	case errors.Is(err, errOversizedFrame):
		c.oversized.Add(1)
	case errors.Is(err, errInvalidFrame):
		c.invalid.Add(1)
	default:
		c.closed.Add(1)
	}
}

// connect opens a connection and hears the greeting: a process that stands still accepts, but says nothing.
func (c *Client) connect(ctx context.Context, address string) (net.Conn, bool, error) {
	c.dials.Add(1)
	limit, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	conn, err := c.config.Dial(limit, address)
	if err != nil {
		return nil, false, err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(c.config.ConnectTimeout))
	fresh, err := readGreeting(conn)
	if err != nil {
		conn.Close()
		return nil, false, fmt.Errorf("no greeting: %w", err)
	}
	return conn, fresh, nil
}

// session is one connection to an upstream.
type session struct {
	client              *Client
	conn                net.Conn
	firstChoice         bool // of the order
	lagToleratedUntilNs int64
	failback            atomic.Pointer[net.Conn] // to the first choice, once it has greeted; &taken: too late
}

var (
	errInvalidFrame = errors.New("a frame that makes no sense")
	frameBuffers    = sync.Pool{New: func() any { return new([defaultMaxFrameBytes]byte) }}
)

// follow says hello and takes frames until the connection ends, and tells why.
func (s *session) receiveFrames(ctx context.Context) error {
	c := s.client
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	began := c.config.Clock()
	back := began + int64(c.config.FailbackDelay) + c.rng.Int64N(int64(c.config.FailbackDelay))
	s.conn.SetDeadline(time.Now().Add(c.config.SilenceTimeout))
	if err := writeFrame(s.conn, c.sink.Hello(began)); err != nil {
		return err
	}
	for {
		if err := s.receiveFrame(); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return errSilent
			}
			return err
		}
		now := c.config.Clock()
		c.heardAtNs.Store(now)
		if !s.firstChoice && now > back {
			back = now + int64(c.config.FailbackDelay) + c.rng.Int64N(int64(c.config.FailbackDelay))
			go s.dialFirstChoice(ctx)
		}
		if len(c.order) > 1 && now-began > int64(c.config.MaxLag) && now > s.lagToleratedUntilNs && c.sink.LagNs(now) > int64(c.config.MaxLag) {
			return errLagging
		}
	}
}

// one takes one frame.
func (s *session) receiveFrame() error {
	c := s.client
	s.conn.SetReadDeadline(time.Now().Add(c.config.SilenceTimeout))
	if s.failback.Load() != nil { // after the deadline, which goBack moves after it has set the next one
		return errFailback
	}
	size, err := readLength(s.conn, c.config.MaxFrameBytes)
	if err != nil {
		return err
	}
	s.conn.SetReadDeadline(time.Now().Add(c.config.FrameTimeout))
	var frame []byte
	if size <= defaultMaxFrameBytes {
		buffer := frameBuffers.Get().(*[defaultMaxFrameBytes]byte)
		defer frameBuffers.Put(buffer)
		frame = buffer[:size]
	} else {
		frame = make([]byte, size)
	}
	if _, err := io.ReadFull(s.conn, frame); err != nil {
		return err
	}
	c.frames.Add(1)
	c.bytes.Add(int64(lengthBytes + size))
	if err := c.sink.Receive(c.config.Clock(), frame); err != nil {
		return fmt.Errorf("%w: %w", errInvalidFrame, err)
	}
	return nil
}

// goBack tries the first choice beside a connection that stands, and has that end only when the other has greeted.
func (s *session) dialFirstChoice(ctx context.Context) {
	conn, fresh, err := s.client.connect(ctx, s.client.order[0])
	if err != nil {
		return
	}
	if !fresh || !s.failback.CompareAndSwap(nil, &conn) {
		conn.Close()
		return
	}
	s.conn.SetReadDeadline(time.Unix(1, 0))
}
