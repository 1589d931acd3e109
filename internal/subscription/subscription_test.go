package subscription

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/endpointlist"
	"fawnglade/internal/endpointsource"
	"fawnglade/internal/relay"

	"go.uber.org/zap"
)

// node is a node that subscribes.
type testNode struct {
	panics  atomic.Int64
	watch   atomic.Bool
	mu      sync.Mutex
	applied map[string]string
}

func (n *testNode) recoverPanic(string, func()) {
	if recover() != nil {
		n.panics.Add(1)
	}
}

func (n *testNode) sourceOf(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied[name]
}

// entry is an endpoint as the node under test describes it.
type testEntry struct {
	name, source string
	state        endpointsource.EndpointState
}

func (n *testNode) apply(entries []testEntry, _ int64, complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if complete {
		n.applied = map[string]string{}
	}
	for _, e := range entries {
		if n.applied[e.name] = e.source; e.state == endpointsource.StateRemoved {
			delete(n.applied, e.name)
		}
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

func endpointBody(host string) []byte { return fmt.Appendf(nil, `{"host":%q,"health":"up"}`, host) }

// origin is an origin behind a relay server.
type testOrigin struct {
	t       *testing.T
	origin  *distribution.Origin
	server  *relay.Server
	address string
}

func newTestOrigin(t *testing.T) *testOrigin {
	t.Helper()
	o := distribution.NewOrigin(1, distribution.Limits{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := relay.NewServer(o.Relay(), relay.ServerConfig{}, zap.NewNop())
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		l.Close()
		if err := errors.Join(s.Close(context.Background()), <-served); err != nil {
			t.Error(err)
		}
	})
	return &testOrigin{t: t, origin: o, server: s, address: l.Addr().String()}
}

func (o *testOrigin) put(scope, key string, class distribution.Class, body []byte) {
	o.t.Helper()
	o.server.Do(func(now int64) {
		if _, err := o.origin.Put(now, scope, key, class, body); err != nil {
			o.t.Error(err)
		}
	})
}

// putHosts puts hosts that subscribers get in one frame.
func (o *testOrigin) putHosts(hosts ...string) {
	o.t.Helper()
	o.server.Do(func(now int64) {
		for _, host := range hosts {
			if _, err := o.origin.Put(now, "eu1/cart", relay.EndpointKey(host), distribution.ClassEndpoint,
				endpointBody(host)); err != nil {
				o.t.Error(err)
			}
		}
	})
}

// decode can't read a host named invalid, and panics at one named panics.
func decodeTestEntry(e endpointlist.Entry) (testEntry, error) {
	switch e.Name {
	case "invalid":
		return testEntry{}, errors.New("invalid")
	case "panics":
		panic("panics")
	}
	out := testEntry{name: e.Name, source: "by relays"}
	if e.State == "removed" {
		out.state = endpointsource.StateRemoved
	}
	return out, nil
}

// A panic at a record of the relays ends their part alone: discovery takes over.
func TestPanicInRelayUpdateFallsBackToDiscovery(t *testing.T) {
	o := newTestOrigin(t)
	o.putHosts("good")
	o.put(relay.ScopeOrigin, relay.KeyDiscovery, distribution.ClassConfiguration, []byte(`{"seq":3,"stands":true}`))
	n := &testNode{applied: map[string]string{}}
	var skipped atomic.Int64
	s, err := New(Config[testEntry]{
		Name: "n", Relays: []string{o.address}, Scopes: []string{"eu1/cart"}, StaleAfterNs: 1e9,
		Clock: relay.NewClock(), Log: zap.NewNop(), Decode: decodeTestEntry,
		ToEndpoint: func(e testEntry) endpointsource.Endpoint[testEntry] {
			return endpointsource.Endpoint[testEntry]{Name: e.name, State: e.state, Value: e}
		},
		WithState: func(e testEntry, s endpointsource.EndpointState) testEntry {
			e.state = s
			return e
		},
		Apply:              n.apply,
		WatchDiscovery:     n.watch.Store,
		DiscoveryConnected: n.watch.Load,
		CountSkipped:       func(n int) { skipped.Add(int64(n)) },
		Recover:            n.recoverPanic,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	eventually(t, "the list by relays", func() bool { return n.sourceOf("good") == "by relays" })
	o.putHosts("invalid", "another")
	eventually(t, "the one beside the invalid one", func() bool { return n.sourceOf("another") == "by relays" })
	n.mu.Lock()
	if len(n.applied) != 2 || skipped.Load() != 1 {
		t.Errorf("%q applied, %d skipped; expected two and one", n.applied, skipped.Load())
	}
	n.mu.Unlock()
	o.putHosts("panics")
	eventually(t, "the panic", func() bool { return n.panics.Load() > 0 })
	eventually(t, "a watch of discovery", n.watch.Load)
	s.UpdateDiscovery([]testEntry{{name: "good", source: "by discovery"}}, 4, true)
	eventually(t, "discovery's list", func() bool { return n.sourceOf("good") == "by discovery" })
	if s.RelaysLastReceivedAt() != 0 {
		t.Error("relays still count as the source")
	}
	if text := s.StatusJSON(); text == "" {
		t.Error("no status")
	}
}

// A host in two scopes stays until neither has it, in whatever order the changes come.
func TestHostInTwoScopes(t *testing.T) {
	put := func(scope, host string, gone bool) distribution.Change {
		return distribution.Change{Record: distribution.Record{
			Scope: scope, Key: relay.EndpointKey(host),
			Deleted: gone, Body: endpointBody(host),
		}}
	}
	h := relay.NewEndpointTable()
	for i, step := range []struct {
		change distribution.Change
		health string
	}{{put("a", "h", false), "up"}, {put("b", "h", false), "up"}, {put("a", "h", true), "up"}, {
		put("b", "h", true),
		"removed",
	}, {put("b", "h", true), ""}} {
		hosts := h.Apply([]distribution.Change{step.change})
		if step.health == "" && len(hosts.Entries) == 0 {
			continue
		}
		if hosts.LastErr != nil || hosts.Skipped != 0 || len(hosts.Entries) != 1 ||
			hosts.Entries[0].State != step.health {
			t.Errorf("step %d: %+v; expected %q", i, hosts, step.health)
		}
	}
}
