package distsim

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/relay"

	"go.uber.org/zap"
)

// Hollow nodes run the node's own subscriber and client, without requests. Each records what it received and when;
// verdict.go evaluates these records.

// delivery is one change that a node received.
type delivery struct {
	number int32 // of the change
	atUs   int32 // microseconds since the start of the run
}

// recordKey identifies a record.
type recordKey struct{ scope, key string }

// removal is the removal of a record at a node. Removals carry no change number.
type removal struct {
	recordKey
	atUs int32
}

// hollowNode is one hollow node. A start resets its records but not its counters.
type hollowNode struct {
	index int
	nodes *hollowNodes

	mu            sync.Mutex // guards the fields up to invalidFrames
	scopes        []string   // scopes that the node follows, sorted
	subscriber    subscriber
	deliveries    []delivery
	removals      []removal
	removedAt     map[recordKey]uint64 // versions of removals
	completeAt    int64                // when all scopes were complete, nanoseconds since the start of the run; 0: not yet
	resurrected   int                  // records received again in a version not newer than their removal
	invalidFrames int                  // frames that the subscriber rejected

	client       *relay.Client
	earlierStats relay.ClientStats // counters of the clients before this one
	cancel       context.CancelFunc
	done         chan struct{}

	bytes       atomic.Int64 // in both directions
	byteSamples []int64      // values of bytes, sampled once a second
}

// subscriber holds the records of a node. It is a *distribution.Subscriber, or a faulty one in tests.
type subscriber interface {
	Hello() []byte
	Receive(now int64, frame []byte) ([]distribution.Change, error)
	Complete() bool
	Each(func(distribution.Record))
}

// hollowNodes holds all hollow nodes and the state that they share.
type hollowNodes struct {
	size      Size
	startedAt time.Time
	upstreams func(node int) []string // addresses of the relays that a node may follow
	all       []*hollowNode
	log       *zap.Logger

	mu     sync.Mutex // guards the fields below
	texts  map[string]string
	bodies map[string][]byte
}

func newHollowNodes(size Size, startedAt time.Time, upstreams func(int) []string) *hollowNodes {
	n := &hollowNodes{
		size: size, startedAt: startedAt, upstreams: upstreams, log: zap.NewNop(), texts: map[string]string{}, bodies: map[string][]byte{},
	}
	for i := range size.Nodes {
		n.all = append(n.all, &hollowNode{index: i, nodes: n})
	}
	return n
}

// shareText interns a text.
func (n *hollowNodes) shareText(text string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if shared, ok := n.texts[text]; ok {
		return shared
	}
	n.texts[text] = text
	return text
}

// shareBody interns a body.
func (n *hollowNodes) shareBody(body []byte) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if shared, ok := n.bodies[string(body)]; ok {
		return shared
	}
	n.bodies[string(body)] = body
	return body
}

// now returns the nanoseconds since the start of the run.
func (n *hollowNodes) now() int64 { return int64(time.Since(n.startedAt)) }

// start starts a node without any records.
func (h *hollowNode) start() {
	size := h.nodes.size
	scopes := slices.Sorted(slices.Values(size.scopesOf(h.index)))
	var selectors []distribution.Selector
	for _, scope := range scopes {
		selectors = append(selectors, distribution.Selector{Scope: scope})
	}
	limits := distribution.Limits{Records: 4 * size.recordsPerNode(), Selectors: len(selectors)}
	fresh, err := distribution.NewSubscriber(selectors, limits)
	if err != nil {
		panic(err) // Size.Check rejects sizes with invalid selectors
	}
	if size.ShareMemory {
		fresh.SetInterner(distribution.Interner{Text: h.nodes.shareText, Body: h.nodes.shareBody})
	}
	h.mu.Lock()
	h.scopes = scopes
	h.subscriber = fresh
	h.completeAt = 0
	h.removedAt = map[recordKey]uint64{}
	h.mu.Unlock()
	h.connect()
}

// connect starts a client for the node's current records.
func (h *hollowNode) connect() {
	ctx, cancel := context.WithCancel(context.Background())
	h.earlierStats = h.stats()
	h.cancel, h.done = cancel, make(chan struct{})
	h.client = relay.NewClient(relay.ClientConfig{
		Name:         "h" + serviceName(h.index),
		Upstreams:    h.nodes.upstreams(h.index),
		SpreadByName: true,
		Clock:        h.nodes.now,
		Dial:         h.dial,
	}, h, h.nodes.log)
	client, done := h.client, h.done
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
}

func (h *hollowNode) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &h.bytes}, nil
}

// stats returns the sums of the counters over all clients that the node has had.
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

// stop ends the client. The node keeps its records.
func (h *hollowNode) stop() {
	if h.cancel != nil {
		h.cancel()
		<-h.done
	}
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Hello implements relay.Sink.
func (h *hollowNode) Hello(int64) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.subscriber.Hello()
}

// Receive implements relay.Sink.
func (h *hollowNode) Receive(now int64, frame []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes, err := h.subscriber.Receive(now, frame)
	if err != nil {
		h.invalidFrames++
	}
	for _, c := range changes {
		h.recordChange(now, c)
	}
	if h.completeAt == 0 && h.subscriber.Complete() {
		h.completeAt = now
	}
	return err
}

// LagNs implements relay.Sink.
func (h *hollowNode) LagNs(int64) int64 { return 0 }

// recordChange records one received change. The caller must hold the lock.
func (h *hollowNode) recordChange(now int64, c distribution.Change) {
	key := recordKey{c.Scope, c.Key}
	atUs := int32(now / 1000)
	if c.Deleted {
		h.removedAt[key] = c.Version
		h.removals = append(h.removals, removal{key, atUs})
		return
	}
	if version, removed := h.removedAt[key]; removed {
		if c.Version <= version {
			h.resurrected++
		}
		delete(h.removedAt, key)
	}
	if n := changeNumber(c.Body); n > 0 {
		h.deliveries = append(h.deliveries, delivery{int32(n), atUs})
	}
}

// concurrentNodes is the number of concurrent calls of forEachNode.
const concurrentNodes = 8

// forEachNode calls do for all nodes, concurrentNodes at a time, and waits for all calls.
func forEachNode(all []*hollowNode, do func(*hollowNode)) {
	var workers sync.WaitGroup
	var next atomic.Int64
	for range concurrentNodes {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(all)); i = next.Add(1) - 1 {
				do(all[i])
			}
		})
	}
	workers.Wait()
}
