package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// numberedFeed is a feed of numbered frames: frame i contains the number i. A subscriber's hello contains the number of
// the last frame that it received.
type numberedFeed struct {
	last           uint64
	subscribers    map[int]*feedPosition
	ready          []int
	nextID         int
	maxSubscribers int // 0 if unlimited
	paddingBytes   int
}

// feedPosition is the progress of one subscriber of a numberedFeed.
type feedPosition struct {
	lastSent    uint64
	lastFrameNs int64
}

func newNumberedFeed() *numberedFeed { return &numberedFeed{subscribers: map[int]*feedPosition{}} }

func (f *numberedFeed) Attach(now int64, hello []byte, _ int) (int, error) {
	if len(hello) < 8 {
		return 0, errors.New("hello too short")
	}
	if f.maxSubscribers > 0 && len(f.subscribers) >= f.maxSubscribers {
		return 0, errors.New("too many subscribers")
	}
	f.nextID++
	f.subscribers[f.nextID] = &feedPosition{lastSent: binary.BigEndian.Uint64(hello)}
	return f.nextID, nil
}

func (f *numberedFeed) Detach(id int) { delete(f.subscribers, id) }

func (f *numberedFeed) Next(now int64, id int) ([]byte, int64) {
	position := f.subscribers[id]
	if position == nil {
		return nil, now + int64(time.Hour)
	}
	if position.lastSent < f.last {
		position.lastSent++
		position.lastFrameNs = now
		return append(binary.BigEndian.AppendUint64(nil, position.lastSent), make([]byte, f.paddingBytes)...), 0
	}
	if now-position.lastFrameNs >= int64(100*time.Millisecond) {
		position.lastFrameNs = now
		return []byte("beat"), 0
	}
	return nil, position.lastFrameNs + int64(100*time.Millisecond)
}

func (f *numberedFeed) Ready() []int {
	ready := f.ready
	f.ready = nil
	return ready
}

func (f *numberedFeed) add(count uint64) {
	f.last += count
	for id := range f.subscribers {
		f.ready = append(f.ready, id)
	}
}

// numberedSink receives numbered frames. checkOrder fails the test if a frame was lost, repeated or out of order.
type numberedSink struct {
	t           *testing.T
	mu          sync.Mutex
	last        uint64
	hellos      int
	orderErrors []string
	lag         atomic.Int64
}

func (s *numberedSink) Hello(int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hellos++
	return append(binary.BigEndian.AppendUint64(nil, s.last), make([]byte, 20)...)
}

func (s *numberedSink) Receive(_ int64, frame []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(frame) == "beat" {
		return nil
	}
	if len(frame) < 8 {
		return errors.New("frame too short")
	}
	n := binary.BigEndian.Uint64(frame)
	if n != s.last+1 {
		s.orderErrors = append(s.orderErrors, fmt.Sprintf("%d after %d", n, s.last))
	}
	s.last = n
	return nil
}

func (s *numberedSink) LagNs(int64) int64 { return s.lag.Load() }

func (s *numberedSink) lastNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *numberedSink) checkOrder() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.orderErrors {
		s.t.Error("frames out of order:", w)
	}
}

func waitUntil(t *testing.T, description string, within time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", within, description)
		}
	}
}

// testServer is a server of a numberedFeed with its listener.
type testServer struct {
	*Server
	feed     *numberedFeed
	listener net.Listener
	address  string
}

func (s *testServer) add(n uint64) { s.Do(func(int64) { s.feed.add(n) }) }

func (s *testServer) stop() {
	s.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = s.Close(ctx) // a connection that does not end fails the test that checks it
}

func startServerAt(t *testing.T, address string, feed *numberedFeed, config ServerConfig) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		Server: NewServer(feed, config, zap.NewNop()), feed: feed, listener: listener,
		address: listener.Addr().String(),
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	t.Cleanup(func() {
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(s.stop)
	return s
}

// sendHello sends a hello that a numberedFeed accepts.
func sendHello(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := writeFrame(conn, make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
}

func startServer(t *testing.T, config ServerConfig) *testServer {
	return startServerAt(t, "127.0.0.1:0", newNumberedFeed(), config)
}

func startClient(t *testing.T, config ClientConfig) (*Client, *numberedSink) {
	t.Helper()
	sink := &numberedSink{t: t}
	client := NewClient(config, sink, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Error("client did not end within 5 s")
		}
		sink.checkOrder()
	})
	return client, sink
}

func TestFramesArriveOnceInOrder(t *testing.T) {
	server := startServer(t, ServerConfig{})
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{server.address}})
	for range 20 {
		server.add(50)
	}
	waitUntil(t, "all frames", 5*time.Second, func() bool { return sink.lastNumber() == 1000 })
}

// A client leaves a failed upstream at once, and no frame is lost or repeated.
func TestClientLeavesFailedUpstream(t *testing.T) {
	a, b := startServer(t, ServerConfig{}), startServer(t, ServerConfig{})
	a.add(10)
	b.add(10)
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{a.address, b.address}})
	waitUntil(t, "the first ten frames", 5*time.Second, func() bool { return sink.lastNumber() == 10 })
	a.stop()
	began := time.Now()
	b.add(5)
	waitUntil(t, "five more frames from the other upstream", 5*time.Second,
		func() bool { return sink.lastNumber() == 15 })
	if took := time.Since(began); took > time.Second {
		t.Errorf("moved to the other upstream after %v, want at most 1 s", took)
	}
}

// listenFrozen listens like a stopped process: the system accepts connections, but nothing is ever sent.
func listenFrozen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// startFreezableProxy forwards bytes between a client and an upstream until freeze is called. From then on it neither
// reads nor writes, and closes no connections.
func startFreezableProxy(t *testing.T, upstreamAddress string) (address string, freeze func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var frozen atomic.Bool
	stop := make(chan struct{})
	t.Cleanup(func() { l.Close(); close(stop) })
	forward := func(dst, src net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := src.Read(buffer)
			if frozen.Load() {
				<-stop
			}
			if err != nil {
				dst.Close()
				return
			}
			_, _ = dst.Write(buffer[:n]) // an error is noticed by the other direction
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if frozen.Load() {
				go func() { <-stop; c.Close() }()
				continue
			}
			up, err := net.Dial("tcp", upstreamAddress)
			if err != nil {
				c.Close()
				continue
			}
			go forward(c, up)
			go forward(up, c)
		}
	}()
	return l.Addr().String(), func() { frozen.Store(true) }
}

func TestClientLeavesStoppedUpstream(t *testing.T) {
	a, b := startServer(t, ServerConfig{}), startServer(t, ServerConfig{})
	a.add(10)
	b.add(10)
	stopped := listenFrozen(t)
	proxy, freeze := startFreezableProxy(t, a.address)
	// The second upstream is stopped from the start. The client skips it, as it sends no greeting.
	client, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{proxy, stopped, b.address}})
	waitUntil(t, "the first ten frames", 5*time.Second, func() bool { return sink.lastNumber() == 10 })
	freeze()
	began := time.Now()
	a.add(5)
	b.add(5)
	waitUntil(t, "five more frames from the third upstream", 10*time.Second,
		func() bool { return sink.lastNumber() == 15 })
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("frames received %v after the upstream stopped, want at most 6 s", took)
	}
	if s := client.Stats(); s.Silent != 1 {
		t.Errorf("got Silent %d, want 1", s.Silent)
	}
}

func TestFailbackLosesNoFrames(t *testing.T) {
	a, b := startServer(t, ServerConfig{}), startServer(t, ServerConfig{})
	a.add(3)
	b.add(3)
	client, sink := startClient(t, ClientConfig{
		Name: "n", Upstreams: []string{a.address, b.address},
		FailbackDelay: 200 * time.Millisecond,
	})
	waitUntil(t, "the first three frames", 5*time.Second, func() bool { return sink.lastNumber() == 3 })
	address := a.address
	a.stop()
	b.add(3)
	waitUntil(t, "three frames from the second upstream", 5*time.Second, func() bool { return sink.lastNumber() == 6 })
	restarted := startServerAt(t, address, newNumberedFeed(), ServerConfig{})
	restarted.add(6)
	waitUntil(t, "the failback", 5*time.Second, func() bool { return client.Stats().Failbacks == 1 })
	restarted.add(3)
	waitUntil(t, "three frames from the first upstream", 5*time.Second, func() bool { return sink.lastNumber() == 9 })
	waitUntil(t, "the second upstream without subscribers", 5*time.Second,
		func() bool { return b.Stats().Subscribers == 0 })
}

// A client does not fail back to a first choice that is stopped or not fresh.
func TestNoFailbackToUnusableFirstChoice(t *testing.T) {
	stale := startServer(t, ServerConfig{Fresh: func() bool { return false }})
	stale.add(3)
	b := startServer(t, ServerConfig{})
	b.add(3)
	for name, first := range map[string]string{"frozen": listenFrozen(t), "lacking": stale.address} {
		client, sink := startClient(t, ClientConfig{
			Name: name, Upstreams: []string{first, b.address},
			FailbackDelay: 100 * time.Millisecond,
		})
		waitUntil(t, "three frames from the second upstream", 5*time.Second,
			func() bool { return sink.lastNumber() == 3 })
		waitUntil(t, "attempts to fail back", 10*time.Second, func() bool { return client.Stats().Dials >= 4 })
		if s := client.Stats(); s.Failbacks != 0 || s.Connects != 1 {
			t.Errorf("%s: got %+v, want no failback and one connection", name, s)
		}
	}
}

// If no upstream is fresh, a client uses a stale one.
func TestClientUsesStaleUpstreamAsLastResort(t *testing.T) {
	stale := startServer(t, ServerConfig{Fresh: func() bool { return false }})
	stale.add(3)
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{"127.0.0.1:1", stale.address}})
	waitUntil(t, "three frames from the stale upstream", 5*time.Second, func() bool { return sink.lastNumber() == 3 })
}

func TestClientLeavesLaggingUpstream(t *testing.T) {
	a, b := startServer(t, ServerConfig{}), startServer(t, ServerConfig{})
	client, sink := startClient(t, ClientConfig{
		Name: "n", Upstreams: []string{a.address, b.address},
		MaxLag: 150 * time.Millisecond,
	})
	waitUntil(t, "a connection", 5*time.Second, func() bool { return a.Stats().Subscribers == 1 })
	sink.lag.Store(int64(time.Second))
	waitUntil(t, "the move to the other upstream", 5*time.Second, func() bool { return b.Stats().Subscribers == 1 })
	time.Sleep(600 * time.Millisecond) // the other upstream lags as much: the client delays the next move
	if s := client.Stats(); s.Lagging != 1 || s.Connects != 2 {
		t.Errorf("got %+v, want one move", s)
	}
}

func TestSlowSubscriberIsDisconnected(t *testing.T) {
	feed := newNumberedFeed()
	feed.paddingBytes = 60 << 10
	server := startServerAt(t, "127.0.0.1:0", feed, ServerConfig{WriteTimeout: 300 * time.Millisecond})
	slow, err := net.Dial("tcp", server.address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if err := slow.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	sendHello(t, slow)
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{server.address}})
	waitUntil(t, "both", 5*time.Second, func() bool { return server.Stats().Subscribers == 2 })
	server.add(500) // 30 MB, of which the system buffers a few hundred KB for the slow subscriber
	waitUntil(t, "all frames at the other subscriber", 10*time.Second, func() bool { return sink.lastNumber() == 500 })
	waitUntil(t, "the end of the slow subscriber", 10*time.Second,
		func() bool { stats := server.Stats(); return stats.Slow == 1 && stats.Subscribers == 1 })
}

// A frame over the size limit ends only its own connection.
func TestOversizedFrameEndsOneConnection(t *testing.T) {
	server := startServer(t, ServerConfig{})
	oversized, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer oversized.Close()
	go func() {
		for {
			c, err := oversized.Accept()
			if err != nil {
				return
			}
			// The client ends the connection when it has read the length, so errors are expected.
			_ = writeFrame(c, greeting(true))
			_ = binary.Write(c, binary.BigEndian, uint32(1<<31))
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		}
	}()
	c, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{oversized.Addr().String(), server.address}})
	_, otherSink := startClient(t, ClientConfig{Name: "m", Upstreams: []string{server.address}})
	server.add(3)
	waitUntil(t, "three frames from the next upstream", 5*time.Second,
		func() bool { return sink.lastNumber() == 3 && otherSink.lastNumber() == 3 })
	if stats := c.Stats(); stats.Oversized != 1 {
		t.Errorf("got Oversized %d, want 1", stats.Oversized)
	}
	// At the server: a hello over the size limit, and invalid hellos.
	for _, text := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x02hi", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", server.address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		if all, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) ||
			len(all) > lengthBytes+greetingBytes {
			t.Errorf("hello %q: got %q, error %v, want the end of the connection", text, all, err)
		}
		conn.Close()
	}
	server.add(1)
	waitUntil(t, "the fourth frame at both", 5*time.Second,
		func() bool { return sink.lastNumber() == 4 && otherSink.lastNumber() == 4 })
}

func TestConnectionsAndHellosAreBounded(t *testing.T) {
	server := startServer(t, ServerConfig{
		MaxConnections: 20, MaxPendingHellos: 10,
		HelloTimeout: 300 * time.Millisecond,
	})
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{server.address}})
	waitUntil(t, "the subscriber", 5*time.Second, func() bool { return server.Stats().Subscribers == 1 })
	var conns []net.Conn
	for range 200 {
		if c, err := net.Dial("tcp", server.address); err == nil {
			conns = append(conns, c)
		}
	}
	waitUntil(t, "all connections to be accepted", 5*time.Second, func() bool { return server.Stats().Accepted == 201 })
	if stats := server.Stats(); stats.PendingHellos > 10 || stats.Refused < 150 {
		t.Errorf("got %+v, want at most 10 connections without a hello, and the others refused", stats)
	}
	server.add(3)
	waitUntil(t, "three frames during the flood", 5*time.Second, func() bool { return sink.lastNumber() == 3 })
	waitUntil(t, "the end of the flooding connections", 5*time.Second, func() bool {
		stats := server.Stats()
		return stats.PendingHellos == 0 && stats.Ended >= 10
	})
	for _, c := range conns {
		c.Close()
	}
}

func TestMaxConnectionsBoundsSubscribers(t *testing.T) {
	server := startServer(t, ServerConfig{MaxConnections: 3})
	for range 10 {
		c, err := net.Dial("tcp", server.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = writeFrame(c, make([]byte, 8)) // seven connections are refused and may be closed already
	}
	waitUntil(t, "all connections to be accepted", 5*time.Second, func() bool { return server.Stats().Accepted == 10 })
	waitUntil(t, "three subscribers", 5*time.Second, func() bool { return server.Stats().Subscribers == 3 })
	if stats := server.Stats(); stats.Refused != 7 {
		t.Errorf("got %+v, want seven refused connections", stats)
	}
}

func TestSubscriberSendingAfterHelloIsDisconnected(t *testing.T) {
	server := startServer(t, ServerConfig{})
	c, err := net.Dial("tcp", server.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sendHello(t, c)
	waitUntil(t, "the subscriber", 5*time.Second, func() bool { return server.Stats().Subscribers == 1 })
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the end of the subscriber", 5*time.Second, func() bool { return server.Stats().Subscribers == 0 })
}

// While all upstreams are unreachable, backoff bounds the connection attempts.
func TestConnectionAttemptsAreBounded(t *testing.T) {
	client, _ := startClient(t, ClientConfig{Name: "n", Upstreams: []string{"127.0.0.1:1", "127.0.0.1:2"}})
	time.Sleep(1500 * time.Millisecond)
	if n := client.Stats().Dials; n > 14 || n < 4 {
		t.Errorf("got %d connection attempts in 1.5 s, want 4 to 14", n)
	}
}

// Clients with different names spread evenly over the upstreams, also after one upstream has failed.
func TestClientsSpreadOverUpstreams(t *testing.T) {
	upstreams := []string{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"}
	first, second := map[string]int{}, map[string]int{}
	for i := range 4000 {
		order := ClientConfig{Name: fmt.Sprintf("node-%d", i), Upstreams: upstreams, SpreadByName: true}.upstreamOrder()
		first[order[0]]++
		if order[0] == upstreams[0] {
			second[order[1]]++
		}
	}
	for _, upstream := range upstreams {
		if n := first[upstream]; n < 850 || n > 1150 {
			t.Errorf("%s is the first choice of %d in 4,000 clients, want about 1,000", upstream, n)
		}
		if n := second[upstream]; upstream != upstreams[0] && (n < 230 || n > 440) {
			t.Errorf("%s is the second choice of %d clients of the first upstream, want about a third", upstream, n)
		}
	}
}

// cancelingConn fails its first read and cancels a context just before.
type cancelingConn struct {
	net.Conn
	cancel context.CancelFunc
}

func (c cancelingConn) Read([]byte) (int, error) {
	c.cancel()
	return 0, io.ErrUnexpectedEOF
}

// Guards against a crash of the process if a client stops at the moment when its upstream closes the connection.
func TestConnectCanceledWhileUpstreamCloses(t *testing.T) {
	for range 2000 {
		ctx, cancel := context.WithCancel(t.Context())
		near, far := net.Pipe()
		client := NewClient(ClientConfig{
			Upstreams: []string{"unused"},
			Dial:      func(context.Context, string) (net.Conn, error) { return cancelingConn{near, cancel}, nil },
		}, nil, zap.NewNop())
		if conn, _, err := client.connect(ctx, "unused"); err == nil || conn != nil {
			t.Fatalf("got connection %v and error %v, want an error alone", conn, err)
		}
		cancel()
		far.Close()
	}
}
