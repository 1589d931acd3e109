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

// testNode records what a subscription calls back.
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

// testEntry is the endpoint type of testNode. source says where the endpoint came from.
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
	for _, entry := range entries {
		if n.applied[entry.name] = entry.source; entry.state == endpointsource.StateRemoved {
			delete(n.applied, entry.name)
		}
	}
}

func eventually(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !met(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 5 s: %s", condition)
		}
	}
}

func endpointBody(host string) []byte { return fmt.Appendf(nil, `{"host":%q,"health":"up"}`, host) }

// testOrigin is an origin that is served by a relay server.
type testOrigin struct {
	t       *testing.T
	origin  *distribution.Origin
	server  *relay.Server
	address string
}

func newTestOrigin(t *testing.T) *testOrigin {
	t.Helper()
	origin := distribution.NewOrigin(1, distribution.Limits{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := relay.NewServer(origin.Relay(), relay.ServerConfig{}, zap.NewNop())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		if err := errors.Join(server.Close(context.Background()), <-served); err != nil {
			t.Error(err)
		}
	})
	return &testOrigin{t: t, origin: origin, server: server, address: listener.Addr().String()}
}

func (o *testOrigin) put(scope, key string, class distribution.Class, body []byte) {
	o.t.Helper()
	o.server.Do(func(now int64) {
		if _, err := o.origin.Put(now, scope, key, class, body); err != nil {
			o.t.Error(err)
		}
	})
}

// putHosts puts records of hosts, which subscribers receive in a single frame.
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

// decodeTestEntry returns an error for a host named invalid, and panics for one named panics.
func decodeTestEntry(entry endpointlist.Entry) (testEntry, error) {
	switch entry.Name {
	case "invalid":
		return testEntry{}, errors.New("invalid")
	case "panics":
		panic("panics")
	}
	decoded := testEntry{name: entry.Name, source: "by relays"}
	if entry.State == "removed" {
		decoded.state = endpointsource.StateRemoved
	}
	return decoded, nil
}

// TestPanicInRelayUpdateFallsBackToDiscovery checks that a record that can't be decoded is skipped, and that a panic
// while a record of a relay is decoded stops only the updates from relays: the node gets its list from discovery
// instead.
func TestPanicInRelayUpdateFallsBackToDiscovery(t *testing.T) {
	origin := newTestOrigin(t)
	origin.putHosts("good")
	origin.put(relay.ScopeOrigin, relay.KeyDiscovery, distribution.ClassConfiguration, []byte(`{"seq":3,"stands":true}`))
	n := &testNode{applied: map[string]string{}}
	var skipped atomic.Int64
	subscription, err := New(Config[testEntry]{
		Name: "n", Relays: []string{origin.address}, Scopes: []string{"eu1/cart"}, StaleAfterNs: 1e9,
		Clock: relay.NewClock(), Log: zap.NewNop(), Decode: decodeTestEntry,
		ToEndpoint: func(e testEntry) endpointsource.Endpoint[testEntry] {
			return endpointsource.Endpoint[testEntry]{Name: e.name, State: e.state, Value: e}
		},
		WithState: func(e testEntry, state endpointsource.EndpointState) testEntry {
			e.state = state
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
	go subscription.Run(ctx)
	eventually(t, "the list from the relay is applied", func() bool { return n.sourceOf("good") == "by relays" })
	origin.putHosts("invalid", "another")
	eventually(t, "the valid record in the same frame as an invalid one is applied", func() bool { return n.sourceOf("another") == "by relays" })
	n.mu.Lock()
	if len(n.applied) != 2 || skipped.Load() != 1 {
		t.Errorf("got endpoints %q and %d skipped records, want two endpoints and one skipped", n.applied, skipped.Load())
	}
	n.mu.Unlock()
	origin.putHosts("panics")
	eventually(t, "the panic is recovered", func() bool { return n.panics.Load() > 0 })
	eventually(t, "discovery is watched", n.watch.Load)
	subscription.UpdateDiscovery([]testEntry{{name: "good", source: "by discovery"}}, 4, true)
	eventually(t, "the list from discovery is applied", func() bool { return n.sourceOf("good") == "by discovery" })
	if subscription.RelaysLastReceivedAt() != 0 {
		t.Error("relays are still the only source of the list after a panic")
	}
	if text := subscription.StatusJSON(); text == "" {
		t.Error("got an empty status")
	}
}

// TestHostInTwoScopes checks that a host with records in two scopes is removed only when both records are deleted.
func TestHostInTwoScopes(t *testing.T) {
	put := func(scope, host string, deleted bool) distribution.Change {
		return distribution.Change{Record: distribution.Record{
			Scope: scope, Key: relay.EndpointKey(host),
			Deleted: deleted, Body: endpointBody(host),
		}}
	}
	table := relay.NewEndpointTable()
	for i, step := range []struct {
		change distribution.Change
		health string
	}{{put("a", "h", false), "up"}, {put("b", "h", false), "up"}, {put("a", "h", true), "up"}, {
		put("b", "h", true),
		"removed",
	}, {put("b", "h", true), ""}} {
		hosts := table.Apply([]distribution.Change{step.change})
		if step.health == "" && len(hosts.Entries) == 0 {
			continue
		}
		if hosts.LastErr != nil || hosts.Skipped != 0 || len(hosts.Entries) != 1 ||
			hosts.Entries[0].State != step.health {
			t.Errorf("step %d: got %+v, want one entry in state %q", i, hosts, step.health)
		}
	}
}
