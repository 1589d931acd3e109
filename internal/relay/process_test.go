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

// fakeDiscovery is a discovery server that answers each watch with the complete list, then with changes.
type fakeDiscovery struct {
	address      string
	mu           sync.Mutex
	version      int
	hosts        map[string]string // JSON entries by endpoint name
	unresponsive bool              // accepts requests but sends nothing
	watches      []chan string
}

func endpointJSON(name, zone, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.0.0.1:80","site":%q,"block":1,"health":%q,"share":1,"born_ms":5}`, name,
		zone, state)
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	d := &fakeDiscovery{address: listener.Addr().String(), hosts: map[string]string{}, version: 1}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serveWatch(conn)
		}
	}()
	return d
}

func (d *fakeDiscovery) serveWatch(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	lines := make(chan string, 1000) // more lines than any test sends at once
	d.mu.Lock()
	unresponsive := d.unresponsive
	entries := make([]string, 0, len(d.hosts))
	for _, entry := range d.hosts {
		entries = append(entries, entry)
	}
	slices.Sort(entries)
	lines <- fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.version, strings.Join(entries, ","))
	d.watches = append(d.watches, lines)
	d.mu.Unlock()
	if unresponsive {
		time.Sleep(time.Minute)
		return
	}
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	heartbeat := time.NewTicker(300 * time.Millisecond)
	defer heartbeat.Stop()
	for {
		text := "\n"
		select {
		case line, more := <-lines:
			if !more {
				return
			}
			text = line + "\n"
		case <-heartbeat.C:
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
	}
}

// setEndpoint changes an endpoint. The state "removed" removes it, as in the protocol.
func (d *fakeDiscovery) setEndpoint(name, zone, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.hosts[name] = endpointJSON(name, zone, state)
	line := fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, d.version, d.hosts[name])
	if state == "removed" {
		delete(d.hosts, name)
	}
	for _, watch := range d.watches {
		select {
		case watch <- line:
		default:
		}
	}
}

// endWatches ends all watches. If unresponsive is set, the server then accepts requests but sends nothing.
func (d *fakeDiscovery) endWatches(unresponsive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = unresponsive
	for _, watch := range d.watches {
		close(watch)
	}
	d.watches = nil
}

// testProcess is a running process under test.
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
			t.Errorf("process ended with error %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("process did not end within 10 s of SIGTERM")
	}
}

func startProcess(t *testing.T, text string) *testProcess {
	t.Helper()
	config, err := ParseConfig("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	process, err := NewProcess(config, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	running := &testProcess{Process: process, signals: make(chan os.Signal, 1), done: make(chan error, 1), logs: logs}
	go func() { running.done <- process.Run(running.signals) }()
	t.Cleanup(func() { running.terminate(t) })
	return running
}

func originConfig(listen, discovery, directory string) string {
	return fmt.Sprintf("name = \"o\"\nrole = \"origin\"\nlisten = %q\n"+
		"[origin]\ndiscovery = %q\nconfiguration = %q\nevery = \"50ms\"\n\n"+
		"[origin.scope]\nservice = \"cart\"\n"+
		"[origin.scope.regions]\neu1 = [\"a\", \"b\"]\nus1 = [\"c\"]\n", listen, discovery, directory)
}

func relayConfig(name, listen string, scopes []string, upstream ...string) string {
	quotedList := func(items []string) string {
		text, _ := json.Marshal(append([]string{}, items...))
		return string(text)
	}
	return fmt.Sprintf("name = %q\nrole = \"relay\"\nlisten = %q\nupstream = %s\nscopes = %s\n", name, listen,
		quotedList(upstream), quotedList(scopes))
}

// testSubscriber is a subscriber with a client. It records every change that it receives.
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
	s := &testSubscriber{}
	s.SubscriberSink = NewSubscriberSink(core, scopes, func(_ int64, changes []distribution.Change) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changes = append(s.changes, changes...)
	}, zap.NewNop())
	config.Name = "n1"
	s.client = NewClient(config, s, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.client.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func (sub *testSubscriber) keys() (keys []string, complete bool) {
	sub.Inspect(func(s *distribution.Subscriber) {
		s.Each(func(r distribution.Record) { keys = append(keys, r.Scope+" "+r.Key) })
		complete = s.Complete()
	})
	slices.Sort(keys)
	return keys, complete
}

func (sub *testSubscriber) deletionCount() (n int) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	for _, c := range sub.changes {
		if c.Deleted {
			n++
		}
	}
	return n
}

func (sub *testSubscriber) waitForKeys(t *testing.T, description string, keys ...string) {
	t.Helper()
	var found []string
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		var complete bool
		if found, complete = sub.keys(); complete && slices.Equal(found, keys) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: found %q, expected %q", description, found, keys)
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
	discovery, dir := newFakeDiscovery(t), t.TempDir()
	discovery.setEndpoint("h1", "a", "up")
	discovery.setEndpoint("h2", "b", "up")
	discovery.setEndpoint("h3", "c", "up")
	writeRecords(t, dir, "routes.jsonl", `{"scope":"eu1/cart","key":"route/x","body":{"to": "cart"}}`)
	origin := startProcess(t, originConfig("127.0.0.1:0", discovery.address, dir))
	top := startProcess(t, relayConfig("top", "127.0.0.1:0", nil, origin.Address()))
	bottom := startProcess(t, relayConfig("low", "127.0.0.1:0", []string{"eu1/*"}, top.Address()))
	subscriber := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{bottom.Address()}})
	subscriber.waitForKeys(t, "at first", "eu1/cart endpoint/h1", "eu1/cart endpoint/h2", "eu1/cart route/x")
	discovery.setEndpoint("h1", "a", "draining")
	discovery.setEndpoint("h2", "b", "removed")
	discovery.setEndpoint("h4", "a", "up")
	writeRecords(t, dir, "more.jsonl", `{"scope":"eu1/cart","key":"route/y","body":1}`)
	subscriber.waitForKeys(t, "after changes", "eu1/cart endpoint/h1", "eu1/cart endpoint/h4", "eu1/cart route/x",
		"eu1/cart route/y")
	discovery.setEndpoint("h4", "c", "up") // the new zone is in another region
	writeRecords(t, dir, "routes.jsonl", "")
	subscriber.waitForKeys(t, "after a move", "eu1/cart endpoint/h1", "eu1/cart route/y")
	subscriber.Inspect(func(s *distribution.Subscriber) {
		s.Each(func(r distribution.Record) {
			if r.Key == "endpoint/h1" && (r.Class != distribution.ClassWithdrawal ||
				!strings.Contains(string(r.Body), `"health":"draining"`)) {
				t.Errorf("draining endpoint: got %+v with body %s, want a withdrawal with health draining", r, r.Body)
			}
		})
	})
}

// While discovery is unavailable, no records are removed, even if the origin restarts and has no list.
func TestDiscoveryOutageRemovesNothing(t *testing.T) {
	discovery := newFakeDiscovery(t)
	discovery.setEndpoint("h1", "a", "up")
	dir := t.TempDir()
	writeRecords(t, dir, "r.jsonl", `{"scope":"eu1/cart","key":"route/x","body":1}`)
	config := originConfig("127.0.0.1:0", discovery.address, dir)
	origin := startProcess(t, config)
	address := origin.Address()
	relay := startProcess(t, relayConfig("r", "127.0.0.1:0", nil, address))
	subscriber := startSubscriber(t, []string{"eu1/*"}, ClientConfig{Upstreams: []string{relay.Address()}})
	subscriber.waitForKeys(t, "at first", "eu1/cart endpoint/h1", "eu1/cart route/x")
	discovery.endWatches(true)
	waitUntil(t, "a second request to discovery", 5*time.Second, func() bool { return origin.watch.calls.Load() >= 2 })
	origin.terminate(t)
	restarted := startProcess(t, strings.Replace(config, "127.0.0.1:0", address, 1))
	waitUntil(t, "the relay connected to the restarted origin", 10*time.Second,
		func() bool { return restarted.server.Stats().Subscribers == 1 })
	writeRecords(t, dir, "s.jsonl", `{"scope":"eu1/cart","key":"route/y","body":1}`) // configuration is still distributed
	waitUntil(t, "a record from the restarted origin", 10*time.Second, func() bool {
		keys, _ := subscriber.keys()
		return slices.Contains(keys, "eu1/cart route/y")
	})
	if keys, _ := subscriber.keys(); !slices.Contains(keys, "eu1/cart endpoint/h1") || subscriber.deletionCount() != 0 {
		t.Fatalf("an origin without a list removed records: got keys %q and %d removals, want h1 and none", keys,
			subscriber.deletionCount())
	}
	discovery.mu.Lock()
	delete(discovery.hosts, "h1")
	discovery.hosts["h2"] = endpointJSON("h2", "a", "up")
	discovery.version += 10
	discovery.mu.Unlock()
	discovery.endWatches(false) // pending requests time out
	subscriber.waitForKeys(t, "after discovery is available again", "eu1/cart endpoint/h2", "eu1/cart route/x",
		"eu1/cart route/y")
}

// A relay that restarts without records while its upstream is unavailable sends no removals, and no record twice.
func TestRestartedRelayRemovesNothing(t *testing.T) {
	discovery, dir := newFakeDiscovery(t), t.TempDir()
	for i := range 50 {
		discovery.setEndpoint(fmt.Sprintf("h%02d", i), "a", "up")
	}
	origin := startProcess(t, originConfig("127.0.0.1:0", discovery.address, dir))
	relay := startProcess(t, relayConfig("r", "127.0.0.1:0", nil, origin.Address()))
	address := relay.Address()
	subscriber := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{address}})
	waitUntil(t, "all fifty records", 10*time.Second,
		func() bool { keys, complete := subscriber.keys(); return complete && len(keys) == 50 })
	relay.terminate(t)
	originAddress := origin.Address()
	origin.terminate(t)
	emptyRelay := startProcess(t, relayConfig("r", address, nil, originAddress))
	waitUntil(t, "the subscriber connected to the empty relay", 10*time.Second,
		func() bool { return emptyRelay.server.Stats().Subscribers == 1 })
	waitUntil(t, "frames from the empty relay", 10*time.Second,
		func() bool { return emptyRelay.server.Stats().Frames >= 2 })
	if keys, _ := subscriber.keys(); len(keys) != 50 || subscriber.deletionCount() != 0 {
		t.Fatalf("an empty relay removed records: got %d keys and %d removals, want 50 and none", len(keys),
			subscriber.deletionCount())
	}
	discovery.setEndpoint("h00", "a", "removed")
	startProcess(t, originConfig(originAddress, discovery.address, dir))
	// The subscriber's keys change slightly before the change is recorded, so the test waits for both.
	waitUntil(t, "the removal of one record", 15*time.Second, func() bool {
		keys, _ := subscriber.keys()
		return len(keys) == 49 && subscriber.deletionCount() >= 1
	})
	if subscriber.deletionCount() != 1 {
		t.Errorf("got %d removals, want 1", subscriber.deletionCount())
	}
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if len(subscriber.changes) != 51 {
		t.Errorf("got %d changes, want 51: fifty added, one removed", len(subscriber.changes))
	}
}

// A node has three relay addresses. The first relay fails and the second stops responding; the node still receives the
// origin's changes in time.
func TestNodeFailsOverToOtherRelays(t *testing.T) {
	discovery, dir := newFakeDiscovery(t), t.TempDir()
	discovery.setEndpoint("h0", "a", "up")
	origin := startProcess(t, originConfig("127.0.0.1:0", discovery.address, dir))
	relayA := startProcess(t, relayConfig("a", "127.0.0.1:0", nil, origin.Address()))
	relayB := startProcess(t, relayConfig("b", "127.0.0.1:0", nil, origin.Address()))
	waitUntil(t, "both relays fresh", 10*time.Second, func() bool {
		fresh := true
		for _, r := range []*testProcess{relayA, relayB} {
			r.server.Do(func(now int64) { fresh = fresh && r.isFresh(now) })
		}
		return fresh
	})
	proxy, freeze := startFreezableProxy(t, relayB.Address())
	subscriber := startSubscriber(t, []string{"eu1/cart"},
		ClientConfig{Upstreams: []string{relayA.Address(), proxy, relayB.Address()}})
	subscriber.waitForKeys(t, "at first", "eu1/cart endpoint/h0")
	relayA.terminate(t)
	began := time.Now()
	discovery.setEndpoint("h1", "a", "up")
	subscriber.waitForKeys(t, "through the second relay", "eu1/cart endpoint/h0", "eu1/cart endpoint/h1")
	if took := time.Since(began); took > time.Second {
		t.Errorf("change received %v after the first relay ended, want at most 1 s", took)
	}
	freeze()
	began = time.Now()
	discovery.setEndpoint("h2", "a", "up")
	subscriber.waitForKeys(t, "through the third address", "eu1/cart endpoint/h0", "eu1/cart endpoint/h1",
		"eu1/cart endpoint/h2")
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("change received %v after the second relay stopped responding, want at most 6 s", took)
	}
	if subscriber.deletionCount() != 0 || len(subscriber.changes) != 3 {
		t.Errorf("got %d changes, %d of them removals, want 3 and none", len(subscriber.changes),
			subscriber.deletionCount())
	}
}

// A client leaves a relay that has no records and no upstream, and moves to another one.
func TestClientLeavesEmptyRelay(t *testing.T) {
	discovery, dir := newFakeDiscovery(t), t.TempDir()
	discovery.setEndpoint("h", "a", "up")
	origin := startProcess(t, originConfig("127.0.0.1:0", discovery.address, dir))
	emptyRelay := startProcess(t, relayConfig("empty", "127.0.0.1:0", nil, "127.0.0.1:1"))
	otherRelay := startProcess(t, relayConfig("other", "127.0.0.1:0", nil, "127.0.0.1:1"))
	subscriber := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{
		Upstreams: []string{emptyRelay.Address(), otherRelay.Address()},
		MaxLag:    500 * time.Millisecond, FailbackDelay: time.Hour,
	})
	waitUntil(t, "the client leaving both empty relays", 10*time.Second,
		func() bool { return subscriber.client.Stats().Lagging >= 2 })
	address := otherRelay.Address()
	otherRelay.terminate(t)
	startProcess(t, relayConfig("other", address, nil, origin.Address()))
	subscriber.waitForKeys(t, "the record of the second relay", "eu1/cart endpoint/h")
}

// A client does not leave a relay that sends at its pace, although its records lag during a snapshot or a burst of
// changes.
func TestClientKeepsPacedRelay(t *testing.T) {
	const endpointCount = 150
	discovery, dir := newFakeDiscovery(t), t.TempDir()
	setAll := func(state string) {
		for i := range endpointCount {
			discovery.setEndpoint(fmt.Sprintf("h%03d", i), "a", state)
		}
	}
	setAll("up")
	origin := startProcess(t, originConfig("127.0.0.1:0", discovery.address, dir))
	relayA := startProcess(t, relayConfig("one", "127.0.0.1:0", nil, origin.Address())+"pace = 6000\n")
	relayB := startProcess(t, relayConfig("two", "127.0.0.1:0", nil, origin.Address())+"pace = 6000\n")
	waitUntil(t, "both relays fresh", 10*time.Second, func() bool {
		fresh := true
		for _, r := range []*testProcess{relayA, relayB} {
			r.server.Do(func(now int64) { fresh = fresh && r.isFresh(now) && r.relay.Stats().Records > endpointCount })
		}
		return fresh
	})
	subscriber := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{
		Upstreams: []string{relayA.Address(), relayB.Address()},
		MaxLag:    500 * time.Millisecond,
	})
	waitUntil(t, "the complete snapshot", 20*time.Second, func() bool {
		keys, complete := subscriber.keys()
		return complete && len(keys) == endpointCount
	})
	setAll("draining")
	waitUntil(t, "the burst of changes", 20*time.Second, func() bool {
		draining := 0
		subscriber.Inspect(func(s *distribution.Subscriber) {
			s.Each(func(r distribution.Record) {
				if r.Class == distribution.ClassWithdrawal {
					draining++
				}
			})
		})
		return draining == endpointCount
	})
	if s := subscriber.client.Stats(); s.Lagging != 0 || s.Connects != 1 {
		t.Errorf("client left a relay that was sending: got %+v, want no lagging upstream and one connection", s)
	}
}

func TestProcessLogsCountersAndStops(t *testing.T) {
	discovery, dir := newFakeDiscovery(t), t.TempDir()
	origin := startProcess(t, originConfig("127.0.0.1:0", discovery.address, dir))
	startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{origin.Address()}})
	waitUntil(t, "a subscriber", 10*time.Second, func() bool { return origin.server.Stats().Subscribers == 1 })
	origin.signals <- syscall.SIGUSR1
	waitUntil(t, "the counters", 5*time.Second,
		func() bool { return origin.logs.FilterMessage("counters asked for").Len() == 1 })
	origin.terminate(t)
	if origin.logs.FilterMessage("counters at exit").Len() != 1 || origin.server.Stats().Subscribers != 0 {
		t.Errorf("want one log line with the counters at exit and no subscribers, got %+v", origin.server.Stats())
	}
}

func TestNextEpochIncreases(t *testing.T) {
	path := filepath.Join(t.TempDir(), "epoch")
	var last uint64
	for _, now := range []int64{1000, 2000, 500, 501, 3000} { // the clock is set back once
		epoch, err := nextEpoch(path, now)
		if err != nil || epoch <= last {
			t.Fatalf("time %d: got epoch %d, error %v, want one above %d", now, epoch, err, last)
		}
		last = epoch
	}
	if err := os.WriteFile(path, []byte("what"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := nextEpoch(path, 4000); err == nil || !strings.Contains(err.Error(), "expected a number") {
		t.Errorf("invalid epoch file: got error %v, want one that says what was expected", err)
	}
	if _, err := nextEpoch(filepath.Join(path, "none"), 1); err == nil {
		t.Error("epoch file that can't be written: got no error")
	}
}

// A subscriber ignores an origin with a lower epoch than it has seen, as after a restart with the clock set back and no
// file that stores the epoch.
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
	subscriber := startSubscriber(t, []string{"eu1/cart"}, ClientConfig{Upstreams: []string{a, b}})
	subscriber.waitForKeys(t, "at first", "eu1/cart route/x")
	if err := first.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "frames from the origin with the lower epoch", 10*time.Second,
		func() bool { return second.Stats().Frames >= 2 })
	subscriber.Inspect(func(s *distribution.Subscriber) {
		s.Each(func(r distribution.Record) {
			if string(r.Body) != "new" {
				t.Errorf("subscriber went back to the body of the lower epoch: %s", r.Body)
			}
		})
	})
}

func TestConfigurationFilesAreAtomic(t *testing.T) {
	dir := t.TempDir()
	core, logs := observer.New(zapcore.WarnLevel)
	directory := newConfigDirectory(dir, zap.New(core))
	scanAndCheck := func(description string, complete bool, expected ...string) {
		t.Helper()
		changes, gotComplete := directory.scan()
		found := []string{}
		for _, change := range changes {
			sign := "+"
			if change.Deleted {
				sign = "-"
			}
			found = append(found, sign+change.Key+string(change.Body))
		}
		slices.Sort(found)
		if gotComplete != complete || !slices.Equal(found, append([]string{}, expected...)) {
			t.Errorf("%s: got complete %v and changes %q, want %v and %q", description, gotComplete, found, complete,
				expected)
		}
	}
	scanAndCheck("empty directory", true)
	writeRecords(t, dir, "a.jsonl", `{"scope":"s","key":"route/1","body":{"b": 1}}`, "",
		`{"scope":"s","key":"route/2","body":2}`)
	writeRecords(t, dir, "b.txt", "not ours")
	scanAndCheck("new file", true, `+route/1{"b":1}`, "+route/22")
	scanAndCheck("unchanged files", true)
	writeRecords(t, dir, "a.jsonl", `{"scope":"s","key":"route/1","body":{"b":1}}`,
		`{"scope":"s","key":"route/2","body":3}`)
	scanAndCheck("one record changed", true, "+route/23")
	for i, text := range []string{
		`{"scope":"s","key":"route/1"`, `[]`, `{"scope":"","key":"route/1","body":1}`,
		`{"scope":"s","key":"endpoint/1","body":1}`,
		`{"scope":"s","key":"route/1","body":1,"extra":2}`, `{"scope":"s","key":"route/1","body":1} {}`,
		`{"scope":"s","key":"route/1"}`,
		`{"scope":"s","key":"route","body":1}`,
		`{"scope":"s","key":"route/1","body":"` + strings.Repeat("x", distribution.MaxBodyBytes) + `"}`,
		`{"scope":"s","key":"route/1","body":1}` + "\n" + `{"scope":"s","key":"route/1","body":2}`,
		strings.Repeat("x", maxLineBytes+1),
	} {
		writeRecords(t, dir, "a.jsonl", text)
		before := logs.Len()
		scanAndCheck(fmt.Sprintf("bad %d", i), true)
		scanAndCheck(fmt.Sprintf("bad %d again", i), true)
		if n := logs.Len() - before; n != 1 {
			t.Errorf("bad %d: got %d warnings, want 1", i, n)
		}
		if message := logs.All()[logs.Len()-1].ContextMap()["error"].(string); !strings.Contains(message, "a.jsonl: line ") ||
			!strings.Contains(message, ": expected ") {
			t.Errorf("bad %d: want a warning with the file, the line and what was expected, got %s", i, message)
		}
	}
	writeRecords(t, dir, "c.jsonl", `{"scope":"s","key":"route/2","body":9}`)
	scanAndCheck("record that is also in another file", true)
	writeRecords(t, dir, "a.jsonl", `{"scope":"s","key":"route/1","body":{"b":1}}`)
	scanAndCheck("record removed from the other file", true, "+route/29", "-route/2")
	if err := os.Remove(filepath.Join(dir, "a.jsonl")); err != nil {
		t.Fatal(err)
	}
	scanAndCheck("file removed", true, "-route/1")
	if err := os.Remove(filepath.Join(dir, "c.jsonl")); err != nil {
		t.Fatal(err)
	}
	scanAndCheck("all files removed", false)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	scanAndCheck("directory removed", false)
}

func TestParseConfigReportsAllErrors(t *testing.T) {
	_, err := ParseConfig("r.toml", []byte("name = \"\"\nrole = \"relay\"\nlisten = \"here\"\nupstream = [\"x\", \"127.0.0.1:1\", \"127.0.0.1:1\"]\nscopes = [\"a*b\"]\npace = 5\nwhat = 1\n[limits]\nrecords = -1\n[origin]\n"))
	if err == nil {
		t.Fatal("no complaint")
	}
	for _, want := range []string{
		"r.toml: what: expected a key of docs/operate/relay.md, found an unknown one in line 7",
		`r.toml: name: expected a name of up to 255 bytes, found ""`,
		`r.toml: listen: expected an address and a port, found "here"`,
		`r.toml: upstream.0: expected an address and a port, found "x"`,
		`r.toml: upstream.2: expected an address that is listed once, found "127.0.0.1:1" again`,
		`r.toml: scopes.0: expected a scope of up to 256 bytes, with a star only at its end, found "a*b"`,
		"r.toml: pace: expected 0, or at least 1024 bytes a second, found 5",
		"r.toml: limits.records: expected a number from 0, which stands for the default, found -1",
		"r.toml: origin: expected none, as role is not origin, found a table",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("lacks %q in\n%v", want, err)
		}
	}
	_, err = ParseConfig("o.toml", []byte("name = \"o\"\nrole = \"origin\"\nlisten = \"127.0.0.1:1\"\nupstream = [\"127.0.0.1:2\"]\n[origin]\ndiscovery = \"d\"\nevery = \"1ms\"\n"+
		"[origin.scope]\nservice_from = \"moon\"\nregion = \"a/b\"\n[origin.scope.regions]\nx = [\"1\"]\ny = [\"1\"]\n"))
	if err == nil {
		t.Fatal("no complaint")
	}
	for _, want := range []string{
		"o.toml: upstream: expected none, as role is origin, found 1",
		`o.toml: origin.discovery: expected an address and a port, found "d"`,
		`o.toml: origin.every: expected a duration from 50ms to 1h, found "1ms"`,
		`o.toml: origin.scope.service_from: expected host, found "moon"`,
		`o.toml: origin.scope.region: expected a name of up to 127 bytes without / and *, found "a/b"`,
		"expected sites that are in one region each, found \"1\"",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("lacks %q in\n%v", want, err)
		}
	}
	if _, err := ParseConfig("o.toml", []byte("name = [")); err == nil ||
		!strings.Contains(err.Error(), "o.toml: line 1: expected TOML, found: ") {
		t.Errorf("invalid TOML: got error %v, want one with the line", err)
	}
}

// The scope of an endpoint is derived from its zone and its name. An endpoint without a scope is skipped, and the
// others are not.
func TestScopeOfEndpoint(t *testing.T) {
	rule := ScopeRule{ServiceFrom: "host", regionByZone: map[string]string{"a": "eu1"}}
	for endpoint, expected := range map[[2]string]string{
		{"svc-12-h7", "a"}: "eu1/svc-12", {"h7", "a"}: "",
		{"svc-1", "z"}: "", {"-1", "a"}: "",
	} {
		if got := rule.scopeOf(endpoint[0], endpoint[1]); got != expected {
			t.Errorf("endpoint %q: got scope %q, want %q", endpoint, got, expected)
		}
	}
	rule = ScopeRule{Service: "cart", Region: "far", regionByZone: map[string]string{"a": "eu1"}}
	if a, z := rule.scopeOf("h", "a"), rule.scopeOf("h", "z"); a != "eu1/cart" || z != "far/cart" {
		t.Errorf("got scopes %q and %q, want eu1/cart and far/cart", a, z)
	}
	discovery, dir := newFakeDiscovery(t), t.TempDir()
	discovery.setEndpoint("h1", "a", "up")
	discovery.setEndpoint("h2", "unknown", "up")
	origin := startProcess(t, originConfig("127.0.0.1:0", discovery.address, dir))
	subscriber := startSubscriber(t, []string{"*"}, ClientConfig{Upstreams: []string{origin.Address()}})
	subscriber.waitForKeys(t, "at first", "eu1/cart endpoint/h1", "origin list/discovery")
	if origin.watch.skipped.Load() != 1 {
		t.Errorf("got %d entries skipped, want 1", origin.watch.skipped.Load())
	}
	discovery.setEndpoint("h1", "a", "removed")
	subscriber.waitForKeys(t, "after the removal", "origin list/discovery")
}
