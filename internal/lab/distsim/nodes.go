package distsim

// This file owns the hollow nodes: the node's own subscriber and client, without clients or servers of requests behind them. Each
// notes what it was told and when; what is right is judged elsewhere. It must never look at the truth.

import (
	"context"
	"fawnglade/internal/distribution"
	"fawnglade/internal/relay"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// told is one change that came to a node.
type delivery struct {
	change int32 // its number
	atUs   int32 // microseconds since the run began, on the run's clock
}

// dead is a record that a node was told has gone; its end carries no number.
type recordKey struct{ scope, key string }

type removal struct {
	recordKey
	atUs int32
}

// hollow is one node. What one life holds ends with it; the faults it saw stay.
type hollowNode struct {
	index  int
	run    *hollowNodes
	scopes []string // that it follows, in order

	mu            sync.Mutex
	subscriber    subscriber
	deliveries    []delivery
	removals      []removal
	removedAt     map[recordKey]uint64 // with the version it went in
	completeAt    int64                // when all its scopes were complete, since the run began in ns; 0: not yet
	revived       int                  // records told again in a version that is not newer than their end
	invalidFrames int                  // frames that its subscriber refused

	client       *relay.Client
	earlierStats relay.ClientStats // of clients before this one
	cancel       context.CancelFunc
	done         chan struct{}

	bytes atomic.Int64
	marks []int64 // bytes at the ends of the seconds of an act
}

// subscriber is what a node holds; *distribution.Subscriber but where a test has one that fails.
type subscriber interface {
	Hello() []byte
	Receive(now int64, frame []byte) ([]distribution.Change, error)
	Complete() bool
	Each(func(distribution.Record))
}

// nodes are all of them.
type hollowNodes struct {
	size      Size
	began     time.Time
	upstreams func(node int) []string
	all       []*hollowNode
	log       *zap.Logger

	mu     sync.Mutex
	texts  map[string]string
	bodies map[string][]byte
}

// text and body are the same values for all nodes of the process, where they share.
func (n *hollowNodes) shareText(s string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if is, ok := n.texts[s]; ok {
		return is
	}
	n.texts[s] = s
	return s
}

func (n *hollowNodes) shareBody(b []byte) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if is, ok := n.bodies[string(b)]; ok {
		return is
	}
	n.bodies[string(b)] = b
	return b
}

func newNodes(size Size, began time.Time, lower func(int) []string) *hollowNodes {
	n := &hollowNodes{size: size, began: began, upstreams: lower, log: zap.NewNop(), texts: map[string]string{}, bodies: map[string][]byte{}}
	for i := range size.Nodes {
		n.all = append(n.all, &hollowNode{index: i, run: n})
	}
	return n
}

func (n *hollowNodes) now() int64 { return int64(time.Since(n.began)) }

// start begins a life with nothing.
func (h *hollowNode) start() {
	var selectors []distribution.Selector
	h.scopes = slices.Sorted(slices.Values(h.run.size.scopesOf(h.index)))
	for _, scope := range h.scopes {
		selectors = append(selectors, distribution.Selector{Scope: scope})
	}
	h.mu.Lock()
	sub, err := distribution.NewSubscriber(selectors, distribution.Limits{Records: 4 * h.run.size.recordsPerNode(), Selectors: len(selectors)})
	if err != nil {
		panic(err) // a size that Check lets through makes no such selectors
	}
	if h.run.size.ShareMemory {
		sub.SetInterner(distribution.Interner{Text: h.run.shareText, Body: h.run.shareBody})
	}
	h.subscriber, h.completeAt, h.removedAt = sub, 0, map[recordKey]uint64{}
	h.mu.Unlock()
	h.connect()
}

// connect runs the client on what the node holds.
func (h *hollowNode) connect() {
	ctx, cancel := context.WithCancel(context.Background())
	h.earlierStats = h.stats()
	h.cancel, h.done = cancel, make(chan struct{})
	dialer := &net.Dialer{KeepAlive: -1}
	h.client = relay.NewClient(relay.ClientConfig{
		Name:         "h" + serviceName(h.index),
		Upstreams:    h.run.upstreams(h.index),
		SpreadByName: true,
		Clock:        h.run.now,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &countingConn{c, &h.bytes}, nil
		},
	}, h, h.run.log)
	go func() {
		defer close(h.done)
		h.client.Run(ctx)
	}()
}

// stats are the counters of the node's clients, in all its lives.
func (h *hollowNode) stats() relay.ClientStats {
	if h.client == nil {
		return relay.ClientStats{}
	}
	return addStats(h.earlierStats, h.client.Stats())
}

func addStats(a, b relay.ClientStats) relay.ClientStats {
	a.Connects += b.Connects
	a.Failbacks += b.Failbacks
	a.Silent += b.Silent
	a.Closed += b.Closed
	a.Lagging += b.Lagging
	a.Invalid += b.Invalid + b.Oversized
	return a
}

// stop ends the client; what the node holds stays.
func (h *hollowNode) stop() {
	if h.cancel != nil {
		h.cancel()
		<-h.done
	}
}

// counted is a connection of which every byte counts, in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Hello, Receive and LagNs make it a relay.Sink.
func (h *hollowNode) Hello(now int64) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.subscriber.Hello()
}

func (h *hollowNode) Receive(now int64, frame []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes, err := h.subscriber.Receive(now, frame)
	if err != nil {
		h.invalidFrames++
	}
	for _, c := range changes {
		h.note(now, c)
	}
	if h.completeAt == 0 && h.subscriber.Complete() {
		h.completeAt = now
	}
	return err
}

func (h *hollowNode) LagNs(now int64) int64 { return 0 }

// note enters one change; the lock is held.
func (h *hollowNode) note(now int64, c distribution.Change) {
	is := recordKey{c.Scope, c.Key}
	if c.Deleted {
		h.removedAt[is] = c.Version
		h.removals = append(h.removals, removal{is, int32(now / 1000)})
		return
	}
	if v, was := h.removedAt[is]; was {
		if c.Version <= v {
			h.revived++
		}
		delete(h.removedAt, is)
	}
	if n := changeNumber(c.Body); n > 0 {
		h.deliveries = append(h.deliveries, delivery{int32(n), int32(now / 1000)})
	}
}

// each does something with nodes, many at a time.
func forEachNode(all []*hollowNode, do func(*hollowNode)) {
	var group sync.WaitGroup
	next := atomic.Int64{}
	for range 8 {
		group.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(all)); i = next.Add(1) - 1 {
				do(all[i])
			}
		})
	}
	group.Wait()
}
