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
	Take(now int64, frame []byte) error
	// Behind is how old what the sink holds is, in ns, as far as the upstream says; 0: not behind, or not known to be.
	Behind(now int64) int64
}

// ClientSettings say whom a client follows. What is 0 takes the default.
type ClientSettings struct {
	Name      string   // of who follows; seeds the jitter, and the order where Spread is set
	Upstreams []string // addresses with ports
	Spread    bool     // each name has an order of its own (by rendezvous hashing); else the order is as given
	MaxFrame  int      // bytes; distribution.MaxFrame

	ConnectWithin time.Duration // with the greeting; 700 ms
	Silence       time.Duration // without a byte: the upstream is left; 2.5 s
	FrameWithin   time.Duration // for one frame, from its first byte; 5 s
	BehindAfter   time.Duration // an upstream that is further behind is left for another, if there is one; 4 s
	Back          time.Duration // the first choice is tried again so long after it was left, and up to as much more; 30 s
	LongestWait   time.Duration // between rounds of tries, all of which failed; 3 s

	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Clock   func() int64
	OnState func(State) // by the client's goroutine (must not wait)
}

const (
	usualMaxFrame      = distribution.MaxFrameBytes
	usualConnectWithin = 700 * time.Millisecond
	usualSilence       = 2500 * time.Millisecond
	usualFrameWithin   = 5 * time.Second
	usualBehindAfter   = 4 * time.Second
	usualBack          = 30 * time.Second
	usualLongestWait   = 3 * time.Second
	firstWait          = 200 * time.Millisecond
	mostJitter         = 200 * time.Millisecond // before the first try after a loss: all others of that upstream come too
	stoodFor           = 5 * time.Second        // an upstream that was left sooner counts as a try that failed
	behindWait         = 5 * time.Second        // between moves away from upstreams that are behind, doubled each time
	longestBehindWait  = time.Minute
)

// State of a client, as it changes.
type State struct {
	Upstream  string // "" : none
	Connected bool
	Why       string // it was left, or could not be reached
	Round     bool   // so it is with all of them, one after another
}

// ClientStats only ever grow.
type ClientStats struct {
	Dials    int64 `json:"Dials"`
	Connects int64 `json:"Connects"`
	Silent   int64 `json:"Silent"`
	Closed   int64 `json:"Closed"`
	Behind   int64 `json:"Behind"`
	TooLong  int64 `json:"TooLong"`
	Spoilt   int64 `json:"Spoilt"`
	Returned int64 `json:"Returned"`
	Frames   int64 `json:"Frames"`
	Bytes    int64 `json:"Bytes"`
}

// Client follows upstreams.
type Client struct {
	set   ClientSettings
	sink  Sink
	log   *zap.Logger
	order []string
	rng   *rand.Rand

	heard                                                                             atomic.Int64 // when the last byte came, by the clock; 0: not connected
	dials, connects, silent, closed, behind, tooLong, spoilt, returned, frames, bytes atomic.Int64
}

// NewClient makes one; nothing runs before Run.
func NewClient(set ClientSettings, sink Sink, log *zap.Logger) *Client {
	set.MaxFrame = cmp.Or(set.MaxFrame, usualMaxFrame)
	set.ConnectWithin = cmp.Or(set.ConnectWithin, usualConnectWithin)
	set.Silence = cmp.Or(set.Silence, usualSilence)
	set.FrameWithin = cmp.Or(set.FrameWithin, usualFrameWithin)
	set.BehindAfter = cmp.Or(set.BehindAfter, usualBehindAfter)
	set.Back = cmp.Or(set.Back, usualBack)
	set.LongestWait = cmp.Or(set.LongestWait, usualLongestWait)
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
	return &Client{set: set, sink: sink, log: log, order: order(set), rng: rand.New(rand.NewPCG(seed, 1))}
}

// order is the upstreams as this client tries them. Where they are spread, the clients of one that dies fall on all others alike.
func order(set ClientSettings) []string {
	all := slices.Clone(set.Upstreams)
	if set.Spread {
		weight := func(address string) uint64 { return xxhash.Sum64String(set.Name + "\x00" + address) }
		slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	}
	return all
}

// Order is the upstreams in the order in which this client tries them.
func (c *Client) Order() []string { return slices.Clone(c.order) }

// Heard is when the last byte of a standing connection came, by the clock; 0: there is none.
func (c *Client) Heard() int64 { return c.heard.Load() }

// Stats are the client's counters.
func (c *Client) Stats() ClientStats {
	return ClientStats{
		Dials: c.dials.Load(), Connects: c.connects.Load(), Silent: c.silent.Load(), Closed: c.closed.Load(),
		Behind: c.behind.Load(), TooLong: c.tooLong.Load(), Spoilt: c.spoilt.Load(), Returned: c.returned.Load(),
		Frames: c.frames.Load(), Bytes: c.bytes.Load(),
	}
}

var (
	errBehind = errors.New("the upstream is behind")
	errStale  = errors.New("the upstream says that it lacks something")
	errSilent = errors.New("the upstream fell silent")

	errReturned = errors.New("back to the first choice")
)

// Run follows upstreams until the context is done.
func (c *Client) Run(ctx context.Context) {
	at, failed := 0, 0 // the place in the order; tries that failed since an upstream last stood
	patience, behindAt := behindWait, int64(0)
	for ctx.Err() == nil {
		address := c.order[at]
		conn, fresh, err := c.connect(ctx, address)
		if err == nil && !fresh && failed < len(c.order)-1 {
			conn.Close() // another may lack nothing; after a round without one, this is better than none
			err = errStale
		}
		for err == nil {
			began := c.set.Clock()
			c.connects.Add(1)
			c.tell(State{Upstream: address, Connected: true})
			s := &session{client: c, conn: conn, first: at == 0, behindAt: behindAt}
			err = s.follow(ctx)
			conn.Close()
			c.heard.Store(0)
			if next := s.next.Swap(&taken); next != nil {
				// The first choice is there again, and has greeted.
				c.returned.Add(1)
				at, failed, address, conn, err = 0, 0, c.order[0], *next, nil
				continue
			}
			now := c.set.Clock()
			if errors.Is(err, errBehind) {
				behindAt, patience = now+int64(patience), min(2*patience, longestBehindWait)
			} else {
				patience = behindWait
			}
			if now-began > int64(stoodFor) {
				failed = 0
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.count(err)
		failed++
		c.tell(State{Upstream: address, Why: err.Error(), Round: failed >= len(c.order)})
		at = (at + 1) % len(c.order)
		c.pause(ctx, failed)
	}
	c.tell(State{Why: "ended"})
}

var taken net.Conn // stands in a session's place for the next connection once it is too late for one

// pause waits before the next try: a moment while there are upstreams that were not tried, else by backoff.
func (c *Client) pause(ctx context.Context, failed int) {
	wait := time.Duration(0)
	if failed == 1 {
		wait = time.Duration(c.rng.Int64N(int64(mostJitter)))
	}
	if round := failed / len(c.order); failed%len(c.order) == 0 && round > 0 {
		wait = min(firstWait<<min(round-1, 10), c.set.LongestWait)
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

func (c *Client) tell(s State) {
	if c.set.OnState != nil {
		c.set.OnState(s)
	}
}

func (c *Client) count(err error) {
	switch {
	case errors.Is(err, errSilent):
		c.silent.Add(1)
	case errors.Is(err, errBehind), errors.Is(err, errStale):
		c.behind.Add(1)
	case errors.Is(err, errTooLong):
		c.tooLong.Add(1)
	case errors.Is(err, errSpoilt):
		c.spoilt.Add(1)
	default:
		c.closed.Add(1)
	}
}

// connect opens a connection and hears the greeting: a process that stands still accepts, but says nothing.
func (c *Client) connect(ctx context.Context, address string) (net.Conn, bool, error) {
	c.dials.Add(1)
	limit, cancel := context.WithTimeout(ctx, c.set.ConnectWithin)
	defer cancel()
	conn, err := c.set.Dial(limit, address)
	if err != nil {
		return nil, false, err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(c.set.ConnectWithin))
	fresh, err := readGreeting(conn)
	if err != nil {
		conn.Close()
		return nil, false, fmt.Errorf("no greeting: %w", err)
	}
	return conn, fresh, nil
}

// session is one connection to an upstream.
type session struct {
	client   *Client
	conn     net.Conn
	first    bool // of the order
	behindAt int64
	next     atomic.Pointer[net.Conn] // to the first choice, once it has greeted; &taken: too late
}

var (
	errSpoilt = errors.New("a frame that makes no sense")
	frames    = sync.Pool{New: func() any { return new([usualMaxFrame]byte) }}
)

// follow says hello and takes frames until the connection ends, and tells why.
func (s *session) follow(ctx context.Context) error {
	c := s.client
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	began := c.set.Clock()
	back := began + int64(c.set.Back) + c.rng.Int64N(int64(c.set.Back))
	s.conn.SetDeadline(time.Now().Add(c.set.Silence))
	if err := writeFrame(s.conn, c.sink.Hello(began)); err != nil {
		return err
	}
	for {
		if err := s.one(); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return errSilent
			}
			return err
		}
		now := c.set.Clock()
		c.heard.Store(now)
		if !s.first && now > back {
			back = now + int64(c.set.Back) + c.rng.Int64N(int64(c.set.Back))
			go s.goBack(ctx)
		}
		if len(c.order) > 1 && now-began > int64(c.set.BehindAfter) && now > s.behindAt && c.sink.Behind(now) > int64(c.set.BehindAfter) {
			return errBehind
		}
	}
}

// one takes one frame.
func (s *session) one() error {
	c := s.client
	s.conn.SetReadDeadline(time.Now().Add(c.set.Silence))
	if s.next.Load() != nil { // after the deadline, which goBack moves after it has set the next one
		return errReturned
	}
	size, err := readHead(s.conn, c.set.MaxFrame)
	if err != nil {
		return err
	}
	s.conn.SetReadDeadline(time.Now().Add(c.set.FrameWithin))
	var frame []byte
	if size <= usualMaxFrame {
		buffer := frames.Get().(*[usualMaxFrame]byte)
		defer frames.Put(buffer)
		frame = buffer[:size]
	} else {
		frame = make([]byte, size)
	}
	if _, err := io.ReadFull(s.conn, frame); err != nil {
		return err
	}
	c.frames.Add(1)
	c.bytes.Add(int64(headSize + size))
	if err := c.sink.Take(c.set.Clock(), frame); err != nil {
		return fmt.Errorf("%w: %w", errSpoilt, err)
	}
	return nil
}

// goBack tries the first choice beside a connection that stands, and has that end only when the other has greeted.
func (s *session) goBack(ctx context.Context) {
	conn, fresh, err := s.client.connect(ctx, s.client.order[0])
	if err != nil {
		return
	}
	if !fresh || !s.next.CompareAndSwap(nil, &conn) {
		conn.Close()
		return
	}
	s.conn.SetReadDeadline(time.Unix(1, 0))
}
