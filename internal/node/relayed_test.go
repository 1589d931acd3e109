package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointsource"
	"fawnglade/internal/features"
	"fawnglade/internal/relay"
	"fawnglade/policy"

	"go.uber.org/zap"
)

// serveOrigin serves an origin; stop ends it like a process that is killed.
func serveOrigin(t *testing.T, o *distribution.Origin) (address string, s *relay.Server, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = relay.NewServer(o.Relay(), relay.ServerConfig{}, zap.NewNop())
	go serve(s, l)
	stop = func() {
		l.Close()
		limit, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		closeServer(limit, s)
	}
	t.Cleanup(stop)
	return l.Addr().String(), s, stop
}

// serve serves until the listener is closed, which is an error of Serve.
func serve(s *relay.Server, l net.Listener) { _ = s.Serve(l) }

// closeServer closes a server; connections that are still open by then are cut.
func closeServer(ctx context.Context, s *relay.Server) { _ = s.Close(ctx) }

const testScope = "eu1/cart"

// put stores a record at an origin.
func putRecord(o *distribution.Origin, now int64, scope, key string, class distribution.Class, value string) {
	if _, err := o.Put(now, scope, key, class, []byte(value)); err != nil {
		panic(err)
	}
}

// putEndpoint puts an endpoint into an origin's scope.
func putEndpoint(s *relay.Server, o *distribution.Origin, name, dial, health string) {
	s.Do(func(now int64) {
		if health == "removed" {
			o.Remove(now, testScope, relay.EndpointKey(name))
			return
		}
		class := distribution.ClassEndpoint
		if health == "draining" {
			class = distribution.ClassWithdrawal
		}
		putRecord(o, now, testScope, relay.EndpointKey(name), class, listEntry(name, dial, health))
	})
}

// putListVersion reports discovery's list of a version, with the origin's watch up.
func putListVersion(s *relay.Server, o *distribution.Origin, seq int) {
	s.Do(func(now int64) {
		putRecord(o, now, relay.ScopeOrigin, relay.KeyDiscovery, distribution.ClassConfiguration, fmt.Sprintf(`{"seq":%d,"stands":true}`, seq))
	})
}

func withRelays(discovery string, relays ...string) func(*Config) {
	return withRelaysAndSilence("1s", discovery, relays...)
}

func withRelaysAndSilence(silence, discovery string, relays ...string) func(*Config) {
	return func(c *Config) {
		c.KnownList = nil
		c.Discovery = discovery
		list, _ := json.Marshal(relays)
		f, err := features.Parse("f.toml", c.Name, fmt.Appendf(nil, "[distribution]\nrelays = %s\nscopes = [%q]\nsilence = %q\n", list, testScope, silence))
		if err != nil {
			panic(err)
		}
		c.features = f
	}
}

// startDiscovery answers each watch with a complete list and empty lines after it, and counts the calls.
func startDiscovery(t *testing.T, list func(call int64) string) (address string, calls *atomic.Int64, open *atomic.Int64) {
	calls, open = new(atomic.Int64), new(atomic.Int64)
	return listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		call := calls.Add(1)
		open.Add(1)
		defer open.Add(-1)
		text := list(call) + "\n"
		writef(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		gone := make(chan struct{})
		go func() { discard(c); close(gone) }()
		for {
			select {
			case <-gone:
				return
			case <-time.After(300 * time.Millisecond):
				writeText(c, "1\r\n\n\r\n")
			}
		}
	}), calls, open
}

func relayStatus(t *testing.T, n *Node) (v struct {
	By, Relay string
	Watch     bool
	Whole     bool
},
) {
	t.Helper()
	if err := json.Unmarshal([]byte(n.relays.StatusJSON()), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

func isServedBy(t *testing.T, n *Node, id, server string) bool {
	t.Helper()
	status, body, _ := sendRequest(t, n, "view", id, server)
	return status == 200 && strings.HasSuffix(body, server)
}

// startNamedUpstream starts an upstream that answers with its name.
func startNamedUpstream(t *testing.T, name string) (address string, tasks *atomic.Int64) {
	return startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, "200 OK\r\nX-Pressure: queue=1", name)
	})
}

func TestNodeFollowsRelays(t *testing.T) {
	a, tasksA := startNamedUpstream(t, "a")
	b, tasksB := startNamedUpstream(t, "b")
	discovery, calls, _ := startDiscovery(t, func(int64) string { return listText(1, true) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	putEndpoint(s, o, "a", a, "up")
	putListVersion(s, o, 7)
	n := startNode(t, withRelays(discovery, first))
	eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
	for i := range 10 {
		if !isServedBy(t, n, fmt.Sprint("one", i), "a") {
			t.Fatal("not served by the endpoint of the relays")
		}
	}
	putEndpoint(s, o, "b", b, "up")
	putEndpoint(s, o, "a", a, "draining")
	putListVersion(s, o, 9)
	eventually(t, "the drain", func() bool { return relayListVersion(t, n) == 9 })
	before := tasksA.Load()
	for i := range 10 {
		if !isServedBy(t, n, fmt.Sprint("two", i), "b") {
			t.Fatal("not served by the endpoint that was added")
		}
	}
	if tasksA.Load() != before || tasksB.Load() < 10 {
		t.Errorf("a drained endpoint had %d requests since", tasksA.Load()-before)
	}
	// An invalid record, and one of an unknown kind, change nothing else.
	s.Do(func(now int64) {
		putRecord(o, now, testScope, relay.EndpointKey("b"), distribution.ClassEndpoint, `{"host":"b","dial":"nowhere","health":"up"}`)
		putRecord(o, now, testScope, "moon/phase", distribution.ClassConfiguration, "full")
	})
	putListVersion(s, o, 10)
	eventually(t, "the invalid record", func() bool { return n.count(listEntriesSkipped) == 1 && relayListVersion(t, n) == 10 })
	if !isServedBy(t, n, "three", "b") {
		t.Error("an invalid record removed an endpoint")
	}
	if calls.Load() != 0 {
		t.Errorf("discovery was called %d times while relays sent the list", calls.Load())
	}
	if v := relayStatus(t, n); v.By != "relays" || v.Relay != first || v.Watch || !v.Whole {
		t.Errorf("the view: %+v", v)
	}
	stop()
}

func relayListVersion(t *testing.T, n *Node) (seq int64) {
	t.Helper()
	var v struct{ Seq int64 }
	requireNoError(t, json.Unmarshal([]byte(n.relays.StatusJSON()), &v))
	return v.Seq
}

func TestEndpointStatesMatchThoseOfSources(t *testing.T) {
	for here, there := range map[policy.EndpointState]endpointsource.EndpointState{policy.StateActive: endpointsource.StateUp, policy.StateDraining: endpointsource.StateDraining, policy.StateRemoved: endpointsource.StateRemoved} {
		if policy.EndpointState(there) != here {
			t.Errorf("%v and %v differ, and are turned into one another", here, there)
		}
	}
}

// Without relays discovery is watched; when they are back it is not. Neither removes or restores what the other knew
// better.
func TestNodeWatchesDiscoveryWhileRelaysAreDown(t *testing.T) {
	a, tasksA := startNamedUpstream(t, "a")
	b, _ := startNamedUpstream(t, "b")
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	putEndpoint(s, o, "a", a, "draining")
	putEndpoint(s, o, "b", b, "up")
	putListVersion(s, o, 20)
	var version atomic.Int64
	version.Store(15) // an older copy: a serves there, and b is not known
	discovery, calls, open := startDiscovery(t, func(int64) string {
		if v := version.Load(); v < 20 {
			return listText(int(v), true, listEntry("a", a, "up"))
		}
		return listText(int(version.Load()), true, listEntry("a", a, "up"), listEntry("b", b, "up"))
	})
	n := startNode(t, withRelaysAndSilence("20s", discovery, first)) // that no relay can be reached is known sooner
	eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
	if !isServedBy(t, n, "one", "b") {
		t.Fatal("not served by the list of the relays")
	}
	stop()
	eventually(t, "a call to discovery", func() bool { return calls.Load() == 1 })
	eventually(t, "discovery's list", func() bool { return relayStatus(t, n).By == "discovery" })
	before := tasksA.Load()
	for i := range 10 {
		if !isServedBy(t, n, fmt.Sprint("two", i), "b") {
			t.Fatal("an older list of discovery removed an endpoint")
		}
	}
	if tasksA.Load() != before {
		t.Error("an older list of discovery ended a drain")
	}
	// Another origin, later than the first, and as far as discovery.
	again := distribution.NewOrigin(2, distribution.Limits{})
	l, err := net.Listen("tcp", first)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s = relay.NewServer(again.Relay(), relay.ServerConfig{}, zap.NewNop())
	t.Cleanup(func() { closeServer(context.Background(), s) })
	putEndpoint(s, again, "a", a, "up")
	putListVersion(s, again, 25)
	go serve(s, l)
	eventually(t, "relays again", func() bool { v := relayStatus(t, n); return v.By == "relays" && !v.Watch })
	eventually(t, "the end of the watch", func() bool { return open.Load() == 0 })
	eventually(t, "the newer list", func() bool { return isServedBy(t, n, fmt.Sprint("three", lastAddress.Add(1)), "a") })
}

// Where no relay answers at the start, discovery is watched as without any.
func TestNodeStartsWithoutReachableRelay(t *testing.T) {
	a, _ := startNamedUpstream(t, "a")
	discovery, _, _ := startDiscovery(t, func(int64) string { return listText(3, true, listEntry("a", a, "up")) })
	still := listen(t, func(c net.Conn) { time.Sleep(20 * time.Second) }) // it accepts connections and sends nothing
	for name, at := range map[string]string{"nobody there": "127.0.0.1:1", "a frozen one": still} {
		began := time.Now()
		n := startNode(t, withRelays(discovery, at))
		eventually(t, "ready, "+name, func() bool { return n.notReadyReason() == "" })
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("%s: ready after %v, expected a second and a call", name, took)
		}
		if !isServedBy(t, n, name, "a") {
			t.Errorf("%s: not served", name)
		}
	}
}

// An origin without a list is not used, however complete it is otherwise.
func TestOriginWithoutListRemovesNoEndpoint(t *testing.T) {
	a, _ := startNamedUpstream(t, "a")
	discovery, _, _ := startDiscovery(t, func(int64) string { return listText(3, true, listEntry("a", a, "up")) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, _ := serveOrigin(t, o)
	s.Do(func(now int64) { putRecord(o, now, testScope, "route/x", distribution.ClassConfiguration, "1") })
	n := startNode(t, withRelays(discovery, first))
	eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
	if v := relayStatus(t, n); v.By != "discovery" || !v.Whole {
		t.Errorf("%+v", v)
	}
	if !isServedBy(t, n, "one", "a") {
		t.Error("not served")
	}
}

// startRelayProcess runs an origin or a relay until the test ends.
func startRelayProcess(t *testing.T, text string) (p *relay.Process) {
	t.Helper()
	config, err := relay.ParseConfig("t.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if p, err = relay.NewProcess(config, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	go func() {
		if err := p.Run(signals); err != nil {
			t.Error(err)
		}
		close(done)
	}()
	t.Cleanup(func() { signals <- syscall.SIGTERM; <-done })
	return p
}

// The only relay is reachable, but cut off from the origin: its list grows stale, and discovery is watched.
func TestStaleRelayIsReplacedByDiscovery(t *testing.T) {
	a, _ := startNamedUpstream(t, "a")
	b, _ := startNamedUpstream(t, "b")
	discovery, _, _ := startDiscovery(t, func(int64) string { return listText(9, true, listEntry("b", b, "up")) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	putEndpoint(s, o, "a", a, "up")
	putListVersion(s, o, 8)
	low := startRelayProcess(t, fmt.Sprintf("name=\"r\"\nrole=\"relay\"\nlisten=\"127.0.0.1:0\"\nupstream=[%q]\n", first))
	n := startNode(t, withRelaysAndSilence("2s", discovery, low.Address()))
	eventually(t, "the list by relays", func() bool { return n.notReadyReason() == "" && relayStatus(t, n).By == "relays" })
	stop()
	eventually(t, "the list by discovery", func() bool { return relayStatus(t, n).By == "discovery" })
	eventually(t, "the newer list", func() bool { return isServedBy(t, n, fmt.Sprint("t", lastAddress.Add(1)), "b") })
	if v := relayStatus(t, n); v.Relay != low.Address() {
		t.Errorf("%+v: the relay is still there", v)
	}
}

// The origin loses discovery while the node can reach it: a change reaches the node within 6 s all the same.
func TestChangeArrivesWhileOriginHasLostDiscovery(t *testing.T) {
	a, _ := startNamedUpstream(t, "a")
	b, _ := startNamedUpstream(t, "b")
	var frozen atomic.Bool
	half := listen(t, func(c net.Conn) { // discovery as the origin has it
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if !frozen.Load() {
			text := listText(5, true, listEntry("a", a, "up")) + "\n"
			writef(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		}
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if !frozen.Load() {
				writeText(c, "1\r\n\n\r\n")
			}
		}
	})
	discovery, calls, _ := startDiscovery(t, func(int64) string {
		return listText(6, true, listEntry("a", a, "draining"), listEntry("b", b, "up"))
	})
	origin := startRelayProcess(t, fmt.Sprintf("name=\"o\"\nrole=\"origin\"\nlisten=\"127.0.0.1:0\"\n[origin]\ndiscovery=%q\n[origin.scope]\nservice=\"cart\"\nregion=\"eu1\"\n", half))
	low := startRelayProcess(t, fmt.Sprintf("name=\"r\"\nrole=\"relay\"\nlisten=\"127.0.0.1:0\"\nupstream=[%q]\n", origin.Address()))
	n := startNode(t, withRelaysAndSilence("4s", discovery, low.Address()))
	eventually(t, "the list by relays", func() bool { return n.notReadyReason() == "" && relayStatus(t, n).By == "relays" })
	if !isServedBy(t, n, "one", "a") {
		t.Fatal("not served by the list of the relays")
	}
	before := calls.Load()
	frozen.Store(true)
	began := time.Now()
	for relayStatus(t, n).By != "discovery" {
		if time.Since(began) > 6*time.Second {
			t.Fatal("not within 6 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !isServedBy(t, n, "two", "b") {
		t.Error("not served by the list of discovery")
	}
	if calls.Load() == before {
		t.Error("discovery was not called")
	}
}
