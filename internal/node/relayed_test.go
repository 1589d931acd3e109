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

// serveOrigin serves an origin; stop closes it as if its process were killed.
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
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		closeServer(ctx, s)
	}
	t.Cleanup(stop)
	return l.Addr().String(), s, stop
}

// serve serves until the listener is closed, upon which Serve returns an error.
func serve(s *relay.Server, l net.Listener) { _ = s.Serve(l) }

// closeServer closes a server. Connections still open when the context ends are closed.
func closeServer(ctx context.Context, server *relay.Server) { _ = server.Close(ctx) }

const testScope = "eu1/cart"

// putRecord stores a record in an origin.
func putRecord(o *distribution.Origin, now int64, scope, key string, class distribution.Class, value string) {
	if _, err := o.Put(now, scope, key, class, []byte(value)); err != nil {
		panic(err)
	}
}

// putEndpoint stores or removes an endpoint in the scope of an origin.
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

// putListVersion stores the version of discovery's list in an origin, with its watch reported as open.
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

// startDiscovery starts a discovery service that answers each call with a complete list followed by empty lines. It
// counts the calls and the open watches.
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
		closed := make(chan struct{})
		go func() { discard(c); close(closed) }()
		for {
			select {
			case <-closed:
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

// startNamedUpstream starts an upstream that responds with its name.
func startNamedUpstream(t *testing.T, name string) (address string, requests *atomic.Int64) {
	return startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, "200 OK\r\nX-Pressure: queue=1", name)
	})
}

func TestNodeFollowsRelays(t *testing.T) {
	a, requestsA := startNamedUpstream(t, "a")
	b, requestsB := startNamedUpstream(t, "b")
	discovery, calls, _ := startDiscovery(t, func(int64) string { return listText(1, true) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	putEndpoint(s, o, "a", a, "up")
	putListVersion(s, o, 7)
	n := startNode(t, withRelays(discovery, first))
	eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
	for i := range 10 {
		if !isServedBy(t, n, fmt.Sprint("one", i), "a") {
			t.Fatal("request was not served by the endpoint listed by relays")
		}
	}
	putEndpoint(s, o, "b", b, "up")
	putEndpoint(s, o, "a", a, "draining")
	putListVersion(s, o, 9)
	eventually(t, "the list version with the drain", func() bool { return relayListVersion(t, n) == 9 })
	before := requestsA.Load()
	for i := range 10 {
		if !isServedBy(t, n, fmt.Sprint("two", i), "b") {
			t.Fatal("request was not served by the added endpoint")
		}
	}
	if requestsA.Load() != before || requestsB.Load() < 10 {
		t.Errorf("got %d requests at the drained endpoint, want 0, and at least 10 at the other", requestsA.Load()-before)
	}
	// An invalid record and a record of an unknown kind are ignored.
	s.Do(func(now int64) {
		putRecord(o, now, testScope, relay.EndpointKey("b"), distribution.ClassEndpoint, `{"host":"b","dial":"nowhere","health":"up"}`)
		putRecord(o, now, testScope, "moon/phase", distribution.ClassConfiguration, "full")
	})
	putListVersion(s, o, 10)
	eventually(t, "the invalid record to be skipped", func() bool { return n.count(listEntriesSkipped) == 1 && relayListVersion(t, n) == 10 })
	if !isServedBy(t, n, "three", "b") {
		t.Error("an invalid record removed an endpoint")
	}
	if calls.Load() != 0 {
		t.Errorf("got %d calls to discovery while relays sent the list, want 0", calls.Load())
	}
	if v := relayStatus(t, n); v.By != "relays" || v.Relay != first || v.Watch || !v.Whole {
		t.Errorf("got relay status %+v, want a complete list by relays without a watch", v)
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
			t.Errorf("%v and %v have different values, want equal ones: they are converted to each other", here, there)
		}
	}
}

// Discovery is watched while no relay is reachable, and no longer once relays are back. Neither source removes an
// endpoint or ends a drain that the other has in a newer version.
func TestNodeWatchesDiscoveryWhileRelaysAreDown(t *testing.T) {
	a, requestsA := startNamedUpstream(t, "a")
	b, _ := startNamedUpstream(t, "b")
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	putEndpoint(s, o, "a", a, "draining")
	putEndpoint(s, o, "b", b, "up")
	putListVersion(s, o, 20)
	var version atomic.Int64
	version.Store(15) // an older version, in which a is active and b is missing
	discovery, calls, open := startDiscovery(t, func(int64) string {
		if v := version.Load(); v < 20 {
			return listText(int(v), true, listEntry("a", a, "up"))
		}
		return listText(int(version.Load()), true, listEntry("a", a, "up"), listEntry("b", b, "up"))
	})
	n := startNode(t, withRelaysAndSilence("20s", discovery, first)) // a failed connection is noticed earlier
	eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
	if !isServedBy(t, n, "one", "b") {
		t.Fatal("request was not served by the endpoint listed by relays")
	}
	stop()
	eventually(t, "a call to discovery", func() bool { return calls.Load() == 1 })
	eventually(t, "the list of discovery to be in use", func() bool { return relayStatus(t, n).By == "discovery" })
	before := requestsA.Load()
	for i := range 10 {
		if !isServedBy(t, n, fmt.Sprint("two", i), "b") {
			t.Fatal("an older list of discovery removed an endpoint")
		}
	}
	if requestsA.Load() != before {
		t.Error("an older list of discovery ended a drain")
	}
	// A new origin with a later start and a version as new as that of discovery.
	newOrigin := distribution.NewOrigin(2, distribution.Limits{})
	l, err := net.Listen("tcp", first)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s = relay.NewServer(newOrigin.Relay(), relay.ServerConfig{}, zap.NewNop())
	t.Cleanup(func() { closeServer(context.Background(), s) })
	putEndpoint(s, newOrigin, "a", a, "up")
	putListVersion(s, newOrigin, 25)
	go serve(s, l)
	eventually(t, "the list of the relays to be in use again", func() bool { v := relayStatus(t, n); return v.By == "relays" && !v.Watch })
	eventually(t, "the watch to be closed", func() bool { return open.Load() == 0 })
	eventually(t, "the newer list to be in use", func() bool { return isServedBy(t, n, fmt.Sprint("three", lastAddress.Add(1)), "a") })
}

// Discovery is watched if no relay responds at the start.
func TestNodeStartsWithoutReachableRelay(t *testing.T) {
	a, _ := startNamedUpstream(t, "a")
	discovery, _, _ := startDiscovery(t, func(int64) string { return listText(3, true, listEntry("a", a, "up")) })
	silentRelay := listen(t, func(c net.Conn) { time.Sleep(20 * time.Second) }) // accepts connections and sends nothing
	for name, at := range map[string]string{"unreachable relay": "127.0.0.1:1", "silent relay": silentRelay} {
		began := time.Now()
		n := startNode(t, withRelays(discovery, at))
		eventually(t, "ready, "+name, func() bool { return n.notReadyReason() == "" })
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("%s: got ready after %v, want at most 3 s: the silence timeout of 1 s and one call", name, took)
		}
		if !isServedBy(t, n, name, "a") {
			t.Errorf("%s: request was not served by the endpoint listed by discovery", name)
		}
	}
}

// Guards against an origin that has not read discovery's list and seems to remove all endpoints: its scope is not used.
func TestOriginWithoutListRemovesNoEndpoint(t *testing.T) {
	a, _ := startNamedUpstream(t, "a")
	discovery, _, _ := startDiscovery(t, func(int64) string { return listText(3, true, listEntry("a", a, "up")) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, _ := serveOrigin(t, o)
	s.Do(func(now int64) { putRecord(o, now, testScope, "route/x", distribution.ClassConfiguration, "1") })
	n := startNode(t, withRelays(discovery, first))
	eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
	if v := relayStatus(t, n); v.By != "discovery" || !v.Whole {
		t.Errorf("got relay status %+v, want a complete list by discovery", v)
	}
	if !isServedBy(t, n, "one", "a") {
		t.Error("request was not served by the endpoint listed by discovery")
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

// Guards against a stale list: the only relay is reachable but disconnected from its origin, so discovery is watched.
func TestStaleRelayIsReplacedByDiscovery(t *testing.T) {
	a, _ := startNamedUpstream(t, "a")
	b, _ := startNamedUpstream(t, "b")
	discovery, _, _ := startDiscovery(t, func(int64) string { return listText(9, true, listEntry("b", b, "up")) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	putEndpoint(s, o, "a", a, "up")
	putListVersion(s, o, 8)
	lowerRelay := startRelayProcess(t, fmt.Sprintf("name=\"r\"\nrole=\"relay\"\nlisten=\"127.0.0.1:0\"\nupstream=[%q]\n", first))
	n := startNode(t, withRelaysAndSilence("2s", discovery, lowerRelay.Address()))
	eventually(t, "the list of the relays to be in use", func() bool { return n.notReadyReason() == "" && relayStatus(t, n).By == "relays" })
	stop()
	eventually(t, "the list of discovery to be in use", func() bool { return relayStatus(t, n).By == "discovery" })
	eventually(t, "the newer list to be in use", func() bool { return isServedBy(t, n, fmt.Sprint("t", lastAddress.Add(1)), "b") })
	if v := relayStatus(t, n); v.Relay != lowerRelay.Address() {
		t.Errorf("got relay status %+v, want the relay still connected", v)
	}
}

// A change reaches the node within 6 s although the origin has lost discovery, because the node can reach it.
func TestChangeArrivesWhileOriginHasLostDiscovery(t *testing.T) {
	a, _ := startNamedUpstream(t, "a")
	b, _ := startNamedUpstream(t, "b")
	var frozen atomic.Bool
	originDiscovery := listen(t, func(c net.Conn) { // the discovery service of the origin
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
	origin := startRelayProcess(t, fmt.Sprintf("name=\"o\"\nrole=\"origin\"\nlisten=\"127.0.0.1:0\"\n[origin]\ndiscovery=%q\n[origin.scope]\nservice=\"cart\"\nregion=\"eu1\"\n", originDiscovery))
	lowerRelay := startRelayProcess(t, fmt.Sprintf("name=\"r\"\nrole=\"relay\"\nlisten=\"127.0.0.1:0\"\nupstream=[%q]\n", origin.Address()))
	n := startNode(t, withRelaysAndSilence("4s", discovery, lowerRelay.Address()))
	eventually(t, "the list of the relays to be in use", func() bool { return n.notReadyReason() == "" && relayStatus(t, n).By == "relays" })
	if !isServedBy(t, n, "one", "a") {
		t.Fatal("request was not served by the endpoint listed by relays")
	}
	before := calls.Load()
	frozen.Store(true)
	began := time.Now()
	for relayStatus(t, n).By != "discovery" {
		if time.Since(began) > 6*time.Second {
			t.Fatal("the list of discovery was not in use within 6 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !isServedBy(t, n, "two", "b") {
		t.Error("request was not served by the endpoint listed by discovery")
	}
	if calls.Load() == before {
		t.Error("discovery was not called")
	}
}

// Guards against losing the changes that discovery sends after the version of the configuration's list.
func TestRelayedNodeAppliesChangesOfKnownList(t *testing.T) {
	a, requestsToA := startNamedUpstream(t, "a")
	b, _ := startNamedUpstream(t, "b")
	lines := map[string]string{
		"0": listText(6, true, listEntry("a", a, "draining"), listEntry("b", b, "up")),
		"5": listText(6, false, listEntry("a", a, "draining")),
		"6": "",
	}
	discovery := listen(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		line := lines[r.URL.Query().Get("after")]
		writef(c, "%s%x\r\n%s\n\r\n", watchResponseHead, len(line)+1, line)
		for err == nil {
			time.Sleep(300 * time.Millisecond)
			_, err = c.Write([]byte("1\r\n\n\r\n"))
		}
	})
	n := startNode(t, func(c *Config) {
		withRelays(discovery, "127.0.0.1:1")(c)
		c.KnownList = json.RawMessage(listText(5, true, listEntry("a", a, "up"), listEntry("b", b, "up")))
	})
	eventually(t, "ready", func() bool { return n.notReadyReason() == "" })
	eventually(t, "the list of discovery to be in use", func() bool { return relayStatus(t, n).By == "discovery" })
	for i := range 20 {
		if !isServedBy(t, n, fmt.Sprint("one", i), "b") {
			t.Fatal("request was not served by the endpoint that is up")
		}
	}
	if requestsToA.Load() > 0 {
		t.Errorf("got %d requests at an endpoint that drains, want 0", requestsToA.Load())
	}
}
