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

// counting is a feed of numbered frames: frame i holds i. A subscriber's hello says which it has received.
type numberedFeed struct {
	last           uint64
	subscribers    map[int]*feedPosition
	ready          []int
	nextID         int
	maxSubscribers int // subscribers; 0: any
	paddingBytes   int
}

type feedPosition struct {
	lastSent    uint64
	lastFrameNs int64
}

func newNumberedFeed() *numberedFeed { return &numberedFeed{subscribers: map[int]*feedPosition{}} }

func (f *numberedFeed) Attach(now int64, hello []byte, _ int) (int, error) {
	if len(hello) < 8 {
		return 0, errors.New("no hello")
	}
	if f.maxSubscribers > 0 && len(f.subscribers) >= f.maxSubscribers {
		return 0, errors.New("too many")
	}
	f.nextID++
	f.subscribers[f.nextID] = &feedPosition{lastSent: binary.BigEndian.Uint64(hello)}
	return f.nextID, nil
}

func (f *numberedFeed) Detach(id int) { delete(f.subscribers, id) }

func (f *numberedFeed) Next(now int64, id int) ([]byte, int64) {
	p := f.subscribers[id]
	if p == nil {
		return nil, now + int64(time.Hour)
	}
	if p.lastSent < f.last {
		p.lastSent++
		p.lastFrameNs = now
		return append(binary.BigEndian.AppendUint64(nil, p.lastSent), make([]byte, f.paddingBytes)...), 0
	}
	if now-p.lastFrameNs >= int64(100*time.Millisecond) {
		p.lastFrameNs = now
		return []byte("beat"), 0
	}
	return nil, p.lastFrameNs + int64(100*time.Millisecond)
}

func (f *numberedFeed) Ready() []int {
	r := f.ready
	f.ready = nil
	return r
}

func (f *numberedFeed) add(n uint64) {
	f.last += n
	for id := range f.subscribers {
		f.ready = append(f.ready, id)
	}
}

// following takes numbered frames and fails the test at a gap, a repeat or a step back.
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
		return errors.New("too short")
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

func waitUntil(t *testing.T, what string, within time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came within %v: %s", within, what)
		}
	}
}

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
	_ = s.Close(ctx) // a connection that does not end fails the test that looks at it
}

func startServerAt(t *testing.T, at string, feed *numberedFeed, set ServerConfig) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{Server: NewServer(feed, set, zap.NewNop()), feed: feed, listener: l, address: l.Addr().String()}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(s.stop)
	return s
}

// sendHello sends a hello that the feed of a station takes.
func sendHello(t *testing.T, c net.Conn) {
	t.Helper()
	if err := writeFrame(c, make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
}

func startServer(t *testing.T, set ServerConfig) *testServer {
	return startServerAt(t, "127.0.0.1:0", newNumberedFeed(), set)
}

func startClient(t *testing.T, set ClientConfig) (*Client, *numberedSink) {
	t.Helper()
	sink := &numberedSink{t: t}
	c := NewClient(set, sink, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Error("the client did not end")
		}
		sink.checkOrder()
	})
	return c, sink
}

func TestFramesArriveOnceInOrder(t *testing.T) {
	s := startServer(t, ServerConfig{})
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{s.address}})
	for range 20 {
		s.add(50)
	}
	waitUntil(t, "all frames", 5*time.Second, func() bool { return sink.lastNumber() == 1000 })
}

// An upstream that fails, in whichever way, is left at once, and no frame is lost or repeated.
func TestClientLeavesFailedUpstream(t *testing.T) {
	a, b := startServer(t, ServerConfig{}), startServer(t, ServerConfig{})
	a.add(10)
	b.add(10)
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{a.address, b.address}})
	waitUntil(t, "the first ten", 5*time.Second, func() bool { return sink.lastNumber() == 10 })
	a.stop()
	began := time.Now()
	b.add(5)
	waitUntil(t, "the others by the other upstream", 5*time.Second, func() bool { return sink.lastNumber() == 15 })
	if took := time.Since(began); took > time.Second {
		t.Errorf("moved after %v, expected a second at most", took)
	}
}

// frozen accepts connections as the system does for a stopped process, and sends nothing.
func listenFrozen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// freezing passes bytes between a client and an upstream until it is stopped: from then on it neither reads nor
// writes, and closes nothing.
func startFreezableProxy(t *testing.T, to string) (at string, freeze func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var still atomic.Bool
	stop := make(chan struct{})
	t.Cleanup(func() { l.Close(); close(stop) })
	pass := func(dst, src net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := src.Read(buffer)
			if still.Load() {
				<-stop
			}
			if err != nil {
				dst.Close()
				return
			}
			_, _ = dst.Write(buffer[:n]) // the other direction notices the end
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if still.Load() {
				go func() { <-stop; c.Close() }()
				continue
			}
			up, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go pass(c, up)
			go pass(up, c)
		}
	}()
	return l.Addr().String(), func() { still.Store(true) }
}

func TestClientLeavesStoppedUpstream(t *testing.T) {
	a, b := startServer(t, ServerConfig{}), startServer(t, ServerConfig{})
	a.add(10)
	b.add(10)
	still := listenFrozen(t)
	way, freeze := startFreezableProxy(t, a.address)
	// The second one is stopped too, from the start: it is skipped as it does not greet.
	c, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{way, still, b.address}})
	waitUntil(t, "the first ten", 5*time.Second, func() bool { return sink.lastNumber() == 10 })
	freeze()
	began := time.Now()
	a.add(5)
	b.add(5)
	waitUntil(t, "what came since, by the third", 10*time.Second, func() bool { return sink.lastNumber() == 15 })
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("received after %v, expected 6 s at most", took)
	}
	if s := c.Stats(); s.Silent != 1 {
		t.Errorf("silent = %d, expected 1", s.Silent)
	}
}

func TestFailbackLosesNoFrames(t *testing.T) {
	a, b := startServer(t, ServerConfig{}), startServer(t, ServerConfig{})
	a.add(3)
	b.add(3)
	c, sink := startClient(t, ClientConfig{
		Name: "n", Upstreams: []string{a.address, b.address},
		FailbackDelay: 200 * time.Millisecond,
	})
	waitUntil(t, "the first three", 5*time.Second, func() bool { return sink.lastNumber() == 3 })
	at := a.address
	a.stop()
	b.add(3)
	waitUntil(t, "three by the second", 5*time.Second, func() bool { return sink.lastNumber() == 6 })
	again := startServerAt(t, at, newNumberedFeed(), ServerConfig{})
	again.add(6)
	waitUntil(t, "the return", 5*time.Second, func() bool { return c.Stats().Failbacks == 1 })
	again.add(3)
	waitUntil(t, "three by the first", 5*time.Second, func() bool { return sink.lastNumber() == 9 })
	waitUntil(t, "that the second one notices", 5*time.Second, func() bool { return b.Stats().Subscribers == 0 })
}

// There is no failback to a first choice that is stopped or not fresh.
func TestNoFailbackToUnusableFirstChoice(t *testing.T) {
	lacking := startServer(t, ServerConfig{Fresh: func() bool { return false }})
	lacking.add(3)
	b := startServer(t, ServerConfig{})
	b.add(3)
	for name, first := range map[string]string{"frozen": listenFrozen(t), "lacking": lacking.address} {
		c, sink := startClient(t, ClientConfig{
			Name: name, Upstreams: []string{first, b.address},
			FailbackDelay: 100 * time.Millisecond,
		})
		waitUntil(t, "three by the second", 5*time.Second, func() bool { return sink.lastNumber() == 3 })
		waitUntil(t, "tries to go back", 10*time.Second, func() bool { return c.Stats().Dials >= 4 })
		if s := c.Stats(); s.Failbacks != 0 || s.Connects != 1 {
			t.Errorf("%s: %+v: expected no return and one connection", name, s)
		}
	}
}

// Where no upstream is fresh, one that is not is better than none.
func TestClientUsesStaleUpstreamAsLastResort(t *testing.T) {
	lacking := startServer(t, ServerConfig{Fresh: func() bool { return false }})
	lacking.add(3)
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{"127.0.0.1:1", lacking.address}})
	waitUntil(t, "three by the one that lacks something", 5*time.Second, func() bool { return sink.lastNumber() == 3 })
}

func TestClientLeavesLaggingUpstream(t *testing.T) {
	a, b := startServer(t, ServerConfig{}), startServer(t, ServerConfig{})
	c, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{a.address, b.address}, MaxLag: 150 * time.Millisecond})
	waitUntil(t, "a connection", 5*time.Second, func() bool { return a.Stats().Subscribers == 1 })
	sink.lag.Store(int64(time.Second))
	waitUntil(t, "the move", 5*time.Second, func() bool { return b.Stats().Subscribers == 1 })
	time.Sleep(600 * time.Millisecond) // as far behind: moving on would not help, and is put off
	if s := c.Stats(); s.Lagging != 1 || s.Connects != 2 {
		t.Errorf("%+v: expected one move", s)
	}
}

func TestSlowSubscriberIsDisconnected(t *testing.T) {
	feed := newNumberedFeed()
	feed.paddingBytes = 60 << 10
	s := startServerAt(t, "127.0.0.1:0", feed, ServerConfig{WriteTimeout: 300 * time.Millisecond})
	slow, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if err := slow.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	sendHello(t, slow)
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{s.address}})
	waitUntil(t, "both", 5*time.Second, func() bool { return s.Stats().Subscribers == 2 })
	s.add(500) // 30 MB, of which the system holds a few hundred KB for the slow one
	waitUntil(t, "all frames at the other", 10*time.Second, func() bool { return sink.lastNumber() == 500 })
	waitUntil(t, "the end of the slow one", 10*time.Second,
		func() bool { st := s.Stats(); return st.Slow == 1 && st.Subscribers == 1 })
}

// A frame over the limit ends that connection alone.
func TestOversizedFrameEndsOneConnection(t *testing.T) {
	s := startServer(t, ServerConfig{})
	long, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer long.Close()
	go func() {
		for {
			c, err := long.Accept()
			if err != nil {
				return
			}
			// The client ends the connection at the length, so that errors from here on are expected.
			_ = writeFrame(c, greeting(true))
			_ = binary.Write(c, binary.BigEndian, uint32(1<<31))
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		}
	}()
	c, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{long.Addr().String(), s.address}})
	_, other := startClient(t, ClientConfig{Name: "m", Upstreams: []string{s.address}})
	s.add(3)
	waitUntil(t, "three by the next upstream", 5*time.Second, func() bool { return sink.lastNumber() == 3 && other.lastNumber() == 3 })
	if st := c.Stats(); st.Oversized != 1 {
		t.Errorf("too long = %d, expected 1", st.Oversized)
	}
	// The server's side: a hello over the limit, and invalid ones.
	for _, text := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x02hi", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		if all, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) ||
			len(all) > lengthBytes+greetingBytes {
			t.Errorf("hello %q: got %q, %v; expected the end of the connection", text, all, err)
		}
		conn.Close()
	}
	s.add(1)
	waitUntil(t, "the fourth frame at both", 5*time.Second, func() bool { return sink.lastNumber() == 4 && other.lastNumber() == 4 })
}

func TestConnectionsAndHellosAreBounded(t *testing.T) {
	s := startServer(t, ServerConfig{MaxConnections: 20, MaxPendingHellos: 10, HelloTimeout: 300 * time.Millisecond})
	_, sink := startClient(t, ClientConfig{Name: "n", Upstreams: []string{s.address}})
	waitUntil(t, "the subscriber", 5*time.Second, func() bool { return s.Stats().Subscribers == 1 })
	var conns []net.Conn
	for range 200 {
		if c, err := net.Dial("tcp", s.address); err == nil {
			conns = append(conns, c)
		}
	}
	waitUntil(t, "that all were looked at", 5*time.Second, func() bool { return s.Stats().Accepted == 201 })
	if st := s.Stats(); st.PendingHellos > 10 || st.Refused < 150 {
		t.Errorf("%+v: expected 10 without a hello at most, and the others refused", st)
	}
	s.add(3)
	waitUntil(t, "three frames in the flood", 5*time.Second, func() bool { return sink.lastNumber() == 3 })
	waitUntil(t, "the flood's end", 5*time.Second, func() bool {
		st := s.Stats()
		return st.PendingHellos == 0 && st.Ended >= 10
	})
	for _, c := range conns {
		c.Close()
	}
}

func TestMaxConnectionsBoundsSubscribers(t *testing.T) {
	s := startServer(t, ServerConfig{MaxConnections: 3})
	for range 10 {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = writeFrame(c, make([]byte, 8)) // seven are refused, and may be closed by now
	}
	waitUntil(t, "that all were looked at", 5*time.Second, func() bool { return s.Stats().Accepted == 10 })
	waitUntil(t, "three subscribers", 5*time.Second, func() bool { return s.Stats().Subscribers == 3 })
	if st := s.Stats(); st.Refused != 7 {
		t.Errorf("%+v: expected seven refused", st)
	}
}

func TestSubscriberSendingAfterHelloIsDisconnected(t *testing.T) {
	s := startServer(t, ServerConfig{})
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sendHello(t, c)
	waitUntil(t, "the subscriber", 5*time.Second, func() bool { return s.Stats().Subscribers == 1 })
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "its end", 5*time.Second, func() bool { return s.Stats().Subscribers == 0 })
}

// While all upstreams are unreachable, backoff bounds the attempts.
func TestConnectionAttemptsAreBounded(t *testing.T) {
	c, _ := startClient(t, ClientConfig{Name: "n", Upstreams: []string{"127.0.0.1:1", "127.0.0.1:2"}})
	time.Sleep(1500 * time.Millisecond)
	if n := c.Stats().Dials; n > 14 || n < 4 {
		t.Errorf("%d tries in 1.5 s, expected 4 to 14", n)
	}
}

// Clients of many names spread evenly over the upstreams, also once one of them has failed.
func TestClientsSpreadOverUpstreams(t *testing.T) {
	ups := []string{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"}
	first, second := map[string]int{}, map[string]int{}
	for i := range 4000 {
		o := ClientConfig{Name: fmt.Sprintf("node-%d", i), Upstreams: ups, SpreadByName: true}.upstreamOrder()
		first[o[0]]++
		if o[0] == ups[0] {
			second[o[1]]++
		}
	}
	for _, u := range ups {
		if n := first[u]; n < 850 || n > 1150 {
			t.Errorf("%s is the first choice of %d in 4,000, expected about 1,000", u, n)
		}
		if n := second[u]; u != ups[0] && (n < 230 || n > 440) {
			t.Errorf("%s is the second choice of %d of the first one's, expected about a third", u, n)
		}
	}
}
