package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointsource"
	"fawnglade/internal/features"
	"fawnglade/internal/relay"
	"fawnglade/policy"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// serveOrigin serves an origin; stop ends it as a process does that is killed.
func serveOrigin(t *testing.T, o *distribution.Origin) (address string, s *relay.Server, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = relay.NewServer(o.Relay(), relay.ServerConfig{}, zap.NewNop())
	go s.Serve(l)
	stop = func() {
		l.Close()
		limit, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		s.Close(limit)
	}
	t.Cleanup(stop)
	return l.Addr().String(), s, stop
}

const testScope = "eu1/cart"

func endpoint(s *relay.Server, o *distribution.Origin, name, dial, health string) {
	s.Do(func(now int64) {
		if health == "removed" {
			o.Remove(now, testScope, relay.EndpointKey(name))
			return
		}
		class := distribution.ClassEndpoint
		if health == "draining" {
			class = distribution.ClassWithdrawal
		}
		o.Put(now, testScope, relay.EndpointKey(name), class, []byte(listEntry(name, dial, health)))
	})
}

func heardList(s *relay.Server, o *distribution.Origin, seq int, stands bool) {
	s.Do(func(now int64) {
		o.Put(now, relay.ScopeOrigin, relay.KeyDiscovery, distribution.ClassConfiguration, fmt.Appendf(nil, `{"seq":%d,"stands":%t}`, seq, stands))
	})
}

func withRelays(discovery string, relays ...string) func(*Config) {
	return withRelaysSilent("1s", discovery, relays...)
}

func withRelaysSilent(silence, discovery string, relays ...string) func(*Config) {
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

// discoveryTelling answers each watch with a whole list, then keeps still but for its heartbeats, and counts the calls.
func discoveryTelling(t *testing.T, list func(call int64) string) (address string, calls *atomic.Int64, open *atomic.Int64) {
	calls, open = new(atomic.Int64), new(atomic.Int64)
	return listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		call := calls.Add(1)
		open.Add(1)
		defer open.Add(-1)
		text := list(call) + "\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		gone := make(chan struct{})
		go func() { io.Copy(io.Discard, c); close(gone) }()
		for {
			select {
			case <-gone:
				return
			case <-time.After(300 * time.Millisecond):
				fmt.Fprint(c, "1\r\n\n\r\n")
			}
		}
	}), calls, open
}

func relayView(t *testing.T, n *Node) (v struct {
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

func answers(t *testing.T, n *Node, id, server string) bool {
	t.Helper()
	status, body, _ := ask(t, n, "view", id, server)
	return status == 200 && strings.HasSuffix(body, server)
}

// naming answers with the server's own name.
func naming(t *testing.T, name string) (address string, tasks *atomic.Int64) {
	return startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
		return writeAnswer(c, "200 OK\r\nX-Pressure: queue=1", name)
	})
}

func TestANodeGoesByRelays(t *testing.T) {
	a, tasksA := naming(t, "a")
	b, tasksB := naming(t, "b")
	discovery, calls, _ := discoveryTelling(t, func(int64) string { return listText(1, true) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	endpoint(s, o, "a", a, "up")
	heardList(s, o, 7, true)
	n := startNode(t, withRelays(discovery, first))
	eventually(t, "ready", func() bool { return n.notReady() == "" })
	for i := range 10 {
		if !answers(t, n, fmt.Sprint("one", i), "a") {
			t.Fatal("not served by the one that relays told")
		}
	}
	endpoint(s, o, "b", b, "up")
	endpoint(s, o, "a", a, "draining")
	heardList(s, o, 9, true)
	eventually(t, "the drain", func() bool { return relaySeq(t, n) == 9 })
	before := tasksA.Load()
	for i := range 10 {
		if !answers(t, n, fmt.Sprint("two", i), "b") {
			t.Fatal("not served by the one that was told since")
		}
	}
	if tasksA.Load() != before || tasksB.Load() < 10 {
		t.Errorf("a drained server had %d tasks since", tasksA.Load()-before)
	}
	// A spoilt record, and one that nobody knows, take nothing with them.
	s.Do(func(now int64) {
		o.Put(now, testScope, relay.EndpointKey("b"), distribution.ClassEndpoint, []byte(`{"host":"b","dial":"nowhere","health":"up"}`))
		o.Put(now, testScope, "moon/phase", distribution.ClassConfiguration, []byte("full"))
	})
	heardList(s, o, 10, true)
	eventually(t, "the spoilt record", func() bool { return n.count(listEntriesSkipped) == 1 && relaySeq(t, n) == 10 })
	if !answers(t, n, "three", "b") {
		t.Error("a spoilt record took a server off")
	}
	if calls.Load() != 0 {
		t.Errorf("discovery was called %d times while relays told the list", calls.Load())
	}
	if v := relayView(t, n); v.By != "relays" || v.Relay != first || v.Watch || !v.Whole {
		t.Errorf("the view: %+v", v)
	}
	stop()
}

func relaySeq(t *testing.T, n *Node) (seq int64) {
	var v struct{ Seq int64 }
	json.Unmarshal([]byte(n.relays.StatusJSON()), &v)
	return v.Seq
}

func TestStatesOfServersAreTheSameEverywhere(t *testing.T) {
	for here, there := range map[policy.EndpointState]endpointsource.EndpointState{policy.StateActive: endpointsource.StateUp, policy.StateDraining: endpointsource.StateDraining, policy.StateRemoved: endpointsource.StateRemoved} {
		if policy.EndpointState(there) != here {
			t.Errorf("%v and %v differ, and are turned into one another", here, there)
		}
	}
}

// Relays go, discovery is watched; they come back, and it is left. Neither takes off or brings back what the other knew better.
func TestANodeWithoutRelaysWatchesDiscovery(t *testing.T) {
	a, tasksA := naming(t, "a")
	b, _ := naming(t, "b")
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	endpoint(s, o, "a", a, "draining")
	endpoint(s, o, "b", b, "up")
	heardList(s, o, 20, true)
	var version atomic.Int64
	version.Store(15) // an older copy: a serves there, and b is not known
	discovery, calls, open := discoveryTelling(t, func(int64) string {
		if v := version.Load(); v < 20 {
			return listText(int(v), true, listEntry("a", a, "up"))
		}
		return listText(int(version.Load()), true, listEntry("a", a, "up"), listEntry("b", b, "up"))
	})
	n := startNode(t, withRelaysSilent("20s", discovery, first)) // that no relay can be reached is known sooner
	eventually(t, "ready", func() bool { return n.notReady() == "" })
	if !answers(t, n, "one", "b") {
		t.Fatal("not served by what relays told")
	}
	stop()
	eventually(t, "a call to discovery", func() bool { return calls.Load() == 1 })
	eventually(t, "discovery's list", func() bool { return relayView(t, n).By == "discovery" })
	before := tasksA.Load()
	for i := range 10 {
		if !answers(t, n, fmt.Sprint("two", i), "b") {
			t.Fatal("a discovery that knows less took a server off")
		}
	}
	if tasksA.Load() != before {
		t.Error("a discovery that knows less brought a drained server back")
	}
	// Another origin, later than the first, and as far as discovery.
	again := distribution.NewOrigin(2, distribution.Limits{})
	l, err := net.Listen("tcp", first)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s = relay.NewServer(again.Relay(), relay.ServerConfig{}, zap.NewNop())
	t.Cleanup(func() { s.Close(context.Background()) })
	endpoint(s, again, "a", a, "up")
	heardList(s, again, 25, true)
	go s.Serve(l)
	eventually(t, "relays again", func() bool { v := relayView(t, n); return v.By == "relays" && !v.Watch })
	eventually(t, "the end of the watch", func() bool { return open.Load() == 0 })
	eventually(t, "the newer list", func() bool { return answers(t, n, fmt.Sprint("three", addresses.Add(1)), "a") })
}

// Where no relay answers at the start, discovery is watched as without any.
func TestANodeStartsWithoutARelay(t *testing.T) {
	a, _ := naming(t, "a")
	discovery, _, _ := discoveryTelling(t, func(int64) string { return listText(3, true, listEntry("a", a, "up")) })
	still := listen(t, func(c net.Conn) { time.Sleep(20 * time.Second) }) // it takes connections and says nothing
	for name, at := range map[string]string{"nobody there": "127.0.0.1:1", "a frozen one": still} {
		began := time.Now()
		n := startNode(t, withRelays(discovery, at))
		eventually(t, "ready, "+name, func() bool { return n.notReady() == "" })
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("%s: ready after %v, expected a second and a call", name, took)
		}
		if !answers(t, n, name, "a") {
			t.Errorf("%s: not served", name)
		}
	}
}

// An origin without a list is not gone by, however whole it is otherwise.
func TestAnOriginWithoutAListTakesNothingOff(t *testing.T) {
	a, _ := naming(t, "a")
	discovery, _, _ := discoveryTelling(t, func(int64) string { return listText(3, true, listEntry("a", a, "up")) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, _ := serveOrigin(t, o)
	s.Do(func(now int64) { o.Put(now, testScope, "route/x", distribution.ClassConfiguration, []byte("1")) })
	n := startNode(t, withRelays(discovery, first))
	eventually(t, "ready", func() bool { return n.notReady() == "" })
	if v := relayView(t, n); v.By != "discovery" || !v.Whole {
		t.Errorf("%+v", v)
	}
	if !answers(t, n, "one", "a") {
		t.Error("not served")
	}
}

// relayProcess runs an origin or a relay until it is told to end.
func relayProcess(t *testing.T, text string) (p *relay.Process, end func()) {
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
		p.Run(signals)
		close(done)
	}()
	end = sync.OnceFunc(func() { signals <- syscall.SIGTERM; <-done })
	t.Cleanup(end)
	return p, end
}

// The only relay goes on to be heard, but is cut off from above: what it tells grows old, and discovery is watched.
func TestARelayThatIsCutOffFromAbove(t *testing.T) {
	a, _ := naming(t, "a")
	b, _ := naming(t, "b")
	discovery, _, _ := discoveryTelling(t, func(int64) string { return listText(9, true, listEntry("b", b, "up")) })
	o := distribution.NewOrigin(1, distribution.Limits{})
	first, s, stop := serveOrigin(t, o)
	endpoint(s, o, "a", a, "up")
	heardList(s, o, 8, true)
	low, _ := relayProcess(t, fmt.Sprintf("name=\"r\"\nrole=\"relay\"\nlisten=\"127.0.0.1:0\"\nupstream=[%q]\n", first))
	n := startNode(t, withRelaysSilent("2s", discovery, low.Address()))
	eventually(t, "the list by relays", func() bool { return n.notReady() == "" && relayView(t, n).By == "relays" })
	stop()
	eventually(t, "the list by discovery", func() bool { return relayView(t, n).By == "discovery" })
	eventually(t, "the newer list", func() bool { return answers(t, n, fmt.Sprint("t", addresses.Add(1)), "b") })
	if v := relayView(t, n); v.Relay != low.Address() {
		t.Errorf("%+v: the relay is still there", v)
	}
}

// The origin's way to discovery falls silent while the node's own stands: a change is told within 6 s all the same.
func TestAChangeIsToldThoughTheOriginDoesNotHearDiscovery(t *testing.T) {
	a, _ := naming(t, "a")
	b, _ := naming(t, "b")
	var frozen atomic.Bool
	half := listen(t, func(c net.Conn) { // discovery as the origin has it
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if !frozen.Load() {
			text := listText(5, true, listEntry("a", a, "up")) + "\n"
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		}
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if !frozen.Load() {
				fmt.Fprint(c, "1\r\n\n\r\n")
			}
		}
	})
	discovery, calls, _ := discoveryTelling(t, func(int64) string {
		return listText(6, true, listEntry("a", a, "draining"), listEntry("b", b, "up"))
	})
	origin, _ := relayProcess(t, fmt.Sprintf("name=\"o\"\nrole=\"origin\"\nlisten=\"127.0.0.1:0\"\n[origin]\ndiscovery=%q\n[origin.scope]\nservice=\"cart\"\nregion=\"eu1\"\n", half))
	low, _ := relayProcess(t, fmt.Sprintf("name=\"r\"\nrole=\"relay\"\nlisten=\"127.0.0.1:0\"\nupstream=[%q]\n", origin.Address()))
	n := startNode(t, withRelaysSilent("4s", discovery, low.Address()))
	eventually(t, "the list by relays", func() bool { return n.notReady() == "" && relayView(t, n).By == "relays" })
	if !answers(t, n, "one", "a") {
		t.Fatal("not served by what relays told")
	}
	before := calls.Load()
	frozen.Store(true)
	began := time.Now()
	for relayView(t, n).By != "discovery" {
		if time.Since(began) > 6*time.Second {
			t.Fatal("not told within 6 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !answers(t, n, "two", "b") {
		t.Error("not served by what discovery told")
	}
	if calls.Load() == before {
		t.Error("discovery was not called")
	}
}
