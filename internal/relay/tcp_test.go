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
type counting struct {
	last    uint64
	subs    map[int]*place
	ready   []int
	nextID  int
	most    int // subscribers; 0: any
	padding int
}

type place struct {
	sent uint64
	beat int64
}

func newCounting() *counting { return &counting{subs: map[int]*place{}} }

func (f *counting) Attach(now int64, hello []byte, _ int) (int, error) {
	if len(hello) < 8 {
		return 0, errors.New("no hello")
	}
	if f.most > 0 && len(f.subs) >= f.most {
		return 0, errors.New("too many")
	}
	f.nextID++
	f.subs[f.nextID] = &place{sent: binary.BigEndian.Uint64(hello)}
	return f.nextID, nil
}

func (f *counting) Detach(id int) { delete(f.subs, id) }

func (f *counting) Next(now int64, id int) ([]byte, int64) {
	p := f.subs[id]
	if p == nil {
		return nil, now + int64(time.Hour)
	}
	if p.sent < f.last {
		p.sent++
		p.beat = now
		return append(binary.BigEndian.AppendUint64(nil, p.sent), make([]byte, f.padding)...), 0
	}
	if now-p.beat >= int64(100*time.Millisecond) {
		p.beat = now
		return []byte("beat"), 0
	}
	return nil, p.beat + int64(100*time.Millisecond)
}

func (f *counting) Ready() []int {
	r := f.ready
	f.ready = nil
	return r
}

func (f *counting) add(n uint64) {
	f.last += n
	for id := range f.subs {
		f.ready = append(f.ready, id)
	}
}

// following takes numbered frames and fails the test at a gap, a repeat or a step back.
type following struct {
	t      *testing.T
	mu     sync.Mutex
	last   uint64
	hellos int
	wrong  []string
	behind atomic.Int64
}

func (s *following) Hello(int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hellos++
	return append(binary.BigEndian.AppendUint64(nil, s.last), make([]byte, 20)...)
}

func (s *following) Receive(_ int64, frame []byte) error {
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
		s.wrong = append(s.wrong, fmt.Sprintf("%d after %d", n, s.last))
	}
	s.last = n
	return nil
}

func (s *following) LagNs(int64) int64 { return s.behind.Load() }

func (s *following) at() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *following) check() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.wrong {
		s.t.Error("frames out of order:", w)
	}
}

func soon(t *testing.T, what string, within time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came within %v: %s", within, what)
		}
	}
}

type station struct {
	*Server
	feed *counting
	l    net.Listener
	at   string
}

func (s *station) add(n uint64) { s.Do(func(int64) { s.feed.add(n) }) }

func (s *station) stop() {
	s.l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = s.Close(ctx) // a connection that does not end fails the test that looks at it
}

func stationAt(t *testing.T, at string, feed *counting, set ServerConfig) *station {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	s := &station{Server: NewServer(feed, set, zap.NewNop()), feed: feed, l: l, at: l.Addr().String()}
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

func newStation(t *testing.T, set ServerConfig) *station {
	return stationAt(t, "127.0.0.1:0", newCounting(), set)
}

func follow(t *testing.T, set ClientConfig) (*Client, *following) {
	t.Helper()
	sink := &following{t: t}
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
		sink.check()
	})
	return c, sink
}

func TestFramesArriveOnceInOrder(t *testing.T) {
	s := newStation(t, ServerConfig{})
	_, sink := follow(t, ClientConfig{Name: "n", Upstreams: []string{s.at}})
	for range 20 {
		s.add(50)
	}
	soon(t, "all frames", 5*time.Second, func() bool { return sink.at() == 1000 })
}

// An upstream that fails, in whichever way, is left at once, and no frame is lost or repeated.
func TestFailedUpstreamIsLeft(t *testing.T) {
	a, b := newStation(t, ServerConfig{}), newStation(t, ServerConfig{})
	a.add(10)
	b.add(10)
	_, sink := follow(t, ClientConfig{Name: "n", Upstreams: []string{a.at, b.at}})
	soon(t, "the first ten", 5*time.Second, func() bool { return sink.at() == 10 })
	a.stop()
	began := time.Now()
	b.add(5)
	soon(t, "the others by the other upstream", 5*time.Second, func() bool { return sink.at() == 15 })
	if took := time.Since(began); took > time.Second {
		t.Errorf("moved after %v, expected a second at most", took)
	}
}

// frozen accepts connections as the system does for a stopped process, and sends nothing.
func frozen(t *testing.T) string {
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
func freezing(t *testing.T, to string) (at string, freeze func()) {
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

func TestStoppedUpstreamIsLeft(t *testing.T) {
	a, b := newStation(t, ServerConfig{}), newStation(t, ServerConfig{})
	a.add(10)
	b.add(10)
	still := frozen(t)
	way, freeze := freezing(t, a.at)
	// The second one is stopped too, from the start: it is skipped as it does not greet.
	c, sink := follow(t, ClientConfig{Name: "n", Upstreams: []string{way, still, b.at}})
	soon(t, "the first ten", 5*time.Second, func() bool { return sink.at() == 10 })
	freeze()
	began := time.Now()
	a.add(5)
	b.add(5)
	soon(t, "what came since, by the third", 10*time.Second, func() bool { return sink.at() == 15 })
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("received after %v, expected 6 s at most", took)
	}
	if s := c.Stats(); s.Silent != 1 {
		t.Errorf("silent = %d, expected 1", s.Silent)
	}
}

func TestFailbackWithoutGap(t *testing.T) {
	a, b := newStation(t, ServerConfig{}), newStation(t, ServerConfig{})
	a.add(3)
	b.add(3)
	c, sink := follow(t, ClientConfig{
		Name: "n", Upstreams: []string{a.at, b.at},
		FailbackDelay: 200 * time.Millisecond,
	})
	soon(t, "the first three", 5*time.Second, func() bool { return sink.at() == 3 })
	at := a.at
	a.stop()
	b.add(3)
	soon(t, "three by the second", 5*time.Second, func() bool { return sink.at() == 6 })
	again := stationAt(t, at, newCounting(), ServerConfig{})
	again.add(6)
	soon(t, "the return", 5*time.Second, func() bool { return c.Stats().Failbacks == 1 })
	again.add(3)
	soon(t, "three by the first", 5*time.Second, func() bool { return sink.at() == 9 })
	soon(t, "that the second one notices", 5*time.Second, func() bool { return b.Stats().Subscribers == 0 })
}

// There is no failback to a first choice that is stopped or not fresh.
func TestNoFailbackToUnusableFirstChoice(t *testing.T) {
	lacking := newStation(t, ServerConfig{Fresh: func() bool { return false }})
	lacking.add(3)
	b := newStation(t, ServerConfig{})
	b.add(3)
	for name, first := range map[string]string{"frozen": frozen(t), "lacking": lacking.at} {
		c, sink := follow(t, ClientConfig{
			Name: name, Upstreams: []string{first, b.at},
			FailbackDelay: 100 * time.Millisecond,
		})
		soon(t, "three by the second", 5*time.Second, func() bool { return sink.at() == 3 })
		soon(t, "tries to go back", 10*time.Second, func() bool { return c.Stats().Dials >= 4 })
		if s := c.Stats(); s.Failbacks != 0 || s.Connects != 1 {
			t.Errorf("%s: %+v: expected no return and one connection", name, s)
		}
	}
}

// Where no upstream is fresh, one that is not is better than none.
func TestStaleUpstreamIsLastResort(t *testing.T) {
	lacking := newStation(t, ServerConfig{Fresh: func() bool { return false }})
	lacking.add(3)
	_, sink := follow(t, ClientConfig{Name: "n", Upstreams: []string{"127.0.0.1:1", lacking.at}})
	soon(t, "three by the one that lacks something", 5*time.Second, func() bool { return sink.at() == 3 })
}

func TestLaggingUpstreamIsLeft(t *testing.T) {
	a, b := newStation(t, ServerConfig{}), newStation(t, ServerConfig{})
	c, sink := follow(t, ClientConfig{Name: "n", Upstreams: []string{a.at, b.at}, MaxLag: 150 * time.Millisecond})
	soon(t, "a connection", 5*time.Second, func() bool { return a.Stats().Subscribers == 1 })
	sink.behind.Store(int64(time.Second))
	soon(t, "the move", 5*time.Second, func() bool { return b.Stats().Subscribers == 1 })
	time.Sleep(600 * time.Millisecond) // as far behind: moving on would not help, and is put off
	if s := c.Stats(); s.Lagging != 1 || s.Connects != 2 {
		t.Errorf("%+v: expected one move", s)
	}
}

func TestSlowSubscriberIsDisconnected(t *testing.T) {
	feed := newCounting()
	feed.padding = 60 << 10
	s := stationAt(t, "127.0.0.1:0", feed, ServerConfig{WriteTimeout: 300 * time.Millisecond})
	slow, err := net.Dial("tcp", s.at)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if err := slow.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	sendHello(t, slow)
	_, sink := follow(t, ClientConfig{Name: "n", Upstreams: []string{s.at}})
	soon(t, "both", 5*time.Second, func() bool { return s.Stats().Subscribers == 2 })
	s.add(500) // 30 MB, of which the system holds a few hundred KB for the slow one
	soon(t, "all frames at the other", 10*time.Second, func() bool { return sink.at() == 500 })
	soon(t, "the end of the slow one", 10*time.Second,
		func() bool { st := s.Stats(); return st.Slow == 1 && st.Subscribers == 1 })
}

// A frame over the limit ends that connection alone.
func TestOversizedFrameEndsOneConnection(t *testing.T) {
	s := newStation(t, ServerConfig{})
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
	c, sink := follow(t, ClientConfig{Name: "n", Upstreams: []string{long.Addr().String(), s.at}})
	_, other := follow(t, ClientConfig{Name: "m", Upstreams: []string{s.at}})
	s.add(3)
	soon(t, "three by the next upstream", 5*time.Second, func() bool { return sink.at() == 3 && other.at() == 3 })
	if st := c.Stats(); st.Oversized != 1 {
		t.Errorf("too long = %d, expected 1", st.Oversized)
	}
	// The server's side: a hello over the limit, and invalid ones.
	for _, text := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x02hi", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", s.at)
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
	soon(t, "the fourth frame at both", 5*time.Second, func() bool { return sink.at() == 4 && other.at() == 4 })
}

func TestConnectionsAndHellosAreBounded(t *testing.T) {
	s := newStation(t, ServerConfig{MaxConnections: 20, MaxPendingHellos: 10, HelloTimeout: 300 * time.Millisecond})
	_, sink := follow(t, ClientConfig{Name: "n", Upstreams: []string{s.at}})
	soon(t, "the subscriber", 5*time.Second, func() bool { return s.Stats().Subscribers == 1 })
	var conns []net.Conn
	for range 200 {
		if c, err := net.Dial("tcp", s.at); err == nil {
			conns = append(conns, c)
		}
	}
	soon(t, "that all were looked at", 5*time.Second, func() bool { return s.Stats().Accepted == 201 })
	if st := s.Stats(); st.PendingHellos > 10 || st.Refused < 150 {
		t.Errorf("%+v: expected 10 without a hello at most, and the others refused", st)
	}
	s.add(3)
	soon(t, "three frames in the flood", 5*time.Second, func() bool { return sink.at() == 3 })
	soon(t, "the flood's end", 5*time.Second, func() bool {
		st := s.Stats()
		return st.PendingHellos == 0 && st.Ended >= 10
	})
	for _, c := range conns {
		c.Close()
	}
}

func TestMaxConnectionsBoundsSubscribers(t *testing.T) {
	s := newStation(t, ServerConfig{MaxConnections: 3})
	for range 10 {
		c, err := net.Dial("tcp", s.at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = writeFrame(c, make([]byte, 8)) // seven are refused, and may be closed by now
	}
	soon(t, "that all were looked at", 5*time.Second, func() bool { return s.Stats().Accepted == 10 })
	soon(t, "three subscribers", 5*time.Second, func() bool { return s.Stats().Subscribers == 3 })
	if st := s.Stats(); st.Refused != 7 {
		t.Errorf("%+v: expected seven refused", st)
	}
}

func TestSubscriberSendingAfterHelloIsDisconnected(t *testing.T) {
	s := newStation(t, ServerConfig{})
	c, err := net.Dial("tcp", s.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sendHello(t, c)
	soon(t, "the subscriber", 5*time.Second, func() bool { return s.Stats().Subscribers == 1 })
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	soon(t, "its end", 5*time.Second, func() bool { return s.Stats().Subscribers == 0 })
}

// While all upstreams are unreachable, backoff bounds the attempts.
func TestConnectionAttemptsAreBounded(t *testing.T) {
	c, _ := follow(t, ClientConfig{Name: "n", Upstreams: []string{"127.0.0.1:1", "127.0.0.1:2"}})
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
