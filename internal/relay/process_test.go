package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fawnglade/internal/distribution"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// fakeDiscovery replaces discovery: it answers each watch with the complete list, then with changes.
type fakeDiscovery struct {
	address      string
	mu           sync.Mutex
	version      int
	hosts        map[string]string // the entry of each
	unresponsive bool              // it takes calls and says nothing
	watches      []chan string
}

func endpointJSON(host, site, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.0.0.1:80","site":%q,"block":1,"health":%q,"share":1,"born_ms":5}`, host,
		site, health)
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d := &fakeDiscovery{address: l.Addr().String(), hosts: map[string]string{}, version: 1}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serveWatch(c)
		}
	}()
	return d
}

func (d *fakeDiscovery) serveWatch(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	lines := make(chan string, 1000) // more than a test ever sets at once
	d.mu.Lock()
	silent := d.unresponsive
	all := make([]string, 0, len(d.hosts))
	for _, e := range d.hosts {
		all = append(all, e)
	}
	slices.Sort(all)
	lines <- fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.version, strings.Join(all, ","))
	d.watches = append(d.watches, lines)
	d.mu.Unlock()
	if silent {
		time.Sleep(time.Minute)
		return
	}
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	beat := time.NewTicker(300 * time.Millisecond)
	defer beat.Stop()
	for {
		text := "\n"
		select {
		case line, more := <-lines:
			if !more {
				return
			}
			text = line + "\n"
		case <-beat.C:
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
	}
}

// set changes a host; health "removed" removes it, as in the protocol.
func (d *fakeDiscovery) setEndpoint(host, site, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.hosts[host] = endpointJSON(host, site, health)
	line := fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, d.version, d.hosts[host])
	if health == "removed" {
		delete(d.hosts, host)
	}
	for _, l := range d.watches {
		select {
		case l <- line:
		default:
		}
	}
}

// cut ends all watches; silent: from now on it accepts requests and sends nothing.
func (d *fakeDiscovery) endWatches(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = silent
	for _, l := range d.watches {
		close(l)
	}
	d.watches = nil
}

// running is a process under test.
type testProcess struct {
	*Process
	signals chan os.Signal
	done    chan error
	logs    *observer.ObservedLogs
}

func (r *testProcess) terminate(t *testing.T) {
	t.Helper()
	select {
	case r.signals <- syscall.SIGTERM:
	default:
	}
	select {
	case err := <-r.done:
		r.done <- err
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("did not end")
	}
}

func startProcess(t *testing.T, text string) *testProcess {
	t.Helper()
	config, err := ParseConfig("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	p, err := NewProcess(config, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	r := &testProcess{Process: p, signals: make(chan os.Signal, 1), done: make(chan error, 1), logs: logs}
	go func() { r.done <- p.Run(r.signals) }()
	t.Cleanup(func() { r.terminate(t) })
	return r
}

func originConfig(listen, discovery, directory string) string {
	return fmt.Sprintf("name = \"o\"\nrole = \"origin\"\nlisten = %q\n"+
		"[origin]\ndiscovery = %q\nconfiguration = %q\nevery = \"50ms\"\n\n"+
		"[origin.scope]\nservice = \"cart\"\n"+
		"[origin.scope.regions]\neu1 = [\"a\", \"b\"]\nus1 = [\"c\"]\n", listen, discovery, directory)
}

func relayConfig(name, listen string, scopes []string, upstream ...string) string {
	list := func(all []string) string { text, _ := json.Marshal(append([]string{}, all...)); return string(text) }
	return fmt.Sprintf("name = %q\nrole = \"relay\"\nlisten = %q\nupstream = %s\nscopes = %s\n", name, listen,
		list(upstream), list(scopes))
}

// held is what a subscriber holds, and every change that it received.
type testSubscriber struct {
	*SubscriberSink
	client  *Client
	mu      sync.Mutex
	changes []distribution.Change
}

func startSubscriber(t *testing.T, scopes []string, config ClientConfig) *testSubscriber {
	t.Helper()
	core, err := distribution.NewSubscriber(Selectors(scopes), distribution.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	h := &testSubscriber{}
	h.SubscriberSink = NewSubscriberSink(core, scopes, func(_ int64, changes []distribution.Change) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.changes = append(h.changes, changes...)
	}, zap.NewNop())
	config.Name = "n1"
	h.client = NewClient(config, h, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.client.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

func (h *testSubscriber) keys() (keys []string, complete bool) {
	h.Inspect(func(s *distribution.Subscriber) {
		s.Each(func(r distribution.Record) { keys = append(keys, r.Scope+" "+r.Key) })
		complete = s.Complete()
	})
	slices.Sort(keys)
	return keys, complete
}

func (h *testSubscriber) deletionCount() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.changes {
		if c.Deleted {
			n++
		}
	}
	return n
}

func (h *testSubscriber) waitForKeys(t *testing.T, what string, keys ...string) {
	t.Helper()
	var found []string
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		var complete bool
		if found, complete = h.keys(); complete && slices.Equal(found, keys) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: found %q, expected %q", what, found, keys)
		}
	}
}

func writeRecords(t *testing.T, dir, file string, lines ...string) {
	t.Helper()
	path := filepath.Join(dir, file)
	if err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func TestDiscoveryChangesReachNodeThroughTwoRelays(t *testing.T) {
	d, dir := newFakeDiscovery(t), t.TempDir()
	d.setEndpoint("h1", "a", "up")
	d.setEndpoint("h2", "b", "up")
	d.setEndpoint("h3", "c", "up")
	writeRecords(t, dir, "routes.jsonl", `{"scope":"eu1/cart","key":"route/x","body":{"to": "cart"}}`)
	o := startProcess(t, originConfig("127.0.0.1:0", d.address, dir))
	top := startProcess(t, relayConfig("top", "127.0.0.1:0", nil, o.Address()))
	low := startProcess(t, relayConfig("low", "127.0.0.1:0", []string{"eu1/*"}, top.Address()))
	h := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{low.Address()}})
	h.waitForKeys(t, "at first", "eu1/cart endpoint/h1", "eu1/cart endpoint/h2", "eu1/cart route/x")
	d.setEndpoint("h1", "a", "draining")
	d.setEndpoint("h2", "b", "removed")
	d.setEndpoint("h4", "a", "up")
	writeRecords(t, dir, "more.jsonl", `{"scope":"eu1/cart","key":"route/y","body":1}`)
	h.waitForKeys(t, "after changes", "eu1/cart endpoint/h1", "eu1/cart endpoint/h4", "eu1/cart route/x", "eu1/cart route/y")
	d.setEndpoint("h4", "c", "up") // another site: another region
	writeRecords(t, dir, "routes.jsonl", "")
	h.waitForKeys(t, "after a move", "eu1/cart endpoint/h1", "eu1/cart route/y")
	h.Inspect(func(s *distribution.Subscriber) {
		s.Each(func(r distribution.Record) {
			if r.Key == "endpoint/h1" && (r.Class != distribution.ClassWithdrawal ||
				!strings.Contains(string(r.Body), `"health":"draining"`)) {
				t.Errorf("a draining host came as %+v %s", r, r.Body)
			}
		})
	})
}

// While discovery is away nothing is removed, also not by an origin that starts without a list.
func TestDiscoveryOutageRemovesNothing(t *testing.T) {
	d := newFakeDiscovery(t)
	d.setEndpoint("h1", "a", "up")
	dir := t.TempDir()
	writeRecords(t, dir, "r.jsonl", `{"scope":"eu1/cart","key":"route/x","body":1}`)
	text := originConfig("127.0.0.1:0", d.address, dir)
	o := startProcess(t, text)
	at := o.Address()
	r := startProcess(t, relayConfig("r", "127.0.0.1:0", nil, at))
	h := startSubscriber(t, []string{"eu1/*"}, ClientConfig{Upstreams: []string{r.Address()}})
	h.waitForKeys(t, "at first", "eu1/cart endpoint/h1", "eu1/cart route/x")
	d.endWatches(true)
	waitUntil(t, "a second call", 5*time.Second, func() bool { return o.watch.calls.Load() >= 2 })
	o.terminate(t)
	again := startProcess(t, strings.Replace(text, "127.0.0.1:0", at, 1))
	waitUntil(t, "the relay at the origin's second life", 10*time.Second,
		func() bool { return again.server.Stats().Subscribers == 1 })
	writeRecords(t, dir, "s.jsonl", `{"scope":"eu1/cart","key":"route/y","body":1}`) // what it does know comes through
	waitUntil(t, "a record of the second life", 10*time.Second, func() bool {
		keys, _ := h.keys()
		return slices.Contains(keys, "eu1/cart route/y")
	})
	if keys, _ := h.keys(); !slices.Contains(keys, "eu1/cart endpoint/h1") || h.deletionCount() != 0 {
		t.Fatalf("an origin without a list took something away: %q, %d gone", keys, h.deletionCount())
	}
	d.mu.Lock()
	delete(d.hosts, "h1")
	d.hosts["h2"] = endpointJSON("h2", "a", "up")
	d.version += 10
	d.mu.Unlock()
	d.endWatches(false) // calls that are out end by themselves
	h.waitForKeys(t, "with discovery back", "eu1/cart endpoint/h2", "eu1/cart route/x", "eu1/cart route/y")
}

// A relay that restarts empty while its upstream is away sends no removals, and nothing twice.
func TestRestartedRelayRemovesNothing(t *testing.T) {
	d, dir := newFakeDiscovery(t), t.TempDir()
	for i := range 50 {
		d.setEndpoint(fmt.Sprintf("h%02d", i), "a", "up")
	}
	o := startProcess(t, originConfig("127.0.0.1:0", d.address, dir))
	r := startProcess(t, relayConfig("r", "127.0.0.1:0", nil, o.Address()))
	at := r.Address()
	h := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{at}})
	waitUntil(t, "all fifty", 10*time.Second, func() bool { keys, complete := h.keys(); return complete && len(keys) == 50 })
	r.terminate(t)
	originAt := o.Address()
	o.terminate(t)
	empty := startProcess(t, relayConfig("r", at, nil, originAt))
	waitUntil(t, "the node at the empty relay", 10*time.Second, func() bool { return empty.server.Stats().Subscribers == 1 })
	waitUntil(t, "frames of the empty relay", 10*time.Second, func() bool { return empty.server.Stats().Frames >= 2 })
	if keys, _ := h.keys(); len(keys) != 50 || h.deletionCount() != 0 {
		t.Fatalf("an empty relay took something away: %d left, %d gone", len(keys), h.deletionCount())
	}
	d.setEndpoint("h00", "a", "removed")
	startProcess(t, originConfig(originAt, d.address, dir))
	// The subscriber's keys change a moment before the change is recorded, so both are awaited.
	waitUntil(t, "what is left", 15*time.Second, func() bool {
		keys, _ := h.keys()
		return len(keys) == 49 && h.deletionCount() >= 1
	})
	if h.deletionCount() != 1 {
		t.Errorf("%d records gone, expected 1", h.deletionCount())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.changes) != 51 {
		t.Errorf("%d changes, expected 51: fifty put, one removed", len(h.changes))
	}
}

// Of two relays one fails and one is stopped, and the node still gets the origin's changes.
func TestNodeFailsOverToOtherRelays(t *testing.T) {
	d, dir := newFakeDiscovery(t), t.TempDir()
	d.setEndpoint("h0", "a", "up")
	o := startProcess(t, originConfig("127.0.0.1:0", d.address, dir))
	a := startProcess(t, relayConfig("a", "127.0.0.1:0", nil, o.Address()))
	b := startProcess(t, relayConfig("b", "127.0.0.1:0", nil, o.Address()))
	waitUntil(t, "both relays fresh", 10*time.Second, func() bool {
		fresh := true
		for _, r := range []*testProcess{a, b} {
			r.server.Do(func(now int64) { fresh = fresh && r.isFresh(now) })
		}
		return fresh
	})
	way, freeze := startFreezableProxy(t, b.Address())
	h := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{a.Address(), way, b.Address()}})
	h.waitForKeys(t, "at first", "eu1/cart endpoint/h0")
	a.terminate(t)
	began := time.Now()
	d.setEndpoint("h1", "a", "up")
	h.waitForKeys(t, "by the second", "eu1/cart endpoint/h0", "eu1/cart endpoint/h1")
	if took := time.Since(began); took > time.Second {
		t.Errorf("received %v after the first one was killed, expected a second at most", took)
	}
	freeze()
	began = time.Now()
	d.setEndpoint("h2", "a", "up")
	h.waitForKeys(t, "by the third way", "eu1/cart endpoint/h0", "eu1/cart endpoint/h1", "eu1/cart endpoint/h2")
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("received %v after the second one was stopped, expected 6 s at most", took)
	}
	if h.deletionCount() != 0 || len(h.changes) != 3 {
		t.Errorf("%d changes, %d of them gone; expected 3 and none", len(h.changes), h.deletionCount())
	}
}

// A relay that is empty, and receives nothing, is left for another.
func TestClientLeavesEmptyRelay(t *testing.T) {
	d, dir := newFakeDiscovery(t), t.TempDir()
	d.setEndpoint("h", "a", "up")
	o := startProcess(t, originConfig("127.0.0.1:0", d.address, dir))
	empty := startProcess(t, relayConfig("empty", "127.0.0.1:0", nil, "127.0.0.1:1"))
	other := startProcess(t, relayConfig("other", "127.0.0.1:0", nil, "127.0.0.1:1"))
	h := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{
		Upstreams: []string{empty.Address(), other.Address()},
		MaxLag:    500 * time.Millisecond, FailbackDelay: time.Hour,
	})
	waitUntil(t, "the first relay left", 10*time.Second, func() bool { return h.client.Stats().Lagging >= 2 })
	at := other.Address()
	other.terminate(t)
	startProcess(t, relayConfig("other", at, nil, o.Address()))
	h.waitForKeys(t, "what the other has", "eu1/cart endpoint/h")
}

// A relay that sends at its pace is not left, during a snapshot or a burst of changes.
func TestClientKeepsPacedRelay(t *testing.T) {
	const hosts = 150
	d, dir := newFakeDiscovery(t), t.TempDir()
	set := func(health string) {
		for i := range hosts {
			d.setEndpoint(fmt.Sprintf("h%03d", i), "a", health)
		}
	}
	set("up")
	o := startProcess(t, originConfig("127.0.0.1:0", d.address, dir))
	one := startProcess(t, relayConfig("one", "127.0.0.1:0", nil, o.Address())+"pace = 6000\n")
	two := startProcess(t, relayConfig("two", "127.0.0.1:0", nil, o.Address())+"pace = 6000\n")
	waitUntil(t, "both relays fresh", 10*time.Second, func() bool {
		fresh := true
		for _, r := range []*testProcess{one, two} {
			r.server.Do(func(now int64) { fresh = fresh && r.isFresh(now) && r.relay.Stats().Records > hosts })
		}
		return fresh
	})
	h := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{
		Upstreams: []string{one.Address(), two.Address()},
		MaxLag:    500 * time.Millisecond,
	})
	waitUntil(t, "all of it", 20*time.Second, func() bool {
		keys, complete := h.keys()
		return complete && len(keys) == hosts
	})
	set("draining")
	waitUntil(t, "the burst", 20*time.Second, func() bool {
		drains := 0
		h.Inspect(func(s *distribution.Subscriber) {
			s.Each(func(r distribution.Record) {
				if r.Class == distribution.ClassWithdrawal {
					drains++
				}
			})
		})
		return drains == hosts
	})
	if s := h.client.Stats(); s.Lagging != 0 || s.Connects != 1 {
		t.Errorf("%+v: left a relay that sent all the time", s)
	}
}

func TestProcessLogsCountersAndStops(t *testing.T) {
	d, dir := newFakeDiscovery(t), t.TempDir()
	o := startProcess(t, originConfig("127.0.0.1:0", d.address, dir))
	startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{o.Address()}})
	waitUntil(t, "a subscriber", 10*time.Second, func() bool { return o.server.Stats().Subscribers == 1 })
	o.signals <- syscall.SIGUSR1
	waitUntil(t, "the counters", 5*time.Second, func() bool { return o.logs.FilterMessage("counters asked for").Len() == 1 })
	o.terminate(t)
	if o.logs.FilterMessage("counters at exit").Len() != 1 || o.server.Stats().Subscribers != 0 {
		t.Errorf("no counters at the end, or subscribers left: %+v", o.server.Stats())
	}
}

func TestNextEpochIncreases(t *testing.T) {
	path := filepath.Join(t.TempDir(), "epoch")
	var last uint64
	for _, now := range []int64{1000, 2000, 500, 501, 3000} { // the clock goes back once
		epoch, err := nextEpoch(path, now)
		if err != nil || epoch <= last {
			t.Fatalf("at %d: epoch %d, %v after %d", now, epoch, err, last)
		}
		last = epoch
	}
	if err := os.WriteFile(path, []byte("what"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := nextEpoch(path, 4000); err == nil || !strings.Contains(err.Error(), "expected a number") {
		t.Errorf("an invalid file: %v", err)
	}
	if _, err := nextEpoch(filepath.Join(path, "none"), 1); err == nil {
		t.Error("a file that can't be written gave an epoch")
	}
}

// An origin whose clock was set back is ignored without a file that stores the epoch.
func TestOriginWithLowerEpochIsIgnored(t *testing.T) {
	newer := distribution.NewOrigin(2000, distribution.Limits{})
	older := distribution.NewOrigin(1000, distribution.Limits{})
	for body, origin := range map[string]*distribution.Origin{"new": newer, "old": older} {
		if _, err := origin.Put(0, "eu1/cart", "route/x", distribution.ClassConfiguration, []byte(body)); err != nil {
			t.Fatal(err)
		}
	}
	serve := func(o *distribution.Origin) (string, *Server) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := NewServer(o.Relay(), ServerConfig{}, zap.NewNop())
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		t.Cleanup(func() {
			l.Close()
			if err := errors.Join(s.Close(context.Background()), <-served); err != nil {
				t.Error(err)
			}
		})
		return l.Addr().String(), s
	}
	a, first := serve(newer)
	b, second := serve(older)
	h := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{a, b}})
	h.waitForKeys(t, "at first", "eu1/cart route/x")
	if err := first.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "frames of the older", 10*time.Second, func() bool { return second.Stats().Frames >= 2 })
	h.Inspect(func(s *distribution.Subscriber) {
		s.Each(func(r distribution.Record) {
			if string(r.Body) != "new" {
				t.Errorf("went back to %s", r.Body)
			}
		})
	})
}

func TestConfigurationFilesAreAtomic(t *testing.T) {
	dir := t.TempDir()
	core, logs := observer.New(zapcore.WarnLevel)
	d := newConfigDirectory(dir, zap.New(core))
	look := func(what string, complete bool, expected ...string) {
		t.Helper()
		changes, is := d.scan()
		found := []string{}
		for _, c := range changes {
			sign := "+"
			if c.Deleted {
				sign = "-"
			}
			found = append(found, sign+c.Key+string(c.Body))
		}
		slices.Sort(found)
		if is != complete || !slices.Equal(found, append([]string{}, expected...)) {
			t.Errorf("%s: %v %q, expected %v %q", what, is, found, complete, expected)
		}
	}
	look("nothing there", true)
	writeRecords(t, dir, "a.jsonl", `{"scope":"s","key":"route/1","body":{"b": 1}}`, "",
		`{"scope":"s","key":"route/2","body":2}`)
	writeRecords(t, dir, "b.txt", "not ours")
	look("a file", true, `+route/1{"b":1}`, "+route/22")
	look("the same", true)
	writeRecords(t, dir, "a.jsonl", `{"scope":"s","key":"route/1","body":{"b":1}}`, `{"scope":"s","key":"route/2","body":3}`)
	look("one changed", true, "+route/23")
	for i, bad := range []string{
		`{"scope":"s","key":"route/1"`, `[]`, `{"scope":"","key":"route/1","body":1}`, `{"scope":"s","key":"endpoint/1","body":1}`,
		`{"scope":"s","key":"route/1","body":1,"extra":2}`, `{"scope":"s","key":"route/1","body":1} {}`, `{"scope":"s","key":"route/1"}`,
		`{"scope":"s","key":"route","body":1}`,
		`{"scope":"s","key":"route/1","body":"` + strings.Repeat("x", distribution.MaxBodyBytes) + `"}`,
		`{"scope":"s","key":"route/1","body":1}` + "\n" + `{"scope":"s","key":"route/1","body":2}`, strings.Repeat("x", maxLineBytes+1),
	} {
		writeRecords(t, dir, "a.jsonl", bad)
		before := logs.Len()
		look(fmt.Sprintf("bad %d", i), true)
		look(fmt.Sprintf("bad %d again", i), true)
		if n := logs.Len() - before; n != 1 {
			t.Errorf("bad %d: %d complaints, expected one", i, n)
		}
		if e := logs.All()[logs.Len()-1].ContextMap()["error"].(string); !strings.Contains(e, "a.jsonl: line ") ||
			!strings.Contains(e, ": expected ") {
			t.Errorf("bad %d: complaint without file, line and what was expected: %s", i, e)
		}
	}
	writeRecords(t, dir, "c.jsonl", `{"scope":"s","key":"route/2","body":9}`)
	look("a record that another file has", true)
	writeRecords(t, dir, "a.jsonl", `{"scope":"s","key":"route/1","body":{"b":1}}`)
	look("the other lets go", true, "+route/29", "-route/2")
	if err := os.Remove(filepath.Join(dir, "a.jsonl")); err != nil {
		t.Fatal(err)
	}
	look("a file that went", true, "-route/1")
	if err := os.Remove(filepath.Join(dir, "c.jsonl")); err != nil {
		t.Fatal(err)
	}
	look("an empty directory", false)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	look("no directory", false)
}

func TestParseConfigReportsAllErrors(t *testing.T) {
	_, err := ParseConfig("r.toml", []byte("name = \"\"\nrole = \"relay\"\nlisten = \"here\"\nupstream = [\"x\", \"127.0.0.1:1\", \"127.0.0.1:1\"]\nscopes = [\"a*b\"]\npace = 5\nwhat = 1\n[limits]\nrecords = -1\n[origin]\n"))
	if err == nil {
		t.Fatal("no complaint")
	}
	for _, part := range []string{
		"r.toml: what: expected a key of docs/operate/relay.md, found an unknown one in line 7",
		`r.toml: name: expected a name of up to 255 bytes, found ""`,
		`r.toml: listen: expected an address and a port, found "here"`,
		`r.toml: upstream.0: expected an address and a port, found "x"`,
		`r.toml: upstream.2: expected an address that is not there twice, found "127.0.0.1:1" again`,
		`r.toml: scopes.0: expected a scope of up to 256 bytes, with a star at its end alone, found "a*b"`,
		"r.toml: pace: expected 0, or at least 1024 bytes a second, found 5",
		"r.toml: limits.records: expected a number from 0, which stands for the default, found -1",
		"r.toml: origin: expected none, as role is not origin, found a table",
	} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("lacks %q in\n%v", part, err)
		}
	}
	_, err = ParseConfig("o.toml", []byte("name = \"o\"\nrole = \"origin\"\nlisten = \"127.0.0.1:1\"\nupstream = [\"127.0.0.1:2\"]\n[origin]\ndiscovery = \"d\"\nevery = \"1ms\"\n"+
		"[origin.scope]\nservice_from = \"moon\"\nregion = \"a/b\"\n[origin.scope.regions]\nx = [\"1\"]\ny = [\"1\"]\n"))
	if err == nil {
		t.Fatal("no complaint")
	}
	for _, part := range []string{
		"o.toml: upstream: expected none, as role is origin, found 1",
		`o.toml: origin.discovery: expected an address and a port, found "d"`,
		`o.toml: origin.every: expected a time from 50ms to 1h, found "1ms"`,
		`o.toml: origin.scope.service_from: expected host, found "moon"`,
		`o.toml: origin.scope.region: expected a name of up to 127 bytes without / and *, found "a/b"`,
		"expected sites of one region each, found \"1\"",
	} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("lacks %q in\n%v", part, err)
		}
	}
	if _, err := ParseConfig("o.toml", []byte("name = [")); err == nil ||
		!strings.Contains(err.Error(), "o.toml: line 1: expected TOML, found: ") {
		t.Errorf("no TOML: %v", err)
	}
}

// A host's scope comes from its site and its name; one that has none is skipped, and nothing else is.
func TestScopeOfEndpoint(t *testing.T) {
	s := ScopeRule{ServiceFrom: "host", regionByZone: map[string]string{"a": "eu1"}}
	for in, expected := range map[[2]string]string{
		{"svc-12-h7", "a"}: "eu1/svc-12", {"h7", "a"}: "",
		{"svc-1", "z"}: "", {"-1", "a"}: "",
	} {
		if got := s.scopeOf(in[0], in[1]); got != expected {
			t.Errorf("%q: %q, expected %q", in, got, expected)
		}
	}
	s = ScopeRule{Service: "cart", Region: "far", regionByZone: map[string]string{"a": "eu1"}}
	if a, z := s.scopeOf("h", "a"), s.scopeOf("h", "z"); a != "eu1/cart" || z != "far/cart" {
		t.Errorf("%q, %q", a, z)
	}
	d, dir := newFakeDiscovery(t), t.TempDir()
	d.setEndpoint("h1", "a", "up")
	d.setEndpoint("h2", "unknown", "up")
	o := startProcess(t, originConfig("127.0.0.1:0", d.address, dir))
	h := startSubscriber(t, []string{"*"}, ClientConfig{Upstreams: []string{o.Address()}})
	h.waitForKeys(t, "at first", "eu1/cart endpoint/h1", "origin list/discovery")
	if o.watch.skipped.Load() != 1 {
		t.Errorf("%d entries skipped, expected 1", o.watch.skipped.Load())
	}
	d.setEndpoint("h1", "a", "removed")
	h.waitForKeys(t, "after that", "origin list/discovery")
}
